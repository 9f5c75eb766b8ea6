// Simulations of the decision functions under load, on a virtual clock. The seed fully determines a
// run.
#pragma once

#include "quetzalpaddle.h"

#include <queue>

namespace quetzalpaddle::bench {

using Seconds = std::chrono::duration<double>;

struct Deployment {
  std::string m_Name;
  uint32_t m_DataCentreCount = 0;
  Seconds m_OneWayDelay{}; // between data centres
  uint32_t m_HostCount = 0;
  uint32_t m_SlotsPerInstance = 0;
  uint32_t m_ConnectionsPerInstance = 0;
  Seconds m_ConnectDelay{};          // to open a connection
  std::vector<Customer> m_Customers; // with their rates over the whole fleet
};

struct BenchParameters {
  std::vector<uint64_t> m_Seeds;
  bool m_Smoke = false; // short runs
};

// How the values of a row are compared with its limit; None: not checked.
enum class TargetKind { None, Below, Above, Zero, AtMostLimit };

// One measure of one deployment, with a value per seed.
struct Row {
  std::string m_Section;
  std::string m_Deployment;
  std::string m_MeasureName;
  std::string m_Unit;
  TargetKind m_TargetKind = TargetKind::None;
  double m_Limit = 0;
  std::vector<double> m_Values;
  std::vector<double> m_Baseline; // of a simpler policy, per seed; may be empty
};

// A queue of events ordered by time. Events of the same time keep the order in which they were
// added.
template <class EventType> class EventQueue {
public:
  void add(TimePoint At, EventType Added) { m_Heap.push({At, m_NextSequence++, std::move(Added)}); }
  bool isEmpty() const { return m_Heap.empty(); }
  std::pair<TimePoint, EventType> take() {
    Entry First = m_Heap.top();
    m_Heap.pop();
    return {First.m_At, First.m_Event};
  }

private:
  struct Entry {
    TimePoint m_At;
    uint64_t m_Sequence;
    EventType m_Event;
    bool operator<(const Entry &Right) const {
      return std::tie(Right.m_At, Right.m_Sequence) < std::tie(m_At, m_Sequence);
    }
  };
  std::priority_queue<Entry> m_Heap;
  uint64_t m_NextSequence = 0;
};

inline Duration toDuration(Seconds S) { return std::chrono::duration_cast<Duration>(S); }
inline double drawExponential(Random &Rng, double Mean) {
  return std::exponential_distribution<double>(1 / Mean)(Rng);
}
inline double drawUniform(Random &Rng, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Rng);
}

// Start of the virtual clock. It is not zero, because a zero time point means an unset one in the
// decision functions.
constexpr TimePoint StartTime{std::chrono::hours(1)};

// Runs every task, at most three at a time.
void runTasks(const std::vector<std::function<void()>> &Tasks);

std::vector<Row> measureRate(const std::vector<Deployment> &Deployments,
                             const BenchParameters &Parameters);
std::vector<Row> measureQueue(const std::vector<Deployment> &Deployments,
                              const BenchParameters &Parameters);
std::vector<Row> measureReads(const std::vector<Deployment> &Deployments,
                              const BenchParameters &Parameters);

} // namespace quetzalpaddle::bench
