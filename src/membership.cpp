// Live hosts and dispatchers. Rendezvous hashing: every host scores every (host, name) pair with
// the same hash, and the highest score owns the name. Hosts need no agreement beyond their lists;
// when a host fails, only its own names move, evenly to the others. The cost is one hash per host
// for each lookup, which is cheaper than keeping a ring for the host counts of one region.
#include "hubs.h"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <xxhash.h>

namespace quetzalpaddle {

namespace {

uint64_t scoreHost(std::string_view Host, std::string_view Name) {
  uint64_t Seed = XXH3_64bits(Name.data(), Name.size());
  return XXH3_64bits_withSeed(Host.data(), Host.size(), Seed);
}

constexpr std::string_view RelayName = "relay/";
constexpr std::string_view HubName = "hub";
constexpr Millis Forever = std::chrono::hours(24 * 365);

// Whether a host may be a hub. One that was never heard may, until a call to it fails.
bool isPresent(const Membership &M, const HostView &Host, TimePoint Now, Millis ReplaceAfter) {
  if (Host.m_IsLeaving || Host.m_Id == M.m_Self)
    return !Host.m_IsLeaving;
  if (Host.m_LastSeenAt == TimePoint{})
    return Host.m_LastFailedAt == TimePoint{} || ReplaceAfter == Forever;
  return Now - Host.m_LastSeenAt < ReplaceAfter;
}

// The first hosts in rendezvous order for the relay role of one data centre.
std::vector<std::string> listRelays(const Membership &M, const std::string &DataCentre,
                                    TimePoint Now, const MembershipSettings &Settings) {
  std::vector<std::pair<uint64_t, std::string_view>> Scored;
  std::string Name = std::string(RelayName) + DataCentre;
  for (const auto &[Id, View] : M.m_Hosts)
    if (View.m_DataCentre == DataCentre && isUsable(M, View, Now, Settings))
      Scored.emplace_back(scoreHost(Id, Name), Id);
  std::ranges::sort(Scored, std::greater{});
  std::vector<std::string> Relays;
  for (const auto &[Score, Id] : Scored) {
    if (Relays.size() == Settings.m_RelaysPerDataCentre)
      break;
    Relays.emplace_back(Id);
  }
  return Relays;
}

} // namespace

void setHosts(Membership &M, const std::vector<HostView> &Listed) {
  std::map<std::string, HostView> Hosts;
  for (const HostView &New : Listed) {
    HostView &View = Hosts[New.m_Id];
    auto Known = M.m_Hosts.find(New.m_Id);
    View = Known != M.m_Hosts.end() ? Known->second : New;
    // A new address means another machine: what was observed of the old one no longer holds.
    if (View.m_Address != New.m_Address)
      View = New;
    View.m_DataCentre = New.m_DataCentre;
    View.m_Address = New.m_Address;
    View.m_IsLeaving = New.m_IsLeaving;
  }
  if (auto Self = M.m_Hosts.find(M.m_Self); Self != M.m_Hosts.end()) {
    bool Leaving = Hosts.contains(M.m_Self) && Hosts[M.m_Self].m_IsLeaving;
    Hosts[M.m_Self] = Self->second;
    Hosts[M.m_Self].m_IsLeaving = Leaving;
  } else {
    Hosts[M.m_Self].m_Id = M.m_Self;
    Hosts[M.m_Self].m_DataCentre = M.m_DataCentre;
  }
  M.m_Hosts = std::move(Hosts);
}

bool isUsable(const Membership &M, const HostView &Host, TimePoint Now,
              const MembershipSettings &Settings) {
  if (Host.m_IsLeaving || Host.m_IsDraining)
    return false;
  if (Host.m_Id == M.m_Self)
    return true;
  // An exchange after the failure shows that the host is reachable again.
  bool Failed = Host.m_LastFailedAt != TimePoint{} && Host.m_LastFailedAt >= Host.m_LastSeenAt;
  if (Failed && Now - Host.m_LastFailedAt < Settings.m_FailureCooldown)
    return false;
  // A host that was never heard counts as usable until a call to it fails, so that a host that has
  // just started does not take over every instance.
  if (Host.m_LastSeenAt == TimePoint{})
    return !Failed;
  return Now - Host.m_LastSeenAt <= Settings.m_LastSeenTimeout;
}

std::vector<std::string> orderHosts(const Membership &M, std::string_view Name,
                                    const std::string &DataCentre, bool OnlyUsable, TimePoint Now,
                                    const MembershipSettings &Settings) {
  struct Entry {
    bool m_Near = false;
    uint64_t m_Score = 0;
    std::string_view m_Id;
  };
  std::vector<Entry> Entries;
  Entries.reserve(M.m_Hosts.size());
  for (const auto &[Id, View] : M.m_Hosts)
    if (!OnlyUsable || isUsable(M, View, Now, Settings))
      Entries.push_back(
          {!DataCentre.empty() && View.m_DataCentre == DataCentre, scoreHost(Id, Name), Id});
  std::ranges::sort(Entries, [](const Entry &A, const Entry &B) {
    return std::tie(A.m_Near, A.m_Score, A.m_Id) > std::tie(B.m_Near, B.m_Score, B.m_Id);
  });
  std::vector<std::string> Order;
  Order.reserve(Entries.size());
  for (const Entry &E : Entries)
    Order.emplace_back(E.m_Id);
  return Order;
}

namespace {

// The dispatcher of an instance among the hosts given.
template <class Hosts>
std::string chooseAmong(const Membership &M, Hosts &&Among, const Instance &I,
                        const std::set<std::string> &Skipped, TimePoint Now,
                        const MembershipSettings &Settings) {
  // Hosts of other data centres are scored only if none is left in the instance's own: a request
  // would otherwise pay for a hash of every host of the fleet.
  for (bool Near : {true, false}) {
    const std::string *Best = nullptr;
    uint64_t BestScore = 0;
    for (const HostView &View : Among) {
      if ((View.m_DataCentre == I.m_DataCentre) != Near || Skipped.contains(View.m_Id) ||
          !isUsable(M, View, Now, Settings))
        continue;
      uint64_t Score = scoreHost(View.m_Id, I.m_Id);
      // Equal scores go to the later id, as in orderHosts().
      if (!Best || Score >= BestScore) {
        Best = &View.m_Id;
        BestScore = Score;
      }
    }
    if (Best)
      return *Best;
  }
  return {};
}

} // namespace

std::string chooseDispatcher(const Membership &M, const Instance &I,
                             const std::set<std::string> &Skipped, TimePoint Now,
                             const MembershipSettings &Settings) {
  return chooseAmong(M, M.m_Hosts | std::views::values, I, Skipped, Now, Settings);
}

std::string chooseHubDispatcher(const Membership &M, const HubRoles &Roles, const Instance &I,
                                const std::set<std::string> &Skipped, TimePoint Now,
                                const MembershipSettings &Settings) {
  auto IsKnown = [&](const std::string &Id) { return M.m_Hosts.contains(Id); };
  auto View = [&](const std::string &Id) -> const HostView & { return M.m_Hosts.at(Id); };
  return chooseAmong(M, Roles.m_Hubs | std::views::filter(IsKnown) | std::views::transform(View), I,
                     Skipped, Now, Settings);
}

bool isRelay(const Membership &M, TimePoint Now, const MembershipSettings &Settings) {
  auto Relays = listRelays(M, M.m_DataCentre, Now, Settings);
  return std::ranges::find(Relays, M.m_Self) != Relays.end();
}

std::set<std::string> chooseHubs(const Membership &M,
                                 const std::map<std::string, size_t> &Instances, TimePoint Now,
                                 const HubSettings &Limits) {
  std::set<std::string> Hubs;
  if (M.m_Hosts.size() <= Limits.m_FullMesh) {
    for (const auto &[Id, View] : M.m_Hosts)
      Hubs.insert(Id);
    return Hubs;
  }
  struct Candidate {
    double m_Weight = 0;
    uint64_t m_Score = 0;
    const std::string *m_Id = nullptr;
  };
  std::map<std::string, std::vector<Candidate>> ByDataCentre;
  for (const auto &[Id, View] : M.m_Hosts)
    if (isPresent(M, View, Now, Limits.m_ReplaceAfter))
      ByDataCentre[View.m_DataCentre].push_back({View.m_Weight, scoreHost(Id, HubName), &Id});
  for (auto &[DataCentre, Candidates] : ByDataCentre) {
    auto Served = Instances.find(DataCentre);
    size_t Count = Served == Instances.end() ? 0 : Served->second;
    size_t Wanted = std::max<size_t>(
        Limits.m_PerDataCentre, (Count + Limits.m_InstancesPerHub - 1) / Limits.m_InstancesPerHub);
    Wanted = std::min(Wanted, Candidates.size());
    std::ranges::partial_sort(Candidates, Candidates.begin() + static_cast<long>(Wanted),
                              [](const Candidate &A, const Candidate &B) {
                                return std::tie(A.m_Weight, A.m_Score) >
                                       std::tie(B.m_Weight, B.m_Score);
                              });
    for (size_t I = 0; I < Wanted; ++I)
      Hubs.insert(*Candidates[I].m_Id);
  }
  return Hubs;
}

std::string chooseHome(const Membership &M, const std::set<std::string> &Hubs, TimePoint Now,
                       const MembershipSettings &Settings) {
  std::string Best;
  std::tuple<bool, uint64_t> BestRank;
  for (const std::string &Id : Hubs) {
    auto Found = M.m_Hosts.find(Id);
    if (Found == M.m_Hosts.end() || !isUsable(M, Found->second, Now, Settings))
      continue;
    std::tuple Rank{Found->second.m_DataCentre == M.m_DataCentre, scoreHost(Id, M.m_Self)};
    if (Best.empty() || Rank > BestRank) {
      Best = Id;
      BestRank = Rank;
    }
  }
  return Best;
}

HubRoles assignHubs(const Membership &M, const std::map<std::string, size_t> &Instances,
                    TimePoint Now, const MembershipSettings &Settings, const HubSettings &Limits) {
  HubRoles Roles;
  Roles.m_Hubs = chooseHubs(M, Instances, Now, Limits);
  HubSettings Heard = Limits;
  Heard.m_ReplaceAfter = Forever;
  Roles.m_Nominal = chooseHubs(M, Instances, Now, Heard);
  Roles.m_IsHub = Roles.m_Hubs.contains(M.m_Self);
  if (Roles.m_IsHub)
    return Roles;
  Roles.m_Home = chooseHome(M, Roles.m_Hubs, Now, Settings);
  Roles.m_Isolated = Roles.m_Home.empty();
  if (Roles.m_Isolated)
    Roles.m_Hubs.insert(M.m_Self);
  return Roles;
}

std::set<std::string> chooseReportTargets(const Membership &M, const HubRoles &Roles, TimePoint Now,
                                          const HubSettings &Limits) {
  std::set<std::string> Targets;
  auto Home = M.m_Hosts.find(Roles.m_Home);
  bool HomeHeard = Home != M.m_Hosts.end() && Home->second.m_LastSeenAt != TimePoint{} &&
                   Now - Home->second.m_LastSeenAt < Limits.m_AskAllAfter;
  if (!Roles.m_IsHub && HomeHeard) {
    Targets.insert(Roles.m_Home);
    return Targets;
  }
  Targets = Roles.m_Hubs;
  Targets.insert(Roles.m_Nominal.begin(), Roles.m_Nominal.end());
  Targets.erase(M.m_Self);
  return Targets;
}

std::vector<std::string> chooseNeighbours(const Membership &M, TimePoint Now,
                                          const MembershipSettings &Settings) {
  // Usability is not asked for the near hosts: an exchange is how a host that was skipped is found
  // to be back. Unusable hosts come last, so that they don't displace reachable neighbours.
  std::vector<std::string> Chosen;
  auto AddHost = [&](const std::string &Id) {
    if (Id != M.m_Self && std::ranges::find(Chosen, Id) == Chosen.end())
      Chosen.push_back(Id);
  };
  std::set<std::string> DataCentres;
  for (const auto &[Id, View] : M.m_Hosts)
    DataCentres.insert(View.m_DataCentre);
  auto Own = listRelays(M, M.m_DataCentre, Now, Settings);
  std::ranges::for_each(Own, AddHost);
  // Only relays reach out to all other data centres; other hosts use one relay of each, chosen by
  // their own id, which spreads the load over the relays.
  bool Relay = std::ranges::find(Own, M.m_Self) != Own.end();
  for (const std::string &DataCentre : DataCentres) {
    if (DataCentre == M.m_DataCentre)
      continue;
    auto Relays = listRelays(M, DataCentre, Now, Settings);
    if (Relay)
      std::ranges::for_each(Relays, AddHost);
    else if (!Relays.empty())
      AddHost(Relays[scoreHost(M.m_Self, DataCentre) % Relays.size()]);
  }
  auto Near = orderHosts(M, M.m_Self, M.m_DataCentre, false, Now, Settings);
  std::ranges::stable_partition(
      Near, [&](const std::string &Id) { return isUsable(M, M.m_Hosts.at(Id), Now, Settings); });
  uint32_t Count = 0;
  for (const std::string &Id : Near) {
    if (Id == M.m_Self)
      continue;
    if (Count++ == Settings.m_NeighbourCount)
      break;
    AddHost(Id);
  }
  return Chosen;
}

} // namespace quetzalpaddle
