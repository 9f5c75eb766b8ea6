// Carries out promotions in the groups whose promotion duty this host holds. It acquires a group's
// duty if no other host announces that it holds it and this host is first in rendezvous order.
//
// The holder of a group's duty is recorded in the platform's object store (line_duty.cpp). A
// conditional update raises the duty's token with every holder and every attempt, before the first
// call of the attempt; without the store there is none. The duty also records an order before it is
// sent, by a second conditional update: a host that takes the duty from then on knows that the
// order may still be carried out, and one that took it before makes the update fail. While an order
// is open, no replica but its candidate receives.
#include "line_duty.h"

#include "platform/line_codec.h"
#include "platform/store_client.h"

#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

// Interval of the check of all groups.
constexpr Millis CheckInterval{100};
// The same at hosts that are not hubs, which only check whether they have become one.
constexpr Millis LeafCheckInterval{500};
// Interval of status polls while waiting for a promotion or for a candidate to catch up.
constexpr Millis PollInterval{120};
// Interval at which an instance that has left the list is asked whether it has ended.
constexpr Millis EndAskInterval{500};
// A host that has been the promoter of a group for this long acquires its duty, before a promotion
// is needed.
constexpr Millis DutyAcquisitionDelay{1000};
// Added to the highest term that was reported. A suspension needs a term above the group's newest
// one, which a lagging replica may not know.
constexpr uint64_t TermMargin = 10;
// Number of polls for the candidate of a switchover to catch up.
constexpr int MaxCatchUpPolls = 5;

const TakeoverSettings DefaultSettings;
const BlindSpotSettings SpotSettings;

// Unlisted instances are included: one that cannot reach the store loses its entry but goes on
// receiving and acknowledging.
std::set<std::string> listInstances(const LineGroup &Group, bool ReplicasOnly) {
  std::set<std::string> Ids;
  for (const auto &[Id, Instance] : Group.m_Instances)
    if (!(ReplicasOnly && Id == Group.m_Primary))
      Ids.insert(Id);
  return Ids;
}

bool isLeaving(const LineGroup &Group, const std::string &Id) {
  auto It = Group.m_Instances.find(Id);
  return It != Group.m_Instances.end() && It->second.m_IsLeaving;
}

// Lists replicas without a status. They may hold commits that others lack, so unlisted replicas are
// included.
std::set<std::string> listUnansweredReplicas(const LineGroup &Group, const std::string &Primary,
                                             const std::map<std::string, LineStatus> &Statuses) {
  std::set<std::string> UnansweredIds;
  for (const auto &[Id, Instance] : Group.m_Instances)
    if (Id != Primary && !Statuses.contains(Id))
      UnansweredIds.insert(Id);
  return UnansweredIds;
}

// Logs the state on which the choice of a candidate rests.
void logChoice(const LineGroup &Group, const Takeover &State,
               const std::map<std::string, LineStatus> &Replicas,
               const std::set<std::string> &MissingIds, const std::string &Candidate) {
  auto Newest = newestConfirmedPosition(Group.m_History);
  logLine(
      LogLevel::Info, "takeover_candidate",
      {{"group", Group.m_Name},
       {"instance", Candidate},
       {"primary", Group.m_Primary},
       {"token", std::to_string(State.m_Duty.m_Token)},
       {"replicas", describeReplicas(Replicas)},
       {"missing", describeMissing(Group, MissingIds)},
       {"confirmed",
        Newest ? fmt::format("{}.{}", Newest->m_Position.m_Term, Newest->m_Position.m_Index) : ""},
       {"confirmed_ms", Newest ? std::to_string((bootNow() - Newest->m_SentAt) / Millis(1)) : ""}});
}

Awaitable<void> resumeReplicas(LineHost &Host, std::string Group, std::set<std::string> Ids) {
  // The answers are ignored: an instance that was promoted or restarted receives without this
  // statement.
  co_await runControlStatements(Host, std::move(Group), std::move(Ids),
                                std::string(platform::ResumeText));
}

// Resumes all replicas. An attempt of this or another host may have been interrupted and left some
// suspended.
Awaitable<void> resumeAllReplicas(LineHost &Host, std::string GroupName) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &State = Host.m_Takeovers[GroupName];
  bool HoldsDuty = co_await acquireDuty(Host, Group, State);
  // While an order is open, the next check of the group finishes it.
  if (HoldsDuty && State.m_Duty.m_OpenOrders.empty()) {
    std::set<std::string> Replicas = listInstances(Group, true);
    State.m_ResumedAt = bootNow();
    State.m_SuspendedReplicas.clear();
    noteSettledAttempts(Group, State.m_Duty.m_Token);
    logTakeover(Group, State, "replicas_resumed", "duty acquired or writes stalled");
    co_await resumeReplicas(Host, GroupName, Replicas);
  }
  // Another holder resumes them; the store is not asked again before its grace period ends.
  if (!HoldsDuty)
    State.m_NextAttemptAt =
        std::max({State.m_NextAttemptAt, bootNow() + DefaultSettings.m_RetryDelay,
                  State.m_SeenToken > State.m_Duty.m_Token ? findGraceEnd(State, DefaultSettings)
                                                           : TimePoint{}});
  State.m_IsRunning = false;
}

