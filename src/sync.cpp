// Configuration and host list: first load, watch, catching up from other hosts.
#include "sync_state.h"

#include "config_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// rate/ spreads with the configuration: every host has to know who holds a customer's slots, and a
// list or watch of its own on each host would use up the reads that the platform allows.
const std::vector<std::string> &syncedPrefixes() {
  static const std::vector<std::string> Prefixes{"config/", "rate/"};
  return Prefixes;
}

// At 2,000 hosts an interval of 2 s would take half of the platform's 2,000 reads per second.
constexpr std::chrono::seconds HostsInterval{2};
constexpr size_t HostsReadsPerSecond = 100; // by all hosts together

// The platform gets a head start over the other hosts at the first load.
constexpr Millis PeerLoadInterval{250};
// A host that hangs must not keep this one from pulling from another for longer.
constexpr Millis PullTimeout{500};
constexpr Millis LoadTimeout{2000}; // of the whole configuration

constexpr Millis RelayCheckInterval{500};
// A watch can go silent without an error; opening it again costs one call per minute.
constexpr std::chrono::seconds WatchLifetime{60};
// A platform that no longer has the history since our revision refuses the watch every time.
constexpr uint32_t FailuresBeforeList = 4;

std::vector<HostView> viewsOf(const auto &Entries) {
  std::vector<HostView> Views;
  Views.reserve(static_cast<size_t>(Entries.size()));
  for (const auto &Each : Entries) {
    HostView View;
    View.m_Id = Each.host();
    View.m_DataCentre = Each.data_centre();
    View.m_Address = Each.peer_address();
    View.m_IsLeaving = Each.leaving();
    Views.push_back(std::move(View));
  }
  return Views;
}

