// Configuration and host list: initial load, watch, and pulls from other hosts.
#include "sync_state.h"

#include "config_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// rate/ is distributed with the configuration: every host has to know who holds a customer's slots,
// and a separate list or watch on each host would exhaust the reads that the platform allows.
const std::vector<std::string> &getSyncedPrefixes() {
  static const std::vector<std::string> Prefixes{"config/", "rate/"};
  return Prefixes;
}

constexpr std::chrono::seconds HostListInterval{2};
// Limit for all hosts in total. Without it, 2,000 hosts would use half of the platform's 2,000
// reads per second with HostListInterval.
constexpr size_t MaxHostListReadsPerSecond = 100;

// Delay before the first pull from another host, so that the platform is preferred for the initial
// load; afterwards the interval between pulls until the load is complete.
constexpr Millis PeerLoadInterval{250};
// Limits how long a host that hangs delays a pull from another host.
constexpr Millis PullTimeout{500};
constexpr Millis LoadTimeout{2000}; // for the whole configuration

constexpr Millis RelayCheckInterval{500};
// A watch can stop delivering events without an error; reopening it costs one call per minute.
constexpr std::chrono::seconds WatchLifetime{60};
// A platform that no longer has the history since this host's revision refuses every watch, so the
// configuration is listed anew after this many failures in a row.
constexpr uint32_t FailuresBeforeRelist = 4;

std::vector<HostView> makeHostViews(const auto &Entries) {
  std::vector<HostView> Views;
  Views.reserve(static_cast<size_t>(Entries.size()));
  for (const auto &Entry : Entries) {
    HostView View;
    View.m_Id = Entry.host();
    View.m_DataCentre = Entry.data_centre();
    View.m_Address = Entry.peer_address();
    View.m_IsLeaving = Entry.leaving();
    Views.push_back(std::move(View));
  }
  return Views;
}