// Sets the pending generation, which stops writes and acknowledgements at all hosts that hear of
// it.
void announcePromotion(LineHost &Host, LineGroup &Group, const Takeover &State) {
  Group.m_PendingGeneration = State.m_Duty.m_Token;
  Group.m_PendingGenerationAt = bootNow();
  sendGossip(Host, bootNow());
}

// Tells all hosts which replicas may lead at any moment, so that they pass on only acknowledgements
// of commits that these hold.
void announceSuccessors(LineHost &Host, LineGroup &Group, const Takeover &State,
                        std::set<std::string> Successors) {
  Successors.insert(State.m_Duty.m_OpenOrders.begin(), State.m_Duty.m_OpenOrders.end());
  noteSuccessors(Group, Successors, State.m_Duty.m_Token);
  sendGossip(Host, bootNow());
}

// Suspends the replicas other than the candidate that receive although a promotion is under way:
// new ones, and those that have restarted or that a former holder of the duty has resumed.
// FormerPrimary: the primary when the promotion began.
Awaitable<void> renewSuspension(LineHost &Host, std::string GroupName, std::string Candidate,
                                std::string FormerPrimary) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &State = Host.m_Takeovers[GroupName];
  auto Statuses = collectStatuses(co_await runControlStatements(
      Host, GroupName, listInstances(Group, true), std::string(platform::StatusText)));
  // The attempt may have ended, and resumed the replicas, while they were asked.
  bool IsPromoted = Group.m_Primary == Candidate && FormerPrimary != Candidate;
  bool HasEnded = IsPromoted || State.m_Duty.m_OpenOrders.empty() ||
                  (Statuses.contains(Candidate) && Statuses[Candidate].m_IsPrimary);
  std::erase_if(Statuses, [&](const auto &Entry) {
    return Entry.first == Candidate || Entry.second.m_IsPrimary ||
           Entry.second.m_SuspendTerm >= State.m_SuspendTerm;
  });
  if (!HasEnded && !Statuses.empty()) {
    std::set<std::string> ReceivingIds;
    for (const auto &[Id, Status] : Statuses)
      ReceivingIds.insert(Id);
    logTakeover(Group, State, "suspension_renewed", describeReplicas(Statuses), Candidate);
    countEvent(*Host.m_Metrics, "suspension_renewed");
    if (Group.m_PendingGeneration == 0)
      announcePromotion(Host, Group, State);
    State.m_SuspendedReplicas.insert(ReceivingIds.begin(), ReceivingIds.end());
    State.m_IsRenewingSuspension = true;
    co_await runControlStatements(Host, GroupName, ReceivingIds,
                                  platform::formatSuspend(State.m_SuspendTerm));
    State.m_IsRenewingSuspension = false;
  }
  State.m_IsCheckingSuspension = false;
}

// Returns whether the platform lists an instance of a group that was not known at the choice of a
// candidate, or whether that is unknown.
Awaitable<bool> hasNewInstance(LineHost &Host, const LineGroup &Group,
                               const std::set<std::string> &KnownInstances) {
  bool IsComplete = co_await refreshInstances(Host);
  bool IsUnchanged = std::ranges::includes(KnownInstances, listInstances(Group, false));
  co_return !IsComplete || !IsUnchanged;
}

// The replica that is to be promoted.
struct Choice {
  std::string m_Candidate;     // empty: none
  std::string m_Why;           // there is none
  Position m_RequiredPosition; // that its log has to hold as it is ordered to lead
};

