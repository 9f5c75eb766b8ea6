// Pool of connections to an instance: opening, taking, releasing and replacing them, and whether
// the instance can be reached. src/connections.h decides which one is replaced.
#include "line_connections.h"

#include "platform/line_codec.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

using line::RunRequest;

const ConnectionSettings DefaultConnectionSettings;
// The instance uses a slot for 10 to 30 ms to accept a connection, which queues behind statements.
constexpr Millis ConnectTimeout{700};
// Back-off before the next connection to an unreachable instance.
constexpr Millis MinBackoff{100};
constexpr Millis MaxBackoff{800};

} // namespace

void closeConnection(InstanceDispatch &Dispatch,
                     const std::shared_ptr<LinePoolConnection> &Connection, ConnectionClose Cause) {
  if (std::exchange(Connection->m_IsClosed, true))
    return;
  countConnectionClosed(*Connection->m_Metrics, Cause);
  closeSocket(Connection->m_Transport.m_Socket);
  --Dispatch.m_ConnectionCount;
  auto CountIt = Dispatch.m_CustomerConnections.find(Connection->m_Customer);
  if (--CountIt->second.m_OpenCount == 0)
    Dispatch.m_CustomerConnections.erase(CountIt);
}

void closeIdleConnections(InstanceDispatch &Dispatch, ConnectionClose Cause) {
  auto IdleConnections = std::exchange(Dispatch.m_IdleConnections, {});
  for (const auto &Connection : IdleConnections) {
    --Dispatch.m_CustomerConnections[Connection->m_Customer].m_IdleCount;
    closeConnection(Dispatch, Connection, Cause);
  }
}

std::shared_ptr<LinePoolConnection>
removeIdle(InstanceDispatch &Dispatch,
           std::list<std::shared_ptr<LinePoolConnection>>::iterator ConnectionIt) {
  auto Connection = *ConnectionIt;
  Dispatch.m_IdleConnections.erase(ConnectionIt);
  --Dispatch.m_CustomerConnections[Connection->m_Customer].m_IdleCount;
  return Connection;
}

void markUnreachable(const std::string &Instance, InstanceDispatch &Dispatch,
                     std::string_view FailureReason) {
  TimePoint Now = bootNow();
  Dispatch.m_LastFailureAt = Now;
  Dispatch.m_Backoff = std::clamp<Duration>(Dispatch.m_Backoff * 2, MinBackoff, MaxBackoff);
  Dispatch.m_RetryAt = Now + Dispatch.m_Backoff;
  if (!std::exchange(Dispatch.m_IsUnreachable, true))
    logLine(LogLevel::Warning, "instance_lost",
            {{"instance", Instance},
             {"why", std::string(FailureReason)},
             {"address", Dispatch.m_Address}});
  closeIdleConnections(Dispatch, ConnectionClose::InstanceUnreachable);
}

void markReachable(const std::string &Instance, InstanceDispatch &Dispatch) {
  Dispatch.m_Backoff = Duration::zero();
  Dispatch.m_LastAnswerAt = bootNow();
  if (std::exchange(Dispatch.m_IsUnreachable, false))
    logLine(LogLevel::Info, "instance_regained", {{"instance", Instance}});
}

