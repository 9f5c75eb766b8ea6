// What updates between hosts contain: identity of hosts, version of the configuration, positions of
// primaries, queues of instances, and requests admitted for each customer. Free of I/O and clock
// reads. line_updates_apply.cpp applies them.
//
// A hub exchanges updates with all other hubs, a leaf with its home hub only. Updates are sent at a
// short interval, which shows that the host is alive, but contain little: what only this host can
// tell (positions of the primaries and queues of the instances that it dispatches to, duties that
// it holds, usage of its callers) and what has changed. A full update at a longer interval makes up
// for lost datagrams. The traffic between data centres thus grows with the work and with the number
// of hubs, not with the number of hosts, groups and customers.
#include "line_updates.h"
#include "line_host.h"

#include <algorithm>
#include <utility>

namespace quetzalpaddle {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// Interval of full updates.
constexpr Millis FullUpdateInterval{1000};
// A group of which this host knows nothing of its own is repeated in one of this many full updates.
constexpr size_t FullUpdatesPerGroup = 3;
// A change is repeated for this long: a few updates, since any of them may be lost.
constexpr Millis ChangeRepeatTime{500};
// A host that was learnt less than this long ago is passed on.
constexpr Millis NewHostTime{2000};
// Hosts listed in an update: recently learnt ones, and, in a full one, randomly chosen ones, so
// that every host learns of every other one.
constexpr size_t MaxNewHosts = 4;
constexpr size_t RandomHostsPerUpdate = 6;
// A dispatcher reports on an instance in every update while it has been used within this time.
constexpr Millis DispatchActiveTime{1000};
// Changes of an instance's expected wait below this are left to the full updates.
constexpr Millis MinReportedWait{2};
// An older report of an instance's expected wait counts for nothing (balance.h).
constexpr std::chrono::seconds MaxReportedAge{60};
// A customer with fewer arriving requests per second, and none admitted since the last update, is
// left out.
constexpr double MinOfferedRate = 0.05;
constexpr double MaxOfferedRate = 1e7; // in CompactUsage
// A position that replicas have confirmed is passed on for this long; by then there is a newer one.
constexpr Millis ReplicaConfirmationAge{2000};
// A host without a message for this long, three updates, may be cut off from this one.
constexpr Millis UsageSilenceTimeout{600};
// A report that an instance is unreachable is forwarded for this long.
constexpr Millis UnreachableReportTimeout{1000};

uint64_t toMicros(TimePoint At) {
  return static_cast<uint64_t>(duration_cast<microseconds>(At.time_since_epoch()).count());
}

uint32_t toMicros(Duration D) {
  return static_cast<uint32_t>(duration_cast<microseconds>(D).count());
}

// The update that is being built.
struct Draft {
  TimePoint m_Now{};
  bool m_IsFull = false;
  bool m_IsForLeaves = false;
};

bool isActive(const InstanceDispatch &Dispatch, TimePoint Now) {
  return Now - Dispatch.m_LastAnswerAt < DispatchActiveTime ||
         Now - Dispatch.m_LastFailureAt < DispatchActiveTime ||
         Dispatch.m_Queue.m_QueuedCount > 0 || Dispatch.m_Queue.m_RunningCount > 0;
}

// Returns the token of the promotion duty that this host announces for a group; 0 if none. A holder
// that is disconnected from the store cannot raise its token, and one that has just reached it
// again may not know all instances. It stops announcing the token, so that another host takes the
// duty over.
uint64_t announcedToken(const LineHost &Host, const std::string &Group, TimePoint Now) {
  auto It = Host.m_Takeovers.find(Group);
  bool CanPromote = Host.m_Roles.m_IsHub && !Host.m_IsDraining && Host.m_Store.m_IsReachable &&
                    hasCompleteInstances(Host, Now);
  return It != Host.m_Takeovers.end() && CanPromote ? It->second.m_Duty.m_Token : 0;
}

// Returns whether a group's state has changed lately, and records the state that is sent.
bool noteGroupState(SentUpdates &Sent, const line::GroupNews &Update, TimePoint Now) {
  SentGroup &Last = Sent.m_Groups[Update.group()];
  SentGroup Current{Update.primary(),
                    Update.generation(),
                    Update.switching(),
                    Update.settled(),
                    {Update.successors().begin(), Update.successors().end()},
                    Update.writes_stalled(),
                    Last.m_ChangedAt};
  bool HasChanged =
      Current.m_Primary != Last.m_Primary || Current.m_Generation != Last.m_Generation ||
      Current.m_PendingGeneration != Last.m_PendingGeneration ||
      Current.m_SettledGeneration != Last.m_SettledGeneration ||
      Current.m_Successors != Last.m_Successors || Current.m_WritesStalled != Last.m_WritesStalled;
  if (HasChanged)
    Current.m_ChangedAt = Now;
  Last = Current;
  return Now - Current.m_ChangedAt < ChangeRepeatTime;
}

// Adds the newest position that the replicas of a lost primary have confirmed, if it is recent.
bool addReplicaConfirmation(const LineGroup &Group, line::GroupNews &News, TimePoint Now) {
  auto Newest = newestConfirmedPosition(Group.m_ReplicaHistory);
  if (!Newest || Now - Newest->m_SentAt > ReplicaConfirmationAge)
    return false;
  News.mutable_replicated()->set_term(Newest->m_Position.m_Term);
  News.mutable_replicated()->set_index(Newest->m_Position.m_Index);
  News.set_replicated_age_us(
      std::max<uint64_t>(1, duration_cast<microseconds>(Now - Newest->m_SentAt).count()));
  return true;
}

void addGroupUpdates(LineHost &Host, line::Gossip &Message, const Draft &Update) {
  TimePoint Now = Update.m_Now;
  size_t Position = 0;
  for (const auto &[Name, Group] : Host.m_Groups) {
    line::GroupNews News;
    News.set_group(Name);
    News.set_primary(Group.m_Primary);
    News.set_generation(Group.m_Generation);
    auto It = Host.m_Takeovers.find(Name);
    // Only its promoter reports a promotion: others do not know when it has ended. It does so until
    // no order is open.
    if (It != Host.m_Takeovers.end() && Group.m_PendingGeneration != 0 &&
        (It->second.m_IsRunning || !It->second.m_Duty.m_OpenOrders.empty()) &&
        Group.m_PendingGeneration == It->second.m_Duty.m_Token)
      News.set_switching(Group.m_PendingGeneration);
    News.set_settled(Group.m_SettledGeneration);
    for (const std::string &Id : Group.m_Successors)
      News.add_successors(Id);
    if (!Group.m_Successors.empty())
      News.set_successor_token(Group.m_SuccessorToken);
    uint64_t DutyToken = announcedToken(Host, Name, Now);
    News.set_duty_token(DutyToken);
    News.set_writes_stalled(Group.m_WritesStalled &&
                            Now - Group.m_WritesStalledAt < StallReportTimeout);
    if (auto NewestConfirmation = newestConfirmedPosition(Group.m_History)) {
      News.mutable_proved()->set_term(NewestConfirmation->m_Position.m_Term);
      News.mutable_proved()->set_index(NewestConfirmation->m_Position.m_Index);
      News.set_proved_age_us(std::max<uint64_t>(
          1, duration_cast<microseconds>(Now - NewestConfirmation->m_SentAt).count()));
    }
    bool IsConfirmedByReplicas = addReplicaConfirmation(Group, News, Now);
    auto Dispatch = Host.m_Dispatches.find(Group.m_Primary);
    bool IsDispatcher = Dispatch != Host.m_Dispatches.end() && isActive(Dispatch->second, Now);
    bool HasChanged = noteGroupState(Host.m_SentUpdates, News, Now);
    // Leaves hear from their home hub only, which forwards what it has just heard.
    if (Update.m_IsForLeaves && Group.m_PendingGeneration != 0 &&
        Now - Group.m_PendingGenerationAt < ChangeRepeatTime)
      News.set_switching(Group.m_PendingGeneration);
    bool IsInTurn =
        Update.m_IsFull && (Position++ + Host.m_SentUpdates.m_FullCount) % FullUpdatesPerGroup == 0;
    if (IsInTurn || Update.m_IsForLeaves || IsDispatcher || DutyToken != 0 || HasChanged ||
        IsConfirmedByReplicas || !Group.m_Successors.empty())
      *Message.add_groups() = std::move(News);
  }
}

// Adds the instances that this host dispatches to, or all instances for an update to leaves.
void addInstanceUpdates(LineHost &Host, line::Gossip &Message, const Draft &Update) {
  TimePoint Now = Update.m_Now;
  for (const auto &[Id, GroupName] : Host.m_GroupByInstance) {
    auto Found = Host.m_Dispatches.find(Id);
    InstanceDispatch *OwnDispatch = Found == Host.m_Dispatches.end() ? nullptr : &Found->second;
    const LineInstance *Instance = findInstance(Host, Id);
    if (!Instance || !Instance->m_IsListed || (!OwnDispatch && !Update.m_IsForLeaves))
      continue;
    // The state of a dispatch that was retired is older than what its new dispatcher reports.
    if (OwnDispatch && !isActive(*OwnDispatch, Now) &&
        findDispatcher(Host, *Instance, {}, Now) != Host.m_Members.m_Self)
      OwnDispatch = nullptr;
    if (!OwnDispatch && !Update.m_IsForLeaves)
      continue;
    Duration Wait = OwnDispatch ? expectedWait(*OwnDispatch) : Instance->m_ExpectedWait;
    bool IsUnreachable =
        OwnDispatch ? OwnDispatch->m_IsUnreachable
                    : Instance->m_IsUnreachable &&
                          Now - Instance->m_UnreachableReportedAt < UnreachableReportTimeout;
    SentInstance &Last = Update.m_IsForLeaves ? Host.m_SentUpdates.m_InstancesToLeaves[Id]
                                              : Host.m_SentUpdates.m_InstancesToHubs[Id];
    bool HasChanged = Last.m_IsUnreachable != IsUnreachable ||
                      std::chrono::abs(Last.m_Wait - Wait) >= MinReportedWait;
    Last.m_ChangedAt = HasChanged ? Now : Last.m_ChangedAt;
    bool IsDue = Update.m_IsFull || Now - Last.m_ChangedAt < ChangeRepeatTime ||
                 (!Update.m_IsForLeaves && isActive(*OwnDispatch, Now));
    if (!IsDue)
      continue;
    Last.m_Wait = Wait;
    Last.m_IsUnreachable = IsUnreachable;
    line::InstanceNews &News = *Message.add_instances();
    News.set_instance(Id);
    News.set_wait_us(toMicros(Wait));
    if (!OwnDispatch)
      News.set_wait_age_ms(static_cast<uint32_t>(
          duration_cast<Millis>(
              std::min<Duration>(Now - Instance->m_ExpectedWaitAt, MaxReportedAge))
              .count()));
    News.set_unreachable(IsUnreachable);
    News.mutable_applied()->set_term(Instance->m_AppliedPosition.m_Term);
    News.mutable_applied()->set_index(Instance->m_AppliedPosition.m_Index);
  }
}

// Usage of customers that an update contains, by name.
using UsageReports = std::vector<std::pair<std::string, UsageReport>>;

void addUsage(line::Gossip &Message, const UsageReports &Reports) {
  for (const auto &[Customer, Report] : Reports) {
    line::CustomerUse &Usage = *Message.add_uses();
    Usage.set_customer(Customer);
    Usage.set_admitted(Report.m_AdmittedCount);
    Usage.set_offered(static_cast<float>(Report.m_OfferedRate));
    Usage.set_callers(static_cast<float>(Report.m_CallerRate));
  }
}

// Adds the reports in a quarter of the bytes, for a receiver that has the same configuration.
void addCompactUsage(const LineHost &Host, line::Gossip &Message, const UsageReports &Reports) {
  if (Reports.empty())
    return;
  line::CompactUsage &Compact = *Message.mutable_compact_uses();
  Compact.set_config_version(Host.m_Config->m_Version);
  // Both are ordered by name.
  auto It = Host.m_Config->m_Customers.begin();
  uint32_t Index = 0;
  for (const auto &[Customer, Report] : Reports) {
    for (; It != Host.m_Config->m_Customers.end() && It->first < Customer; ++It)
      ++Index;
    if (It == Host.m_Config->m_Customers.end() || It->first != Customer)
      continue;
    Compact.add_customers(Index);
    Compact.add_admitted(static_cast<uint64_t>(std::max(Report.m_AdmittedCount, 0.0)));
    auto ToUnits = [](double Rate) {
      return static_cast<uint32_t>(std::min(Rate, MaxOfferedRate) * CompactRateUnitsPerRequest);
    };
    Compact.add_offered(ToUnits(Report.m_OfferedRate));
    Compact.add_callers(ToUnits(Report.m_CallerRate));
  }
}

bool readsCompactUsage(const LineHost &Host, const std::string &Receiver) {
  auto It = Host.m_GossipStates.find(Receiver);
  return Host.m_Config && It != Host.m_GossipStates.end() && It->second.m_ReadsCompactUsage &&
         It->second.m_ConfigVersion == Host.m_Config->m_Version;
}

void addUsageFor(const LineHost &Host, const std::string &Receiver, line::Gossip &Message,
                 const UsageReports &Reports) {
  if (readsCompactUsage(Host, Receiver))
    addCompactUsage(Host, Message, Reports);
  else
    addUsage(Message, Reports);
}

// Returns the usage of the customers whose count has changed since the last update, and of all
// active ones for a full update.
UsageReports collectUsageForHubs(LineHost &Host, const Draft &Update) {
  UsageReports Reports;
  for (const auto &[Name, Usage] : Host.m_Usage.m_Customers) {
    // A leaf reports for itself only: two hosts that for a moment take each other for their hub
    // would otherwise add up each other's reports without end.
    UsageReport Report = Host.m_Roles.m_IsHub ? buildOwnReport(Usage, Update.m_Now)
                                              : UsageReport{0, Usage.m_AdmittedCount, 0,
                                                            callerRate(Usage, Update.m_Now)};
    double &LastCount = Host.m_SentUpdates.m_AdmittedCounts[Name];
    bool HasChanged = std::exchange(LastCount, Report.m_AdmittedCount) != Report.m_AdmittedCount;
    bool IsActive = Report.m_OfferedRate > MinOfferedRate || Report.m_CallerRate > MinOfferedRate;
    if (HasChanged || (Update.m_IsFull && IsActive))
      Reports.emplace_back(Name, Report);
  }
  return Reports;
}

// The same for the usage of the whole fleet in an update to a leaf. Between full updates, a leaf
// hears only of customers that it serves.
UsageReports collectUsageForLeaf(const LineHost &Host, const std::string &Leaf,
                                 const std::set<std::string> &ChangedCustomers,
                                 const Draft &Update) {
  UsageReports Reports;
  for (const auto &[Name, Usage] : Host.m_Usage.m_Customers) {
    bool IsServedByLeaf = Usage.m_RemoteUsage.contains(Leaf);
    if (!Update.m_IsFull && !(IsServedByLeaf && ChangedCustomers.contains(Name)))
      continue;
    UsageReport Report = buildFleetReport(Usage, Leaf, Update.m_Now);
    if (IsServedByLeaf || Report.m_OfferedRate > MinOfferedRate || ChangedCustomers.contains(Name))
      Reports.emplace_back(Name, Report);
  }
  return Reports;
}

void fillHostInfo(line::HostInfo &Info, const HostView &Host) {
  Info.set_id(Host.m_Id);
  Info.set_data_centre(Host.m_DataCentre);
  Info.set_address(Host.m_Address);
  Info.set_weight(static_cast<float>(Host.m_Weight));
}

void addKnownHosts(LineHost &Host, line::Gossip &Message, const Draft &Update) {
  auto &Hosts = Host.m_Members.m_Hosts;
  std::erase_if(Host.m_SentUpdates.m_HostsLearntAt,
                [&](const auto &Entry) { return Update.m_Now - Entry.second > NewHostTime; });
  size_t NewHostCount = 0;
  for (const auto &[Id, LearntAt] : Host.m_SentUpdates.m_HostsLearntAt) {
    auto HostIt = Hosts.find(Id);
    if (NewHostCount == MaxNewHosts || HostIt == Hosts.end())
      continue;
    ++NewHostCount;
    fillHostInfo(*Message.add_known(), HostIt->second);
  }
  size_t RandomCount = Update.m_IsFull ? std::min(RandomHostsPerUpdate, Hosts.size()) : 0;
  for (size_t I = 0; I < RandomCount; ++I)
    fillHostInfo(
        *Message.add_known(),
        std::next(Hosts.begin(), static_cast<long>(Host.m_Random() % Hosts.size()))->second);
}

// Adds how long ago this host has heard from each hub, and whether that one drains.
void addHubAges(LineHost &Host, line::Gossip &Message, const Draft &Update) {
  for (const std::string &Id : Host.m_Roles.m_Hubs) {
    const HostView &View = Host.m_Members.m_Hosts[Id];
    line::HostInfo &Info = *Message.add_known();
    Info.set_id(Id);
    if (Update.m_IsFull)
      fillHostInfo(Info, View);
    bool WasSeen = View.m_LastSeenAt != TimePoint{} && Id != Host.m_Members.m_Self;
    if (!WasSeen)
      continue;
    Info.set_heard_age_ms(
        static_cast<uint32_t>(duration_cast<Millis>(Update.m_Now - View.m_LastSeenAt).count()) + 1);
    Info.set_drain_state(View.m_IsDraining ? line::HostInfo::DRAINING : line::HostInfo::SERVING);
  }
}

// Returns what every update of this host contains.
line::Gossip makeUpdate(LineHost &Host, const Draft &Update) {
  line::Gossip Message;
  fillHostInfo(*Message.mutable_host(), Host.m_Members.m_Hosts[Host.m_Members.m_Self]);
  if (!Update.m_IsFull) {
    Message.mutable_host()->clear_address();
    Message.mutable_host()->clear_data_centre();
    Message.mutable_host()->clear_weight();
  }
  Message.set_incarnation(Host.m_Incarnation);
  Message.set_draining(Host.m_IsDraining);
  Message.set_sent_us(toMicros(Update.m_Now));
  Message.set_config_version(Host.m_Config ? Host.m_Config->m_Version : 0);
  Message.set_instances_revision(Host.m_Store.m_InstancesRevision);
  Message.set_reads_compact_uses(true);
  Message.set_config_confirmed(Host.m_IsConfigConfirmed);
  Message.set_orders_known(Host.m_AreOrdersKnown);
  Message.set_incomplete_instances(!hasCompleteInstances(Host, Update.m_Now));
  Message.set_without_store(Host.m_Store.m_LastAnswerAt != TimePoint{} &&
                            !Host.m_Store.m_IsReachable);
  TimePoint StoreAnswerAt = newestStoreAnswer(Host);
  if (StoreAnswerAt != TimePoint{})
    Message.set_store_age_ms(
        static_cast<uint32_t>(duration_cast<Millis>(Update.m_Now - StoreAnswerAt).count() + 1));
  if (Host.m_Store.m_InstancesCurrentAt != TimePoint{})
    Message.set_instances_age_ms(static_cast<uint32_t>(
        duration_cast<Millis>(Update.m_Now - Host.m_Store.m_InstancesCurrentAt).count() + 1));
  addEvacuations(Host, Message, Update.m_Now);
  return Message;
}

// Serializes the part of an update that depends on its receiver. Serialized messages that follow
// each other are read as one.
std::string serializeFor(const LineHost &Host, const std::string &Receiver, line::Gossip Part,
                         TimePoint Now) {
  auto PeerIt = Host.m_GossipStates.find(Receiver);
  if (PeerIt != Host.m_GossipStates.end() && PeerIt->second.m_LastDatagramSentUs != 0) {
    Part.set_echo_us(PeerIt->second.m_LastDatagramSentUs);
    Part.set_echo_held_us(duration_cast<microseconds>(Now - PeerIt->second.m_LastSeenAt).count());
  }
  return Part.SerializeAsString();
}

void addUpdatesToHubs(LineHost &Host, const line::Gossip &Common, const Draft &Update,
                      std::vector<OutgoingUpdate> &Updates) {
  line::Gossip Message = Common;
  addGroupUpdates(Host, Message, Update);
  addInstanceUpdates(Host, Message, Update);
  addKnownHosts(Host, Message, Update);
  std::string Bytes = Message.SerializeAsString();
  UsageReports Reports = collectUsageForHubs(Host, Update);
  for (const std::string &Id :
       chooseReportTargets(Host.m_Members, Host.m_Roles, Update.m_Now, Host.m_HubSettings)) {
    line::Gossip Part;
    addUsageFor(Host, Id, Part, Reports);
    Updates.push_back({Id, Bytes + serializeFor(Host, Id, std::move(Part), Update.m_Now)});
  }
}

// Returns the hosts that report to this hub as leaves, and those that report to it as hubs and are
// none, which learn the hubs from its updates.
std::vector<std::string> listLeaves(const LineHost &Host, TimePoint Now) {
  std::vector<std::string> Leaves;
  for (const auto &[Id, Peer] : Host.m_GossipStates) {
    bool IsMistakenHub = Now - Peer.m_LastHubReportAt <= LeafTimeout &&
                         !Host.m_Roles.m_Hubs.contains(Id) &&
                         !Host.m_Roles.m_NominalHubs.contains(Id);
    bool IsLeaf = Now - Peer.m_LastLeafReportAt <= LeafTimeout || IsMistakenHub;
    if (IsLeaf && Host.m_Members.m_Hosts.contains(Id))
      Leaves.push_back(Id);
  }
  return Leaves;
}

// Adds updates about the whole fleet to the leaves that report to this hub.
void addUpdatesToLeaves(LineHost &Host, const line::Gossip &Common, Draft Update,
                        std::vector<OutgoingUpdate> &Updates) {
  std::vector<std::string> Leaves = listLeaves(Host, Update.m_Now);
  if (Leaves.empty())
    return;
  std::set<std::string> ChangedCustomers;
  for (const auto &[Name, Usage] : Host.m_Usage.m_Customers) {
    double Count = Usage.m_AdmittedCount + Usage.m_RemoteAdmittedCount;
    if (std::exchange(Host.m_SentUpdates.m_FleetCounts[Name], Count) != Count)
      ChangedCustomers.insert(Name);
  }
  Update.m_IsForLeaves = true;
  line::Gossip Message = Common;
  Message.set_to_leaf(true);
  addGroupUpdates(Host, Message, Update);
  addInstanceUpdates(Host, Message, Update);
  addKnownHosts(Host, Message, Update);
  addHubAges(Host, Message, Update);
  std::string Bytes = Message.SerializeAsString();
  for (const std::string &Id : Leaves) {
    line::Gossip Part;
    addUsageFor(Host, Id, Part, collectUsageForLeaf(Host, Id, ChangedCustomers, Update));
    Updates.push_back({Id, Bytes + serializeFor(Host, Id, std::move(Part), Update.m_Now)});
  }
}

// Adds the updates of a leaf to its home hub, or to all hubs if it has not heard from that one. The
// usage of customers goes to the home hub only, because two hubs would both forward it and it would
// be counted twice.
void addUpdatesToHomeHub(LineHost &Host, const line::Gossip &Common, const Draft &Update,
                         std::vector<OutgoingUpdate> &Updates) {
  line::Gossip Message = Common;
  Message.set_from_leaf(true);
  addGroupUpdates(Host, Message, Update);
  addInstanceUpdates(Host, Message, Update);
  addKnownHosts(Host, Message, Update);
  std::string Bytes = Message.SerializeAsString();
  for (const std::string &Id :
       chooseReportTargets(Host.m_Members, Host.m_Roles, Update.m_Now, Host.m_HubSettings)) {
    line::Gossip Part;
    if (Id == Host.m_Roles.m_HomeHub)
      addUsageFor(Host, Id, Part, collectUsageForHubs(Host, Update));
    Updates.push_back({Id, Bytes + serializeFor(Host, Id, std::move(Part), Update.m_Now)});
  }
  const SentUpdates &Sent = Host.m_SentUpdates;
  if (Sent.m_FormerHomeHub.empty() || Update.m_Now - Sent.m_HomeHubChangedAt > ChangeRepeatTime)
    return;
  line::Gossip Farewell = Common;
  Farewell.set_left_hub(true);
  Updates.push_back({Sent.m_FormerHomeHub,
                     serializeFor(Host, Sent.m_FormerHomeHub, std::move(Farewell), Update.m_Now)});
}

// Adds answers of a leaf to hosts that take it for a hub, because they do not know the hubs yet.
void addIntroductions(LineHost &Host, const line::Gossip &Common, Draft Update,
                      std::vector<OutgoingUpdate> &Updates) {
  std::vector<std::string> Leaves = listLeaves(Host, Update.m_Now);
  if (Leaves.empty())
    return;
  Update.m_IsFull = true;
  line::Gossip Message = Common;
  Message.set_to_leaf(true); // as a hub's answer; otherwise two leaves would answer each other
  addHubAges(Host, Message, Update);
  std::string Bytes = Message.SerializeAsString();
  for (const std::string &Id : Leaves)
    Updates.push_back({Id, Bytes + serializeFor(Host, Id, {}, Update.m_Now)});
}

// Records a change of this leaf's home hub. The former one is told of it: it would otherwise take
// the leaf for cut off and withhold a part of the customers' rates.
void noteHomeHub(LineHost &Host, TimePoint Now) {
  SentUpdates &Sent = Host.m_SentUpdates;
  if (Host.m_Roles.m_HomeHub.empty() || Host.m_Roles.m_HomeHub == Sent.m_LastHomeHub)
    return;
  Sent.m_FormerHomeHub = std::exchange(Sent.m_LastHomeHub, Host.m_Roles.m_HomeHub);
  Sent.m_HomeHubChangedAt = Now;
}

// Tells the rate limits which hosts may be cut off from this one, or that this one is.
void updateUsageRoles(LineHost &Host, TimePoint Now) {
  std::map<std::string, TimePoint> SilentSince;
  TimePoint LastHeardAt{};
  for (const auto &[Id, Peer] : Host.m_GossipStates) {
    LastHeardAt = std::max(LastHeardAt, Peer.m_LastSeenAt);
    auto HostIt = Host.m_Members.m_Hosts.find(Id);
    bool IsStopping = HostIt == Host.m_Members.m_Hosts.end() || HostIt->second.m_IsDraining;
    bool IsCounted =
        Host.m_Roles.m_NominalHubs.contains(Id) || Peer.m_LastLeafReportAt != TimePoint{};
    if (Host.m_Roles.m_IsHub && IsCounted && !IsStopping && Peer.m_LastSeenAt != TimePoint{} &&
        Now - Peer.m_LastSeenAt > UsageSilenceTimeout)
      SilentSince[Id] = Peer.m_LastSeenAt;
  }
  UsageLeaseSettings Settings;
  setSilentHosts(Host.m_Usage, SilentSince, Now, Settings);
  setIsolated(Host.m_Usage, Host.m_Roles.m_IsIsolated, LastHeardAt, Now, Settings);
}

} // namespace

