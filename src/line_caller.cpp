// Life cycle of callers' sessions: accepting them, reading and answering their messages, and
// closing them.
#include "line_budget.h"
#include "line_session.h"

#include "platform/line_codec.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

// A session without a statement for this long is closed.
constexpr std::chrono::minutes SessionIdleTimeout{10};
// Interval of the check whether the host stops.
constexpr Millis StopCheckInterval{500};

AnswerClass classifyAnswer(const SessionAnswer &Answer) {
  if (Answer.m_ErrorCode.empty())
    return AnswerClass::Done;
  bool IsOutcomeUnknown = Answer.m_ErrorCode == "INDOUBT" || Answer.m_ErrorCode == "TIMEOUT" ||
                          Answer.m_ErrorCode == "FAILED";
  return IsOutcomeUnknown ? AnswerClass::Unknown : AnswerClass::NotRun;
}

void reportAnswer(LineHost &Host, const CallerSession &Session, const Statement &Stmt,
                  const SessionAnswer &Answer, Duration Elapsed) {
  countAnswer(*Host.m_Metrics, Session.m_Database, "", classifyAnswer(Answer), Answer.m_Reason,
              Elapsed, false);
  if (Answer.m_ErrorCode.empty())
    return;
  const SessionTransaction &Transaction = Session.m_Transaction;
  logLine(
      LogLevel::Info, "statement_failed",
      {{"id", Stmt.m_Id},
       {"verb", Stmt.m_Text.substr(0, Stmt.m_Text.find(' '))}, // without the caller's data
       {"database", Session.m_Database},
       {"code", Answer.m_ErrorCode},
       {"why", std::string(reasonName(Answer.m_Reason))},
       {"detail", Answer.m_ErrorText},
       {"took_ms",
        fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(Elapsed).count())},
       {"config", std::to_string(Host.m_Config ? Host.m_Config->m_Version : 0)},
       {"inputs", Answer.m_DecisionInputs},
       {"stop", std::string(stopPhaseName(currentStopPhase(Host)))},
       {"transaction",
        Transaction.m_IsBegun ? Transaction.m_Instance + " by " + Transaction.m_Dispatcher : ""}});
}

std::string formatAnswer(const CallerSession &Session, const SessionAnswer &Answer) {
  constexpr size_t MaxAddedBytes = 8; // to a row, by its keyword and line end
  std::string Output;
  size_t RowBytes = 0;
  for (const std::string &Row : Answer.m_Rows)
    RowBytes += Row.size() + MaxAddedBytes;
  Output.reserve(RowBytes); // growth would copy a large answer
  for (const std::string &Row : Answer.m_Rows)
    Output += platform::formatRow(Row);
  Output += Answer.m_ErrorCode.empty()
                ? platform::formatComplete(Answer.m_Digest)
                : platform::formatError(Answer.m_ErrorCode, Answer.m_ErrorText);
  Output += platform::formatReady(Session.m_State.m_Transaction, Session.m_ShownPosition);
  return Output;
}

// Whether bytes have arrived that were not read yet.
bool hasUnreadBytes(const CallerSession &Session) {
  boost::system::error_code Error; // a failed socket has nothing to read
  return Session.m_Transport.m_Socket.available(Error) > 0 && !Error;
}

// Ends the transaction that is open, or the session if there is none.
void endIdleSession(LineHost &Host, CallerSession &Session) {
  if (Session.m_State.m_Transaction != TransactionState::Open) {
    closeSocket(Session.m_Transport.m_Socket);
    return;
  }
  logLine(LogLevel::Info, "transaction_idle", {{"database", Session.m_Database}});
  abandonAtInstance(Host, Session.m_Transaction);
  Session.m_State.m_Transaction = TransactionState::Failed;
}

Duration idleTimeout(const LineHost &Host, const CallerSession &Session) {
  if (Session.m_State.m_Transaction == TransactionState::Open && Host.m_Config)
    return Host.m_Config->m_TransactionIdleTimeout;
  return SessionIdleTimeout;
}

// Reads the next message. If none arrives within the idle limit, ends the transaction or the
// session and returns nothing; a part of a message extends the limit once. At the limit the read is
// cancelled: a busy host may have a message that arrived in time and is not read yet.
Awaitable<std::optional<std::string>> readInTime(LineHost &Host, CallerSession &Session) {
  LineConnection &Transport = Session.m_Transport;
  for (bool IsExtended = false;;) {
    bool IsAtLimit = false;
    ScopedDeadline IdleDeadline(Host.m_DeadlineQueue, bootNow() + idleTimeout(Host, Session), [&] {
      IsAtLimit = true;
      boost::system::error_code IgnoredError; // the socket may be closed already
      Transport.m_Socket.cancel(IgnoredError);
    });
    auto Line = co_await readLine(Transport, platform::MaxMessageBytes);
    if (Line || !IsAtLimit || Transport.m_HasEnded || Transport.m_IsTooLong)
      co_return Line;
    if (hasUnreadBytes(Session) || (hasPartialLine(Transport) && !std::exchange(IsExtended, true)))
      continue;
    endIdleSession(Host, Session);
    co_return std::nullopt;
  }
}