// Orders the promotion of an instance and waits until it is primary. Returns whether it is, and
// every earlier order has ended. The open orders of the duty are those that may still be carried
// out afterwards. KnownInstances: those that the choice of the candidate rests on.
Awaitable<bool> promote(LineHost &Host, LineGroup &Group, Takeover &State, Choice Chosen,
                        std::set<std::string> KnownInstances) {
  const std::string &Candidate = Chosen.m_Candidate;
  PromotionDuty NewDuty = State.m_Duty;
  NewDuty.m_OpenOrders.insert(Candidate);
  NewDuty.m_OrderAddresses[Candidate] = Group.m_Instances[Candidate].m_Address;
  bool HasEarlierOrder = !State.m_Duty.m_OpenOrders.empty();
  const std::string FormerPrimary = Group.m_Primary;
  // Fails if another host has taken the duty since.
  if (!co_await writeDuty(Host, Group, State, std::move(NewDuty)))
    co_return false;
  announceSuccessors(Host, Group, State, {});
  // From here on the candidate receives: if the primary still works somewhere, what it acknowledges
  // passes through the candidate, which leads with all that it holds when the order takes effect.
  std::set<std::string> CandidateIds;
  CandidateIds.insert(Candidate);
  co_await resumeReplicas(Host, Group.m_Name, CandidateIds);
  // An order for an instance that leads changes nothing, but the platform refuses the earlier ones
  // from then on. One that it had accepted just before may still take effect.
  bool MustOutlastOthers = FormerPrimary == Candidate && HasEarlierOrder;
  TimePoint OthersEndAt = TimePoint::max();
  bool MayStillCome = HasEarlierOrder;
  bool IsAccepted = false;
  bool IsSuperseded = false;
  // A replica that has joined since may be the only one with the newest commits.
  bool IsOutdated = co_await hasNewInstance(Host, Group, KnownInstances);
  if (IsOutdated)
    logTakeover(Group, State, "promotion_given_up", "an instance has joined", Candidate);
  TimePoint OrderedAt{};
  TimePoint Deadline = bootNow() + DefaultSettings.m_PromotionTimeout;
  bool HoldsRequired = true; // the candidate, by its last answer
  while (bootNow() < Deadline && !IsSuperseded && !IsOutdated) {
    if (!IsAccepted && HoldsRequired &&
        bootNow() - OrderedAt > DefaultSettings.m_OrderRetryInterval) {
      OrderedAt = bootNow();
      auto Answer = co_await platform::orderPromotion(Host.m_StoreClient, Group.m_Name, Candidate,
                                                      State.m_Duty);
      logTakeover(Group, State, "promotion_ordered",
                  Answer == PromotionResult::Accepted     ? "accepted"
                  : Answer == PromotionResult::Superseded ? "outrun"
                  : Answer == PromotionResult::Refused    ? "refused"
                                                          : "no answer",
                  Candidate);
      if (Answer == PromotionResult::NoAnswer)
        countEvent(*Host.m_Metrics, "promotion_unanswered");
      IsAccepted = Answer == PromotionResult::Accepted;
      IsSuperseded = Answer == PromotionResult::Superseded;
      MayStillCome = MayStillCome || IsAccepted || Answer == PromotionResult::NoAnswer;
      // An accepted order takes effect later, and the platform refuses the earlier ones from now
      // on.
      if (IsAccepted) {
        State.m_Duty.m_OpenOrders = {Candidate};
        announceSuccessors(Host, Group, State, {});
        OthersEndAt = bootNow() + DefaultSettings.m_OrderEffectTimeout;
        Deadline = bootNow() + DefaultSettings.m_PromotionTimeout;
      }
    }
    if (Group.m_PendingGeneration != 0)
      Group.m_PendingGenerationAt = bootNow();
    // Not awaited: a replica that does not answer must not delay the end of the promotion.
    if (!std::exchange(State.m_IsCheckingSuspension, true))
      spawnTask(Host, "renew_suspension",
                renewSuspension(Host, Group.m_Name, Candidate, FormerPrimary),
                [&State] { State.m_IsCheckingSuspension = State.m_IsRenewingSuspension = false; });
    const LineInstance *Target = findInstance(Host, Candidate);
    if (!Target)
      break;
    auto StatusResult = co_await runControlStatement(Host, Target->m_Address, Group.m_Name,
                                                     Candidate, std::string(platform::StatusText));
    // One that has restarted since the choice may have lost its log.
    HoldsRequired = StatusResult.m_Status &&
                    (StatusResult.m_Status->m_IsPrimary ||
                     heldPosition(*StatusResult.m_Status) >= Chosen.m_RequiredPosition);
    bool HaveOthersEnded = !MustOutlastOthers || bootNow() >= OthersEndAt;
    if (StatusResult.m_Status && StatusResult.m_Status->m_IsPrimary && HaveOthersEnded &&
        State.m_Duty.m_OpenOrders.size() == 1) {
      State.m_Duty.m_OpenOrders.clear();
      State.m_Duty.m_Primary = Candidate;
      co_return true;
    }
    co_await sleepFor(Host.m_Io, PollInterval);
  }
  if (!MayStillCome)
    State.m_Duty.m_OpenOrders.clear();
  co_return false;
}

uint64_t highestTerm(const std::map<std::string, LineStatus> &Statuses) {
  uint64_t Term = 0;
  for (const auto &[Id, Status] : Statuses)
    Term = std::max({Term, Status.m_Term, Status.m_ReceivedPosition.m_Term});
  return Term;
}

constexpr const char *NoCertainReplica = "no replica holds every commit for certain";

// Returns whether the instances of the open orders have ended, so that none carries out its order:
// they have left the list, and their addresses refuse. One that gives no answer may be cut off.
Awaitable<bool> areOrdersVoid(LineHost &Host, const LineGroup &Group,
                              std::set<std::string> OpenOrders) {
  if (!haveEnded(Group, OpenOrders, bootNow(), DefaultSettings))
    co_return false;
  auto Answers = co_await runControlStatements(Host, Group.m_Name, OpenOrders,
                                               std::string(platform::StatusText));
  co_return std::ranges::all_of(Answers, [](const auto &Entry) { return Entry.second.m_HasEnded; });
}

