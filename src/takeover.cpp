// Failure detection and the choice of a new primary.
#include "takeover.h"

#include <algorithm>

namespace quetzalpaddle {

TakeoverNeed assessPrimary(const LineGroup &Group, const Takeover &State, TimePoint Now,
                           const TakeoverSettings &Settings) {
  auto Found = Group.m_Instances.find(Group.m_Primary);
  bool Known = Found != Group.m_Instances.end();
  if (Known && Found->second.m_Leaving)
    return TakeoverNeed::Replace;
  std::optional<Proof> Newest = newestProof(Group.m_History);
  bool Proved =
      Newest && Now - Newest->m_At < Settings.m_SuspectAfter && Newest->m_At > Group.m_PrimarySince;
  bool Stalled = Group.m_WritesStalled && Now - Group.m_WritesStalledAt < Settings.m_SuspectAfter;
  // A primary that stalls is not replaced: replicas that receive nothing lack what it has.
  if (Proved && Stalled && Now - State.m_ResumedAt >= Settings.m_ResumeAgain)
    return TakeoverNeed::Resume;
  if (Proved)
    return TakeoverNeed::None;
  bool Missing = State.m_MissingSince != TimePoint{};
  if (Missing && Now - State.m_MissingSince >= Settings.m_ConfirmFor)
    return TakeoverNeed::Force;
  return TakeoverNeed::Probe;
}

void noteHeardToken(Takeover &State, const std::string &Holder, uint64_t Token, TimePoint Now) {
  if (Token < State.m_SeenToken)
    return;
  if (Token > State.m_SeenToken) {
    State.m_SeenToken = Token;
    State.m_SeenAt = Now;
  }
  State.m_Told = Holder;
  State.m_ToldAt = Now;
}

std::string choosePromoter(const Takeover &State, const std::string &Self,
                           const std::string &FirstInOrder, TimePoint Now,
                           const TakeoverSettings &Settings) {
  if (State.m_Duty.m_Token > State.m_SeenToken)
    return Self;
  if (!State.m_Told.empty() && Now - State.m_ToldAt < Settings.m_ToldFor)
    return State.m_Told;
  return FirstInOrder;
}

TimePoint findGraceEnd(const Takeover &State, const TakeoverSettings &Settings) {
  return State.m_SeenAt + Settings.m_HolderGrace;
}

bool mayTakeDuty(Takeover &State, const PromotionDuty &Stored, const std::string &Self,
                 uint64_t Incarnation, TimePoint Now, const TakeoverSettings &Settings) {
  if (Stored.m_Token == 0 || Stored.m_Holder == Self || Incarnation > Stored.m_Incarnation)
    return true;
  if (State.m_SeenToken != Stored.m_Token) {
    State.m_SeenToken = Stored.m_Token;
    State.m_SeenAt = Now;
  }
  return Now - State.m_SeenAt >= Settings.m_HolderGrace;
}

std::string chooseSuccessor(const LineGroup &Group, const TakeoverBallot &Ballot) {
  auto Rank = [&](const auto &Entry) {
    auto Found = Group.m_Instances.find(Entry.first);
    bool Stays = Found != Group.m_Instances.end() && !Found->second.m_Leaving;
    return std::pair(Entry.second.m_Received, Stays);
  };
  auto Longest = std::ranges::max_element(Ballot.m_Replicas, {}, Rank);
  if (Longest == Ballot.m_Replicas.end())
    return {};
  // A commit is on m_SyncReplicas of the replicas at least: without one of them it is still on
  // another only if more replicas are required than are missing.
  if (Ballot.m_Missing.size() < std::max<uint32_t>(Group.m_SyncReplicas, 1))
    return Longest->first;
  bool AllGone = std::ranges::all_of(Ballot.m_Missing, [&](const std::string &Id) {
    auto Found = Group.m_Instances.find(Id);
    if (Found == Group.m_Instances.end())
      return true;
    const LineInstance &I = Found->second;
    std::optional<Position> After =
        I.m_Listed ? std::nullopt : positionSince(Group.m_History, I.m_UnlistedSince);
    return After && *After <= Longest->second.m_Received;
  });
  return AllGone ? Longest->first : std::string();
}

std::string chooseHeir(const LineGroup &Group, const std::map<std::string, LineStatus> &Replicas) {
  const std::string *Best = nullptr;
  Position Held;
  for (const auto &[Id, Status] : Replicas) {
    auto Found = Group.m_Instances.find(Id);
    if (Found == Group.m_Instances.end() || Found->second.m_Leaving || Status.m_Primary)
      continue;
    if (!Best || Status.m_Received > Held) {
      Best = &Id;
      Held = Status.m_Received;
    }
  }
  return Best ? *Best : std::string();
}

} // namespace quetzalpaddle
