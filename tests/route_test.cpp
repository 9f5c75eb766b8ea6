#include "quetzalpaddle.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <cstdio>

using namespace quetzalpaddle;

namespace {

const RouteSettings Defaults;
const TimePoint Start{std::chrono::hours(1)};

Group makeGroup() {
  Group OrdersGroup;
  OrdersGroup.m_Name = "orders";
  for (int N = 0; N < 3; ++N) {
    Instance I;
    I.m_Id = "i" + std::to_string(N);
    I.m_DataCentre = "dc-" + std::to_string(N);
    OrdersGroup.m_Instances.push_back(I);
  }
  return OrdersGroup;
}

InstanceView makeObservation(uint64_t Term, bool IsPrimary, uint64_t AppliedIndex,
                             TimePoint SeenAt) {
  InstanceView View;
  View.m_Term = Term;
  View.m_IsPrimary = IsPrimary;
  View.m_AppliedPosition = {Term, AppliedIndex};
  View.m_AppliedAt = View.m_LastSeenAt = SeenAt;
  return View;
}

GroupView makeView() {
  GroupView View;
  mergeView(View, "i0", makeObservation(3, true, 100, Start));
  mergeView(View, "i1", makeObservation(3, false, 90, Start));
  mergeView(View, "i2", makeObservation(3, false, 90, Start));
  return View;
}

ReadRequirement requirePosition(uint64_t Index) {
  return {.m_Mode = ReadMode::Session, .m_Position = {3, Index}, .m_MaxAge = {}};
}

struct ReadCounts {
  double m_ReadCount = 0;
  double m_CurrentCount = 0;        // reads whose position some replica has now
  double m_CurrentServedCount = 0;  // by a replica, of those
  double m_PossibleCount = 0;       // reads whose position some replica has or gets within the wait
  double m_PossibleServedCount = 0; // by a replica, of those
  double m_BehindCount = 0;         // round trips to a replica that was behind
};

// Returns the log position at a time (seconds): the number of writes up to it.
uint64_t countWrites(const std::vector<double> &Writes, double At) {
  return static_cast<uint64_t>(std::ranges::upper_bound(Writes, At) - Writes.begin());
}

// Simulates writes at random times, replicas that apply them after Lag seconds, probes every 50 ms,
// and reads that require a position written a random time earlier.
ReadCounts simulateReads(double Lag, double WritesPerSecond, uint64_t Seed) {
  constexpr double LengthSeconds = 30;
  Random Rng(Seed);
  std::vector<double> Writes;
  std::exponential_distribution<double> Interval(WritesPerSecond);
  for (double At = Interval(Rng); At < LengthSeconds; At += Interval(Rng))
    Writes.push_back(At);
  Group OrdersGroup = makeGroup();
  GroupView View;
  ReadCounts Counts;
  auto At = [](double Seconds) {
    return Start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
  };
  std::array<double, 3> Lags{0, Lag, Lag * 1.2};
  std::uniform_real_distribution<double> Age(0, 3 * Lag);
  double NextProbe = 0;
  double MaxWaitSeconds = std::chrono::duration<double>(Defaults.m_MaxReplicaWait).count();
  for (double Now = 3 * Lag + 1; Now < LengthSeconds; Now += 0.003) {
    if (Now >= NextProbe) {
      for (size_t N = 0; N < 3; ++N)
        mergeView(View, OrdersGroup.m_Instances[N].m_Id,
                  makeObservation(3, N == 0, countWrites(Writes, Now - Lags[N]), At(Now)));
      NextProbe = Now + 0.05;
    }
    uint64_t RequiredIndex = countWrites(Writes, Now - Age(Rng));
    ++Counts.m_ReadCount;
    bool IsPossible = countWrites(Writes, Now + MaxWaitSeconds - Lags[1]) >= RequiredIndex;
    bool IsCurrent = countWrites(Writes, Now - Lags[1]) >= RequiredIndex;
    Counts.m_PossibleCount += IsPossible ? 1 : 0;
    Counts.m_CurrentCount += IsCurrent ? 1 : 0;
    std::set<std::string> TriedInstances;
    for (double AttemptAt = Now;;) {
      auto Choice = chooseForRead(OrdersGroup, View, "dc-0", requirePosition(RequiredIndex),
                                  TriedInstances, At(AttemptAt), Rng, Defaults);
      cr_assert(!Choice.m_Instance.empty());
      if (Choice.m_Instance == "i0")
        break;
      size_t N = Choice.m_Instance == "i1" ? 1 : 2;
      double WaitSeconds = std::chrono::duration<double>(Choice.m_PositionWait).count();
      if (countWrites(Writes, AttemptAt + WaitSeconds - Lags[N]) >= RequiredIndex) {
        Counts.m_PossibleServedCount += IsPossible ? 1 : 0;
        Counts.m_CurrentServedCount += IsCurrent ? 1 : 0;
        break;
      }
      ++Counts.m_BehindCount;
      TriedInstances.insert(Choice.m_Instance);
      AttemptAt += WaitSeconds + 0.001;
    }
  }
  return Counts;
}

} // namespace