// Prepares a switchover from a healthy primary. Suspends all replicas but the candidate, so that
// every acknowledged commit passes through it.
Awaitable<Choice> prepareSwitchover(LineHost &Host, LineGroup &Group, Takeover &State) {
  auto Statuses = collectStatuses(co_await runControlStatements(
      Host, Group.m_Name, listInstances(Group, false), std::string(platform::StatusText)));
  std::string Candidate = chooseSwitchoverCandidate(Group, Statuses, State.m_Duty.m_OpenOrders,
                                                    bootNow(), DefaultSettings);
  if (Candidate.empty() || !Statuses.contains(Group.m_Primary))
    co_return Choice{
        "", Candidate.empty() ? "no replica can follow" : "the primary does not answer", {}};
  announceSuccessors(Host, Group, State, {Candidate});
  std::set<std::string> OtherReplicas = listInstances(Group, true);
  OtherReplicas.erase(Candidate);
  State.m_SuspendTerm = highestTerm(Statuses) + TermMargin;
  State.m_SuspendedReplicas = OtherReplicas;
  auto SuspendedStatuses =
      collectSuspended(co_await runControlStatements(Host, Group.m_Name, OtherReplicas,
                                                     platform::formatSuspend(State.m_SuspendTerm)),
                       State.m_SuspendTerm);
  // One that is off the list, and gives no answer, may come back and receive.
  bool AllSuspended = std::ranges::all_of(OtherReplicas, [&](const std::string &Id) {
    return SuspendedStatuses.contains(Id) ||
           hasEnded(Group.m_Instances.at(Id), bootNow(), DefaultSettings);
  });
  if (!AllSuspended)
    co_return Choice{"", "a replica was not suspended", {}};
  // The candidate has to hold what was acknowledged before the others were suspended.
  std::set<std::string> PrimaryIds;
  PrimaryIds.insert(Group.m_Primary);
  auto PrimaryStatuses = collectStatuses(co_await runControlStatements(
      Host, Group.m_Name, PrimaryIds, std::string(platform::StatusText)));
  // A replica's position says nothing of what was acknowledged.
  if (PrimaryStatuses.empty() || !PrimaryStatuses.begin()->second.m_IsPrimary)
    co_return Choice{"", "the primary does not answer as such", {}};
  logChoice(Group, State, SuspendedStatuses, {}, Candidate);
  Position RequiredPosition = PrimaryStatuses.begin()->second.m_ReceivedPosition;
  std::set<std::string> CandidateIds;
  CandidateIds.insert(Candidate);
  co_await resumeReplicas(Host, Group.m_Name, CandidateIds); // an earlier attempt may have left it
  for (int Poll = 0; Poll < MaxCatchUpPolls; ++Poll) {
    auto CandidateStatuses = collectStatuses(co_await runControlStatements(
        Host, Group.m_Name, CandidateIds, std::string(platform::StatusText)));
    if (!CandidateStatuses.empty() &&
        CandidateStatuses.begin()->second.m_ReceivedPosition >= RequiredPosition)
      co_return Choice{Candidate, "", RequiredPosition};
    co_await sleepFor(Host.m_Io, PollInterval);
  }
  co_return Choice{"", "the candidate does not catch up", {}};
}

// Returns the instance that reports to be primary, and records that it does; empty if none.
std::string confirmReportedPrimary(LineGroup &Group, std::map<std::string, LineStatus> &Statuses,
                                   TimePoint AskedAt) {
  std::string ReportedPrimary = findReportedPrimary(Statuses);
  if (ReportedPrimary.empty())
    return {};
  noteConfirmedPrimary(Group, ReportedPrimary, AskedAt);
  addConfirmedPosition(Group.m_History, {Statuses[ReportedPrimary].m_ReceivedPosition, AskedAt},
                       bootNow());
  return ReportedPrimary;
}

// Returns whether one of the replicas that have answered would be the candidate of a failover if
// all of them were suspended now.
bool hasLikelyCandidate(const LineGroup &Group, const std::map<std::string, LineStatus> &Statuses,
                        const std::set<std::string> &OpenOrders) {
  SuspendResponses Responses;
  Responses.m_Replicas = Statuses;
  Responses.m_Replicas.erase(Group.m_Primary);
  Responses.m_MissingReplicas = listUnansweredReplicas(Group, Group.m_Primary, Statuses);
  return !chooseFailoverCandidate(Group, Responses, OpenOrders, bootNow(), DefaultSettings).empty();
}

// Asks all instances whether a failover that has found no candidate may find one now. An attempt
// would stop the writes at all hosts, and call the store, for nothing.
Awaitable<bool> mayFindCandidate(LineHost &Host, LineGroup &Group) {
  TimePoint AskedAt = bootNow();
  auto Statuses = collectStatuses(co_await runControlStatements(
      Host, Group.m_Name, listInstances(Group, false), std::string(platform::StatusText)));
  co_return confirmReportedPrimary(Group, Statuses, AskedAt).empty() &&
      hasLikelyCandidate(Group, Statuses, {});
}

