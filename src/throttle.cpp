// Adaptive throttling: a request is refused with probability
// max(0, (asked - k * accepted) / (asked + 1)), k = ThrottleSettings::m_PassedPerAccepted.
//
// With demand D and accepted requests A, about k * A reach the dispatchers, however large D is. The
// dispatchers alone decide on the limit: a request that is passed on may still be refused, and a
// customer within its rate is never refused here.
#include "throttle.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace {

// Counts below this are forgotten.
constexpr double MinCount = 0.01;

void decay(CustomerThrottle &Throttle, TimePoint Now, const ThrottleSettings &Settings) {
  double Factor = std::exp(-std::chrono::duration<double>(Now - Throttle.m_DecayedAt) /
                           std::chrono::duration<double>(Settings.m_Averaging));
  Throttle.m_Asked *= Factor;
  Throttle.m_Accepted *= Factor;
  Throttle.m_DecayedAt = Now;
}

} // namespace

double throttleProbability(const CustomerThrottle &Throttle, const ThrottleSettings &Settings) {
  double Excess = Throttle.m_Asked - Settings.m_PassedPerAccepted * Throttle.m_Accepted;
  return std::max(0.0, Excess / (Throttle.m_Asked + 1));
}

bool passRequest(ThrottleState &State, const std::string &Customer, double UniformDraw,
                 TimePoint Now, const ThrottleSettings &Settings) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return true;
  CustomerThrottle &Throttle = It->second;
  decay(Throttle, Now, Settings);
  if (Throttle.m_Asked < MinCount) {
    State.m_Customers.erase(It);
    return true;
  }
  bool IsPassed = UniformDraw >= throttleProbability(Throttle, Settings);
  Throttle.m_Asked += 1;
  return IsPassed;
}

void noteDispatcherAnswer(ThrottleState &State, const std::string &Customer, bool IsOverRate,
                          TimePoint Now, const ThrottleSettings &Settings) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end()) {
    if (IsOverRate)
      State.m_Customers[Customer] = {1, 0, Now};
    return;
  }
  decay(It->second, Now, Settings);
  It->second.m_Accepted += IsOverRate ? 0 : 1;
}

} // namespace quetzalpaddle
