// Leases of hosts and the plan of rate slots (rate/CUSTOMER).
//
// A rate slot changes its holder only if the holder releases it, or if the holder's lease has run
// out and was marked as expired, so that two hosts never issue tokens for the same rate slot. The
// observer of a lease measures its duration, plus a margin for clock drift, with its own clock and
// from the time when it first saw the lease's last version. This is later than the start of the
// holder's own count.
//
// The number of rate slots increases when a data centre is added. All holders have to use the
// smaller share (m_RateDivisor) before the new rate slots can be acquired; otherwise the rate would
// be exceeded until every holder has read the object. A draining holder confirms the smaller share
// as well: nobody could acquire a new rate slot otherwise until it stops, and then all would be
// free at once. The number never decreases. Rate slots of a data centre without hosts are held by
// hosts elsewhere and released when the data centre has hosts again.
//
// Trade-off: a failed holder whose lease has not expired delays new rate slots, and its own rate
// slots issue no tokens for the lease duration and margin, 12.6 min. In return, no token is issued
// twice.
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

using Preferences = std::map<std::string, std::vector<std::string>>;

// Returns the hosts that may hold rate slots of a data centre: its own, or all hosts if it has
// none.
std::vector<std::string> listEligibleHosts(const Preferences &PreferredByDataCentre,
                                           const std::string &DataCentre) {
  auto OwnHosts = PreferredByDataCentre.find(DataCentre);
  if (OwnHosts != PreferredByDataCentre.end() && !OwnHosts->second.empty())
    return OwnHosts->second;
  std::vector<std::string> All;
  for (const auto &[Name, Hosts] : PreferredByDataCentre)
    All.insert(All.end(), Hosts.begin(), Hosts.end());
  return All;
}

std::string choosePreferredHost(const Preferences &PreferredByDataCentre,
                                const SlotAssignment &Slot) {
  std::vector<std::string> Hosts = listEligibleHosts(PreferredByDataCentre, Slot.m_DataCentre);
  return Hosts.empty() ? std::string() : Hosts[Slot.m_Number % Hosts.size()];
}

// Returns whether the holder's lease was marked as expired after it acquired the rate slot.
bool hasHolderLeaseExpired(const SlotAssignment &Slot,
                           const std::map<std::string, LeaseObservation> &Leases) {
  auto Observation = Leases.find(Slot.m_Holder);
  return Observation != Leases.end() && Observation->second.m_IsExpired &&
         Observation->second.m_Incarnation >= Slot.m_Incarnation;
}

// Returns whether Self releases a rate slot: for the hosts of the rate slot's data centre, or for a
// host without rate slots if Self holds several, so that one failure does not affect the whole
// share of a data centre.
bool shouldReleaseSlot(const std::vector<SlotAssignment> &Slots, const SlotAssignment &Slot,
                       const Preferences &PreferredByDataCentre, const std::string &Self) {
  std::vector<std::string> Hosts = listEligibleHosts(PreferredByDataCentre, Slot.m_DataCentre);
  if (Hosts.empty())
    return false;
  if (std::ranges::find(Hosts, Self) == Hosts.end())
    return true;
  std::string PreferredHost = choosePreferredHost(PreferredByDataCentre, Slot);
  auto CountOf = [&](const std::string &Host) {
    return std::ranges::count_if(Slots, [&](const SlotAssignment &S) {
      return S.m_DataCentre == Slot.m_DataCentre && S.m_Holder == Host;
    });
  };
  return PreferredHost != Self && CountOf(Self) > 1 && CountOf(PreferredHost) == 0;
}

void clearHolder(SlotAssignment &Slot) {
  Slot.m_Holder.clear();
  Slot.m_Incarnation = 0;
  Slot.m_RateDivisor = 0;
}

} // namespace