// Takes over a host list; plans slots anew if a host has come, gone or moved.
void takeHosts(Host &H, const std::vector<HostView> &Listed, TimePoint Now) {
  auto Summary = [&] {
    std::vector<std::tuple<std::string, std::string, bool>> Rows;
    Rows.reserve(H.m_Members.m_Hosts.size());
    for (const auto &[Id, View] : H.m_Members.m_Hosts)
      Rows.emplace_back(Id, View.m_DataCentre, View.m_IsLeaving);
    return Rows;
  };
  auto Before = Summary();
  setHosts(H.m_Members, Listed);
  if (Summary() != Before) {
    H.m_Sync->m_NextRelayCheck = Now;
    planAllSoon(H, Now);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] First load and pulls
//-----------------------------------------------------------------------------

void finishLoad(Host &H, std::string_view Source) {
  SyncState &S = *H.m_Sync;
  if (!S.m_Loaded)
    logLine(LogLevel::Info, "config_loaded",
            {{"source", std::string(Source)},
             {"revision", std::to_string(H.m_Config.m_Revision)},
             {"objects", std::to_string(H.m_Config.m_Records.size())}});
  S.m_Loaded = true;
}

void listConfig(Host &H) {
  SyncState &S = *H.m_Sync;
  S.m_ListInFlight = true;
  countCall(H, "list");
  using Answer = std::variant<platform::ListReply, PlatformError>;
  listObjects(*H.m_Platform, syncedPrefixes(), guardHost(H, [](Host &H, const Answer &Result) {
    SyncState &S = *H.m_Sync;
    S.m_ListInFlight = false;
    const auto *Reply = std::get_if<platform::ListReply>(&Result);
    noteAnswered(H, Reply != nullptr);
    if (!Reply) {
      S.m_NextList = Clock::now() + backoffAfter(H, S.m_ListFailures++);
      return;
    }
    S.m_ListFailures = 0;
    S.m_ListWanted = false;
    std::vector<ConfigChange> Objects;
    for (const platform::Object &Each : Reply->objects())
      Objects.push_back(decodeChange(Each.name(), Each.version(), false, Each.value()));
    applyEffects(H, applySnapshot(H.m_Config, Objects, Reply->revision()));
    finishLoad(H, "platform");
  }));
}

void takeConfig(Host &H, const peer::GetConfigReply &Reply) {
  std::vector<ConfigChange> Objects;
  for (const peer::ConfigObject &Each : Reply.objects())
    Objects.push_back(decodeChange(Each.name(), Each.revision(), Each.deleted(), Each.value()));
  if (Reply.full()) {
    applyEffects(H, applySnapshot(H.m_Config, Objects, Reply.revision()));
  } else {
    for (const ConfigChange &Change : Objects)
      applyEffects(H, applyChange(H.m_Config, Change));
    advanceRevision(H.m_Config, Reply.revision());
  }
  if (Reply.revision() > 0)
    finishLoad(H, "host");
  if (!H.m_Sync->m_HostsListed && Reply.hosts_size() > 0)
    takeHosts(H, viewsOf(Reply.hosts()), Clock::now());
}

void pullConfig(Host &H, const std::string &Address) {
  SyncState &S = *H.m_Sync;
  if (S.m_PullInFlight || !H.m_Links)
    return;
  S.m_PullInFlight = true;
  peer::GetConfigRequest Request;
  Request.set_since_revision(H.m_Config.m_Revision);
  using Answer = std::variant<peer::GetConfigReply, PeerError>;
  callGetConfig(*H.m_Links, Address, Request, S.m_Loaded ? PullTimeout : LoadTimeout,
                guardHost(H, [](Host &H, const Answer &Result) {
                  H.m_Sync->m_PullInFlight = false;
                  if (const auto *Reply = std::get_if<peer::GetConfigReply>(&Result))
                    takeConfig(H, *Reply);
                  else if (!H.m_Sync->m_Loaded) // the next host at once
                    H.m_Sync->m_NextPeerLoad = Clock::now() + backoffAfter(H, 0);
                }));
}

// Addresses of other hosts: of the host list or, until there is one, of the settings.
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
  SyncState &S = *H.m_Sync;
  if (S.m_ListWanted && H.m_Platform && !S.m_ListInFlight && Now >= S.m_NextList)
    listConfig(H);
  if (S.m_Loaded || Now < S.m_NextPeerLoad || S.m_PullInFlight)
    return;
  S.m_NextPeerLoad = Now + PeerLoadInterval;
  std::vector<std::string> Addresses = listPeerAddresses(H);
  if (!Addresses.empty())
    pullConfig(H, Addresses[S.m_PeerLoads++ % Addresses.size()]);
}

//-----------------------------------------------------------------------------
// [SECTION] Watch and host list
//-----------------------------------------------------------------------------

void dropWatch(Host &H, TimePoint Now) {
  SyncState &S = *H.m_Sync;
  S.m_Watch.reset();
  S.m_NextWatch = Now + backoffAfter(H, S.m_WatchFailures++);
  if (S.m_WatchFailures % FailuresBeforeList == 0)
    S.m_ListWanted = true;
}

void openWatch(Host &H, TimePoint Now) {
  SyncState &S = *H.m_Sync;
  S.m_WatchConfirmed = false;
  S.m_WatchSince = Now;
  countCall(H, "watch");
  using Answer = std::variant<platform::WatchEvent, PlatformError>;
  S.m_Watch = watchObjects(*H.m_Platform, syncedPrefixes(), H.m_Config.m_Revision,
                           guardHost(H, [](Host &H, const Answer &Result) {
                             const auto *Event = std::get_if<platform::WatchEvent>(&Result);
                             noteAnswered(H, Event != nullptr);
                             if (!Event) {
                               dropWatch(H, Clock::now());
                               return;
                             }
                             H.m_Sync->m_WatchConfirmed = true;
                             H.m_Sync->m_WatchFailures = 0;
                             for (const platform::Object &Each : Event->changes())
                               takeObject(H, Each);
                             advanceRevision(H.m_Config, Event->revision());
                           }));
}

