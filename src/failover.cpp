// Failure detection and promotion.
//
// A candidate fences a new term at a majority of the group's instances, promotes the instance with
// the highest log end among them, and tells the others to follow it. A write is acknowledged only
// when a majority holds it, and two majorities share an instance, so the instance chosen holds
// every acknowledged write. An instance grants a term to one proposer, so that a term has at most
// one primary. Neither depends on time: suspicion, ranks and back-off only decide when to try.
// Trade-off: two candidates can spoil each other's term; ranks and jitter make that rare, and an
// election of a single candidate, which would need a further round, is not needed.
//
// A term is never used for two attempts. When the answer to Promote is lost, the instance may be
// the primary of that term, so that another one can only be promoted in a higher term.
#include "quetzalpaddle.h"

#include <algorithm>
#include <tuple>

namespace quetzalpaddle {

namespace {

// An operator's order ends after this many attempts, so that it does not take effect at a time
// when nobody expects it any more.
constexpr uint32_t MaxForcedTries = 5;

using Actions = std::vector<PromotionAction>;

size_t majorityOf(const Group &G) { return G.m_Instances.size() / 2 + 1; }

const Instance *findIn(const Group &G, const std::string &Id) {
  auto At = std::ranges::find(G.m_Instances, Id, &Instance::m_Id);
  return At == G.m_Instances.end() ? nullptr : &*At;
}

Duration drawDelay(uint32_t Failures, const FailoverSettings &Settings, Random &Rng) {
  Duration Most = std::min<Duration>(Settings.m_MaxRetryJitter,
                                     Settings.m_BaseRetryDelay * (1U << std::min(Failures, 6U)));
  return Settings.m_BaseRetryDelay +
         Duration(std::uniform_int_distribution<Duration::rep>(0, Most.count())(Rng));
}

// How long after the suspicion a candidate starts.
Duration drawStart(uint32_t Rank, const FailoverSettings &Settings, Random &Rng) {
  if (Settings.m_MaxRandomDelay <= Millis::zero())
    return Rank * Duration(Settings.m_RankDelay);
  Duration Most = Settings.m_MaxRandomDelay;
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Most.count())(Rng));
}

void enterStep(Promotion &P, PromotionStep Step, TimePoint Now) {
  P.m_Step = Step;
  P.m_StepSince = Now;
  P.m_LastSentAt = TimePoint{};
}

void becomeIdle(Promotion &P, TimePoint Now) {
  enterStep(P, PromotionStep::Idle, Now);
  P.m_Statuses.clear();
  P.m_FencedPositions.clear();
  P.m_RefusingInstances.clear();
  P.m_ExcludedPrimary.clear();
}

// Ends the attempt; another starts after a back-off if the group still has no primary then.
void backOff(Promotion &P, std::string Why, TimePoint Now, Random &Rng,
             const FailoverSettings &Settings) {
  becomeIdle(P, Now);
  P.m_Step = PromotionStep::Waiting;
  ++P.m_FailureCount;
  P.m_NextTryAt = Now + drawDelay(P.m_FailureCount, Settings, Rng);
  P.m_LastReason = std::move(Why);
  if (P.m_IsOperatorOrdered && P.m_FailureCount >= MaxForcedTries) {
    P.m_IsOperatorOrdered = false;
    P.m_RequestedInstance.clear();
    P.m_LastReason += "; operator's order given up";
  }
}

// Whether it is time to send the actions of the step, for the first time or again.
bool isSendDue(Promotion &P, TimePoint Now, Duration Interval) {
  if (P.m_LastSentAt != TimePoint{} && Now - P.m_LastSentAt < Interval)
    return false;
  P.m_LastSentAt = Now;
  return true;
}

Actions askStatuses(const Group &G) {
  Actions Out;
  for (const Instance &I : G.m_Instances)
    Out.emplace_back(QueryStatus{I.m_Id});
  return Out;
}

//-----------------------------------------------------------------------------
// [SECTION] Suspicion
//-----------------------------------------------------------------------------

