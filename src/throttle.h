// Local refusals of a customer whose requests the dispatchers refuse as over its rate. They spare
// the hubs, which decide, the work of refusing each request. Free of I/O, threads and clock reads.
#pragma once

#include "answer.h"

#include <map>
#include <string>

namespace quetzalpaddle {

struct ThrottleSettings {
  std::chrono::milliseconds m_Averaging{2000}; // time constant of the counts
  // Requests that are passed on for each accepted one. Above 1, so that a rise of what the
  // dispatchers accept is noticed.
  double m_PassedPerAccepted = 2;
};

// Recent requests of one customer at this host, decayed.
struct CustomerThrottle {
  double m_Asked = 0;    // all of its requests
  double m_Accepted = 0; // those that a dispatcher has not refused as over the rate
  TimePoint m_DecayedAt{};
};

struct ThrottleState {
  std::map<std::string, CustomerThrottle> m_Customers; // by name; only those refused lately
};

// Returns the probability with which a request is refused here.
double throttleProbability(const CustomerThrottle &Throttle, const ThrottleSettings &Settings);

// Counts a request and returns whether it is passed on. UniformDraw: a random number in [0, 1).
bool passRequest(ThrottleState &State, const std::string &Customer, double UniformDraw,
                 TimePoint Now, const ThrottleSettings &Settings);

// Counts the answer of a dispatcher to a request that was passed on.
void noteDispatcherAnswer(ThrottleState &State, const std::string &Customer, bool IsOverRate,
                          TimePoint Now, const ThrottleSettings &Settings);

} // namespace quetzalpaddle