// Guards against reads at the primary that a replica could have served, and against estimates so
// optimistic that reads make unnecessary round trips.
Test(route, readsGoToReplicasThatHaveThePosition) {
  uint64_t Seed = 20261204;
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  ReadCounts Total;
  for (double Lag : {0.05, 0.2, 0.7, 2.0})
    for (double Rate : {20.0, 200.0, 2000.0}) {
      ReadCounts Counts = simulateReads(Lag, Rate, Seed);
      std::printf("lag %.2f s, %4.0f writes/s: replicas served %.2f%% of the reads possible now, "
                  "%.2f%% of those possible within the wait, %.2f%% found the replica behind\n",
                  Lag, Rate, 100.0 * Counts.m_CurrentServedCount / Counts.m_CurrentCount,
                  100.0 * Counts.m_PossibleServedCount / Counts.m_PossibleCount,
                  100.0 * Counts.m_BehindCount / Counts.m_ReadCount);
      cr_assert(Counts.m_CurrentServedCount > 0.99 * Counts.m_CurrentCount);
      Total.m_ReadCount += Counts.m_ReadCount;
      Total.m_PossibleCount += Counts.m_PossibleCount;
      Total.m_PossibleServedCount += Counts.m_PossibleServedCount;
      Total.m_BehindCount += Counts.m_BehindCount;
    }
  std::printf(
      "all: replicas served %.3f%% of the possible reads, %.2f%% found the replica behind\n",
      100.0 * Total.m_PossibleServedCount / Total.m_PossibleCount,
      100.0 * Total.m_BehindCount / Total.m_ReadCount);
  cr_assert(Total.m_PossibleServedCount > 0.99 * Total.m_PossibleCount);
  cr_assert(Total.m_BehindCount < 0.10 * Total.m_ReadCount);
}

// Guards against late or reordered reports that replace newer information in a view.
Test(route, outdatedReportsChangeNoView) {
  GroupView View = makeView();
  mergeView(View, "i1", makeObservation(4, false, 95, Start + Millis(1)));
  cr_assert_eq(View.m_Term, 4U);
  cr_assert(View.m_Primary.empty(), "the primary of the new term is unknown");
  mergeView(View, "i0", makeObservation(3, true, 120, Start + Millis(2)));
  cr_assert(View.m_Primary.empty(), "a primary of an old term");
  mergeView(View, "i1", makeObservation(4, true, 96, Start + Millis(3)));
  cr_assert_eq(View.m_Primary, std::string("i1"));
  mergeView(View, "i1", makeObservation(3, false, 80, Start + Millis(4)));
  cr_assert(View.m_Instances["i1"].m_IsPrimary &&
            View.m_Instances["i1"].m_AppliedPosition.m_Index == 96);
  mergeView(View, "i1", makeObservation(4, false, 96, Start + Millis(5)));
  cr_assert(View.m_Primary.empty(), "the primary restarted within its term");
}

// Guards against load that falls on only one of two equal replicas, and against reads at a replica
// in another data centre while one in the own data centre is as good.
Test(route, nearReplicasFirstThenEvenSpread) {
  Group OrdersGroup = makeGroup();
  GroupView View = makeView();
  Random Rng(1);
  std::map<std::string, uint32_t> Counts;
  for (int N = 0; N < 1000; ++N)
    ++Counts[chooseForRead(OrdersGroup, View, "dc-0", requirePosition(80), {}, Start, Rng, Defaults)
                 .m_Instance];
  cr_assert(Counts["i1"] > 400 && Counts["i2"] > 400 && !Counts.contains("i0"));
  for (int N = 0; N < 100; ++N) {
    auto Choice =
        chooseForRead(OrdersGroup, View, "dc-2", requirePosition(80), {}, Start, Rng, Defaults);
    cr_assert_eq(Choice.m_Instance, std::string("i2"));
    cr_assert(Choice.m_PositionWait == Duration{});
  }
}

