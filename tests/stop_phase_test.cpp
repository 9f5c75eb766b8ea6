// Tests of the phases of a planned stop.
#include "stop_phase.h"

#include <criterion/criterion.h>

#include <array>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Millis Limit{6000};

StopPhase phaseAfter(Millis Elapsed) { return stopPhase(planStop(Start, Limit), Start + Elapsed); }

constexpr std::array Roles = {StatementRole::Single, StatementRole::OpensTransaction,
                              StatementRole::InTransaction};

} // namespace

Test(stop_phase, phasesFollowTheLimit) {
  cr_assert_eq(stopPhase({}, Start), StopPhase::Serving);
  cr_assert_eq(phaseAfter(Millis(0)), StopPhase::Announcing);
  cr_assert_eq(phaseAfter(Millis(2199)), StopPhase::Announcing);
  cr_assert_eq(phaseAfter(Millis(2200)), StopPhase::ClosingIdle);
  cr_assert_eq(phaseAfter(Millis(2999)), StopPhase::ClosingIdle);
  cr_assert_eq(phaseAfter(Millis(3000)), StopPhase::EndingTransactions,
               "a transaction has the first half of the limit to end");
  cr_assert_eq(phaseAfter(Millis(5099)), StopPhase::EndingTransactions);
  cr_assert_eq(phaseAfter(Millis(5100)), StopPhase::Answering);
  cr_assert_eq(phaseAfter(Millis(5300)), StopPhase::Over);
}

Test(stop_phase, shortLimitsKeepTheOrderOfThePhases) {
  for (int LimitMs = 1; LimitMs < 8000; LimitMs += 7) {
    StopPlan Plan = planStop(Start, Millis(LimitMs));
    cr_assert_leq(Plan.m_BegunAt, Plan.m_ClosingIdleAt);
    cr_assert_leq(Plan.m_ClosingIdleAt, Plan.m_EndingTransactionsAt);
    cr_assert_leq(Plan.m_EndingTransactionsAt, Plan.m_AnsweringAt);
    cr_assert_leq(Plan.m_AnsweringAt, Plan.m_OverAt);
    cr_assert_leq(Plan.m_OverAt, Start + Millis(LimitMs));
    cr_assert_eq(stopPhase(Plan, Plan.m_OverAt), StopPhase::Over);
  }
}

// Guards against statements that are passed on to an instance so late in a stop that the process
// ends before their answer: LOST in planned work.
Test(stop_phase, noStatementOfATransactionIsAcceptedInTheSecondHalf) {
  for (StatementRole Role : Roles) {
    cr_assert(acceptsStatement(StopPhase::Serving, Role));
    cr_assert(acceptsStatement(phaseAfter(Millis(2999)), Role));
    cr_assert_eq(acceptsStatement(phaseAfter(Millis(3000)), Role), Role == StatementRole::Single);
    cr_assert_not(acceptsStatement(phaseAfter(Millis(5100)), Role));
  }
}

// Guards against a refusal that promises nothing, after which a caller may not repeat its request.
Test(stop_phase, refusalsPromiseThatNothingIsKept) {
  cr_assert(stopErrorCode(StatementRole::InTransaction) == "ABORTED");
  cr_assert(stopErrorCode(StatementRole::Single) == "BUSY");
  cr_assert(stopErrorCode(StatementRole::OpensTransaction) == "BUSY");
}

// Guards against a session that is closed although a request of it was read or has arrived.
Test(stop_phase, aSessionWithARequestIsNotClosed) {
  for (Millis Elapsed : {Millis(0), Millis(2200), Millis(3000), Millis(5100)}) {
    cr_assert_not(canCloseSession(phaseAfter(Elapsed), {.m_IsStatementRunning = true}));
    cr_assert_not(canCloseSession(phaseAfter(Elapsed), {.m_HasRequest = true}));
  }
  cr_assert_not(canCloseSession(phaseAfter(Millis(2199)), {}));
  cr_assert(canCloseSession(phaseAfter(Millis(2200)), {}));
}

// Guards against a request that is cut because the host has read only its first part.
Test(stop_phase, aSessionWithAPartialRequestIsClosedAtTheEndOnly) {
  cr_assert_not(canCloseSession(phaseAfter(Millis(2200)), {.m_HasPartialRequest = true}));
  cr_assert_not(canCloseSession(phaseAfter(Millis(5099)), {.m_HasPartialRequest = true}));
  cr_assert(canCloseSession(phaseAfter(Millis(5100)), {.m_HasPartialRequest = true}));
}

Test(stop_phase, aSessionWithATransactionIsClosedAtTheEndOnly) {
  for (TransactionState State : {TransactionState::Open, TransactionState::Failed}) {
    cr_assert_not(canCloseSession(phaseAfter(Millis(5099)), {.m_Transaction = State}));
    cr_assert(canCloseSession(phaseAfter(Millis(5100)), {.m_Transaction = State}));
  }
}

// Guards against a caller that connects to a stopping host and is closed right after READY, when it
// may have sent its first statement.
Test(stop_phase, newSessionsAreRefusedOnceIdleOnesAreClosed) {
  cr_assert(acceptsSession(StopPhase::Serving));
  cr_assert(acceptsSession(phaseAfter(Millis(2199))));
  cr_assert_not(acceptsSession(phaseAfter(Millis(2200))));
}

// Guards against all idle sessions being closed at the same moment, at the begin of a phase.
Test(stop_phase, sessionsAreCheckedAtTheirIntervalAndAtPhasesThatEndWork) {
  StopPlan Plan = planStop(Start, Limit);
  TimePoint Far = Start + std::chrono::hours(1);
  cr_assert_eq(nextSessionCheck({}, Start, Far), Far);
  cr_assert_eq(nextSessionCheck(Plan, Start, Start + Millis(500)), Start + Millis(500));
  cr_assert_eq(nextSessionCheck(Plan, Start, Far), Plan.m_EndingTransactionsAt);
  cr_assert_eq(nextSessionCheck(Plan, Plan.m_EndingTransactionsAt, Far), Plan.m_AnsweringAt);
  cr_assert_eq(nextSessionCheck(Plan, Plan.m_OverAt, Far), Far);
  cr_assert_eq(limitByFinalAnswers({}, Far), Far);
  cr_assert_eq(limitByFinalAnswers(Plan, Far), Plan.m_AnsweringAt);
  cr_assert_eq(limitByFinalAnswers(Plan, Start), Start);
}
