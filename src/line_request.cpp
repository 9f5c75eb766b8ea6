// Fields of requests to dispatchers, and the texts of refusals.
#include "line_request.h"

#include "platform/line_codec.h"

#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

using line::RunReply;
using line::RunRequest;

// Part of the route's target that each statement of a transaction has at least. A transaction that
// is late must still end: it holds a connection and locks.
constexpr int MinTransactionTargetDivisor = 4;

void fillStatement(RunRequest &Request, const CallerSession &Session, const Statement &Stmt) {
  for (const auto &[Name, Value] : Session.m_State.m_Values) {
    line::SessionValue &Entry = *Request.add_values();
    Entry.set_name(Name);
    Entry.set_value(Value);
  }
  if (Stmt.m_Kind == StatementKind::Execute) {
    const std::string &Shape = Session.m_State.m_PreparedStatements.at(Stmt.m_Name);
    Request.set_prepared_name(makePreparedName(Shape));
    Request.set_prepared_shape(Shape);
  }
  Request.set_statement_id(Stmt.m_Id);
  Request.set_text(formatForInstance(Session.m_State, Stmt));
}

void setMinPosition(RunRequest &Request, const Target &ChosenTarget) {
  if (!ChosenTarget.m_MinPosition)
    return;
  Request.mutable_after()->set_term(ChosenTarget.m_MinPosition->m_Term);
  Request.mutable_after()->set_index(ChosenTarget.m_MinPosition->m_Index);
}

// Returns what is left of a latency target, in ms; at least 1, as 0 means that there is none.
uint32_t remainingTarget(const LineRoute &Route, TimePoint BegunAt, bool IsTransaction) {
  auto Remaining = std::chrono::duration_cast<Millis>(BegunAt - bootNow()) + Route.m_TargetLatency;
  Millis Least =
      IsTransaction ? Route.m_TargetLatency / MinTransactionTargetDivisor : Millis::zero();
  return static_cast<uint32_t>(std::max({Remaining, Least, Millis(1)}).count());
}

// Adds the time after which the caller should ask again to the text; the protocol has no field for
// it.
std::string addRetryHint(std::string_view Text, uint32_t RetryMs) {
  return RetryMs == 0 ? std::string(Text) : fmt::format("{} retry after {} ms", Text, RetryMs);
}

} // namespace

SessionAnswer refuse(std::string_view Code, std::string_view Text, Reason AnswerReason) {
  SessionAnswer Answer;
  Answer.m_ErrorCode = Code;
  Answer.m_ErrorText = Text;
  Answer.m_Reason = AnswerReason;
  return Answer;
}

SessionAnswer refuseOverRate(uint32_t RetryMs) {
  return refuse("OVERLOAD", addRetryHint("over the rate", RetryMs), Reason::RateLimited);
}

RunRequest makeRequest(LineHost &Host, const CallerSession &Session, const StatementRun &Run,
                       const Target &ChosenTarget, TimePoint Deadline) {
  RunRequest Request;
  TimePoint Now = bootNow();
  Millis RemainingTime =
      std::chrono::duration_cast<Millis>(std::max(Deadline - Now, Duration::zero()));
  Request.set_group(Run.m_Route->m_Group);
  Request.set_instance(ChosenTarget.m_Instance);
  Request.set_customer(Run.m_Customer);
  Request.set_priority(Run.m_Route->m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(RemainingTime.count()));
  Request.set_run_ms(static_cast<uint32_t>(Run.m_Route->m_Timeout.count()));
  Request.set_write(Run.m_IsWrite);
  Request.set_goal_ms(
      remainingTarget(*Run.m_Route, Run.m_StatementArrivedAt, Run.m_Transaction != nullptr));
  fillStatement(Request, Session, *Run.m_Statement);
  setMinPosition(Request, ChosenTarget);
  if (SessionTransaction *Transaction = Run.m_Transaction) {
    Transaction->m_TransactionId = Host.m_NextId++;
    Request.set_mode(RunRequest::OPEN);
    Request.set_transaction(Transaction->m_TransactionId);
    // A read-only transaction that has to see the newest data is opened as a read-write one, which
    // an instance that is no longer primary refuses.
    Request.set_read_only(Transaction->m_IsReadOnly && !ChosenTarget.m_HasToConfirmPrimary);
    Request.set_begin_id(Transaction->m_IsReadOnly && ChosenTarget.m_HasToConfirmPrimary
                             ? std::string(platform::HostStatementId)
                             : Transaction->m_BeginId);
    Request.set_write(false);
  } else if (ChosenTarget.m_HasToConfirmPrimary) {
    Request.set_mode(RunRequest::SINGLE_LED);
  }
  return Request;
}

RunRequest makeTransactionRequest(const CallerSession &Session,
                                  const SessionTransaction &Transaction, const Statement &Stmt) {
  RunRequest Request;
  Request.set_mode(Stmt.m_Kind == StatementKind::Commit ? RunRequest::END : RunRequest::NEXT);
  Request.set_group(Transaction.m_Route.m_Group);
  Request.set_instance(Transaction.m_Instance);
  Request.set_customer(Transaction.m_Customer);
  Request.set_transaction(Transaction.m_TransactionId);
  Request.set_priority(Transaction.m_Route.m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(Transaction.m_Route.m_Timeout.count()));
  Request.set_run_ms(static_cast<uint32_t>(Transaction.m_Route.m_Timeout.count()));
  Request.set_goal_ms(remainingTarget(Transaction.m_Route, Transaction.m_BegunAt, true));
  Request.set_write(Stmt.m_Kind == StatementKind::Commit && Transaction.m_HasWritten);
  fillStatement(Request, Session, Stmt);
  return Request;
}

SessionAnswer makeFailureAnswer(const StatementRun &Run, const RunReply &Reply) {
  auto RefusalReason = static_cast<Reason>(Reply.refusal());
  bool IsSingle = !Run.m_Transaction;
  if (Reply.outcome() == RunReply::LOST) {
    if (IsSingle && Run.m_IsWrite)
      return refuse("INDOUBT", "no answer; the write may have taken effect",
                    Reason::OutcomeUnknown);
    return refuse(IsSingle ? "TIMEOUT" : "ABORTED", "no answer from the instance",
                  Reason::InstanceUnavailable);
  }
  if (Reply.outcome() == RunReply::ANSWERED)
    return refuse(Reply.error_code(), Reply.error_text(), Reason::StatementFailed);
  if (RefusalReason == Reason::RateLimited)
    return refuseOverRate(Reply.retry_ms());
  return refuse("BUSY", addRetryHint(reasonName(RefusalReason), Reply.retry_ms()), RefusalReason);
}

} // namespace quetzalpaddle
