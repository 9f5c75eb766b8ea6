// Counters, gauges and histograms of a host, in the Prometheus format. docs/OPERATIONS.md lists
// them.
#pragma once

#include "connections.h"
#include "quetzalpaddle.h"

#include <memory>

namespace quetzalpaddle {

struct Metrics; // Prometheus registry and metric families

std::shared_ptr<Metrics> openMetrics();

// Counts an answered request and observes its latency. Only the first 200 route labels and the
// first 200 customer labels are kept; further ones are counted as "other".
void countAnswer(Metrics &Counters, const std::string &Route, const std::string &Customer,
                 AnswerClass Class, Reason ReasonCode, Duration Latency, bool IsFromReplica);
void countRetry(Metrics &Counters, Reason ReasonCode);
// Counts a refusal by the queue of an instance or by the rate, by the priority of the route.
void countQueueRefusal(Metrics &Counters, Reason ReasonCode, uint32_t Priority);
// Count an attempt to open a connection to an instance, and the end of a connection or attempt.
// IsFirst: this host holds no other connection of the customer to the instance.
void countConnectionOpened(Metrics &Counters, bool IsFirst);
void countConnectionClosed(Metrics &Counters, ConnectionClose Cause);
void countEvent(Metrics &Counters, std::string_view Event); // such as "promotion_started"
void setGauge(Metrics &Counters, std::string_view Name, const std::string &Label, double Value);

// Number of requests of a customer on a route that were refused for a reason.
struct RefusalCount {
  std::string m_Route;
  std::string m_Customer;
  std::string m_Reason;
  uint64_t m_Count = 0;
};
std::vector<RefusalCount> listRefusals(const Metrics &Counters);

// Returns all metrics in the Prometheus text exposition format.
std::string formatMetrics(const Metrics &Counters);

} // namespace quetzalpaddle
