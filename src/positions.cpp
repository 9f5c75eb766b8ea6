// History of confirmed positions and the choice of an instance for a read.
//
// A read requires the lowest of all positions that are confirmed recently enough. Most replicas
// qualify for it, and a replica that lags by less than the staleness a read accepts can still serve
// it.
#include "positions.h"

#include "balance.h"
#include "explain.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quetzalpaddle {

namespace {

// Minimum distance in time between two entries of the history. Closer ones add no information; it
// bounds the history to some hundred entries.
constexpr Millis HistoryResolution{20};
// Covers the longest staleness that a route accepts (2,500 ms) plus the time in queues.
constexpr Millis HistoryMaxAge{6000};
// Duration of a statement at an instance. Outstanding statements of this host beyond the instance's
// slots add a share of it to the wait that the dispatcher last reported.
constexpr Millis EstimatedStatementTime{25};
// The same for each outstanding statement that finds a slot, so that equal instances share the
// load.
constexpr Millis OccupiedSlotCost{3};
// Cost of an instance in another data centre, as waiting time.
constexpr Millis CrossDataCentrePenalty{4};
// Cost of a replica whose last answer did not show the required position.
constexpr Millis UnconfirmedPositionPenalty{15};
// Cost of the primary. It alone can run writes, so reads go there only if the replicas are clearly
// busier.
constexpr Millis PrimaryPenalty{20};
// Back-off from an instance after failures; doubles with each consecutive one.
constexpr Millis MinBackoff{100};
constexpr Millis MaxBackoff{1600};
// Back-off from a replica that refused a read because its log lags; doubles with each consecutive
// refusal. Its first value is a usual lag, the last one bounds how late its return is noticed.
constexpr Millis MinLaggingBackoff{60};
constexpr Millis MaxLaggingBackoff{480};
// Duration of a normal recovery: 1 s until the primary counts as unreachable, 1 s for the
// promotion, and 1 s to inform the hosts and open new connections.
constexpr Millis ExpectedRecoveryTime{3000};
// Time after which an unfinished promotion is disregarded, since the host that ran it may have
// died.
constexpr Millis PendingPromotionTimeout{4000};
// A replica that has been listed for this long is known to every host that promotes: longer than a
// promotion takes from the list of instances to its effect.
constexpr Millis MinKnownTime{3000};

// A host that hears all hubs, each within 0.5 s, knows of a lift after this time.
constexpr Millis LiftSettleTime{1000};

// Clears the history, because positions of the previous primary may have been rolled back and no
// replica would ever reach them.
void setPrimary(LineGroup &Group, const std::string &Instance, TimePoint Now) {
  Group.m_Primary = Instance;
  Group.m_PrimarySince = Now;
  Group.m_History.m_ConfirmedPositions.clear();
  Group.m_ReplicaHistory.m_ConfirmedPositions.clear();
}

} // namespace

void addConfirmedPosition(PositionHistory &History, const ConfirmedPosition &New, TimePoint Now) {
  auto &Entries = History.m_ConfirmedPositions;
  while (!Entries.empty() && Now - Entries.front().m_SentAt > HistoryMaxAge)
    Entries.pop_front();
  auto Place = std::ranges::upper_bound(Entries, New.m_SentAt, {}, &ConfirmedPosition::m_SentAt);
  if (Place != Entries.begin() && New.m_SentAt - std::prev(Place)->m_SentAt < HistoryResolution &&
      Place != Entries.end())
    return;
  // The newest entry is replaced until it is HistoryResolution newer than the one before it.
  if (Place == Entries.end() && Entries.size() >= 2 &&
      Entries.back().m_SentAt - Entries[Entries.size() - 2].m_SentAt < HistoryResolution)
    Entries.back() = New;
  else
    Entries.insert(Place, New);
}

std::optional<Position> lowestPositionSince(const PositionHistory &History, TimePoint Since) {
  auto First = std::ranges::lower_bound(History.m_ConfirmedPositions, Since, {},
                                        &ConfirmedPosition::m_SentAt);
  if (First == History.m_ConfirmedPositions.end())
    return std::nullopt;
  return std::ranges::min_element(First, History.m_ConfirmedPositions.end(), {},
                                  &ConfirmedPosition::m_Position)
      ->m_Position;
}

std::optional<ConfirmedPosition> newestConfirmedPosition(const PositionHistory &History) {
  if (History.m_ConfirmedPositions.empty())
    return std::nullopt;
  return History.m_ConfirmedPositions.back();
}

