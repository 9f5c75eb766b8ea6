// Hubs: in a large fleet, a few hosts of each data centre dispatch to the instances and exchange
// news with each other; every other host (leaf) reports to one of them, its home. Implemented in
// membership.cpp. Without sockets, threads or clocks.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

struct HubSettings {
  uint32_t m_FullMesh = 20;     // up to this many hosts, all are hubs: 20 datagrams each are cheap
  uint32_t m_PerDataCentre = 2; // so that one may fail
  uint32_t m_InstancesPerHub = 4; // more hubs where a data centre has many instances
};

// The strongest usable hosts of each data centre. Instances: number in each data centre. All hosts
// that see the same hosts as usable choose the same hubs.
std::set<std::string> chooseHubs(const Membership &M,
                                 const std::map<std::string, size_t> &Instances, TimePoint Now,
                                 const MembershipSettings &Settings, const HubSettings &Hubs);

// The hub that a leaf reports to: one of its own data centre if any is usable.
std::string chooseHome(const Membership &M, const std::set<std::string> &Hubs, TimePoint Now,
                       const MembershipSettings &Settings);

} // namespace quetzalpaddle
