// Tests of the choice of hubs and of the roles of hosts in a large fleet.
#include "hubs.h"

#include <criterion/criterion.h>
#include <fmt/core.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const MembershipSettings Settings;
const HubSettings DefaultHubSettings;

// Makes 30 hosts in each of 4 data centres, two of them with about six times the weight of the
// others, as in large deployments.
Membership makeFleet(const std::string &Self) {
  Membership Members;
  Members.m_Self = Self;
  for (int DataCentre = 0; DataCentre < 4; ++DataCentre)
    for (int N = 0; N < 30; ++N) {
      HostView View;
      View.m_Id = fmt::format("d{}-{}", DataCentre, N);
      View.m_DataCentre = fmt::format("d{}", DataCentre);
      View.m_Weight = N < 2 ? 0.5 : 0.084;
      Members.m_Hosts[View.m_Id] = View;
    }
  Members.m_DataCentre = Members.m_Hosts[Self].m_DataCentre;
  return Members;
}

const std::map<std::string, size_t> InstancesPerDataCentre = {
    {"d0", 6}, {"d1", 6}, {"d2", 6}, {"d3", 6}};

} // namespace

Test(hubs, hosts_with_the_highest_weight_become_hubs) {
  auto Hubs = chooseHubs(makeFleet("d0-7"), InstancesPerDataCentre, Start, DefaultHubSettings);
  cr_assert_eq(Hubs.size(), 8);
  cr_assert(Hubs.contains("d3-0") && Hubs.contains("d3-1"));
}

Test(hubs, every_host_chooses_the_same_hubs) {
  auto Hubs = chooseHubs(makeFleet("d0-7"), InstancesPerDataCentre, Start, DefaultHubSettings);
  for (const char *Other : {"d0-0", "d1-29", "d3-4"})
    cr_assert(chooseHubs(makeFleet(Other), InstancesPerDataCentre, Start, DefaultHubSettings) ==
              Hubs);
}

// Guards against a host that is cut off and takes the hubs on its side for all there are.
Test(hubs, silent_hub_is_noticed_also_after_its_replacement) {
  Membership Members = makeFleet("d0-0");
  for (auto &[Id, View] : Members.m_Hosts)
    View.m_LastSeenAt = Start;
  auto HearsAll = [&](TimePoint Now) {
    HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Now, Settings, DefaultHubSettings);
    return hearsAllHubs(Members, Roles, Now, DefaultHubSettings);
  };
  cr_assert(HearsAll(Start + Millis(400)));
  cr_assert_not(HearsAll(Start + Millis(600)));
  TimePoint Later = Start + DefaultHubSettings.m_ReplaceAfter + Millis(1000);
  for (auto &[Id, View] : Members.m_Hosts)
    View.m_LastSeenAt = Id == "d1-0" ? Start : Later;
  cr_assert_not(HearsAll(Later), "it was replaced, but may still promote");
  Members.m_Hosts["d1-0"].m_IsDraining = true;
  cr_assert(HearsAll(Later), "it has said that it stops");
  Members.m_Hosts["d1-0"].m_IsDraining = false;
  Members.m_Hosts["d1-0"].m_LastSeenAt = Later;
  Members.m_Hosts["d1-9"].m_LastSeenAt = Start;
  cr_assert(HearsAll(Later), "a leaf is silent");
}

// All hubs of a data centre fail together. Its leaves choose another home hub at once. If the hubs
// stay unreachable, other hosts of the data centre replace them, and all hosts choose the same
// ones.
Test(hubs, failed_hubs_are_replaced) {
  Membership Members = makeFleet("d0-7");
  std::string HomeHub =
      chooseHomeHub(Members, chooseHubs(Members, InstancesPerDataCentre, Start, DefaultHubSettings),
                    Start, Settings);
  cr_assert_eq(Members.m_Hosts[HomeHub].m_DataCentre, "d0");
  for (const char *FailedHub : {"d0-0", "d0-1"})
    Members.m_Hosts[FailedHub].m_LastSeenAt = Start - Millis(5000);
  auto Hubs = chooseHubs(Members, InstancesPerDataCentre, Start, DefaultHubSettings);
  HomeHub = chooseHomeHub(Members, Hubs, Start, Settings);
  cr_assert(Hubs.contains(HomeHub));
  cr_assert_neq(Members.m_Hosts[HomeHub].m_DataCentre, "d0");
  for (const char *FailedHub : {"d0-0", "d0-1"})
    Members.m_Hosts[FailedHub].m_LastSeenAt = Start - DefaultHubSettings.m_ReplaceAfter;
  Hubs = chooseHubs(Members, InstancesPerDataCentre, Start, DefaultHubSettings);
  cr_assert_eq(Hubs.size(), 8);
  cr_assert_not(Hubs.contains("d0-0"));
  HomeHub = chooseHomeHub(Members, Hubs, Start, Settings);
  cr_assert_eq(Members.m_Hosts[HomeHub].m_DataCentre, "d0");
}