void noteRole(LineGroup &Group, const std::string &Instance, bool ReportsPrimary, TimePoint Now) {
  auto It = Group.m_Instances.find(Instance);
  if (It == Group.m_Instances.end())
    return;
  bool WasPrimary = std::exchange(It->second.m_ReportsPrimary, ReportsPrimary);
  if (ReportsPrimary && (!WasPrimary || Group.m_Primary.empty()) && Group.m_Primary != Instance) {
    setPrimary(Group, Instance, Now);
    Group.m_PendingGeneration = 0;
  } else if (!ReportsPrimary && WasPrimary && Group.m_Primary == Instance) {
    noteNotPrimary(Group, Instance, Now);
  }
}

void noteConfirmedPrimary(LineGroup &Group, const std::string &Instance, TimePoint Now) {
  if (Group.m_Primary != Instance)
    setPrimary(Group, Instance, Now);
}

void noteReportedConfirmation(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                              const ConfirmedPosition &Confirmation, TimePoint Now) {
  if (Primary != Group.m_Primary) {
    std::optional<ConfirmedPosition> Own = newestConfirmedPosition(Group.m_History);
    bool IsOutdated = Generation < Group.m_Generation ||
                      Confirmation.m_SentAt <= Group.m_PrimarySince ||
                      (Own && Confirmation.m_SentAt <= Own->m_SentAt);
    if (IsOutdated || !Group.m_Instances.contains(Primary))
      return;
    setPrimary(Group, Primary, Now);
  }
  addConfirmedPosition(Group.m_History, Confirmation, Now);
}

void notePromotion(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                   TimePoint Now) {
  if (Generation <= Group.m_Generation)
    return;
  Group.m_Generation = Generation;
  if (Group.m_PendingGeneration <= Generation)
    Group.m_PendingGeneration = 0;
  if (Group.m_SuccessorToken <= Generation)
    Group.m_Successors.clear();
  if (Group.m_Primary != Primary)
    setPrimary(Group, Primary, Now);
}

void notePendingPromotion(LineGroup &Group, uint64_t Generation, TimePoint Now) {
  if (Generation <= std::max(Group.m_Generation, Group.m_SettledGeneration))
    return;
  Group.m_PendingGeneration = Generation;
  Group.m_PendingGenerationAt = Now;
}

void noteSettledAttempts(LineGroup &Group, uint64_t Generation) {
  Group.m_SettledGeneration = std::max(Group.m_SettledGeneration, Generation);
  if (Group.m_PendingGeneration <= Group.m_SettledGeneration)
    Group.m_PendingGeneration = 0;
  if (Group.m_SuccessorToken <= Group.m_SettledGeneration)
    Group.m_Successors.clear();
}

void noteSuccessors(LineGroup &Group, const std::set<std::string> &Successors, uint64_t Token) {
  if (Token <= std::max(Group.m_Generation, Group.m_SettledGeneration) ||
      Token < Group.m_SuccessorToken)
    return;
  Group.m_Successors = Successors;
  Group.m_SuccessorToken = Token;
}

void noteReplicaConfirmation(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                             const ConfirmedPosition &Confirmation, TimePoint Now) {
  if (Primary == Group.m_Primary && Generation == Group.m_Generation)
    addConfirmedPosition(Group.m_ReplicaHistory, Confirmation, Now);
}

std::optional<Position> requiredPositionSince(const LineGroup &Group, TimePoint Since) {
  std::optional<Position> ByPrimary = lowestPositionSince(Group.m_History, Since);
  std::optional<Position> ByReplicas = lowestPositionSince(Group.m_ReplicaHistory, Since);
  if (ByPrimary && ByReplicas)
    return std::min(*ByPrimary, *ByReplicas);
  return ByPrimary ? ByPrimary : ByReplicas;
}

void noteNotPrimary(LineGroup &Group, const std::string &Instance, TimePoint Now) {
  if (Group.m_Primary != Instance)
    return;
  auto Other = std::ranges::find_if(Group.m_Instances, [&](const auto &Entry) {
    return Entry.first != Instance && Entry.second.m_ReportsPrimary && !Entry.second.m_IsLeaving;
  });
  setPrimary(Group, Other == Group.m_Instances.end() ? "" : Other->first, Now);
}

void noteFailure(LineInstance &Instance, TimePoint Now) {
  Instance.m_Backoff = std::clamp<Duration>(Instance.m_Backoff * 2, MinBackoff, MaxBackoff);
  Instance.m_BackoffUntil = Now + Instance.m_Backoff;
}

