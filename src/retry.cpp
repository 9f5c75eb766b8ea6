// Retry budget and back-off.
//
// The budget is a token bucket. Each request adds 0.1 retries; while the bucket holds less than the
// minimum of one second, time adds 3 retries per second, so that a customer with few requests can
// still retry. During a lasting fault, retries are limited to 10% of the requests plus 3 per
// second. A separate bucket for the minimum would avoid the 3 per second but need additional state.
//
// The back-off has full jitter, so that callers that failed together do not retry together. A delay
// near zero is harmless, because the budget limits the retries.
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

void fillBudget(RetryBudget &Budget, TimePoint Now) {
  double ElapsedSeconds = std::chrono::duration<double>(Now - Budget.m_FilledAt).count();
  if (ElapsedSeconds <= 0)
    return;
  Budget.m_FilledAt = Now;
  if (Budget.m_Level < Budget.m_MinRetriesPerSecond)
    Budget.m_Level = std::min(Budget.m_MinRetriesPerSecond,
                              Budget.m_Level + ElapsedSeconds * Budget.m_MinRetriesPerSecond);
}

} // namespace

void countRequest(RetryBudget &Budget, TimePoint Now) {
  fillBudget(Budget, Now);
  Budget.m_Level = std::min(Budget.m_MaxLevel, Budget.m_Level + Budget.m_RetriesPerRequest);
}

bool takeRetry(RetryBudget &Budget, TimePoint Now) {
  fillBudget(Budget, Now);
  if (Budget.m_Level < 1)
    return false;
  Budget.m_Level -= 1;
  return true;
}

Duration computeBackoffDelay(uint32_t Attempt, Duration FirstDelay, Duration MaxDelay,
                             Random &Rng) {
  Duration Limit = FirstDelay;
  for (uint32_t I = 0; I < Attempt && Limit < MaxDelay; ++I)
    Limit *= 2;
  Limit = std::max(Duration::zero(), std::min(Limit, MaxDelay));
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Limit.count())(Rng));
}

} // namespace quetzalpaddle
