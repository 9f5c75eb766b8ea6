// Synchronizes configuration, instances and hosts with the platform's object store.
//
// A few hosts watch the configuration and the list of instances. The others get both from them
// (line_updates.cpp says when to ask them), and watch the store themselves only while no host that
// they know of has had a recent answer from it. A configuration has a version and is never replaced
// by an older one. A list of instances replaces the previous list. Entries may be missing from it
// just after the store was unavailable, so their removal is delayed then.
#include "line_host.h"

#include "platform/store_client.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace quetzalpaddle {

namespace {

using platform::Freshness;

// Maximum duration of a watch. A store that stops answering is noticed only at its end.
constexpr Millis WatchTimeout{4000};
// A watch of evacuations lasts half as long. An entry counts from the last confirmation before it,
// and about 2 s are needed to replace primaries within the limit.
constexpr int EvacuationWatchDivisor = 2;
// Minimum of the same after an answer that did not wait.
constexpr Millis MinWatchTimeout{1000};
// An answer of the store to another host counts as recent for this long: the duration of a watch
// and the time until gossip reports it.
constexpr Millis MaxStoreAnswerAge{7000};
// A leaving primary gets no new work this long before the leaving limit, so that statements in
// progress can finish.
constexpr Millis LeavingMargin{3500};
// The same after a time in which this host did not hear of changes: the primary may have begun to
// leave at its start. Shorter, since that time is counted already.
constexpr Millis LateLeavingMargin{1000};
// After its start a host waits up to this long for updates from others, unless it has read the host
// list and is a watcher.
constexpr Millis StartupWait{1500};
// Without the host list every host of a starting fleet would take itself for the only one and watch
// the store. After this time it does.
constexpr Millis HostListWait{4000};
// Interval of the check whether this host has to watch the store.
constexpr Millis WatchCheckInterval{200};
// Exponential back-off after a failed call, with jitter over its upper half.
constexpr Millis MinRetryDelay{100};
constexpr Millis MaxRetryDelay{1000};
// Maximum for hosts that watch only because no other host does: the watchers are the first to
// notice that the store is available again.
constexpr Millis MaxFallbackRetryDelay{4000};
// Instances whose entries expired while the store was unavailable register anew within 2 s of its
// return. Missing entries are removed only after this time.
constexpr Millis ExpiryGracePeriod{2500};
// A host that has not had its configuration confirmed for this long after its start uses it.
constexpr Millis ConfirmationTimeout{3000};
// A withdrawn key is remembered for this long, which is longer than any transaction.
constexpr std::chrono::minutes WithdrawnKeyRetention{2};

bool isOwnWatcher(const LineHost &Host, TimePoint Now) {
  std::set<std::string> WithoutStore;
  for (const auto &[Id, Peer] : Host.m_GossipStates)
    if (Peer.m_IsWithoutStore)
      WithoutStore.insert(Id);
  return isWatcher(Host.m_Members, Host.m_Roles, WithoutStore, Now, Host.m_MembershipSettings,
                   Host.m_HubSettings);
}

Duration nextRetryDelay(LineHost &Host, Duration &RetryDelay) {
  Duration MaxDelay = isOwnWatcher(Host, bootNow()) ? MaxRetryDelay : MaxFallbackRetryDelay;
  RetryDelay = std::clamp<Duration>(RetryDelay * 2, MinRetryDelay, MaxDelay);
  return RetryDelay / 2 + Duration(Host.m_Random() % (RetryDelay.count() / 2));
}

// Delays promotions by a process that has not seen the store available for long enough yet.
void restartCompletion(StoreSyncState &Store, TimePoint Now) {
  if (Store.m_InstancesCompleteAt == TimePoint{} || Now < Store.m_InstancesCompleteAt)
    Store.m_InstancesCompleteAt = Now + ExpiryGracePeriod;
}

void recordStoreReachability(LineHost &Host, bool IsReachable, std::string_view Call,
                             StoreFault Fault) {
  if (Host.m_Store.m_IsReachable == IsReachable)
    return;
  Host.m_Store.m_IsReachable = IsReachable;
  if (IsReachable) {
    Host.m_Store.m_ReachableSince = bootNow();
    if (Host.m_Store.m_InstancesCompleteAt != TimePoint{})
      restartCompletion(Host.m_Store, bootNow());
  }
  logLine(IsReachable ? LogLevel::Info : LogLevel::Warning,
          IsReachable ? "store_regained" : "store_lost",
          {{"call", std::string(Call)},
           {"why", IsReachable ? "" : std::string(storeFaultName(Fault))}});
}

bool isOutage(StoreFault Fault) {
  return Fault == StoreFault::Unreachable || Fault == StoreFault::NoAnswer ||
         Fault == StoreFault::Refused;
}

// --- Configuration ---

// Returns whose key it is. A caller with an unknown key may use the routes that need none.
std::string customerOf(const LineConfig &Config, const std::string &Key) {
  auto It = Config.m_Keys.find(Key);
  return It == Config.m_Keys.end() ? UnknownCustomer : It->second;
}

void recordWithdrawnKeys(LineHost &Host, const LineConfig &NewConfig) {
  TimePoint Now = bootNow();
  std::erase_if(Host.m_WithdrawnKeys, [&](const auto &Entry) {
    const auto &[Key, Customer] = Entry.first;
    return customerOf(NewConfig, Key) == Customer || Now - Entry.second > WithdrawnKeyRetention;
  });
  if (!Host.m_Config)
    return;
  auto NoteChange = [&](const std::string &Key) {
    std::string Customer = customerOf(*Host.m_Config, Key);
    if (customerOf(NewConfig, Key) != Customer)
      Host.m_WithdrawnKeys.try_emplace({Key, Customer}, Now);
  };
  for (const auto &[Key, Customer] : Host.m_Config->m_Keys)
    NoteChange(Key);
  for (const auto &[Key, Customer] : NewConfig.m_Keys)
    NoteChange(Key);
}

void applyConfig(LineHost &Host, const std::string &Payload, std::string_view Source) {
  auto DecodeResult = platform::decodeConfig(Payload);
  if (auto *DecodeError = std::get_if<std::string>(&DecodeResult)) {
    logLine(LogLevel::Error, "config_malformed", {{"why", *DecodeError}});
    return;
  }
  auto &NewConfig = std::get<LineConfig>(DecodeResult);
  uint64_t KnownVersion = Host.m_Config ? Host.m_Config->m_Version : 0;
  if (Host.m_Config && NewConfig.m_Version <= KnownVersion)
    return;
  recordWithdrawnKeys(Host, NewConfig);
  TimePoint Now = bootNow();
  std::erase_if(Host.m_Usage.m_Customers,
                [&](const auto &Entry) { return !NewConfig.m_Customers.contains(Entry.first); });
  for (const auto &[Name, Customer] : NewConfig.m_Customers)
    setCustomerLimits(Host.m_Usage, Name, Customer.m_Rate, Customer.m_Burst, Now);
  for (const auto &[Name, GroupConfig] : NewConfig.m_Groups) {
    LineGroup &Group = Host.m_Groups[Name];
    Group.m_Name = Name;
    Group.m_SyncReplicas = GroupConfig.m_SyncReplicas;
    Group.m_MaxConnections = GroupConfig.m_MaxConnections;
    Group.m_ColdPerSecond = GroupConfig.m_ColdPerSecond;
  }
  if (!NewConfig.m_MalformedParts.empty()) {
    countEvent(*Host.m_Metrics, "config_part_malformed");
    logLine(LogLevel::Error, "config_part_malformed",
            {{"version", std::to_string(NewConfig.m_Version)},
             {"parts", std::to_string(NewConfig.m_MalformedParts.size())},
             {"first", NewConfig.m_MalformedParts.front()}});
  }
  logLine(LogLevel::Info, "config_applied",
          {{"version", std::to_string(NewConfig.m_Version)},
           {"before", std::to_string(KnownVersion)},
           {"source", std::string(Source)},
           {"routes", std::to_string(NewConfig.m_Routes.size())},
           {"customers", std::to_string(NewConfig.m_Customers.size())}});
  Host.m_Config = std::make_shared<const LineConfig>(std::move(NewConfig));
  Host.m_ConfigAppliedAt = Now;
}

// --- Instances ---

void removeInstance(LineHost &Host, const std::string &Id, std::string_view RemovalReason) {
  LineGroup *Group = findGroupOf(Host, Id);
  Host.m_Store.m_InstancePayloads.erase(Id);
  if (!Group)
    return;
  TimePoint Now = bootNow();
  LineInstance &Instance = Group->m_Instances[Id];
  if (!Instance.m_IsListed)
    return;
  logLine(LogLevel::Info, "instance_unlisted",
          {{"instance", Id}, {"group", Group->m_Name}, {"why", std::string(RemovalReason)}});
  // An unlisted primary stays the group's primary until another instance is promoted: the choice of
  // a candidate has to know whose log it can do without.
  Instance.m_IsListed = false;
  Instance.m_UnlistedSince = Now;
}

void applyInstance(LineHost &Host, const StoredObjectVersion &Object) {
  auto DecodeResult = platform::decodeInstance(Object.m_Payload);
  if (auto *DecodeError = std::get_if<std::string>(&DecodeResult)) {
    countEvent(*Host.m_Metrics, "instance_malformed");
    logLine(LogLevel::Warning, "instance_malformed",
            {{"instance", Object.m_Name}, {"why", *DecodeError}});
    removeInstance(Host, Object.m_Name, "malformed");
    return;
  }
  Host.m_Store.m_InstancePayloads[Object.m_Name] = Object.m_Payload;
  auto &Update = std::get<LineInstance>(DecodeResult);
  if (LineGroup *OldGroup = findGroupOf(Host, Update.m_Id);
      OldGroup && OldGroup->m_Name != Update.m_Group)
    removeInstance(Host, Update.m_Id, "moved to another group");
  Host.m_GroupByInstance[Update.m_Id] = Update.m_Group;
  LineGroup &Group = Host.m_Groups[Update.m_Group];
  Group.m_Name = Update.m_Group;
  LineInstance &Instance = Group.m_Instances[Update.m_Id];
  bool IsNew = Instance.m_Id.empty() || Instance.m_StartTimeMs != Update.m_StartTimeMs ||
               !Instance.m_IsListed;
  bool HasChanged = IsNew || Instance.m_IsLeaving != Update.m_IsLeaving ||
                    Instance.m_ReportsPrimary != Update.m_ReportsPrimary;
  bool ReportsPrimary = Update.m_ReportsPrimary;
  if (IsNew) {
    bool IsRelisted = !Instance.m_Id.empty() && Instance.m_StartTimeMs == Update.m_StartTimeMs;
    bool IsFirstList = Host.m_Store.m_InstancesRevision == 0;
    Update.m_KnownSince = IsRelisted    ? Instance.m_KnownSince
                          : IsFirstList ? TimePoint{}
                                        : bootNow();
    Update.m_ReportsPrimary = false;
    Update.m_IsRecorded = Instance.m_IsRecorded; // it may have held commits in an earlier life
    Update.m_RebornAt = Instance.m_Id.empty() ? TimePoint{}
                        : IsRelisted          ? Instance.m_RebornAt
                                              : bootNow();
    Instance = Update;
  }
  Instance.m_Address = Update.m_Address;
  Instance.m_DataCentre = Update.m_DataCentre;
  Instance.m_SlotCount = Update.m_SlotCount;
  // The time starts only if this host saw the change. An instance that was already leaving when
  // first seen may be close to its end, and gets no such time.
  // A host that was cut off may have seen it late.
  if (Update.m_IsLeaving && !Instance.m_IsLeaving) {
    TimePoint Now = bootNow();
    Instance.m_AcceptsWorkUntil = std::min(
        Now + Host.m_Settings.m_LeavingTimeout - LeavingMargin,
        Host.m_Store.m_InstancesCurrentAt + Host.m_Settings.m_LeavingTimeout - LateLeavingMargin);
    logLine(LogLevel::Info, "instance_leaving",
            {{"instance", Update.m_Id},
             {"group", Update.m_Group},
             {"list_age_ms", std::to_string((Now - Host.m_Store.m_InstancesCurrentAt) / Millis(1))},
             {"current_by", Host.m_Store.m_InstancesCurrentBy},
             {"accepts_ms", std::to_string((Instance.m_AcceptsWorkUntil - Now) / Millis(1))}});
  }
  Instance.m_IsLeaving = Update.m_IsLeaving;
  noteColdEntry(Instance, Update.m_ColdTime, Object.m_Revision, bootNow());
  if (HasChanged)
    logLine(LogLevel::Info, "instance_listed",
            {{"instance", Update.m_Id},
             {"group", Update.m_Group},
             {"address", Update.m_Address},
             {"leaving", Update.m_IsLeaving ? "yes" : "no"},
             {"role", ReportsPrimary ? "primary" : "replica"},
             {"revision", std::to_string(Object.m_Revision)}});
  noteRole(Group, Update.m_Id, ReportsPrimary, bootNow());
}

void applyInstanceChanges(LineHost &Host, const StoreSnapshot &Changes) {
  bool IsStoreRecentlyRegained = bootNow() - Host.m_Store.m_ReachableSince < ExpiryGracePeriod;
  for (const StoredObjectVersion &Object : Changes.m_Objects) {
    if (!Object.m_IsDeleted) {
      applyInstance(Host, Object);
      continue;
    }
    if (!IsStoreRecentlyRegained) {
      removeInstance(Host, Object.m_Name, "deleted");
      continue;
    }
    // The entry may have expired while the store was unavailable. The instance is removed unless
    // the entry reappears in time.
    Host.m_Store.m_InstancePayloads.erase(Object.m_Name);
    addDeadline(Host.m_DeadlineQueue, bootNow() + ExpiryGracePeriod, [&Host, Id = Object.m_Name] {
      if (!Host.m_Store.m_InstancePayloads.contains(Id))
        removeInstance(Host, Id, "lapsed");
    });
  }
  // The store's revision rises with changes of every kind. Only changes of instances count here,
  // otherwise hosts would forward the same list repeatedly.
  if (!Changes.m_Objects.empty())
    Host.m_Store.m_InstancesRevision =
        std::max(Host.m_Store.m_InstancesRevision, Changes.m_Revision);
  Host.m_Store.m_InstancesUpdatedAt = bootNow();
  if (Host.m_Store.m_InstancesCompleteAt == TimePoint{})
    restartCompletion(Host.m_Store, bootNow());
}

// Applies a list of all instances. Known instances that are missing from it are treated as deleted.
void applyInstanceList(LineHost &Host, StoreSnapshot List) {
  std::set<std::string> PresentIds;
  for (const StoredObjectVersion &Object : List.m_Objects)
    PresentIds.insert(Object.m_Name);
  for (const auto &[Id, GroupName] : Host.m_GroupByInstance) {
    const LineInstance *Instance = findInstance(Host, Id);
    if (Instance && Instance->m_IsListed && !PresentIds.contains(Id))
      List.m_Objects.push_back({Id, List.m_Revision, true, {}});
  }
  applyInstanceChanges(Host, List);
}

// Lists the objects of a kind, then watches their changes. Lists them once more if the store no
// longer has the history since the last revision. NoteCurrent is called when what was applied is
// known to be the newest. ApplyChanges returns whether that was possible; if not, the objects are
// listed once more. WatchDivisor: by which the watches are shorter than WatchTimeout.
Awaitable<void> followObjects(LineHost &Host, std::string Kind,
                              std::function<void(StoreSnapshot)> ApplyList,
                              std::function<bool(const StoreSnapshot &)> ApplyChanges,
                              std::function<void()> NoteCurrent, int WatchDivisor = 1) {
  Duration RetryDelay{};
  bool MayBeOld = false; // the list was; the first watch fetches what it lacks without a wait
  uint64_t Revision = 0; // 0 = the next call is a list
  Millis NextTimeout = WatchTimeout / WatchDivisor;
  for (bool IsFirst = true;; IsFirst = false) {
    if (!IsFirst && RetryDelay == Duration::zero() && !shouldWatchStore(Host, bootNow())) {
      Revision = 0;
      co_await sleepFor(Host.m_Io, WatchCheckInterval);
      continue;
    }
    // g++ 12 miscompiles co_await in a conditional expression.
    platform::StoreResult<StoreSnapshot> Result = StoreFault::NoAnswer;
    // The first list may be old, because the watch or other hosts supply what it lacks. A list
    // after a gap in the history has to be newer than the gap.
    Freshness RequiredFreshness = IsFirst ? Freshness::AllowStale : Freshness::Newest;
    if (Revision == 0)
      Result = co_await platform::listObjects(Host.m_StoreClient, Kind, RequiredFreshness);
    else
      // After a failure the answer shows that the store is back; a watch would first wait for a
      // change.
      Result = co_await platform::watchObjects(
          Host.m_StoreClient, Kind, Revision,
          MayBeOld || RetryDelay != Duration::zero() ? Millis(0) : NextTimeout);
    if (auto *Fault = std::get_if<StoreFault>(&Result)) {
      if (*Fault == StoreFault::HistoryGone || *Fault == StoreFault::Malformed)
        Revision = 0;
      // A watch that breaks is normal. Only if the next call fails too is the store unavailable.
      if (isOutage(*Fault) && (Revision == 0 || RetryDelay != Duration::zero()))
        recordStoreReachability(Host, false, Kind, *Fault);
      co_await sleepFor(Host.m_Io, nextRetryDelay(Host, RetryDelay));
      continue;
    }
    recordStoreReachability(Host, true, Kind, StoreFault::NoAnswer);
    Host.m_Store.m_LastAnswerAt = bootNow();
    auto &Snapshot = std::get<StoreSnapshot>(Result);
    bool IsList = Revision == 0;
    bool HasWaited =
        !IsList && !MayBeOld && RetryDelay == Duration::zero() && Snapshot.m_Objects.empty();
    RetryDelay = Duration::zero();
    NextTimeout = chooseWatchTimeout(HasWaited, Host.m_Random) / WatchDivisor;
    Revision = Snapshot.m_Revision;
    if (!Snapshot.m_MalformedEntries.empty()) {
      countEvent(*Host.m_Metrics, "entry_malformed");
      logLine(LogLevel::Warning, "entry_malformed",
              {{"kind", Kind},
               {"entries", std::to_string(Snapshot.m_MalformedEntries.size())},
               {"first", Snapshot.m_MalformedEntries.front()}});
    }
    MayBeOld = IsList && RequiredFreshness == Freshness::AllowStale;
    if (IsList)
      ApplyList(std::move(Snapshot));
    else if (!ApplyChanges(Snapshot)) {
      Revision = 0;
      continue;
    }
    if (!MayBeOld)
      NoteCurrent();
  }
}

} // namespace