// Prepares a failover from a lost primary, or the end of an open order. Suspends all reachable
// replicas and chooses the one with the longest log. There is no candidate if no replica is known
// to hold every acknowledged commit, or if a primary answers.
Awaitable<Choice> prepareFailover(LineHost &Host, LineGroup &Group, Takeover &State) {
  const std::set<std::string> OpenOrders = State.m_Duty.m_OpenOrders;
  TimePoint AskedAt = bootNow();
  // The lost primary is not asked: the wait for its answer would delay every failover.
  auto Statuses = collectStatuses(
      co_await runControlStatements(Host, Group.m_Name, listInstances(Group, OpenOrders.empty()),
                                    std::string(platform::StatusText)));
  std::string ReportedPrimary = confirmReportedPrimary(Group, Statuses, AskedAt);
  if (!ReportedPrimary.empty() && OpenOrders.empty()) {
    logTakeover(Group, State, "primary_found", "it answers", ReportedPrimary);
    co_return Choice{"", "a primary answers", {}};
  }
  // Only an order replaces a primary. If the recorded one is a replica, the instance of the only
  // open order has led: its commits are those of a lost primary, which others hold, too.
  auto Recorded = Statuses.find(State.m_Duty.m_Primary);
  if (ReportedPrimary.empty() && OpenOrders.size() == 1 && Recorded != Statuses.end() &&
      !OpenOrders.contains(Recorded->first) && Group.m_Primary != *OpenOrders.begin()) {
    logTakeover(Group, State, "order_took_effect", "the recorded primary is a replica",
                *OpenOrders.begin());
    noteConfirmedPrimary(Group, *OpenOrders.begin(), bootNow());
  }
  State.m_SuspendTerm = highestTerm(Statuses) + TermMargin;
  // An order for the primary changes nothing but ends the other open orders.
  if (OpenOrders.contains(ReportedPrimary))
    co_return Choice{ReportedPrimary, "", {}};
  // The same while the instance of an open order gives no answer: another one must not lead before
  // that order has ended.
  bool AreOrdersSilent = std::ranges::any_of(
      OpenOrders, [&](const std::string &Id) { return !Statuses.contains(Id); });
  if (!ReportedPrimary.empty() && AreOrdersSilent && !isLeaving(Group, ReportedPrimary))
    co_return Choice{ReportedPrimary, "", {}};
  // The primary holds every commit, so that those of replicas which do not answer are not needed.
  if (!ReportedPrimary.empty())
    co_return co_await prepareSwitchover(Host, Group, State);
  std::string Primary = Group.m_Primary;
  Statuses.erase(Primary);
  // Suspends nothing unless a candidate is likely: this host may be the one that is disconnected.
  if (!hasLikelyCandidate(Group, Statuses, OpenOrders)) {
    logChoice(Group, State, Statuses, listUnansweredReplicas(Group, Primary, Statuses), "");
    co_return Choice{"", NoCertainReplica, {}};
  }
  std::set<std::string> ReachableIds;
  for (const auto &[Id, Status] : Statuses)
    ReachableIds.insert(Id);
  State.m_SuspendedReplicas = ReachableIds;
  SuspendResponses Responses;
  Responses.m_Replicas =
      collectSuspended(co_await runControlStatements(Host, Group.m_Name, ReachableIds,
                                                     platform::formatSuspend(State.m_SuspendTerm)),
                       State.m_SuspendTerm);
  Responses.m_MissingReplicas = listUnansweredReplicas(Group, Primary, Responses.m_Replicas);
  std::string Candidate =
      chooseFailoverCandidate(Group, Responses, OpenOrders, bootNow(), DefaultSettings);
  logChoice(Group, State, Responses.m_Replicas, Responses.m_MissingReplicas, Candidate);
  if (Candidate.empty())
    co_return Choice{"", NoCertainReplica, {}};
  co_return Choice{Candidate, "", heldPosition(Responses.m_Replicas.at(Candidate))};
}

// Returns whether the primary is still unreachable and the same.
bool isFailoverDue(const LineGroup &Group, const Takeover &State, const std::string &Primary) {
  return Group.m_Primary == Primary &&
         assessPrimary(Group, State, bootNow(), DefaultSettings) == TakeoverAction::Failover;
}

