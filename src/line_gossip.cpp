// What hosts tell each other, one datagram at a time: who they are, which configuration they have,
// positions of primaries, queues of instances, and what they admitted of each customer.
//
// Ages travel without clocks being compared. A datagram carries the receiver's own last time stamp
// and how long the sender has held it. What the sender saw A after that stamp arrived cannot have
// been earlier, on the receiver's clock, than the stamp plus A. A datagram delayed on its way thus
// never makes news look fresher than they are.
#include "line_host.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// Largest datagram that is not split on its way.
constexpr size_t MaxDatagramBytes = 65536;
// Hosts named in each datagram, so that every host hears of every other one.
constexpr size_t KnownPerDatagram = 3;
// A report that an instance cannot be reached is passed on for so long.
constexpr Millis ReportLapse{1000};
// A report that writes stall holds so long without being renewed.
constexpr Millis StallLapse{400};
// Customers without a request for this long are left out of reports.
constexpr Millis QuietCustomer{3000};
// A leaf that has not reported for this long has another home.
constexpr Millis LeafLapse{1500};
// A host is asked for a newer configuration at most this often.
constexpr Millis AskInterval{250};
// Hosts of the own data centre get this long before one of another is asked: bytes between data
// centres are dear.
constexpr Millis NearHeadStart{350};
// The own watch of the store gets this long before another host is asked.
constexpr Millis WatchHeadStart{400};

uint64_t toMicros(TimePoint At) {
  return static_cast<uint64_t>(duration_cast<microseconds>(At.time_since_epoch()).count());
}

TimePoint fromMicros(uint64_t Micros) {
  return TimePoint(microseconds(static_cast<int64_t>(Micros)));
}

void fillGroups(LineHost &Host, line::Gossip &Message, TimePoint Now) {
  for (const auto &[Name, Group] : Host.m_Groups) {
    line::GroupNews &News = *Message.add_groups();
    News.set_group(Name);
    News.set_primary(Group.m_Primary);
    News.set_generation(Group.m_Generation);
    auto Found = Host.m_Takeovers.find(Name);
    if (Found != Host.m_Takeovers.end() && Found->second.m_Running && Group.m_Switching != 0)
      News.set_switching(Group.m_Switching);
    // A holder that is cut off from the store cannot raise its token: others are to follow it.
    bool Promotes = Host.m_Roles.m_IsHub && !Host.m_Draining && Host.m_Store.m_Reachable;
    if (Found != Host.m_Takeovers.end() && Promotes)
      News.set_duty_token(Found->second.m_Duty.m_Token);
    News.set_writes_stalled(Group.m_WritesStalled && Now - Group.m_WritesStalledAt < StallLapse);
    if (auto Newest = newestProof(Group.m_History)) {
      News.mutable_proved()->set_term(Newest->m_Position.m_Term);
      News.mutable_proved()->set_index(Newest->m_Position.m_Index);
      News.set_proved_age_us(
          std::max<uint64_t>(1, duration_cast<microseconds>(Now - Newest->m_At).count()));
    }
  }
}

// Instances that this host dispatches to; for a leaf, all of them.
void fillInstances(LineHost &Host, line::Gossip &Message, bool All, TimePoint Now) {
  for (const auto &[Id, GroupName] : Host.m_GroupOf) {
    auto Own = Host.m_Dispatches.find(Id);
    const LineInstance *I = findInstance(Host, Id);
    if (!I || !I->m_Listed || (Own == Host.m_Dispatches.end() && !All))
      continue;
    Duration Wait = Own == Host.m_Dispatches.end() ? I->m_Wait : expectedWait(Own->second);
    bool Unreachable = Own == Host.m_Dispatches.end()
                           ? I->m_Unreachable && Now - I->m_UnreachableAt < ReportLapse
                           : Own->second.m_Unreachable;
    line::InstanceNews &News = *Message.add_instances();
    News.set_instance(Id);
    News.set_wait_us(static_cast<uint32_t>(duration_cast<microseconds>(Wait).count()));
    News.set_unreachable(Unreachable);
    News.mutable_applied()->set_term(I->m_Applied.m_Term);
    News.mutable_applied()->set_index(I->m_Applied.m_Index);
  }
}

