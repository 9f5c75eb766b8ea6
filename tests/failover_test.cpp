#include "failover_sim.h"
#include "property.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace quetzalpaddle;
using namespace quetzalpaddle::sim;

namespace {

constexpr uint64_t FirstSeed = 20261204;

void cutPrimary(Simulation &Sim, int Node) {
  // 0: cut from all nodes; 1: from the other instances only; 2: from all nodes but host 0.
  int CutKind = drawNumber(Sim, 0, 2);
  addTrace(Sim, "cut " + instanceName(Node) + ", kind " + std::to_string(CutKind));
  for (int OtherNode = 0; OtherNode < Sim.m_Options.m_InstanceCount; ++OtherNode)
    if (OtherNode != Node)
      cutLink(Sim, Node, OtherNode);
  for (int Host = CutKind == 2 ? 1 : 0; CutKind != 1 && Host < Sim.m_Options.m_HostCount; ++Host)
    cutLink(Sim, Node, FirstHostNode + Host);
}

void injectFault(Simulation &Sim) {
  int Node = findPrimary(Sim);
  if (Node < 0 || drawChance(Sim, 0.2))
    Node = drawNumber(Sim, 0, Sim.m_Options.m_InstanceCount - 1);
  Millis FaultDuration(drawNumber(Sim, 50, 1500));
  switch (drawNumber(Sim, 0, 3)) {
  case 0:
    addTrace(Sim, "froze " + instanceName(Node) + " for " + std::to_string(FaultDuration.count()) +
                      " ms");
    Sim.m_Instances[Node].m_FrozenUntil = Sim.m_Now + FaultDuration;
    break;
  case 1:
    killInstance(Sim, Node);
    runAfter(Sim, FaultDuration, [&Sim, Node] { restartInstance(Sim, Node); });
    break;
  case 2:
    cutPrimary(Sim, Node);
    runAfter(Sim, FaultDuration, [&Sim] { Sim.m_CutLinks.clear(); });
    break;
  default: {
    int Host = drawNumber(Sim, 0, Sim.m_Options.m_HostCount - 1);
    addTrace(Sim, "restarted host " + std::to_string(Host));
    FakeHost &HostState = Sim.m_Hosts[Host];
    HostState = {.m_Incarnation = HostState.m_Incarnation + 1, .m_View = {}, .m_Promotion = {}};
  }
  }
}

// Runs one schedule: 2.2 s with faults, then 3.8 s to recover. Returns the simulation for the
// checks.
std::unique_ptr<Simulation> runSchedule(Options Opts, uint64_t Seed) {
  auto Owner = makeSimulation(Opts, Seed);
  Simulation &Sim = *Owner;
  Sim.m_Options.m_HostCount = Opts.m_HostCount;
  Sim.m_Options.m_DropRate = 0.02 * drawNumber(Sim, 0, 5);
  Sim.m_Options.m_DuplicateRate = 0.05;
  Sim.m_Options.m_DelayRate = 0.02 * drawNumber(Sim, 0, 5);
  TimePoint StartedAt = Sim.m_Now;
  for (int Index = drawNumber(Sim, 1, 5); Index > 0; --Index)
    runAfter(Sim, Millis(drawNumber(Sim, 200, 2000)), [&Sim] { injectFault(Sim); });
  if (drawChance(Sim, 0.2))
    runAfter(Sim, Millis(drawNumber(Sim, 200, 2000)), [&Sim] {
      addTrace(Sim, "operator requests the promotion of i1 at h0");
      orderPromotion(Sim.m_Hosts[0].m_Promotion, "i1", Sim.m_Now);
    });
  Sim.m_HasMessageFaults = true;
  Sim.m_StepFaultChance = 0.2;
  runUntil(Sim, StartedAt + Millis(2200));
  Sim.m_HasMessageFaults = false;
  Sim.m_StepFaultChance = 0;
  Sim.m_CutLinks.clear();
  for (int Index = 0; Index < Opts.m_InstanceCount; ++Index) {
    Sim.m_Instances[Index].m_FrozenUntil = {};
    if (!Sim.m_Instances[Index].m_IsUp)
      restartInstance(Sim, Index);
  }
  addTrace(Sim, "faults end");
  runUntil(Sim, StartedAt + Millis(6000));
  TimePoint RecoveredAt = StartedAt + Millis(5500);
  bool HasProgress = std::ranges::any_of(Sim.m_WriteAcknowledgedAt, [&](const auto &Each) {
    return Sim.m_WriteBegunAt[Each.first] >= RecoveredAt;
  });
  bool HasOneTerm = std::ranges::all_of(Sim.m_Instances, [&](const FakeInstance &Instance) {
    return Instance.m_PromisedTerm == Sim.m_Instances[0].m_PromisedTerm;
  });
  auto PrimaryCount = std::ranges::count_if(Sim.m_Instances, &FakeInstance::m_HasPrimaryRole);
  if (Opts.m_Mutation == Mutation::None && (!HasProgress || !HasOneTerm || PrimaryCount != 1))
    addViolation(Sim, "no progress after the faults: acknowledged " + std::to_string(HasProgress) +
                          ", one term " + std::to_string(HasOneTerm) + ", primaries " +
                          std::to_string(PrimaryCount));
  return Owner;
}

struct Totals {
  uint64_t m_AcknowledgedCount = 0;
  uint64_t m_PromotionCount = 0;
  uint64_t m_ViolatingCount = 0;
};

Totals runSchedules(const Options &Opts, uint64_t Count, bool PrintTrace) {
  Totals Result;
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed) {
    auto Sim = runSchedule(Opts, Seed);
    Result.m_AcknowledgedCount += Sim->m_WriteAcknowledgedAt.size();
    Result.m_PromotionCount += Sim->m_PrimaryByTerm.size() - 1;
    if (Sim->m_Violations.empty())
      continue;
    if (PrintTrace && Result.m_ViolatingCount < 3) {
      std::printf("seed %llu:\n", static_cast<unsigned long long>(Seed));
      for (const std::string &Line : Sim->m_Trace)
        std::printf("  %s\n", Line.c_str());
    }
    ++Result.m_ViolatingCount;
  }
  std::printf("seeds from %llu, %llu schedules: %llu writes acknowledged, %llu promotions, %llu "
              "schedules with violations\n",
              static_cast<unsigned long long>(FirstSeed), static_cast<unsigned long long>(Count),
              static_cast<unsigned long long>(Result.m_AcknowledgedCount),
              static_cast<unsigned long long>(Result.m_PromotionCount),
              static_cast<unsigned long long>(Result.m_ViolatingCount));
  return Result;
}