Millis chooseWatchTimeout(bool HasWaited, Random &Source) {
  if (HasWaited)
    return WatchTimeout;
  return MinWatchTimeout +
         Millis(Source() % static_cast<uint64_t>((WatchTimeout - MinWatchTimeout).count() + 1));
}

std::string_view storeFaultName(StoreFault Fault) {
  switch (Fault) {
  case StoreFault::Unreachable:
    return "unreachable";
  case StoreFault::NoAnswer:
    return "no_answer";
  case StoreFault::Refused:
    return "refused";
  case StoreFault::HistoryGone:
    return "history_gone";
  case StoreFault::Conflict:
    return "conflict";
  case StoreFault::NotFound:
    return "not_found";
  case StoreFault::Malformed:
    return "malformed";
  }
  return "unknown";
}

LineInstance *findInstance(LineHost &Host, const std::string &Instance) {
  LineGroup *Group = findGroupOf(Host, Instance);
  if (!Group)
    return nullptr;
  auto It = Group->m_Instances.find(Instance);
  return It == Group->m_Instances.end() ? nullptr : &It->second;
}

LineGroup *findGroupOf(LineHost &Host, const std::string &Instance) {
  auto NameIt = Host.m_GroupByInstance.find(Instance);
  if (NameIt == Host.m_GroupByInstance.end())
    return nullptr;
  auto It = Host.m_Groups.find(NameIt->second);
  return It == Host.m_Groups.end() ? nullptr : &It->second;
}

