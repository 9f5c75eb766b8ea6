// Dispatcher of an instance: its queue, connections, slots and pinned transactions.
//
// A statement waits for one of the instance's slots in the fair queue, then takes an idle
// connection of its customer, opens one, or replaces an idle one of another customer. A transaction
// keeps its connection; its statements queue before others of the customer.
#include "line_exchange.h"
#include "line_host.h"

#include "platform/line_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <sys/socket.h>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

using line::RunReply;
using line::RunRequest;

const ConnectionSettings Connections;
// A new connection takes a slot for some 10 to 30 ms, and waits behind statements.
constexpr Millis ConnectTimeout{700};
// Without any answer for this long although statements are in progress, the instance is probed.
constexpr Millis SilentAfter{450};
constexpr Millis ProbeTimeout{350};
// Writes that take so long wait for a replica, or their answers are lost.
constexpr Millis StallAfter{600};
// Back-off from an instance that cannot be reached.
constexpr Millis FirstBackoff{100};
constexpr Millis MostBackoff{800};
// Idle connections above one for each slot are closed after this time.
constexpr std::chrono::seconds IdleLimit{30};
// Idle connections of a host that no longer dispatches to the instance are closed after this time:
// a change of dispatchers may be undone at once.
constexpr Millis RetireAfter{1000};
// A transaction without a statement for this long, or twice the configured idle time: the caller's
// host would have ended it.
constexpr Duration ForgottenAfter = std::chrono::seconds(8);
// Smoothing of the service time.
constexpr int ServiceWeight = 8;
constexpr Millis InitialService{25};
// A statement that waits may be queued for at most this many others of its customer.
constexpr uint32_t MaxQueuedPerCustomer = 200;
constexpr uint32_t MaxQueued = 600;

RunReply refuse(Reason Why) { return makeReply(RunReply::NOT_SENT, Why); }

void closeConnection(InstanceDispatch &D, const std::shared_ptr<LinePoolConnection> &C) {
  if (std::exchange(C->m_Broken, true))
    return;
  closeSocket(C->m_Line.m_Socket);
  --D.m_Open;
}

void dropIdle(InstanceDispatch &D) {
  auto Idle = std::exchange(D.m_Idle, {});
  for (const auto &C : Idle)
    closeConnection(D, C);
}

void markUnreachable(const std::string &Instance, InstanceDispatch &D, std::string_view Why) {
  TimePoint Now = bootNow();
  D.m_FailedAt = Now;
  D.m_Backoff = std::clamp<Duration>(D.m_Backoff * 2, FirstBackoff, MostBackoff);
  D.m_RetryAt = Now + D.m_Backoff;
  if (!std::exchange(D.m_Unreachable, true))
    logLine(LogLevel::Warning, "instance_lost",
            {{"instance", Instance}, {"why", std::string(Why)}, {"address", D.m_Address}});
  dropIdle(D);
}

void markReachable(const std::string &Instance, InstanceDispatch &D) {
  D.m_Backoff = Duration::zero();
  D.m_AnsweredAt = bootNow();
  if (std::exchange(D.m_Unreachable, false))
    logLine(LogLevel::Info, "instance_regained", {{"instance", Instance}});
}

// --- Connections ---

