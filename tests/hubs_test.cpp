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
  auto Hubs = chooseHubs(makeFleet("d0-7"), Instances, Start, Settings, Limits);
  cr_assert_eq(Hubs.size(), 8);
  cr_assert(Hubs.contains("d3-0") && Hubs.contains("d3-1"));
}

Test(hubs, every_host_chooses_the_same) {
  auto Hubs = chooseHubs(makeFleet("d0-7"), Instances, Start, Settings, Limits);
  for (const char *Other : {"d0-0", "d1-29", "d3-4"})
    cr_assert(chooseHubs(makeFleet(Other), Instances, Start, Settings, Limits) == Hubs);
}

// The pattern: the strong hosts of a data centre are killed together. Others take over, the same
// ones by everybody's choice, and leaves find another home.
Test(hubs, others_follow_when_hubs_fail) {
  Membership M = makeFleet("d0-7");
  std::string Home =
      chooseHome(M, chooseHubs(M, Instances, Start, Settings, Limits), Start, Settings);
  cr_assert_eq(M.m_Hosts[Home].m_DataCentre, "d0");
  for (const char *Dead : {"d0-0", "d0-1"})
    M.m_Hosts[Dead].m_HeardAt = Start - Millis(5000);
  auto Hubs = chooseHubs(M, Instances, Start, Settings, Limits);
  cr_assert_eq(Hubs.size(), 8);
  cr_assert_not(Hubs.contains("d0-0"));
  Home = chooseHome(M, Hubs, Start, Settings);
  cr_assert_eq(M.m_Hosts[Home].m_DataCentre, "d0");
}

Test(hubs, small_fleets_are_a_full_mesh) {
  Membership M = makeFleet("d0-7");
  std::erase_if(M.m_Hosts, [](const auto &H) { return H.first.size() > 4 || H.first[3] > '4'; });
  cr_assert_leq(M.m_Hosts.size(), Limits.m_FullMesh);
  cr_assert_eq(chooseHubs(M, Instances, Start, Settings, Limits).size(), M.m_Hosts.size());
}