void noteSuccess(LineInstance &Instance, Position Applied, TimePoint Now) {
  Instance.m_Backoff = Duration::zero();
  Instance.m_LaggingBackoff = Duration::zero();
  Instance.m_AppliedPosition = std::max(Instance.m_AppliedPosition, Applied);
  Instance.m_AppliedAt = Now;
}

void noteLagging(LineInstance &Instance, TimePoint Now) {
  // Refusals of statements sent before the last one was answered tell nothing new.
  if (Now < Instance.m_BackoffUntil)
    return;
  Instance.m_LaggingBackoff =
      std::clamp<Duration>(Instance.m_LaggingBackoff * 2, MinLaggingBackoff, MaxLaggingBackoff);
  Instance.m_BackoffUntil = Now + Instance.m_LaggingBackoff;
}

void noteExpectedWait(LineInstance &Instance, Duration Wait, TimePoint ReportedAt) {
  if (ReportedAt < Instance.m_ExpectedWaitAt)
    return;
  Instance.m_ExpectedWait = Wait;
  Instance.m_ExpectedWaitAt = ReportedAt;
}

namespace {

// Estimates what the outstanding statements of this host add to the wait for a slot.
Duration estimateOwnWait(const LineInstance &Inst) {
  uint32_t SlotCount = std::max<uint32_t>(Inst.m_SlotCount, 1);
  uint32_t QueuedCount =
      Inst.m_OutstandingCount < SlotCount ? 0 : Inst.m_OutstandingCount + 1 - SlotCount;
  return (QueuedCount * Duration(EstimatedStatementTime) +
          Inst.m_OutstandingCount * Duration(OccupiedSlotCost)) /
         SlotCount;
}

} // namespace

Exclusion readExclusion(const LineGroup &Group, const LineInstance &Candidate,
                        const LineReadRequirements &Requirements, TimePoint Now) {
  if (!Candidate.m_IsListed)
    return Exclusion::NotListed;
  if (Candidate.m_IsLeaving)
    return Exclusion::Leaving;
  if (!acceptsReads(Candidate.m_Evacuation))
    return Exclusion::Evacuated;
  if (Requirements.m_TriedInstances && Requirements.m_TriedInstances->contains(Candidate.m_Id))
    return Exclusion::AlreadyTried;
  if (Now < Candidate.m_BackoffUntil)
    return Exclusion::BackOff;
  if (Requirements.m_MinPosition || Candidate.m_Id == Group.m_Primary)
    return Exclusion::None;
  bool HasAnyPosition =
      newestConfirmedPosition(Group.m_History) || newestConfirmedPosition(Group.m_ReplicaHistory);
  return HasAnyPosition ? Exclusion::PositionTooOld : Exclusion::PositionUnknown;
}

BalanceCandidate makeBalanceCandidate(const LineGroup &Group, const LineInstance &Candidate,
                                      const LineReadRequirements &Requirements) {
  BalanceCandidate Result;
  Result.m_ReportedWait = Candidate.m_ExpectedWait;
  Result.m_ReportedAt = Candidate.m_ExpectedWaitAt;
  Result.m_OwnWait = estimateOwnWait(Candidate);
  if (Candidate.m_DataCentre != Requirements.m_DataCentre)
    Result.m_Penalty += CrossDataCentrePenalty;
  if (Candidate.m_Id == Group.m_Primary)
    Result.m_Penalty += PrimaryPenalty;
  else if (Requirements.m_MinPosition && Candidate.m_AppliedPosition < *Requirements.m_MinPosition)
    Result.m_Penalty += UnconfirmedPositionPenalty;
  return Result;
}

std::string chooseReadInstance(const LineGroup &Group, const LineReadRequirements &Requirements,
                               TimePoint Now) {
  std::vector<std::string> Ids;
  std::vector<BalanceCandidate> Candidates;
  for (const auto &[Id, Inst] : Group.m_Instances) {
    if (readExclusion(Group, Inst, Requirements, Now) != Exclusion::None)
      continue;
    Ids.push_back(Id);
    Candidates.push_back(makeBalanceCandidate(Group, Inst, Requirements));
  }
  if (Candidates.empty())
    return {};
  return Ids[chooseCandidate(Candidates, Requirements.m_Draw, Now, BalanceSettings{})];
}