bool hasLeaseExpired(const LeaseObservation &Observation, TimePoint Now,
                     const RateSettings &Settings) {
  if (Observation.m_IsExpired)
    return true;
  if (Observation.m_UnchangedSince == TimePoint{}) // lease not observed yet
    return false;
  std::chrono::duration<double> Waited = Now - Observation.m_UnchangedSince;
  return Waited >=
         std::chrono::duration<double>(Settings.m_LeaseDuration) * (1 + Settings.m_DriftMargin);
}

SlotPlan planSlots(const std::vector<SlotAssignment> &Current,
                   const Preferences &PreferredByDataCentre, const std::string &Self,
                   uint64_t SelfIncarnation, SlotPhase SelfPhase,
                   const std::map<std::string, LeaseObservation> &Leases, TimePoint Now,
                   const RateSettings &Settings) {
  SlotPlan Plan;
  Plan.m_Slots = Current;
  for (const auto &[DataCentre, Hosts] : PreferredByDataCentre) {
    if (Hosts.empty() || SelfPhase == SlotPhase::Draining)
      continue;
    for (uint32_t Number = 0; Number < Settings.m_SlotsPerDataCentre; ++Number) {
      auto IsSame = [&, &SlotDataCentre = DataCentre](const SlotAssignment &S) {
        return S.m_DataCentre == SlotDataCentre && S.m_Number == Number;
      };
      if (std::ranges::none_of(Current, IsSame)) {
        SlotAssignment NewSlot;
        NewSlot.m_DataCentre = DataCentre;
        NewSlot.m_Number = Number;
        Plan.m_Slots.push_back(std::move(NewSlot));
        Plan.m_HasChanged = true;
      }
    }
  }
  auto SlotCount = static_cast<uint32_t>(Plan.m_Slots.size());
  for (SlotAssignment &Slot : Plan.m_Slots) {
    if (Slot.m_Holder != Self || Self.empty())
      continue;
    bool IsReleased = SelfPhase == SlotPhase::Releasing ||
                      (SelfPhase == SlotPhase::Serving &&
                       shouldReleaseSlot(Plan.m_Slots, Slot, PreferredByDataCentre, Self));
    if (IsReleased) {
      clearHolder(Slot);
      Plan.m_HasChanged = true;
    } else if (Slot.m_Incarnation != SelfIncarnation || Slot.m_RateDivisor != SlotCount) {
      Slot.m_Incarnation = SelfIncarnation;
      Slot.m_RateDivisor = SlotCount;
      Plan.m_HasChanged = true;
    }
  }
  if (SelfPhase != SlotPhase::Serving)
    return Plan;
  bool IsDivisorConfirmed = std::ranges::all_of(Plan.m_Slots, [&](const SlotAssignment &S) {
    return S.m_Holder.empty() || S.m_RateDivisor == SlotCount || hasHolderLeaseExpired(S, Leases);
  });
  for (SlotAssignment &Slot : Plan.m_Slots) {
    if (Slot.m_Holder == Self || choosePreferredHost(PreferredByDataCentre, Slot) != Self)
      continue;
    auto Observation = Leases.find(Slot.m_Holder);
    bool IsFree = Slot.m_Holder.empty() || hasHolderLeaseExpired(Slot, Leases);
    if (IsFree && IsDivisorConfirmed) {
      Slot.m_Holder = Self;
      Slot.m_Incarnation = SelfIncarnation;
      Slot.m_RateDivisor = SlotCount;
      Plan.m_HasChanged = true;
    } else if (!IsFree && Observation != Leases.end() && !Observation->second.m_IsExpired &&
               Observation->second.m_Incarnation >= Slot.m_Incarnation &&
               hasLeaseExpired(Observation->second, Now, Settings) &&
               std::ranges::find(Plan.m_LeasesToExpire, Slot.m_Holder) ==
                   Plan.m_LeasesToExpire.end()) {
      Plan.m_LeasesToExpire.push_back(Slot.m_Holder);
    }
  }
  return Plan;
}

} // namespace quetzalpaddle