Awaitable<std::shared_ptr<LinePoolConnection>>
openConnection(LineHost &Host, std::string Instance, std::string Group, std::string Customer) {
  InstanceDispatch &D = Host.m_Dispatches[Instance];
  auto Endpoint = parseEndpoint(D.m_Address);
  if (!Endpoint)
    co_return std::shared_ptr<LinePoolConnection>();
  auto C = std::make_shared<LinePoolConnection>(Tcp::socket(Host.m_Io));
  ++D.m_Open;
  C->m_Customer = Customer;
  ScopedDeadline Limit(Host.m_Watchdog, bootNow() + ConnectTimeout,
                       [C] { closeSocket(C->m_Line.m_Socket); });
  auto [Error] = co_await C->m_Line.m_Socket.async_connect(*Endpoint, AsTuple);
  std::string Why = Error ? Error.message() : "";
  bool Full = false;
  if (!Error) {
    configureSocket(C->m_Line.m_Socket);
    co_await writeText(C->m_Line, platform::formatConnect(Group, Customer, Instance));
    auto Line = co_await readLine(C->m_Line, platform::MaxMessageBytes);
    Why = Line ? *Line : "closed or silent";
    if (Line) {
      auto Message = platform::parseInstanceMessage(*Line);
      if (std::holds_alternative<platform::ReadyMessage>(Message)) {
        markReachable(Instance, D);
        co_return C;
      }
      if (auto *Refused = std::get_if<platform::ErrorMessage>(&Message))
        Full = Refused->m_Code == "OVERLOAD" || Refused->m_Code == "BUSY";
    }
  }
  closeConnection(D, C);
  logLine(LogLevel::Warning, "connection_failed",
          {{"instance", Instance},
           {"customer", Customer},
           {"open", std::to_string(D.m_Open)},
           {"idle", std::to_string(D.m_Idle.size())},
           {"why", Why}});
  if (Full)
    noteInstanceFull(D.m_Budget, D.m_Open, D.m_Queue.m_SlotCount, bootNow(), Connections);
  else
    markUnreachable(Instance, D, Why);
  co_return std::shared_ptr<LinePoolConnection>();
}