bool isPromotionPending(const LineGroup &Group, TimePoint Now) {
  return Group.m_PendingGeneration != 0 &&
         Now - Group.m_PendingGenerationAt < PendingPromotionTimeout;
}

bool mayAcknowledge(const LineGroup &Group, const std::string &Instance, Position Committed,
                    TimePoint Now) {
  auto NewestPosition = newestConfirmedPosition(Group.m_History);
  if (Instance != Group.m_Primary && NewestPosition &&
      Committed.m_Term > NewestPosition->m_Position.m_Term)
    return true;
  return Group.m_Primary == Instance && !isPromotionPending(Group, Now);
}

std::optional<RequiredHolders> listRequiredHolders(const LineGroup &Group,
                                                   const std::string &Instance, bool HearsAllHubs,
                                                   TimePoint Now) {
  RequiredHolders Required;
  if (!Group.m_Successors.empty()) {
    Required.m_Replicas = Group.m_Successors;
    Required.m_Replicas.erase(Instance);
    Required.m_Count = Required.m_Replicas.size();
    return Required.m_Count == 0 ? std::nullopt : std::optional(Required);
  }
  if (HearsAllHubs || Group.m_SyncReplicas == 0)
    return std::nullopt;
  for (const auto &[Id, Replica] : Group.m_Instances)
    if (Id != Instance && Now - Replica.m_KnownSince >= MinKnownTime)
      Required.m_Replicas.insert(Id);
  // A promotion leaves out fewer than syncReplicas of them.
  Required.m_Count =
      std::clamp<size_t>(Group.m_SyncReplicas, 1, std::max<size_t>(Required.m_Replicas.size(), 1));
  return Required;
}

bool isPromotionExcluded(const LineGroup &Group, const std::string &Instance) {
  // An order that was sent before may still be carried out.
  if (Group.m_PendingGeneration != 0 || !Group.m_Successors.empty())
    return false;
  auto ClosedCount = std::ranges::count_if(Group.m_Instances, [&](const auto &Entry) {
    return Entry.first != Instance && Entry.second.m_IsListed &&
           !acceptsCommands(Entry.second.m_Evacuation);
  });
  return ClosedCount >= static_cast<long>(std::max<uint32_t>(Group.m_SyncReplicas, 1));
}

bool wasJustLifted(const LineGroup &Group, TimePoint Now) {
  return std::ranges::any_of(Group.m_Instances, [&](const auto &Entry) {
    return Entry.second.m_LiftedAt != TimePoint{} && Now - Entry.second.m_LiftedAt < LiftSettleTime;
  });
}

bool holdsCommit(Position Received, Position Committed) {
  return Received.m_Term == Committed.m_Term && Received >= Committed;
}

bool expectsPrimary(const LineGroup &Group, TimePoint Now) {
  if (isPromotionPending(Group, Now))
    return true;
  auto NewestPosition = newestConfirmedPosition(Group.m_History);
  TimePoint Last =
      std::max(Group.m_PrimarySince, NewestPosition ? NewestPosition->m_SentAt : TimePoint{});
  return Now - Last < ExpectedRecoveryTime;
}

bool isEvacuated(const LineGroup &Group, bool PrimaryOnly) {
  auto Primary = Group.m_Instances.find(Group.m_Primary);
  if (Primary == Group.m_Instances.end() || acceptsStatements(Primary->second.m_Evacuation))
    return false;
  return PrimaryOnly || std::ranges::none_of(Group.m_Instances, [](const auto &Entry) {
           return Entry.second.m_IsListed && acceptsReads(Entry.second.m_Evacuation);
         });
}

Exclusion primaryExclusion(const LineGroup &Group, TimePoint Now) {
  if (isPromotionPending(Group, Now))
    return Exclusion::PromotionPending;
  auto It = Group.m_Instances.find(Group.m_Primary);
  if (It == Group.m_Instances.end())
    return Exclusion::Unknown;
  if (!It->second.m_IsListed)
    return Exclusion::NotListed;
  if (!acceptsStatements(It->second.m_Evacuation))
    return Exclusion::Evacuated;
  bool AcceptsWork = !It->second.m_IsLeaving || Now < It->second.m_AcceptsWorkUntil;
  return AcceptsWork ? Exclusion::None : Exclusion::Leaving;
}

bool hasPrimary(const LineGroup &Group, TimePoint Now) {
  return primaryExclusion(Group, Now) == Exclusion::None;
}

} // namespace quetzalpaddle
