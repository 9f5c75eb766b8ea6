// Dispatches statements to an instance: its queue, connections, slots and pinned transactions.
//
// A statement waits in the fair queue for one of the instance's slots. It then takes an idle
// connection of its customer, opens a new one, or replaces an idle one of another customer. A
// transaction keeps its connection, and its statements are queued ahead of the customer's others.
#include "line_connections.h"
#include "line_exchange.h"
#include "line_host.h"
#include "line_limits.h"
#include "line_where.h"

#include "platform/line_codec.h"

#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

using line::RunReply;
using line::RunRequest;

const ConnectionSettings DefaultConnectionSettings;
// An instance that answers nothing for this long while statements are in progress is probed.
constexpr Millis SilenceTimeout{450};
constexpr Millis ProbeTimeout{350};
// A write that takes longer is waiting for a replica, or its answer is lost.
constexpr Millis WriteStallTimeout{600};
// A host that no longer dispatches to an instance closes its idle connections only after this time,
// because a change of dispatcher may be reverted soon.
constexpr Millis RetireDelay{1000};
// A transaction without a statement for this long, or for twice the configured idle time if that is
// longer, is orphaned: the caller's host would have ended it by then.
constexpr Duration MinOrphanTimeout = std::chrono::seconds(8);
// A new sample has a weight of 1/ServiceTimeWeightDivisor in the moving average of the service
// time.
constexpr int ServiceTimeWeightDivisor = 8;
constexpr Millis InitialServiceTime{25};
// Limits of the queue, per customer and in total.
constexpr uint32_t MaxQueuedPerCustomer = 200;
constexpr uint32_t MaxQueued = 600;
// Interval of the search for queued requests that were overtaken. It visits all waiting customers;
// the shortest time limit is ten times as long.
constexpr Millis QueueCheckInterval{100};

RunReply refuse(Reason RefusalReason) {
  return makeFailureReply(RunReply::NOT_SENT, RefusalReason);
}

// --- Slots ---

// Wakes the next requests in the queue while slots are free and a cold instance may get more.
void grantSlots(InstanceDispatch &Dispatch) {
  while (maySendToCold(Dispatch.m_ColdWindow, bootNow(), {})) {
    auto NextRequest = startNextRequest(Dispatch.m_Queue, bootNow());
    if (!NextRequest)
      return;
    auto WaiterIt = Dispatch.m_Waiters.find(NextRequest->m_Id);
    if (WaiterIt == Dispatch.m_Waiters.end()) {
      finishRequest(Dispatch.m_Queue, NextRequest->m_Customer, Duration::zero(),
                    NextRequest->m_Priority);
      continue;
    }
    reserveForCold(Dispatch.m_ColdWindow);
    WaiterIt->second->m_Wakeup.wake();
  }
}

// Wakes a queued request that was removed from the queue.
void refuseWaiter(InstanceDispatch &Dispatch, uint64_t Id, Reason RefusalReason) {
  auto WaiterIt = Dispatch.m_Waiters.find(Id);
  if (WaiterIt == Dispatch.m_Waiters.end())
    return;
  WaiterIt->second->m_RefusalReason = RefusalReason;
  WaiterIt->second->m_Wakeup.wake();
}

// Counts a refusal and returns the reply. A refusal by the queue or the rate says when to ask
// again; the delay until then is BaseDelay with jitter.
RunReply refuseWithHint(LineHost &Host, const RunRequest &Request, Reason RefusalReason,
                        Duration BaseDelay) {
  double Draw = std::uniform_real_distribution<double>(0, 1)(Host.m_Random);
  RunReply Reply = refuse(RefusalReason);
  Reply.set_retry_ms(static_cast<uint32_t>(retryHint(BaseDelay, Request.priority(), Draw).count()));
  countQueueRefusal(*Host.m_Metrics, RefusalReason, Request.priority());
  return Reply;
}

RunReply refuseSlot(LineHost &Host, const RunRequest &Request, Reason RefusalReason) {
  if (!isQueueRefusal(RefusalReason))
    return refuse(RefusalReason);
  const FairQueue &Queue = Host.m_Dispatches[Request.instance()].m_Queue;
  return refuseWithHint(
      Host, Request, RefusalReason,
      expectedRetryDelay(Queue, Request.customer(), Request.priority(), bootNow()));
}