Awaitable<void> runTakeover(LineHost &Host, std::string GroupName, TakeoverAction Action) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &State = Host.m_Takeovers[GroupName];
  bool IsFailover = Action != TakeoverAction::Switchover;
  std::string Primary = Group.m_Primary;
  if (Action == TakeoverAction::Failover && State.m_LacksCandidate &&
      !co_await mayFindCandidate(Host, Group)) {
    State.m_NextAttemptAt = bootNow() + DefaultSettings.m_RetryDelay;
    State.m_IsRunning = false;
    co_return;
  }
  logTakeover(Group, State, "takeover_started",
              Action == TakeoverAction::Finish ? "an order is open"
              : IsFailover                     ? "primary lost"
              : isLeaving(Group, Primary)      ? "primary leaving"
                                               : "data centre of the primary evacuated",
              Group.m_Primary);
  countEvent(*Host.m_Metrics, "takeover_started");
  bool IsPromoted = false;
  Choice Chosen;
  bool HoldsDuty = co_await acquireDuty(Host, Group, State);
  bool IsLeftToHolder = !HoldsDuty && State.m_SeenToken > State.m_Duty.m_Token;
  bool IsFinished =
      HoldsDuty && Action == TakeoverAction::Finish && State.m_Duty.m_OpenOrders.empty();
  bool IsListed = HoldsDuty && !IsFinished && co_await refreshInstances(Host);
  // Other hosts may have heard from the primary since.
  bool IsStillDue =
      IsListed && (Action != TakeoverAction::Failover || isFailoverDue(Group, State, Primary));
  if (IsStillDue) {
    if (IsFailover)
      announcePromotion(Host, Group, State);
    std::set<std::string> KnownInstances = listInstances(Group, false);
    if (IsFailover)
      Chosen = co_await prepareFailover(Host, Group, State);
    else
      Chosen = co_await prepareSwitchover(Host, Group, State);
    if (Action == TakeoverAction::Failover && !isFailoverDue(Group, State, Primary))
      Chosen = {"", "the primary's state has changed", {}};
    if (!Chosen.m_Candidate.empty())
      IsPromoted = co_await promote(Host, Group, State, Chosen, KnownInstances);
  }
  const std::string &Candidate = Chosen.m_Candidate;
  TimePoint Now = bootNow();
  bool IsOrderOpen = !State.m_Duty.m_OpenOrders.empty();
  // An instance that has ended leads no more. As long as no replica receives, the commits that wait
  // may fill the slots of a primary, so that it could not even tell its status.
  bool IsOrderVoid = false;
  if (IsListed && IsOrderOpen && Candidate.empty())
    IsOrderVoid = co_await areOrdersVoid(Host, Group, State.m_Duty.m_OpenOrders);
  // The same for a primary that was promoted by the open order. It leads with all that it holds.
  bool IsOrderDone = IsOrderOpen && State.m_Duty.m_OpenOrders.size() == 1 &&
                     *State.m_Duty.m_OpenOrders.begin() == Group.m_Primary;
  bool MayReceive = !IsOrderOpen || IsOrderVoid || IsOrderDone;
  if (IsPromoted)
    notePromotion(Group, Candidate, State.m_Duty.m_Token, Now);
  else if (!IsOrderOpen)
    Group.m_PendingGeneration = 0;
  if (HoldsDuty && !IsOrderOpen)
    noteSettledAttempts(Group, State.m_Duty.m_Token);
  State.m_NextAttemptAt = Now + (Action == TakeoverAction::Finish && Candidate.empty()
                                     ? DefaultSettings.m_ResumeInterval
                                     : DefaultSettings.m_RetryDelay);
  State.m_LacksCandidate = Chosen.m_Why == NoCertainReplica;
  if (IsLeftToHolder)
    State.m_NextAttemptAt = std::max(State.m_NextAttemptAt, findGraceEnd(State, DefaultSettings));
  else if (!State.m_LacksCandidate)
    State.m_UnreachableSince = {};
  // The promotion is complete for the next holder, too.
  bool HoldsDutyStill = IsFinished;
  if (IsPromoted)
    HoldsDutyStill = co_await writeDuty(Host, Group, State, State.m_Duty);
  while (State.m_IsRenewingSuspension) // it would suspend a replica again after its resumption
    co_await sleepFor(Host.m_Io, PollInterval);
  // Once another host holds the duty, its attempt may depend on the replicas that this one
  // suspended. An earlier holder that was killed may have left others suspended.
  if (!HoldsDutyStill && MayReceive && (HoldsDuty || !State.m_SuspendedReplicas.empty()))
    HoldsDutyStill = co_await holdsDuty(Host, GroupName, State);
  if (HoldsDutyStill && MayReceive) {
    std::set<std::string> SuspendedIds = std::exchange(State.m_SuspendedReplicas, {});
    SuspendedIds.merge(listInstances(Group, true));
    logTakeover(Group, State, "replicas_resumed",
                IsPromoted || IsFinished ? "promotion done"
                : IsOrderVoid            ? "the instance of the open order has ended"
                : IsOrderDone            ? "the instance of the open order leads"
                                         : "attempt without an order ended",
                fmt::format("{}", fmt::join(SuspendedIds, " ")));
    co_await resumeReplicas(Host, GroupName, SuspendedIds);
  }
  State.m_IsRunning = false;
  logTakeover(Group, State, IsPromoted || IsFinished ? "takeover_done" : "takeover_failed",
              IsFinished          ? "the order took effect"
              : !HoldsDuty        ? "the duty is not held"
              : !IsListed         ? "the list of instances may lack some"
              : !IsStillDue       ? "the primary's state has changed"
              : Candidate.empty() ? Chosen.m_Why
              : IsOrderOpen       ? "an order is open; the replicas stay suspended"
                                  : "",
              Candidate);
  if (HoldsDuty && !IsOrderOpen)
    sendGossip(Host, bootNow());
}

// Asks the primary for its status and records whether it confirms its role.
Awaitable<void> probePrimary(LineHost &Host, std::string GroupName) {
  LineGroup &Group = Host.m_Groups[GroupName];
  Takeover &State = Host.m_Takeovers[GroupName];
  std::string Primary = Group.m_Primary;
  const LineInstance *Target = findInstance(Host, Primary);
  TimePoint SentAt = bootNow();
  ControlAnswer Answer;
  if (Target)
    Answer = co_await runControlStatement(Host, Target->m_Address, GroupName, Primary,
                                          std::string(platform::StatusText));
  bool IsPrimary = Answer.m_Status && Answer.m_Status->m_IsPrimary;
  TimePoint Now = bootNow();
  if (IsPrimary)
    addConfirmedPosition(Group.m_History, {Answer.m_Status->m_ReceivedPosition, SentAt}, Now);
  if (Answer.m_Status && !IsPrimary)
    noteNotPrimary(Group, Primary, Now);
  if (IsPrimary || (Answer.m_IsReachable && !Answer.m_Status))
    State.m_UnreachableSince = {};
  else if (State.m_UnreachableSince == TimePoint{})
    State.m_UnreachableSince = SentAt;
  State.m_IsRunning = false;
}