void checkSchedules(const Options &Opts, uint64_t Count) {
  Totals Result = runSchedules(Opts, Count, true);
  cr_assert_eq(Result.m_ViolatingCount, 0U);
  cr_assert(Result.m_PromotionCount > Count / 2, "too few promotions for a meaningful check");
  cr_assert(Result.m_AcknowledgedCount > 10 * Count, "too few writes for a meaningful check");
}

} // namespace

// Guards against two primaries in a term, acknowledged writes that a later primary lacks, writes
// acknowledged by a replaced primary, and a group that does not recover.
Test(failover, threeInstancesThreeHosts) { checkSchedules({.m_InstanceCount = 3}, 1500); }
Test(failover, threeInstancesTwoHosts) {
  checkSchedules({.m_InstanceCount = 3, .m_HostCount = 2}, 1500);
}
Test(failover, fiveInstancesThreeHosts) { checkSchedules({.m_InstanceCount = 5}, 700); }

// Guards against a checker that detects nothing: a promotion without a majority, or of an instance
// with a shorter log, must lead to violations.
Test(failover, checkerFindsAPromotionWithoutMajority) {
  cr_assert(runSchedules({.m_Mutation = Mutation::NoMajority}, 50, false).m_ViolatingCount > 10);
}
Test(failover, checkerFindsAShorterLog) {
  cr_assert(runSchedules({.m_Mutation = Mutation::ShorterLog}, 100, false).m_ViolatingCount > 10);
}

