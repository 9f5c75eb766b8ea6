// Concurrency limit of the instances that this host dispatches to (concurrency.h).
#include "line_limits.h"

namespace quetzalpaddle {

namespace {

using line::RunReply;
using line::RunRequest;

const ConcurrencySettings Settings;

// Returns how a statement fared at its instance; nothing if the answer does not tell.
std::optional<StatementOutcome> judgeReply(const RunReply &Reply) {
  if (Reply.outcome() != RunReply::ANSWERED)
    return std::nullopt;
  const std::string &Code = Reply.error_code();
  if (Code == "BUSY" || Code == "OVERLOAD")
    return StatementOutcome::Refused;
  if (Code == "FAILED")
    return StatementOutcome::Failed;
  return Code.empty() ? std::optional(StatementOutcome::Served) : std::nullopt;
}

} // namespace

void updateSlotCount(InstanceDispatch &Dispatch) {
  Dispatch.m_Queue.m_SlotCount =
      concurrencyLimit(Dispatch.m_Concurrency, Dispatch.m_SlotCount,
                       static_cast<uint32_t>(Dispatch.m_ActiveTransactionCount));
}

bool hasServiceTime(const RunReply &Reply) {
  auto Outcome = judgeReply(Reply);
  return !Outcome || *Outcome == StatementOutcome::Served;
}

void noteStatementResult(LineHost &Host, InstanceDispatch &Dispatch, const RunRequest &Request,
                         const RunReply &Reply, uint32_t RunningCount, Duration Time) {
  auto Outcome = judgeReply(Reply);
  if (!Outcome)
    return;
  if (*Outcome != StatementOutcome::Served)
    countEvent(*Host.m_Metrics, "statement_refused_by_instance");
  bool IsInTransaction = Request.mode() == RunRequest::NEXT || Request.mode() == RunRequest::END;
  uint32_t Kind = Request.priority() * 4 + (Request.write() ? 2 : 0) + (IsInTransaction ? 1 : 0);
  noteResult(Dispatch.m_Concurrency, {*Outcome, RunningCount, Kind, Request.customer(), Time},
             Dispatch.m_SlotCount, bootNow(), Settings);
}

void reviewLimit(const std::string &Instance, InstanceDispatch &Dispatch, TimePoint Now) {
  ageResults(Dispatch.m_Concurrency, Now, Settings);
  uint32_t Limit = concurrencyLimit(Dispatch.m_Concurrency, Dispatch.m_SlotCount, 0);
  bool IsLow = Limit <= Dispatch.m_SlotCount / 2;
  if (IsLow == Dispatch.m_IsLimited || (Dispatch.m_IsLimited && Limit < Dispatch.m_SlotCount))
    return;
  Dispatch.m_IsLimited = IsLow;
  logLine(IsLow ? LogLevel::Warning : LogLevel::Info,
          IsLow ? "instance_limited" : "instance_limit_lifted",
          {{"instance", Instance},
           {"limit", std::to_string(Limit)},
           {"slots", std::to_string(Dispatch.m_SlotCount)}});
}

} // namespace quetzalpaddle