SessionActivity describeActivity(const CallerSession &Session, bool IsStatementRunning) {
  SessionActivity Activity;
  Activity.m_IsStatementRunning = IsStatementRunning;
  Activity.m_HasRequest = hasLine(Session.m_Transport) || hasUnreadBytes(Session);
  Activity.m_HasPartialRequest = hasPartialLine(Session.m_Transport);
  Activity.m_Transaction = Session.m_State.m_Transaction;
  return Activity;
}

bool canCloseIdleSession(const LineHost &Host, const CallerSession &Session) {
  return canCloseSession(currentStopPhase(Host), describeActivity(Session, false));
}

// Rolls back an open transaction once the host accepts no further statement of it. The caller
// learns of it from the answer to its next statement.
void rollBackIfStopping(LineHost &Host, CallerSession &Session) {
  if (!Session.m_Transaction.m_IsOpen ||
      acceptsStatement(currentStopPhase(Host), StatementRole::InTransaction))
    return;
  logLine(LogLevel::Info, "transaction_rolled_back",
          {{"database", Session.m_Database},
           {"instance", Session.m_Transaction.m_Instance},
           {"why", "the host is stopping"}});
  abandonAtInstance(Host, Session.m_Transaction);
}

// Reads the next message. Returns nothing if the session is over. A read that was cancelled because
// the host stops goes on if a request, or a part of one, arrived just then.
Awaitable<std::optional<std::string>> readMessage(LineHost &Host, CallerSession &Session) {
  for (;;) {
    auto Line = co_await readInTime(Host, Session);
    if (Line || Session.m_Transport.m_HasEnded || Session.m_Transport.m_IsTooLong ||
        canCloseIdleSession(Host, Session))
      co_return Line;
  }
}

// Reads the CONNECT message and answers it. Returns whether the session continues.
Awaitable<bool> connectCaller(LineHost &Host, CallerSession &Session) {
  auto Line = co_await readMessage(Host, Session);
  if (!Line)
    co_return false;
  auto Message = platform::parseCallerMessage(*Line);
  auto *Connect = std::get_if<platform::ConnectMessage>(&Message);
  if (!Connect) {
    co_await writeText(Session.m_Transport,
                       platform::formatError("MALFORMED", "CONNECT comes first"));
    co_return false;
  }
  Line.reset(); // the message holds a copy
  Session.m_Database = Connect->m_Database;
  Session.m_Key = Connect->m_Key;
  auto Authorization = checkPermission(Host, Session);
  if (!acceptsSession(currentStopPhase(Host)))
    Authorization = refuse("BUSY", "the host is stopping", Reason::Draining);
  if (auto *Rejection = std::get_if<SessionAnswer>(&Authorization)) {
    logLine(LogLevel::Info, "connect_refused",
            {{"database", Session.m_Database},
             {"code", Rejection->m_ErrorCode},
             {"config", std::to_string(Host.m_Config ? Host.m_Config->m_Version : 0)}});
    co_await writeText(Session.m_Transport,
                       platform::formatError(Rejection->m_ErrorCode, Rejection->m_ErrorText));
    co_return false;
  }
  assignCustomer(Host.m_ByteBudget, Session.m_Transport.m_Account,
                 std::get<Permission>(Authorization).m_Customer);
  co_return co_await writeText(Session.m_Transport,
                               platform::formatReady(TransactionState::None, std::nullopt));
}

// Writes an answer in parts, each within a time limit. Returns false if the connection fails.
Awaitable<bool> writeAnswer(LineHost &Host, CallerSession &Session, std::string Output) {
  LineConnection &Transport = Session.m_Transport;
  ByteAccount &Account = Transport.m_Account;
  setHeld(Host.m_ByteBudget, Account, HeldKind::Answer, Output.size());
  if (isOverBudget(Host.m_ByteBudget))
    enforceByteBudget(Host, bootNow());
  bool IsWritten = true;
  for (size_t Offset = 0; IsWritten && Offset < Output.size(); Offset += WriteChunkBytes) {
    Account.m_WriteDeadline = bootNow() + Host.m_ByteBudget.m_Limits.m_WriteTimeout;
    auto Part = boost::asio::buffer(Output.data() + Offset,
                                    std::min(WriteChunkBytes, Output.size() - Offset));
    auto [Error, BytesWritten] =
        co_await boost::asio::async_write(Transport.m_Socket, Part, AsTuple);
    IsWritten = !Error;
  }
  Account.m_WriteDeadline = {};
  setHeld(Host.m_ByteBudget, Account, HeldKind::Answer, 0);
  co_return IsWritten;
}

