// Hubs: a few hosts of each data centre dispatch to the instances and exchange updates with each
// other; every other host (a leaf) reports to one hub, its home hub. Implemented
// in membership.cpp. Free of I/O, threads and clock reads.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

struct HubSettings {
  // Two, so that one may fail.
  uint32_t m_MinHubsPerDataCentre = 2;
  // A data centre with many instances gets one hub for each this many.
  uint32_t m_InstancesPerHub = 4;
  // A hub last seen this long ago is replaced. Shorter silences, such as a restart or a network
  // partition, only move its work to the other hubs: the next host may have a fraction of a hub's
  // processing power, and the two sides of a partition would choose different hubs.
  Millis m_ReplaceAfter{20000};
  // Hubs of each data centre that watch the store. The others hear of changes from them.
  uint32_t m_WatchersPerDataCentre = 2;
  // Leaves of each data centre that watch the store while nobody else has an answer from it, as
  // when it refuses all hubs.
  uint32_t m_FallbackWatchersPerDataCentre = 3;
  // A leaf that last saw its home hub two report intervals ago reports to all hubs, since it knows
  // about the others only from its home hub.
  Millis m_HomeTimeout{450};
  // A hub that was not heard for this long, which is two updates and a half, may be cut off.
  Millis m_SilenceTimeout{500};
};

// The hubs as one host sees them, and its own role.
struct HubRoles {
  std::set<std::string> m_Hubs; // these dispatch; includes this host if it is isolated
  // The hubs if no host were unreachable. They get reports too, so that hosts that have lost each
  // other, as in a partition, find each other again.
  std::set<std::string> m_NominalHubs;
  bool m_IsHub = false;
  bool m_IsIsolated = false; // a leaf without a usable hub; it dispatches for its own callers
  std::string m_HomeHub;     // of a leaf; empty if no hub is usable
};

// Chooses the hosts with the highest weights in each data centre, among those that are not leaving
// and were seen within m_ReplaceAfter, or were never seen and never failed. Instances: number of
// instances by data centre. Hosts that see the same hosts choose the same hubs.
std::set<std::string> chooseHubs(const Membership &Members,
                                 const std::map<std::string, size_t> &Instances, TimePoint Now,
                                 const HubSettings &HubConfig);

// Returns the hub that a leaf reports to, one of its own data centre if any is usable; empty if no
// hub is usable.
std::string chooseHomeHub(const Membership &Members, const std::set<std::string> &Hubs,
                          TimePoint Now, const MembershipSettings &Settings);

// Returns the hubs and the role of this host.
HubRoles assignHubs(const Membership &Members, const std::map<std::string, size_t> &Instances,
                    TimePoint Now, const MembershipSettings &Settings,
                    const HubSettings &HubConfig);

// Returns whether this host has just heard, itself or through its home hub, from every other hub
// that has not said that it stops. Hubs that were replaced for their silence count as well: a host
// that promotes is one of them.
bool hearsAllHubs(const Membership &Members, const HubRoles &Roles, TimePoint Now,
                  const HubSettings &HubConfig);

// Records since when this host expects updates from the hubs: a hub sends them to all others, and a
// home hub passes on when it has heard from each.
void awaitHubs(Membership &Members, const HubRoles &Roles, TimePoint Now);

// Like chooseDispatcher(), but chooses among the hubs only.
std::string chooseHubDispatcher(const Membership &Members, const HubRoles &Roles,
                                const Instance &TargetInstance,
                                const std::set<std::string> &Skipped, TimePoint Now,
                                const MembershipSettings &Settings);

// Returns the hosts that this host sends its updates to, without itself.
std::set<std::string> chooseReportTargets(const Membership &Members, const HubRoles &Roles,
                                          TimePoint Now, const HubSettings &HubConfig);

// Whether this host, a hub, watches the store: fewer than m_WatchersPerDataCentre hubs of its data
// centre that come before it are usable and reach the store. WithoutStore: hosts that do not.
bool isWatcher(const Membership &Members, const HubRoles &Roles,
               const std::set<std::string> &WithoutStore, TimePoint Now,
               const MembershipSettings &Settings, const HubSettings &HubConfig);

// Whether this host watches the store while no other host has an answer from it: hubs, isolated
// hosts and a few leaves of each data centre.
bool isFallbackWatcher(const Membership &Members, const HubRoles &Roles,
                       const HubSettings &HubConfig);

} // namespace quetzalpaddle