QueuedRequest makeQueueEntry(const RunRequest &Request, TimePoint Now) {
  QueuedRequest QueueEntry;
  QueueEntry.m_Customer = Request.customer();
  QueueEntry.m_QueuedAt = Now;
  QueueEntry.m_Deadline = Now + Millis(Request.wait_ms());
  QueueEntry.m_IsPinned = Request.mode() == RunRequest::NEXT || Request.mode() == RunRequest::END;
  QueueEntry.m_Priority = Request.priority();
  if (Request.goal_ms() != 0)
    QueueEntry.m_LatencyTargetAt = Now + Millis(Request.goal_ms());
  return QueueEntry;
}

QueueSettings makeQueueLimits(const RunRequest &Request) {
  QueueSettings Limits;
  Limits.m_MaxPerCustomer = MaxQueuedPerCustomer;
  Limits.m_MaxTotal = MaxQueued;
  Limits.m_MaxWait = Millis(Request.wait_ms());
  Limits.m_RefusesLateStarts = true;
  return Limits;
}

// Waits for a slot. Returns the refusal reason, or Reason::None once a slot is taken.
Awaitable<Reason> acquireSlot(LineHost &Host, const RunRequest &Request) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  if (Request.mode() == RunRequest::END && !Dispatch.m_ColdWindow.m_Limit) {
    reserveForCold(Dispatch.m_ColdWindow);
    startUnqueued(Dispatch.m_Queue, Request.customer(), Request.priority());
    co_return Reason::None;
  }
  QueuedRequest QueueEntry = makeQueueEntry(Request, bootNow());
  QueueEntry.m_Id = Host.m_NextId++;
  std::optional<uint64_t> ShedId;
  auto Waiter = std::make_shared<SlotWaiter>(Host.m_Io);
  Reason RefusalReason =
      enqueueRequest(Dispatch.m_Queue, QueueEntry, ShedId, makeQueueLimits(Request));
  if (ShedId)
    refuseWaiter(Dispatch, *ShedId, Reason::QueueDisplaced);
  if (RefusalReason != Reason::None)
    co_return RefusalReason;
  Dispatch.m_Waiters[QueueEntry.m_Id] = Waiter;
  grantSlots(Dispatch);
  co_await Waiter->m_Wakeup.wait();
  Dispatch.m_Waiters.erase(QueueEntry.m_Id);
  co_return Waiter->m_RefusalReason;
}

void releaseSlot(InstanceDispatch &Dispatch, const RunRequest &Request, Duration SlotTime,
                 bool HasRun) {
  finishRequest(Dispatch.m_Queue, Request.customer(), SlotTime, Request.priority());
  if (HasRun)
    Dispatch.m_ServiceTime = Dispatch.m_ServiceTime == Duration::zero()
                                 ? SlotTime
                                 : Dispatch.m_ServiceTime + (SlotTime - Dispatch.m_ServiceTime) /
                                                                ServiceTimeWeightDivisor;
  updateSlotCount(Dispatch);
  grantSlots(Dispatch);
}

// Releases a slot with which nothing was sent.
void releaseUnusedSlot(InstanceDispatch &Dispatch, const RunRequest &Request, Duration SlotTime) {
  releaseForCold(Dispatch.m_ColdWindow);
  releaseSlot(Dispatch, Request, SlotTime, false);
}

bool isClosedByEvacuation(LineHost &Host, const RunRequest &Request) {
  return !acceptsStatements(evacuationStage(Host, Request.instance(), bootNow()));
}

// Whether writes stall at the instance, so that another one may not start.
bool isStalledWrite(const InstanceDispatch &Dispatch, const RunRequest &Request) {
  return Request.write() && !canStartWrite(Dispatch.m_WriteGate);
}

// Whether the instance could not be reached lately and no connection is tried yet.
bool isBackingOff(const InstanceDispatch &Dispatch) {
  return Dispatch.m_IsUnreachable && bootNow() < Dispatch.m_RetryAt;
}

// Like acquireSlot(), but refuses writes while writes stall, because writes that are not
// acknowledged would occupy all slots, and all statements to an evacuated data centre. Checks
// before and after the wait.
Awaitable<Reason> acquireSlotUnlessClosed(LineHost &Host, const RunRequest &Request) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  if (isStalledWrite(Dispatch, Request))
    co_return Reason::NoMajority;
  Reason RefusalReason = co_await acquireSlot(Host, Request);
  if (RefusalReason != Reason::None)
    co_return RefusalReason;
  if (isClosedByEvacuation(Host, Request))
    RefusalReason = Reason::Evacuated;
  else if (isStalledWrite(Dispatch, Request))
    RefusalReason = Reason::NoMajority;
  if (RefusalReason != Reason::None)
    releaseUnusedSlot(Dispatch, Request, Duration::zero());
  co_return RefusalReason;
}

