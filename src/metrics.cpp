// Metrics, implemented with prometheus-cpp.
#include "metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <tuple>

namespace quetzalpaddle {

namespace {

// Maximum number of values per label. Limits memory and scrape size, since callers and operators
// choose the names.
constexpr size_t MaxLabels = 200;

// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
    0.1,    0.2,    0.5,    1,     1.5,   2,     5,    10,   30};

std::string_view formatClass(AnswerClass Class) {
  switch (Class) {
  case AnswerClass::Done:
    return "done";
  case AnswerClass::NotRun:
    return "not_run";
  case AnswerClass::Unknown:
    return "unknown";
  }
  return "unknown";
}

// The series of answers with the same labels.
struct AnswerSeries {
  prometheus::Counter *m_Answers = nullptr;
  prometheus::Histogram *m_Latency = nullptr;
};

using AnswerKey = std::tuple<std::string, std::string, AnswerClass, Reason>; // route, customer

} // namespace

struct Metrics {
  std::shared_ptr<prometheus::Registry> m_Registry = std::make_shared<prometheus::Registry>();
  prometheus::Family<prometheus::Counter> &m_Answers =
      prometheus::BuildCounter()
          .Name("quetzalpaddle_answers_total")
          .Help("Answered requests by route, customer, class and reason")
          .Register(*m_Registry);
  prometheus::Family<prometheus::Histogram> &m_Latency =
      prometheus::BuildHistogram()
          .Name("quetzalpaddle_request_seconds")
          .Help("Time from request to answer by route and class")
          .Register(*m_Registry);
  prometheus::Family<prometheus::Counter> &m_ServedByInstance =
      prometheus::BuildCounter()
          .Name("quetzalpaddle_served_by_total")
          .Help("Requests that ran, by kind of instance")
          .Register(*m_Registry);
  prometheus::Family<prometheus::Counter> &m_Retries = prometheus::BuildCounter()
                                                           .Name("quetzalpaddle_retries_total")
                                                           .Help("Retries by reason")
                                                           .Register(*m_Registry);
  prometheus::Family<prometheus::Counter> &m_QueueRefusals =
      prometheus::BuildCounter()
          .Name("quetzalpaddle_queue_refusals_total")
          .Help("Refusals by an instance's dispatcher, by reason and priority class")
          .Register(*m_Registry);
  prometheus::Family<prometheus::Counter> &m_ConnectionsOpened =
      prometheus::BuildCounter()
          .Name("quetzalpaddle_instance_connections_opened_total")
          .Help("Attempts to open a connection to an instance")
          .Register(*m_Registry);
  prometheus::Family<prometheus::Counter> &m_ConnectionsClosed =
      prometheus::BuildCounter()
          .Name("quetzalpaddle_instance_connections_closed_total")
          .Help("Closed connections to instances by cause")
          .Register(*m_Registry);
  prometheus::Family<prometheus::Counter> &m_Events = prometheus::BuildCounter()
                                                          .Name("quetzalpaddle_events_total")
                                                          .Help("Changes of state by event")
                                                          .Register(*m_Registry);

  // Families find a series by hashing all labels under a lock, so those of answers are kept.
  std::array<prometheus::Counter *, 2> m_ServedBy = {
      &m_ServedByInstance.Add({{"instance", "primary"}}),
      &m_ServedByInstance.Add({{"instance", "replica"}})};

  std::mutex m_Lock;                                             // guards the members below
  std::map<AnswerKey, AnswerSeries, std::less<>> m_AnswerSeries; // of routes and customers below
  std::set<std::string> m_Routes;
  std::set<std::string> m_Customers;
  std::set<std::string> m_EventNames;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> m_Gauges; // by name
  std::map<std::string, std::set<std::string>> m_GaugeLabels;              // by name
};

namespace {

// Returns the label, or "other" if it is new and there are MaxLabels already.
std::string limitLabel(std::set<std::string> &Known, const std::string &Label) {
  if (Known.contains(Label))
    return Label;
  if (Known.size() >= MaxLabels)
    return "other";
  Known.insert(Label);
  return Label;
}

} // namespace

std::shared_ptr<Metrics> openMetrics() { return std::make_shared<Metrics>(); }

static AnswerSeries addAnswerSeries(Metrics &Counters, const std::string &RouteLabel,
                                    const std::string &CustomerLabel, AnswerClass Class,
                                    Reason ReasonCode) {
  std::string ClassLabel(formatClass(Class));
  return {&Counters.m_Answers.Add({{"route", RouteLabel},
                                   {"customer", CustomerLabel},
                                   {"class", ClassLabel},
                                   {"reason", std::string(reasonName(ReasonCode))}}),
          &Counters.m_Latency.Add({{"route", RouteLabel}, {"class", ClassLabel}}, LatencyBounds)};
}

