// Hubs of a large fleet.
#include "hubs.h"

#include <criterion/criterion.h>
#include <fmt/core.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const MembershipSettings Settings;
const HubSettings Limits;

// 30 hosts in each of 4 data centres, two of them strong, as on the grown deployments.
Membership makeFleet(const std::string &Self) {
  Membership M;
  M.m_Self = Self;
  for (int Dc = 0; Dc < 4; ++Dc)
    for (int N = 0; N < 30; ++N) {
      HostView View;
      View.m_Id = fmt::format("d{}-{}", Dc, N);
      View.m_DataCentre = fmt::format("d{}", Dc);
      View.m_Weight = N < 2 ? 0.5 : 0.084;
      M.m_Hosts[View.m_Id] = View;
    }
  M.m_DataCentre = M.m_Hosts[Self].m_DataCentre;
  return M;
}

const std::map<std::string, size_t> Instances = {{"d0", 6}, {"d1", 6}, {"d2", 6}, {"d3", 6}};

} // namespace

Test(hubs, strongest_hosts_of_each_data_centre) {
  auto Hubs = chooseHubs(makeFleet("d0-7"), Instances, Start, Limits);
  cr_assert_eq(Hubs.size(), 8);
  cr_assert(Hubs.contains("d3-0") && Hubs.contains("d3-1"));
}

Test(hubs, every_host_chooses_the_same) {
  auto Hubs = chooseHubs(makeFleet("d0-7"), Instances, Start, Limits);
  for (const char *Other : {"d0-0", "d1-29", "d3-4"})
    cr_assert(chooseHubs(makeFleet(Other), Instances, Start, Limits) == Hubs);
}

// The pattern: the strong hosts of a data centre are killed together. Leaves find another home at
// once; if the hosts stay away, others take over, the same ones by everybody's choice.
Test(hubs, others_follow_when_hubs_fail) {
  Membership M = makeFleet("d0-7");
  std::string Home = chooseHomeHub(M, chooseHubs(M, Instances, Start, Limits), Start, Settings);
  cr_assert_eq(M.m_Hosts[Home].m_DataCentre, "d0");
  for (const char *Dead : {"d0-0", "d0-1"})
    M.m_Hosts[Dead].m_LastSeenAt = Start - Millis(5000);
  auto Hubs = chooseHubs(M, Instances, Start, Limits);
  Home = chooseHomeHub(M, Hubs, Start, Settings);
  cr_assert(Hubs.contains(Home));
  cr_assert_neq(M.m_Hosts[Home].m_DataCentre, "d0");
  for (const char *Dead : {"d0-0", "d0-1"})
    M.m_Hosts[Dead].m_LastSeenAt = Start - Limits.m_ReplaceAfter;
  Hubs = chooseHubs(M, Instances, Start, Limits);
  cr_assert_eq(Hubs.size(), 8);
  cr_assert_not(Hubs.contains("d0-0"));
  Home = chooseHomeHub(M, Hubs, Start, Settings);
  cr_assert_eq(M.m_Hosts[Home].m_DataCentre, "d0");
}

Test(hubs, small_fleets_are_a_full_mesh) {
  Membership M = makeFleet("d0-7");
  std::erase_if(M.m_Hosts, [](const auto &H) { return H.first.size() > 4 || H.first[3] > '4'; });
  cr_assert_leq(M.m_Hosts.size(), Limits.m_MaxFullMeshHosts);
  cr_assert_eq(chooseHubs(M, Instances, Start, Limits).size(), M.m_Hosts.size());
}

namespace {

void hearHubs(Membership &M, TimePoint At) {
  for (int Dc = 0; Dc < 4; ++Dc)
    for (int N = 0; N < 2; ++N)
      M.m_Hosts[fmt::format("d{}-{}", Dc, N)].m_LastSeenAt = At;
}

} // namespace

// The pattern: a leaf and its home are on different sides of a network partition. What the leaf
// knew of the other hubs came from the home and grows old with it, so that all leaves took
// themselves for hubs and filled the instances' connections.
Test(hubs, leaf_cut_off_from_its_home_asks_the_other_hubs) {
  Membership M = makeFleet("d0-7");
  hearHubs(M, Start);
  HubRoles Roles = assignHubs(M, Instances, Start, Settings, Limits);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_eq(chooseReportTargets(M, Roles, Start, Limits),
               std::set<std::string>{Roles.m_HomeHub});
  TimePoint Late = Start + Limits.m_HomeTimeout;
  cr_assert_eq(chooseReportTargets(M, Roles, Late, Limits).size(), 8);
  // The hubs on the own side answer within a report, long before they would be passed over.
  M.m_Hosts["d1-0"].m_LastSeenAt = Late + Millis(250);
  Roles = assignHubs(M, Instances, Late + Millis(800), Settings, Limits);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_not(Roles.m_IsIsolated);
  cr_assert_eq(Roles.m_HomeHub, "d1-0");
}

