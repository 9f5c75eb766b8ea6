// Leases of hosts and the plan of rate slots (rate/CUSTOMER).
//
// A slot changes hands only by its holder's release or after the holder's lease was waited out and
// marked expired, so that no two hosts ever issue tokens for one slot. The observer waits on its
// own clock from when it saw the lease's last version, which is later than the holder's own count,
// plus a margin for clock drift.
//
// The number of slots grows when a data centre is added: first all holders have to use the smaller
// share (m_Split), then the new slots may be taken. Taking them at once would exceed the rate until
// every holder has read the object. The number never shrinks; slots of a data centre without hosts
// are taken by hosts elsewhere and given back when it has hosts again.
//
// Trade-off: one holder that is down without its lease being over delays new slots, and after a
// failure its slots idle for the lease, 12.6 min; in return nothing is counted twice.
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

using Preferences = std::map<std::string, std::vector<std::string>>;

// The hosts for the slots of a data centre; those of all others if it has none.
std::vector<std::string> listCandidates(const Preferences &Preferred,
                                        const std::string &DataCentre) {
  auto Own = Preferred.find(DataCentre);
  if (Own != Preferred.end() && !Own->second.empty())
    return Own->second;
  std::vector<std::string> All;
  for (const auto &[Name, Hosts] : Preferred)
    All.insert(All.end(), Hosts.begin(), Hosts.end());
  return All;
}

std::string choosePreferred(const Preferences &Preferred, const SlotAssignment &Slot) {
  std::vector<std::string> Hosts = listCandidates(Preferred, Slot.m_DataCentre);
  return Hosts.empty() ? std::string() : Hosts[Slot.m_Number % Hosts.size()];
}

// Whether the holder's lease was marked expired after it took the slot.
bool isHolderGone(const SlotAssignment &Slot,
                  const std::map<std::string, LeaseObservation> &Leases) {
  auto Seen = Leases.find(Slot.m_Holder);
  return Seen != Leases.end() && Seen->second.m_IsExpired &&
         Seen->second.m_Incarnation >= Slot.m_Incarnation;
}

// Whether Self gives a slot back: to the hosts of its data centre, or to a host that has none while
// Self holds several, so that one failure does not take a data centre's whole share.
bool givesBack(const std::vector<SlotAssignment> &Slots, const SlotAssignment &Slot,
               const Preferences &Preferred, const std::string &Self) {
  std::vector<std::string> Hosts = listCandidates(Preferred, Slot.m_DataCentre);
  if (Hosts.empty())
    return false;
  if (std::ranges::find(Hosts, Self) == Hosts.end())
    return true;
  std::string Other = choosePreferred(Preferred, Slot);
  auto CountOf = [&](const std::string &Host) {
    return std::ranges::count_if(Slots, [&](const SlotAssignment &S) {
      return S.m_DataCentre == Slot.m_DataCentre && S.m_Holder == Host;
    });
  };
  return Other != Self && CountOf(Self) > 1 && CountOf(Other) == 0;
}

void clearHolder(SlotAssignment &Slot) {
  Slot.m_Holder.clear();
  Slot.m_Incarnation = 0;
  Slot.m_RateDivisor = 0;
}

} // namespace

bool hasLeaseExpired(const LeaseObservation &Seen, TimePoint Now, const RateSettings &Settings) {
  if (Seen.m_IsExpired)
    return true;
  if (Seen.m_UnchangedSince == TimePoint{}) // never seen
    return false;
  std::chrono::duration<double> Waited = Now - Seen.m_UnchangedSince;
  return Waited >=
         std::chrono::duration<double>(Settings.m_LeaseDuration) * (1 + Settings.m_DriftMargin);
}

SlotPlan planSlots(const std::vector<SlotAssignment> &Current, const Preferences &Preferred,
                   const std::string &Self, uint64_t SelfIncarnation, bool Draining,
                   const std::map<std::string, LeaseObservation> &Leases, TimePoint Now,
                   const RateSettings &Settings) {
  SlotPlan Plan;
  Plan.m_Slots = Current;
  for (const auto &[DataCentre, Hosts] : Preferred) {
    for (uint32_t Number = 0; !Hosts.empty() && Number < Settings.m_SlotsPerDataCentre; ++Number) {
      auto IsSame = [&, &Place = DataCentre](const SlotAssignment &S) {
        return S.m_DataCentre == Place && S.m_Number == Number;
      };
      if (std::ranges::none_of(Current, IsSame)) {
        SlotAssignment Added;
        Added.m_DataCentre = DataCentre;
        Added.m_Number = Number;
        Plan.m_Slots.push_back(std::move(Added));
        Plan.m_HasChanged = true;
      }
    }
  }
  auto Split = static_cast<uint32_t>(Plan.m_Slots.size());
  for (SlotAssignment &Slot : Plan.m_Slots) {
    if (Slot.m_Holder != Self || Self.empty())
      continue;
    if (Draining || givesBack(Plan.m_Slots, Slot, Preferred, Self)) {
      clearHolder(Slot);
      Plan.m_HasChanged = true;
    } else if (Slot.m_Incarnation != SelfIncarnation || Slot.m_RateDivisor != Split) {
      Slot.m_Incarnation = SelfIncarnation;
      Slot.m_RateDivisor = Split;
      Plan.m_HasChanged = true;
    }
  }
  if (Draining)
    return Plan;
  bool Confirmed = std::ranges::all_of(Plan.m_Slots, [&](const SlotAssignment &S) {
    return S.m_Holder.empty() || S.m_RateDivisor == Split || isHolderGone(S, Leases);
  });
  for (SlotAssignment &Slot : Plan.m_Slots) {
    if (Slot.m_Holder == Self || choosePreferred(Preferred, Slot) != Self)
      continue;
    auto Seen = Leases.find(Slot.m_Holder);
    bool Free = Slot.m_Holder.empty() || isHolderGone(Slot, Leases);
    if (Free && Confirmed) {
      Slot.m_Holder = Self;
      Slot.m_Incarnation = SelfIncarnation;
      Slot.m_RateDivisor = Split;
      Plan.m_HasChanged = true;
    } else if (!Free && Seen != Leases.end() && !Seen->second.m_IsExpired &&
               Seen->second.m_Incarnation >= Slot.m_Incarnation &&
               hasLeaseExpired(Seen->second, Now, Settings) &&
               std::ranges::find(Plan.m_LeasesToExpire, Slot.m_Holder) ==
                   Plan.m_LeasesToExpire.end()) {
      Plan.m_LeasesToExpire.push_back(Slot.m_Holder);
    }
  }
  return Plan;
}

} // namespace quetzalpaddle