Awaitable<void> syncConfig(LineHost &Host) {
  auto ApplySnapshot = [&Host](const StoreSnapshot &Snapshot) {
    for (const StoredObjectVersion &Object : Snapshot.m_Objects)
      if (!Object.m_IsDeleted && Object.m_Name == platform::ConfigName)
        applyConfig(Host, Object.m_Payload, "store");
  };
  std::function<void(StoreSnapshot)> ApplyList = ApplySnapshot;
  std::function<bool(const StoreSnapshot &)> ApplyChanges = [&](const StoreSnapshot &Changes) {
    ApplySnapshot(Changes);
    return true;
  };
  std::function<void()> NoteCurrent = [&Host] {
    Host.m_IsConfigConfirmed = Host.m_Config != nullptr;
  };
  co_await followObjects(Host, platform::ConfigKind, ApplyList, ApplyChanges, NoteCurrent);
}

Awaitable<void> syncInstances(LineHost &Host) {
  std::function<void(StoreSnapshot)> ApplyList = [&Host](StoreSnapshot List) {
    applyInstanceList(Host, std::move(List));
  };
  std::function<bool(const StoreSnapshot &)> ApplyChanges = [&Host](const StoreSnapshot &Changes) {
    applyInstanceChanges(Host, Changes);
    return true;
  };
  std::function<void()> NoteCurrent = [&Host] {
    Host.m_Store.m_InstancesCurrentAt = bootNow();
    Host.m_Store.m_InstancesCurrentBy = Host.m_Settings.m_Host;
  };
  co_await followObjects(Host, platform::InstanceKind, ApplyList, ApplyChanges, NoteCurrent);
}

