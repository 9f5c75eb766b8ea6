// Gossip between hosts, one datagram per update: identity of hosts, version of the configuration,
// positions of primaries, queues of instances, and requests admitted for each customer.
//
// Ages are transferred without comparing the clocks of two hosts. A datagram echoes the last time
// stamp that the sender received from the receiver, and how long ago it arrived. Something that the
// sender observed at a time A after that arrival cannot have happened earlier, on the receiver's
// clock, than the stamp plus A. The receiver assumes this earliest time, so a delayed datagram
// never makes an update look fresher than it is.
#include "line_host.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// Size of the receive buffer; no UDP datagram is larger.
constexpr size_t MaxDatagramBytes = 65536;
// Times in a datagram are in microseconds since a start; larger values are damaged.
constexpr uint64_t MaxMicros = uint64_t(1) << 53;
// Randomly chosen hosts listed in each datagram, so that every host learns of every other one.
constexpr size_t KnownHostsPerDatagram = 3;
// A report that an instance is unreachable is forwarded for this long.
constexpr Millis UnreachableReportTimeout{1000};
// A report that writes stall expires after this long unless it is renewed.
constexpr Millis StallReportTimeout{400};
// A leaf omits customers without a request for this long from its reports.
constexpr Millis CustomerIdleTimeout{3000};
// A leaf that has not reported for this long is assumed to have another home hub.
constexpr Millis LeafTimeout{1500};
// Minimum time between requests for a newer configuration or list of instances.
constexpr Millis ConfigRequestInterval{250};
// A host of another data centre is asked only after this delay, to give one of the own data centre
// the chance to answer first: traffic between data centres is expensive.
constexpr Millis RemoteRequestDelay{350};
// Another host is asked for the list of instances only if this host's own watch of the store has
// not delivered it for this long.
constexpr Millis InstancesRequestDelay{400};

uint64_t toMicros(TimePoint At) {
  return static_cast<uint64_t>(duration_cast<microseconds>(At.time_since_epoch()).count());
}

TimePoint fromMicros(uint64_t Micros) {
  return TimePoint(microseconds(static_cast<int64_t>(Micros)));
}

std::optional<Udp::endpoint> datagramEndpoint(const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return std::nullopt;
  return Udp::endpoint(Endpoint->address(), Endpoint->port());
}

void addGroupUpdates(LineHost &Host, line::Gossip &Message, TimePoint Now) {
  for (const auto &[Name, Group] : Host.m_Groups) {
    line::GroupNews &Update = *Message.add_groups();
    Update.set_group(Name);
    Update.set_primary(Group.m_Primary);
    Update.set_generation(Group.m_Generation);
    auto It = Host.m_Takeovers.find(Name);
    if (It != Host.m_Takeovers.end() && It->second.m_IsRunning && Group.m_PendingGeneration != 0)
      Update.set_switching(Group.m_PendingGeneration);
    // A holder that is disconnected from the store cannot raise its token. It stops announcing the
    // token so that another host takes the duty over.
    bool CanPromote = Host.m_Roles.m_IsHub && !Host.m_IsDraining && Host.m_Store.m_IsReachable;
    if (It != Host.m_Takeovers.end() && CanPromote)
      Update.set_duty_token(It->second.m_Duty.m_Token);
    Update.set_writes_stalled(Group.m_WritesStalled &&
                              Now - Group.m_WritesStalledAt < StallReportTimeout);
    if (auto NewestConfirmation = newestConfirmedPosition(Group.m_History)) {
      Update.mutable_proved()->set_term(NewestConfirmation->m_Position.m_Term);
      Update.mutable_proved()->set_index(NewestConfirmation->m_Position.m_Index);
      Update.set_proved_age_us(std::max<uint64_t>(
          1, duration_cast<microseconds>(Now - NewestConfirmation->m_SentAt).count()));
    }
  }
}

// Adds the instances that this host dispatches to, or all instances for an update to a leaf.
void addInstanceUpdates(LineHost &Host, line::Gossip &Message, bool IncludeAll, TimePoint Now) {
  for (const auto &[Id, GroupName] : Host.m_GroupByInstance) {
    auto OwnDispatch = Host.m_Dispatches.find(Id);
    const LineInstance *Instance = findInstance(Host, Id);
    if (!Instance || !Instance->m_IsListed ||
        (OwnDispatch == Host.m_Dispatches.end() && !IncludeAll))
      continue;
    Duration Wait = OwnDispatch == Host.m_Dispatches.end() ? Instance->m_ExpectedWait
                                                           : expectedWait(OwnDispatch->second);
    bool IsUnreachable =
        OwnDispatch == Host.m_Dispatches.end()
            ? Instance->m_IsUnreachable &&
                  Now - Instance->m_UnreachableReportedAt < UnreachableReportTimeout
            : OwnDispatch->second.m_IsUnreachable;
    line::InstanceNews &Update = *Message.add_instances();
    Update.set_instance(Id);
    Update.set_wait_us(static_cast<uint32_t>(duration_cast<microseconds>(Wait).count()));
    Update.set_unreachable(IsUnreachable);
    Update.mutable_applied()->set_term(Instance->m_AppliedPosition.m_Term);
    Update.mutable_applied()->set_index(Instance->m_AppliedPosition.m_Index);
  }
}