// Records the position that an answer shows. The dispatcher sees the answers to the callers of all
// hosts, so its updates on the instance are the newest.
void noteShownPosition(LineHost &Host, const std::string &Instance, const RunReply &Reply,
                       TimePoint SentAt) {
  LineGroup *Group = findGroupOf(Host, Instance);
  Position ShownPosition{Reply.position().term(), Reply.position().index()};
  if (!Group || !Reply.error_code().empty() || ShownPosition == Position{})
    return;
  LineInstance &State = Group->m_Instances[Instance];
  State.m_AppliedPosition = std::max(State.m_AppliedPosition, ShownPosition);
  if (Reply.leads() && Group->m_Primary == Instance)
    addConfirmedPosition(Group->m_History, {ShownPosition, SentAt}, bootNow());
}

// Runs the statement within the time limit of the request; the connection is closed if no answer
// arrives by then.
Awaitable<RunReply> runWithTimeLimit(LineHost &Host,
                                     const std::shared_ptr<LinePoolConnection> &Connection,
                                     const RunRequest &Request) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  auto Close = [Connection] { closeSocket(Connection->m_Transport.m_Socket); };
  ScopedDeadline RunDeadline(Host.m_DeadlineQueue, bootNow() + Millis(Request.run_ms()), Close);
  Connection->m_SentAt = bootNow();
  releaseForCold(Dispatch.m_ColdWindow);
  // The other half is left for the statement itself.
  Connection->m_ColdWaitUntil = Connection->m_SentAt + Millis(Request.run_ms()) / 2;
  Connection->m_IsWrite = Request.write();
  uint32_t RunningCount = Dispatch.m_Queue.m_RunningCount;
  Dispatch.m_BusyConnections.insert(Connection);
  Dispatch.m_WriteGate.m_InProgressCount += Request.write() ? 1 : 0;
  RunReply Reply = co_await runOnConnection(Connection, Request);
  Dispatch.m_BusyConnections.erase(Connection);
  Dispatch.m_WriteGate.m_InProgressCount -= Request.write() ? 1 : 0;
  Connection->m_ColdWaitUntil = {};
  if (Connection->m_IsHeldBack && Reply.outcome() == RunReply::NOT_SENT) {
    Connection->m_SentAt = {};
    co_return refuseSlot(Host, Request,
                         isClosedByEvacuation(Host, Request) ? Reason::Evacuated
                                                             : Reason::QueueTimeout);
  }
  noteStatementResult(Host, Dispatch, Request, Reply, RunningCount,
                      bootNow() - Connection->m_SentAt);
  if (Reply.outcome() == RunReply::ANSWERED)
    markReachable(Request.instance(), Dispatch);
  if (Reply.outcome() == RunReply::ANSWERED && Request.write())
    noteCommitTime(Dispatch.m_WriteGate, bootNow() - Connection->m_SentAt);
  if (Reply.outcome() == RunReply::ANSWERED) {
    noteShownPosition(Host, Request.instance(), Reply, Connection->m_SentAt);
  } else {
    if (!Connection->m_Answers.m_Violation.empty())
      countEvent(*Host.m_Metrics, "answer_unattributable");
    logLine(LogLevel::Info, "answer_missing",
            {{"id", Request.statement_id()},
             {"instance", Request.instance()},
             {"customer", Request.customer()},
             {"why", Connection->m_IsOverBudget ? "the answer is too large for the host's memory"
                     : Connection->m_Answers.m_Violation.empty()
                         ? "the connection ended"
                         : "not to be attributed: " + Connection->m_Answers.m_Violation},
             {"sent", Reply.outcome() == RunReply::LOST ? "yes" : "no"},
             {"waited_ms", std::to_string((bootNow() - Connection->m_SentAt) / Millis(1))},
             {"limit_ms", std::to_string(Request.run_ms())}});
  }
  reportRepeatedAnswers(Host, *Connection, Request);
  Connection->m_SentAt = {};
  co_return Reply;
}

