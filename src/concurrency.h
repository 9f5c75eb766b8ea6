// Limit on the statements that a dispatcher runs at an instance at a time, from what the instance
// refuses and how slowly it answers. Free of I/O, threads and clock reads.
//
// For each number of running statements, the tracker keeps how badly the statements fare that are
// started with it. The limit is the number above which they fare clearly worse. If only high
// numbers were run lately, half of them is tried for some statements. An instance that refuses or
// slows down at any number keeps its slots, because running less there helps nobody; reads avoid it
// instead, since its dispatcher adds avoidanceCost() to the wait that it reports.
#pragma once

#include "answer.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalpaddle {

struct ConcurrencySettings {
  // Statements fare clearly worse from this difference in badness on. A third of all statements
  // refused, or answers three times slower than usual, make a difference of 0.3.
  double m_Margin = 0.2;
  // A number that was excluded is tried again below this difference. Without the distance between
  // the two, a full instance was tried again so often that it refused 4 % of the statements.
  double m_RetryMargin = 0.1;
  // Weights of a new outcome in the averages. Refusals count for more, since they are rarer than
  // statements that take longer by chance.
  double m_ServedWeight = 1.0 / 32;
  double m_RefusedWeight = 1.0 / 8;
  // Outcomes of lower numbers with which a number is compared, and those that a trial of lower
  // numbers collects. Their relation sets how often the trial is repeated, about every 3 s.
  double m_MinOutcomeCount = 6;
  double m_TrialOutcomeCount = 12;
  // In this time, what is known of a number of statements that is not run any more falls to 1/e.
  Duration m_DecayTime = std::chrono::seconds(4);
  // The same for the instance as a whole, which reads avoid.
  Duration m_AvoidanceDecayTime = std::chrono::seconds(2);
  // Time constant of the additional time of statements. At 30 statements per second, the average is
  // that of 60 of them, with a standard error of an eighth.
  Duration m_RecentTime = std::chrono::seconds(1);
  // Part of the time of a statement by which the additional time is raised: two standard errors.
  double m_TimeMargin = 0.25;
  // Cost of a refusal in waiting time: another way and another queue, within a usual latency
  // target.
  Duration m_RefusalCost = Millis(200);
  // The usual duration of a kind of statement follows a lasting change in this time. It is longer
  // than a usual slowdown, which would otherwise be taken for normal.
  Duration m_UsualDurationTime = std::chrono::seconds(30);
};

enum class StatementOutcome {
  Served,
  Refused, // BUSY or OVERLOAD
  Failed,  // FAILED: a fault of the instance or of the statement
};

struct StatementResult {
  StatementOutcome m_Outcome = StatementOutcome::Served;
  uint32_t m_RunningCount = 1; // when it was started, itself included
  uint32_t m_Kind = 0;         // statements of a kind take about the same time
  std::string m_Customer;
  Duration m_Time{}; // from sending to the answer
};

struct UsualDuration {
  double m_Seconds = 0;
  uint32_t m_SampleCount = 0;
  TimePoint m_UpdatedAt{};
};

struct ConcurrencyLevel {
  double m_Badness = 0;      // 0 = served in less than the usual time, 1 = refused; average
  double m_OutcomeCount = 0; // decays with time
};

// Sums over the statements served lately, in seconds; they decay with time.
struct RecentTimes {
  double m_UsualSum = 0;
  double m_AdditionalSum = 0; // beyond the usual durations of their kinds
  double m_Count = 0;
  double m_Certainty = 1; // decays with the time since the last of them
};

struct ConcurrencyTracker {
  std::vector<ConcurrencyLevel> m_Levels; // by number of running statements, from 1
  uint32_t m_Limit = 0;                   // once there are outcomes
  bool m_IsInTrial = false;               // of lower numbers
  double m_OverallBadness = 0;
  RecentTimes m_RecentTimes;
  TimePoint m_AgedAt{};
  std::map<uint32_t, UsualDuration> m_UsualDurations; // by kind
  std::string m_LastFailedCustomer;
};

// Records how a statement ended.
void noteResult(ConcurrencyTracker &Tracker, const StatementResult &Result, uint32_t SlotCount,
                TimePoint Now, const ConcurrencySettings &Settings);

// Lets old outcomes count less. To be called regularly.
void ageResults(ConcurrencyTracker &Tracker, TimePoint Now, const ConcurrencySettings &Settings);

// Returns the number of statements to run at a time: 1 to SlotCount, and not below the open
// transactions with a statement that runs or waits, up to SlotCount.
uint32_t concurrencyLimit(const ConcurrencyTracker &Tracker, uint32_t SlotCount,
                          uint32_t ActiveTransactionCount);

// Returns what a statement is expected to lose at the instance by refusals and slow answers, as
// waiting time: at least the time by which statements took longer than usual lately.
Duration avoidanceCost(const ConcurrencyTracker &Tracker, const ConcurrencySettings &Settings);

} // namespace quetzalpaddle