// Whether the far end has closed an idle connection: a statement sent on it would be lost.
bool isClosed(const LinePoolConnection &C) {
  char Byte = 0;
  ssize_t Read = recv(const_cast<LinePoolConnection &>(C).m_Line.m_Socket.native_handle(), &Byte, 1,
                      MSG_PEEK | MSG_DONTWAIT);
  return Read >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// An idle connection of the customer, best the one that needs the least preparation.
std::shared_ptr<LinePoolConnection> takeIdle(InstanceDispatch &D, const RunRequest &Request) {
  std::map<std::string, std::string> Values;
  for (const auto &Value : Request.values())
    Values[Value.name()] = Value.value();
  auto Best = D.m_Idle.end();
  size_t BestCost = 0;
  for (auto I = D.m_Idle.begin(); I != D.m_Idle.end(); ++I) {
    if ((*I)->m_Customer != Request.customer())
      continue;
    size_t Cost = countPreparation(planPreparation((*I)->m_Content, Values, Request.prepared_name(),
                                                   Request.prepared_shape()));
    if (Best == D.m_Idle.end() || Cost < BestCost) {
      Best = I;
      BestCost = Cost;
    }
  }
  if (Best == D.m_Idle.end())
    return nullptr;
  auto Taken = *Best;
  D.m_Idle.erase(Best);
  if (!isClosed(*Taken))
    return Taken;
  closeConnection(D, Taken);
  return takeIdle(D, Request);
}

Awaitable<std::shared_ptr<LinePoolConnection>> takeConnection(LineHost &Host,
                                                              const RunRequest &Request) {
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  std::shared_ptr<LinePoolConnection> Taken = takeIdle(D, Request);
  if (Taken)
    co_return Taken;
  auto Group = Host.m_Groups.find(Request.group());
  uint32_t Most = Group == Host.m_Groups.end() ? 1 : Group->second.m_MaxConnections;
  uint32_t Budget =
      mostConnections(D.m_Budget, Most, Host.m_Roles.m_Isolated, bootNow(), Connections);
  if (D.m_Open >= Budget) {
    if (D.m_Idle.empty())
      co_return std::shared_ptr<LinePoolConnection>();
    auto Oldest = D.m_Idle.back();
    D.m_Idle.pop_back();
    closeConnection(D, Oldest);
  }
  if (bootNow() < D.m_RetryAt)
    co_return std::shared_ptr<LinePoolConnection>();
  Taken = co_await openConnection(Host, Request.instance(), Request.group(), Request.customer());
  co_return Taken;
}

void releaseConnection(InstanceDispatch &D, const std::shared_ptr<LinePoolConnection> &C,
                       bool Reusable) {
  if (C->m_Broken)
    return;
  if (!Reusable || C->m_Spent || !C->m_Line.m_Socket.is_open()) {
    closeConnection(D, C);
    return;
  }
  C->m_Since = bootNow();
  D.m_Idle.push_front(C);
}

// --- Slots ---

void pump(InstanceDispatch &D) {
  while (auto Next = startNextRequest(D.m_Queue, bootNow())) {
    auto Waiter = D.m_Waiters.find(Next->m_Id);
    if (Waiter == D.m_Waiters.end()) {
      finishRequest(D.m_Queue, Next->m_Customer, Duration::zero());
      continue;
    }
    Waiter->second->m_Wakeup.wake();
  }
}

// Waits for a slot. Returns why there is none, or Reason::None.
Awaitable<Reason> takeSlot(LineHost &Host, const RunRequest &Request) {
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  if (Request.mode() == RunRequest::END) {
    startUnqueued(D.m_Queue, Request.customer());
    co_return Reason::None;
  }
  TimePoint Now = bootNow();
  QueuedRequest Queued;
  Queued.m_Id = Host.m_NextNumber++;
  Queued.m_Customer = Request.customer();
  Queued.m_QueuedAt = Now;
  Queued.m_Deadline = Now + Millis(Request.wait_ms());
  Queued.m_IsPinned = Request.mode() == RunRequest::NEXT;
  if (Request.goal_ms() != 0)
    Queued.m_LatencyTargetAt = Now + Millis(Request.goal_ms());
  QueueSettings Limits;
  Limits.m_MaxPerCustomer = MaxQueuedPerCustomer;
  Limits.m_MaxTotal = MaxQueued;
  Limits.m_MaxWait = Millis(Request.wait_ms());
  std::optional<uint64_t> Shed;
  auto Waiter = std::make_shared<SlotWaiter>(Host.m_Io);
  Reason Refused = enqueueRequest(D.m_Queue, Queued, Shed, Limits);
  if (Shed)
    if (auto Other = D.m_Waiters.find(*Shed); Other != D.m_Waiters.end()) {
      Other->second->m_Refused = Reason::QueueFull;
      Other->second->m_Wakeup.wake();
    }
  if (Refused != Reason::None)
    co_return Refused;
  D.m_Waiters[Queued.m_Id] = Waiter;
  pump(D);
  co_await Waiter->m_Wakeup.wait();
  D.m_Waiters.erase(Queued.m_Id);
  co_return Waiter->m_Refused;
}

void returnSlot(InstanceDispatch &D, const std::string &Customer, Duration Used, bool Ran) {
  finishRequest(D.m_Queue, Customer, Used);
  if (Ran)
    D.m_Service =
        D.m_Service == Duration::zero() ? Used : D.m_Service + (Used - D.m_Service) / ServiceWeight;
  pump(D);
}

// A slot for a statement that may be sent now. Writes that are not acknowledged would take them
// all.
Awaitable<Reason> takeSlotUnlessStalled(LineHost &Host, const RunRequest &Request) {
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  if (Request.write() && !mayStartWrite(D.m_Writes))
    co_return Reason::NoMajority;
  Reason Refused = co_await takeSlot(Host, Request);
  if (Refused != Reason::None || !Request.write() || mayStartWrite(D.m_Writes))
    co_return Refused;
  returnSlot(D, Request.customer(), Duration::zero(), false);
  co_return Reason::NoMajority;
}

// Exchange with a time limit: a connection without an answer by then is closed.
Awaitable<RunReply> exchangeInTime(LineHost &Host, const std::shared_ptr<LinePoolConnection> &C,
                                   const RunRequest &Request) {
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  auto Close = [C] { closeSocket(C->m_Line.m_Socket); };
  ScopedDeadline Limit(Host.m_Watchdog, bootNow() + Millis(Request.run_ms()), Close);
  C->m_SentAt = bootNow();
  C->m_Writing = Request.write();
  D.m_Running.insert(C);
  D.m_Writes.m_InProgress += Request.write() ? 1 : 0;
  RunReply Reply = co_await runOnConnection(C, Request);
  D.m_Running.erase(C);
  D.m_Writes.m_InProgress -= Request.write() ? 1 : 0;
  if (Reply.outcome() == RunReply::ANSWERED)
    markReachable(Request.instance(), D);
  else
    logLine(LogLevel::Info, "answer_missing",
            {{"id", Request.statement_id()},
             {"instance", Request.instance()},
             {"customer", Request.customer()},
             {"sent", Reply.outcome() == RunReply::LOST ? "yes" : "no"},
             {"waited_ms", std::to_string((bootNow() - C->m_SentAt) / Millis(1))},
             {"limit_ms", std::to_string(Request.run_ms())}});
  if (Request.write() && Reply.outcome() == RunReply::ANSWERED && Reply.error_code().empty())
    D.m_Writes.m_WroteAt = bootNow();
  C->m_SentAt = {};
  co_return Reply;
}

Awaitable<void> rollBack(LineHost &Host, std::string Instance,
                         std::shared_ptr<LinePoolConnection> C) {
  InstanceDispatch &D = Host.m_Dispatches[Instance];
  ScopedDeadline Limit(Host.m_Watchdog, bootNow() + ProbeTimeout,
                       [C] { closeSocket(C->m_Line.m_Socket); });
  std::vector<std::string> Texts(1, "ROLLBACK");
  bool Done = co_await runOwn(C, Texts);
  releaseConnection(D, C, Done);
}

void endTransaction(LineHost &Host, const TransactionKey &Key) {
  auto Found = Host.m_Transactions.find(Key);
  if (Found == Host.m_Transactions.end())
    return;
  if (Found->second.m_Busy) {
    Found->second.m_Abandoned = true;
    return;
  }
  PinnedTransaction T = std::move(Found->second);
  Host.m_Transactions.erase(Found);
  asio::co_spawn(Host.m_Io, rollBack(Host, T.m_Instance, T.m_Connection), asio::detached);
}

void refreshDispatch(LineHost &Host, const RunRequest &Request, InstanceDispatch &D) {
  const LineInstance *I = findInstance(Host, Request.instance());
  if (!I)
    return;
  D.m_Queue.m_SlotCount = std::max<uint32_t>(1, I->m_Slots);
  // Another process of the same id knows nothing of the connections of the last one.
  if (D.m_Address != I->m_Address || D.m_Started != I->m_Started) {
    dropIdle(D);
    D.m_Address = I->m_Address;
    D.m_Started = I->m_Started;
    D.m_RetryAt = {};
  }
}

Awaitable<RunReply> runNext(LineHost &Host, const RunRequest &Request, TransactionKey Key) {
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  auto Found = Host.m_Transactions.find(Key);
  if (Found == Host.m_Transactions.end() || Found->second.m_Busy)
    co_return refuse(Reason::NoTransaction);
  Found->second.m_Busy = true;
  auto C = Found->second.m_Connection;
  Reason Refused = co_await takeSlotUnlessStalled(Host, Request);
  RunReply Reply = refuse(Refused);
  if (Refused == Reason::None) {
    TimePoint Started = bootNow();
    Reply = co_await exchangeInTime(Host, C, Request);
    returnSlot(D, Request.customer(), bootNow() - Started, true);
  }
  Found = Host.m_Transactions.find(Key);
  if (Found == Host.m_Transactions.end())
    co_return Reply;
  Found->second.m_Busy = false;
  Found->second.m_UsedAt = bootNow();
  bool Ended = Reply.outcome() == RunReply::ANSWERED && Reply.state() == "I";
  if (Ended || Reply.outcome() == RunReply::LOST) {
    releaseConnection(D, C, Ended);
    Host.m_Transactions.erase(Found);
  } else if (Found->second.m_Abandoned) {
    endTransaction(Host, Key);
  }
  co_return Reply;
}

Awaitable<RunReply> runFirst(LineHost &Host, const RunRequest &Request, TransactionKey Key) {
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  refreshDispatch(Host, Request, D);
  if (D.m_Address.empty())
    co_return refuse(Reason::InstanceUnavailable);
  if (D.m_Unreachable && bootNow() < D.m_RetryAt)
    co_return refuse(Reason::InstanceUnavailable);
  Reason Refused = co_await takeSlotUnlessStalled(Host, Request);
  if (Refused != Reason::None)
    co_return refuse(Refused);
  TimePoint Started = bootNow();
  auto C = co_await takeConnection(Host, Request);
  if (!C) {
    returnSlot(D, Request.customer(), bootNow() - Started, false);
    co_return refuse(D.m_Unreachable ? Reason::InstanceUnavailable : Reason::QueueFull);
  }
  RunReply Reply = co_await exchangeInTime(Host, C, Request);
  returnSlot(D, Request.customer(), bootNow() - Started, true);
  bool Open = Request.mode() == RunRequest::OPEN && Reply.outcome() == RunReply::ANSWERED &&
              Reply.state() != "I";
  if (Open) {
    PinnedTransaction &T = Host.m_Transactions[Key];
    T.m_Connection = C;
    T.m_Instance = Request.instance();
    T.m_Customer = Request.customer();
    T.m_UsedAt = bootNow();
    // The host that asked for it may have gone meanwhile.
    if (Key.first != 0 && !Host.m_OpenLinks.contains(Key.first))
      endTransaction(Host, Key);
    co_return Reply;
  }
  releaseConnection(D, C, Reply.outcome() == RunReply::ANSWERED && Reply.state() == "I");
  co_return Reply;
}

// Asks a silent instance for its status on a connection of its own.
Awaitable<void> probe(LineHost &Host, std::string Instance, std::string Group,
                      std::string Customer) {
  auto C = co_await openConnection(Host, Instance, Group, Customer);
  InstanceDispatch &D = Host.m_Dispatches[Instance];
  bool Answered = false;
  if (C) {
    ScopedDeadline Limit(Host.m_Watchdog, bootNow() + ProbeTimeout,
                         [C] { closeSocket(C->m_Line.m_Socket); });
    co_await writeText(C->m_Line,
                       platform::formatQuery(platform::OwnStatementId, platform::StatusText));
    Answered = (co_await readAnswer(C)).has_value();
    releaseConnection(D, C, Answered);
  }
  if (Answered) {
    markReachable(Instance, D);
  } else {
    markUnreachable(Instance, D, "no answer to statements or a probe");
    for (const auto &Running : std::set(D.m_Running))
      closeSocket(Running->m_Line.m_Socket);
  }
  D.m_Probing = false;
}

} // namespace

