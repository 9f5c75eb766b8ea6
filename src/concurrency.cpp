// Badness of an instance by the number of running statements, and the limit that follows from it.
#include "concurrency.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

// The first samples of a kind are averaged; earlier than the smaller number they tell nothing.
constexpr uint32_t MinSampleCount = 32;
constexpr uint32_t AveragedSampleCount = 128;
// A single sample counts for at most this multiple of the usual duration.
constexpr double MaxSampleRatio = 2;
// Badness of statements whose durations vary as usual (exponentially distributed): the mean of
// max(0, 1 - 1/x).
constexpr double UsualBadness = 0.15;

// Returns the badness of a served statement, and records its duration.
double judgeDuration(UsualDuration &Usual, RecentTimes &Recent, Duration Time, TimePoint Now,
                     const ConcurrencySettings &Settings) {
  double Sample = std::max(Seconds(Time).count(), 1e-6);
  bool IsKnown = Usual.m_SampleCount >= MinSampleCount;
  double Badness = IsKnown ? std::max(0.0, 1 - Usual.m_Seconds / Sample) : UsualBadness;
  if (IsKnown) {
    Recent.m_UsualSum += Usual.m_Seconds;
    Recent.m_AdditionalSum += Sample - Usual.m_Seconds;
    ++Recent.m_Count;
    Recent.m_Certainty = 1;
  }
  double Weight = 0;
  if (Usual.m_SampleCount < AveragedSampleCount) {
    Weight = 1.0 / ++Usual.m_SampleCount;
  } else {
    Seconds Elapsed = std::max(Now - Usual.m_UpdatedAt, Duration::zero());
    Weight = std::min(1 - std::exp(-Elapsed / Seconds(Settings.m_UsualDurationTime)),
                      1.0 / AveragedSampleCount);
  }
  if (IsKnown)
    Sample = std::min(Sample, MaxSampleRatio * Usual.m_Seconds);
  Usual.m_Seconds += (Sample - Usual.m_Seconds) * Weight;
  Usual.m_UpdatedAt = Now;
  return Badness;
}

// Returns the number of statements above which they fare clearly worse. The number that is excluded
// now stays so until it fares nearly as well as the lower ones.
uint32_t findLimit(ConcurrencyTracker &Tracker, const ConcurrencySettings &Settings) {
  auto MaxCount = static_cast<uint32_t>(Tracker.m_Levels.size());
  double MinOutcomeCount =
      Tracker.m_IsInTrial ? Settings.m_TrialOutcomeCount : Settings.m_MinOutcomeCount;
  double LowerCount = 0;
  double LowerSum = 0;
  for (uint32_t Limit = 1; Limit < MaxCount; ++Limit) {
    const ConcurrencyLevel &Lower = Tracker.m_Levels[Limit - 1];
    LowerCount += Lower.m_OutcomeCount;
    LowerSum += Lower.m_OutcomeCount * Lower.m_Badness;
    bool IsComparable = LowerCount >= MinOutcomeCount;
    double Usual = IsComparable ? LowerSum / LowerCount : UsualBadness;
    double Margin = Limit == Tracker.m_Limit ? Settings.m_RetryMargin : Settings.m_Margin;
    if (Tracker.m_Levels[Limit].m_Badness <= Usual + Margin)
      continue;
    Tracker.m_IsInTrial = !IsComparable;
    return IsComparable ? Limit : (Limit + 1) / 2;
  }
  Tracker.m_IsInTrial = false;
  return MaxCount;
}

} // namespace

