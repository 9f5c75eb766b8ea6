#include "quetzalpaddle.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

const MembershipSettings Defaults;
const TimePoint Start{std::chrono::hours(1)};

std::string makeHostName(uint32_t Number) { return "host-" + std::to_string(Number); }

// Makes hosts spread over the data centres dc-0, dc-1, ..., all last seen at Start.
Membership makeHosts(uint32_t HostCount, uint32_t DataCentreCount, uint32_t Self = 0) {
  Membership Members;
  Members.m_Self = makeHostName(Self);
  Members.m_DataCentre = "dc-" + std::to_string(Self % DataCentreCount);
  for (uint32_t N = 0; N < HostCount; ++N) {
    HostView &View = Members.m_Hosts[makeHostName(N)];
    View.m_Id = makeHostName(N);
    View.m_DataCentre = "dc-" + std::to_string(N % DataCentreCount);
    View.m_Address = "127.0.0.1:" + std::to_string(4000 + N);
    View.m_LastSeenAt = Start;
  }
  return Members;
}

Instance makeInstance(uint32_t Number, uint32_t DataCentreCount) {
  Instance I;
  I.m_Id = "instance-" + std::to_string(Number);
  I.m_DataCentre = "dc-" + std::to_string(Number % DataCentreCount);
  return I;
}

std::string chooseFirstDispatcher(const Membership &Members, const Instance &Target,
                                  TimePoint Now = Start) {
  return chooseDispatcher(Members, Target, {}, Now, Defaults);
}

} // namespace

// Guards against a host failure that changes the dispatcher of instances of other hosts, which
// would close their connections and abort their transactions.
Test(membership, onlyTheShareOfAFailedHostMoves) {
  constexpr uint32_t InstanceCount = 1000;
  Membership Members = makeHosts(15, 1);
  std::map<std::string, uint32_t> CountsByHost;
  std::vector<std::string> OldDispatchers;
  for (uint32_t N = 0; N < InstanceCount; ++N) {
    OldDispatchers.push_back(chooseFirstDispatcher(Members, makeInstance(N, 1)));
    ++CountsByHost[OldDispatchers.back()];
  }
  for (const auto &[Host, Count] : CountsByHost)
    cr_assert(Count > 30 && Count < 110, "%s has %u", Host.c_str(), Count);
  Members.m_Hosts[makeHostName(3)].m_LastFailedAt = Start;
  std::map<std::string, uint32_t> GainedCounts;
  for (uint32_t N = 0; N < InstanceCount; ++N) {
    std::string NewDispatcher = chooseFirstDispatcher(Members, makeInstance(N, 1));
    if (OldDispatchers[N] == makeHostName(3))
      ++GainedCounts[NewDispatcher];
    else
      cr_assert_eq(NewDispatcher, OldDispatchers[N]);
  }
  cr_assert(!GainedCounts.contains(makeHostName(3)));
  cr_assert(GainedCounts.size() > 10, "the instances of the failed host go to all remaining hosts");
}

// Guards against a host order that depends on more than the host ids: two hosts whose lists differ
// in one host have to choose the same dispatcher for every instance that this host does not
// dispatch to.
Test(membership, hostsWithDifferentListsDisagreeOnlyOnTheDifference) {
  Membership ShortList = makeHosts(12, 3, 0);
  Membership LongList = makeHosts(13, 3, 1);
  uint32_t DifferenceCount = 0;
  for (uint32_t N = 0; N < 600; ++N) {
    Instance Target = makeInstance(N, 3);
    if (chooseFirstDispatcher(ShortList, Target) != chooseFirstDispatcher(LongList, Target)) {
      cr_assert_eq(chooseFirstDispatcher(LongList, Target), makeHostName(12));
      ++DifferenceCount;
    }
  }
  cr_assert(DifferenceCount > 10 && DifferenceCount < 80, "%u of 600", DifferenceCount);
}

// Guards against dispatchers in another data centre, which add a round trip, and against having no
// dispatcher when a data centre has lost all its hosts.
Test(membership, prefersDispatchersInTheOwnDataCentre) {
  Membership Members = makeHosts(9, 3);
  for (uint32_t N = 0; N < 60; ++N) {
    Instance Target = makeInstance(N, 3);
    auto OrderedHosts =
        orderHosts(Members, Target.m_Id, Target.m_DataCentre, true, Start, Defaults);
    cr_assert_eq(OrderedHosts.size(), 9U);
    cr_assert_eq(OrderedHosts.front(), chooseFirstDispatcher(Members, Target));
    for (uint32_t Rank = 0; Rank < 9; ++Rank)
      cr_assert_eq(Members.m_Hosts[OrderedHosts[Rank]].m_DataCentre == Target.m_DataCentre,
                   Rank < 3);
    cr_assert_eq(
        chooseDispatcher(Members, Target, {OrderedHosts[0], OrderedHosts[1]}, Start, Defaults),
        OrderedHosts[2]);
    cr_assert_eq(chooseDispatcher(Members, Target,
                                  {OrderedHosts[0], OrderedHosts[1], OrderedHosts[2]}, Start,
                                  Defaults),
                 OrderedHosts[3]);
  }
}