// Guards against a full mesh of a small fleet, in which the updates between data centres grow with
// the square of the hosts.
Test(hubs, small_fleets_have_leaves_too) {
  Membership Members = makeFleet("d0-7");
  std::erase_if(Members.m_Hosts, [](const auto &Entry) { return Entry.first.size() > 4; });
  for (char LastHost : {'5', '3', '1', '0'}) {
    std::erase_if(Members.m_Hosts, [&](const auto &Entry) { return Entry.first[3] > LastHost; });
    size_t HubsPerDataCentre = LastHost == '0' ? 1 : 2;
    cr_assert_eq(chooseHubs(Members, InstancesPerDataCentre, Start, DefaultHubSettings).size(),
                 4 * HubsPerDataCentre);
  }
}

// Two hubs of each data centre watch the store. Guards against news that nobody hears because the
// store refuses exactly the watchers.
Test(hubs, hubs_that_reach_the_store_watch_it) {
  Membership Members = makeFleet("d0-0");
  for (auto &[Id, View] : Members.m_Hosts) {
    View.m_Weight = Id[3] < '5' && Id.size() == 4 ? 0.5 : 0.084;
    View.m_LastSeenAt = Start;
  }
  const std::map<std::string, size_t> ManyInstances = {{"d0", 20}};
  auto ListWatchers = [&](const std::set<std::string> &WithoutStore) {
    std::set<std::string> Watchers;
    for (int N = 0; N < 5; ++N) {
      Members.m_Self = fmt::format("d0-{}", N);
      HubRoles Roles = assignHubs(Members, ManyInstances, Start, Settings, DefaultHubSettings);
      cr_assert(Roles.m_IsHub);
      if (isWatcher(Members, Roles, WithoutStore, Start, Settings, DefaultHubSettings))
        Watchers.insert(Members.m_Self);
    }
    return Watchers;
  };
  std::set<std::string> Watchers = ListWatchers({});
  cr_assert_eq(Watchers.size(), 2);
  std::set<std::string> Replacements = ListWatchers(Watchers);
  std::erase_if(Replacements, [&](const std::string &Id) { return Watchers.contains(Id); });
  cr_assert_eq(Replacements.size(), 2);
  Members.m_Hosts[*Watchers.begin()].m_LastSeenAt = Start - Settings.m_LastSeenTimeout * 2;
  cr_assert_eq(ListWatchers({}).size(), 3, "the silent one and two others");
}

namespace {

void setHubsLastSeen(Membership &Members, TimePoint LastSeenAt) {
  for (int DataCentre = 0; DataCentre < 4; ++DataCentre)
    for (int N = 0; N < 2; ++N)
      Members.m_Hosts[fmt::format("d{}-{}", DataCentre, N)].m_LastSeenAt = LastSeenAt;
}

} // namespace