Duration expectedWait(const InstanceDispatch &D) {
  Duration Service = D.m_Service == Duration::zero() ? Duration(InitialService) : D.m_Service;
  uint32_t Ahead = D.m_Queue.m_QueuedCount + D.m_Queue.m_RunningCount;
  uint32_t Slots = std::max<uint32_t>(1, D.m_Queue.m_SlotCount);
  return Ahead < Slots ? Duration::zero() : Service * (Ahead + 1 - Slots) / Slots;
}

Awaitable<RunReply> runHere(LineHost &Host, RunRequest Request, uint64_t Link) {
  TransactionKey Key{Link, Request.transaction()};
  if (Request.mode() == RunRequest::ABANDON) {
    endTransaction(Host, Key);
    co_return RunReply();
  }
  bool Next = Request.mode() == RunRequest::NEXT || Request.mode() == RunRequest::END;
  RunReply Reply;
  if (Next)
    Reply = co_await runNext(Host, Request, Key);
  else
    Reply = co_await runFirst(Host, Request, Key);
  InstanceDispatch &D = Host.m_Dispatches[Request.instance()];
  Reply.set_wait_us(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(expectedWait(D)).count()));
  Reply.set_call(Request.call());
  co_return Reply;
}

void abandonTransactions(LineHost &Host, uint64_t Link) {
  std::vector<TransactionKey> Keys;
  for (const auto &[Key, T] : Host.m_Transactions)
    if (Key.first == Link)
      Keys.push_back(Key);
  for (const TransactionKey &Key : Keys)
    endTransaction(Host, Key);
}