// Guards against work for hosts that are unreachable, leaving or draining, and against a host that
// counts as unreachable only because it has not been seen yet.
Test(membership, onlyUsableHostsGetWork) {
  Membership Members = makeHosts(4, 1);
  HostView &Host = Members.m_Hosts[makeHostName(1)];
  auto IsUsableAfter = [&](Millis Elapsed) {
    return isUsable(Members, Host, Start + Elapsed, Defaults);
  };
  cr_assert(IsUsableAfter(Millis(1000)));
  cr_assert(!IsUsableAfter(Millis(1001)), "last seen too long ago");
  Host.m_LastFailedAt = Start + Millis(100);
  cr_assert(!IsUsableAfter(Millis(200)), "a call has failed");
  cr_assert(IsUsableAfter(Millis(700)), "retried after the delay");
  Host.m_LastSeenAt = Start + Millis(150);
  cr_assert(IsUsableAfter(Millis(200)), "seen after the failure");
  Host.m_IsDraining = true;
  cr_assert(!IsUsableAfter(Millis(200)));
  Host = HostView{};
  Host.m_Id = makeHostName(1);
  cr_assert(IsUsableAfter(Millis(200)), "never seen, never failed");
  Host.m_LastFailedAt = Start;
  cr_assert(!IsUsableAfter(Millis(60000)), "never seen, but failed");
}

// Guards against an outdated host list of the platform that removes this host itself, and against a
// list that overwrites what gossip has shown.
Test(membership, platformListKeepsSelfAndObservations) {
  Membership Members = makeHosts(3, 1);
  Members.m_Hosts[makeHostName(1)].m_IsDraining = true;
  HostView ListedHost = Members.m_Hosts[makeHostName(1)];
  ListedHost.m_LastSeenAt = TimePoint{};
  ListedHost.m_IsDraining = false;
  setHosts(Members, {ListedHost});
  cr_assert_eq(Members.m_Hosts.size(), 2U);
  cr_assert(Members.m_Hosts.contains(Members.m_Self));
  cr_assert(Members.m_Hosts[makeHostName(1)].m_IsDraining);
  cr_assert(Members.m_Hosts[makeHostName(1)].m_LastSeenAt == Start);
  ListedHost.m_Address = "127.0.0.1:5000";
  setHosts(Members, {ListedHost});
  cr_assert(!Members.m_Hosts[makeHostName(1)].m_IsDraining, "another machine under the same id");
}

// Guards against a data centre without relays, and against more watches than the platform allows.
Test(membership, twoRelaysPerDataCentreAndFailedOnesAreReplaced) {
  std::set<std::string> RelayNames;
  for (uint32_t Self = 0; Self < 15; ++Self)
    if (isRelay(makeHosts(15, 3, Self), Start, Defaults))
      RelayNames.insert(makeHostName(Self));
  cr_assert_eq(RelayNames.size(), 6U);
  std::string FailedRelay = *RelayNames.begin();
  uint32_t RelayCountAfterFailure = 0;
  for (uint32_t Self = 0; Self < 15; ++Self) {
    Membership Members = makeHosts(15, 3, Self);
    Members.m_Hosts[FailedRelay].m_LastFailedAt = Start;
    RelayCountAfterFailure +=
        makeHostName(Self) != FailedRelay && isRelay(Members, Start, Defaults);
  }
  cr_assert_eq(RelayCountAfterFailure, 6U);
}

// Guards against updates that do not reach every host: they have to reach all hosts within five
// rounds, and the number of neighbours must not grow with the fleet.
Test(membership, updatesReachAllHostsThroughNeighbours) {
  constexpr uint32_t HostCount = 200;
  std::vector<std::vector<std::string>> NeighboursByHost;
  for (uint32_t Self = 0; Self < HostCount; ++Self) {
    NeighboursByHost.push_back(chooseNeighbours(makeHosts(HostCount, 4, Self), Start, Defaults));
    cr_assert(NeighboursByHost.back().size() <= 8 + 2 + 2 * 3);
    cr_assert(std::ranges::find(NeighboursByHost.back(), makeHostName(Self)) ==
              NeighboursByHost.back().end());
  }
  std::set<std::string> InformedHosts{makeHostName(17)};
  for (uint32_t Round = 0; Round < 5; ++Round) {
    auto InformedBefore = InformedHosts;
    for (uint32_t Self = 0; Self < HostCount; ++Self)
      for (const std::string &Other : NeighboursByHost[Self])
        if (InformedBefore.contains(makeHostName(Self)) || InformedBefore.contains(Other))
          InformedHosts.insert({makeHostName(Self), Other}); // hosts exchange updates both ways
  }
  cr_assert_eq(InformedHosts.size(), static_cast<size_t>(HostCount));
}