Awaitable<std::shared_ptr<LinePoolConnection>>
openConnection(LineHost &Host, std::string Instance, std::string Group, std::string Customer) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Instance];
  auto Endpoint = parseEndpoint(Dispatch.m_Address);
  if (!Endpoint)
    co_return std::shared_ptr<LinePoolConnection>();
  std::shared_ptr<LinePoolConnection> Connection(
      new LinePoolConnection(Tcp::socket(Host.m_Io)),
      [Bytes = Host.m_Bytes](LinePoolConnection *Closed) {
        closeAccount(Bytes->m_Budget, Closed->m_Transport.m_Account);
        delete Closed;
      });
  Connection->m_Transport.m_Budget = &Host.m_ByteBudget;
  Connection->m_Transport.m_EndsOverBudget = true;
  openAccount(Host.m_ByteBudget, Connection->m_Transport.m_Account, Customer);
  ++Dispatch.m_ConnectionCount;
  bool IsFirst = Dispatch.m_CustomerConnections[Customer].m_OpenCount++ == 0;
  Connection->m_Metrics = Host.m_Metrics;
  countConnectionOpened(*Host.m_Metrics, IsFirst);
  Connection->m_Customer = Customer;
  Connection->m_Host = &Host;
  Connection->m_Dispatch = &Dispatch;
  Connection->m_Instance = Instance;
  TimePoint AttemptedAt = bootNow();
  TimePoint Deadline = limitByFinalAnswers(Host.m_Stop, AttemptedAt + ConnectTimeout);
  ScopedDeadline ConnectDeadline(Host.m_DeadlineQueue, Deadline,
                                 [Connection] { closeSocket(Connection->m_Transport.m_Socket); });
  auto [Error] = co_await Connection->m_Transport.m_Socket.async_connect(*Endpoint, AsTuple);
  std::string FailureReason = Error ? Error.message() : "";
  bool IsFull = false;
  if (!Error) {
    configureSocket(Connection->m_Transport.m_Socket);
    co_await writeText(Connection->m_Transport, platform::formatConnect(Group, Customer, Instance));
    auto Line = co_await readLine(Connection->m_Transport, platform::MaxMessageBytes);
    FailureReason = Line ? *Line : "connection closed or no answer within the time limit";
    if (Line) {
      auto Message = platform::parseInstanceMessage(*Line);
      if (std::holds_alternative<platform::ReadyMessage>(Message)) {
        markReachable(Instance, Dispatch);
        co_return Connection;
      }
      if (auto *ErrorAnswer = std::get_if<platform::ErrorMessage>(&Message))
        IsFull = ErrorAnswer->m_Code == "OVERLOAD" || ErrorAnswer->m_Code == "BUSY";
    }
  }
  closeConnection(Dispatch, Connection, ConnectionClose::OpenFailed);
  logLine(LogLevel::Warning, "connection_failed",
          {{"instance", Instance},
           {"customer", Customer},
           {"open", std::to_string(Dispatch.m_ConnectionCount)},
           {"idle", std::to_string(Dispatch.m_IdleConnections.size())},
           {"why", FailureReason}});
  if (IsFull)
    noteInstanceFull(Dispatch.m_Budget, Dispatch.m_ConnectionCount, Dispatch.m_SlotCount, bootNow(),
                     DefaultConnectionSettings);
  else if (isInstanceLost(bootNow() >= Deadline, AttemptedAt, Dispatch.m_LastAnswerAt))
    markUnreachable(Instance, Dispatch, FailureReason);
  else
    Dispatch.m_RetryAt = bootNow() + MinBackoff;
  co_return std::shared_ptr<LinePoolConnection>();
}

// Takes the idle connection of the customer that needs the fewest preparing statements. Returns
// null if there is none.
static std::shared_ptr<LinePoolConnection> takeIdleConnection(InstanceDispatch &Dispatch,
                                                              const RunRequest &Request) {
  std::map<std::string, std::string> Values;
  for (const auto &Value : Request.values())
    Values[Value.name()] = Value.value();
  auto BestIt = Dispatch.m_IdleConnections.end();
  size_t BestCost = 0;
  for (auto CandidateIt = Dispatch.m_IdleConnections.begin();
       CandidateIt != Dispatch.m_IdleConnections.end(); ++CandidateIt) {
    if ((*CandidateIt)->m_Customer != Request.customer())
      continue;
    size_t Cost = countSetupStatements(planConnectionSetup((*CandidateIt)->m_EstablishedState,
                                                           Values, Request.prepared_name(),
                                                           Request.prepared_shape()));
    if (BestIt == Dispatch.m_IdleConnections.end() || Cost < BestCost) {
      BestIt = CandidateIt;
      BestCost = Cost;
    }
  }
  if (BestIt == Dispatch.m_IdleConnections.end())
    return nullptr;
  auto Connection = removeIdle(Dispatch, BestIt);
  // If the rest of a partial answer never comes, its rows are taken for those of the next one.
  if (dropRepeatedAnswers(*Connection) && !hasPartialAnswer(*Connection))
    return Connection;
  bool HasUnread = !Connection->m_Answers.m_Violation.empty() || hasPartialAnswer(*Connection);
  if (HasUnread)
    logLine(LogLevel::Warning, "connection_unread",
            {{"instance", Request.instance()},
             {"customer", Connection->m_Customer},
             {"why", Connection->m_Answers.m_Violation}});
  closeConnection(Dispatch, Connection,
                  HasUnread ? ConnectionClose::UnreadData : ConnectionClose::NotReusable);
  return takeIdleConnection(Dispatch, Request);
}