Awaitable<void> rollBack(LineHost &Host, std::string Instance,
                         std::shared_ptr<LinePoolConnection> Connection) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Instance];
  ScopedDeadline RollbackDeadline(Host.m_DeadlineQueue, bootNow() + ProbeTimeout,
                                  [Connection] { closeSocket(Connection->m_Transport.m_Socket); });
  // An instance rolls back what was open on a connection that is closed.
  bool IsRolledBack = !Connection->m_IsDesynchronized && dropRepeatedAnswers(*Connection) &&
                      acceptsCommands(evacuationStage(Host, Instance, bootNow()));
  std::vector<std::string> Texts(1, "ROLLBACK");
  if (IsRolledBack)
    IsRolledBack = co_await runHostStatements(Connection, std::move(Texts), TransactionState::None);
  releaseConnection(Dispatch, Connection, IsRolledBack);
}

void endTransaction(LineHost &Host, const TransactionKey &Key) {
  auto It = Host.m_Transactions.find(Key);
  if (It == Host.m_Transactions.end())
    return;
  if (It->second.m_IsStatementRunning) {
    It->second.m_IsAbandoned = true;
    return;
  }
  PinnedTransaction Transaction = std::move(It->second);
  Host.m_Transactions.erase(It);
  spawnTask(Host, "roll_back", rollBack(Host, Transaction.m_Instance, Transaction.m_Connection));
}

// Whether the connections lead to the process of the instance that is listed. A restarted one has a
// new incarnation, and the connections to its earlier process are dead.
bool isSameProcess(const InstanceDispatch &Dispatch, const LineInstance &Target) {
  return Dispatch.m_Address == Target.m_Address &&
         Dispatch.m_InstanceIncarnation == Target.m_StartTimeMs;
}

void refreshDispatch(LineHost &Host, const RunRequest &Request, InstanceDispatch &Dispatch) {
  const LineInstance *Target = findInstance(Host, Request.instance());
  if (!Target)
    return;
  Dispatch.m_SlotCount = std::max<uint32_t>(1, Target->m_SlotCount);
  updateSlotCount(Dispatch);
  refreshColdLimit(Host, *Target, bootNow());
  if (!isSameProcess(Dispatch, *Target)) {
    closeIdleConnections(Dispatch, ConnectionClose::InstanceRestarted);
    Dispatch.m_Address = Target->m_Address;
    Dispatch.m_InstanceIncarnation = Target->m_StartTimeMs;
    Dispatch.m_RetryAt = {};
  }
}

Awaitable<RunReply> runInTransaction(LineHost &Host, const RunRequest &Request,
                                     TransactionKey Key) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  auto It = Host.m_Transactions.find(Key);
  if (It == Host.m_Transactions.end() || It->second.m_IsStatementRunning)
    co_return refuse(Reason::NoTransaction);
  It->second.m_IsStatementRunning = true;
  auto Connection = It->second.m_Connection;
  CountGuard ActiveGuard(Dispatch.m_ActiveTransactionCount);
  updateSlotCount(Dispatch);
  Reason RefusalReason = co_await acquireSlotUnlessClosed(Host, Request);
  RunReply Reply = refuseSlot(Host, Request, RefusalReason);
  if (RefusalReason == Reason::None) {
    TimePoint StartedAt = bootNow();
    Reply = co_await runWithTimeLimit(Host, Connection, Request);
    releaseSlot(Dispatch, Request, bootNow() - StartedAt, hasServiceTime(Reply));
  }
  It = Host.m_Transactions.find(Key);
  if (It == Host.m_Transactions.end())
    co_return Reply;
  It->second.m_IsStatementRunning = false;
  It->second.m_LastUsedAt = bootNow();
  bool HasEnded = Reply.outcome() == RunReply::ANSWERED && Reply.state() == "I";
  if (HasEnded || Reply.outcome() == RunReply::LOST) {
    releaseConnection(Dispatch, Connection, HasEnded);
    Host.m_Transactions.erase(It);
  } else if (It->second.m_IsAbandoned) {
    endTransaction(Host, Key);
  }
  co_return Reply;
}