// Guards against reads at instances that are leaving, have failed, were tried or have data that is
// too old, and against rejecting a read that some instance could serve.
Test(route, fallsBackInOrder) {
  Group OrdersGroup = makeGroup();
  GroupView View = makeView();
  Random Rng(1);
  auto Choose = [&](const ReadRequirement &Requirement,
                    const std::set<std::string> &TriedInstances) {
    return chooseForRead(OrdersGroup, View, "dc-1", Requirement, TriedInstances, Start, Rng,
                         Defaults);
  };
  cr_assert_eq(Choose(requirePosition(80), {"i1"}).m_Instance, std::string("i2"));
  cr_assert_eq(Choose(requirePosition(80), {"i1", "i2"}).m_Instance, std::string("i0"));
  cr_assert_eq(Choose(requirePosition(99), {}).m_Instance, std::string("i0"),
               "no replica has the position");
  cr_assert(!Choose(requirePosition(99), {}).m_RequiresPrimary, "the instance checks the position");
  cr_assert(Choose({}, {}).m_RequiresPrimary, "neither a position nor an age");
  cr_assert_eq(static_cast<int>(Choose(requirePosition(80), {"i0", "i1", "i2"}).m_RefusalReason),
               static_cast<int>(Reason::TooOld));
  View.m_Instances["i1"].m_DataAge = Millis(700);
  View.m_Instances["i2"].m_DataAge = Millis(300);
  ReadRequirement AgeRequirement{
      .m_Mode = ReadMode::MaxAge, .m_Position = {}, .m_MaxAge = Millis(500)};
  cr_assert_eq(Choose(AgeRequirement, {}).m_Instance, std::string("i2"));
  AgeRequirement.m_MaxAge = Millis(100);
  cr_assert_eq(Choose(AgeRequirement, {}).m_Instance, std::string("i0"));
  InstanceView FailedView;
  FailedView.m_LastFailedAt = Start;
  mergeView(View, "i1", FailedView);
  cr_assert_eq(Choose(requirePosition(80), {}).m_Instance, std::string("i2"));
  OrdersGroup.m_Instances[2].m_IsLeaving = true;
  cr_assert_eq(Choose(requirePosition(80), {}).m_Instance, std::string("i0"));
  View.m_Primary.clear();
  OrdersGroup.m_Instances[2].m_IsLeaving = false;
  cr_assert_eq(Choose(requirePosition(99), {"i0"}).m_Instance, std::string("i2"),
               "the best remaining instance");
  cr_assert_eq(static_cast<int>(chooseForWrite(OrdersGroup, View, Start).m_RefusalReason),
               static_cast<int>(Reason::NoPrimary));
}

// Guards against repeating a write whose outcome is unknown, and against a caller that waits past
// its deadline.
Test(route, writeWithUnknownOutcomeIsNeverRepeated) {
  RequestProgress WriteProgress{.m_IsWrite = true, .m_Deadline = Start + Millis(100)};
  RequestProgress ReadProgress{.m_IsWrite = false, .m_Deadline = Start + Millis(100)};
  for (uint32_t Code = 0; Code < static_cast<uint32_t>(Reason::Count); ++Code) {
    auto RefusalReason = static_cast<Reason>(Code);
    cr_assert(decideNextStep(WriteProgress, AnswerClass::Unknown, RefusalReason, Start) ==
              NextStep::Resolve);
    cr_assert(decideNextStep(WriteProgress, AnswerClass::Done, RefusalReason, Start) ==
              NextStep::Answer);
    cr_assert(decideNextStep(WriteProgress, AnswerClass::NotRun, RefusalReason,
                             Start + Millis(100)) == NextStep::Answer);
  }
  auto DecideAfterNotRun = [&](const RequestProgress &Progress, Reason RefusalReason) {
    return decideNextStep(Progress, AnswerClass::NotRun, RefusalReason, Start);
  };
  cr_assert(decideNextStep(ReadProgress, AnswerClass::Unknown, Reason::None, Start) ==
            NextStep::RetryElsewhere);
  cr_assert(DecideAfterNotRun(ReadProgress, Reason::ReplicaBehind) == NextStep::RetryElsewhere);
  cr_assert(DecideAfterNotRun(WriteProgress, Reason::HostUnavailable) == NextStep::RetryElsewhere);
  cr_assert(DecideAfterNotRun(WriteProgress, Reason::NotPrimary) == NextStep::WaitForPrimary);
  cr_assert(DecideAfterNotRun(WriteProgress, Reason::StatementFailed) == NextStep::Answer);
  WriteProgress.m_IsInTransaction = true;
  cr_assert(DecideAfterNotRun(WriteProgress, Reason::NotPrimary) == NextStep::Answer,
            "the transaction is lost");
}
