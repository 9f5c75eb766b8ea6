#include "failover_sim.h"
#include "property.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace quetzalpaddle;
using namespace quetzalpaddle::sim;

namespace {

constexpr uint64_t FirstSeed = 20261204;

void cutPrimary(Simulation &S, int Node) {
  // From everything; from the other instances only; or with one host on its side.
  int Style = drawNumber(S, 0, 2);
  addTrace(S, "cut " + nameOf(Node) + ", style " + std::to_string(Style));
  for (int N = 0; N < S.m_Options.m_Instances; ++N)
    if (N != Node)
      cutLink(S, Node, N);
  for (int Host = Style == 2 ? 1 : 0; Style != 1 && Host < S.m_Options.m_Hosts; ++Host)
    cutLink(S, Node, HostBase + Host);
}

void injectFault(Simulation &S) {
  int Node = findPrimary(S);
  if (Node < 0 || drawChance(S, 0.2))
    Node = drawNumber(S, 0, S.m_Options.m_Instances - 1);
  Millis Length(drawNumber(S, 50, 1500));
  switch (drawNumber(S, 0, 3)) {
  case 0:
    addTrace(S, "froze " + nameOf(Node) + " for " + std::to_string(Length.count()) + " ms");
    S.m_Instances[Node].m_FrozenUntil = S.m_Now + Length;
    break;
  case 1:
    killInstance(S, Node);
    runAfter(S, Length, [&S, Node] { restartInstance(S, Node); });
    break;
  case 2:
    cutPrimary(S, Node);
    runAfter(S, Length, [&S] { S.m_Cut.clear(); });
    break;
  default: {
    int Host = drawNumber(S, 0, S.m_Options.m_Hosts - 1);
    addTrace(S, "restarted host " + std::to_string(Host));
    FakeHost &H = S.m_Hosts[Host];
    H = {.m_Incarnation = H.m_Incarnation + 1, .m_View = {}, .m_Promotion = {}};
  }
  }
}

// Runs one schedule: two seconds with faults, then time to recover. Returns it for the checks.
std::unique_ptr<Simulation> runSchedule(Options O, uint64_t Seed) {
  auto Made = makeSimulation(O, Seed);
  Simulation &S = *Made;
  S.m_Options.m_Hosts = O.m_Hosts;
  S.m_Options.m_Drop = 0.02 * drawNumber(S, 0, 5);
  S.m_Options.m_Duplicate = 0.05;
  S.m_Options.m_Slow = 0.02 * drawNumber(S, 0, 5);
  TimePoint Start = S.m_Now;
  for (int N = drawNumber(S, 1, 5); N > 0; --N)
    runAfter(S, Millis(drawNumber(S, 200, 2000)), [&S] { injectFault(S); });
  if (drawChance(S, 0.2))
    runAfter(S, Millis(drawNumber(S, 200, 2000)), [&S] {
      addTrace(S, "operator orders i1 through h0");
      orderPromotion(S.m_Hosts[0].m_Promotion, "i1", S.m_Now);
    });
  S.m_Faulty = true;
  S.m_StepFaults = 0.2;
  runUntil(S, Start + Millis(2200));
  S.m_Faulty = false;
  S.m_StepFaults = 0;
  S.m_Cut.clear();
  for (int N = 0; N < O.m_Instances; ++N) {
    S.m_Instances[N].m_FrozenUntil = {};
    if (!S.m_Instances[N].m_Up)
      restartInstance(S, N);
  }
  addTrace(S, "faults end");
  runUntil(S, Start + Millis(6000));
  TimePoint Recovered = Start + Millis(5500);
  bool Progress = std::ranges::any_of(
      S.m_Acknowledged, [&](const auto &A) { return S.m_Begun[A.first] >= Recovered; });
  bool Agreed = std::ranges::all_of(S.m_Instances, [&](const FakeInstance &I) {
    return I.m_Promised == S.m_Instances[0].m_Promised;
  });
  auto Primaries = std::ranges::count_if(S.m_Instances, &FakeInstance::m_Primary);
  if (O.m_Guard == Guard::On && (!Progress || !Agreed || Primaries != 1))
    addViolation(S, "no progress after the faults: acknowledged " + std::to_string(Progress) +
                        ", one term " + std::to_string(Agreed) + ", primaries " +
                        std::to_string(Primaries));
  return Made;
}

struct Totals {
  uint64_t m_Acknowledged = 0;
  uint64_t m_Promotions = 0;
  uint64_t m_Violating = 0;
};

Totals runSchedules(const Options &O, uint64_t Count, bool Print) {
  Totals Out;
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed) {
    auto S = runSchedule(O, Seed);
    Out.m_Acknowledged += S->m_Acknowledged.size();
    Out.m_Promotions += S->m_PrimaryOf.size() - 1;
    if (S->m_Violations.empty())
      continue;
    if (Print && Out.m_Violating < 3) {
      std::printf("seed %llu:\n", static_cast<unsigned long long>(Seed));
      for (const std::string &Line : S->m_Trace)
        std::printf("  %s\n", Line.c_str());
    }
    ++Out.m_Violating;
  }
  std::printf("seeds from %llu, %llu schedules: %llu acknowledged, %llu promotions, %llu violate\n",
              static_cast<unsigned long long>(FirstSeed), static_cast<unsigned long long>(Count),
              static_cast<unsigned long long>(Out.m_Acknowledged),
              static_cast<unsigned long long>(Out.m_Promotions),
              static_cast<unsigned long long>(Out.m_Violating));
  return Out;
}