// Asks the replicas of a primary that gives no answer for their positions, so that reads can go on
// at them until another primary leads. The store may be down, or no candidate certain.
Awaitable<void> probeReplicas(LineHost &Host, std::string GroupName) {
  LineGroup &Group = Host.m_Groups[GroupName];
  std::string Primary = Group.m_Primary;
  TimePoint AskedAt = bootNow();
  auto Statuses = collectStatuses(co_await runControlStatements(
      Host, GroupName, listInstances(Group, true), std::string(platform::StatusText)));
  TimePoint Now = bootNow();
  auto Held = findReplicatedPosition(Group, Statuses, Now, DefaultSettings);
  if (!Held || Group.m_Primary != Primary || !hasCompleteInstances(Host, Now))
    co_return;
  if (Group.m_ReplicaHistory.m_ConfirmedPositions.empty())
    logLine(LogLevel::Info, "replicas_confirm",
            {{"group", GroupName}, {"primary", Primary}, {"replicas", describeReplicas(Statuses)}});
  countEvent(*Host.m_Metrics, "replicas_confirm");
  addConfirmedPosition(Group.m_ReplicaHistory, {*Held, AskedAt}, Now);
}

// Asks an instance that was leaving, and is off the list, whether it has ended.
Awaitable<void> askWhetherEnded(LineHost &Host, std::string GroupName, std::string Id) {
  LineInstance &Instance = Host.m_Groups[GroupName].m_Instances[Id];
  ControlAnswer Answer = co_await runControlStatement(Host, Instance.m_Address, GroupName, Id,
                                                      std::string(platform::StatusText));
  if (Answer.m_HasEnded && !Instance.m_IsListed) {
    Instance.m_EndedAt = bootNow();
    logLine(LogLevel::Info, "instance_ended", {{"instance", Id}, {"group", GroupName}});
  }
}

// Asks all of which that is not known yet. Every hub does, since it may have to promote.
void noteEndedInstances(LineHost &Host, LineGroup &Group, TimePoint Now) {
  for (auto &[Id, Instance] : Group.m_Instances) {
    if (Instance.m_IsListed || !Instance.m_IsLeaving || Instance.m_EndedAt != TimePoint{} ||
        Now - Instance.m_EndAskedAt < EndAskInterval)
      continue;
    Instance.m_EndAskedAt = Now;
    spawnTask(Host, "ask_whether_ended", askWhetherEnded(Host, Group.m_Name, Id));
  }
}

// Whether a host, as far as it has said, knows every instance that runs, so that it may promote.
bool knowsAllInstances(const LineHost &Host, const std::string &Id, TimePoint Now) {
  if (Id == Host.m_Members.m_Self)
    return hasCompleteInstances(Host, Now);
  auto It = Host.m_GossipStates.find(Id);
  return It == Host.m_GossipStates.end() || !It->second.m_HasIncompleteInstances;
}

// Returns whether this host carries out promotions in a group. A host that may not know all
// instances leaves that to the others, unless none does.
bool isPromoter(LineHost &Host, const std::string &Group, TimePoint Now) {
  if (!Host.m_Roles.m_IsHub || Host.m_IsDraining)
    return false;
  auto Order =
      orderHosts(Host.m_Members, "promote/" + Group, "", true, Now, Host.m_MembershipSettings);
  std::erase_if(Order, [&](const std::string &Id) { return !Host.m_Roles.m_Hubs.contains(Id); });
  auto FirstHub = std::ranges::find_if(
      Order, [&](const std::string &Id) { return knowsAllInstances(Host, Id, Now); });
  if (FirstHub == Order.end())
    FirstHub = Order.begin();
  return choosePromoter(Host.m_Takeovers[Group], Host.m_Members.m_Self,
                        FirstHub == Order.end() ? std::string() : *FirstHub, Now,
                        DefaultSettings) == Host.m_Members.m_Self;
}

// Whether this process knows every instance that may hold an acknowledged commit: from the record,
// or because it has been watching the list for long enough itself.
bool knowsRecord(const LineHost &Host, const Takeover &State, TimePoint Now) {
  return State.m_Duty.m_Token != 0 || Now - Host.m_StartedAt >= DefaultSettings.m_RejoinTimeout;
}

// Records which data centres are silent, and whether the store answers.
void noteBlindSpots(LineHost &Host, TimePoint Now) {
  auto IsHeard = [&](const PeerGossipState &Peer) {
    return Now - Peer.m_LastSeenAt < SpotSettings.m_SilenceTimeout;
  };
  bool IsOut = !Host.m_Store.m_IsReachable ||
               std::ranges::any_of(Host.m_GossipStates, [&](const auto &Entry) {
                 return Entry.second.m_IsWithoutStore && IsHeard(Entry.second);
               });
  noteStoreState(Host.m_StoreOutage, !IsOut, Now, SpotSettings);
  std::map<std::string, TimePoint> HeardAt;
  for (const auto &[Id, View] : Host.m_Members.m_Hosts)
    if (View.m_DataCentre != Host.m_Settings.m_DataCentre)
      HeardAt[View.m_DataCentre] = std::max(HeardAt[View.m_DataCentre], View.m_LastSeenAt);
  for (const auto &[DataCentre, At] : HeardAt)
    noteHeard(Host.m_BlindSpots[DataCentre], At, Host.m_StoreOutage, Host.m_StartedAt, Now,
              SpotSettings);
}

