// How updates of other hosts (line_updates.cpp) are applied. Free of I/O and clock reads.
//
// Ages are transferred without comparing the clocks of two hosts. An update echoes the last time
// stamp that the sender received from the receiver, and how long ago it arrived. Something that the
// sender observed at a time A after that arrival cannot have happened earlier, on the receiver's
// clock, than the stamp plus A. The receiver assumes this earliest time, so a delayed datagram
// never makes an update look fresher than it is.
#include "line_host.h"
#include "line_updates.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace {

using std::chrono::microseconds;

// Times in an update are in microseconds since a start; larger values are damaged. The sum of two
// of them, in nanoseconds, must fit into 63 bits.
constexpr uint64_t MaxMicros = uint64_t(1) << 51;
// Minimum time between requests for a newer configuration or list of instances.
constexpr Millis ConfigRequestInterval{250};
// A host of another data centre is asked only after this delay, to give one of the own data centre
// the chance to answer first: traffic between data centres is expensive.
constexpr Millis RemoteRequestDelay{350};
// Another host is asked for the list of instances only if this host's own watch of the store has
// not delivered it for this long.
constexpr Millis InstancesRequestDelay{400};

TimePoint fromMicros(uint64_t Micros) {
  return TimePoint(microseconds(static_cast<int64_t>(Micros)));
}

// Returns whether the numbers of an update can be used. A datagram that was damaged on the way may
// still be decodable.
bool isPlausible(const line::Gossip &Message) {
  auto IsFinite = [](double Value) { return std::isfinite(Value) && Value >= 0; };
  return std::ranges::all_of(Message.uses(),
                             [&](const line::CustomerUse &Usage) {
                               return IsFinite(Usage.admitted()) && IsFinite(Usage.offered()) &&
                                      IsFinite(Usage.callers());
                             }) &&
         Message.sent_us() < MaxMicros && Message.echo_us() < MaxMicros &&
         Message.echo_held_us() < MaxMicros &&
         std::ranges::all_of(Message.groups(), [](const line::GroupNews &Update) {
           return Update.proved_age_us() < MaxMicros && Update.replicated_age_us() < MaxMicros;
         });
}

void updateHost(LineHost &Host, const line::HostInfo &Info, TimePoint Now) {
  auto HostIt = Host.m_Members.m_Hosts.find(Info.id());
  bool IsNew = HostIt == Host.m_Members.m_Hosts.end();
  bool IsComplete = !Info.id().empty() && !Info.data_centre().empty() && Info.weight() >= 0 &&
                    Info.weight() <= MaxHostWeight && parseEndpoint(Info.address()).has_value();
  if ((IsNew && !IsComplete) || Info.id() == Host.m_Members.m_Self)
    return;
  HostView &View = IsNew ? Host.m_Members.m_Hosts[Info.id()] : HostIt->second;
  if (IsNew) {
    Host.m_SentUpdates.m_HostsLearntAt[Info.id()] = Now;
    logLine(LogLevel::Info, "host_learnt",
            {{"peer", Info.id()}, {"address", Info.address()}, {"dc", Info.data_centre()}});
  }
  if (IsComplete) {
    View.m_Id = Info.id();
    View.m_DataCentre = Info.data_centre();
    View.m_Address = Info.address();
    View.m_Weight = Info.weight();
  }
  if (Info.heard_age_ms() == 0)
    return;
  TimePoint HeardAt = Now - Millis(Info.heard_age_ms() - 1);
  if (HeardAt > View.m_LastSeenAt && Info.drain_state() != line::HostInfo::NOT_GIVEN)
    View.m_IsDraining = Info.drain_state() == line::HostInfo::DRAINING;
  View.m_LastSeenAt = std::max(View.m_LastSeenAt, HeardAt);
}

void applyGroupUpdate(LineHost &Host, const line::GroupNews &Update, const line::Gossip &Message,
                      TimePoint Now) {
  auto It = Host.m_Groups.find(Update.group());
  if (It == Host.m_Groups.end())
    return;
  LineGroup &Group = It->second;
  notePromotion(Group, Update.primary(), Update.generation(), Now);
  if (Update.duty_token() != 0 && Host.m_Roles.m_IsHub)
    noteAnnouncedToken(Host.m_Takeovers[Update.group()], Message.host().id(), Update.duty_token(),
                       Now);
  notePendingPromotion(Group, Update.switching(), Now);
  noteSettledAttempts(Group, Update.settled());
  if (Update.successors_size() > 0)
    noteSuccessors(Group, {Update.successors().begin(), Update.successors().end()},
                   Update.successor_token());
  if (Update.writes_stalled() && Update.primary() == Group.m_Primary) {
    Group.m_WritesStalled = true;
    Group.m_WritesStalledAt = std::max(Group.m_WritesStalledAt, Now - StallReportTimeout / 2);
  }
  if (Message.echo_us() == 0 || Update.primary().empty())
    return;
  auto Read = [&](const line::LogPosition &Shown, uint64_t AgeMicros) {
    return ConfirmedPosition{{Shown.term(), Shown.index()},
                             fromMicros(Message.echo_us()) + microseconds(Message.echo_held_us()) -
                                 microseconds(AgeMicros)};
  };
  ConfirmedPosition Replicated = Read(Update.replicated(), Update.replicated_age_us());
  if (Update.replicated_age_us() != 0 && Replicated.m_SentAt <= Now)
    noteReplicaConfirmation(Group, Update.primary(), Update.generation(), Replicated, Now);
  ConfirmedPosition Confirmation = Read(Update.proved(), Update.proved_age_us());
  if (Update.proved_age_us() != 0 && Confirmation.m_SentAt <= Now)
    noteReportedConfirmation(Group, Update.primary(), Update.generation(), Confirmation, Now);
}