void checkSchedules(const Options &O, uint64_t Count) {
  Totals Out = runSchedules(O, Count, true);
  cr_assert_eq(Out.m_Violating, 0U);
  cr_assert(Out.m_Promotions > Count / 2, "too few promotions to say anything");
  cr_assert(Out.m_Acknowledged > 10 * Count, "too few writes to say anything");
}

} // namespace

// Guards against two primaries in a term, acknowledged writes that a later primary lacks, writes
// acknowledged by a replaced primary, and a group that does not recover.
Test(failover, threeInstancesThreeCandidates) { checkSchedules({.m_Instances = 3}, 1500); }
Test(failover, threeInstancesTwoCandidates) {
  checkSchedules({.m_Instances = 3, .m_Hosts = 2}, 1500);
}
Test(failover, fiveInstancesThreeCandidates) { checkSchedules({.m_Instances = 5}, 700); }

// Guards against a checker that finds nothing: without the majority, or with the wrong log, it must
// report violations.
Test(failover, checkerFindsAPromotionWithoutMajority) {
  cr_assert(runSchedules({.m_Guard = Guard::NoMajority}, 50, false).m_Violating > 10);
}
Test(failover, checkerFindsAShorterLog) {
  cr_assert(runSchedules({.m_Guard = Guard::ShorterLog}, 100, false).m_Violating > 10);
}

// Guards against a promotion because of a short pause of the primary.
Test(failover, noPromotionForAPauseOf300Ms) {
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + 500; ++Seed) {
    auto Made = makeSimulation({}, Seed);
    Simulation &S = *Made;
    TimePoint Start = S.m_Now;
    runAfter(S, Millis(drawNumber(S, 300, 900)),
             [&S] { S.m_Instances[0].m_FrozenUntil = S.m_Now + Millis(300); });
    runUntil(S, Start + Millis(2500));
    cr_assert_eq(majorityPromised(S), 1U, "seed %llu", static_cast<unsigned long long>(Seed));
    cr_assert(S.m_Violations.empty());
  }
}

// Guards against a gap in service over the target when the primary is killed, frozen or cut off.
Test(failover, gapStaysUnderOneSecond) {
  for (int Kind = 0; Kind < 3; ++Kind) {
    std::vector<double> Gaps;
    for (uint64_t Seed = FirstSeed; Seed < FirstSeed + 300; ++Seed) {
      auto Made = makeSimulation({.m_WriteEvery = Millis(5)}, Seed);
      Simulation &S = *Made;
      runUntil(S, S.m_Now + Millis(drawNumber(S, 600, 700)));
      TimePoint Fault = S.m_Now;
      if (Kind == 0)
        killInstance(S, 0);
      else if (Kind == 1)
        S.m_Instances[0].m_FrozenUntil = S.m_Now + Millis(10000);
      else
        cutPrimary(S, 0);
      runUntil(S, Fault + Millis(2500));
      TimePoint First = Fault + Millis(2500);
      for (const auto &[Write, At] : S.m_Acknowledged)
        if (S.m_Begun[Write] > Fault + Millis(5))
          First = std::min(First, At);
      Gaps.push_back(std::chrono::duration<double>(First - Fault).count());
      cr_assert(S.m_Violations.empty());
    }
    std::ranges::sort(Gaps);
    std::printf("kind %d: gap median %.3f s, p99 %.3f s, most %.3f s\n", Kind, Gaps[150], Gaps[297],
                Gaps[299]);
    cr_assert(Gaps[297] < 1.0);
  }
}