// Since when there are signs that the group has no working primary; Now if there are none.
TimePoint findSilence(const Promotion &P, const Group &G, const GroupView &View, TimePoint Now,
                      const FailoverSettings &Settings) {
  TimePoint Since = Now;
  if (!findIn(G, View.m_Primary))
    return P.m_StepSince;
  for (const Instance &I : G.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (Known == View.m_Instances.end()) {
      if (I.m_Id == View.m_Primary)
        Since = P.m_StepSince;
      continue;
    }
    const InstanceView &V = Known->second;
    if (I.m_Id == View.m_Primary)
      Since = std::min(Since, V.m_LastSeenAt);
    if (Now - V.m_LastSeenAt < Settings.m_SuspectTimeout)
      Since = std::min(Since, V.m_LastSeenAt - V.m_ContactAge);
  }
  // Signs from before the last change of step belong to the primary before it.
  return std::max(Since, P.m_StepSince);
}

enum class Verdict { Undecided, Healthy, Promote };

// Judges the answers to the status round; design.md 4.6. Sets m_Why for Promote.
Verdict judgeStatuses(Promotion &P, const Group &G, const GroupView &View, TimePoint Now,
                      const FailoverSettings &Settings) {
  auto IsFresh = [&](const StatusAnswer &S) {
    return Now - S.m_ReceivedAt <= Settings.m_ProbeTimeout + 2 * Settings.m_ProbeInterval;
  };
  uint64_t HighTerm = View.m_Term;
  size_t Responding = 0;
  size_t WithoutContact = 0;
  for (const Instance &I : G.m_Instances) {
    auto Found = P.m_Statuses.find(I.m_Id);
    if (Found == P.m_Statuses.end())
      continue;
    HighTerm = std::max(HighTerm, Found->second.m_Term);
    if (!IsFresh(Found->second))
      continue;
    ++Responding;
    if (Found->second.m_ContactAge >= Settings.m_SuspectTimeout)
      ++WithoutContact;
  }
  auto Claims = std::ranges::find_if(P.m_Statuses, [&](const auto &S) {
    return S.second.m_IsPrimary && S.second.m_Term == HighTerm && findIn(G, S.first) &&
           IsFresh(S.second);
  });
  if (Claims != P.m_Statuses.end()) {
    // A primary that answers, but that no majority has confirmed, cannot acknowledge anything. If
    // the others are a majority without it, they get a new one.
    const StatusAnswer &S = Claims->second;
    if (S.m_ContactAge < Settings.m_SuspectTimeout / 2)
      return Verdict::Healthy;
    if (S.m_ContactAge < Settings.m_SuspectTimeout || WithoutContact - 1 < majorityOf(G))
      return Verdict::Undecided;
    P.m_ExcludedPrimary = Claims->first;
    P.m_LastReason = "primary has no majority";
    return Verdict::Promote;
  }
  if (Responding < majorityOf(G) || Now - P.m_StepSince < Settings.m_ProbeTimeout)
    return Verdict::Undecided;
  bool Known = findIn(G, View.m_Primary) && HighTerm == View.m_Term;
  auto Named = P.m_Statuses.find(View.m_Primary);
  if (Known && Named != P.m_Statuses.end() && IsFresh(Named->second) &&
      Named->second.m_Term == HighTerm) {
    P.m_LastReason = "primary has lost its role";
    return Verdict::Promote;
  }
  if (WithoutContact == Responding) {
    P.m_LastReason = "no replica hears from the primary";
    return Verdict::Promote;
  }
  TimePoint Reached = P.m_StepSince;
  if (Known && View.m_Instances.contains(View.m_Primary))
    Reached = View.m_Instances.at(View.m_Primary).m_LastSeenAt;
  if (Now - Reached >= Settings.m_UnreachableTimeout) {
    P.m_LastReason = Known ? "no host reaches the primary" : "no primary in the highest term";
    return Verdict::Promote;
  }
  return Verdict::Undecided;
}

//-----------------------------------------------------------------------------
// [SECTION] Steps of a promotion
//-----------------------------------------------------------------------------

// Asks the instances that have not granted the term yet.
Actions sendFences(const Promotion &P, const Group &G, const std::string &Spared) {
  Actions Out;
  for (const Instance &I : G.m_Instances)
    if (I.m_Id != Spared && !P.m_FencedPositions.contains(I.m_Id) &&
        !P.m_RefusingInstances.contains(I.m_Id))
      Out.emplace_back(SendFence{I.m_Id, P.m_Term});
  return Out;
}

