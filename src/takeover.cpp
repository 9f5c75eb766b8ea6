// Failure detection and the choice of a new primary.
#include "takeover.h"

#include <algorithm>
#include <tuple>

namespace quetzalpaddle {

TakeoverAction assessPrimary(const LineGroup &Group, const Takeover &State, TimePoint Now,
                             const TakeoverSettings &Settings) {
  if (!State.m_Duty.m_OpenOrders.empty())
    return TakeoverAction::Finish;
  auto It = Group.m_Instances.find(Group.m_Primary);
  bool IsLeaving = It != Group.m_Instances.end() &&
                   (It->second.m_IsLeaving || !mayBePromoted(It->second.m_Evacuation));
  std::optional<ConfirmedPosition> NewestPosition = newestConfirmedPosition(Group.m_History);
  bool IsConfirmed = NewestPosition && Now - NewestPosition->m_SentAt < Settings.m_SuspectTimeout &&
                     NewestPosition->m_SentAt > Group.m_PrimarySince;
  // A switchover needs the answer of the primary. One that is not confirmed may have crashed, or
  // ended as planned, and is probed first.
  if (IsConfirmed && IsLeaving)
    return TakeoverAction::Switchover;
  bool WritesStall =
      Group.m_WritesStalled && Now - Group.m_WritesStalledAt < Settings.m_SuspectTimeout;
  // Stalled writes do not start a failover: the cause may be suspended replicas, and those lack the
  // newest commits of the primary.
  bool NeedsResume = WritesStall || !State.m_SuspendedReplicas.empty();
  if (IsConfirmed && NeedsResume && Now - State.m_ResumedAt >= Settings.m_ResumeInterval)
    return TakeoverAction::Resume;
  if (IsConfirmed)
    return TakeoverAction::None;
  bool ProbesFail = State.m_UnreachableSince != TimePoint{};
  if (ProbesFail && Now - State.m_UnreachableSince >= Settings.m_UnreachableTimeout)
    return TakeoverAction::Failover;
  return TakeoverAction::Probe;
}

void noteAnnouncedToken(Takeover &State, const std::string &Holder, uint64_t Token, TimePoint Now) {
  if (Token < State.m_SeenToken)
    return;
  if (Token > State.m_SeenToken) {
    State.m_SeenToken = Token;
    State.m_TokenFirstSeenAt = Now;
  }
  State.m_AnnouncedHolder = Holder;
  State.m_AnnouncedAt = Now;
}

std::string choosePromoter(const Takeover &State, const std::string &Self,
                           const std::string &FirstInOrder, TimePoint Now,
                           const TakeoverSettings &Settings) {
  if (State.m_Duty.m_Token > State.m_SeenToken)
    return Self;
  if (!State.m_AnnouncedHolder.empty() &&
      Now - State.m_AnnouncedAt < Settings.m_AnnouncementTimeout)
    return State.m_AnnouncedHolder;
  return FirstInOrder;
}

TimePoint findGraceEnd(const Takeover &State, const TakeoverSettings &Settings) {
  return State.m_TokenFirstSeenAt + Settings.m_HolderGracePeriod;
}

bool mayTakeDuty(Takeover &State, const PromotionDuty &Stored, const std::string &Self,
                 uint64_t Incarnation, TimePoint Now, const TakeoverSettings &Settings) {
  if (Stored.m_Token == 0 || Stored.m_Holder == Self || Incarnation > Stored.m_Incarnation)
    return true;
  if (State.m_SeenToken != Stored.m_Token) {
    State.m_SeenToken = Stored.m_Token;
    State.m_TokenFirstSeenAt = Now;
  }
  return Now - State.m_TokenFirstSeenAt >= Settings.m_HolderGracePeriod;
}

bool hasEnded(const LineInstance &Instance, TimePoint Now, const TakeoverSettings &Settings) {
  bool HasLeft = Instance.m_IsLeaving && Instance.m_EndedAt != TimePoint{};
  return !Instance.m_IsListed &&
         (HasLeft || Now - Instance.m_UnlistedSince >= Settings.m_RejoinTimeout);
}

bool haveEnded(const LineGroup &Group, const std::set<std::string> &Ids, TimePoint Now,
               const TakeoverSettings &Settings) {
  return std::ranges::all_of(Ids, [&](const std::string &Id) {
    auto It = Group.m_Instances.find(Id);
    return It != Group.m_Instances.end() && hasEnded(It->second, Now, Settings);
  });
}

Position heldPosition(const LineStatus &Status) {
  return Status.m_ReceivedPosition.m_Index == 0 ? Position() : Status.m_ReceivedPosition;
}

// Whether an instance holds nothing although it may have held acknowledged commits: it has started
// again under its id, and what it held is gone.
static bool hasForgotten(const LineGroup &Group, const std::string &Id, const LineStatus &Status) {
  auto It = Group.m_Instances.find(Id);
  return It != Group.m_Instances.end() && It->second.m_IsRecorded &&
         heldPosition(Status) == Position();
}

std::string chooseFailoverCandidate(const LineGroup &Group, const SuspendResponses &Responses,
                                    const std::set<std::string> &OpenOrders, TimePoint Now,
                                    const TakeoverSettings &Settings) {
  auto Rank = [&](const auto &Entry) {
    auto It = Group.m_Instances.find(Entry.first);
    bool IsStaying =
        It != Group.m_Instances.end() && !It->second.m_IsLeaving && It->second.m_IsListed;
    return std::tuple(heldPosition(Entry.second), OpenOrders.contains(Entry.first), IsStaying);
  };
  auto IsEligible = [&](const std::string &Id) {
    auto It = Group.m_Instances.find(Id);
    return It == Group.m_Instances.end() || mayBePromoted(It->second.m_Evacuation) ||
           OpenOrders.contains(Id);
  };
  auto LongestLog = Responses.m_Replicas.end();
  for (auto It = Responses.m_Replicas.begin(); It != Responses.m_Replicas.end(); ++It)
    if (IsEligible(It->first) &&
        (LongestLog == Responses.m_Replicas.end() || Rank(*LongestLog) < Rank(*It)))
      LongestLog = It;
  if (LongestLog == Responses.m_Replicas.end())
    return {};
  // What a longer log holds beyond the candidate's would be lost.
  std::set<std::string> MissingReplicas = Responses.m_MissingReplicas;
  for (const auto &[Id, Status] : Responses.m_Replicas)
    if (heldPosition(Status) > heldPosition(LongestLog->second) || hasForgotten(Group, Id, Status))
      MissingReplicas.insert(Id);
  // Every acknowledged commit is on at least m_SyncReplicas replicas. If fewer than that are
  // missing, at least one of the others holds it.
  if (MissingReplicas.size() < std::max<uint32_t>(Group.m_SyncReplicas, 1))
    return LongestLog->first;
  bool MissingAreObsolete = std::ranges::all_of(MissingReplicas, [&](const std::string &Id) {
    auto It = Group.m_Instances.find(Id);
    if (It == Group.m_Instances.end())
      return true;
    const LineInstance &Inst = It->second;
    bool HasEnded = hasEnded(Inst, Now, Settings);
    TimePoint EndedBy = HasEnded ? std::max(Inst.m_UnlistedSince, Inst.m_EndedAt) : Inst.m_RebornAt;
    std::optional<Position> ConfirmedAfter = HasEnded || Inst.m_RebornAt != TimePoint{}
                                                 ? lowestPositionSince(Group.m_History, EndedBy)
                                                 : std::nullopt;
    return ConfirmedAfter && *ConfirmedAfter <= LongestLog->second.m_ReceivedPosition;
  });
  return MissingAreObsolete ? LongestLog->first : std::string();
}

std::optional<Position> findReplicatedPosition(const LineGroup &Group,
                                               const std::map<std::string, LineStatus> &Statuses,
                                               TimePoint Now, const TakeoverSettings &Settings) {
  bool IsAnyPrimary =
      std::ranges::any_of(Statuses, [](const auto &Entry) { return Entry.second.m_IsPrimary; });
  if (Group.m_SyncReplicas == 0 || IsAnyPrimary)
    return std::nullopt;
  SuspendResponses Responses;
  Responses.m_Replicas = Statuses;
  Responses.m_Replicas.erase(Group.m_Primary);
  for (const auto &[Id, Instance] : Group.m_Instances)
    if (Id != Group.m_Primary && !Statuses.contains(Id))
      Responses.m_MissingReplicas.insert(Id);
  std::string Longest = chooseFailoverCandidate(Group, Responses, {}, Now, Settings);
  if (Longest.empty())
    return std::nullopt;
  Position Held = heldPosition(Responses.m_Replicas.at(Longest));
  auto Confirmed = newestConfirmedPosition(Group.m_History);
  if (Held == Position{} || (Confirmed && Confirmed->m_Position > Held))
    return std::nullopt;
  return Held;
}

std::string findReportedPrimary(const std::map<std::string, LineStatus> &Statuses) {
  auto Newest = std::ranges::max_element(Statuses, {}, [](const auto &Entry) {
    return std::pair(Entry.second.m_Term, Entry.second.m_IsPrimary);
  });
  return Newest != Statuses.end() && Newest->second.m_IsPrimary ? Newest->first : std::string();
}

std::string chooseSwitchoverCandidate(const LineGroup &Group,
                                      const std::map<std::string, LineStatus> &Replicas,
                                      const std::set<std::string> &OpenOrders, TimePoint Now,
                                      const TakeoverSettings &Settings) {
  for (const std::string &Id : OpenOrders) {
    if (Replicas.contains(Id))
      return Id;
    if (!haveEnded(Group, {Id}, Now, Settings))
      return {};
  }
  const std::string *Best = nullptr;
  Position BestPosition;
  for (const auto &[Id, Status] : Replicas) {
    auto It = Group.m_Instances.find(Id);
    if (It == Group.m_Instances.end() || It->second.m_IsLeaving || !It->second.m_IsListed ||
        Status.m_IsPrimary || !mayBePromoted(It->second.m_Evacuation))
      continue;
    if (!Best || Status.m_ReceivedPosition > BestPosition) {
      Best = &Id;
      BestPosition = Status.m_ReceivedPosition;
    }
  }
  return Best ? *Best : std::string();
}

} // namespace quetzalpaddle