Awaitable<RunReply> runOnPooledConnection(LineHost &Host, const RunRequest &Request,
                                          TransactionKey Key) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  refreshDispatch(Host, Request, Dispatch);
  if (Dispatch.m_Address.empty())
    co_return refuse(Reason::InstanceUnavailable);
  if (isBackingOff(Dispatch))
    co_return refuse(Reason::InstanceUnavailable);
  Reason RefusalReason = co_await acquireSlotUnlessClosed(Host, Request);
  if (RefusalReason != Reason::None)
    co_return refuseSlot(Host, Request, RefusalReason);
  TimePoint StartedAt = bootNow();
  auto Connection = co_await takeConnection(Host, Request);
  bool IsClosed = isClosedByEvacuation(Host, Request);
  if (Connection && IsClosed)
    closeConnection(Dispatch, Connection, ConnectionClose::Evacuated);
  if (!Connection || IsClosed) {
    releaseUnusedSlot(Dispatch, Request, bootNow() - StartedAt);
    co_return refuse(IsClosed                   ? Reason::Evacuated
                     : Dispatch.m_IsUnreachable ? Reason::InstanceUnavailable
                                                : Reason::QueueFull);
  }
  RunReply Reply = co_await runWithTimeLimit(Host, Connection, Request);
  releaseSlot(Dispatch, Request, bootNow() - StartedAt, hasServiceTime(Reply));
  bool IsTransactionOpen = Request.mode() == RunRequest::OPEN &&
                           Reply.outcome() == RunReply::ANSWERED && Reply.state() != "I";
  if (IsTransactionOpen) {
    PinnedTransaction &Transaction = Host.m_Transactions[Key];
    Transaction.m_Connection = Connection;
    Transaction.m_Instance = Request.instance();
    Transaction.m_Customer = Request.customer();
    Transaction.m_LastUsedAt = bootNow();
    // The link to the requesting host may have closed in the meantime.
    if (Key.first != 0 && !Host.m_InboundLinks.contains(Key.first))
      endTransaction(Host, Key);
    co_return Reply;
  }
  bool IsUnused = Reply.outcome() == RunReply::NOT_SENT && Connection->m_IsHeldBack;
  releaseConnection(Dispatch, Connection,
                    IsUnused || (Reply.outcome() == RunReply::ANSWERED && Reply.state() == "I"));
  co_return Reply;
}

// Asks an instance that has stopped answering for its status, on a new connection. If that fails
// too, marks it unreachable and closes its busy connections.
Awaitable<void> probeInstance(LineHost &Host, std::string Instance, std::string Group,
                              std::string Customer) {
  auto Connection = co_await openConnection(Host, Instance, Group, Customer);
  InstanceDispatch &Dispatch = Host.m_Dispatches[Instance];
  bool HasAnswered = false;
  if (Connection) {
    ScopedDeadline ProbeDeadline(Host.m_DeadlineQueue, bootNow() + ProbeTimeout,
                                 [Connection] { closeSocket(Connection->m_Transport.m_Socket); });
    co_await writeText(Connection->m_Transport,
                       platform::formatQuery(platform::HostStatementId, platform::StatusText));
    HasAnswered = (co_await readAnswer(Connection, {true, TransactionState::None})).has_value();
    releaseConnection(Dispatch, Connection, HasAnswered);
  }
  if (HasAnswered) {
    markReachable(Instance, Dispatch);
  } else {
    markUnreachable(Instance, Dispatch, "no answer to statements or to a probe");
    for (const auto &BusyConnection : std::set(Dispatch.m_BusyConnections))
      closeSocket(BusyConnection->m_Transport.m_Socket);
  }
  Dispatch.m_IsProbing = false;
}

// Charges the first statement of an operation to the customer's rate.
bool admitOperation(LineHost &Host, const RunRequest &Request) {
  TimePoint Now = bootNow();
  noteCustomerArrival(Host.m_Usage, Request.customer(), Now);
  if (admitCustomerRequest(Host.m_Usage, Request.customer(), Now))
    return true;
  countEvent(*Host.m_Metrics, "operation_over_rate");
  const CustomerUsage &Usage = Host.m_Usage.m_Customers.at(Request.customer());
  logLine(LogLevel::Info, "operation_over_rate",
          {{"id", Request.statement_id()},
           {"customer", Request.customer()},
           {"rate", fmt::format("{:.1f}", Usage.m_Rate)},
           {"burst", fmt::format("{:.1f}", Usage.m_Burst)},
           {"level", fmt::format("{:.1f}", Usage.m_Tokens)},
           {"offered", fmt::format("{:.1f}", offeredRate(Usage, Now))}});
  return false;
}

