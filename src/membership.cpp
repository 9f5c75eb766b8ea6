// Usable hosts, dispatchers, hubs and relays, chosen by rendezvous hashing: every host scores every
// (host, name) pair with the same hash, and the host with the highest score owns the name. Hosts
// that know the same hosts thus agree without exchanging messages, and when a host fails, only its
// names move, evenly to the others. A lookup costs one hash per host, which for the host counts of
// one region is cheaper than maintaining a hash ring.
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

constexpr std::string_view RelayScoreName = "relay/";
constexpr std::string_view HubScoreName = "hub";
constexpr std::string_view WatcherScoreName = "watch";
constexpr Millis UnlimitedAge = std::chrono::hours(24 * 365);

// Whether a host can be a hub: it is not leaving and was seen within ReplaceAfter. A host that was
// never seen can until a call to it fails. With UnlimitedAge neither silence nor failures count.
bool canBeHub(const Membership &Members, const HostView &Host, TimePoint Now, Millis ReplaceAfter) {
  if (Host.m_IsLeaving || Host.m_Id == Members.m_Self)
    return !Host.m_IsLeaving;
  bool IsMissing = Host.m_AwaitedSince != TimePoint{} && Now - Host.m_AwaitedSince >= ReplaceAfter;
  if (Host.m_LastSeenAt == TimePoint{})
    return ReplaceAfter == UnlimitedAge || (Host.m_LastFailedAt == TimePoint{} && !IsMissing);
  return Now - Host.m_LastSeenAt < ReplaceAfter;
}

// Returns the relays of one data centre: its first usable hosts in rendezvous order.
std::vector<std::string> listRelays(const Membership &Members, const std::string &DataCentre,
                                    TimePoint Now, const MembershipSettings &Settings) {
  std::vector<std::pair<uint64_t, std::string_view>> ScoredHosts;
  std::string Name = std::string(RelayScoreName) + DataCentre;
  for (const auto &[Id, View] : Members.m_Hosts)
    if (View.m_DataCentre == DataCentre && isUsable(Members, View, Now, Settings))
      ScoredHosts.emplace_back(scoreHost(Id, Name), Id);
  std::ranges::sort(ScoredHosts, std::greater{});
  std::vector<std::string> Relays;
  for (const auto &[Score, Id] : ScoredHosts) {
    if (Relays.size() == Settings.m_RelaysPerDataCentre)
      break;
    Relays.emplace_back(Id);
  }
  return Relays;
}

} // namespace

void setHosts(Membership &Members, const std::vector<HostView> &Listed) {
  std::map<std::string, HostView> Hosts;
  for (const HostView &New : Listed) {
    HostView &View = Hosts[New.m_Id];
    auto KnownHost = Members.m_Hosts.find(New.m_Id);
    View = KnownHost != Members.m_Hosts.end() ? KnownHost->second : New;
    // A new address means another machine: observations of the old one are discarded.
    if (View.m_Address != New.m_Address)
      View = New;
    View.m_DataCentre = New.m_DataCentre;
    View.m_Address = New.m_Address;
    View.m_IsLeaving = New.m_IsLeaving;
  }
  if (auto Self = Members.m_Hosts.find(Members.m_Self); Self != Members.m_Hosts.end()) {
    bool Leaving = Hosts.contains(Members.m_Self) && Hosts[Members.m_Self].m_IsLeaving;
    Hosts[Members.m_Self] = Self->second;
    Hosts[Members.m_Self].m_IsLeaving = Leaving;
  } else {
    Hosts[Members.m_Self].m_Id = Members.m_Self;
    Hosts[Members.m_Self].m_DataCentre = Members.m_DataCentre;
  }
  Members.m_Hosts = std::move(Hosts);
}