Awaitable<void> syncEvacuations(LineHost &Host) {
  bool IsOver = false; // the store has more entries than a list holds
  std::function<void(StoreSnapshot)> ApplyList = [&Host, &IsOver](const StoreSnapshot &List) {
    std::vector<EvacuationEntry> Entries;
    for (const StoredObjectVersion &Object : List.m_Objects)
      if (!Object.m_IsDeleted)
        Entries.push_back({Object.m_Revision, Object.m_Name});
    size_t Count = Entries.size();
    std::set<std::string> DataCentres = limitEvacuations(std::move(Entries));
    IsOver = DataCentres.size() < Count;
    if (IsOver) {
      countEvent(*Host.m_Metrics, "evacuations_over_limit");
      logLine(LogLevel::Warning, "evacuations_over_limit",
              {{"entries", std::to_string(Count)},
               {"applied", std::to_string(DataCentres.size())},
               {"revision", std::to_string(List.m_Revision)}});
    }
    if (applyEvacuations(Host.m_Evacuations, List.m_Revision, DataCentres))
      tickEvacuations(Host, bootNow());
  };
  std::function<bool(const StoreSnapshot &)> ApplyChanges =
      [&Host, &IsOver](const StoreSnapshot &Changes) {
        std::map<std::string, bool> IsEvacuated;
        for (const StoredObjectVersion &Object : Changes.m_Objects)
          IsEvacuated[Object.m_Name] = !Object.m_IsDeleted;
        // Which entries count then depends on some that this host does not keep.
        if (!IsEvacuated.empty() && (IsOver || !fitsEvacuations(Host.m_Evacuations, IsEvacuated)))
          return false;
        if (applyEvacuationChanges(Host.m_Evacuations, Changes.m_Revision, IsEvacuated)) {
          tickEvacuations(Host, bootNow());
          sendGossip(Host, bootNow());
        }
        return true;
      };
  std::function<void()> NoteCurrent = [&Host] { Host.m_Evacuations.m_CurrentAt = bootNow(); };
  co_await followObjects(Host, platform::EvacuationKind, ApplyList, ApplyChanges, NoteCurrent,
                         EvacuationWatchDivisor);
}