void fillInfo(line::HostInfo &Info, const HostView &Host) {
  Info.set_id(Host.m_Id);
  Info.set_data_centre(Host.m_DataCentre);
  Info.set_address(Host.m_Address);
  Info.set_weight(static_cast<float>(Host.m_Weight));
}

void learnHost(LineHost &Host, const line::HostInfo &Info) {
  if (Info.id().empty() || Info.id() == Host.m_Members.m_Self)
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

void takeGroupNews(LineHost &Host, const line::GroupNews &News, const line::Gossip &Message,
                   TimePoint Now) {
  auto Found = Host.m_Groups.find(News.group());
  if (Found == Host.m_Groups.end())
    return;
  LineGroup &Group = Found->second;
  notePromotion(Group, News.primary(), News.generation(), Now);
  if (News.duty_token() != 0 && Host.m_Roles.m_IsHub)
    noteHeardToken(Host.m_Takeovers[News.group()], Message.host().id(), News.duty_token(), Now);
  if (News.switching() > Group.m_Generation) {
    Group.m_Switching = News.switching();
    Group.m_SwitchingAt = Now;
  }
  if (News.writes_stalled() && News.primary() == Group.m_Primary) {
    Group.m_WritesStalled = true;
    Group.m_WritesStalledAt = std::max(Group.m_WritesStalledAt, Now - StallLapse / 2);
  }
  bool SamePrimary = !News.primary().empty() && News.primary() == Group.m_Primary;
  if (News.proved_age_us() == 0 || Message.echo_us() == 0 || !SamePrimary)
    return;
  Proof Told;
  Told.m_Position = {News.proved().term(), News.proved().index()};
  Told.m_At = fromMicros(Message.echo_us()) + microseconds(Message.echo_held_us()) -
              microseconds(News.proved_age_us());
  if (Told.m_At <= Now)
    addProof(Group.m_History, Told, Now);
}

void takeInstanceNews(LineHost &Host, const line::InstanceNews &News, TimePoint Now) {
  LineInstance *I = findInstance(Host, News.instance());
  if (!I)
    return;
  I->m_Wait = microseconds(News.wait_us());
  I->m_Applied = std::max(I->m_Applied, Position{News.applied().term(), News.applied().index()});
  I->m_Unreachable = News.unreachable();
  I->m_UnreachableAt = Now;
  if (News.unreachable())
    I->m_AvoidUntil = std::max(I->m_AvoidUntil, Now + Millis(300));
}

void takeGossip(LineHost &Host, const line::Gossip &Message) {
  TimePoint Now = bootNow();
  const std::string &From = Message.host().id();
  if (From.empty() || From == Host.m_Members.m_Self)
    return;
  learnHost(Host, Message.host());
  for (const line::HostInfo &Info : Message.known())
    learnHost(Host, Info);
  PeerGossip &Peer = Host.m_Gossips[From];
  HostView &View = Host.m_Members.m_Hosts[From];
  bool Restarted = View.m_Incarnation != Message.incarnation();
  if (!Restarted && Message.sent_us() <= Peer.m_SentUs)
    return; // datagrams may overtake each other
  if (Restarted)
    View.m_LastFailedAt = {};
  View.m_Incarnation = Message.incarnation();
  View.m_LastSeenAt = Now;
  View.m_IsDraining = Message.draining();
  Peer.m_SentUs = Message.sent_us();
  Peer.m_HeardAt = Now;
  Peer.m_ConfigVersion = Message.config_version();
  Peer.m_InstancesRevision = Message.instances_revision();
  for (const line::GroupNews &News : Message.groups())
    takeGroupNews(Host, News, Message, Now);
  for (const line::InstanceNews &News : Message.instances())
    takeInstanceNews(Host, News, Now);
  if (Message.from_leaf())
    Peer.m_LeafAt = Now;
  bool ForLeaf = Message.to_leaf();
  bool CountsUses = !ForLeaf || From == Host.m_Roles.m_Home; // other hubs report the same uses
  if (ForLeaf && CountsUses)
    keepOnlyRemote(Host.m_Usage, From);
  for (const line::CustomerUse &Use : Message.uses())
    if (CountsUses)
      noteRemoteUse(Host.m_Usage, Use.customer(), From,
                    {Message.incarnation(), Use.admitted(), Use.offered()}, Message.from_leaf(),
                    Now);
  if (Message.store_age_ms() > 0)
    Peer.m_StoreAt = Now - Millis(Message.store_age_ms() - 1);
  bool Newer = Peer.m_ConfigVersion > (Host.m_Config ? Host.m_Config->m_Version : 0) ||
               (Peer.m_InstancesRevision > Host.m_Store.m_InstancesRevision &&
                Now - Host.m_Store.m_InstancesAt > WatchHeadStart);
  if (Newer && Host.m_Store.m_NewerSince == TimePoint{})
    Host.m_Store.m_NewerSince = Now;
  bool Near = View.m_DataCentre == Host.m_Settings.m_DataCentre;
  bool Due = Near || Now - Host.m_Store.m_NewerSince > NearHeadStart;
  if (Newer && Due && Now - Host.m_Store.m_AskedPeerAt > AskInterval) {
    Host.m_Store.m_NewerSince = {};
    Host.m_Store.m_AskedPeerAt = Now;
    requestConfig(Host, From);
  }
}

void sendTo(LineHost &Host, const Udp::endpoint &To, const std::string &Bytes) {
  boost::system::error_code Ignored; // datagrams may be lost; the next one follows soon
  Host.m_Datagrams->send_to(asio::buffer(Bytes), To, 0, Ignored);
}

std::optional<Udp::endpoint> datagramEndpoint(const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return std::nullopt;
  return Udp::endpoint(Endpoint->address(), Endpoint->port());
}

// --- Sending ---

void addUse(line::Gossip &Message, const std::string &Customer, const UseReport &Report) {
  line::CustomerUse &Told = *Message.add_uses();
  Told.set_customer(Customer);
  Told.set_admitted(Report.m_Admitted);
  Told.set_offered(static_cast<float>(Report.m_Offered));
}

void sendMessage(LineHost &Host, const std::string &Id, line::Gossip &Message, TimePoint Now) {
  const HostView &View = Host.m_Members.m_Hosts[Id];
  auto Peer = Host.m_Gossips.find(Id);
  bool Heard = Peer != Host.m_Gossips.end();
  Message.set_echo_us(Heard ? Peer->second.m_SentUs : 0);
  Message.set_echo_held_us(Heard ? duration_cast<microseconds>(Now - Peer->second.m_HeardAt).count()
                                 : 0);
  if (auto To = datagramEndpoint(View.m_Address))
    sendTo(Host, *To, Message.SerializeAsString());
}

line::Gossip makeMessage(LineHost &Host, TimePoint Now) {
  line::Gossip Message;
  auto &Hosts = Host.m_Members.m_Hosts;
  fillInfo(*Message.mutable_host(), Hosts[Host.m_Members.m_Self]);
  Message.set_incarnation(Host.m_Incarnation);
  Message.set_draining(Host.m_Draining);
  Message.set_sent_us(toMicros(Now));
  Message.set_config_version(Host.m_Config ? Host.m_Config->m_Version : 0);
  Message.set_instances_revision(Host.m_Store.m_InstancesRevision);
  if (Host.m_Store.m_AnsweredAt != TimePoint{})
    Message.set_store_age_ms(
        static_cast<uint32_t>(duration_cast<Millis>(Now - Host.m_Store.m_AnsweredAt).count() + 1));
  fillGroups(Host, Message, Now);
  for (size_t I = 0; I < std::min(KnownPerDatagram, Hosts.size()); ++I)
    fillInfo(*Message.add_known(),
             std::next(Hosts.begin(), static_cast<long>(Host.m_Random() % Hosts.size()))->second);
  return Message;
}

void sendToHubs(LineHost &Host, line::Gossip Message, TimePoint Now) {
  fillInstances(Host, Message, false, Now);
  for (const auto &[Name, Use] : Host.m_Usage.m_Customers)
    addUse(Message, Name, reportOwn(Use, Now));
  for (const std::string &Id :
       chooseReportTargets(Host.m_Members, Host.m_Roles, Now, Host.m_HubSettings))
    sendMessage(Host, Id, Message, Now);
}

// News of the whole fleet for the hosts that report to this one.
void sendToLeaves(LineHost &Host, line::Gossip Message, TimePoint Now) {
  Message.set_to_leaf(true);
  fillInstances(Host, Message, true, Now);
  for (const std::string &Id : Host.m_Roles.m_Hubs) {
    const HostView &View = Host.m_Members.m_Hosts[Id];
    line::HostInfo &Info = *Message.add_known();
    fillInfo(Info, View);
    bool Heard = View.m_LastSeenAt != TimePoint{} && Id != Host.m_Members.m_Self;
    Info.set_heard_age_ms(
        Heard ? static_cast<uint32_t>(duration_cast<Millis>(Now - View.m_LastSeenAt).count()) + 1
              : 0);
  }
  for (const auto &[Id, Peer] : Host.m_Gossips) {
    if (Now - Peer.m_LeafAt > LeafLapse || !Host.m_Members.m_Hosts.contains(Id))
      continue;
    Message.clear_uses();
    for (const auto &[Name, Use] : Host.m_Usage.m_Customers)
      addUse(Message, Name, reportFleet(Use, Id, Now));
    sendMessage(Host, Id, Message, Now);
  }
}

// Only the home is told of uses: two hubs would both pass them on.
void sendToHome(LineHost &Host, line::Gossip Message, TimePoint Now) {
  Message.set_from_leaf(true);
  auto Targets = chooseReportTargets(Host.m_Members, Host.m_Roles, Now, Host.m_HubSettings);
  for (const std::string &Id : Targets)
    if (Id != Host.m_Roles.m_Home)
      sendMessage(Host, Id, Message, Now);
  if (!Targets.contains(Host.m_Roles.m_Home))
    return;
  for (const auto &[Name, Use] : Host.m_Usage.m_Customers)
    if (Now - Use.m_OfferedAt < QuietCustomer)
      addUse(Message, Name, {Host.m_Incarnation, Use.m_Admitted, offeredRate(Use, Now)});
  sendMessage(Host, Host.m_Roles.m_Home, Message, Now);
}

// Until the store or another host has told of the fleet.
void sendToSeeds(LineHost &Host, const line::Gossip &Message) {
  for (const std::string &Seed : Host.m_Settings.m_Seeds) {
    std::string Ip = Seed.substr(0, Seed.find(':'));
    if (auto To = datagramEndpoint(Ip + ":" + std::to_string(Host.m_Settings.m_PeerPort)))
      sendTo(Host, *To, Message.SerializeAsString());
  }
}

} // namespace

Awaitable<void> receiveGossip(LineHost &Host) {
  std::string Buffer(MaxDatagramBytes, '\0');
  for (;;) {
    Udp::endpoint From;
    auto [Error, Size] =
        co_await Host.m_Datagrams->async_receive_from(asio::buffer(Buffer), From, AsTuple);
    line::Gossip Message;
    if (!Error && Message.ParseFromArray(Buffer.data(), static_cast<int>(Size)))
      takeGossip(Host, Message);
  }
}

void sendGossip(LineHost &Host, TimePoint Now) {
  line::Gossip Message = makeMessage(Host, Now);
  if (Host.m_Members.m_Hosts.size() == 1) {
    sendToSeeds(Host, Message);
  } else if (Host.m_Roles.m_IsHub) {
    sendToHubs(Host, Message, Now);
    sendToLeaves(Host, Message, Now);
  } else {
    sendToHome(Host, Message, Now);
  }
}

} // namespace quetzalpaddle
