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
  Group G;
  G.m_Name = "orders";
  for (int N = 0; N < 3; ++N) {
    Instance I;
    I.m_Id = "i" + std::to_string(N);
    I.m_DataCentre = "dc-" + std::to_string(N);
    G.m_Instances.push_back(I);
  }
  return G;
}

InstanceView makeSeen(uint64_t Term, bool Primary, uint64_t Applied, TimePoint At) {
  InstanceView V;
  V.m_Term = Term;
  V.m_IsPrimary = Primary;
  V.m_AppliedPosition = {Term, Applied};
  V.m_AppliedAt = V.m_LastSeenAt = At;
  return V;
}

GroupView makeView() {
  GroupView View;
  mergeView(View, "i0", makeSeen(3, true, 100, Start));
  mergeView(View, "i1", makeSeen(3, false, 90, Start));
  mergeView(View, "i2", makeSeen(3, false, 90, Start));
  return View;
}

ReadRequirement needPosition(uint64_t Index) {
  return {.m_Mode = ReadMode::Session, .m_Position = {3, Index}, .m_MaxAge = {}};
}

struct Tally {
  double m_Reads = 0;
  double m_Has = 0;       // some replica has the position now
  double m_HasServed = 0; // by a replica, of those
  double m_Oracle = 0;    // some replica has the position, or will have it within the wait
  double m_Served = 0;    // by a replica, of those
  double m_Behind = 0;    // round trips to a replica that was behind
};

// Position of the log at a time: the number of writes up to it.
uint64_t countWrites(const std::vector<double> &Writes, double At) {
  return static_cast<uint64_t>(std::ranges::upper_bound(Writes, At) - Writes.begin());
}

// Writes arrive at random, replicas apply them a lag later, probes run every 50 ms. Reads ask for a
// position written a random time before.
Tally runReads(double Lag, double WritesPerSecond, uint64_t Seed) {
  constexpr double Length = 30;
  Random Rng(Seed);
  std::vector<double> Writes;
  std::exponential_distribution<double> Gap(WritesPerSecond);
  for (double At = Gap(Rng); At < Length; At += Gap(Rng))
    Writes.push_back(At);
  Group G = makeGroup();
  GroupView View;
  Tally Out;
  auto At = [](double Seconds) {
    return Start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
  };
  std::array<double, 3> Lags{0, Lag, Lag * 1.2};
  std::uniform_real_distribution<double> Age(0, 3 * Lag);
  double NextProbe = 0;
  double Wait = std::chrono::duration<double>(Defaults.m_MaxReplicaWait).count();
  for (double Now = 3 * Lag + 1; Now < Length; Now += 0.003) {
    if (Now >= NextProbe) {
      for (size_t N = 0; N < 3; ++N)
        mergeView(View, G.m_Instances[N].m_Id,
                  makeSeen(3, N == 0, countWrites(Writes, Now - Lags[N]), At(Now)));
      NextProbe = Now + 0.05;
    }
    uint64_t Need = countWrites(Writes, Now - Age(Rng));
    ++Out.m_Reads;
    bool Possible = countWrites(Writes, Now + Wait - Lags[1]) >= Need;
    bool Has = countWrites(Writes, Now - Lags[1]) >= Need;
    Out.m_Oracle += Possible ? 1 : 0;
    Out.m_Has += Has ? 1 : 0;
    std::set<std::string> Tried;
    for (double Clock = Now;;) {
      auto Choice =
          chooseForRead(G, View, "dc-0", needPosition(Need), Tried, At(Clock), Rng, Defaults);
      cr_assert(!Choice.m_Instance.empty());
      if (Choice.m_Instance == "i0")
        break;
      size_t N = Choice.m_Instance == "i1" ? 1 : 2;
      double Waits = std::chrono::duration<double>(Choice.m_PositionWait).count();
      if (countWrites(Writes, Clock + Waits - Lags[N]) >= Need) {
        Out.m_Served += Possible ? 1 : 0;
        Out.m_HasServed += Has ? 1 : 0;
        break;
      }
      ++Out.m_Behind;
      Tried.insert(Choice.m_Instance);
      Clock += Waits + 0.001;
    }
  }
  return Out;
}

} // namespace