bool isUsable(const Membership &Members, const HostView &Host, TimePoint Now,
              const MembershipSettings &Settings) {
  if (Host.m_IsLeaving || Host.m_IsDraining)
    return false;
  if (Host.m_Id == Members.m_Self)
    return true;
  // A message received after the failure shows that the host is reachable again.
  bool HasFailed = Host.m_LastFailedAt != TimePoint{} && Host.m_LastFailedAt >= Host.m_LastSeenAt;
  if (HasFailed && Now - Host.m_LastFailedAt < Settings.m_FailureCooldown)
    return false;
  // A host that was never seen counts as usable until a call to it fails. Otherwise a host that has
  // just started would find itself the only usable one and dispatch to every instance.
  // One that stays silent although it should send updates may have left long ago: the platform's
  // list keeps the entries of hosts that are gone.
  bool IsMissing =
      Host.m_AwaitedSince != TimePoint{} && Now - Host.m_AwaitedSince > Settings.m_LastSeenTimeout;
  if (Host.m_LastSeenAt == TimePoint{})
    return !HasFailed && !IsMissing;
  return Now - Host.m_LastSeenAt <= Settings.m_LastSeenTimeout;
}

std::vector<std::string> orderHosts(const Membership &Members, std::string_view Name,
                                    const std::string &DataCentre, bool OnlyUsable, TimePoint Now,
                                    const MembershipSettings &Settings) {
  struct Entry {
    bool m_Near = false;
    uint64_t m_Score = 0;
    std::string_view m_Id;
  };
  std::vector<Entry> Entries;
  Entries.reserve(Members.m_Hosts.size());
  for (const auto &[Id, View] : Members.m_Hosts)
    if (!OnlyUsable || isUsable(Members, View, Now, Settings))
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

// Returns the dispatcher of an instance among the eligible hosts; empty if none is usable.
template <class Hosts>
std::string chooseDispatcherAmong(const Membership &Members, Hosts &&EligibleHosts,
                                  const Instance &TargetInstance,
                                  const std::set<std::string> &Skipped, TimePoint Now,
                                  const MembershipSettings &Settings) {
  // Hosts of other data centres are scored only if the instance's own has no usable one, which
  // saves hashing every host of the fleet for each request.
  for (bool Near : {true, false}) {
    const std::string *Best = nullptr;
    uint64_t BestScore = 0;
    for (const HostView &View : EligibleHosts) {
      if ((View.m_DataCentre == TargetInstance.m_DataCentre) != Near ||
          Skipped.contains(View.m_Id) || !isUsable(Members, View, Now, Settings))
        continue;
      uint64_t Score = scoreHost(View.m_Id, TargetInstance.m_Id);
      // Of equal scores the highest id wins, as in orderHosts().
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

std::string chooseDispatcher(const Membership &Members, const Instance &TargetInstance,
                             const std::set<std::string> &Skipped, TimePoint Now,
                             const MembershipSettings &Settings) {
  return chooseDispatcherAmong(Members, Members.m_Hosts | std::views::values, TargetInstance,
                               Skipped, Now, Settings);
}

std::string chooseHubDispatcher(const Membership &Members, const HubRoles &Roles,
                                const Instance &TargetInstance,
                                const std::set<std::string> &Skipped, TimePoint Now,
                                const MembershipSettings &Settings) {
  auto IsKnown = [&](const std::string &Id) { return Members.m_Hosts.contains(Id); };
  auto View = [&](const std::string &Id) -> const HostView & { return Members.m_Hosts.at(Id); };
  return chooseDispatcherAmong(
      Members, Roles.m_Hubs | std::views::filter(IsKnown) | std::views::transform(View),
      TargetInstance, Skipped, Now, Settings);
}

bool isRelay(const Membership &Members, TimePoint Now, const MembershipSettings &Settings) {
  auto Relays = listRelays(Members, Members.m_DataCentre, Now, Settings);
  return std::ranges::find(Relays, Members.m_Self) != Relays.end();
}

std::set<std::string> chooseHubs(const Membership &Members,
                                 const std::map<std::string, size_t> &Instances, TimePoint Now,
                                 const HubSettings &HubConfig) {
  std::set<std::string> Hubs;
  struct Candidate {
    // As precise as in the updates between hosts: with another precision a host would rank itself
    // differently among equals than the others do.
    float m_Weight = 0;
    uint64_t m_Score = 0;
    const std::string *m_Id = nullptr;
  };
  std::map<std::string, std::vector<Candidate>> ByDataCentre;
  for (const auto &[Id, View] : Members.m_Hosts)
    if (canBeHub(Members, View, Now, HubConfig.m_ReplaceAfter))
      ByDataCentre[View.m_DataCentre].push_back(
          {static_cast<float>(View.m_Weight), scoreHost(Id, HubScoreName), &Id});
  for (auto &[DataCentre, Candidates] : ByDataCentre) {
    auto InstanceEntry = Instances.find(DataCentre);
    size_t Count = InstanceEntry == Instances.end() ? 0 : InstanceEntry->second;
    size_t HubCount =
        std::max<size_t>(HubConfig.m_MinHubsPerDataCentre,
                         (Count + HubConfig.m_InstancesPerHub - 1) / HubConfig.m_InstancesPerHub);
    HubCount = std::min(HubCount, Candidates.size());
    std::ranges::partial_sort(Candidates, Candidates.begin() + static_cast<long>(HubCount),
                              [](const Candidate &A, const Candidate &B) {
                                return std::tie(A.m_Weight, A.m_Score) >
                                       std::tie(B.m_Weight, B.m_Score);
                              });
    for (size_t I = 0; I < HubCount; ++I)
      Hubs.insert(*Candidates[I].m_Id);
  }
  return Hubs;
}

std::string chooseHomeHub(const Membership &Members, const std::set<std::string> &Hubs,
                          TimePoint Now, const MembershipSettings &Settings) {
  std::string Best;
  std::tuple<bool, uint64_t> BestRank;
  for (const std::string &Id : Hubs) {
    auto It = Members.m_Hosts.find(Id);
    if (It == Members.m_Hosts.end() || !isUsable(Members, It->second, Now, Settings))
      continue;
    std::tuple Rank{It->second.m_DataCentre == Members.m_DataCentre, scoreHost(Id, Members.m_Self)};
    if (Best.empty() || Rank > BestRank) {
      Best = Id;
      BestRank = Rank;
    }
  }
  return Best;
}

bool hearsAllHubs(const Membership &Members, const HubRoles &Roles, TimePoint Now,
                  const HubSettings &HubConfig) {
  return std::ranges::all_of(Roles.m_NominalHubs, [&](const std::string &Id) {
    auto It = Members.m_Hosts.find(Id);
    return Id == Members.m_Self || It == Members.m_Hosts.end() || It->second.m_IsDraining ||
           Now - It->second.m_LastSeenAt < HubConfig.m_SilenceTimeout;
  });
}

void awaitHubs(Membership &Members, const HubRoles &Roles, TimePoint Now) {
  for (const std::string &Id : Roles.m_Hubs) {
    auto It = Members.m_Hosts.find(Id);
    if (It != Members.m_Hosts.end() && It->second.m_AwaitedSince == TimePoint{})
      It->second.m_AwaitedSince = Now;
  }
}

HubRoles assignHubs(const Membership &Members, const std::map<std::string, size_t> &Instances,
                    TimePoint Now, const MembershipSettings &Settings,
                    const HubSettings &HubConfig) {
  HubRoles Roles;
  Roles.m_Hubs = chooseHubs(Members, Instances, Now, HubConfig);
  HubSettings NominalSettings = HubConfig;
  NominalSettings.m_ReplaceAfter = UnlimitedAge;
  Roles.m_NominalHubs = chooseHubs(Members, Instances, Now, NominalSettings);
  Roles.m_IsHub = Roles.m_Hubs.contains(Members.m_Self);
  if (Roles.m_IsHub)
    return Roles;
  Roles.m_HomeHub = chooseHomeHub(Members, Roles.m_Hubs, Now, Settings);
  Roles.m_IsIsolated = Roles.m_HomeHub.empty();
  if (Roles.m_IsIsolated)
    Roles.m_Hubs.insert(Members.m_Self);
  return Roles;
}

std::set<std::string> chooseReportTargets(const Membership &Members, const HubRoles &Roles,
                                          TimePoint Now, const HubSettings &HubConfig) {
  std::set<std::string> Targets;
  auto Home = Members.m_Hosts.find(Roles.m_HomeHub);
  bool HomeIsAlive = Home != Members.m_Hosts.end() && Home->second.m_LastSeenAt != TimePoint{} &&
                     Now - Home->second.m_LastSeenAt < HubConfig.m_HomeTimeout;
  if (!Roles.m_IsHub && HomeIsAlive) {
    Targets.insert(Roles.m_HomeHub);
    return Targets;
  }
  Targets = Roles.m_Hubs;
  Targets.insert(Roles.m_NominalHubs.begin(), Roles.m_NominalHubs.end());
  Targets.erase(Members.m_Self);
  return Targets;
}

bool isWatcher(const Membership &Members, const HubRoles &Roles,
               const std::set<std::string> &WithoutStore, TimePoint Now,
               const MembershipSettings &Settings, const HubSettings &HubConfig) {
  if (!Roles.m_IsHub)
    return false;
  uint64_t OwnScore = scoreHost(Members.m_Self, WatcherScoreName);
  auto ComesBefore = [&](const std::string &Id) {
    auto It = Members.m_Hosts.find(Id);
    return It != Members.m_Hosts.end() && Id != Members.m_Self &&
           It->second.m_DataCentre == Members.m_DataCentre && !WithoutStore.contains(Id) &&
           isUsable(Members, It->second, Now, Settings) &&
           scoreHost(Id, WatcherScoreName) > OwnScore;
  };
  return static_cast<size_t>(std::ranges::count_if(Roles.m_Hubs, ComesBefore)) <
         HubConfig.m_WatchersPerDataCentre;
}

bool isFallbackWatcher(const Membership &Members, const HubRoles &Roles,
                       const HubSettings &HubConfig) {
  if (Roles.m_IsHub || Roles.m_IsIsolated)
    return true;
  uint64_t OwnScore = scoreHost(Members.m_Self, WatcherScoreName);
  auto LeavesBefore = std::ranges::count_if(Members.m_Hosts, [&](const auto &Entry) {
    return Entry.second.m_DataCentre == Members.m_DataCentre &&
           !Roles.m_Hubs.contains(Entry.first) &&
           scoreHost(Entry.first, WatcherScoreName) > OwnScore;
  });
  return static_cast<size_t>(LeavesBefore) < HubConfig.m_FallbackWatchersPerDataCentre;
}

std::vector<std::string> chooseNeighbours(const Membership &Members, TimePoint Now,
                                          const MembershipSettings &Settings) {
  // Hosts of the own data centre are included even if they are unusable, because only an exchange
  // shows that such a host is back. They come last and do not displace reachable neighbours.
  std::vector<std::string> Neighbours;
  auto AddHost = [&](const std::string &Id) {
    if (Id != Members.m_Self && std::ranges::find(Neighbours, Id) == Neighbours.end())
      Neighbours.push_back(Id);
  };
  std::set<std::string> DataCentres;
  for (const auto &[Id, View] : Members.m_Hosts)
    DataCentres.insert(View.m_DataCentre);
  auto OwnRelays = listRelays(Members, Members.m_DataCentre, Now, Settings);
  std::ranges::for_each(OwnRelays, AddHost);
  // Relays exchange with all relays of the other data centres. Other hosts use one relay of each
  // data centre, chosen by a hash of their own id, which spreads the load over the relays.
  bool SelfIsRelay = std::ranges::find(OwnRelays, Members.m_Self) != OwnRelays.end();
  for (const std::string &DataCentre : DataCentres) {
    if (DataCentre == Members.m_DataCentre)
      continue;
    auto Relays = listRelays(Members, DataCentre, Now, Settings);
    if (SelfIsRelay)
      std::ranges::for_each(Relays, AddHost);
    else if (!Relays.empty())
      AddHost(Relays[scoreHost(Members.m_Self, DataCentre) % Relays.size()]);
  }
  auto NearHosts = orderHosts(Members, Members.m_Self, Members.m_DataCentre, false, Now, Settings);
  std::ranges::stable_partition(NearHosts, [&](const std::string &Id) {
    return isUsable(Members, Members.m_Hosts.at(Id), Now, Settings);
  });
  uint32_t Count = 0;
  for (const std::string &Id : NearHosts) {
    if (Id == Members.m_Self)
      continue;
    if (Count++ == Settings.m_NeighbourCount)
      break;
    AddHost(Id);
  }
  return Neighbours;
}

} // namespace quetzalpaddle