// Notes whether a primary acknowledges no write although some are due.
void watchWrites(LineHost &Host, const std::string &Instance, InstanceDispatch &D, TimePoint Now) {
  auto IsDue = [&](const auto &C) { return C->m_Writing && Now - C->m_SentAt > StallAfter; };
  LineGroup *Group = findGroupOf(Host, Instance);
  if (!Group || Group->m_Primary != Instance || Now - D.m_Writes.m_WroteAt < StallAfter ||
      std::ranges::none_of(D.m_Running, IsDue))
    return;
  if (!isStalled(D.m_Writes))
    logLine(LogLevel::Warning, "writes_stalled",
            {{"instance", Instance}, {"in_progress", std::to_string(D.m_Writes.m_InProgress)}});
  D.m_Writes.m_StalledAt = Now;
  Group->m_WritesStalled = true;
  Group->m_WritesStalledAt = Now;
}

// Ends transactions that their hosts have forgotten, such as those whose first answer came too
// late.
void endForgotten(LineHost &Host, TimePoint Now) {
  Duration Limit = ForgottenAfter;
  if (Host.m_Config)
    Limit = std::max<Duration>(Limit, 2 * Host.m_Config->m_TransactionIdle);
  std::vector<TransactionKey> Forgotten;
  for (const auto &[Key, T] : Host.m_Transactions)
    if (!T.m_Busy && Now - T.m_UsedAt > Limit)
      Forgotten.push_back(Key);
  for (const TransactionKey &Key : Forgotten)
    endTransaction(Host, Key);
}

