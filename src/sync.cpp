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

// With 2,000 hosts, an interval of 2 s would use half of the platform's 2,000 reads per second.
constexpr std::chrono::seconds HostListInterval{2};
constexpr size_t MaxHostListReadsPerSecond = 100; // by all hosts in total

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
void applyHostList(Host &H, const std::vector<HostView> &HostList, TimePoint Now) {
  auto SummarizeHosts = [&] {
    std::vector<std::tuple<std::string, std::string, bool>> Rows;
    Rows.reserve(H.m_Members.m_Hosts.size());
    for (const auto &[Id, View] : H.m_Members.m_Hosts)
      Rows.emplace_back(Id, View.m_DataCentre, View.m_IsLeaving);
    return Rows;
  };
  auto PreviousSummary = SummarizeHosts();
  setHosts(H.m_Members, HostList);
  if (SummarizeHosts() != PreviousSummary) {
    H.m_Sync->m_NextRelayCheckAt = Now;
    scheduleAllPlans(H, Now);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] First load and pulls
//-----------------------------------------------------------------------------

void finishLoad(Host &H, std::string_view Source) {
  SyncState &Sync = *H.m_Sync;
  if (!Sync.m_IsLoaded)
    logLine(LogLevel::Info, "config_loaded",
            {{"source", std::string(Source)},
             {"revision", std::to_string(H.m_Config.m_Revision)},
             {"objects", std::to_string(H.m_Config.m_Records.size())}});
  Sync.m_IsLoaded = true;
}

void listConfig(Host &H) {
  SyncState &Sync = *H.m_Sync;
  Sync.m_ListInFlight = true;
  countPlatformCall(H, "list");
  using Answer = std::variant<platform::ListReply, PlatformError>;
  listObjects(*H.m_Platform, getSyncedPrefixes(), guardHost(H, [](Host &H, const Answer &Result) {
    SyncState &Sync = *H.m_Sync;
    Sync.m_ListInFlight = false;
    const auto *Reply = std::get_if<platform::ListReply>(&Result);
    recordPlatformResult(H, Reply != nullptr);
    if (!Reply) {
      Sync.m_NextListAt = Clock::now() + computeBackoff(H, Sync.m_ListFailureCount++);
      return;
    }
    Sync.m_ListFailureCount = 0;
    Sync.m_NeedsList = false;
    std::vector<ConfigChange> Objects;
    for (const platform::Object &Entry : Reply->objects())
      Objects.push_back(decodeChange(Entry.name(), Entry.version(), false, Entry.value()));
    applyEffects(H, applySnapshot(H.m_Config, Objects, Reply->revision()));
    finishLoad(H, "platform");
  }));
}

void applyPeerConfig(Host &H, const peer::GetConfigReply &Reply) {
  std::vector<ConfigChange> Objects;
  for (const peer::ConfigObject &Entry : Reply.objects())
    Objects.push_back(decodeChange(Entry.name(), Entry.revision(), Entry.deleted(), Entry.value()));
  if (Reply.full()) {
    applyEffects(H, applySnapshot(H.m_Config, Objects, Reply.revision()));
  } else {
    for (const ConfigChange &Change : Objects)
      applyEffects(H, applyChange(H.m_Config, Change));
    advanceRevision(H.m_Config, Reply.revision());
  }
  if (Reply.revision() > 0)
    finishLoad(H, "host");
  if (!H.m_Sync->m_HasHostList && Reply.hosts_size() > 0)
    applyHostList(H, makeHostViews(Reply.hosts()), Clock::now());
}

void pullConfig(Host &H, const std::string &Address) {
  SyncState &Sync = *H.m_Sync;
  if (Sync.m_PullInFlight || !H.m_Links)
    return;
  Sync.m_PullInFlight = true;
  peer::GetConfigRequest Request;
  Request.set_since_revision(H.m_Config.m_Revision);
  using Answer = std::variant<peer::GetConfigReply, PeerError>;
  callGetConfig(*H.m_Links, Address, Request, Sync.m_IsLoaded ? PullTimeout : LoadTimeout,
                guardHost(H, [](Host &H, const Answer &Result) {
                  H.m_Sync->m_PullInFlight = false;
                  if (const auto *Reply = std::get_if<peer::GetConfigReply>(&Result))
                    applyPeerConfig(H, *Reply);
                  else if (!H.m_Sync->m_IsLoaded) // try the next host soon
                    H.m_Sync->m_NextPeerLoadAt = Clock::now() + computeBackoff(H, 0);
                }));
}

// Returns the addresses of other hosts: from the host list or, until there is one, from the
// settings.
std::vector<std::string> listPeerAddresses(const Host &H) {
  std::vector<std::string> Addresses;
  for (const auto &[Id, View] : H.m_Members.m_Hosts)
    if (Id != H.m_Members.m_Self && !View.m_Address.empty())
      Addresses.push_back(View.m_Address);
  if (Addresses.empty())
    Addresses = H.m_Settings.m_SeedPeers;
  std::erase(Addresses,
             fmt::format("{}:{}", H.m_Settings.m_Peers.m_Address, H.m_Settings.m_Peers.m_Port));
  return Addresses;
}

void tickLoad(Host &H, TimePoint Now) {
  SyncState &Sync = *H.m_Sync;
  if (Sync.m_NeedsList && H.m_Platform && !Sync.m_ListInFlight && Now >= Sync.m_NextListAt)
    listConfig(H);
  if (Sync.m_IsLoaded || Now < Sync.m_NextPeerLoadAt || Sync.m_PullInFlight)
    return;
  Sync.m_NextPeerLoadAt = Now + PeerLoadInterval;
  std::vector<std::string> Addresses = listPeerAddresses(H);
  if (!Addresses.empty())
    pullConfig(H, Addresses[Sync.m_PeerLoadCount++ % Addresses.size()]);
}

//-----------------------------------------------------------------------------
// [SECTION] Watch and host list
//-----------------------------------------------------------------------------

void dropWatch(Host &H, TimePoint Now) {
  SyncState &Sync = *H.m_Sync;
  Sync.m_Watch.reset();
  Sync.m_NextWatchAt = Now + computeBackoff(H, Sync.m_WatchFailureCount++);
  if (Sync.m_WatchFailureCount % FailuresBeforeRelist == 0)
    Sync.m_NeedsList = true;
}

void openWatch(Host &H, TimePoint Now) {
  SyncState &Sync = *H.m_Sync;
  Sync.m_IsWatchConfirmed = false;
  Sync.m_WatchSince = Now;
  countPlatformCall(H, "watch");
  using Answer = std::variant<platform::WatchEvent, PlatformError>;
  Sync.m_Watch = watchObjects(*H.m_Platform, getSyncedPrefixes(), H.m_Config.m_Revision,
                              guardHost(H, [](Host &H, const Answer &Result) {
                                const auto *Event = std::get_if<platform::WatchEvent>(&Result);
                                recordPlatformResult(H, Event != nullptr);
                                if (!Event) {
                                  dropWatch(H, Clock::now());
                                  return;
                                }
                                H.m_Sync->m_IsWatchConfirmed = true;
                                H.m_Sync->m_WatchFailureCount = 0;
                                for (const platform::Object &Entry : Event->changes())
                                  applyObject(H, Entry);
                                advanceRevision(H.m_Config, Event->revision());
                              }));
}

void tickWatch(Host &H, TimePoint Now) {
  SyncState &Sync = *H.m_Sync;
  if (Now >= Sync.m_NextRelayCheckAt) {
    Sync.m_NextRelayCheckAt = Now + RelayCheckInterval;
    Sync.m_IsRelay = isRelay(H.m_Members, Now, H.m_Settings.m_Membership);
    if (!Sync.m_IsRelay)
      Sync.m_Watch.reset();
  }
  if (!Sync.m_IsRelay || !Sync.m_IsLoaded || !H.m_Platform)
    return;
  if (!Sync.m_Watch) {
    if (Now >= Sync.m_NextWatchAt)
      openWatch(H, Now);
    return;
  }
  Duration Age = Now - Sync.m_WatchSince;
  if (!Sync.m_IsWatchConfirmed && Age > 2 * H.m_Settings.m_Sync.m_PlatformTimeout)
    dropWatch(H, Now);
  else if (Age > WatchLifetime)
    openWatch(H, Now);
}

void tickHostList(Host &H, TimePoint Now) {
  SyncState &Sync = *H.m_Sync;
  if (!H.m_Platform || Sync.m_HostsInFlight || Now < Sync.m_NextHostListAt)
    return;
  Sync.m_HostsInFlight = true;
  size_t HostCount = H.m_Members.m_Hosts.size();
  Duration Interval =
      std::max(HostListInterval, std::chrono::seconds(HostCount / MaxHostListReadsPerSecond));
  Sync.m_NextHostListAt = Now + Interval * 9 / 10 + makeJitter(H, Interval / 5);
  countPlatformCall(H, "hosts");
  using Answer = std::variant<platform::HostsReply, PlatformError>;
  listPlatformHosts(*H.m_Platform, guardHost(H, [](Host &H, const Answer &Result) {
    SyncState &Sync = *H.m_Sync;
    Sync.m_HostsInFlight = false;
    const auto *Reply = std::get_if<platform::HostsReply>(&Result);
    recordPlatformResult(H, Reply != nullptr);
    TimePoint Now = Clock::now();
    // A watch opened before a failed call may no longer deliver events.
    if (!Reply && Sync.m_Watch && Sync.m_IsWatchConfirmed)
      dropWatch(H, Now);
    // With an empty list, every host would dispatch to all instances itself.
    if (!Reply || Reply->hosts().empty())
      return;
    Sync.m_HasHostList = true;
    applyHostList(H, makeHostViews(Reply->hosts()), Now);
  }));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Shared with rate_control.cpp
//-----------------------------------------------------------------------------

Duration computeBackoff(Host &H, uint32_t Failures, Duration Max) {
  return computeBackoffDelay(Failures, InitialBackoff, Max, H.m_Rng);
}

Duration makeJitter(Host &H, Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Max.count())(H.m_Rng));
}