// Guards against a promotion that is caused by a short pause of the primary.
Test(failover, noPromotionForAPauseOf300Ms) {
  for (uint64_t Seed = FirstSeed; Seed < FirstSeed + 500; ++Seed) {
    auto Owner = makeSimulation({}, Seed);
    Simulation &Sim = *Owner;
    TimePoint StartedAt = Sim.m_Now;
    runAfter(Sim, Millis(drawNumber(Sim, 300, 900)),
             [&Sim] { Sim.m_Instances[0].m_FrozenUntil = Sim.m_Now + Millis(300); });
    runUntil(Sim, StartedAt + Millis(2500));
    cr_assert_eq(majorityTerm(Sim), 1U, "seed %llu", static_cast<unsigned long long>(Seed));
    cr_assert(Sim.m_Violations.empty());
  }
}

// Guards against a gap in service of more than 1 s at the 99th percentile when the primary is
// killed, frozen or cut off.
Test(failover, gapStaysUnderOneSecond) {
  for (int FaultKind = 0; FaultKind < 3; ++FaultKind) {
    std::vector<double> Gaps;
    for (uint64_t Seed = FirstSeed; Seed < FirstSeed + 300; ++Seed) {
      auto Owner = makeSimulation({.m_WriteInterval = Millis(5)}, Seed);
      Simulation &Sim = *Owner;
      runUntil(Sim, Sim.m_Now + Millis(drawNumber(Sim, 600, 700)));
      TimePoint FaultAt = Sim.m_Now;
      if (FaultKind == 0)
        killInstance(Sim, 0);
      else if (FaultKind == 1)
        Sim.m_Instances[0].m_FrozenUntil = Sim.m_Now + Millis(10000);
      else
        cutPrimary(Sim, 0);
      runUntil(Sim, FaultAt + Millis(2500));
      TimePoint FirstAcknowledgedAt = FaultAt + Millis(2500);
      for (const auto &[WriteId, AcknowledgedAt] : Sim.m_WriteAcknowledgedAt)
        if (Sim.m_WriteBegunAt[WriteId] > FaultAt + Millis(5))
          FirstAcknowledgedAt = std::min(FirstAcknowledgedAt, AcknowledgedAt);
      Gaps.push_back(std::chrono::duration<double>(FirstAcknowledgedAt - FaultAt).count());
      cr_assert(Sim.m_Violations.empty());
    }
    std::ranges::sort(Gaps);
    std::printf("kind %d: gap median %.3f s, p99 %.3f s, max %.3f s\n", FaultKind, Gaps[150],
                Gaps[297], Gaps[299]);
    cr_assert(Gaps[297] < 1.0);
  }
}