// A primary that answers but is to be replaced is left out of the fence at first, if the others are
// a majority without it: its log is ahead by unacknowledged writes and would always win.
void spareInstance(Promotion &P, const Group &G, const GroupView &View) {
  if (P.m_IsOperatorOrdered)
    P.m_ExcludedPrimary = P.m_RequestedInstance == View.m_Primary ? std::string() : View.m_Primary;
  if (!findIn(G, P.m_ExcludedPrimary) || G.m_Instances.size() - 1 < majorityOf(G))
    P.m_ExcludedPrimary.clear();
}

Actions beginFencing(Promotion &P, const Group &G, const GroupView &View, TimePoint Now) {
  uint64_t Highest = std::max(P.m_Term, View.m_Term);
  for (const auto &[Id, V] : View.m_Instances)
    Highest = std::max(Highest, V.m_Term);
  for (const auto &[Id, S] : P.m_Statuses)
    Highest = std::max(Highest, S.m_Term);
  P.m_Term = Highest + 1;
  P.m_FencedPositions.clear();
  P.m_RefusingInstances.clear();
  P.m_Candidate.clear();
  enterStep(P, PromotionStep::Fencing, Now);
  P.m_LastSentAt = Now;
  spareInstance(P, G, View);
  return sendFences(P, G, P.m_ExcludedPrimary);
}

// Chooses by log end first; the other criteria only decide between equal logs.
const Instance *chooseBest(const Promotion &P, const Group &G) {
  const Instance *Best = nullptr;
  auto Rank = [&](const Instance &I) {
    return std::tuple(P.m_FencedPositions.at(I.m_Id), !I.m_IsLeaving,
                      I.m_Id == P.m_RequestedInstance);
  };
  for (const Instance &I : G.m_Instances)
    if (P.m_FencedPositions.contains(I.m_Id) && (!Best || Rank(I) > Rank(*Best)))
      Best = &I;
  return Best;
}

// Goes on to Promote once a majority has granted the term.
Actions tryPromote(Promotion &P, const Group &G, TimePoint Now, const FailoverSettings &Settings) {
  if (P.m_FencedPositions.size() < majorityOf(G))
    return {};
  const Instance *Best = chooseBest(P, G);
  if (!Best)
    return {};
  // The instance that is asked for, or one that stays, may only be a little slower to answer.
  bool AllAnswered =
      P.m_FencedPositions.size() + P.m_RefusingInstances.size() >= G.m_Instances.size();
  bool Better = Best->m_IsLeaving || (findIn(G, P.m_RequestedInstance) &&
                                      !P.m_FencedPositions.contains(P.m_RequestedInstance));
  if (Better && !AllAnswered && Now - P.m_StepSince < Settings.m_ProbeTimeout)
    return {};
  P.m_Candidate = Best->m_Id;
  if (!P.m_RequestedInstance.empty() && P.m_Candidate != P.m_RequestedInstance)
    P.m_LastReason += "; " + P.m_RequestedInstance +
                      (P.m_FencedPositions.contains(P.m_RequestedInstance) ? " has a shorter log"
                                                                           : " is not fenced") +
                      ", " + P.m_Candidate + " is promoted instead";
  enterStep(P, PromotionStep::Promoting, Now);
  P.m_LastSentAt = Now;
  return {SendPromote{P.m_Candidate, P.m_Term}};
}

Actions sendFollows(const Promotion &P, const Group &G) {
  Actions Out;
  for (const Instance &I : G.m_Instances)
    if (I.m_Id != P.m_Candidate)
      Out.emplace_back(SendFollow{I.m_Id, P.m_Candidate, P.m_Term});
  return Out;
}