// Reads the list of hosts from the store and adds the new ones. The list may be seconds old: it
// introduces this host to some others, from whose updates it learns the rest. Returns whether this
// host is in it, or nothing if the store does not answer.
Awaitable<std::optional<bool>> listHosts(LineHost &Host) {
  auto Result =
      co_await platform::listObjects(Host.m_StoreClient, platform::HostKind, Freshness::AllowStale);
  auto *List = std::get_if<StoreSnapshot>(&Result);
  if (!List)
    co_return std::nullopt;
  bool IsPresent = false;
  for (const StoredObjectVersion &Object : List->m_Objects) {
    auto DecodeResult = platform::decodeHost(Object.m_Payload);
    auto *View = std::get_if<HostView>(&DecodeResult);
    if (!View) {
      logLine(LogLevel::Warning, "host_malformed",
              {{"peer", Object.m_Name}, {"why", std::get<std::string>(DecodeResult)}});
      continue;
    }
    auto [HostIt, IsNew] = Host.m_Members.m_Hosts.try_emplace(View->m_Id, *View);
    IsPresent = IsPresent || (View->m_Id == Host.m_Members.m_Self &&
                              View->m_Address == HostIt->second.m_Address);
  }
  co_return IsPresent;
}

Awaitable<void> registerHost(LineHost &Host) {
  // After a restart the object of the earlier process is still in the store, with the same content.
  auto IsListed = co_await listHosts(Host);
  Host.m_Store.m_IsRegistered = IsListed.value_or(false);
  Host.m_Store.m_HasHostList = Host.m_Store.m_IsRegistered || Host.m_Members.m_Hosts.size() > 1;
  Duration RetryDelay{};
  while (!Host.m_Store.m_IsRegistered) {
    const HostView &Self = Host.m_Members.m_Hosts[Host.m_Members.m_Self];
    auto CreateResult = co_await platform::createObject(Host.m_StoreClient, platform::HostKind,
                                                        Self.m_Id, platform::encodeHost(Self, 0));
    auto *Fault = std::get_if<StoreFault>(&CreateResult);
    Host.m_Store.m_IsRegistered = !Fault || *Fault == StoreFault::Conflict;
    if (!Host.m_Store.m_IsRegistered)
      co_await sleepFor(Host.m_Io, nextRetryDelay(Host, RetryDelay));
  }
  // While a whole fleet starts, the first lists are empty. One that contains this host contains all
  // that registered before it.
  RetryDelay = MaxRetryDelay / 2;
  while (!Host.m_Store.m_HasHostList) {
    co_await sleepFor(Host.m_Io, nextRetryDelay(Host, RetryDelay));
    Host.m_Store.m_HasHostList = (co_await listHosts(Host)).value_or(false);
  }
  logLine(LogLevel::Info, "host_registered",
          {{"hosts", std::to_string(Host.m_Members.m_Hosts.size())}});
}