void tickWatch(Host &H, TimePoint Now) {
  SyncState &S = *H.m_Sync;
  if (Now >= S.m_NextRelayCheck) {
    S.m_NextRelayCheck = Now + RelayCheckInterval;
    S.m_Relay = isRelay(H.m_Members, Now, H.m_Settings.m_Membership);
    if (!S.m_Relay)
      S.m_Watch.reset();
  }
  if (!S.m_Relay || !S.m_Loaded || !H.m_Platform)
    return;
  if (!S.m_Watch) {
    if (Now >= S.m_NextWatch)
      openWatch(H, Now);
    return;
  }
  Duration Age = Now - S.m_WatchSince;
  if (!S.m_WatchConfirmed && Age > 2 * H.m_Settings.m_Sync.m_PlatformTimeout)
    dropWatch(H, Now);
  else if (Age > WatchLifetime)
    openWatch(H, Now);
}

void tickHosts(Host &H, TimePoint Now) {
  SyncState &S = *H.m_Sync;
  if (!H.m_Platform || S.m_HostsInFlight || Now < S.m_NextHosts)
    return;
  S.m_HostsInFlight = true;
  size_t Listed = H.m_Members.m_Hosts.size();
  Duration Interval = std::max(HostsInterval, std::chrono::seconds(Listed / HostsReadsPerSecond));
  S.m_NextHosts = Now + Interval * 9 / 10 + jitterUpTo(H, Interval / 5);
  countCall(H, "hosts");
  using Answer = std::variant<platform::HostsReply, PlatformError>;
  listPlatformHosts(*H.m_Platform, guardHost(H, [](Host &H, const Answer &Result) {
    SyncState &S = *H.m_Sync;
    S.m_HostsInFlight = false;
    const auto *Reply = std::get_if<platform::HostsReply>(&Result);
    noteAnswered(H, Reply != nullptr);
    TimePoint Now = Clock::now();
    // A watch that was opened before a failed call may have gone silent.
    if (!Reply && S.m_Watch && S.m_WatchConfirmed)
      dropWatch(H, Now);
    // An empty list would make every host dispatch everything by itself.
    if (!Reply || Reply->hosts().empty())
      return;
    S.m_HostsListed = true;
    takeHosts(H, viewsOf(Reply->hosts()), Now);
  }));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Shared with rate_control.cpp
//-----------------------------------------------------------------------------

Duration backoffAfter(Host &H, uint32_t Failures, Duration Most) {
  return computeBackoffDelay(Failures, BackoffFirst, Most, H.m_Rng);
}

Duration jitterUpTo(Host &H, Duration Most) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Most.count())(H.m_Rng));
}

std::string makeOperationId(Host &H) {
  return fmt::format("{}/{}/{}/{:016x}", H.m_Settings.m_Host, H.m_Incarnation,
                     H.m_Sync->m_NextOperation++, H.m_Rng());
}

void countCall(Host &H, const std::string &Kind) { ++H.m_Sync->m_Calls[Kind]; }

void noteAnswered(Host &H, bool Answered) {
  if (Answered)
    H.m_Sync->m_PlatformHeardAt = Clock::now();
  else if (H.m_Metrics)
    countEvent(*H.m_Metrics, "platform_call_failed");
}

void takeObject(Host &H, const platform::Object &Object) {
  applyEffects(H, applyChange(H.m_Config, decodeChange(Object.name(), Object.version(),
                                                       Object.deleted(), Object.value())));
}