// Guards against reads at the primary that a replica could have served, and against estimates so
// optimistic that reads make useless round trips.
Test(route, readsGoToReplicasThatHaveThePosition) {
  uint64_t Seed = 20261204;
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  Tally All;
  for (double Lag : {0.05, 0.2, 0.7, 2.0})
    for (double Rate : {20.0, 200.0, 2000.0}) {
      Tally T = runReads(Lag, Rate, Seed);
      std::printf("lag %.2f s, %4.0f writes/s: %.2f%% of those that a replica has, %.2f%% of those "
                  "that it has soon, %.2f%% behind\n",
                  Lag, Rate, 100.0 * T.m_HasServed / T.m_Has, 100.0 * T.m_Served / T.m_Oracle,
                  100.0 * T.m_Behind / T.m_Reads);
      cr_assert(T.m_HasServed > 0.99 * T.m_Has);
      All.m_Reads += T.m_Reads;
      All.m_Oracle += T.m_Oracle;
      All.m_Served += T.m_Served;
      All.m_Behind += T.m_Behind;
    }
  std::printf("all: %.3f%% of the oracle, %.2f%% behind\n", 100.0 * All.m_Served / All.m_Oracle,
              100.0 * All.m_Behind / All.m_Reads);
  cr_assert(All.m_Served > 0.99 * All.m_Oracle);
  cr_assert(All.m_Behind < 0.10 * All.m_Reads);
}

// Guards against a change of what a late or crossed report may do to a view.
Test(route, viewsOnlyGoForward) {
  GroupView View = makeView();
  mergeView(View, "i1", makeSeen(4, false, 95, Start + Millis(1)));
  cr_assert_eq(View.m_Term, 4U);
  cr_assert(View.m_Primary.empty(), "the primary of the new term is not known");
  mergeView(View, "i0", makeSeen(3, true, 120, Start + Millis(2)));
  cr_assert(View.m_Primary.empty(), "a primary of an old term");
  mergeView(View, "i1", makeSeen(4, true, 96, Start + Millis(3)));
  cr_assert_eq(View.m_Primary, std::string("i1"));
  mergeView(View, "i1", makeSeen(3, false, 80, Start + Millis(4)));
  cr_assert(View.m_Instances["i1"].m_IsPrimary &&
            View.m_Instances["i1"].m_AppliedPosition.m_Index == 96);
  mergeView(View, "i1", makeSeen(4, false, 96, Start + Millis(5)));
  cr_assert(View.m_Primary.empty(), "restarted within the term");
}

// Guards against a load that falls on one of two equal replicas, and against a far one that is used
// while a near one is as good.
Test(route, nearFirstThenSpread) {
  Group G = makeGroup();
  GroupView View = makeView();
  Random Rng(1);
  std::map<std::string, uint32_t> Counts;
  for (int N = 0; N < 1000; ++N)
    ++Counts[chooseForRead(G, View, "dc-0", needPosition(80), {}, Start, Rng, Defaults).m_Instance];
  cr_assert(Counts["i1"] > 400 && Counts["i2"] > 400 && !Counts.contains("i0"));
  for (int N = 0; N < 100; ++N) {
    auto Choice = chooseForRead(G, View, "dc-2", needPosition(80), {}, Start, Rng, Defaults);
    cr_assert_eq(Choice.m_Instance, std::string("i2"));
    cr_assert(Choice.m_PositionWait == Duration{});
  }
}