// Applies a host list. Schedules new slot plans if a host was added, removed, moved to another data
// centre or changed its leaving flag.
void applyHostList(Host &ThisHost, const std::vector<HostView> &HostList, TimePoint Now) {
  auto SummarizeHosts = [&] {
    std::vector<std::tuple<std::string, std::string, bool>> Rows;
    Rows.reserve(ThisHost.m_Members.m_Hosts.size());
    for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
      Rows.emplace_back(Id, View.m_DataCentre, View.m_IsLeaving);
    return Rows;
  };
  auto PreviousSummary = SummarizeHosts();
  setHosts(ThisHost.m_Members, HostList);
  if (SummarizeHosts() != PreviousSummary) {
    ThisHost.m_Sync->m_NextRelayCheckAt = Now;
    scheduleAllPlans(ThisHost, Now);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] First load and pulls
//-----------------------------------------------------------------------------

void finishLoad(Host &ThisHost, std::string_view Source) {
  SyncState &Sync = *ThisHost.m_Sync;
  if (!Sync.m_IsLoaded)
    logLine(LogLevel::Info, "config_loaded",
            {{"source", std::string(Source)},
             {"revision", std::to_string(ThisHost.m_Config.m_Revision)},
             {"objects", std::to_string(ThisHost.m_Config.m_Records.size())}});
  Sync.m_IsLoaded = true;
}

void listConfig(Host &ThisHost) {
  SyncState &Sync = *ThisHost.m_Sync;
  Sync.m_IsListInFlight = true;
  countPlatformCall(ThisHost, "list");
  using Answer = std::variant<platform::ListReply, PlatformError>;
  listObjects(
      *ThisHost.m_Platform, getSyncedPrefixes(),
      guardHost(ThisHost, [](Host &ThisHost, const Answer &Result) {
        SyncState &Sync = *ThisHost.m_Sync;
        Sync.m_IsListInFlight = false;
        const auto *Reply = std::get_if<platform::ListReply>(&Result);
        recordPlatformResult(ThisHost, Reply != nullptr);
        if (!Reply) {
          Sync.m_NextListAt = Clock::now() + computeBackoff(ThisHost, Sync.m_ListFailureCount++);
          return;
        }
        Sync.m_ListFailureCount = 0;
        Sync.m_NeedsList = false;
        std::vector<ConfigChange> Objects;
        for (const platform::Object &Entry : Reply->objects())
          Objects.push_back(decodeChange(Entry.name(), Entry.version(), false, Entry.value()));
        applyEffects(ThisHost, applySnapshot(ThisHost.m_Config, Objects, Reply->revision()));
        finishLoad(ThisHost, "platform");
      }));
}

void applyPeerConfig(Host &ThisHost, const peer::GetConfigReply &Reply) {
  std::vector<ConfigChange> Objects;
  for (const peer::ConfigObject &Entry : Reply.objects())
    Objects.push_back(decodeChange(Entry.name(), Entry.revision(), Entry.deleted(), Entry.value()));
  if (Reply.full()) {
    applyEffects(ThisHost, applySnapshot(ThisHost.m_Config, Objects, Reply.revision()));
  } else {
    for (const ConfigChange &Change : Objects)
      applyEffects(ThisHost, applyChange(ThisHost.m_Config, Change));
    advanceRevision(ThisHost.m_Config, Reply.revision());
  }
  if (Reply.revision() > 0)
    finishLoad(ThisHost, "host");
  if (!ThisHost.m_Sync->m_HasHostList && Reply.hosts_size() > 0)
    applyHostList(ThisHost, makeHostViews(Reply.hosts()), Clock::now());
}

void pullConfig(Host &ThisHost, const std::string &Address) {
  SyncState &Sync = *ThisHost.m_Sync;
  if (Sync.m_IsPullInFlight || !ThisHost.m_PeerLinks)
    return;
  Sync.m_IsPullInFlight = true;
  peer::GetConfigRequest Request;
  Request.set_since_revision(ThisHost.m_Config.m_Revision);
  using Answer = std::variant<peer::GetConfigReply, PeerError>;
  callGetConfig(*ThisHost.m_PeerLinks, Address, Request,
                Sync.m_IsLoaded ? PullTimeout : LoadTimeout,
                guardHost(ThisHost, [](Host &ThisHost, const Answer &Result) {
                  ThisHost.m_Sync->m_IsPullInFlight = false;
                  if (const auto *Reply = std::get_if<peer::GetConfigReply>(&Result))
                    applyPeerConfig(ThisHost, *Reply);
                  else if (!ThisHost.m_Sync->m_IsLoaded) // try the next host soon
                    ThisHost.m_Sync->m_NextPeerLoadAt = Clock::now() + computeBackoff(ThisHost, 0);
                }));
}

// Returns the addresses of other hosts: from the host list or, until there is one, from the
// settings.
std::vector<std::string> listPeerAddresses(const Host &ThisHost) {
  std::vector<std::string> Addresses;
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
    if (Id != ThisHost.m_Members.m_Self && !View.m_Address.empty())
      Addresses.push_back(View.m_Address);
  if (Addresses.empty())
    Addresses = ThisHost.m_Settings.m_SeedPeers;
  std::erase(Addresses, fmt::format("{}:{}", ThisHost.m_Settings.m_Peers.m_Address,
                                    ThisHost.m_Settings.m_Peers.m_Port));
  return Addresses;
}

void tickLoad(Host &ThisHost, TimePoint Now) {
  SyncState &Sync = *ThisHost.m_Sync;
  if (Sync.m_NeedsList && ThisHost.m_Platform && !Sync.m_IsListInFlight && Now >= Sync.m_NextListAt)
    listConfig(ThisHost);
  if (Sync.m_IsLoaded || Now < Sync.m_NextPeerLoadAt || Sync.m_IsPullInFlight)
    return;
  Sync.m_NextPeerLoadAt = Now + PeerLoadInterval;
  std::vector<std::string> Addresses = listPeerAddresses(ThisHost);
  if (!Addresses.empty())
    pullConfig(ThisHost, Addresses[Sync.m_PeerLoadCount++ % Addresses.size()]);
}

//-----------------------------------------------------------------------------
// [SECTION] Watch and host list
//-----------------------------------------------------------------------------

void dropWatch(Host &ThisHost, TimePoint Now) {
  SyncState &Sync = *ThisHost.m_Sync;
  Sync.m_Watch.reset();
  Sync.m_NextWatchAt = Now + computeBackoff(ThisHost, Sync.m_WatchFailureCount++);
  if (Sync.m_WatchFailureCount % FailuresBeforeRelist == 0)
    Sync.m_NeedsList = true;
}

void openWatch(Host &ThisHost, TimePoint Now) {
  SyncState &Sync = *ThisHost.m_Sync;
  Sync.m_IsWatchConfirmed = false;
  Sync.m_WatchOpenedAt = Now;
  countPlatformCall(ThisHost, "watch");
  using Answer = std::variant<platform::WatchEvent, PlatformError>;
  Sync.m_Watch =
      watchObjects(*ThisHost.m_Platform, getSyncedPrefixes(), ThisHost.m_Config.m_Revision,
                   guardHost(ThisHost, [](Host &ThisHost, const Answer &Result) {
                     const auto *Event = std::get_if<platform::WatchEvent>(&Result);
                     recordPlatformResult(ThisHost, Event != nullptr);
                     if (!Event) {
                       dropWatch(ThisHost, Clock::now());
                       return;
                     }
                     ThisHost.m_Sync->m_IsWatchConfirmed = true;
                     ThisHost.m_Sync->m_WatchFailureCount = 0;
                     for (const platform::Object &Entry : Event->changes())
                       applyObject(ThisHost, Entry);
                     advanceRevision(ThisHost.m_Config, Event->revision());
                   }));
}

void tickWatch(Host &ThisHost, TimePoint Now) {
  SyncState &Sync = *ThisHost.m_Sync;
  if (Now >= Sync.m_NextRelayCheckAt) {
    Sync.m_NextRelayCheckAt = Now + RelayCheckInterval;
    Sync.m_IsRelay = isRelay(ThisHost.m_Members, Now, ThisHost.m_Settings.m_Membership);
    if (!Sync.m_IsRelay)
      Sync.m_Watch.reset();
  }
  if (!Sync.m_IsRelay || !Sync.m_IsLoaded || !ThisHost.m_Platform)
    return;
  if (!Sync.m_Watch) {
    if (Now >= Sync.m_NextWatchAt)
      openWatch(ThisHost, Now);
    return;
  }
  Duration Age = Now - Sync.m_WatchOpenedAt;
  if (!Sync.m_IsWatchConfirmed && Age > 2 * ThisHost.m_Settings.m_Sync.m_PlatformTimeout)
    dropWatch(ThisHost, Now);
  else if (Age > WatchLifetime)
    openWatch(ThisHost, Now);
}

void tickHostList(Host &ThisHost, TimePoint Now) {
  SyncState &Sync = *ThisHost.m_Sync;
  if (!ThisHost.m_Platform || Sync.m_IsHostListInFlight || Now < Sync.m_NextHostListAt)
    return;
  Sync.m_IsHostListInFlight = true;
  size_t HostCount = ThisHost.m_Members.m_Hosts.size();
  Duration Interval =
      std::max(HostListInterval, std::chrono::seconds(HostCount / MaxHostListReadsPerSecond));
  Sync.m_NextHostListAt = Now + Interval * 9 / 10 + makeJitter(ThisHost, Interval / 5);
  countPlatformCall(ThisHost, "hosts");
  using Answer = std::variant<platform::HostsReply, PlatformError>;
  listPlatformHosts(*ThisHost.m_Platform,
                    guardHost(ThisHost, [](Host &ThisHost, const Answer &Result) {
                      SyncState &Sync = *ThisHost.m_Sync;
                      Sync.m_IsHostListInFlight = false;
                      const auto *Reply = std::get_if<platform::HostsReply>(&Result);
                      recordPlatformResult(ThisHost, Reply != nullptr);
                      TimePoint Now = Clock::now();
                      // A watch opened before a failed call may no longer deliver events.
                      if (!Reply && Sync.m_Watch && Sync.m_IsWatchConfirmed)
                        dropWatch(ThisHost, Now);
                      // With an empty list, every host would dispatch to all instances itself.
                      if (!Reply || Reply->hosts().empty())
                        return;
                      Sync.m_HasHostList = true;
                      applyHostList(ThisHost, makeHostViews(Reply->hosts()), Now);
                    }));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Shared with leases.cpp and rate_control.cpp
//-----------------------------------------------------------------------------

Duration computeBackoff(Host &ThisHost, uint32_t Failures, Duration Max) {
  return computeBackoffDelay(Failures, InitialBackoff, Max, ThisHost.m_Rng);
}

Duration makeJitter(Host &ThisHost, Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Max.count())(ThisHost.m_Rng));
}