bool hasCompleteInstances(const LineHost &Host, TimePoint Now) {
  const StoreSyncState &Store = Host.m_Store;
  bool IsRecentlyRegained =
      Store.m_ReachableSince != TimePoint{} && Now - Store.m_ReachableSince < ExpiryGracePeriod;
  return Store.m_InstancesCompleteAt != TimePoint{} && Now >= Store.m_InstancesCompleteAt &&
         !IsRecentlyRegained;
}

Awaitable<bool> refreshInstances(LineHost &Host) {
  auto Result =
      co_await platform::listObjects(Host.m_StoreClient, platform::InstanceKind, Freshness::Newest);
  auto *List = std::get_if<StoreSnapshot>(&Result);
  if (!List) {
    restartCompletion(Host.m_Store, bootNow());
    co_return false;
  }
  // This may be the first answer after an outage; a watch waits longer before it tries again.
  if (Host.m_Store.m_ReachableSince != TimePoint{})
    recordStoreReachability(Host, true, "instances", StoreFault::NoAnswer);
  // A watch may have shown later changes. Missing entries are left to it, which knows how long the
  // store has been available.
  for (const StoredObjectVersion &Object : List->m_Objects) {
    const LineInstance *Known = findInstance(Host, Object.m_Name);
    if (Object.m_IsDeleted)
      continue;
    if (!Known || !Known->m_IsListed || Object.m_Revision > Host.m_Store.m_InstancesRevision)
      applyInstance(Host, Object);
  }
  co_return hasCompleteInstances(Host, bootNow());
}

