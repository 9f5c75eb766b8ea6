#include "quetzalpaddle.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

const MembershipSettings Defaults;
const TimePoint Start{std::chrono::hours(1)};

std::string hostName(uint32_t Number) { return "host-" + std::to_string(Number); }

// Hosts spread over the data centres dc-0, dc-1, ...; all heard at Start.
Membership makeHosts(uint32_t Hosts, uint32_t DataCentres, uint32_t Self = 0) {
  Membership M;
  M.m_Self = hostName(Self);
  M.m_DataCentre = "dc-" + std::to_string(Self % DataCentres);
  for (uint32_t N = 0; N < Hosts; ++N) {
    HostView &View = M.m_Hosts[hostName(N)];
    View.m_Id = hostName(N);
    View.m_DataCentre = "dc-" + std::to_string(N % DataCentres);
    View.m_Address = "127.0.0.1:" + std::to_string(4000 + N);
    View.m_LastSeenAt = Start;
  }
  return M;
}

Instance makeInstance(uint32_t Number, uint32_t DataCentres) {
  Instance I;
  I.m_Id = "instance-" + std::to_string(Number);
  I.m_DataCentre = "dc-" + std::to_string(Number % DataCentres);
  return I;
}

std::string dispatcherOf(const Membership &M, const Instance &I, TimePoint Now = Start) {
  return chooseDispatcher(M, I, {}, Now, Defaults);
}

} // namespace

// Guards against a change of hosts that moves instances of other hosts, which would close their
// connections and abort their transactions.
Test(membership, onlyTheShareOfAFailedHostMoves) {
  constexpr uint32_t Instances = 1000;
  Membership M = makeHosts(15, 1);
  std::map<std::string, uint32_t> Shares;
  std::vector<std::string> Before;
  for (uint32_t N = 0; N < Instances; ++N) {
    Before.push_back(dispatcherOf(M, makeInstance(N, 1)));
    ++Shares[Before.back()];
  }
  for (const auto &[Host, Count] : Shares)
    cr_assert(Count > 30 && Count < 110, "%s has %u", Host.c_str(), Count);
  M.m_Hosts[hostName(3)].m_LastFailedAt = Start;
  std::map<std::string, uint32_t> Gained;
  for (uint32_t N = 0; N < Instances; ++N) {
    std::string After = dispatcherOf(M, makeInstance(N, 1));
    if (Before[N] == hostName(3))
      ++Gained[After];
    else
      cr_assert_eq(After, Before[N]);
  }
  cr_assert(!Gained.contains(hostName(3)));
  cr_assert(Gained.size() > 10, "the share goes to all hosts that are left");
}

// Guards against an order that depends on more than the names: two hosts whose lists differ in one
// host must agree on everything that this host does not dispatch to.
Test(membership, hostsWithDifferentListsDisagreeOnlyOnTheDifference) {
  Membership A = makeHosts(12, 3, 0);
  Membership B = makeHosts(13, 3, 1);
  uint32_t Differ = 0;
  for (uint32_t N = 0; N < 600; ++N) {
    Instance I = makeInstance(N, 3);
    if (dispatcherOf(A, I) != dispatcherOf(B, I)) {
      cr_assert_eq(dispatcherOf(B, I), hostName(12));
      ++Differ;
    }
  }
  cr_assert(Differ > 10 && Differ < 80, "%u of 600", Differ);
}

// Guards against dispatchers in another data centre, which add a round trip, and against none at
// all when a data centre has lost its hosts.
Test(membership, ownDataCentreFirstThenAny) {
  Membership M = makeHosts(9, 3);
  for (uint32_t N = 0; N < 60; ++N) {
    Instance I = makeInstance(N, 3);
    auto Order = orderHosts(M, I.m_Id, I.m_DataCentre, true, Start, Defaults);
    cr_assert_eq(Order.size(), 9U);
    cr_assert_eq(Order.front(), dispatcherOf(M, I));
    for (uint32_t Place = 0; Place < 9; ++Place)
      cr_assert_eq(M.m_Hosts[Order[Place]].m_DataCentre == I.m_DataCentre, Place < 3);
    cr_assert_eq(chooseDispatcher(M, I, {Order[0], Order[1]}, Start, Defaults), Order[2]);
    cr_assert_eq(chooseDispatcher(M, I, {Order[0], Order[1], Order[2]}, Start, Defaults), Order[3]);
  }
}