void fillHostInfo(line::HostInfo &Info, const HostView &Host) {
  Info.set_id(Host.m_Id);
  Info.set_data_centre(Host.m_DataCentre);
  Info.set_address(Host.m_Address);
  Info.set_weight(static_cast<float>(Host.m_Weight));
}

// Returns whether the numbers of a datagram can be used. A datagram that was damaged on the way may
// still be decodable.
bool isPlausible(const line::Gossip &Message) {
  auto IsFinite = [](double Value) { return std::isfinite(Value) && Value >= 0; };
  return std::ranges::all_of(Message.uses(),
                             [&](const line::CustomerUse &Usage) {
                               return IsFinite(Usage.admitted()) && IsFinite(Usage.offered());
                             }) &&
         Message.sent_us() < MaxMicros && Message.echo_us() < MaxMicros &&
         Message.echo_held_us() < MaxMicros &&
         std::ranges::all_of(Message.groups(), [](const line::GroupNews &Update) {
           return Update.proved_age_us() < MaxMicros;
         });
}

void updateHost(LineHost &Host, const line::HostInfo &Info) {
  bool IsUsable = !Info.id().empty() && std::isfinite(Info.weight()) &&
                  datagramEndpoint(Info.address()).has_value();
  if (!IsUsable || Info.id() == Host.m_Members.m_Self)
    return;
  HostView &View = Host.m_Members.m_Hosts[Info.id()];
  if (View.m_Id.empty())
    logLine(LogLevel::Info, "host_learnt",
            {{"peer", Info.id()}, {"address", Info.address()}, {"dc", Info.data_centre()}});
  View.m_Id = Info.id();
  View.m_DataCentre = Info.data_centre();
  View.m_Address = Info.address();
  View.m_Weight = Info.weight();
  if (Info.heard_age_ms() > 0)
    View.m_LastSeenAt = std::max(View.m_LastSeenAt, bootNow() - Millis(Info.heard_age_ms() - 1));
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
  if (Update.switching() > Group.m_Generation) {
    Group.m_PendingGeneration = Update.switching();
    Group.m_PendingGenerationAt = Now;
  }
  if (Update.writes_stalled() && Update.primary() == Group.m_Primary) {
    Group.m_WritesStalled = true;
    Group.m_WritesStalledAt = std::max(Group.m_WritesStalledAt, Now - StallReportTimeout / 2);
  }
  bool IsSamePrimary = !Update.primary().empty() && Update.primary() == Group.m_Primary;
  if (Update.proved_age_us() == 0 || Message.echo_us() == 0 || !IsSamePrimary)
    return;
  ConfirmedPosition Confirmation;
  Confirmation.m_Position = {Update.proved().term(), Update.proved().index()};
  Confirmation.m_SentAt = fromMicros(Message.echo_us()) + microseconds(Message.echo_held_us()) -
                          microseconds(Update.proved_age_us());
  if (Confirmation.m_SentAt <= Now)
    addConfirmedPosition(Group.m_History, Confirmation, Now);
}

void applyInstanceUpdate(LineHost &Host, const line::InstanceNews &Update, TimePoint Now) {
  LineInstance *Instance = findInstance(Host, Update.instance());
  if (!Instance)
    return;
  Instance->m_ExpectedWait = microseconds(Update.wait_us());
  Instance->m_AppliedPosition = std::max(
      Instance->m_AppliedPosition, Position{Update.applied().term(), Update.applied().index()});
  Instance->m_IsUnreachable = Update.unreachable();
  Instance->m_UnreachableReportedAt = Now;
  if (Update.unreachable())
    Instance->m_BackoffUntil = std::max(Instance->m_BackoffUntil, Now + Millis(300));
}