void applyInstanceUpdate(LineHost &Host, const line::InstanceNews &Update, TimePoint Now) {
  LineInstance *Instance = findInstance(Host, Update.instance());
  if (!Instance)
    return;
  noteExpectedWait(*Instance, microseconds(Update.wait_us()), Now - Millis(Update.wait_age_ms()));
  Instance->m_AppliedPosition = std::max(
      Instance->m_AppliedPosition, Position{Update.applied().term(), Update.applied().index()});
  Instance->m_IsUnreachable = Update.unreachable();
  Instance->m_UnreachableReportedAt = Now;
  if (Update.unreachable())
    Instance->m_BackoffUntil = std::max(Instance->m_BackoffUntil, Now + Millis(300));
}

void applyCompactUsage(LineHost &Host, const line::Gossip &Message, TimePoint Now) {
  const line::CompactUsage &Compact = Message.compact_uses();
  bool IsReadable = Host.m_Config && Compact.config_version() == Host.m_Config->m_Version &&
                    Compact.admitted_size() == Compact.customers_size() &&
                    Compact.offered_size() == Compact.customers_size() &&
                    Compact.callers_size() == Compact.customers_size();
  if (!IsReadable)
    return; // of another configuration; the sender's next update knows this host's version
  auto It = Host.m_Config->m_Customers.begin();
  uint32_t Index = 0;
  for (int I = 0; I < Compact.customers_size(); ++I) {
    for (; Index < Compact.customers(I) && It != Host.m_Config->m_Customers.end(); ++It)
      ++Index;
    if (Index != Compact.customers(I) || It == Host.m_Config->m_Customers.end())
      return;
    noteRemoteUsage(Host.m_Usage, It->first, Message.host().id(),
                    {Message.incarnation(), static_cast<double>(Compact.admitted(I)),
                     Compact.offered(I) / CompactRateUnitsPerRequest,
                     Compact.callers(I) / CompactRateUnitsPerRequest},
                    Message.from_leaf(), Now);
  }
}

void applyUsage(LineHost &Host, const line::Gossip &Message, TimePoint Now) {
  const std::string &SenderId = Message.host().id();
  // Each request is counted once: a leaf hears of it from its home hub, which reports for the whole
  // fleet, and a hub from the leaf or from the leaf's home hub. Hosts may differ on their roles for
  // a moment.
  bool IsFromHomeHub =
      !Host.m_Roles.m_IsHub && Message.to_leaf() && SenderId == Host.m_Roles.m_HomeHub;
  bool IsLeaf = Now - Host.m_GossipStates[SenderId].m_LastLeafReportAt <= LeafTimeout;
  bool IsFromOwnLeaf = Host.m_Roles.m_IsHub && Message.from_leaf();
  bool IsFromHub = Host.m_Roles.m_IsHub && !Message.to_leaf() && !Message.from_leaf() && !IsLeaf;
  if (!IsFromHomeHub && !IsFromOwnLeaf && !IsFromHub)
    return;
  if (IsFromHomeHub)
    keepOnlyReportsOf(Host.m_Usage, SenderId);
  for (const line::CustomerUse &Usage : Message.uses())
    noteRemoteUsage(Host.m_Usage, Usage.customer(), SenderId,
                    {Message.incarnation(), Usage.admitted(), Usage.offered(), Usage.callers()},
                    Message.from_leaf(), Now);
  applyCompactUsage(Host, Message, Now);
}

// Records when the list of instances in use was the newest, if the sender of an update has the same
// one. The age of the sender's last answer from the store does not tell: it may have been one about
// the configuration.
void noteCurrentInstances(LineHost &Host, const line::Gossip &Message, TimePoint Now) {
  StoreSyncState &Store = Host.m_Store;
  if (Message.instances_revision() != Store.m_InstancesRevision ||
      Message.instances_age_ms() == 0 || Message.echo_us() == 0)
    return;
  TimePoint CurrentAt = fromMicros(Message.echo_us()) + microseconds(Message.echo_held_us()) -
                        Millis(Message.instances_age_ms());
  if (CurrentAt > Now || CurrentAt <= Store.m_InstancesCurrentAt)
    return;
  Store.m_InstancesCurrentAt = CurrentAt;
  Store.m_InstancesCurrentBy = Message.host().id();
}