RunReply refuseOverRate(LineHost &Host, const RunRequest &Request) {
  const CustomerUsage &Usage = Host.m_Usage.m_Customers.at(Request.customer());
  return refuseWithHint(
      Host, Request, Reason::RateLimited,
      rateRetryDelay(Usage.m_Tokens, Usage.m_Rate, offeredRate(Usage, bootNow())));
}

} // namespace

Duration expectedWait(const InstanceDispatch &Dispatch) {
  Duration ServiceTime = Dispatch.m_ServiceTime == Duration::zero() ? Duration(InitialServiceTime)
                                                                    : Dispatch.m_ServiceTime;
  uint32_t AheadCount = Dispatch.m_Queue.m_QueuedCount + Dispatch.m_Queue.m_RunningCount;
  uint32_t SlotCount = std::max<uint32_t>(1, Dispatch.m_Queue.m_SlotCount);
  Duration Cost = avoidanceCost(Dispatch.m_Concurrency, ConcurrencySettings{});
  Duration SlotWait = AheadCount < SlotCount
                          ? Duration::zero()
                          : ServiceTime * (AheadCount + 1 - SlotCount) / SlotCount;
  return Cost + std::max(SlotWait,
                         expectedColdWait(Dispatch.m_ColdWindow, Dispatch.m_Queue.m_QueuedCount));
}

DispatchExplanation explainDispatch(LineHost &Host, const RunRequest &Request) {
  DispatchExplanation Result;
  const LineInstance *Target = findInstance(Host, Request.instance());
  auto It = Host.m_Dispatches.find(Request.instance());
  if (isClosedByEvacuation(Host, Request))
    Result.m_Refusal = Reason::Evacuated;
  if (Target)
    Result.m_SlotCount = std::max(1U, Target->m_SlotCount);
  if (!Target || It == Host.m_Dispatches.end())
    return Result;
  const InstanceDispatch &Dispatch = It->second;
  Result.m_QueuedCount = Dispatch.m_Queue.m_QueuedCount;
  Result.m_RunningCount = Dispatch.m_Queue.m_RunningCount;
  Result.m_SlotCount = Dispatch.m_Queue.m_SlotCount;
  Result.m_ExpectedWait = expectedWait(Dispatch);
  if (Result.m_Refusal != Reason::None)
    return Result;
  if (isBackingOff(Dispatch) && isSameProcess(Dispatch, *Target)) {
    Result.m_Refusal = Reason::InstanceUnavailable;
  } else if (isStalledWrite(Dispatch, Request)) {
    Result.m_Refusal = Reason::NoMajority;
  } else {
    FairQueue Copy = Dispatch.m_Queue;
    std::optional<uint64_t> ShedId;
    Result.m_Refusal =
        enqueueRequest(Copy, makeQueueEntry(Request, bootNow()), ShedId, makeQueueLimits(Request));
    Result.m_Displaces = ShedId.has_value();
  }
  return Result;
}

Awaitable<RunReply> runAtInstance(LineHost &Host, RunRequest Request, uint64_t LinkId) {
  TransactionKey Key{LinkId, Request.transaction()};
  if (Request.mode() == RunRequest::ABANDON) {
    endTransaction(Host, Key);
    co_return RunReply();
  }
  bool IsInTransaction = Request.mode() == RunRequest::NEXT || Request.mode() == RunRequest::END;
  bool IsClosed = isClosedByEvacuation(Host, Request);
  RunReply Reply = refuse(Reason::Evacuated);
  if (IsClosed)
    countEvent(*Host.m_Metrics, "statement_evacuated");
  else if (IsInTransaction)
    Reply = co_await runInTransaction(Host, Request, Key);
  else if (admitOperation(Host, Request))
    Reply = co_await runOnPooledConnection(Host, Request, Key);
  else
    Reply = refuseOverRate(Host, Request);
  bool IsOverRate = Reply.outcome() == RunReply::NOT_SENT &&
                    Reply.refusal() == static_cast<uint32_t>(Reason::RateLimited);
  if (!IsClosed && !IsInTransaction && !IsOverRate && wasNotRun(Reply))
    refundCustomerRequest(Host.m_Usage, Request.customer());
  co_await checkAcknowledgement(Host, Request.instance(), Request.write(), Reply);
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  Reply.set_wait_us(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(expectedWait(Dispatch)).count()));
  Reply.set_call(Request.call());
  co_return Reply;
}