// Guards against an instance that is promoted for another reason than its log, and against an order
// or a leaving mark that is forgotten between equal logs.
Test(failover, longestLogFirstThenWantedAndStaying) {
  Random Rng(1);
  FailoverSettings Settings;
  TimePoint Now{std::chrono::hours(1)};
  auto Promote = [&](uint64_t First, uint64_t Second, bool Leaving, const std::string &Wanted,
                     std::string &Why) {
    auto Made = makeSimulation({}, 1);
    Group &G = Made->m_Group;
    G.m_Instances[1].m_IsLeaving = Leaving;
    Promotion P;
    orderPromotion(P, Wanted, Now);
    tickPromotion(P, G, {}, 0, Now, Rng, Settings);
    handleFenceAnswer(P, G, "i1", true, P.m_Term, {1, First}, Now, Rng, Settings);
    handleFenceAnswer(P, G, "i2", true, P.m_Term, {1, Second}, Now, Rng, Settings);
    handleFenceAnswer(P, G, "i0", true, P.m_Term, {1, 0}, Now, Rng, Settings);
    Why = P.m_LastReason;
    return P.m_Candidate;
  };
  std::string Why;
  cr_assert_eq(Promote(7, 8, false, "i1", Why), std::string("i2"));
  cr_assert(Why.find("i1 has a shorter log") != std::string::npos, "%s", Why.c_str());
  cr_assert_eq(Promote(8, 8, false, "i2", Why), std::string("i2"));
  cr_assert_eq(Promote(8, 8, true, "", Why), std::string("i2"), "i1 is leaving");
  cr_assert_eq(Promote(9, 8, true, "", Why), std::string("i1"),
               "leaving, but the log counts first");
}

// Guards against answers of an earlier term or step, or from outside the group, that change a
// promotion: they would count a fence that does not hold in the present term.
Test(failover, staleAnswersChangeNothing) {
  cr_assert(checkProperty("failover_stale", FirstSeed, 2000, [](uint64_t Seed) {
    auto Made = makeSimulation({.m_Instances = 5}, Seed);
    const Group &G = Made->m_Group;
    Random Rng(Seed);
    FailoverSettings Settings;
    Promotion P;
    P.m_Term = 10 + Rng() % 5;
    orderPromotion(P, "", Made->m_Now);
    tickPromotion(P, G, {}, 0, Made->m_Now, Rng, Settings);
    uint64_t Granted = Rng() % 4;
    for (uint64_t N = 0; N < Granted; ++N)
      handleFenceAnswer(P, G, nameOf(static_cast<int>(N)), true, P.m_Term, {1, 5}, Made->m_Now, Rng,
                        Settings);
    if (Granted == 3 && Rng() % 2)
      handlePromoteAnswer(P, G, P.m_Candidate, true, P.m_Term, Made->m_Now, Rng, Settings);
    Promotion Before = P;
    auto Fenced = handleFenceAnswer(P, G, "i4", Rng() % 2, P.m_Term - 1 - Rng() % 5, {9, 9},
                                    Made->m_Now, Rng, Settings);
    RC_ASSERT(Fenced.empty());
    RC_ASSERT(
        handleFenceAnswer(P, G, "i9", true, P.m_Term, {9, 9}, Made->m_Now, Rng, Settings).empty());
    for (uint64_t N = 0; N < Granted; ++N) // repeated
      RC_ASSERT(handleFenceAnswer(P, G, nameOf(static_cast<int>(N)), true, P.m_Term, {2, 9},
                                  Made->m_Now, Rng, Settings)
                    .empty());
    RC_ASSERT(
        handlePromoteAnswer(P, G, "i4", true, P.m_Term - 1, Made->m_Now, Rng, Settings).empty());
    RC_ASSERT(
        handlePromoteAnswer(P, G, "i4", false, P.m_Term - 1, Made->m_Now, Rng, Settings).empty());
    StatusAnswer Old{.m_Term = 1, .m_IsPrimary = true, .m_LastPosition = {}, .m_ContactAge = {}};
    RC_ASSERT(handleStatusAnswer(P, G, {}, "i0", Old, Made->m_Now, Rng, Settings).empty());
    RC_ASSERT(P.m_Step == Before.m_Step && P.m_Term == Before.m_Term &&
              P.m_Candidate == Before.m_Candidate &&
              P.m_FencedPositions == Before.m_FencedPositions &&
              P.m_RefusingInstances == Before.m_RefusingInstances);
  }));
}
