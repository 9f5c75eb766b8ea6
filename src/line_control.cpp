// Each statement runs on a connection of its own, because an instance that is out of connections or
// slots for callers still has to answer it.
#include "line_control.h"

#include "platform/line_codec.h"

namespace quetzalpaddle {

namespace {

// Customer name of the host's own connections; instances require one.
constexpr const char *ControlCustomer = "quetzalpaddle";

// What an instance has answered to a control statement so far.
struct ControlExchange {
  bool m_IsConnected = false; // CONNECT was answered
  std::vector<std::string> m_Rows;
  bool m_IsComplete = false;
  std::string m_ErrorCode;
  bool m_IsOver = false;
};

void handleMessage(ControlExchange &Exchange, platform::InstanceMessage Message) {
  bool IsResultKnown = Exchange.m_IsComplete || !Exchange.m_ErrorCode.empty();
  if (std::holds_alternative<platform::ReadyMessage>(Message)) {
    // An instance may answer CONNECT twice: only a READY after a result ends the statement.
    Exchange.m_IsOver = IsResultKnown;
    Exchange.m_IsConnected = true;
  } else if (auto *Error = std::get_if<platform::ErrorMessage>(&Message); Error && !IsResultKnown) {
    Exchange.m_ErrorCode = Error->m_Code.empty() ? "-" : Error->m_Code;
    Exchange.m_IsOver = !Exchange.m_IsConnected;
  } else if (auto *Row = std::get_if<platform::RowMessage>(&Message);
             Row && Exchange.m_IsConnected && !IsResultKnown) {
    Exchange.m_Rows.push_back(std::move(Row->m_Row));
  } else if (std::holds_alternative<platform::CompleteMessage>(Message) && Exchange.m_IsConnected &&
             !IsResultKnown) {
    Exchange.m_IsComplete = true;
  } else { // not an answer to this statement
    Exchange.m_IsComplete = false;
    Exchange.m_IsOver = true;
  }
}

// Returns the status that a complete answer of one row shows.
std::optional<LineStatus> findStatus(const ControlExchange &Exchange) {
  bool IsWhole = Exchange.m_IsOver && Exchange.m_IsComplete && Exchange.m_Rows.size() == 1;
  return IsWhole ? platform::parseStatus(Exchange.m_Rows.front()) : std::nullopt;
}

} // namespace

Awaitable<ControlAnswer> runControlStatement(LineHost &Host, std::string Address, std::string Group,
                                             std::string Instance, std::string Text) {
  ControlAnswer Result;
  if (!acceptsCommands(evacuationStage(Host, Instance, bootNow())))
    co_return Result;
  auto Endpoint = parseEndpoint(Address);
  Result.m_HasEnded = !Endpoint; // nothing can run at such an address
  if (!Endpoint)
    co_return Result;
  auto IsTimedOut = std::make_shared<bool>(false);
  auto Connection = std::make_shared<LineConnection>(Tcp::socket(Host.m_Io));
  ScopedDeadline Deadline(Host.m_DeadlineQueue, bootNow() + TakeoverSettings().m_ProbeTimeout,
                          [Connection, IsTimedOut] {
                            *IsTimedOut = true;
                            closeSocket(Connection->m_Socket);
                          });
  auto [Error] = co_await Connection->m_Socket.async_connect(*Endpoint, AsTuple);
  Result.m_HasEnded = Error == boost::asio::error::connection_refused;
  if (Error)
    co_return Result;
  co_await writeText(*Connection, platform::formatConnect(Group, ControlCustomer, Instance) +
                                      platform::formatQuery(platform::HostStatementId, Text));
  ControlExchange Exchange;
  while (!Exchange.m_IsOver) {
    auto Line = co_await readLine(*Connection, platform::MaxMessageBytes);
    if (!Line)
      break;
    handleMessage(Exchange, platform::parseInstanceMessage(*Line));
  }
  Result.m_Status = findStatus(Exchange);
  Result.m_IsReachable =
      Result.m_Status || Exchange.m_ErrorCode == "BUSY" || Exchange.m_ErrorCode == "OVERLOAD";
  // A proxy in front of an instance that has ended accepts a connection and closes it.
  bool IsClosedUnanswered =
      !*IsTimedOut && !Exchange.m_IsOver && !Exchange.m_IsConnected && Exchange.m_ErrorCode.empty();
  bool IsOtherInstance = !Exchange.m_IsConnected && Exchange.m_ErrorCode == "WRONGNODE";
  Result.m_HasEnded = IsClosedUnanswered || IsOtherInstance;
  closeSocket(Connection->m_Socket);
  co_return Result;
}

} // namespace quetzalpaddle
