// Exchanges statements and answers on one connection to an instance.
#include "line_exchange.h"

namespace quetzalpaddle {

using line::RunReply;
using line::RunRequest;

RunReply makeFailureReply(RunReply::Outcome Outcome, Reason RefusalReason) {
  RunReply Reply;
  Reply.set_outcome(Outcome);
  Reply.set_refusal(static_cast<uint32_t>(RefusalReason));
  return Reply;
}

bool wasNotRun(const RunReply &Reply) {
  const std::string &Code = Reply.error_code();
  return Reply.outcome() == RunReply::NOT_SENT ||
         (Reply.outcome() == RunReply::ANSWERED &&
          (Code == "BUSY" || Code == "LAGGING" || Code == "READONLY" || Code == "NOSTMT" ||
           Code == "OVERLOAD" || Code == "WRONGNODE"));
}

namespace {

// Counts a message of an answer. Returns false if the host cannot hold the answer.
bool countRow(LinePoolConnection &Connection, size_t &AnswerBytes, size_t Bytes) {
  LineConnection &Transport = Connection.m_Transport;
  if (!Transport.m_Budget)
    return true;
  AnswerBytes += Bytes;
  ByteAccount &Account = Transport.m_Account;
  if (AnswerBytes > Transport.m_Budget->m_Limits.m_Answer ||
      !canHold(*Transport.m_Budget, Account, Bytes * RowsCopies)) {
    Connection.m_IsOverBudget = true;
    return false;
  }
  setHeld(*Transport.m_Budget, Account, HeldKind::Rows, AnswerBytes * RowsCopies);
  return true;
}

} // namespace

Awaitable<std::optional<InstanceAnswer>>
readAnswer(const std::shared_ptr<LinePoolConnection> &Connection, ExpectedAnswer Expected) {
  AnswerHistory &History = Connection->m_Answers;
  size_t AnswerBytes = Connection->m_AnswerBytes;
  for (;;) {
    auto Line = co_await readLine(Connection->m_Transport, platform::MaxMessageBytes);
    if (Line && !countRow(*Connection, AnswerBytes, Line->size() + EntryOverheadBytes))
      Line.reset();
    auto Answer = Line ? addMessage(History, *Line) : std::nullopt;
    auto Match = Answer ? matchAnswer(History, *Answer, Expected) : AnswerMatch::Repeated;
    if (!Line || !History.m_Violation.empty()) {
      Connection->m_IsDesynchronized = true;
      co_return std::nullopt;
    }
    if (Match != AnswerMatch::Accepted)
      continue;
    Connection->m_IsDesynchronized = Connection->m_IsDesynchronized || History.m_IsOver;
    if (!Expected.m_IsHostStatement)
      Connection->m_AnswerBytes = AnswerBytes;
    co_return Answer;
  }
}

static bool isColdLimited(const LinePoolConnection &Connection) {
  return Connection.m_Dispatch && Connection.m_Dispatch->m_ColdWindow.m_Limit;
}

// Sends statements, to a cold instance once it may get them. Count: of them. IsFirst: as in
// awaitColdRoom(). A function that returns one of two awaitables by a conditional expression
// crashed with g++ 12.
static Awaitable<bool> sendStatements(const std::shared_ptr<LinePoolConnection> &Connection,
                                      std::string Output, size_t Count, bool IsFirst = true) {
  bool HasRoom = true;
  if (isColdLimited(*Connection))
    HasRoom = co_await awaitColdRoom(Connection, static_cast<uint32_t>(Count), IsFirst);
  if (!HasRoom)
    co_return false;
  bool IsWritten = co_await writeText(Connection->m_Transport, std::move(Output));
  co_return IsWritten;
}

Awaitable<bool> runHostStatements(const std::shared_ptr<LinePoolConnection> &Connection,
                                  std::vector<std::string> Texts, TransactionState State) {
  size_t ConfirmationCount = countConfirmations(Connection->m_Answers, Texts.size(), State);
  Texts.insert(Texts.end(), ConfirmationCount, std::string(platform::ConfirmText));
  if (ConfirmationCount > 0)
    Connection->m_Answers.m_IsErrorAmbiguous = true;
  std::string Output;
  for (const std::string &Text : Texts)
    Output += platform::formatQuery(platform::HostStatementId, Text);
  if (!co_await sendStatements(Connection, std::move(Output), Texts.size()))
    co_return false;
  bool AllSucceeded = true;
  for (size_t I = 0; I < Texts.size(); ++I) {
    auto Answer = co_await readAnswer(Connection, {true, State});
    if (!Answer)
      co_return false;
    AllSucceeded = AllSucceeded && Answer->m_ErrorCode.empty();
  }
  co_return AllSucceeded;
}

bool dropRepeatedAnswers(LinePoolConnection &Connection) {
  LineConnection &Transport = Connection.m_Transport;
  if (!receiveAvailable(Transport))
    return false;
  AnswerHistory &History = Connection.m_Answers;
  while (auto Line = takeLine(Transport, platform::MaxMessageBytes)) {
    auto Answer = addMessage(History, *Line);
    if (History.m_IsOver || (Answer && !isRepetition(History, *Answer)))
      return false;
    History.m_RepeatedCount += Answer ? 1 : 0;
    History.m_HasRepeated = History.m_HasRepeated || Answer;
  }
  return !Transport.m_IsTooLong;
}

bool hasPartialAnswer(const LinePoolConnection &Connection) {
  const InstanceAnswer &Answer = Connection.m_Answers.m_PartialAnswer;
  return Answer.m_HasResult || !Answer.m_Rows.empty() || Connection.m_Transport.m_PendingBytes > 0;
}

namespace {

// Statements that tell whether an error is that of a write. Each one more covers another duplicate.
constexpr int ErrorConfirmationCount = 3;

Position readPosition(const line::LogPosition &P) { return {P.term(), P.index()}; }

// Returns the part of a plan that may be sent together to a cold instance. Two confirmations, or
// three after a repeated answer, go with it.
ConnectionSetup limitSetup(const LinePoolConnection &Connection, ConnectionSetup Plan) {
  if (!isColdLimited(Connection))
    return Plan;
  const ColdWindow &Window = Connection.m_Dispatch->m_ColdWindow;
  size_t MaxCount = std::max<size_t>(std::max(*Window.m_Limit, Window.m_MaxBatch), 4) - 3;
  if (countSetupStatements(Plan) <= MaxCount)
    return Plan;
  size_t ValueCount = std::min(MaxCount - (Plan.m_NeedsReset ? 1 : 0), Plan.m_ValuesToSet.size());
  Plan.m_ValuesToSet.resize(ValueCount);
  Plan.m_StatementToPrepare.reset();
  return Plan;
}

// Applies the session's values and prepared statement to the connection. Returns whether that
// succeeded.
Awaitable<bool> prepareConnection(const std::shared_ptr<LinePoolConnection> &Connection,
                                  const RunRequest &Request) {
  std::map<std::string, std::string> Values;
  for (const auto &Value : Request.values())
    Values[Value.name()] = Value.value();
  bool IsInTransaction = Request.mode() == RunRequest::NEXT || Request.mode() == RunRequest::END;
  for (;;) {
    ConnectionSetup Plan = planConnectionSetup(Connection->m_EstablishedState, Values,
                                               Request.prepared_name(), Request.prepared_shape());
    size_t Count = countSetupStatements(Plan);
    if (Count == 0)
      co_return true;
    Plan = limitSetup(*Connection, std::move(Plan));
    bool IsWhole = countSetupStatements(Plan) == Count;
    std::vector<std::string> Texts;
    if (Plan.m_NeedsReset)
      Texts.emplace_back(platform::ResetText);
    for (const auto &[Name, Value] : Plan.m_ValuesToSet)
      Texts.push_back(platform::formatSet(Name, Value));
    if (Plan.m_StatementToPrepare)
      Texts.push_back(platform::formatPrepare(Plan.m_StatementToPrepare->first,
                                              Plan.m_StatementToPrepare->second));
    if (!co_await runHostStatements(Connection, std::move(Texts),
                                    IsInTransaction ? TransactionState::Open
                                                    : TransactionState::None))
      co_return false;
    applyConnectionSetup(Connection->m_EstablishedState, Plan);
    if (IsWhole)
      co_return true;
  }
}

void fillReply(RunReply &Reply, InstanceAnswer Answer) {
  Reply.set_outcome(RunReply::ANSWERED);
  for (std::string &Row : Answer.m_Rows)
    Reply.add_rows(std::move(Row));
  Reply.set_digest(std::move(Answer.m_Digest));
  Reply.set_error_code(std::move(Answer.m_ErrorCode));
  Reply.set_error_text(std::move(Answer.m_ErrorText));
  constexpr std::array States = {"I", "T", "E"};
  Reply.set_state(States[static_cast<size_t>(Answer.m_Ready.m_State)]);
  Reply.mutable_position()->set_term(Answer.m_Ready.m_Position.m_Term);
  Reply.mutable_position()->set_index(Answer.m_Ready.m_Position.m_Index);
}

std::string formatWithPosition(const RunRequest &Request, const std::string &Text) {
  return Request.has_after() ? platform::formatAfter(readPosition(Request.after()), Text) : Text;
}

// Opens a transaction before its first statement. Waits for the answer before anything else is
// sent, because a statement sent after a begin that is refused would run outside a transaction.
// Returns the reply to the caller if the transaction could not be opened.
Awaitable<std::optional<RunReply>>
openTransaction(const std::shared_ptr<LinePoolConnection> &Connection, const RunRequest &Request) {
  std::string Text = Request.read_only() ? formatWithPosition(Request, "BEGIN READ") : "BEGIN";
  std::string Output = platform::formatQuery(Request.begin_id(), Text);
  size_t ConfirmationCount = countConfirmations(Connection->m_Answers, 1, TransactionState::Open);
  for (size_t I = 0; I < ConfirmationCount; ++I)
    Output += platform::formatQuery(platform::HostStatementId, platform::ConfirmText);
  if (!co_await sendStatements(Connection, std::move(Output), 1 + ConfirmationCount))
    co_return makeFailureReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
  ExpectedAnswer Expected{true, TransactionState::Open};
  Expected.m_HasPosition = Request.has_after();
  auto Answer = co_await readAnswer(Connection, Expected);
  // After a first LAGGING the connection goes on, without a transaction.
  if (Answer && !Answer->m_ErrorCode.empty())
    Expected.m_State = TransactionState::None;
  for (size_t I = 0; Answer && !Connection->m_IsDesynchronized && I < ConfirmationCount; ++I) {
    auto Confirmation = co_await readAnswer(Connection, Expected);
    bool IsRefused = Confirmation && !Confirmation->m_ErrorCode.empty();
    // It may be that of BEGIN, so the state that the other answers show is not known.
    Connection->m_IsDesynchronized = Connection->m_IsDesynchronized || IsRefused;
    if (!Confirmation || (IsRefused && Answer->m_ErrorCode.empty()))
      Answer = std::move(Confirmation);
  }
  if (!Answer)
    co_return makeFailureReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
  if (Answer->m_ErrorCode.empty())
    co_return std::nullopt;
  RunReply Reply;
  fillReply(Reply, std::move(*Answer));
  Reply.set_state("I");
  co_return Reply;
}

// The answer that the request's statement has to have.
ExpectedAnswer expectAnswer(const RunRequest &Request) {
  ExpectedAnswer Expected;
  // The first statement of a transaction may be its commit already.
  bool IsCommit = Request.mode() == RunRequest::END ||
                  (Request.mode() == RunRequest::OPEN &&
                   platform::parseStatement({}, Request.text()).m_Kind == StatementKind::Commit);
  if (Request.mode() != RunRequest::SINGLE && !IsCommit)
    Expected.m_State = TransactionState::Open;
  Expected.m_EndsOutside = Request.mode() == RunRequest::SINGLE;
  Expected.m_HasPosition = Request.mode() == RunRequest::SINGLE && Request.has_after();
  return Expected;
}

// Returns the answer to a write after an error that may be of a statement before it.
Awaitable<std::optional<InstanceAnswer>>
resolveError(const std::shared_ptr<LinePoolConnection> &Connection, const RunRequest &Request,
             InstanceAnswer Error) {
  std::string Output;
  for (int I = 0; I < ErrorConfirmationCount; ++I)
    Output += platform::formatQuery(platform::HostStatementId, platform::ConfirmText);
  if (!co_await sendStatements(Connection, std::move(Output), ErrorConfirmationCount, false))
    co_return std::nullopt;
  // The connection is not used again.
  ExpectedAnswer Expected = expectAnswer(Request);
  Expected.m_IsAny = true;
  for (int I = 0; I < ErrorConfirmationCount; ++I) {
    auto Next = co_await readAnswer(Connection, Expected);
    if (!Next)
      co_return std::nullopt;
    Error = chooseAnswer(std::move(Error), std::move(*Next));
    if (Error.m_ErrorCode.empty())
      break;
  }
  co_return Error;
}

// Runs the statement of the request on a prepared connection. In mode SINGLE_LED the statement is
// enclosed in BEGIN and ROLLBACK: only a primary accepts BEGIN, which confirms its role.
Awaitable<RunReply> exchangeStatement(const std::shared_ptr<LinePoolConnection> &Connection,
                                      const RunRequest &Request) {
  bool MustConfirmPrimary = Request.mode() == RunRequest::SINGLE_LED;
  bool IsInTransaction = Request.mode() != RunRequest::SINGLE && !MustConfirmPrimary;
  std::string Output;
  if (MustConfirmPrimary)
    Output += platform::formatQuery(platform::HostStatementId, "BEGIN");
  Output += platform::formatQuery(Request.statement_id(),
                                  IsInTransaction || MustConfirmPrimary
                                      ? Request.text()
                                      : formatWithPosition(Request, Request.text()));
  size_t ConfirmationCount = 0;
  if (MustConfirmPrimary) {
    ConfirmationCount = countConfirmations(Connection->m_Answers, 1, TransactionState::None);
    Output += platform::formatQuery(platform::HostStatementId, "ROLLBACK");
    for (size_t I = 0; I < ConfirmationCount; ++I)
      Output += platform::formatQuery(platform::HostStatementId, platform::ConfirmText);
  }
  size_t Count = MustConfirmPrimary ? 3 + ConfirmationCount : 1;
  bool IsOpening = Request.mode() == RunRequest::OPEN;
  if (!co_await sendStatements(Connection, std::move(Output), Count, !IsOpening)) {
    // A transaction that was just opened ends with its connection.
    Connection->m_IsDesynchronized = Connection->m_IsDesynchronized || IsOpening;
    co_return makeFailureReply(Connection->m_IsHeldBack ? RunReply::NOT_SENT : RunReply::LOST,
                               Reason::InstanceUnavailable);
  }
  bool IsPrimaryConfirmed = false;
  if (MustConfirmPrimary) {
    auto BeginAnswer = co_await readAnswer(Connection, {true, TransactionState::Open});
    if (!BeginAnswer)
      co_return makeFailureReply(RunReply::LOST, Reason::InstanceUnavailable);
    IsPrimaryConfirmed = BeginAnswer->m_ErrorCode.empty();
    if (!IsPrimaryConfirmed) {
      // The statement and the rollback were sent along with BEGIN. Closing the connection earlier
      // would break off the statement.
      RunReply Rejection;
      fillReply(Rejection, std::move(*BeginAnswer));
      co_await readAnswer(Connection, {false, TransactionState::None});
      co_await readAnswer(Connection, {true, TransactionState::None});
      co_return Rejection;
    }
  }
  auto Answer = co_await readAnswer(Connection, expectAnswer(Request));
  if (Answer && Request.write() && isAmbiguousError(Connection->m_Answers, *Answer))
    Answer = co_await resolveError(Connection, Request, std::move(*Answer));
  if (!Answer)
    co_return makeFailureReply(RunReply::LOST, Reason::InstanceUnavailable);
  bool Succeeded = Answer->m_ErrorCode.empty();
  RunReply Reply;
  fillReply(Reply, std::move(*Answer));
  if (MustConfirmPrimary) {
    // The error of one of these statements may come only after the next write was sent.
    Connection->m_Answers.m_IsErrorAmbiguous = ConfirmationCount > 0;
    // Without an answer to the rollback the connection is not used again, but the statement has
    // one.
    for (size_t I = 0; !Connection->m_IsDesynchronized && I <= ConfirmationCount; ++I)
      co_await readAnswer(Connection, {true, TransactionState::None});
    Reply.set_state("I");
  }
  Reply.set_leads(Succeeded && (IsPrimaryConfirmed || Request.write() ||
                                (Request.mode() == RunRequest::OPEN && !Request.read_only())));
  co_return Reply;
}

} // namespace

void reportRepeatedAnswers(LineHost &Host, LinePoolConnection &Connection,
                           const RunRequest &Request) {
  uint32_t Count = std::exchange(Connection.m_Answers.m_RepeatedCount, 0);
  if (Count == 0)
    return;
  countEvent(*Host.m_Metrics, "answer_repeated");
  logLine(LogLevel::Warning, "answer_repeated",
          {{"id", Request.statement_id()},
           {"instance", Request.instance()},
           {"customer", Request.customer()},
           {"answers", std::to_string(Count)}});
}

namespace {

Awaitable<RunReply> runRequest(const std::shared_ptr<LinePoolConnection> &Connection,
                               const RunRequest &Request) {
  Connection->m_IsHeldBack = false;
  if (!dropRepeatedAnswers(*Connection) || !co_await prepareConnection(Connection, Request)) {
    Connection->m_IsDesynchronized = Connection->m_IsDesynchronized || !Connection->m_IsHeldBack;
    co_return makeFailureReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
  }
  if (Request.mode() == RunRequest::OPEN) {
    std::optional<RunReply> Rejection = co_await openTransaction(Connection, Request);
    if (Rejection)
      co_return std::move(*Rejection);
  }
  co_return co_await exchangeStatement(Connection, Request);
}

} // namespace

Awaitable<RunReply> runOnConnection(const std::shared_ptr<LinePoolConnection> &Connection,
                                    const RunRequest &Request) {
  RunReply Reply = co_await runRequest(Connection, Request);
  Connection->m_AnswerBytes = 0;
  if (Connection->m_Transport.m_Budget)
    setHeld(*Connection->m_Transport.m_Budget, Connection->m_Transport.m_Account, HeldKind::Rows,
            0);
  if (Connection->m_IsOverBudget && Reply.outcome() == RunReply::LOST)
    Reply.set_refusal(static_cast<uint32_t>(Reason::OverMemory));
  co_return Reply;
}

} // namespace quetzalpaddle