// Returns whether this host should now ask the sender of an update for newer data.
bool shouldRequestData(LineHost &Host, const PeerGossipState &Peer, bool IsSameDataCentre,
                       TimePoint Now) {
  StoreSyncState &Store = Host.m_Store;
  bool IsPeerNewer = Peer.m_ConfigVersion > (Host.m_Config ? Host.m_Config->m_Version : 0) ||
                     (Peer.m_InstancesRevision > Store.m_InstancesRevision &&
                      Now - Store.m_InstancesUpdatedAt > InstancesRequestDelay);
  if (!IsPeerNewer)
    return false;
  if (Store.m_BehindSince == TimePoint{})
    Store.m_BehindSince = Now;
  bool IsRequestDue = IsSameDataCentre || Now - Store.m_BehindSince > RemoteRequestDelay;
  if (!IsRequestDue || Now - Store.m_LastPeerRequestAt <= ConfigRequestInterval)
    return false;
  Store.m_BehindSince = {};
  Store.m_LastPeerRequestAt = Now;
  return true;
}

} // namespace

std::string applyUpdate(LineHost &Host, std::string_view Bytes, TimePoint Now) {
  line::Gossip Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      !isPlausible(Message)) {
    countEvent(*Host.m_Metrics, "datagram_malformed");
    return {};
  }
  const std::string &SenderId = Message.host().id();
  if (SenderId.empty() || SenderId == Host.m_Members.m_Self)
    return {};
  updateHost(Host, Message.host(), Now);
  for (const line::HostInfo &Info : Message.known())
    updateHost(Host, Info, Now);
  auto HostIt = Host.m_Members.m_Hosts.find(SenderId);
  if (HostIt == Host.m_Members.m_Hosts.end())
    return {}; // its next full update shows its address
  HostView &View = HostIt->second;
  PeerGossipState &Peer = Host.m_GossipStates[SenderId];
  bool HasRestarted = View.m_Incarnation != Message.incarnation();
  if (!HasRestarted && Message.sent_us() <= Peer.m_LastDatagramSentUs)
    return {}; // an older datagram that arrived out of order
  if (HasRestarted)
    View.m_LastFailedAt = {};
  View.m_Incarnation = Message.incarnation();
  View.m_LastSeenAt = Now;
  View.m_IsDraining = Message.draining();
  Peer.m_LastDatagramSentUs = Message.sent_us();
  Peer.m_LastSeenAt = Now;
  Peer.m_ConfigVersion = Message.config_version();
  Peer.m_InstancesRevision = Message.instances_revision();
  bool IsOwnAsNew = Host.m_Config && Message.config_version() <= Host.m_Config->m_Version;
  Host.m_IsConfigConfirmed = Host.m_IsConfigConfirmed || (IsOwnAsNew && Message.config_confirmed());
  Peer.m_IsWithoutStore = Message.without_store();
  Peer.m_HasIncompleteInstances = Message.incomplete_instances();
  Peer.m_ReadsCompactUsage = Message.reads_compact_uses();
  for (const line::GroupNews &Update : Message.groups())
    applyGroupUpdate(Host, Update, Message, Now);
  // An update contains every group with a replica that may lead at any moment.
  bool IsUnderstood = std::ranges::all_of(Message.groups(), [&](const line::GroupNews &Update) {
    return Host.m_Groups.contains(Update.group());
  });
  Host.m_AreOrdersKnown =
      Host.m_AreOrdersKnown || (Message.orders_known() && !Message.from_leaf() && IsUnderstood);
  for (const line::InstanceNews &Update : Message.instances())
    applyInstanceUpdate(Host, Update, Now);
  if (Message.left_hub()) {
    Peer.m_LastLeafReportAt = {};
    removeLeaf(Host.m_Usage, SenderId);
  } else if (Message.from_leaf())
    Peer.m_LastLeafReportAt = Now;
  else if (!Message.to_leaf())
    Peer.m_LastHubReportAt = Now;
  applyUsage(Host, Message, Now);
  if (Message.store_age_ms() > 0)
    Peer.m_LastStoreAnswerAt = Now - Millis(Message.store_age_ms() - 1);
  noteCurrentInstances(Host, Message, Now);
  mergeEvacuationsOf(Host, Message, Now);
  bool IsSameDataCentre = View.m_DataCentre == Host.m_Settings.m_DataCentre;
  return shouldRequestData(Host, Peer, IsSameDataCentre, Now) ? SenderId : std::string();
}

} // namespace quetzalpaddle
