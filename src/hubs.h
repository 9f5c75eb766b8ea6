// Hubs: in a large fleet, a few hosts of each data centre dispatch to the instances and exchange
// news with each other; every other host (leaf) reports to one of them, its home. Implemented in
// membership.cpp. Without sockets, threads or clocks.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

struct HubSettings {
  uint32_t m_MaxFullMeshHosts =
      20; // up to this many hosts, all are hubs: 20 datagrams each are cheap
  uint32_t m_MinHubsPerDataCentre = 2; // so that one may fail
  uint32_t m_InstancesPerHub = 4;      // more hubs where a data centre has many instances
  // A hub not heard for this long is replaced. Shorter silences, as of a restart or a network
  // partition, only move its work to the other hubs: the next host may have a fraction of a hub's
  // processor, and the two sides of a partition would choose different ones.
  Millis m_ReplaceAfter{20000};
  // A leaf that has not heard its home for two reports asks all hubs: what it knows of them comes
  // from the home alone.
  Millis m_HomeTimeout{450};
};

// What a host does for the fleet, and with whom it exchanges news.
struct HubRoles {
  std::set<std::string> m_Hubs;        // these dispatch
  std::set<std::string> m_NominalHubs; // hubs if every host were heard: reported to, so that hosts
                                       // that have lost each other meet again
  bool m_IsHub = false;
  bool m_IsIsolated = false; // a leaf that hears no hub: it dispatches for its own callers
  std::string m_HomeHub;     // of a leaf; empty if no hub is heard
};

// The strongest hosts of each data centre that were heard lately, or never. Instances: number in
// each data centre. All hosts that hear the same hosts choose the same hubs.
std::set<std::string> chooseHubs(const Membership &Members,
                                 const std::map<std::string, size_t> &Instances, TimePoint Now,
                                 const HubSettings &Hubs);

// The hub that a leaf reports to: one of its own data centre if any is usable.
std::string chooseHomeHub(const Membership &Members, const std::set<std::string> &Hubs,
                          TimePoint Now, const MembershipSettings &Settings);

HubRoles assignHubs(const Membership &Members, const std::map<std::string, size_t> &Instances,
                    TimePoint Now, const MembershipSettings &Settings, const HubSettings &Hubs);

// chooseDispatcher() among the hubs.
std::string chooseHubDispatcher(const Membership &Members, const HubRoles &Roles, const Instance &I,
                                const std::set<std::string> &Skipped, TimePoint Now,
                                const MembershipSettings &Settings);

// The hosts that this host sends its news to, without itself.
std::set<std::string> chooseReportTargets(const Membership &Members, const HubRoles &Roles,
                                          TimePoint Now, const HubSettings &Hubs);

} // namespace quetzalpaddle