std::string makeOperationId(Host &ThisHost) {
  return fmt::format("{}/{}/{}/{:016x}", ThisHost.m_Settings.m_HostId, ThisHost.m_Incarnation,
                     ThisHost.m_Sync->m_NextOperationId++, ThisHost.m_Rng());
}

void countPlatformCall(Host &ThisHost, const std::string &Kind) {
  ++ThisHost.m_Sync->m_PlatformCallCounts[Kind];
}

void recordPlatformResult(Host &ThisHost, bool HasSucceeded) {
  if (HasSucceeded)
    ThisHost.m_Sync->m_PlatformLastSeenAt = Clock::now();
  else if (ThisHost.m_Metrics)
    countEvent(*ThisHost.m_Metrics, "platform_call_failed");
}

void applyObject(Host &ThisHost, const platform::Object &Object) {
  applyEffects(ThisHost,
               applyChange(ThisHost.m_Config, decodeChange(Object.name(), Object.version(),
                                                           Object.deleted(), Object.value())));
}

void applyEffects(Host &ThisHost, const std::vector<ConfigEffect> &Effects) {
  TimePoint Now = Clock::now();
  for (const ConfigEffect &Effect : Effects) {
    if (const auto *EndedKey = std::get_if<KeyInvalidated>(&Effect)) {
      cancelKeyRequests(ThisHost, EndedKey->m_KeyId);
      if (ThisHost.m_OnKeyInvalidated)
        ThisHost.m_OnKeyInvalidated(EndedKey->m_KeyId);
    } else if (const auto *ChangedCustomer = std::get_if<CustomerChanged>(&Effect)) {
      refreshSlots(ThisHost, ChangedCustomer->m_Customer, Now);
      schedulePlan(ThisHost, ChangedCustomer->m_Customer, Now);
    } else if (const auto *ChangedSlots = std::get_if<SlotsChanged>(&Effect)) {
      refreshSlots(ThisHost, ChangedSlots->m_Customer, Now);
      schedulePlan(ThisHost, ChangedSlots->m_Customer, Now);
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Interface
//-----------------------------------------------------------------------------

std::shared_ptr<SyncState> makeSyncState() { return std::make_shared<SyncState>(); }

void startSync(Host &ThisHost) {
  TimePoint Now = Clock::now();
  ThisHost.m_Members.m_Self = ThisHost.m_Rate.m_Host = ThisHost.m_Settings.m_HostId;
  ThisHost.m_Members.m_DataCentre = ThisHost.m_Rate.m_DataCentre = ThisHost.m_Settings.m_DataCentre;
  HostView &Self = ThisHost.m_Members.m_Hosts[ThisHost.m_Settings.m_HostId];
  Self.m_Id = ThisHost.m_Settings.m_HostId;
  Self.m_DataCentre = ThisHost.m_Settings.m_DataCentre;
  // Sent to hosts that start while the platform is down.
  Self.m_Address = fmt::format("{}:{}", ThisHost.m_Settings.m_Peers.m_Address,
                               ThisHost.m_Settings.m_Peers.m_Port);
  Self.m_Incarnation = ThisHost.m_Incarnation;
  ThisHost.m_Sync->m_NextPeerLoadAt = Now + PeerLoadInterval;
  tickSync(ThisHost, Now);
}

void tickSync(Host &ThisHost, TimePoint Now) {
  tickLoad(ThisHost, Now);
  tickHostList(ThisHost, Now);
  tickWatch(ThisHost, Now);
  tickRateControl(ThisHost, Now);
}

peer::GetConfigReply handleGetConfig(Host &ThisHost, const peer::GetConfigRequest &Request) {
  const ConfigState &Config = ThisHost.m_Config;
  peer::GetConfigReply Reply;
  Reply.set_revision(Config.m_Revision);
  // This host may lack tombstones of deletions before m_CompleteSince.
  bool IsFull = Request.since_revision() < Config.m_CompleteSince;
  Reply.set_full(IsFull);
  auto AddObject = [&](const std::string &Name, uint64_t Revision, bool IsDeleted,
                       const std::string &Payload) {
    peer::ConfigObject *Object = Reply.add_objects();
    Object->set_name(Name);
    Object->set_revision(Revision);
    Object->set_deleted(IsDeleted);
    Object->set_value(Payload);
  };
  for (const std::string &Name : listChanges(Config, IsFull ? 0 : Request.since_revision())) {
    const ConfigRecord &Record = Config.m_Records.at(Name);
    // If the newest version does not parse, the version in force is sent as well.
    if (Record.m_ActiveRevision > 0 && Record.m_ActiveRevision != Record.m_Revision)
      AddObject(Name, Record.m_ActiveRevision, Record.m_ActivePayload.empty(),
                Record.m_ActivePayload);
    AddObject(Name, Record.m_Revision, Record.m_IsDeleted, Record.m_Payload);
  }
  if (ThisHost.m_Sync->m_HasHostList && Request.since_revision() == 0) {
    for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts) {
      peer::KnownHost *NewHost = Reply.add_hosts();
      NewHost->set_host(Id);
      NewHost->set_data_centre(View.m_DataCentre);
      NewHost->set_peer_address(View.m_Address);
      NewHost->set_leaving(View.m_IsLeaving);
    }
  }
  return Reply;
}

void pullNewerConfig(Host &ThisHost, const std::string &HostId, uint64_t Revision) {
  if (Revision <= ThisHost.m_Config.m_Revision)
    return;
  auto It = ThisHost.m_Members.m_Hosts.find(HostId);
  if (It != ThisHost.m_Members.m_Hosts.end() && !It->second.m_Address.empty())
    pullConfig(ThisHost, It->second.m_Address);
}

bool isCutOff(const Host &ThisHost, TimePoint Now) {
  Millis Limit = ThisHost.m_Settings.m_Sync.m_CutOffLimit;
  if (Limit <= Millis::zero())
    return false;
  TimePoint LastContactAt = std::max(ThisHost.m_StartedAt, ThisHost.m_Sync->m_PlatformLastSeenAt);
  for (const auto &[Id, View] : ThisHost.m_Members.m_Hosts)
    if (View.m_DataCentre != ThisHost.m_Members.m_DataCentre)
      LastContactAt = std::max(LastContactAt, View.m_LastSeenAt);
  return Now - LastContactAt > Limit;
}

std::string dumpSync(const Host &ThisHost) {
  const SyncState &Sync = *ThisHost.m_Sync;
  TimePoint Now = Clock::now();
  nlohmann::json Failures = nlohmann::json::object();
  for (const auto &[Name, Record] : ThisHost.m_Config.m_Records)
    if (!Record.m_ParseError.empty())
      Failures[Name] = {{"revision", Record.m_Revision},
                        {"in_force", Record.m_ActiveRevision},
                        {"error", Record.m_ParseError}};
  nlohmann::json Out = {{"revision", ThisHost.m_Config.m_Revision},
                        {"complete_since", ThisHost.m_Config.m_CompleteSince},
                        {"objects", ThisHost.m_Config.m_Records.size()},
                        {"loaded", Sync.m_IsLoaded},
                        {"relay", Sync.m_IsRelay},
                        {"watching", Sync.m_Watch && Sync.m_IsWatchConfirmed},
                        {"host_list_known", Sync.m_HasHostList},
                        {"cut_off", isCutOff(ThisHost, Now)},
                        {"parse_failures", std::move(Failures)},
                        {"platform_calls", Sync.m_PlatformCallCounts},
                        {"rate", dumpRateControl(ThisHost, Now)}};
  // Names and errors may contain invalid UTF-8 from a damaged object.
  return Out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace quetzalpaddle
