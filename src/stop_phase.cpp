// Phases of a planned stop, and what a host still accepts in each of them.
#include "stop_phase.h"

#include <algorithm>
#include <array>

namespace quetzalpaddle {

namespace {

// The load balancer removes a host after two failed health checks, one second apart.
constexpr Millis NoticePeriod{2200};
// The process ends this long before the limit, at which it is killed.
constexpr Millis ExitMargin{700};
// Time to write the final answers.
constexpr Millis AnsweringPeriod{200};

bool isPlanned(const StopPlan &Plan) { return Plan.m_BegunAt != TimePoint{}; }

} // namespace

StopPlan planStop(TimePoint BegunAt, Millis Limit) {
  StopPlan Plan;
  Plan.m_BegunAt = BegunAt;
  Plan.m_OverAt = std::max(BegunAt, BegunAt + Limit - ExitMargin);
  Plan.m_AnsweringAt = std::max(BegunAt, Plan.m_OverAt - AnsweringPeriod);
  Plan.m_EndingTransactionsAt = std::min(BegunAt + Limit / 2, Plan.m_AnsweringAt);
  Plan.m_ClosingIdleAt = std::min(BegunAt + NoticePeriod, Plan.m_EndingTransactionsAt);
  return Plan;
}

StopPhase stopPhase(const StopPlan &Plan, TimePoint Now) {
  if (!isPlanned(Plan))
    return StopPhase::Serving;
  if (Now >= Plan.m_OverAt)
    return StopPhase::Over;
  if (Now >= Plan.m_AnsweringAt)
    return StopPhase::Answering;
  if (Now >= Plan.m_EndingTransactionsAt)
    return StopPhase::EndingTransactions;
  return Now >= Plan.m_ClosingIdleAt ? StopPhase::ClosingIdle : StopPhase::Announcing;
}

std::string_view stopPhaseName(StopPhase Phase) {
  constexpr std::array<std::string_view, 6> Names = {
      "serving", "announcing", "closing_idle", "ending_transactions", "answering", "over"};
  return Names.at(static_cast<size_t>(Phase));
}

TimePoint nextSessionCheck(const StopPlan &Plan, TimePoint Now, TimePoint At) {
  for (TimePoint PhaseAt : {Plan.m_EndingTransactionsAt, Plan.m_AnsweringAt, Plan.m_OverAt})
    if (PhaseAt > Now)
      return std::min(At, PhaseAt);
  return At;
}

TimePoint limitByFinalAnswers(const StopPlan &Plan, TimePoint At) {
  return isPlanned(Plan) ? std::min(At, Plan.m_AnsweringAt) : At;
}

bool acceptsStatement(StopPhase Phase, StatementRole Role) {
  return Phase <
         (Role == StatementRole::Single ? StopPhase::Answering : StopPhase::EndingTransactions);
}

std::string_view stopErrorCode(StatementRole Role) {
  return Role == StatementRole::InTransaction ? "ABORTED" : "BUSY";
}

bool acceptsSession(StopPhase Phase) { return Phase < StopPhase::ClosingIdle; }

bool canCloseSession(StopPhase Phase, const SessionActivity &Activity) {
  if (Phase < StopPhase::ClosingIdle || Activity.m_IsStatementRunning || Activity.m_HasRequest)
    return false;
  bool IsIdle = !Activity.m_HasPartialRequest && Activity.m_Transaction == TransactionState::None;
  return IsIdle || Phase >= StopPhase::Answering;
}

} // namespace quetzalpaddle