// Returns the series of an answer. They are kept only for names that have labels of their own, so
// that their number is limited too.
static AnswerSeries findAnswerSeries(Metrics &Counters, const std::string &Route,
                                     const std::string &Customer, AnswerClass Class,
                                     Reason ReasonCode) {
  std::lock_guard Guard(Counters.m_Lock);
  auto Known = Counters.m_AnswerSeries.find(std::tie(Route, Customer, Class, ReasonCode));
  if (Known != Counters.m_AnswerSeries.end())
    return Known->second;
  // Callers choose the names of routes that do not exist, and would take up all labels.
  std::string RouteLabel =
      ReasonCode == Reason::NoRoute ? "unknown" : limitLabel(Counters.m_Routes, Route);
  std::string CustomerLabel = limitLabel(Counters.m_Customers, Customer);
  AnswerSeries Series = addAnswerSeries(Counters, RouteLabel, CustomerLabel, Class, ReasonCode);
  if (RouteLabel == Route && CustomerLabel == Customer)
    Counters.m_AnswerSeries.emplace(AnswerKey{Route, Customer, Class, ReasonCode}, Series);
  return Series;
}

void countAnswer(Metrics &Counters, const std::string &Route, const std::string &Customer,
                 AnswerClass Class, Reason ReasonCode, Duration Latency, bool IsFromReplica) {
  AnswerSeries Series = findAnswerSeries(Counters, Route, Customer, Class, ReasonCode);
  Series.m_Answers->Increment();
  Series.m_Latency->Observe(std::chrono::duration<double>(Latency).count());
  if (Class == AnswerClass::Done)
    Counters.m_ServedBy[IsFromReplica ? 1 : 0]->Increment();
}

void countRetry(Metrics &Counters, Reason ReasonCode) {
  Counters.m_Retries.Add({{"reason", std::string(reasonName(ReasonCode))}}).Increment();
}

void countQueueRefusal(Metrics &Counters, Reason ReasonCode, uint32_t Priority) {
  size_t Class = std::min<size_t>(Priority, QueueClassCount - 1);
  Counters.m_QueueRefusals
      .Add({{"reason", std::string(reasonName(ReasonCode))}, {"class", std::to_string(Class)}})
      .Increment();
}

void countConnectionOpened(Metrics &Counters, bool IsFirst) {
  Counters.m_ConnectionsOpened.Add({{"first", IsFirst ? "yes" : "no"}}).Increment();
}

void countConnectionClosed(Metrics &Counters, ConnectionClose Cause) {
  Counters.m_ConnectionsClosed.Add({{"cause", std::string(connectionCloseName(Cause))}})
      .Increment();
}

void countEvent(Metrics &Counters, std::string_view Event) {
  std::string Label;
  {
    std::lock_guard Guard(Counters.m_Lock);
    Label = limitLabel(Counters.m_EventNames, std::string(Event));
  }
  Counters.m_Events.Add({{"event", Label}}).Increment();
}

void setGauge(Metrics &Counters, std::string_view Name, const std::string &Label, double Value) {
  prometheus::Family<prometheus::Gauge> *Family = nullptr;
  std::string BoundedLabel;
  {
    std::lock_guard Guard(Counters.m_Lock);
    auto &Known = Counters.m_Gauges[std::string(Name)];
    if (!Known)
      Known = &prometheus::BuildGauge()
                   .Name("quetzalpaddle_" + std::string(Name))
                   .Help("Current value of " + std::string(Name))
                   .Register(*Counters.m_Registry);
    Family = Known;
    BoundedLabel = limitLabel(Counters.m_GaugeLabels[std::string(Name)], Label);
  }
  if (BoundedLabel.empty())
    Family->Add({}).Set(Value);
  else
    Family->Add({{"label", BoundedLabel}}).Set(Value);
}

std::vector<RefusalCount> listRefusals(const Metrics &Counters) {
  std::vector<RefusalCount> Refusals;
  for (const prometheus::MetricFamily &Family : Counters.m_Answers.Collect())
    for (const prometheus::ClientMetric &Metric : Family.metric) {
      std::map<std::string, std::string> Labels;
      for (const auto &Label : Metric.label)
        Labels[Label.name] = Label.value;
      if (Labels["class"] == formatClass(AnswerClass::NotRun))
        Refusals.push_back({Labels["route"], Labels["customer"], Labels["reason"],
                            static_cast<uint64_t>(Metric.counter.value)});
    }
  return Refusals;
}

std::string formatMetrics(const Metrics &Counters) {
  return prometheus::TextSerializer().Serialize(Counters.m_Registry->Collect());
}

} // namespace quetzalpaddle