// Whether a promotion in a group waits for a data centre in which a replica may run that this host
// does not know.
bool mayLackReplica(const LineHost &Host, const LineGroup &Group, Takeover &State, TimePoint Now) {
  std::string DataCentre =
      findBlindSpot(Group, Host.m_BlindSpots, Now, SpotSettings, DefaultSettings);
  std::string Reason =
      DataCentre.empty() ? "" : "a replica may have started unlisted in " + DataCentre;
  if (!Reason.empty() && State.m_LastReason != Reason) {
    countEvent(*Host.m_Metrics, "takeover_postponed");
    logTakeover(Group, State, "takeover_postponed", Reason);
  }
  return !Reason.empty();
}

} // namespace

Awaitable<void> watchPrimaries(LineHost &Host) {
  std::map<std::string, TimePoint> PromoterSince;
  for (;;) {
    Duration CheckDelay = Host.m_Roles.m_IsHub ? CheckInterval : LeafCheckInterval;
    co_await sleepFor(Host.m_Io, CheckDelay);
    TimePoint Now = bootNow();
    if (Host.m_Roles.m_IsHub)
      noteBlindSpots(Host, Now);
    if (!knowsEvacuations(Host, Now))
      continue;
    for (auto &[Name, Group] : Host.m_Groups) {
      // An entry of another writer may name a group that no configuration does.
      bool IsConfigured = Host.m_Config && Host.m_Config->m_Groups.contains(Name);
      if (Group.m_Instances.empty() || !IsConfigured)
        continue;
      if (Host.m_Roles.m_IsHub)
        noteEndedInstances(Host, Group, Now);
      if (!isPromoter(Host, Name, Now)) {
        PromoterSince.erase(Name);
        Host.m_Takeovers[Name].m_UnreachableSince = {};
        continue;
      }
      TimePoint EligibleSince = PromoterSince.try_emplace(Name, Now).first->second;
      Takeover &State = Host.m_Takeovers[Name];
      if (State.m_UnreachableSince != TimePoint{} &&
          Now - State.m_UnreachableSince >= DefaultSettings.m_UnreachableTimeout &&
          Now - State.m_ReplicasAskedAt >= DefaultSettings.m_ReplicaProbeInterval &&
          hasCompleteInstances(Host, Now) && knowsRecord(Host, State, Now) &&
          !mayLackReplica(Host, Group, State, Now)) {
        State.m_ReplicasAskedAt = Now;
        spawnTask(Host, "probe_replicas", probeReplicas(Host, Name));
      }
      if (State.m_IsRunning || Now < State.m_NextAttemptAt)
        continue;
      auto EndAttempt = [&State, &Group] {
        State.m_IsRunning = false;
        if (State.m_Duty.m_OpenOrders.empty())
          Group.m_PendingGeneration = 0;
      };
      TakeoverAction Action = assessPrimary(Group, State, Now, DefaultSettings);
      // The primary is confirmed, if only by other hosts. Later failures of probes count anew.
      if (Action == TakeoverAction::None || Action == TakeoverAction::Resume ||
          Action == TakeoverAction::Switchover) {
        State.m_UnreachableSince = {};
        State.m_LacksCandidate = false;
      }
      bool IsSettled = Now - EligibleSince > DutyAcquisitionDelay;
      if (Action == TakeoverAction::Probe &&
          Now - State.m_ProbedAt > DefaultSettings.m_ProbeTimeout / 2) {
        State.m_IsRunning = true;
        State.m_ProbedAt = Now;
        spawnTask(Host, "probe_primary", probePrimary(Host, Name), EndAttempt);
      } else if (Action == TakeoverAction::Switchover || Action == TakeoverAction::Failover ||
                 Action == TakeoverAction::Finish) {
        if (!hasCompleteInstances(Host, Now) || wasJustLifted(Group, Now) ||
            (Action == TakeoverAction::Failover && mayLackReplica(Host, Group, State, Now)))
          continue;
        State.m_IsRunning = true;
        spawnTask(Host, "takeover", runTakeover(Host, Name, Action), EndAttempt);
      } else if (Action == TakeoverAction::Resume) {
        State.m_IsRunning = true;
        spawnTask(Host, "resume_replicas", resumeAllReplicas(Host, Name), EndAttempt);
      } else if (Action == TakeoverAction::None) {
        // A former holder may find an order that its successor has left open.
        bool IsHolder = State.m_Duty.m_Token != 0 && State.m_Duty.m_Token >= State.m_SeenToken;
        if (IsHolder && Now - State.m_RecordCheckedAt >= DefaultSettings.m_RecordInterval) {
          State.m_RecordCheckedAt = Now;
          State.m_IsRunning = true;
          spawnTask(Host, "maintain_record", maintainRecord(Host, Name), EndAttempt);
        } else if (IsSettled && !IsHolder) {
          State.m_NextAttemptAt = Now + DutyAcquisitionDelay;
          State.m_IsRunning = true;
          spawnTask(Host, "resume_replicas", resumeAllReplicas(Host, Name), EndAttempt);
        }
      }
    }
  }
}

} // namespace quetzalpaddle