void noteResult(ConcurrencyTracker &Tracker, const StatementResult &Result, uint32_t SlotCount,
                TimePoint Now, const ConcurrencySettings &Settings) {
  double Badness = 1;
  ageResults(Tracker, Now, Settings);
  if (Result.m_Outcome == StatementOutcome::Served) {
    Badness = judgeDuration(Tracker.m_UsualDurations[Result.m_Kind], Tracker.m_RecentTimes,
                            Result.m_Time, Now, Settings);
  } else if (Result.m_Outcome == StatementOutcome::Failed &&
             std::exchange(Tracker.m_LastFailedCustomer, Result.m_Customer) == Result.m_Customer) {
    return; // the customer's statements may be at fault
  }
  if (Tracker.m_Levels.empty())
    Tracker.m_Limit = std::max<uint32_t>(SlotCount, 1);
  Tracker.m_Levels.resize(std::max<size_t>(SlotCount, 1), {UsualBadness, 0});
  size_t Index = std::clamp<size_t>(Result.m_RunningCount, 1, Tracker.m_Levels.size()) - 1;
  ConcurrencyLevel &Level = Tracker.m_Levels[Index];
  double Weight = Result.m_Outcome == StatementOutcome::Served ? Settings.m_ServedWeight
                                                               : Settings.m_RefusedWeight;
  double Change = (Badness - Level.m_Badness) * Weight;
  Level.m_Badness += Change;
  ++Level.m_OutcomeCount;
  // While a number of statements recovers from a fault, higher ones are assumed to recover as well.
  // Otherwise they would stay excluded for seconds after the end of a fault at any number.
  if (Change < 0 && Level.m_Badness > UsualBadness + Settings.m_RetryMargin)
    for (size_t I = Index + 1; I < Tracker.m_Levels.size(); ++I)
      Tracker.m_Levels[I].m_Badness = std::max(Tracker.m_Levels[I].m_Badness + Change, 0.0);
  Tracker.m_OverallBadness += (Badness - Tracker.m_OverallBadness) * Weight;
  uint32_t Limit = findLimit(Tracker, Settings);
  uint32_t LastLimit = std::min(Tracker.m_Limit, Limit);
  // Grows by one for each statement that is served at the limit: a full instance would refuse
  // several at once otherwise.
  bool MayGrow = Result.m_Outcome == StatementOutcome::Served && Result.m_RunningCount >= LastLimit;
  Tracker.m_Limit = std::min(Limit, LastLimit + (MayGrow ? 1 : 0));
}

void ageResults(ConcurrencyTracker &Tracker, TimePoint Now, const ConcurrencySettings &Settings) {
  Seconds Elapsed = std::max(Now - Tracker.m_AgedAt, Duration::zero());
  Tracker.m_AgedAt = Now;
  double Kept = std::exp(-Elapsed / Seconds(Settings.m_DecayTime));
  for (ConcurrencyLevel &Level : Tracker.m_Levels) {
    Level.m_Badness = UsualBadness + (Level.m_Badness - UsualBadness) * Kept;
    Level.m_OutcomeCount *= Kept;
  }
  double KeptRecent = std::exp(-Elapsed / Seconds(Settings.m_RecentTime));
  for (double RecentTimes::*Sum :
       {&RecentTimes::m_UsualSum, &RecentTimes::m_AdditionalSum, &RecentTimes::m_Count})
    Tracker.m_RecentTimes.*Sum *= KeptRecent;
  double KeptCost = std::exp(-Elapsed / Seconds(Settings.m_AvoidanceDecayTime));
  Tracker.m_RecentTimes.m_Certainty *= KeptCost;
  Tracker.m_OverallBadness *= KeptCost;
}

uint32_t concurrencyLimit(const ConcurrencyTracker &Tracker, uint32_t SlotCount,
                          uint32_t ActiveTransactionCount) {
  uint32_t MaxCount = std::max<uint32_t>(SlotCount, 1);
  uint32_t Limit = Tracker.m_Levels.empty() ? MaxCount : std::min(Tracker.m_Limit, MaxCount);
  return std::max(Limit, std::min(ActiveTransactionCount, MaxCount));
}

Duration avoidanceCost(const ConcurrencyTracker &Tracker, const ConcurrencySettings &Settings) {
  double Excess = std::max(0.0, Tracker.m_OverallBadness - UsualBadness - Settings.m_Margin / 2);
  Seconds ByBadness = Seconds(Settings.m_RefusalCost) * Excess;
  const RecentTimes &Recent = Tracker.m_RecentTimes;
  Seconds ByTime{0};
  // Two standard errors of the average, which has the weight of twice as many statements.
  double Margin = std::max(Settings.m_TimeMargin, std::sqrt(2 / std::max(Recent.m_Count, 1e-6)));
  if (Recent.m_AdditionalSum > Margin * Recent.m_UsualSum && Recent.m_Count > 1e-6)
    ByTime = Seconds(Recent.m_Certainty / Recent.m_Count *
                     (Recent.m_AdditionalSum +
                      Settings.m_TimeMargin * (Recent.m_UsualSum + Recent.m_AdditionalSum)));
  return std::chrono::duration_cast<Duration>(std::max(ByBadness, ByTime));
}

} // namespace quetzalpaddle