// Tells instances that missed the last change, such as the old primary after a partition.
Actions repairFollowers(Promotion &P, const Group &G, const GroupView &View, TimePoint Now,
                        const FailoverSettings &Settings) {
  auto Primary = View.m_Instances.find(View.m_Primary);
  if (!findIn(G, View.m_Primary) || Primary == View.m_Instances.end() ||
      Now - Primary->second.m_LastSeenAt >= Settings.m_SuspectTimeout)
    return {};
  Actions Out;
  for (const Instance &I : G.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (I.m_Id == View.m_Primary || Known == View.m_Instances.end())
      continue;
    const InstanceView &V = Known->second;
    bool Fresh = Now - V.m_LastSeenAt < Settings.m_SuspectTimeout;
    bool Astray =
        V.m_Term < View.m_Term || V.m_IsPrimary || V.m_ContactAge >= Settings.m_SuspectTimeout;
    if (Fresh && Astray)
      Out.emplace_back(SendFollow{I.m_Id, View.m_Primary, View.m_Term});
  }
  if (Out.empty() || !isSendDue(P, Now, 4 * Settings.m_ProbeInterval))
    return {};
  return Out;
}

Actions decideChecking(Promotion &P, const Group &G, const GroupView &View, TimePoint Now,
                       const FailoverSettings &Settings) {
  Verdict V = judgeStatuses(P, G, View, Now, Settings);
  if (V == Verdict::Promote)
    return beginFencing(P, G, View, Now);
  if (V == Verdict::Healthy) {
    becomeIdle(P, Now);
    P.m_FailureCount = 0;
  }
  return {};
}

