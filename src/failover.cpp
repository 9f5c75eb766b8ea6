// Failure detection and promotion.
//
// A proposer is a host that fences a new term at a majority of the group's instances, promotes the
// candidate, which is the fenced instance with the highest log end, and makes the other instances
// follow it. A write is acknowledged only after a majority holds it, and two majorities have an
// instance in common; therefore the candidate holds every acknowledged write. An instance grants a
// term to one proposer only, so that a term has at most one primary. Neither property depends on
// time: suspicion, ranks and back-off only determine when an attempt starts.
// Trade-off: two proposers can make each other's attempts fail. Ranks and jitter make this rare,
// and no election of a single proposer, with an additional round of messages, is needed.
//
// A term is never used for two attempts. If the answer to Promote is lost, the instance may be the
// primary of that term, and another one can only be promoted in a higher term.
#include "quetzalpaddle.h"

#include <algorithm>
#include <tuple>

namespace quetzalpaddle {

namespace {

// An ordered promotion is abandoned after this many attempts, so that it does not take effect
// unexpectedly late.
constexpr uint32_t MaxOrderedAttempts = 5;

using Actions = std::vector<PromotionAction>;

size_t majoritySize(const Group &TargetGroup) { return TargetGroup.m_Instances.size() / 2 + 1; }

const Instance *findInstance(const Group &TargetGroup, const std::string &Id) {
  auto At = std::ranges::find(TargetGroup.m_Instances, Id, &Instance::m_Id);
  return At == TargetGroup.m_Instances.end() ? nullptr : &*At;
}

Duration drawRetryDelay(uint32_t FailureCount, const FailoverSettings &Settings, Random &Rng) {
  Duration MaxJitter = std::min<Duration>(
      Settings.m_MaxRetryJitter, Settings.m_BaseRetryDelay * (1U << std::min(FailureCount, 6U)));
  return Settings.m_BaseRetryDelay +
         Duration(std::uniform_int_distribution<Duration::rep>(0, MaxJitter.count())(Rng));
}

// Returns the delay between the suspicion and the start of a proposer's attempt.
Duration drawStartDelay(uint32_t Rank, const FailoverSettings &Settings, Random &Rng) {
  if (Settings.m_MaxRandomDelay <= Millis::zero())
    return Rank * Duration(Settings.m_RankDelay);
  Duration MaxDelay = Settings.m_MaxRandomDelay;
  return Duration(std::uniform_int_distribution<Duration::rep>(0, MaxDelay.count())(Rng));
}

void enterStep(Promotion &State, PromotionStep Step, TimePoint Now) {
  State.m_Step = Step;
  State.m_StepSince = Now;
  State.m_LastSentAt = TimePoint{};
}

void resetToIdle(Promotion &State, TimePoint Now) {
  enterStep(State, PromotionStep::Idle, Now);
  State.m_Statuses.clear();
  State.m_FencedPositions.clear();
  State.m_RefusingInstances.clear();
  State.m_ExcludedPrimary.clear();
}

// Ends the attempt. A new one starts after a back-off if the group still has no primary.
void abandonAttempt(Promotion &State, std::string AbandonReason, TimePoint Now, Random &Rng,
                    const FailoverSettings &Settings) {
  resetToIdle(State, Now);
  State.m_Step = PromotionStep::Waiting;
  ++State.m_FailureCount;
  State.m_NextTryAt = Now + drawRetryDelay(State.m_FailureCount, Settings, Rng);
  State.m_LastReason = std::move(AbandonReason);
  if (State.m_IsOrdered && State.m_FailureCount >= MaxOrderedAttempts) {
    State.m_IsOrdered = false;
    State.m_RequestedInstance.clear();
    State.m_LastReason += "; operator's order abandoned";
  }
}

// Returns whether the actions of the step are to be sent now, for the first time or as a retry.
bool isSendDue(Promotion &State, TimePoint Now, Duration Interval) {
  if (State.m_LastSentAt != TimePoint{} && Now - State.m_LastSentAt < Interval)
    return false;
  State.m_LastSentAt = Now;
  return true;
}

Actions queryStatuses(const Group &TargetGroup) {
  Actions NewActions;
  for (const Instance &I : TargetGroup.m_Instances)
    NewActions.emplace_back(QueryStatus{I.m_Id});
  return NewActions;
}

//-----------------------------------------------------------------------------
// [SECTION] Suspicion
//-----------------------------------------------------------------------------

// Returns the time since when the group appears to have no working primary; Now if it has one.
TimePoint findSuspicionStart(const Promotion &State, const Group &TargetGroup,
                             const GroupView &View, TimePoint Now,
                             const FailoverSettings &Settings) {
  TimePoint SuspectSince = Now;
  if (!findInstance(TargetGroup, View.m_Primary))
    return State.m_StepSince;
  for (const Instance &I : TargetGroup.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (Known == View.m_Instances.end()) {
      if (I.m_Id == View.m_Primary)
        SuspectSince = State.m_StepSince;
      continue;
    }
    const InstanceView &Observed = Known->second;
    if (I.m_Id == View.m_Primary)
      SuspectSince = std::min(SuspectSince, Observed.m_LastSeenAt);
    if (Now - Observed.m_LastSeenAt < Settings.m_SuspectTimeout)
      SuspectSince = std::min(SuspectSince, Observed.m_LastSeenAt - Observed.m_ContactAge);
  }
  // Observations before the last change of step concern the previous primary.
  return std::max(SuspectSince, State.m_StepSince);
}

enum class GroupAssessment { Undecided, Healthy, Promote };

// Evaluates the answers to the status queries (docs/design.md, 4.6). For Promote, sets
// m_LastReason.
GroupAssessment evaluateStatuses(Promotion &State, const Group &TargetGroup, const GroupView &View,
                                 TimePoint Now, const FailoverSettings &Settings) {
  auto IsFresh = [&](const StatusAnswer &S) {
    return Now - S.m_ReceivedAt <= Settings.m_ProbeTimeout + 2 * Settings.m_ProbeInterval;
  };
  uint64_t HighestTerm = View.m_Term;
  size_t RespondingCount = 0;
  size_t WithoutContactCount = 0;
  for (const Instance &I : TargetGroup.m_Instances) {
    auto Found = State.m_Statuses.find(I.m_Id);
    if (Found == State.m_Statuses.end())
      continue;
    HighestTerm = std::max(HighestTerm, Found->second.m_Term);
    if (!IsFresh(Found->second))
      continue;
    ++RespondingCount;
    if (Found->second.m_ContactAge >= Settings.m_SuspectTimeout)
      ++WithoutContactCount;
  }
  auto ClaimedPrimary = std::ranges::find_if(State.m_Statuses, [&](const auto &S) {
    return S.second.m_IsPrimary && S.second.m_Term == HighestTerm &&
           findInstance(TargetGroup, S.first) && IsFresh(S.second);
  });
  if (ClaimedPrimary != State.m_Statuses.end()) {
    // A primary without contact to a majority cannot acknowledge writes, even if it answers. It is
    // replaced if the other instances form a majority without it.
    const StatusAnswer &S = ClaimedPrimary->second;
    if (S.m_ContactAge < Settings.m_SuspectTimeout / 2)
      return GroupAssessment::Healthy;
    if (S.m_ContactAge < Settings.m_SuspectTimeout ||
        WithoutContactCount - 1 < majoritySize(TargetGroup))
      return GroupAssessment::Undecided;
    State.m_ExcludedPrimary = ClaimedPrimary->first;
    State.m_LastReason = "primary has no majority";
    return GroupAssessment::Promote;
  }
  if (RespondingCount < majoritySize(TargetGroup) ||
      Now - State.m_StepSince < Settings.m_ProbeTimeout)
    return GroupAssessment::Undecided;
  bool IsPrimaryKnown = findInstance(TargetGroup, View.m_Primary) && HighestTerm == View.m_Term;
  auto KnownPrimary = State.m_Statuses.find(View.m_Primary);
  if (IsPrimaryKnown && KnownPrimary != State.m_Statuses.end() && IsFresh(KnownPrimary->second) &&
      KnownPrimary->second.m_Term == HighestTerm) {
    State.m_LastReason = "primary has lost its role";
    return GroupAssessment::Promote;
  }
  if (WithoutContactCount == RespondingCount) {
    State.m_LastReason = "no replica hears from the primary";
    return GroupAssessment::Promote;
  }
  TimePoint LastReachedAt = State.m_StepSince;
  if (IsPrimaryKnown && View.m_Instances.contains(View.m_Primary))
    LastReachedAt = View.m_Instances.at(View.m_Primary).m_LastSeenAt;
  if (Now - LastReachedAt >= Settings.m_UnreachableTimeout) {
    State.m_LastReason =
        IsPrimaryKnown ? "no host reaches the primary" : "no primary in the highest term";
    return GroupAssessment::Promote;
  }
  return GroupAssessment::Undecided;
}

//-----------------------------------------------------------------------------
// [SECTION] Steps of a promotion
//-----------------------------------------------------------------------------

// Sends the term to the instances that have neither granted nor refused it.
Actions sendFences(const Promotion &State, const Group &TargetGroup,
                   const std::string &ExcludedInstance) {
  Actions NewActions;
  for (const Instance &I : TargetGroup.m_Instances)
    if (I.m_Id != ExcludedInstance && !State.m_FencedPositions.contains(I.m_Id) &&
        !State.m_RefusingInstances.contains(I.m_Id))
      NewActions.emplace_back(SendFence{I.m_Id, State.m_Term});
  return NewActions;
}

// Excludes a primary that is to be replaced, but still answers, from the first fence if the others
// form a majority: its log includes unacknowledged writes, so that it would always be chosen again.
void chooseExcludedPrimary(Promotion &State, const Group &TargetGroup, const GroupView &View) {
  if (State.m_IsOrdered)
    State.m_ExcludedPrimary =
        State.m_RequestedInstance == View.m_Primary ? std::string() : View.m_Primary;
  if (!findInstance(TargetGroup, State.m_ExcludedPrimary) ||
      TargetGroup.m_Instances.size() - 1 < majoritySize(TargetGroup))
    State.m_ExcludedPrimary.clear();
}

Actions startFencing(Promotion &State, const Group &TargetGroup, const GroupView &View,
                     TimePoint Now) {
  uint64_t MaxKnownTerm = std::max(State.m_Term, View.m_Term);
  for (const auto &[Id, Observed] : View.m_Instances)
    MaxKnownTerm = std::max(MaxKnownTerm, Observed.m_Term);
  for (const auto &[Id, S] : State.m_Statuses)
    MaxKnownTerm = std::max(MaxKnownTerm, S.m_Term);
  State.m_Term = MaxKnownTerm + 1;
  State.m_FencedPositions.clear();
  State.m_RefusingInstances.clear();
  State.m_Candidate.clear();
  enterStep(State, PromotionStep::Fencing, Now);
  State.m_LastSentAt = Now;
  chooseExcludedPrimary(State, TargetGroup, View);
  return sendFences(State, TargetGroup, State.m_ExcludedPrimary);
}

// Chooses the instance with the highest log end. The other criteria only break ties.
const Instance *chooseCandidate(const Promotion &State, const Group &TargetGroup) {
  const Instance *Best = nullptr;
  auto Rank = [&](const Instance &I) {
    return std::tuple(State.m_FencedPositions.at(I.m_Id), !I.m_IsLeaving,
                      I.m_Id == State.m_RequestedInstance);
  };
  for (const Instance &I : TargetGroup.m_Instances)
    if (State.m_FencedPositions.contains(I.m_Id) && (!Best || Rank(I) > Rank(*Best)))
      Best = &I;
  return Best;
}

// Promotes the candidate as soon as a majority has granted the term.
Actions promoteIfMajority(Promotion &State, const Group &TargetGroup, TimePoint Now,
                          const FailoverSettings &Settings) {
  if (State.m_FencedPositions.size() < majoritySize(TargetGroup))
    return {};
  const Instance *Best = chooseCandidate(State, TargetGroup);
  if (!Best)
    return {};
  // Waits a short time for the requested instance, or for one that is not leaving, to answer.
  bool AllAnswered = State.m_FencedPositions.size() + State.m_RefusingInstances.size() >=
                     TargetGroup.m_Instances.size();
  bool IsBetterCandidatePending =
      Best->m_IsLeaving || (findInstance(TargetGroup, State.m_RequestedInstance) &&
                            !State.m_FencedPositions.contains(State.m_RequestedInstance));
  if (IsBetterCandidatePending && !AllAnswered && Now - State.m_StepSince < Settings.m_ProbeTimeout)
    return {};
  State.m_Candidate = Best->m_Id;
  if (!State.m_RequestedInstance.empty() && State.m_Candidate != State.m_RequestedInstance)
    State.m_LastReason += "; " + State.m_RequestedInstance +
                          (State.m_FencedPositions.contains(State.m_RequestedInstance)
                               ? " has a shorter log"
                               : " has not granted the term") +
                          ", " + State.m_Candidate + " is promoted instead";
  enterStep(State, PromotionStep::Promoting, Now);
  State.m_LastSentAt = Now;
  return {SendPromote{State.m_Candidate, State.m_Term}};
}

Actions sendFollows(const Promotion &State, const Group &TargetGroup) {
  Actions NewActions;
  for (const Instance &I : TargetGroup.m_Instances)
    if (I.m_Id != State.m_Candidate)
      NewActions.emplace_back(SendFollow{I.m_Id, State.m_Candidate, State.m_Term});
  return NewActions;
}

// Sends Follow to instances that missed the last promotion, such as the old primary after a
// partition.
Actions repairFollowers(Promotion &State, const Group &TargetGroup, const GroupView &View,
                        TimePoint Now, const FailoverSettings &Settings) {
  auto Primary = View.m_Instances.find(View.m_Primary);
  if (!findInstance(TargetGroup, View.m_Primary) || Primary == View.m_Instances.end() ||
      Now - Primary->second.m_LastSeenAt >= Settings.m_SuspectTimeout)
    return {};
  Actions NewActions;
  for (const Instance &I : TargetGroup.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (I.m_Id == View.m_Primary || Known == View.m_Instances.end())
      continue;
    const InstanceView &Observed = Known->second;
    bool IsReachable = Now - Observed.m_LastSeenAt < Settings.m_SuspectTimeout;
    bool IsNotFollowing = Observed.m_Term < View.m_Term || Observed.m_IsPrimary ||
                          Observed.m_ContactAge >= Settings.m_SuspectTimeout;
    if (IsReachable && IsNotFollowing)
      NewActions.emplace_back(SendFollow{I.m_Id, View.m_Primary, View.m_Term});
  }
  if (NewActions.empty() || !isSendDue(State, Now, 4 * Settings.m_ProbeInterval))
    return {};
  return NewActions;
}

Actions applyAssessment(Promotion &State, const Group &TargetGroup, const GroupView &View,
                        TimePoint Now, const FailoverSettings &Settings) {
  GroupAssessment Result = evaluateStatuses(State, TargetGroup, View, Now, Settings);
  if (Result == GroupAssessment::Promote)
    return startFencing(State, TargetGroup, View, Now);
  if (Result == GroupAssessment::Healthy) {
    resetToIdle(State, Now);
    State.m_FailureCount = 0;
  }
  return {};
}

// Adopts a higher term of another proposer and resets the step, so that the other promotion has the
// suspicion timeout to finish.
bool adoptHigherTerm(Promotion &State, uint64_t Term, const std::string &Primary, TimePoint Now) {
  if (Term <= State.m_Term)
    return false;
  State.m_Term = Term;
  resetToIdle(State, Now);
  if (!State.m_IsOrdered) // an ordered promotion keeps its reason
    State.m_LastReason =
        Primary.empty() ? "another proposer raised the term" : "another primary was promoted";
  if (!Primary.empty())
    State.m_FailureCount = 0;
  return true;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

Actions tickPromotion(Promotion &State, const Group &TargetGroup, const GroupView &View,
                      uint32_t Rank, TimePoint Now, Random &Rng, const FailoverSettings &Settings) {
  if (TargetGroup.m_Instances.empty())
    return {};
  if (State.m_StepSince == TimePoint{})
    State.m_StepSince = Now;
  if (adoptHigherTerm(State, View.m_Term, View.m_Primary, Now) && !State.m_IsOrdered)
    return {};
  if (State.m_IsOrdered && State.m_Step <= PromotionStep::Checking && Now >= State.m_NextTryAt)
    return startFencing(State, TargetGroup, View, Now);

  switch (State.m_Step) {
  case PromotionStep::Idle: {
    TimePoint SuspectSince = findSuspicionStart(State, TargetGroup, View, Now, Settings);
    // Queries the statuses during the last part of the suspicion timeout, because a frozen primary
    // uses up the whole probe timeout.
    if (Now - SuspectSince < Settings.m_SuspectTimeout - Settings.m_ProbeTimeout)
      return repairFollowers(State, TargetGroup, View, Now, Settings);
    enterStep(State, PromotionStep::Waiting, Now);
    State.m_Statuses.clear();
    State.m_LastReason.clear();
    State.m_NextTryAt =
        SuspectSince + Settings.m_SuspectTimeout + drawStartDelay(Rank, Settings, Rng);
    State.m_LastSentAt = Now;
    return queryStatuses(TargetGroup);
  }
  case PromotionStep::Waiting:
  case PromotionStep::Checking: {
    if (State.m_Step == PromotionStep::Waiting && Now >= State.m_NextTryAt)
      State.m_Step = PromotionStep::Checking; // m_StepSince remains the start of the status queries
    Actions NewActions;
    if (State.m_Step == PromotionStep::Checking)
      NewActions = applyAssessment(State, TargetGroup, View, Now, Settings);
    bool IsChecking =
        State.m_Step == PromotionStep::Waiting || State.m_Step == PromotionStep::Checking;
    if (IsChecking && isSendDue(State, Now, Settings.m_ProbeInterval))
      return queryStatuses(TargetGroup);
    return NewActions;
  }
  case PromotionStep::Fencing: {
    if (Now - State.m_StepSince >= Settings.m_StepTimeout) {
      abandonAttempt(State, "no majority granted the term", Now, Rng, Settings);
      return {};
    }
    Actions NewActions = promoteIfMajority(State, TargetGroup, Now, Settings);
    if (!NewActions.empty() || !isSendDue(State, Now, Settings.m_ProbeInterval))
      return NewActions;
    bool IsExclusionActive = Now - State.m_StepSince < Settings.m_ProbeTimeout;
    return sendFences(State, TargetGroup,
                      IsExclusionActive ? State.m_ExcludedPrimary : std::string());
  }
  case PromotionStep::Promoting:
    if (Now - State.m_StepSince >= Settings.m_StepTimeout) {
      abandonAttempt(State, State.m_Candidate + " did not answer the promotion", Now, Rng,
                     Settings);
      return {};
    }
    if (isSendDue(State, Now, Settings.m_ProbeInterval))
      return {SendPromote{State.m_Candidate, State.m_Term}};
    return {};
  case PromotionStep::Following:
  case PromotionStep::Recording:
    if (Now - State.m_StepSince >= Settings.m_StepTimeout) {
      resetToIdle(State, Now);
      return {};
    }
    if (isSendDue(State, Now, Settings.m_ProbeInterval))
      return sendFollows(State, TargetGroup);
    return {};
  }
  return {};
}

Actions handleStatusAnswer(Promotion &State, const Group &TargetGroup, const GroupView &View,
                           const std::string &Instance, const StatusAnswer &Answer, TimePoint Now,
                           Random & /*Rng*/, const FailoverSettings &Settings) {
  bool IsChecking =
      State.m_Step == PromotionStep::Waiting || State.m_Step == PromotionStep::Checking;
  if (!IsChecking || !findInstance(TargetGroup, Instance))
    return {};
  StatusAnswer &Known = State.m_Statuses[Instance];
  if (Answer.m_Term < Known.m_Term)
    return {}; // a newer answer has already arrived
  Known = Answer;
  Known.m_ReceivedAt = Now;
  if (State.m_Step != PromotionStep::Checking)
    return {};
  return applyAssessment(State, TargetGroup, View, Now, Settings);
}

Actions handleFenceAnswer(Promotion &State, const Group &TargetGroup, const std::string &Instance,
                          bool IsGranted, uint64_t Term, Position Last, TimePoint Now, Random &Rng,
                          const FailoverSettings &Settings) {
  bool IsRunning =
      State.m_Step == PromotionStep::Fencing || State.m_Step == PromotionStep::Promoting;
  if (IsRunning && !IsGranted && Term > State.m_Term) {
    State.m_Term = Term;
    abandonAttempt(State, "another proposer has a higher term", Now, Rng, Settings);
    return {};
  }
  if (State.m_Step != PromotionStep::Fencing || Term != State.m_Term ||
      !findInstance(TargetGroup, Instance))
    return {};
  if (IsGranted) {
    // Keeps the log end of the first grant: a fenced log does not grow in a lower term.
    State.m_FencedPositions.emplace(Instance, Last);
    State.m_RefusingInstances.erase(Instance);
    return promoteIfMajority(State, TargetGroup, Now, Settings);
  }
  if (!State.m_FencedPositions.contains(Instance))
    State.m_RefusingInstances.insert(Instance);
  if (TargetGroup.m_Instances.size() - State.m_RefusingInstances.size() < majoritySize(TargetGroup))
    abandonAttempt(State, "the term was granted to another proposer", Now, Rng, Settings);
  return {};
}

Actions handlePromoteAnswer(Promotion &State, const Group &TargetGroup, const std::string &Instance,
                            bool IsPromoted, uint64_t Term, TimePoint Now, Random &Rng,
                            const FailoverSettings &Settings) {
  if (State.m_Step != PromotionStep::Promoting || Instance != State.m_Candidate)
    return {};
  if (!IsPromoted) {
    if (Term >= State.m_Term) {
      State.m_Term = Term;
      abandonAttempt(State, State.m_Candidate + " refused the promotion", Now, Rng, Settings);
    }
    return {};
  }
  if (Term != State.m_Term)
    return {};
  State.m_IsOrdered = false;
  State.m_RequestedInstance.clear();
  State.m_FailureCount = 0;
  enterStep(State, PromotionStep::Following, Now);
  State.m_LastSentAt = Now;
  Actions NewActions = sendFollows(State, TargetGroup);
  NewActions.emplace_back(RecordPrimary{State.m_Candidate, State.m_Term});
  return NewActions;
}

void orderPromotion(Promotion &State, const std::string &RequestedInstance, TimePoint Now) {
  State.m_IsOrdered = true;
  State.m_RequestedInstance = RequestedInstance;
  State.m_FailureCount = 0;
  if (State.m_Step <= PromotionStep::Checking) {
    State.m_NextTryAt = Now;
    State.m_LastReason = "ordered by an operator";
  }
}

} // namespace quetzalpaddle
