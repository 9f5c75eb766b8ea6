#include "quetzalpaddle.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

// Guards against retries that multiply the load during a lasting fault. Allowed are 10% of the
// requests plus a minimum of 3/s; a customer with few requests gets the minimum alone.
Test(retry, retriesAreAShareOfTheRequests) {
  for (uint32_t RequestsPerSecond : {1U, 1000U}) {
    RetryBudget Budget;
    TimePoint Now = TimePoint{} + std::chrono::hours(1);
    uint32_t Retries = 0;
    for (int Second = 0; Second < 100; ++Second)
      for (uint32_t I = 0; I < RequestsPerSecond; ++I) {
        countRequest(Budget, Now);
        for (int Try = 0; Try < 20 && takeRetry(Budget, Now); ++Try)
          ++Retries;
        Now += std::chrono::microseconds(1000000 / RequestsPerSecond);
      }
    uint32_t MaxRetries = 100 * (RequestsPerSecond / 10 + 3) + 10;
    cr_assert(Retries <= MaxRetries, "%u retries, at most %u", Retries, MaxRetries);
    cr_assert(Retries > MaxRetries * 8 / 10, "%u retries of %u", Retries, MaxRetries);
  }
}

// Guards against delays beyond the limits, an overflow after many attempts, and callers that retry
// at the same time.
Test(retry, backoffIsSpreadWithinItsLimit) {
  Random Rng(3);
  for (uint32_t Attempt : {0U, 1U, 3U, 5U, 6U, 200U}) {
    Duration MaxDelay =
        std::min<Duration>(Millis(25) * (1LL << std::min(Attempt, 10U)), Millis(1000));
    Duration Sum{};
    for (int I = 0; I < 1000; ++I) {
      Duration Delay = computeBackoffDelay(Attempt, Millis(25), Millis(1000), Rng);
      cr_assert(Delay >= Duration::zero() && Delay <= MaxDelay);
      Sum += Delay;
    }
    cr_assert(Sum / 1000 > MaxDelay * 4 / 10 && Sum / 1000 < MaxDelay * 6 / 10, "not uniform");
  }
}