void applyGossip(LineHost &Host, const line::Gossip &Message) {
  TimePoint Now = bootNow();
  const std::string &SenderId = Message.host().id();
  if (SenderId.empty() || SenderId == Host.m_Members.m_Self)
    return;
  if (!isPlausible(Message)) {
    countEvent(*Host.m_Metrics, "datagram_malformed");
    return;
  }
  updateHost(Host, Message.host());
  for (const line::HostInfo &Info : Message.known())
    updateHost(Host, Info);
  PeerGossipState &Peer = Host.m_GossipStates[SenderId];
  HostView &View = Host.m_Members.m_Hosts[SenderId];
  bool HasRestarted = View.m_Incarnation != Message.incarnation();
  if (!HasRestarted && Message.sent_us() <= Peer.m_LastDatagramSentUs)
    return; // an older datagram that arrived out of order
  if (HasRestarted)
    View.m_LastFailedAt = {};
  View.m_Incarnation = Message.incarnation();
  View.m_LastSeenAt = Now;
  View.m_IsDraining = Message.draining();
  Peer.m_LastDatagramSentUs = Message.sent_us();
  Peer.m_LastSeenAt = Now;
  Peer.m_ConfigVersion = Message.config_version();
  Peer.m_InstancesRevision = Message.instances_revision();
  for (const line::GroupNews &Update : Message.groups())
    applyGroupUpdate(Host, Update, Message, Now);
  for (const line::InstanceNews &Update : Message.instances())
    applyInstanceUpdate(Host, Update, Now);
  if (Message.from_leaf())
    Peer.m_LastLeafReportAt = Now;
  bool IsForLeaf = Message.to_leaf();
  bool AcceptsUsage =
      !IsForLeaf || SenderId == Host.m_Roles.m_HomeHub; // other hubs report the same usage as well
  if (IsForLeaf && AcceptsUsage)
    keepOnlyReportsOf(Host.m_Usage, SenderId);
  for (const line::CustomerUse &Usage : Message.uses())
    if (AcceptsUsage)
      noteRemoteUsage(Host.m_Usage, Usage.customer(), SenderId,
                      {Message.incarnation(), Usage.admitted(), Usage.offered()},
                      Message.from_leaf(), Now);
  if (Message.store_age_ms() > 0)
    Peer.m_LastStoreAnswerAt = Now - Millis(Message.store_age_ms() - 1);
  bool IsPeerNewer = Peer.m_ConfigVersion > (Host.m_Config ? Host.m_Config->m_Version : 0) ||
                     (Peer.m_InstancesRevision > Host.m_Store.m_InstancesRevision &&
                      Now - Host.m_Store.m_InstancesUpdatedAt > InstancesRequestDelay);
  if (IsPeerNewer && Host.m_Store.m_BehindSince == TimePoint{})
    Host.m_Store.m_BehindSince = Now;
  bool IsSameDataCentre = View.m_DataCentre == Host.m_Settings.m_DataCentre;
  bool IsRequestDue = IsSameDataCentre || Now - Host.m_Store.m_BehindSince > RemoteRequestDelay;
  if (IsPeerNewer && IsRequestDue &&
      Now - Host.m_Store.m_LastPeerRequestAt > ConfigRequestInterval) {
    Host.m_Store.m_BehindSince = {};
    Host.m_Store.m_LastPeerRequestAt = Now;
    requestConfig(Host, SenderId);
  }
}

void sendDatagram(LineHost &Host, const Udp::endpoint &Destination, const std::string &Bytes) {
  boost::system::error_code IgnoredError; // a lost datagram is made up for by the next one
  Host.m_GossipSocket->send_to(asio::buffer(Bytes), Destination, 0, IgnoredError);
}

// --- Sending ---

void addCustomerUse(line::Gossip &Message, const std::string &Customer, const UsageReport &Report) {
  line::CustomerUse &Usage = *Message.add_uses();
  Usage.set_customer(Customer);
  Usage.set_admitted(Report.m_AdmittedCount);
  Usage.set_offered(static_cast<float>(Report.m_OfferedRate));
}

void sendGossipTo(LineHost &Host, const std::string &Id, line::Gossip &Message, TimePoint Now) {
  const HostView &View = Host.m_Members.m_Hosts[Id];
  auto PeerIt = Host.m_GossipStates.find(Id);
  bool WasSeen = PeerIt != Host.m_GossipStates.end();
  Message.set_echo_us(WasSeen ? PeerIt->second.m_LastDatagramSentUs : 0);
  Message.set_echo_held_us(
      WasSeen ? duration_cast<microseconds>(Now - PeerIt->second.m_LastSeenAt).count() : 0);
  if (auto Destination = datagramEndpoint(View.m_Address))
    sendDatagram(Host, *Destination, Message.SerializeAsString());
}

line::Gossip makeGossip(LineHost &Host, TimePoint Now) {
  line::Gossip Message;
  auto &Hosts = Host.m_Members.m_Hosts;
  fillHostInfo(*Message.mutable_host(), Hosts[Host.m_Members.m_Self]);
  Message.set_incarnation(Host.m_Incarnation);
  Message.set_draining(Host.m_IsDraining);
  Message.set_sent_us(toMicros(Now));
  Message.set_config_version(Host.m_Config ? Host.m_Config->m_Version : 0);
  Message.set_instances_revision(Host.m_Store.m_InstancesRevision);
  if (Host.m_Store.m_LastAnswerAt != TimePoint{})
    Message.set_store_age_ms(static_cast<uint32_t>(
        duration_cast<Millis>(Now - Host.m_Store.m_LastAnswerAt).count() + 1));
  addGroupUpdates(Host, Message, Now);
  for (size_t I = 0; I < std::min(KnownHostsPerDatagram, Hosts.size()); ++I)
    fillHostInfo(
        *Message.add_known(),
        std::next(Hosts.begin(), static_cast<long>(Host.m_Random() % Hosts.size()))->second);
  return Message;
}