// Returns the idle connection that is missed the least; there has to be one.
static std::list<std::shared_ptr<LinePoolConnection>>::iterator
findReplaced(InstanceDispatch &Dispatch, TimePoint Now) {
  std::string Customer = chooseReplacedCustomer(Dispatch.m_Demand, Dispatch.m_CustomerConnections,
                                                Now, DefaultConnectionSettings);
  auto &Idle = Dispatch.m_IdleConnections;
  auto It = std::ranges::find(Idle.rbegin(), Idle.rend(), Customer,
                              [](const auto &Connection) { return Connection->m_Customer; });
  return It == Idle.rend() ? std::prev(Idle.end()) : std::prev(It.base());
}

Awaitable<std::shared_ptr<LinePoolConnection>> takeConnection(LineHost &Host,
                                                              const RunRequest &Request) {
  InstanceDispatch &Dispatch = Host.m_Dispatches[Request.instance()];
  TimePoint Now = bootNow();
  noteConnectionTaken(Dispatch.m_Demand, Request.customer(), Now, DefaultConnectionSettings);
  std::shared_ptr<LinePoolConnection> Connection = takeIdleConnection(Dispatch, Request);
  if (Connection) {
    Connection->m_TakenAt = Now;
    co_return Connection;
  }
  if (Now < Dispatch.m_RetryAt)
    co_return std::shared_ptr<LinePoolConnection>();
  auto GroupIt = Host.m_Groups.find(Request.group());
  uint32_t AcceptedByInstance =
      GroupIt == Host.m_Groups.end() ? 1 : GroupIt->second.m_MaxConnections;
  uint32_t MaxConnections =
      maxConnections(Dispatch.m_Budget, AcceptedByInstance, Host.m_Roles.m_IsIsolated, bootNow(),
                     DefaultConnectionSettings);
  if (Dispatch.m_ConnectionCount >= MaxConnections) {
    if (Dispatch.m_IdleConnections.empty())
      co_return std::shared_ptr<LinePoolConnection>();
    closeConnection(Dispatch, removeIdle(Dispatch, findReplaced(Dispatch, Now)),
                    ConnectionClose::Replaced);
  }
  Connection =
      co_await openConnection(Host, Request.instance(), Request.group(), Request.customer());
  if (Connection)
    Connection->m_TakenAt = bootNow();
  co_return Connection;
}

void releaseConnection(InstanceDispatch &Dispatch,
                       const std::shared_ptr<LinePoolConnection> &Connection, bool IsReusable) {
  if (Connection->m_IsClosed)
    return;
  if (Connection->m_TakenAt != TimePoint{})
    noteConnectionReturned(Dispatch.m_Demand, Connection->m_Customer,
                           bootNow() - std::exchange(Connection->m_TakenAt, {}));
  if (!IsReusable || Connection->m_IsDesynchronized ||
      !Connection->m_Transport.m_Socket.is_open()) {
    bool IsError = Connection->m_Answers.m_IsOver && Connection->m_Answers.m_Violation.empty();
    closeConnection(Dispatch, Connection,
                    IsError ? ConnectionClose::ErrorAnswer : ConnectionClose::NotReusable);
    return;
  }
  Connection->m_LastUsedAt = bootNow();
  Dispatch.m_IdleConnections.push_front(Connection);
  ++Dispatch.m_CustomerConnections[Connection->m_Customer].m_IdleCount;
}

} // namespace quetzalpaddle
