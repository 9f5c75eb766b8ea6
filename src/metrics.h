// Counters, gauges and histograms of a host, exposed by prometheus-cpp. docs/OPERATIONS.md lists
// them.
#pragma once

#include "quetzalpaddle.h"

#include <memory>

namespace quetzalpaddle {

struct Metrics; // registry and families

std::shared_ptr<Metrics> openMetrics();

// One answered request. Route and customer labels are bounded: beyond 200 of each, "other".
void countAnswer(Metrics &Counters, const std::string &Route, const std::string &Customer,
                 AnswerClass Class, Reason ReasonCode, Duration Latency, bool IsReplica);
void countRetry(Metrics &Counters, Reason ReasonCode);
void countEvent(Metrics &Counters, std::string_view Event); // such as "promotion_started"
void setGauge(Metrics &Counters, std::string_view Name, const std::string &Label, double Value);

// Answers that were refused, for operators.
struct RefusalCount {
  std::string m_Route;
  std::string m_Customer;
  std::string m_Reason;
  uint64_t m_Count = 0;
};
std::vector<RefusalCount> listRefusals(const Metrics &Counters);

// Returns the exposition text.
std::string formatMetrics(const Metrics &Counters);

} // namespace quetzalpaddle