void refreshHubs(LineHost &Host, TimePoint Now) {
  std::map<std::string, size_t> InstanceCounts;
  for (const auto &[Name, Group] : Host.m_Groups)
    for (const auto &[Id, Instance] : Group.m_Instances)
      InstanceCounts[Instance.m_DataCentre] += Instance.m_IsListed ? 1 : 0;
  HubRoles NextRoles = assignHubs(Host.m_Members, InstanceCounts, Now, Host.m_MembershipSettings,
                                  Host.m_HubSettings);
  const HubRoles &LastRoles = Host.m_Roles;
  if (NextRoles.m_IsHub != LastRoles.m_IsHub || NextRoles.m_IsIsolated != LastRoles.m_IsIsolated ||
      NextRoles.m_HomeHub != LastRoles.m_HomeHub)
    logLine(LogLevel::Info, "hub_duty",
            {{"hub", NextRoles.m_IsHub ? "yes" : "no"},
             {"isolated", NextRoles.m_IsIsolated ? "yes" : "no"},
             {"home", NextRoles.m_HomeHub},
             {"hubs", std::to_string(NextRoles.m_Hubs.size())}});
  Host.m_Roles = std::move(NextRoles);
  awaitHubs(Host.m_Members, Host.m_Roles, Now);
  noteHomeHub(Host, Now);
  updateUsageRoles(Host, Now);
}

std::vector<OutgoingUpdate> buildUpdates(LineHost &Host, TimePoint Now) {
  Draft Update;
  Update.m_Now = Now;
  Update.m_IsFull = Now - Host.m_SentUpdates.m_LastFullAt >= FullUpdateInterval;
  if (Update.m_IsFull) {
    Host.m_SentUpdates.m_LastFullAt = Now;
    ++Host.m_SentUpdates.m_FullCount;
  }
  std::vector<OutgoingUpdate> Updates;
  line::Gossip Common = makeUpdate(Host, Update);
  if (Host.m_Roles.m_IsHub) {
    addUpdatesToHubs(Host, Common, Update, Updates);
    addUpdatesToLeaves(Host, Common, Update, Updates);
  } else {
    addUpdatesToHomeHub(Host, Common, Update, Updates);
    addIntroductions(Host, Common, Update, Updates);
  }
  return Updates;
}

std::string buildUpdateToSeeds(LineHost &Host, TimePoint Now) {
  Draft Update;
  Update.m_Now = Now;
  Update.m_IsFull = true;
  return makeUpdate(Host, Update).SerializeAsString();
}

} // namespace quetzalpaddle