Awaitable<void> serveStatements(LineHost &Host, CallerSession &Session, bool &IsStatementRunning) {
  while (!canCloseIdleSession(Host, Session)) {
    rollBackIfStopping(Host, Session);
    auto Line = co_await readMessage(Host, Session);
    if (!Line) {
      if (Session.m_Transport.m_IsTooLong)
        co_await writeText(Session.m_Transport,
                           platform::formatError("MALFORMED", "message too long"));
      co_return;
    }
    auto Message = platform::parseCallerMessage(*Line);
    if (std::holds_alternative<platform::ReleaseMessage>(Message))
      co_return;
    auto *Stmt = std::get_if<Statement>(&Message);
    SessionAnswer Answer = refuse("MALFORMED", "not a message of a session", Reason::BadRequest);
    TimePoint StartedAt = bootNow();
    ByteAccount &Account = Session.m_Transport.m_Account;
    if (Stmt) {
      Line.reset(); // the statement holds a copy
      IsStatementRunning = true;
      Account.m_IsClosable = false;
      CountGuard StatementGuard(Host.m_RunningStatementCount);
      Answer = co_await runStatement(Host, Session, *Stmt);
      reportAnswer(Host, Session, *Stmt, Answer, bootNow() - StartedAt);
      Account.m_IsClosable = true;
      setHeld(Host.m_ByteBudget, Account, HeldKind::Statement, 0);
      Message = platform::ReleaseMessage{}; // frees the statement
    }
    std::string Output = formatAnswer(Session, Answer);
    Answer.m_Rows = {};
    bool IsWritten = co_await writeAnswer(Host, Session, std::move(Output));
    IsStatementRunning = false;
    bool IsUnauthorized = Answer.m_Reason == Reason::BadKey || Answer.m_Reason == Reason::NoRoute ||
                          Answer.m_Reason == Reason::KeyWithdrawn;
    if (!IsWritten || IsUnauthorized)
      co_return;
  }
}

Awaitable<void> serveCaller(LineHost &Host, Tcp::socket Socket) {
  configureSocket(Socket);
  CallerSession Session(std::move(Socket));
  CountGuard SessionGuard(Host.m_SessionCount);
  LineConnection &Transport = Session.m_Transport;
  Transport.m_Budget = &Host.m_ByteBudget;
  CountedConnection Counted(Host, Transport.m_Account, "",
                            [&Transport] { closeSocket(Transport.m_Socket); });
  Transport.m_Account.m_IsClosable = true;
  Transport.m_Account.m_MessageDeadline = bootNow() + Host.m_ByteBudget.m_Limits.m_ConnectTimeout;
  bool IsStatementRunning = false;
  // Follows the phases of a planned stop. To end the session, the read is cancelled and the socket
  // not closed: a read that has a request already completes with it, and the request is answered.
  std::optional<ScopedDeadline> NextCheck;
  std::function<void()> FollowStop = [&] {
    TimePoint Now = bootNow();
    boost::system::error_code IgnoredError; // the socket may be closed already
    if (!IsStatementRunning)
      rollBackIfStopping(Host, Session);
    if (canCloseSession(currentStopPhase(Host), describeActivity(Session, IsStatementRunning)))
      Session.m_Transport.m_Socket.cancel(IgnoredError);
    NextCheck.emplace(Host.m_DeadlineQueue,
                      nextSessionCheck(Host.m_Stop, Now, Now + StopCheckInterval), FollowStop);
  };
  FollowStop();
  if (co_await connectCaller(Host, Session))
    co_await serveStatements(Host, Session, IsStatementRunning);
  abandonAtInstance(Host, Session.m_Transaction);
  closeSocket(Session.m_Transport.m_Socket);
}

} // namespace

Awaitable<void> acceptCallers(LineHost &Host, Tcp::acceptor &Acceptor) {
  std::function<bool()> IsFull = [&Host] {
    return Host.m_SessionCount >= currentCallerLimit(Host);
  };
  for (;;) {
    co_await waitForDescriptors(Host, "caller", IsFull);
    auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
    if (Error) {
      co_await sleepFor(Host.m_Io, Millis(50)); // most likely out of file descriptors
      continue;
    }
    spawnTask(Host, "serve_caller", serveCaller(Host, std::move(Socket)));
  }
}

} // namespace quetzalpaddle