void abandonTransactions(LineHost &Host, uint64_t LinkId) {
  std::vector<TransactionKey> Keys;
  for (const auto &[Key, Transaction] : Host.m_Transactions)
    if (Key.first == LinkId)
      Keys.push_back(Key);
  for (const TransactionKey &Key : Keys)
    endTransaction(Host, Key);
}

void endAllTransactions(LineHost &Host) {
  std::vector<TransactionKey> Keys;
  Keys.reserve(Host.m_Transactions.size());
  for (const auto &[Key, Transaction] : Host.m_Transactions)
    Keys.push_back(Key);
  for (const TransactionKey &Key : Keys)
    endTransaction(Host, Key);
}

// Refuses the requests that wait for a slot.
static void refuseWaiters(InstanceDispatch &Dispatch, Reason RefusalReason) {
  std::erase_if(Dispatch.m_Waiters, [&](const auto &Entry) {
    SlotWaiter &Waiter = *Entry.second;
    if (Waiter.m_Wakeup.isWoken())
      return false; // it was granted a slot or refused already
    Waiter.m_RefusalReason = RefusalReason;
    Waiter.m_Wakeup.wake();
    return true;
  });
}

static void closeBusyConnections(InstanceDispatch &Dispatch) {
  for (const auto &Connection : Dispatch.m_BusyConnections)
    closeSocket(Connection->m_Transport.m_Socket);
}

void giveUpStatements(LineHost &Host) {
  for (auto &[Id, Dispatch] : Host.m_Dispatches) {
    refuseWaiters(Dispatch, Reason::Draining);
    closeBusyConnections(Dispatch);
  }
}

void evacuateDispatch(LineHost &Host, const std::string &Instance, bool IsClosed) {
  for (auto It = Host.m_Transactions.begin(); It != Host.m_Transactions.end();) {
    const auto &[Key, Transaction] = *It++;
    if (Transaction.m_Instance == Instance && !Transaction.m_IsAbandoned)
      endTransaction(Host, TransactionKey(Key));
  }
  auto It = Host.m_Dispatches.find(Instance);
  if (It == Host.m_Dispatches.end())
    return;
  refuseWaiters(It->second, Reason::Evacuated);
  closeIdleConnections(It->second, ConnectionClose::Evacuated);
  if (IsClosed)
    closeBusyConnections(It->second);
}

// Marks the writes of a group as stalled if its primary has acknowledged none and some are overdue.
void detectStalledWrites(LineHost &Host, const std::string &Instance, InstanceDispatch &Dispatch,
                         TimePoint Now) {
  auto IsOverdue = [&](const auto &Connection) {
    return Connection->m_IsWrite && Connection->m_SentAt != TimePoint{} &&
           Now - Connection->m_SentAt > WriteStallTimeout;
  };
  LineGroup *Group = findGroupOf(Host, Instance);
  if (!Group || Group->m_Primary != Instance ||
      Now - Dispatch.m_WriteGate.m_AcknowledgedAt < WriteStallTimeout ||
      std::ranges::none_of(Dispatch.m_BusyConnections, IsOverdue))
    return;
  if (!isStalled(Dispatch.m_WriteGate))
    logLine(LogLevel::Warning, "writes_stalled",
            {{"instance", Instance},
             {"in_progress", std::to_string(Dispatch.m_WriteGate.m_InProgressCount)}});
  Dispatch.m_WriteGate.m_StalledAt = Now;
  Group->m_WritesStalled = true;
  Group->m_WritesStalledAt = Now;
}

// Ends transactions that the host of their caller no longer tracks, such as those whose first
// answer arrived too late.
void endOrphanedTransactions(LineHost &Host, TimePoint Now) {
  Duration OrphanTimeout = MinOrphanTimeout;
  if (Host.m_Config)
    OrphanTimeout = std::max<Duration>(OrphanTimeout, 2 * Host.m_Config->m_TransactionIdleTimeout);
  std::vector<TransactionKey> OrphanedKeys;
  for (const auto &[Key, Transaction] : Host.m_Transactions)
    if (!Transaction.m_IsStatementRunning && Now - Transaction.m_LastUsedAt > OrphanTimeout)
      OrphanedKeys.push_back(Key);
  for (const TransactionKey &Key : OrphanedKeys)
    endTransaction(Host, Key);
}