// Takes note of a term that another candidate has raised. Its promotion gets the suspicion time to
// finish.
bool noteHigherTerm(Promotion &P, uint64_t Term, const std::string &Primary, TimePoint Now) {
  if (Term <= P.m_Term)
    return false;
  P.m_Term = Term;
  becomeIdle(P, Now);
  if (!P.m_IsOperatorOrdered) // an operator's order keeps its reason
    P.m_LastReason =
        Primary.empty() ? "another candidate raised the term" : "another primary was promoted";
  if (!Primary.empty())
    P.m_FailureCount = 0;
  return true;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

Actions tickPromotion(Promotion &P, const Group &G, const GroupView &View, uint32_t Rank,
                      TimePoint Now, Random &Rng, const FailoverSettings &Settings) {
  if (G.m_Instances.empty())
    return {};
  if (P.m_StepSince == TimePoint{})
    P.m_StepSince = Now;
  if (noteHigherTerm(P, View.m_Term, View.m_Primary, Now) && !P.m_IsOperatorOrdered)
    return {};
  if (P.m_IsOperatorOrdered && P.m_Step <= PromotionStep::Checking && Now >= P.m_NextTryAt)
    return beginFencing(P, G, View, Now);

  switch (P.m_Step) {
  case PromotionStep::Idle: {
    TimePoint Silence = findSilence(P, G, View, Now, Settings);
    // The status round runs during the last part of the suspicion time, because a frozen primary
    // costs its whole timeout.
    if (Now - Silence < Settings.m_SuspectTimeout - Settings.m_ProbeTimeout)
      return repairFollowers(P, G, View, Now, Settings);
    enterStep(P, PromotionStep::Waiting, Now);
    P.m_Statuses.clear();
    P.m_LastReason.clear();
    P.m_NextTryAt = Silence + Settings.m_SuspectTimeout + drawStart(Rank, Settings, Rng);
    P.m_LastSentAt = Now;
    return askStatuses(G);
  }
  case PromotionStep::Waiting:
  case PromotionStep::Checking: {
    if (P.m_Step == PromotionStep::Waiting && Now >= P.m_NextTryAt)
      P.m_Step = PromotionStep::Checking; // m_StepSince still tells when the round began
    Actions Out;
    if (P.m_Step == PromotionStep::Checking)
      Out = decideChecking(P, G, View, Now, Settings);
    bool Asking = P.m_Step == PromotionStep::Waiting || P.m_Step == PromotionStep::Checking;
    if (Asking && isSendDue(P, Now, Settings.m_ProbeInterval))
      return askStatuses(G);
    return Out;
  }
  case PromotionStep::Fencing: {
    if (Now - P.m_StepSince >= Settings.m_StepTimeout) {
      backOff(P, "no majority granted the term", Now, Rng, Settings);
      return {};
    }
    Actions Out = tryPromote(P, G, Now, Settings);
    if (!Out.empty() || !isSendDue(P, Now, Settings.m_ProbeInterval))
      return Out;
    bool Spare = Now - P.m_StepSince < Settings.m_ProbeTimeout;
    return sendFences(P, G, Spare ? P.m_ExcludedPrimary : std::string());
  }
  case PromotionStep::Promoting:
    if (Now - P.m_StepSince >= Settings.m_StepTimeout) {
      backOff(P, P.m_Candidate + " did not answer", Now, Rng, Settings);
      return {};
    }
    if (isSendDue(P, Now, Settings.m_ProbeInterval))
      return {SendPromote{P.m_Candidate, P.m_Term}};
    return {};
  case PromotionStep::Following:
  case PromotionStep::Recording:
    if (Now - P.m_StepSince >= Settings.m_StepTimeout) {
      becomeIdle(P, Now);
      return {};
    }
    if (isSendDue(P, Now, Settings.m_ProbeInterval))
      return sendFollows(P, G);
    return {};
  }
  return {};
}

Actions handleStatusAnswer(Promotion &P, const Group &G, const GroupView &View,
                           const std::string &Instance, const StatusAnswer &Answer, TimePoint Now,
                           Random & /*Rng*/, const FailoverSettings &Settings) {
  bool Asking = P.m_Step == PromotionStep::Waiting || P.m_Step == PromotionStep::Checking;
  if (!Asking || !findIn(G, Instance))
    return {};
  StatusAnswer &Known = P.m_Statuses[Instance];
  if (Answer.m_Term < Known.m_Term)
    return {}; // overtaken by a later answer
  Known = Answer;
  Known.m_ReceivedAt = Now;
  if (P.m_Step != PromotionStep::Checking)
    return {};
  return decideChecking(P, G, View, Now, Settings);
}

Actions handleFenceAnswer(Promotion &P, const Group &G, const std::string &Instance, bool Granted,
                          uint64_t Term, Position Last, TimePoint Now, Random &Rng,
                          const FailoverSettings &Settings) {
  bool Running = P.m_Step == PromotionStep::Fencing || P.m_Step == PromotionStep::Promoting;
  if (Running && !Granted && Term > P.m_Term) {
    P.m_Term = Term;
    backOff(P, "another candidate has a higher term", Now, Rng, Settings);
    return {};
  }
  if (P.m_Step != PromotionStep::Fencing || Term != P.m_Term || !findIn(G, Instance))
    return {};
  if (Granted) {
    // The log end of the first grant counts: a fenced log does not grow in a lower term.
    P.m_FencedPositions.emplace(Instance, Last);
    P.m_RefusingInstances.erase(Instance);
    return tryPromote(P, G, Now, Settings);
  }
  if (!P.m_FencedPositions.contains(Instance))
    P.m_RefusingInstances.insert(Instance);
  if (G.m_Instances.size() - P.m_RefusingInstances.size() < majorityOf(G))
    backOff(P, "another candidate has the term", Now, Rng, Settings);
  return {};
}

Actions handlePromoteAnswer(Promotion &P, const Group &G, const std::string &Instance,
                            bool Promoted, uint64_t Term, TimePoint Now, Random &Rng,
                            const FailoverSettings &Settings) {
  if (P.m_Step != PromotionStep::Promoting || Instance != P.m_Candidate)
    return {};
  if (!Promoted) {
    if (Term >= P.m_Term) {
      P.m_Term = Term;
      backOff(P, P.m_Candidate + " refused to take over", Now, Rng, Settings);
    }
    return {};
  }
  if (Term != P.m_Term)
    return {};
  P.m_IsOperatorOrdered = false;
  P.m_RequestedInstance.clear();
  P.m_FailureCount = 0;
  enterStep(P, PromotionStep::Following, Now);
  P.m_LastSentAt = Now;
  Actions Out = sendFollows(P, G);
  Out.emplace_back(RecordPrimary{P.m_Candidate, P.m_Term});
  return Out;
}

void orderPromotion(Promotion &P, const std::string &Wanted, TimePoint Now) {
  P.m_IsOperatorOrdered = true;
  P.m_RequestedInstance = Wanted;
  P.m_FailureCount = 0;
  if (P.m_Step <= PromotionStep::Checking) {
    P.m_NextTryAt = Now;
    P.m_LastReason = "ordered by an operator";
  }
}

} // namespace quetzalpaddle