void retireDispatches(LineHost &Host, TimePoint Now) {
  for (auto &[Id, D] : Host.m_Dispatches) {
    const LineInstance *I = findInstance(Host, Id);
    bool Rests = !D.m_Idle.empty() && Now - D.m_Idle.front()->m_Since > RetireAfter;
    if (!Rests || (I && findDispatcher(Host, *I, {}) == Host.m_Members.m_Self))
      continue;
    logLine(LogLevel::Info, "dispatch_retired",
            {{"instance", Id}, {"closed", std::to_string(D.m_Idle.size())}});
    dropIdle(D);
  }
}

void tickDispatches(LineHost &Host, TimePoint Now) {
  endForgotten(Host, Now);
  for (auto &[Id, D] : Host.m_Dispatches) {
    for (const QueuedRequest &Expired : expireQueuedRequests(D.m_Queue, Now, {}))
      if (auto Waiter = D.m_Waiters.find(Expired.m_Id); Waiter != D.m_Waiters.end()) {
        Waiter->second->m_Refused = Reason::QueueTimeout;
        Waiter->second->m_Wakeup.wake();
      }
    if (Host.m_Draining)
      dropIdle(D); // the next dispatcher needs them
    while (D.m_Idle.size() > D.m_Queue.m_SlotCount && Now - D.m_Idle.back()->m_Since > IdleLimit) {
      auto Oldest = D.m_Idle.back();
      D.m_Idle.pop_back();
      closeConnection(D, Oldest);
    }
    watchWrites(Host, Id, D, Now);
    auto IsOverdue = [&](const auto &C) {
      return Now - C->m_SentAt > SilentAfter && C->m_SentAt > TimePoint{};
    };
    bool Silent = Now - D.m_AnsweredAt > SilentAfter && std::ranges::any_of(D.m_Running, IsOverdue);
    LineGroup *Group = Silent ? findGroupOf(Host, Id) : nullptr;
    if (Group && !std::exchange(D.m_Probing, true)) {
      std::string Customer = (*D.m_Running.begin())->m_Customer;
      asio::co_spawn(Host.m_Io, probe(Host, Id, Group->m_Name, Customer), asio::detached);
    }
  }
}

} // namespace quetzalpaddle
