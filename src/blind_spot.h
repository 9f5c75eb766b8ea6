// Data centres in which a replica may run that no list shows. Free of I/O, threads and clock reads.
//
// A replica counts for acknowledgements from its start, and the list shows it once it has reached
// the store. One that starts while the store is down may therefore hold acknowledged commits alone
// and be known to nobody when its data centre is cut off together with the primary. While that is
// possible, a promotion waits for the data centre: once it is heard again, the replica is listed
// within the time in which entries come back after an outage. The wait is limited as for an
// instance that has left the list, after which an instance counts as gone.
#pragma once

#include "takeover.h"

#include <map>
#include <string>

namespace quetzalpaddle {

struct BlindSpotSettings {
  // A data centre without a message from any of its hosts for this long may be cut off.
  Millis m_SilenceTimeout{700};
  // An instance is listed within this time after its start, or after the store is back.
  Millis m_ListingTime{2500};
};

// The last time in which the store did not answer this host, or another one that this host hears.
struct StoreOutage {
  TimePoint m_BeganAt{}; // zero: none seen
  TimePoint m_EndedAt{}; // last time that it was seen
};

struct BlindSpot {
  TimePoint m_LastHeardAt{}; // last message from a host there; the start of this process before
  TimePoint m_RegainedAt{};  // end of the last silence; zero: none yet
  bool m_IsSilent = false;
  bool m_MayHideReplica = false; // the list may have lacked instances when the last silence began
};

// Records whether the store answers.
void noteStoreState(StoreOutage &Outage, bool Answers, TimePoint Now,
                    const BlindSpotSettings &Settings);

// Records when a host of a data centre was last heard; zero: not by this process.
void noteHeard(BlindSpot &Spot, TimePoint HeardAt, const StoreOutage &Outage, TimePoint StartedAt,
               TimePoint Now, const BlindSpotSettings &Settings);

// Whether a replica may run in the data centre that no list shows.
bool mayHideReplica(const BlindSpot &Spot, TimePoint Now, const BlindSpotSettings &Settings,
                    const TakeoverSettings &Promotion);

// The same for the data centres of a group's instances. Returns one of them; empty if none may.
std::string findBlindSpot(const LineGroup &Group, const std::map<std::string, BlindSpot> &Spots,
                          TimePoint Now, const BlindSpotSettings &Settings,
                          const TakeoverSettings &Promotion);

} // namespace quetzalpaddle