void sendToHubs(LineHost &Host, line::Gossip Message, TimePoint Now) {
  addInstanceUpdates(Host, Message, false, Now);
  for (const auto &[Name, Usage] : Host.m_Usage.m_Customers)
    addCustomerUse(Message, Name, buildOwnReport(Usage, Now));
  for (const std::string &Id :
       chooseReportTargets(Host.m_Members, Host.m_Roles, Now, Host.m_HubSettings))
    sendGossipTo(Host, Id, Message, Now);
}

// Sends updates about the whole fleet to the leaves that report to this hub.
void sendToLeaves(LineHost &Host, line::Gossip Message, TimePoint Now) {
  Message.set_to_leaf(true);
  addInstanceUpdates(Host, Message, true, Now);
  for (const std::string &Id : Host.m_Roles.m_Hubs) {
    const HostView &View = Host.m_Members.m_Hosts[Id];
    line::HostInfo &Info = *Message.add_known();
    fillHostInfo(Info, View);
    bool WasSeen = View.m_LastSeenAt != TimePoint{} && Id != Host.m_Members.m_Self;
    Info.set_heard_age_ms(
        WasSeen ? static_cast<uint32_t>(duration_cast<Millis>(Now - View.m_LastSeenAt).count()) + 1
                : 0);
  }
  for (const auto &[Id, Peer] : Host.m_GossipStates) {
    if (Now - Peer.m_LastLeafReportAt > LeafTimeout || !Host.m_Members.m_Hosts.contains(Id))
      continue;
    Message.clear_uses();
    for (const auto &[Name, Usage] : Host.m_Usage.m_Customers)
      addCustomerUse(Message, Name, buildFleetReport(Usage, Id, Now));
    sendGossipTo(Host, Id, Message, Now);
  }
}

// Sends updates of a leaf to the hubs. The usage of customers goes to the home hub only, because
// two hubs would both forward it and it would be counted twice.
void sendToHomeHub(LineHost &Host, line::Gossip Message, TimePoint Now) {
  Message.set_from_leaf(true);
  auto Targets = chooseReportTargets(Host.m_Members, Host.m_Roles, Now, Host.m_HubSettings);
  for (const std::string &Id : Targets)
    if (Id != Host.m_Roles.m_HomeHub)
      sendGossipTo(Host, Id, Message, Now);
  if (!Targets.contains(Host.m_Roles.m_HomeHub))
    return;
  for (const auto &[Name, Usage] : Host.m_Usage.m_Customers)
    if (Now - Usage.m_OfferedRateAt < CustomerIdleTimeout)
      addCustomerUse(Message, Name,
                     {Host.m_Incarnation, Usage.m_AdmittedCount, offeredRate(Usage, Now)});
  sendGossipTo(Host, Host.m_Roles.m_HomeHub, Message, Now);
}

// Sends an update to the seeds. Used until this host knows another host, from the store or from
// gossip.
void sendToSeeds(LineHost &Host, const line::Gossip &Message) {
  for (const std::string &Seed : Host.m_Settings.m_SeedAddresses) {
    std::string Ip = Seed.substr(0, Seed.find(':'));
    if (auto Destination = datagramEndpoint(Ip + ":" + std::to_string(Host.m_Settings.m_PeerPort)))
      sendDatagram(Host, *Destination, Message.SerializeAsString());
  }
}

} // namespace

Awaitable<void> receiveGossip(LineHost &Host) {
  std::string Buffer(MaxDatagramBytes, '\0');
  for (;;) {
    Udp::endpoint Sender;
    auto [Error, Size] =
        co_await Host.m_GossipSocket->async_receive_from(asio::buffer(Buffer), Sender, AsTuple);
    line::Gossip Message;
    if (!Error && Message.ParseFromArray(Buffer.data(), static_cast<int>(Size)))
      applyGossip(Host, Message);
  }
}

void sendGossip(LineHost &Host, TimePoint Now) {
  line::Gossip Message = makeGossip(Host, Now);
  if (Host.m_Members.m_Hosts.size() == 1) {
    sendToSeeds(Host, Message);
  } else if (Host.m_Roles.m_IsHub) {
    sendToHubs(Host, Message, Now);
    sendToLeaves(Host, Message, Now);
  } else {
    sendToHomeHub(Host, Message, Now);
  }
}

} // namespace quetzalpaddle
