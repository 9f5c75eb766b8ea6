// Hubs of a large fleet.
#include "hubs.h"

#include <criterion/criterion.h>
#include <fmt/core.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const MembershipSettings Settings;
const HubSettings DefaultHubSettings;

// 30 hosts in each of 4 data centres, two of them strong, as on the grown deployments.
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

// The pattern: the strong hosts of a data centre are killed together. Leaves find another home at
// once; if the hosts stay away, others take over, the same ones by everybody's choice.
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

Test(hubs, small_fleets_are_a_full_mesh) {
  Membership Members = makeFleet("d0-7");
  std::erase_if(Members.m_Hosts,
                [](const auto &Entry) { return Entry.first.size() > 4 || Entry.first[3] > '4'; });
  cr_assert_leq(Members.m_Hosts.size(), DefaultHubSettings.m_MaxFullMeshHosts);
  cr_assert_eq(chooseHubs(Members, InstancesPerDataCentre, Start, DefaultHubSettings).size(),
               Members.m_Hosts.size());
}

namespace {

void setHubsLastSeen(Membership &Members, TimePoint LastSeenAt) {
  for (int DataCentre = 0; DataCentre < 4; ++DataCentre)
    for (int N = 0; N < 2; ++N)
      Members.m_Hosts[fmt::format("d{}-{}", DataCentre, N)].m_LastSeenAt = LastSeenAt;
}

} // namespace

// The pattern: a leaf and its home are on different sides of a network partition. What the leaf
// knew of the other hubs came from the home and grows old with it, so that all leaves took
// themselves for hubs and filled the instances' connections.
Test(hubs, leaf_without_its_home_hub_reports_to_all_hubs) {
  Membership Members = makeFleet("d0-7");
  setHubsLastSeen(Members, Start);
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Start, Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_eq(chooseReportTargets(Members, Roles, Start, DefaultHubSettings),
               std::set<std::string>{Roles.m_HomeHub});
  TimePoint Now = Start + DefaultHubSettings.m_HomeTimeout;
  cr_assert_eq(chooseReportTargets(Members, Roles, Now, DefaultHubSettings).size(), 8);
  // The hubs on the own side answer within a report, long before they would be passed over.
  Members.m_Hosts["d1-0"].m_LastSeenAt = Now + Millis(250);
  Roles =
      assignHubs(Members, InstancesPerDataCentre, Now + Millis(800), Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_not(Roles.m_IsIsolated);
  cr_assert_eq(Roles.m_HomeHub, "d1-0");
}

// The pattern: a single host is cut off from all hubs, but not from the instances.
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

// The pattern: a data centre was cut off for so long that its hubs were replaced. They are still
// reported to, or the two sides would never meet again.
Test(hubs, replaced_hubs_still_receive_reports) {
  Membership Members = makeFleet("d0-0");
  setHubsLastSeen(Members, Start);
  TimePoint Now = Start + DefaultHubSettings.m_ReplaceAfter;
  Members.m_Hosts["d1-0"].m_LastSeenAt = Now;
  HubRoles Roles = assignHubs(Members, InstancesPerDataCentre, Now, Settings, DefaultHubSettings);
  cr_assert_not(Roles.m_Hubs.contains("d2-0"));
  cr_assert(chooseReportTargets(Members, Roles, Now, DefaultHubSettings).contains("d2-0"));
}

// The pattern: hubs restart one after the other. A leaf with a sixth of a hub's processor is no
// better than the other hubs.
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

// The pattern: a partition of 7 s splits the fleet. A leaf tries other leaves in vain or hears them
// once; it must not arrive at itself in the end.
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

// A leaf in the instance's own data centre does not dispatch; a hub that was skipped does neither.
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