// Guards against reads at instances that are leaving, have failed, were tried or are too old, and
// against reads without any instance while one could serve.
Test(route, fallsBackInOrder) {
  Group G = makeGroup();
  GroupView View = makeView();
  Random Rng(1);
  auto Choose = [&](const ReadRequirement &Need, const std::set<std::string> &Tried) {
    return chooseForRead(G, View, "dc-1", Need, Tried, Start, Rng, Defaults);
  };
  cr_assert_eq(Choose(needPosition(80), {"i1"}).m_Instance, std::string("i2"));
  cr_assert_eq(Choose(needPosition(80), {"i1", "i2"}).m_Instance, std::string("i0"));
  cr_assert_eq(Choose(needPosition(99), {}).m_Instance, std::string("i0"), "no replica has it");
  cr_assert(!Choose(needPosition(99), {}).m_RequiresPrimary, "the position is checked there");
  cr_assert(Choose({}, {}).m_RequiresPrimary, "neither a position nor an age");
  cr_assert_eq(static_cast<int>(Choose(needPosition(80), {"i0", "i1", "i2"}).m_RefusalReason),
               static_cast<int>(Reason::TooOld));
  View.m_Instances["i1"].m_DataAge = Millis(700);
  View.m_Instances["i2"].m_DataAge = Millis(300);
  ReadRequirement Aged{.m_Mode = ReadMode::MaxAge, .m_Position = {}, .m_MaxAge = Millis(500)};
  cr_assert_eq(Choose(Aged, {}).m_Instance, std::string("i2"));
  Aged.m_MaxAge = Millis(100);
  cr_assert_eq(Choose(Aged, {}).m_Instance, std::string("i0"));
  InstanceView Failed;
  Failed.m_LastFailedAt = Start;
  mergeView(View, "i1", Failed);
  cr_assert_eq(Choose(needPosition(80), {}).m_Instance, std::string("i2"));
  G.m_Instances[2].m_IsLeaving = true;
  cr_assert_eq(Choose(needPosition(80), {}).m_Instance, std::string("i0"));
  View.m_Primary.clear();
  G.m_Instances[2].m_IsLeaving = false;
  cr_assert_eq(Choose(needPosition(99), {"i0"}).m_Instance, std::string("i2"), "best that is left");
  cr_assert_eq(static_cast<int>(chooseForWrite(G, View, Start).m_RefusalReason),
               static_cast<int>(Reason::NoPrimary));
}

// Guards against a write that is repeated without its outcome being known, and against a caller
// that waits past its deadline.
Test(route, nextStepNeverRepeatsAnUnknownWrite) {
  RequestProgress Write{.m_IsWrite = true, .m_Deadline = Start + Millis(100)};
  RequestProgress Read{.m_IsWrite = false, .m_Deadline = Start + Millis(100)};
  for (uint32_t Code = 0; Code < static_cast<uint32_t>(Reason::Count); ++Code) {
    auto Why = static_cast<Reason>(Code);
    cr_assert(decideNextStep(Write, AnswerClass::Unknown, Why, Start) == NextStep::Resolve);
    cr_assert(decideNextStep(Write, AnswerClass::Done, Why, Start) == NextStep::Answer);
    cr_assert(decideNextStep(Write, AnswerClass::NotRun, Why, Start + Millis(100)) ==
              NextStep::Answer);
  }
  auto Step = [&](const RequestProgress &P, Reason Why) {
    return decideNextStep(P, AnswerClass::NotRun, Why, Start);
  };
  cr_assert(decideNextStep(Read, AnswerClass::Unknown, Reason::None, Start) ==
            NextStep::RetryElsewhere);
  cr_assert(Step(Read, Reason::ReplicaBehind) == NextStep::RetryElsewhere);
  cr_assert(Step(Write, Reason::HostUnavailable) == NextStep::RetryElsewhere);
  cr_assert(Step(Write, Reason::NotPrimary) == NextStep::WaitForPrimary);
  cr_assert(Step(Write, Reason::StatementFailed) == NextStep::Answer);
  Write.m_IsInTransaction = true;
  cr_assert(Step(Write, Reason::NotPrimary) == NextStep::Answer, "its transaction is gone");
}
