// Statements and answers on one connection to an instance.
#include "line_exchange.h"

namespace quetzalpaddle {

using line::RunReply;
using line::RunRequest;

RunReply makeReply(RunReply::Outcome Outcome, Reason Why) {
  RunReply Reply;
  Reply.set_outcome(Outcome);
  Reply.set_refusal(static_cast<uint32_t>(Why));
  return Reply;
}

Awaitable<std::optional<InstanceAnswer>> readAnswer(const std::shared_ptr<LinePoolConnection> &C) {
  InstanceAnswer A;
  bool Ended = false; // complete or error seen
  for (;;) {
    auto Line = co_await readLine(C->m_Line, platform::MaxMessageBytes);
    if (!Line)
      co_return std::nullopt;
    auto Message = platform::parseInstanceMessage(*Line);
    if (auto *Row = std::get_if<platform::RowMessage>(&Message)) {
      A.m_Rows.push_back(std::move(Row->m_Row));
    } else if (auto *Complete = std::get_if<platform::CompleteMessage>(&Message)) {
      A.m_Digest = std::move(Complete->m_Digest);
      Ended = true;
    } else if (auto *Error = std::get_if<platform::ErrorMessage>(&Message)) {
      A.m_ErrorCode = std::move(Error->m_Code);
      A.m_ErrorText = std::move(Error->m_Text);
      Ended = true;
    } else if (auto *Ready = std::get_if<platform::ReadyMessage>(&Message)) {
      A.m_Ready = *Ready;
      if (!Ended)
        co_return std::nullopt; // an answer cut off before its end
      co_return A;
    } else {
      co_return std::nullopt;
    }
  }
}

Awaitable<bool> runOwn(const std::shared_ptr<LinePoolConnection> &C,
                       const std::vector<std::string> &Texts) {
  std::string Output;
  for (const std::string &Text : Texts)
    Output += platform::formatQuery(platform::OwnStatementId, Text);
  if (!co_await writeText(C->m_Line, std::move(Output)))
    co_return false;
  bool Good = true;
  for (size_t I = 0; I < Texts.size(); ++I) {
    auto A = co_await readAnswer(C);
    if (!A)
      co_return false;
    Good = Good && A->m_ErrorCode.empty();
  }
  co_return Good;
}

namespace {

Position readPosition(const line::LogPosition &P) { return {P.term(), P.index()}; }

// Gives the connection what the session has established. Returns whether it holds it now.
Awaitable<bool> prepare(const std::shared_ptr<LinePoolConnection> &C, const RunRequest &Request) {
  std::map<std::string, std::string> Values;
  for (const auto &Value : Request.values())
    Values[Value.name()] = Value.value();
  ConnectionSetup Plan =
      planConnectionSetup(C->m_Content, Values, Request.prepared_name(), Request.prepared_shape());
  if (countSetupStatements(Plan) == 0)
    co_return true;
  std::vector<std::string> Texts;
  if (Plan.m_NeedsReset)
    Texts.emplace_back(platform::ResetText);
  for (const auto &[Name, Value] : Plan.m_ValuesToSet)
    Texts.push_back(platform::formatSet(Name, Value));
  if (Plan.m_StatementToPrepare)
    Texts.push_back(platform::formatPrepare(Plan.m_StatementToPrepare->first,
                                            Plan.m_StatementToPrepare->second));
  if (!co_await runOwn(C, Texts))
    co_return false;
  applyConnectionSetup(C->m_Content, Plan);
  co_return true;
}

void fillReply(RunReply &Reply, InstanceAnswer A) {
  Reply.set_outcome(RunReply::ANSWERED);
  for (std::string &Row : A.m_Rows)
    Reply.add_rows(std::move(Row));
  Reply.set_digest(std::move(A.m_Digest));
  Reply.set_error_code(std::move(A.m_ErrorCode));
  Reply.set_error_text(std::move(A.m_ErrorText));
  constexpr std::array States = {"I", "T", "E"};
  Reply.set_state(States[static_cast<size_t>(A.m_Ready.m_State)]);
  Reply.mutable_position()->set_term(A.m_Ready.m_Position.m_Term);
  Reply.mutable_position()->set_index(A.m_Ready.m_Position.m_Index);
}

std::string textWithPosition(const RunRequest &Request, const std::string &Text) {
  return Request.has_after() ? platform::formatAfter(readPosition(Request.after()), Text) : Text;
}

// Opens the transaction of a first statement. Nothing is sent with it: a statement that arrives
// after a refused begin would run on its own.
Awaitable<std::optional<RunReply>> begin(const std::shared_ptr<LinePoolConnection> &C,
                                         const RunRequest &Request) {
  std::string Text = Request.read_only() ? textWithPosition(Request, "BEGIN READ") : "BEGIN";
  if (!co_await writeText(C->m_Line, platform::formatQuery(Request.begin_id(), Text)))
    co_return makeReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
  auto A = co_await readAnswer(C);
  if (!A)
    co_return makeReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
  if (A->m_ErrorCode.empty() && A->m_Ready.m_State == TransactionState::Open)
    co_return std::nullopt;
  RunReply Reply;
  fillReply(Reply, std::move(*A));
  co_return Reply;
}

// Runs the statement of the request on a prepared connection.
Awaitable<RunReply> exchange(const std::shared_ptr<LinePoolConnection> &C,
                             const RunRequest &Request) {
  bool Led = Request.mode() == RunRequest::SINGLE_LED;
  bool Inside = Request.mode() != RunRequest::SINGLE && !Led;
  std::string Output;
  if (Led)
    Output += platform::formatQuery(platform::OwnStatementId, "BEGIN");
  Output += platform::formatQuery(Request.statement_id(),
                                  Inside || Led ? Request.text()
                                                : textWithPosition(Request, Request.text()));
  if (Led)
    Output += platform::formatQuery(platform::OwnStatementId, "ROLLBACK");
  if (!co_await writeText(C->m_Line, std::move(Output)))
    co_return makeReply(RunReply::LOST, Reason::InstanceUnavailable);
  bool Leads = false;
  if (Led) {
    auto Begun = co_await readAnswer(C);
    if (!Begun)
      co_return makeReply(RunReply::LOST, Reason::InstanceUnavailable);
    Leads = Begun->m_ErrorCode.empty();
    if (!Leads) {
      // The statement and the rollback that follow are answered as well, and mean nothing.
      RunReply Refused;
      fillReply(Refused, std::move(*Begun));
      for (int Left = 2; Left > 0; --Left)
        if (!co_await readAnswer(C))
          C->m_Spent = true;
      co_return Refused;
    }
  }
  auto A = co_await readAnswer(C);
  if (!A)
    co_return makeReply(RunReply::LOST, Reason::InstanceUnavailable);
  bool Good = A->m_ErrorCode.empty();
  RunReply Reply;
  fillReply(Reply, std::move(*A));
  if (Led) {
    auto RolledBack = co_await readAnswer(C);
    if (!RolledBack)
      C->m_Spent = true; // answered, but of no further use
    Reply.set_state("I");
  }
  Reply.set_leads(Good && (Leads || Request.write() ||
                           (Request.mode() == RunRequest::OPEN && !Request.read_only())));
  co_return Reply;
}

} // namespace

Awaitable<RunReply> runOnConnection(const std::shared_ptr<LinePoolConnection> &C,
                                    const RunRequest &Request) {
  if (!co_await prepare(C, Request)) {
    C->m_Spent = true;
    co_return makeReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
  }
  if (Request.mode() == RunRequest::OPEN) {
    std::optional<RunReply> Refused = co_await begin(C, Request);
    if (Refused)
      co_return std::move(*Refused);
  }
  co_return co_await exchange(C, Request);
}

} // namespace quetzalpaddle