TimePoint newestStoreAnswer(const LineHost &Host) {
  TimePoint Newest = Host.m_Store.m_LastAnswerAt;
  for (const auto &[Id, Peer] : Host.m_GossipStates)
    Newest = std::max(Newest, Peer.m_LastStoreAnswerAt);
  return Newest;
}

bool shouldWatchStore(const LineHost &Host, TimePoint Now) {
  bool IsStarting =
      Now - Host.m_StartedAt < (Host.m_Store.m_HasHostList ? StartupWait : HostListWait);
  bool IsWatcher = isOwnWatcher(Host, Now);
  if (IsStarting && !(Host.m_Store.m_HasHostList && IsWatcher))
    return false;
  bool IsAnsweredToOthers = std::ranges::any_of(Host.m_GossipStates, [&](const auto &Entry) {
    return Now - Entry.second.m_LastStoreAnswerAt < MaxStoreAnswerAge &&
           Now - Entry.second.m_LastSeenAt < Host.m_MembershipSettings.m_LastSeenTimeout;
  });
  return IsWatcher || (!IsAnsweredToOthers &&
                       isFallbackWatcher(Host.m_Members, Host.m_Roles, Host.m_HubSettings));
}

bool canUseConfig(const LineHost &Host, TimePoint Now) {
  return Host.m_Config && knowsEvacuations(Host, Now) &&
         (Host.m_IsConfigConfirmed || Now - Host.m_StartedAt > ConfirmationTimeout);
}

void applyForwardedConfig(LineHost &Host, const line::ConfigReply &Reply) {
  if (!Reply.config().empty())
    applyConfig(Host, Reply.config(), "host");
  Host.m_IsConfigConfirmed = Host.m_Config != nullptr;
  if (Reply.instances_revision() <= Host.m_Store.m_InstancesRevision)
    return;
  StoreSnapshot List;
  List.m_Revision = Reply.instances_revision();
  for (const std::string &Payload : Reply.instances())
    if (auto Object = platform::decodeObject(Payload))
      List.m_Objects.push_back(std::move(*Object));
  applyInstanceList(Host, std::move(List));
}

} // namespace quetzalpaddle