void applyEffects(Host &H, const std::vector<ConfigEffect> &Effects) {
  TimePoint Now = Clock::now();
  for (const ConfigEffect &Effect : Effects) {
    if (const auto *Ended = std::get_if<KeyInvalidated>(&Effect)) {
      endKey(H, Ended->m_KeyId);
      if (H.m_KeyEnded)
        H.m_KeyEnded(Ended->m_KeyId);
    } else if (const auto *Changed = std::get_if<CustomerChanged>(&Effect)) {
      refreshSlots(H, Changed->m_Customer, Now);
      planSoon(H, Changed->m_Customer, Now);
    } else if (const auto *Slots = std::get_if<SlotsChanged>(&Effect)) {
      refreshSlots(H, Slots->m_Customer, Now);
      planSoon(H, Slots->m_Customer, Now);
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
  // Told to hosts that start while the platform is down.
  Self.m_Address =
      fmt::format("{}:{}", H.m_Settings.m_Peers.m_Address, H.m_Settings.m_Peers.m_Port);
  Self.m_Incarnation = H.m_Incarnation;
  H.m_Sync->m_NextPeerLoad = Now + PeerLoadInterval;
  tickSync(H, Now);
}

void tickSync(Host &H, TimePoint Now) {
  tickLoad(H, Now);
  tickHosts(H, Now);
  tickWatch(H, Now);
  tickRateControl(H, Now);
}

peer::GetConfigReply handleGetConfig(Host &H, const peer::GetConfigRequest &Request) {
  const ConfigState &C = H.m_Config;
  peer::GetConfigReply Reply;
  Reply.set_revision(C.m_Revision);
  // Deletions before m_CompleteSince may have no tombstone here.
  bool Full = Request.since_revision() < C.m_CompleteSince;
  Reply.set_full(Full);
  auto Add = [&](const std::string &Name, uint64_t Revision, bool Deleted,
                 const std::string &Payload) {
    peer::ConfigObject *Object = Reply.add_objects();
    Object->set_name(Name);
    Object->set_revision(Revision);
    Object->set_deleted(Deleted);
    Object->set_value(Payload);
  };
  for (const std::string &Name : listChanges(C, Full ? 0 : Request.since_revision())) {
    const ConfigRecord &Record = C.m_Records.at(Name);
    // The version in force comes along if the newest one does not parse.
    if (Record.m_ActiveRevision > 0 && Record.m_ActiveRevision != Record.m_Revision)
      Add(Name, Record.m_ActiveRevision, Record.m_ActivePayload.empty(), Record.m_ActivePayload);
    Add(Name, Record.m_Revision, Record.m_IsDeleted, Record.m_Payload);
  }
  if (H.m_Sync->m_HostsListed && Request.since_revision() == 0) {
    for (const auto &[Id, View] : H.m_Members.m_Hosts) {
      peer::KnownHost *Known = Reply.add_hosts();
      Known->set_host(Id);
      Known->set_data_centre(View.m_DataCentre);
      Known->set_peer_address(View.m_Address);
      Known->set_leaving(View.m_IsLeaving);
    }
  }
  return Reply;
}

void noteRevision(Host &H, const std::string &Host, uint64_t Revision) {
  if (Revision <= H.m_Config.m_Revision)
    return;
  auto Found = H.m_Members.m_Hosts.find(Host);
  if (Found != H.m_Members.m_Hosts.end() && !Found->second.m_Address.empty())
    pullConfig(H, Found->second.m_Address);
}

bool isCutOff(const Host &H, TimePoint Now) {
  Millis Limit = H.m_Settings.m_Sync.m_CutOffLimit;
  if (Limit <= Millis::zero())
    return false;
  TimePoint News = std::max(H.m_StartedAt, H.m_Sync->m_PlatformHeardAt);
  for (const auto &[Id, View] : H.m_Members.m_Hosts)
    if (View.m_DataCentre != H.m_Members.m_DataCentre)
      News = std::max(News, View.m_LastSeenAt);
  return Now - News > Limit;
}

std::string dumpSync(const Host &H) {
  const SyncState &S = *H.m_Sync;
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
                        {"loaded", S.m_Loaded},
                        {"relay", S.m_Relay},
                        {"watching", S.m_Watch && S.m_WatchConfirmed},
                        {"host_list_known", S.m_HostsListed},
                        {"cut_off", isCutOff(H, Now)},
                        {"parse_failures", std::move(Failures)},
                        {"platform_calls", S.m_Calls},
                        {"rate", dumpRateControl(H, Now)}};
  // Names and errors may quote bytes of a damaged object.
  return Out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace quetzalpaddle
