// Sends and receives the updates between hosts, one in a datagram. line_updates.cpp decides what
// they contain.
#include "line_host.h"

#include <algorithm>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

// Size of the receive buffer; no UDP datagram is larger.
constexpr size_t MaxDatagramBytes = 65536;

std::optional<Udp::endpoint> datagramEndpoint(const std::string &Address) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return std::nullopt;
  return Udp::endpoint(Endpoint->address(), Endpoint->port());
}

void sendDatagram(LineHost &Host, const Udp::endpoint &Destination, const std::string &Bytes) {
  boost::system::error_code IgnoredError; // a lost datagram is made up for by the next one
  Host.m_GossipSocket->send_to(asio::buffer(Bytes), Destination, 0, IgnoredError);
}

// Sends an update to the seeds. Used until this host knows another host, from the store or from
// gossip.
void sendToSeeds(LineHost &Host, const std::string &Bytes) {
  for (const std::string &Seed : Host.m_Settings.m_SeedAddresses) {
    std::string Ip = Seed.substr(0, Seed.find(':'));
    if (auto Destination = datagramEndpoint(Ip + ":" + std::to_string(Host.m_Settings.m_PeerPort)))
      sendDatagram(Host, *Destination, Bytes);
  }
}

} // namespace

void countSentBytes(LineHost &Host, SentKind Kind, const std::string &Receiver, size_t Size) {
  auto HostIt = Host.m_Members.m_Hosts.find(Receiver);
  bool IsNear = HostIt != Host.m_Members.m_Hosts.end() &&
                HostIt->second.m_DataCentre == Host.m_Settings.m_DataCentre;
  SentBytes &Bytes = Host.m_SentBytes[static_cast<size_t>(Kind)];
  (IsNear ? Bytes.m_ToOwnDataCentre : Bytes.m_ToOtherDataCentres) += Size;
}

Awaitable<void> receiveGossip(LineHost &Host) {
  std::string Buffer(MaxDatagramBytes, '\0');
  for (;;) {
    Udp::endpoint Sender;
    auto [Error, Size] =
        co_await Host.m_GossipSocket->async_receive_from(asio::buffer(Buffer), Sender, AsTuple);
    if (Error)
      continue;
    std::string Newer = applyUpdate(Host, std::string_view(Buffer).substr(0, Size), bootNow());
    if (!Newer.empty())
      requestConfig(Host, Newer);
  }
}

void sendGossip(LineHost &Host, TimePoint Now) {
  if (Host.m_Members.m_Hosts.size() == 1) {
    sendToSeeds(Host, buildUpdateToSeeds(Host, Now));
    return;
  }
  for (const OutgoingUpdate &Update : buildUpdates(Host, Now)) {
    const HostView &View = Host.m_Members.m_Hosts[Update.m_Host];
    countSentBytes(Host, SentKind::Update, Update.m_Host, Update.m_Bytes.size());
    if (auto Destination = datagramEndpoint(View.m_Address))
      sendDatagram(Host, *Destination, Update.m_Bytes);
  }
}

} // namespace quetzalpaddle