// Guards against work for hosts that are gone, leaving or draining, and against a host that counts
// as gone only because it has not been heard yet.
Test(membership, onlyUsableHostsGetWork) {
  Membership M = makeHosts(4, 1);
  HostView &Host = M.m_Hosts[hostName(1)];
  auto Usable = [&](Millis After) { return isUsable(M, Host, Start + After, Defaults); };
  cr_assert(Usable(Millis(1000)));
  cr_assert(!Usable(Millis(1001)), "not heard for too long");
  Host.m_LastFailedAt = Start + Millis(100);
  cr_assert(!Usable(Millis(200)), "a call has failed");
  cr_assert(Usable(Millis(700)), "tried again after the wait");
  Host.m_LastSeenAt = Start + Millis(150);
  cr_assert(Usable(Millis(200)), "heard after the failure");
  Host.m_IsDraining = true;
  cr_assert(!Usable(Millis(200)));
  Host = HostView{};
  Host.m_Id = hostName(1);
  cr_assert(Usable(Millis(200)), "never heard, never failed");
  Host.m_LastFailedAt = Start;
  cr_assert(!Usable(Millis(60000)), "never heard, but failed");
}

// Guards against a list of the platform that lags and removes the host itself, and against one that
// wipes out what the exchange has shown.
Test(membership, listKeepsSelfAndObservations) {
  Membership M = makeHosts(3, 1);
  M.m_Hosts[hostName(1)].m_IsDraining = true;
  HostView One = M.m_Hosts[hostName(1)];
  One.m_LastSeenAt = TimePoint{};
  One.m_IsDraining = false;
  setHosts(M, {One});
  cr_assert_eq(M.m_Hosts.size(), 2U);
  cr_assert(M.m_Hosts.contains(M.m_Self));
  cr_assert(M.m_Hosts[hostName(1)].m_IsDraining);
  cr_assert(M.m_Hosts[hostName(1)].m_LastSeenAt == Start);
  One.m_Address = "127.0.0.1:5000";
  setHosts(M, {One});
  cr_assert(!M.m_Hosts[hostName(1)].m_IsDraining, "another machine under the same id");
}

// Guards against a data centre without relays, or with more watches than the platform allows.
Test(membership, twoRelaysPerDataCentreAndAReplacement) {
  std::set<std::string> Relays;
  for (uint32_t Self = 0; Self < 15; ++Self)
    if (isRelay(makeHosts(15, 3, Self), Start, Defaults))
      Relays.insert(hostName(Self));
  cr_assert_eq(Relays.size(), 6U);
  std::string Failed = *Relays.begin();
  uint32_t After = 0;
  for (uint32_t Self = 0; Self < 15; ++Self) {
    Membership M = makeHosts(15, 3, Self);
    M.m_Hosts[Failed].m_LastFailedAt = Start;
    After += hostName(Self) != Failed && isRelay(M, Start, Defaults);
  }
  cr_assert_eq(After, 6U);
}

// Guards against reports that do not reach every host: news must spread to all within a few rounds,
// with a number of neighbours that does not grow with the fleet.
Test(membership, neighboursConnectTheFleet) {
  constexpr uint32_t Hosts = 200;
  std::vector<std::vector<std::string>> Neighbours;
  for (uint32_t Self = 0; Self < Hosts; ++Self) {
    Neighbours.push_back(chooseNeighbours(makeHosts(Hosts, 4, Self), Start, Defaults));
    cr_assert(Neighbours.back().size() <= 8 + 2 + 2 * 3);
    cr_assert(std::ranges::find(Neighbours.back(), hostName(Self)) == Neighbours.back().end());
  }
  std::set<std::string> Told{hostName(17)};
  for (uint32_t Round = 0; Round < 5; ++Round) {
    auto Before = Told;
    for (uint32_t Self = 0; Self < Hosts; ++Self)
      for (const std::string &Other : Neighbours[Self])
        if (Before.contains(hostName(Self)) || Before.contains(Other))
          Told.insert({hostName(Self), Other}); // an exchange goes both ways
  }
  cr_assert_eq(Told.size(), static_cast<size_t>(Hosts));
}