// Guards against a candidate that is not chosen by its log first, and against a requested instance
// or a leaving mark that is ignored between equal logs.
Test(failover, candidateIsChosenByLogThenOrderThenStaying) {
  Random Rng(1);
  FailoverSettings Settings;
  TimePoint Now{std::chrono::hours(1)};
  auto Promote = [&](uint64_t FirstIndex, uint64_t SecondIndex, bool IsLeaving,
                     const std::string &Target, std::string &LastReason) {
    auto Owner = makeSimulation({}, 1);
    Group &Members = Owner->m_Group;
    Members.m_Instances[1].m_IsLeaving = IsLeaving;
    Promotion State;
    orderPromotion(State, Target, Now);
    tickPromotion(State, Members, {}, 0, Now, Rng, Settings);
    handleFenceAnswer(State, Members, "i1", true, State.m_Term, {1, FirstIndex}, Now, Rng,
                      Settings);
    handleFenceAnswer(State, Members, "i2", true, State.m_Term, {1, SecondIndex}, Now, Rng,
                      Settings);
    handleFenceAnswer(State, Members, "i0", true, State.m_Term, {1, 0}, Now, Rng, Settings);
    LastReason = State.m_LastReason;
    return State.m_Candidate;
  };
  std::string LastReason;
  cr_assert_eq(Promote(7, 8, false, "i1", LastReason), std::string("i2"));
  cr_assert(LastReason.find("i1 has a shorter log") != std::string::npos, "%s", LastReason.c_str());
  cr_assert_eq(Promote(8, 8, false, "i2", LastReason), std::string("i2"));
  cr_assert_eq(Promote(8, 8, true, "", LastReason), std::string("i2"), "i1 is leaving");
  cr_assert_eq(Promote(9, 8, true, "", LastReason), std::string("i1"),
               "i1 is leaving, but the longer log takes precedence");
}

// Guards against answers of an earlier term or step, or from outside the group, that change a
// promotion: they would count a fence that does not hold in the current term.
Test(failover, staleAnswersChangeNothing) {
  cr_assert(checkProperty("failover_stale", FirstSeed, 2000, [](uint64_t Seed) {
    auto Owner = makeSimulation({.m_InstanceCount = 5}, Seed);
    const Group &Members = Owner->m_Group;
    Random Rng(Seed);
    FailoverSettings Settings;
    Promotion State;
    State.m_Term = 10 + Rng() % 5;
    orderPromotion(State, "", Owner->m_Now);
    tickPromotion(State, Members, {}, 0, Owner->m_Now, Rng, Settings);
    uint64_t GrantCount = Rng() % 4;
    for (uint64_t Node = 0; Node < GrantCount; ++Node)
      handleFenceAnswer(State, Members, instanceName(static_cast<int>(Node)), true, State.m_Term,
                        {1, 5}, Owner->m_Now, Rng, Settings);
    if (GrantCount == 3 && Rng() % 2)
      handlePromoteAnswer(State, Members, State.m_Candidate, true, State.m_Term, Owner->m_Now, Rng,
                          Settings);
    Promotion Initial = State;
    auto Actions = handleFenceAnswer(State, Members, "i4", Rng() % 2, State.m_Term - 1 - Rng() % 5,
                                     {9, 9}, Owner->m_Now, Rng, Settings);
    RC_ASSERT(Actions.empty());
    RC_ASSERT(handleFenceAnswer(State, Members, "i9", true, State.m_Term, {9, 9}, Owner->m_Now, Rng,
                                Settings)
                  .empty());
    for (uint64_t Node = 0; Node < GrantCount; ++Node) // repeated
      RC_ASSERT(handleFenceAnswer(State, Members, instanceName(static_cast<int>(Node)), true,
                                  State.m_Term, {2, 9}, Owner->m_Now, Rng, Settings)
                    .empty());
    RC_ASSERT(handlePromoteAnswer(State, Members, "i4", true, State.m_Term - 1, Owner->m_Now, Rng,
                                  Settings)
                  .empty());
    RC_ASSERT(handlePromoteAnswer(State, Members, "i4", false, State.m_Term - 1, Owner->m_Now, Rng,
                                  Settings)
                  .empty());
    StatusAnswer StaleAnswer{
        .m_Term = 1, .m_IsPrimary = true, .m_LastPosition = {}, .m_ContactAge = {}};
    RC_ASSERT(handleStatusAnswer(State, Members, {}, "i0", StaleAnswer, Owner->m_Now, Rng, Settings)
                  .empty());
    RC_ASSERT(State.m_Step == Initial.m_Step && State.m_Term == Initial.m_Term &&
              State.m_Candidate == Initial.m_Candidate &&
              State.m_FencedPositions == Initial.m_FencedPositions &&
              State.m_RefusingInstances == Initial.m_RefusingInstances);
  }));
}