// The pattern: a single host is cut off from all hubs, but not from the instances.
Test(hubs, leaf_that_hears_no_hub_dispatches_for_itself_only_until_it_hears_one) {
  Membership M = makeFleet("d0-7");
  hearHubs(M, Start);
  TimePoint Late = Start + Millis(1500);
  HubRoles Roles = assignHubs(M, Instances, Late, Settings, Limits);
  cr_assert(Roles.m_IsIsolated);
  cr_assert_not(Roles.m_IsHub);
  cr_assert(Roles.m_Hubs.contains("d0-7"));
  cr_assert_eq(chooseReportTargets(M, Roles, Late, Limits).size(), 8);
  M.m_Hosts["d2-1"].m_LastSeenAt = Late;
  Roles = assignHubs(M, Instances, Late, Settings, Limits);
  cr_assert_not(Roles.m_IsIsolated);
  cr_assert_not(Roles.m_Hubs.contains("d0-7"));
}

// The pattern: a data centre was cut off for so long that its hubs were replaced. They are still
// reported to, or the two sides would never meet again.
Test(hubs, replaced_hubs_are_still_reported_to) {
  Membership M = makeFleet("d0-0");
  hearHubs(M, Start);
  TimePoint Late = Start + Limits.m_ReplaceAfter;
  M.m_Hosts["d1-0"].m_LastSeenAt = Late;
  HubRoles Roles = assignHubs(M, Instances, Late, Settings, Limits);
  cr_assert_not(Roles.m_Hubs.contains("d2-0"));
  cr_assert(chooseReportTargets(M, Roles, Late, Limits).contains("d2-0"));
}

// The pattern: hubs restart one after the other. A leaf with a sixth of a hub's processor is no
// better than the other hubs.
Test(hubs, restart_of_a_hub_does_not_make_a_leaf_one) {
  Membership M = makeFleet("d0-7");
  hearHubs(M, Start);
  M.m_Hosts["d0-0"].m_IsDraining = true;
  M.m_Hosts["d0-0"].m_LastSeenAt = Start - Millis(3000);
  HubRoles Roles = assignHubs(M, Instances, Start, Settings, Limits);
  cr_assert(Roles.m_Hubs.contains("d0-0"));
  cr_assert_eq(Roles.m_Hubs.size(), 8);
  cr_assert_eq(Roles.m_HomeHub, "d0-1");
}

// The pattern: a partition of 7 s splits the fleet. A leaf tries other leaves in vain or hears them
// once; it must not arrive at itself in the end.
Test(hubs, partition_does_not_make_leaves_hubs) {
  Membership M = makeFleet("d0-7");
  hearHubs(M, Start);
  for (int N = 2; N < 30; ++N)
    if (N != 7)
      M.m_Hosts[fmt::format("d0-{}", N)].m_LastFailedAt = Start;
  M.m_Hosts["d1-0"].m_LastSeenAt = Start + Millis(7000);
  HubRoles Roles = assignHubs(M, Instances, Start + Millis(7000), Settings, Limits);
  cr_assert_not(Roles.m_IsHub);
  cr_assert_not(Roles.m_IsIsolated);
}

// A leaf in the instance's own data centre does not dispatch; a hub that was skipped does neither.
Test(hubs, only_hubs_dispatch) {
  Membership M = makeFleet("d0-7");
  HubRoles Roles = assignHubs(M, Instances, Start, Settings, Limits);
  Instance I;
  I.m_Id = "i-1";
  I.m_DataCentre = "d2";
  std::string First = chooseHubDispatcher(M, Roles, I, {}, Start, Settings);
  cr_assert(Roles.m_Hubs.contains(First));
  cr_assert_eq(M.m_Hosts[First].m_DataCentre, "d2");
  std::string Second = chooseHubDispatcher(M, Roles, I, {First}, Start, Settings);
  cr_assert(Roles.m_Hubs.contains(Second));
  cr_assert_neq(First, Second);
  cr_assert_eq(M.m_Hosts[Second].m_DataCentre, "d2");
}