std::string makeOperationId(Host &H) {
  return fmt::format("{}/{}/{}/{:016x}", H.m_Settings.m_Host, H.m_Incarnation,
                     H.m_Sync->m_NextOperationId++, H.m_Rng());
}

void countPlatformCall(Host &H, const std::string &Kind) { ++H.m_Sync->m_PlatformCallCounts[Kind]; }

void recordPlatformResult(Host &H, bool HasSucceeded) {
  if (HasSucceeded)
    H.m_Sync->m_PlatformLastSeenAt = Clock::now();
  else if (H.m_Metrics)
    countEvent(*H.m_Metrics, "platform_call_failed");
}

void applyObject(Host &H, const platform::Object &Object) {
  applyEffects(H, applyChange(H.m_Config, decodeChange(Object.name(), Object.version(),
                                                       Object.deleted(), Object.value())));
}

void applyEffects(Host &H, const std::vector<ConfigEffect> &Effects) {
  TimePoint Now = Clock::now();
  for (const ConfigEffect &Effect : Effects) {
    if (const auto *EndedKey = std::get_if<KeyInvalidated>(&Effect)) {
      cancelKeyRequests(H, EndedKey->m_KeyId);
      if (H.m_OnKeyEnded)
        H.m_OnKeyEnded(EndedKey->m_KeyId);
    } else if (const auto *ChangedCustomer = std::get_if<CustomerChanged>(&Effect)) {
      refreshSlots(H, ChangedCustomer->m_Customer, Now);
      schedulePlan(H, ChangedCustomer->m_Customer, Now);
    } else if (const auto *ChangedSlots = std::get_if<SlotsChanged>(&Effect)) {
      refreshSlots(H, ChangedSlots->m_Customer, Now);
      schedulePlan(H, ChangedSlots->m_Customer, Now);
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Interface
//-----------------------------------------------------------------------------

std::shared_ptr<SyncState> makeSyncState() { return std::make_shared<SyncState>(); }

void startSync(Host &H) {
  TimePoint Now = Clock::now();
  H.m_Members.m_Self = H.m_Rate.m_Host = H.m_Settings.m_Host;
  H.m_Members.m_DataCentre = H.m_Rate.m_DataCentre = H.m_Settings.m_DataCentre;
  HostView &Self = H.m_Members.m_Hosts[H.m_Settings.m_Host];
  Self.m_Id = H.m_Settings.m_Host;
  Self.m_DataCentre = H.m_Settings.m_DataCentre;
  // Sent to hosts that start while the platform is down.
  Self.m_Address =
      fmt::format("{}:{}", H.m_Settings.m_Peers.m_Address, H.m_Settings.m_Peers.m_Port);
  Self.m_Incarnation = H.m_Incarnation;
  H.m_Sync->m_NextPeerLoadAt = Now + PeerLoadInterval;
  tickSync(H, Now);
}

void tickSync(Host &H, TimePoint Now) {
  tickLoad(H, Now);
  tickHostList(H, Now);
  tickWatch(H, Now);
  tickRateControl(H, Now);
}

peer::GetConfigReply handleGetConfig(Host &H, const peer::GetConfigRequest &Request) {
  const ConfigState &Config = H.m_Config;
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
  if (H.m_Sync->m_HasHostList && Request.since_revision() == 0) {
    for (const auto &[Id, View] : H.m_Members.m_Hosts) {
      peer::KnownHost *NewHost = Reply.add_hosts();
      NewHost->set_host(Id);
      NewHost->set_data_centre(View.m_DataCentre);
      NewHost->set_peer_address(View.m_Address);
      NewHost->set_leaving(View.m_IsLeaving);
    }
  }
  return Reply;
}

void pullNewerConfig(Host &H, const std::string &Host, uint64_t Revision) {
  if (Revision <= H.m_Config.m_Revision)
    return;
  auto It = H.m_Members.m_Hosts.find(Host);
  if (It != H.m_Members.m_Hosts.end() && !It->second.m_Address.empty())
    pullConfig(H, It->second.m_Address);
}

bool isCutOff(const Host &H, TimePoint Now) {
  Millis Limit = H.m_Settings.m_Sync.m_CutOffLimit;
  if (Limit <= Millis::zero())
    return false;
  TimePoint LastContactAt = std::max(H.m_StartedAt, H.m_Sync->m_PlatformLastSeenAt);
  for (const auto &[Id, View] : H.m_Members.m_Hosts)
    if (View.m_DataCentre != H.m_Members.m_DataCentre)
      LastContactAt = std::max(LastContactAt, View.m_LastSeenAt);
  return Now - LastContactAt > Limit;
}

std::string dumpSync(const Host &H) {
  const SyncState &Sync = *H.m_Sync;
  TimePoint Now = Clock::now();
  nlohmann::json Failures = nlohmann::json::object();
  for (const auto &[Name, Record] : H.m_Config.m_Records)
    if (!Record.m_ParseError.empty())
      Failures[Name] = {{"revision", Record.m_Revision},
                        {"in_force", Record.m_ActiveRevision},
                        {"error", Record.m_ParseError}};
  nlohmann::json Out = {{"revision", H.m_Config.m_Revision},
                        {"complete_since", H.m_Config.m_CompleteSince},
                        {"objects", H.m_Config.m_Records.size()},
                        {"loaded", Sync.m_IsLoaded},
                        {"relay", Sync.m_IsRelay},
                        {"watching", Sync.m_Watch && Sync.m_IsWatchConfirmed},
                        {"host_list_known", Sync.m_HasHostList},
                        {"cut_off", isCutOff(H, Now)},
                        {"parse_failures", std::move(Failures)},
                        {"platform_calls", Sync.m_PlatformCallCounts},
                        {"rate", dumpRateControl(H, Now)}};
  // Names and errors may contain invalid UTF-8 from a damaged object.
  return Out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace quetzalpaddle