void retireDispatches(LineHost &Host, TimePoint Now) {
  for (auto &[Id, Dispatch] : Host.m_Dispatches) {
    const LineInstance *Target = findInstance(Host, Id);
    bool IsUnused = !Dispatch.m_IdleConnections.empty() &&
                    Now - Dispatch.m_IdleConnections.front()->m_LastUsedAt > RetireDelay;
    if (!IsUnused || (Target && findDispatcher(Host, *Target, {}, Now) == Host.m_Members.m_Self))
      continue;
    logLine(LogLevel::Info, "dispatch_retired",
            {{"instance", Id}, {"closed", std::to_string(Dispatch.m_IdleConnections.size())}});
    closeIdleConnections(Dispatch, ConnectionClose::DispatcherChanged);
  }
}

// Closes idle connections of a host that stops, which the next dispatcher needs.
static void closeUnusedWhileDraining(LineHost &Host, const std::string &Instance,
                                     InstanceDispatch &Dispatch, TimePoint Now) {
  const LineGroup *Group = findGroupOf(Host, Instance);
  std::vector<TimePoint> LastUsedAt;
  std::ranges::transform(Dispatch.m_IdleConnections, std::back_inserter(LastUsedAt),
                         [](const auto &Connection) { return Connection->m_LastUsedAt; });
  size_t KeptCount = countKeptWhileDraining(LastUsedAt, Group ? Group->m_MaxConnections : 0, Now,
                                            DefaultConnectionSettings);
  while (Dispatch.m_IdleConnections.size() > KeptCount)
    closeConnection(Dispatch, removeIdle(Dispatch, std::prev(Dispatch.m_IdleConnections.end())),
                    ConnectionClose::HostDraining);
}

void tickDispatches(LineHost &Host, TimePoint Now) {
  endOrphanedTransactions(Host, Now);
  for (auto &[Id, Dispatch] : Host.m_Dispatches) {
    reviewLimit(Id, Dispatch, Now);
    for (const QueuedRequest &Expired : expireQueuedRequests(Dispatch.m_Queue, Now, {}))
      refuseWaiter(Dispatch, Expired.m_Id, Reason::QueueTimeout);
    if (Now - Dispatch.m_QueueCheckedAt >= QueueCheckInterval) {
      Dispatch.m_QueueCheckedAt = Now;
      for (const QueuedRequest &Overtaken : removeOvertakenRequests(Dispatch.m_Queue, Now))
        refuseWaiter(Dispatch, Overtaken.m_Id, Reason::QueueDisplaced);
    }
    if (Host.m_IsDraining)
      closeUnusedWhileDraining(Host, Id, Dispatch, Now);
    while (Dispatch.m_IdleConnections.size() > Dispatch.m_SlotCount &&
           Now - Dispatch.m_IdleConnections.back()->m_LastUsedAt >
               DefaultConnectionSettings.m_IdleTimeout)
      closeConnection(Dispatch, removeIdle(Dispatch, std::prev(Dispatch.m_IdleConnections.end())),
                      ConnectionClose::IdleTimeout);
    forgetOldDemand(Dispatch.m_Demand, Now, DefaultConnectionSettings);
    detectStalledWrites(Host, Id, Dispatch, Now);
    auto IsOverdue = [&](const auto &Connection) {
      return Now - Connection->m_SentAt > SilenceTimeout && Connection->m_SentAt > TimePoint{};
    };
    bool IsSilent = Now - Dispatch.m_LastAnswerAt > SilenceTimeout &&
                    std::ranges::any_of(Dispatch.m_BusyConnections, IsOverdue);
    IsSilent = IsSilent && acceptsStatements(evacuationStage(Host, Id, Now)); // as it connects
    if (isEvacuationEnabled(Host))
      grantSlots(Dispatch); // of a cold instance; others are granted as slots become free
    LineGroup *Group = IsSilent ? findGroupOf(Host, Id) : nullptr;
    if (Group && !std::exchange(Dispatch.m_IsProbing, true)) {
      std::string Customer = (*Dispatch.m_BusyConnections.begin())->m_Customer;
      spawnTask(Host, "probe_instance", probeInstance(Host, Id, Group->m_Name, Customer),
                [&Dispatch] { Dispatch.m_IsProbing = false; });
    }
  }
}

} // namespace quetzalpaddle
