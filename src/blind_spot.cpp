// Tracks silent data centres and outages of the store.
#include "blind_spot.h"

#include <algorithm>

namespace quetzalpaddle {

void noteStoreState(StoreOutage &Outage, bool Answers, TimePoint Now,
                    const BlindSpotSettings &Settings) {
  if (Answers)
    return;
  // Two outages that follow each other closely leave no time to list an instance in between.
  if (Outage.m_BeganAt == TimePoint{} || Now - Outage.m_EndedAt > Settings.m_ListingTime)
    Outage.m_BeganAt = Now;
  Outage.m_EndedAt = Now;
}

void noteHeard(BlindSpot &Spot, TimePoint HeardAt, const StoreOutage &Outage, TimePoint StartedAt,
               TimePoint Now, const BlindSpotSettings &Settings) {
  bool WasSilent = Spot.m_IsSilent;
  Spot.m_LastHeardAt = std::max(HeardAt, StartedAt);
  Spot.m_IsSilent = Now - Spot.m_LastHeardAt >= Settings.m_SilenceTimeout;
  if (WasSilent && !Spot.m_IsSilent)
    Spot.m_RegainedAt = Now;
  if (!Spot.m_IsSilent)
    return;
  // An outage that began at the end of the contact, as seen from here, may have begun before it.
  bool WasOut = Outage.m_BeganAt != TimePoint{} &&
                Outage.m_BeganAt <= Spot.m_LastHeardAt + Settings.m_SilenceTimeout &&
                Outage.m_EndedAt >= Spot.m_LastHeardAt - Settings.m_ListingTime;
  // A process that has never heard the data centre does not know how it was before.
  Spot.m_MayHideReplica = (WasSilent && Spot.m_MayHideReplica) || WasOut || HeardAt <= StartedAt;
}

bool mayHideReplica(const BlindSpot &Spot, TimePoint Now, const BlindSpotSettings &Settings,
                    const TakeoverSettings &Promotion) {
  if (!Spot.m_MayHideReplica)
    return false;
  return Spot.m_IsSilent
             ? Now - Spot.m_LastHeardAt < Promotion.m_RejoinTimeout
             : Spot.m_RegainedAt != TimePoint{} && Now - Spot.m_RegainedAt < Settings.m_ListingTime;
}

std::string findBlindSpot(const LineGroup &Group, const std::map<std::string, BlindSpot> &Spots,
                          TimePoint Now, const BlindSpotSettings &Settings,
                          const TakeoverSettings &Promotion) {
  auto Hidden = std::ranges::find_if(Group.m_Instances, [&](const auto &Entry) {
    auto Spot = Spots.find(Entry.second.m_DataCentre);
    return Spot != Spots.end() && mayHideReplica(Spot->second, Now, Settings, Promotion);
  });
  return Hidden == Group.m_Instances.end() ? std::string() : Hidden->second.m_DataCentre;
}

} // namespace quetzalpaddle