// A leaf and its home hub are on different sides of a network partition. What the leaf knows of the
// other hubs came from its home hub and becomes outdated with it. Guards against leaves that then
// all become hubs and use up the instances' connections.
Test(hubs, leaf_without_its_home_hub_reports_to_all_hubs) {
  Membership Members = makeFleet("d0-7");
  setHubsLastSeen(Members, Start);
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Start, Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_eq(chooseReportTargets(Members, Roles, Start, DefaultHubSettings),
               std::set<std::string>{Roles.m_HomeHub});
  TimePoint Now = Start + DefaultHubSettings.m_HomeTimeout;
  cr_assert_eq(chooseReportTargets(Members, Roles, Now, DefaultHubSettings).size(), 8);
  // The hubs on the leaf's side answer within one report interval, long before they would be
  // skipped.
  Members.m_Hosts["d1-0"].m_LastSeenAt = Now + Millis(250);
  Roles =
      assignHubs(Members, InstancesPerDataCentre, Now + Millis(800), Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_not(Roles.m_IsIsolated);
  cr_assert_eq(Roles.m_HomeHub, "d1-0");
}

// A single host is cut off from all hubs, but not from the instances. It dispatches for its own
// callers until it receives an update from a hub.
Test(hubs, leaf_is_isolated_only_until_it_sees_a_hub) {
  Membership Members = makeFleet("d0-7");
  setHubsLastSeen(Members, Start);
  TimePoint Now = Start + Millis(1500);
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Now, Settings, DefaultHubSettings);
  cr_assert(Roles.m_IsIsolated);
  cr_assert_not(Roles.m_IsHub);
  cr_assert(Roles.m_Hubs.contains("d0-7"));
  cr_assert_eq(chooseReportTargets(Members, Roles, Now, DefaultHubSettings).size(), 8);
  Members.m_Hosts["d2-1"].m_LastSeenAt = Now;
  Roles = assignHubs(Members, InstancesPerDataCentre, Now, Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_IsIsolated);
  cr_assert_not(Roles.m_Hubs.contains("d0-7"));
}

// A data centre was cut off for so long that its hubs were replaced. They still get reports;
// otherwise the two sides of the partition would never find each other again.
Test(hubs, replaced_hubs_still_receive_reports) {
  Membership Members = makeFleet("d0-0");
  setHubsLastSeen(Members, Start);
  TimePoint Now = Start + DefaultHubSettings.m_ReplaceAfter;
  Members.m_Hosts["d1-0"].m_LastSeenAt = Now;
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Now, Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_Hubs.contains("d2-0"));
  cr_assert(chooseReportTargets(Members, Roles, Now, DefaultHubSettings).contains("d2-0"));
}

// While hubs restart one after the other, the other hubs take over their work. Guards against
// replacing a restarting hub by a leaf, which has a sixth of a hub's processing power.
Test(hubs, restarting_hub_is_not_replaced_by_a_leaf) {
  Membership Members = makeFleet("d0-7");
  setHubsLastSeen(Members, Start);
  Members.m_Hosts["d0-0"].m_IsDraining = true;
  Members.m_Hosts["d0-0"].m_LastSeenAt = Start - Millis(3000);
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Start, Settings, DefaultHubSettings);
  cr_assert(Roles.m_Hubs.contains("d0-0"));
  cr_assert_eq(Roles.m_Hubs.size(), 8);
  cr_assert_eq(Roles.m_HomeHub, "d0-1");
}

// In a partition of 7 s, a leaf fails to reach other leaves or receives a single update from them.
// Guards against a leaf that rules out one after the other and finally chooses itself as a hub.
Test(hubs, partition_does_not_make_leaves_hubs) {
  Membership Members = makeFleet("d0-7");
  setHubsLastSeen(Members, Start);
  for (int N = 2; N < 30; ++N)
    if (N != 7)
      Members.m_Hosts[fmt::format("d0-{}", N)].m_LastFailedAt = Start;
  Members.m_Hosts["d1-0"].m_LastSeenAt = Start + Millis(7000);
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Start + Millis(7000), Settings,
                              DefaultHubSettings);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_not(Roles.m_IsIsolated);
}

// Guards against dispatching by a leaf, even in the instance's own data centre, and by a hub that
// is to be skipped.
Test(hubs, only_hubs_dispatch) {
  Membership Members = makeFleet("d0-7");
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Start, Settings, DefaultHubSettings);
  Instance Target;
  Target.m_Id = "i-1";
  Target.m_DataCentre = "d2";
  std::string FirstDispatcher = chooseHubDispatcher(Members, Roles, Target, {}, Start, Settings);
  cr_assert(Roles.m_Hubs.contains(FirstDispatcher));
  cr_assert_eq(Members.m_Hosts[FirstDispatcher].m_DataCentre, "d2");
  std::string SecondDispatcher =
      chooseHubDispatcher(Members, Roles, Target, {FirstDispatcher}, Start, Settings);
  cr_assert(Roles.m_Hubs.contains(SecondDispatcher));
  cr_assert_neq(FirstDispatcher, SecondDispatcher);
  cr_assert_eq(Members.m_Hosts[SecondDispatcher].m_DataCentre, "d2");
}
