// Links between hosts: statements forwarded to dispatchers, and the configuration passed on.
//
// A call whose link breaks is lost if it may have been sent. A host that no datagram has been heard
// from for a while is taken to be frozen or cut off: its link is closed, so that callers need not
// wait for the full time of their statements.
#include "line_exchange.h"
#include "line_host.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

using line::Envelope;
using line::RunReply;
using line::RunRequest;

constexpr Millis ConnectTimeout{400};
// Beyond the time that the dispatcher itself allows for a call.
constexpr Millis CallSlack{150};

std::string serialize(const Envelope &Message) { return Message.SerializeAsString(); }

void finishCall(PeerLink &Link, uint64_t Call, RunReply Reply) {
  auto Found = Link.m_Calls.find(Call);
  if (Found == Link.m_Calls.end())
    return;
  Found->second->m_Reply = std::move(Reply);
  Found->second->m_Wakeup.wake();
  Link.m_Calls.erase(Found);
}

void loseCalls(LineHost &Host, const std::string &Peer) {
  PeerLink &Link = Host.m_Links[Peer];
  while (!Link.m_Calls.empty())
    finishCall(Link, Link.m_Calls.begin()->first,
               makeReply(RunReply::LOST, Reason::HostUnavailable));
}

void noteFailedHost(LineHost &Host, const std::string &Peer) {
  auto Found = Host.m_Members.m_Hosts.find(Peer);
  if (Found != Host.m_Members.m_Hosts.end())
    Found->second.m_LastFailedAt = bootNow();
}

// --- The side that accepts links ---

Awaitable<void> answerRun(LineHost &Host, std::shared_ptr<FrameConnection> Frames, uint64_t Link,
                          RunRequest Request) {
  bool Abandons = Request.mode() == RunRequest::ABANDON;
  Envelope Message;
  *Message.mutable_reply() = co_await runHere(Host, std::move(Request), Link);
  if (!Abandons)
    sendFrame(Frames, serialize(Message));
}

void answerConfig(LineHost &Host, const std::shared_ptr<FrameConnection> &Frames,
                  const line::ConfigRequest &Request) {
  Envelope Message;
  line::ConfigReply &Reply = *Message.mutable_config_reply();
  if (Host.m_Config && Host.m_Config->m_Version > Request.version()) {
    Reply.set_version(Host.m_Config->m_Version);
    Reply.set_config(Host.m_Config->m_Payload);
  }
  if (Host.m_Store.m_InstancesRevision > Request.instances_revision()) {
    Reply.set_instances_revision(Host.m_Store.m_InstancesRevision);
    for (const auto &[Name, Payload] : Host.m_Store.m_InstancePayloads)
      Reply.add_instances(Payload);
  }
  sendFrame(Frames, serialize(Message));
}

void handleFrame(LineHost &Host, const std::shared_ptr<FrameConnection> &Frames, uint64_t Link,
                 std::string_view Bytes) {
  Envelope Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    logLine(LogLevel::Error, "peer_message_malformed", {{"bytes", std::to_string(Bytes.size())}});
    closeFrames(*Frames);
    return;
  }
  if (Message.has_run())
    asio::co_spawn(Host.m_Io, answerRun(Host, Frames, Link, std::move(*Message.mutable_run())),
                   asio::detached);
  else if (Message.has_config_request())
    answerConfig(Host, Frames, Message.config_request());
}

Awaitable<void> serveLink(LineHost &Host, Tcp::socket Socket) {
  configureSocket(Socket);
  auto Frames = std::make_shared<FrameConnection>(std::move(Socket));
  uint64_t Link = Host.m_NextNumber++;
  Host.m_OpenLinks.insert(Link);
  // Named: g++ 12 destroys captures of a lambda twice that is an argument of an awaited call.
  std::function<void(std::string_view)> Handle = [&Host, &Frames, Link](std::string_view Bytes) {
    handleFrame(Host, Frames, Link, Bytes);
  };
  co_await readFrames(Frames, Handle);
  Host.m_OpenLinks.erase(Link);
  abandonTransactions(Host, Link);
}

// --- The side that opens links ---

void handleReply(LineHost &Host, const std::string &Peer, std::string_view Bytes) {
  Envelope Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    logLine(LogLevel::Error, "peer_message_malformed", {{"peer", Peer}});
    return;
  }
  // An answer shows that the host is there, as a datagram of its own would.
  if (auto Known = Host.m_Members.m_Hosts.find(Peer); Known != Host.m_Members.m_Hosts.end())
    Known->second.m_LastSeenAt = bootNow();
  if (Message.has_reply()) {
    uint64_t Call = Message.reply().call();
    finishCall(Host.m_Links[Peer], Call, std::move(*Message.mutable_reply()));
  } else if (Message.has_config_reply()) {
    applyPassedOn(Host, Message.config_reply());
  }
}

Awaitable<void> readLink(LineHost &Host, std::string Peer,
                         std::shared_ptr<FrameConnection> Frames) {
  std::function<void(std::string_view)> Handle = [&Host, &Peer](std::string_view Bytes) {
    handleReply(Host, Peer, Bytes);
  };
  co_await readFrames(Frames, Handle);
  PeerLink &Link = Host.m_Links[Peer];
  if (Link.m_Frames == Frames) {
    Link.m_Frames = nullptr;
    logLine(LogLevel::Info, "host_lost", {{"peer", Peer}, {"why", "link closed"}});
    loseCalls(Host, Peer);
  }
}

Awaitable<void> openLink(LineHost &Host, std::string Peer, std::string Address) {
  PeerLink &Link = Host.m_Links[Peer];
  auto Endpoint = parseEndpoint(Address);
  auto Socket = std::make_shared<Tcp::socket>(Host.m_Io);
  if (Endpoint) {
    ScopedDeadline Limit(Host.m_Watchdog, bootNow() + ConnectTimeout,
                         [Socket] { closeSocket(*Socket); });
    auto [Error] = co_await Socket->async_connect(*Endpoint, AsTuple);
    if (!Error && Socket->is_open()) {
      configureSocket(*Socket);
      Link.m_Frames = std::make_shared<FrameConnection>(std::move(*Socket));
      Link.m_Address = Address;
      asio::co_spawn(Host.m_Io, readLink(Host, Peer, Link.m_Frames), asio::detached);
    }
  }
  if (!Link.m_Frames)
    noteFailedHost(Host, Peer);
  Link.m_Connecting = false;
  for (const auto &Waiting : std::exchange(Link.m_WaitingForLink, {}))
    Waiting->wake();
}

// The open link to a host; null if it cannot be reached.
Awaitable<std::shared_ptr<FrameConnection>> getLink(LineHost &Host, std::string Peer) {
  auto Known = Host.m_Members.m_Hosts.find(Peer);
  if (Known == Host.m_Members.m_Hosts.end())
    co_return std::shared_ptr<FrameConnection>();
  PeerLink &Link = Host.m_Links[Peer];
  if (Link.m_Frames && Link.m_Address != Known->second.m_Address)
    closeFrames(*std::exchange(Link.m_Frames, nullptr));
  if (Link.m_Frames && !Link.m_Frames->m_Closed)
    co_return Link.m_Frames;
  auto Opened = std::make_shared<Wakeup>(Host.m_Io);
  Link.m_WaitingForLink.push_back(Opened);
  if (!std::exchange(Link.m_Connecting, true))
    asio::co_spawn(Host.m_Io, openLink(Host, Peer, Known->second.m_Address), asio::detached);
  co_await Opened->wait();
  co_return Host.m_Links[Peer].m_Frames;
}

Awaitable<RunReply> runAtPeer(LineHost &Host, const std::string &Peer, RunRequest Request) {
  auto Frames = co_await getLink(Host, Peer);
  if (!Frames)
    co_return makeReply(RunReply::NOT_SENT, Reason::HostUnavailable);
  PeerLink &Link = Host.m_Links[Peer];
  uint64_t Call = Host.m_NextNumber++;
  Request.set_call(Call);
  Millis Limit = Millis(Request.wait_ms() + Request.run_ms()) + CallSlack;
  bool Abandons = Request.mode() == RunRequest::ABANDON;
  Envelope Message;
  *Message.mutable_run() = std::move(Request);
  sendFrame(Frames, serialize(Message));
  if (Abandons)
    co_return RunReply();
  auto Pending = std::make_shared<PendingCall>(Host.m_Io);
  Link.m_Calls[Call] = Pending;
  ScopedDeadline Deadline(Host.m_Watchdog, bootNow() + Limit, [&Host, Peer, Call] {
    finishCall(Host.m_Links[Peer], Call, makeReply(RunReply::LOST, Reason::HostUnavailable));
  });
  co_await Pending->m_Wakeup.wait();
  co_return std::move(Pending->m_Reply);
}

} // namespace

Awaitable<void> acceptPeers(LineHost &Host) {
  auto Endpoint = parseEndpoint(Host.m_Settings.m_PeerAddress + ":" +
                                std::to_string(Host.m_Settings.m_PeerPort));
  Tcp::acceptor Acceptor(Host.m_Io, *Endpoint);
  for (;;) {
    auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
    if (!Error)
      asio::co_spawn(Host.m_Io, serveLink(Host, std::move(Socket)), asio::detached);
    else
      co_await sleepFor(Host.m_Io, Millis(50)); // out of descriptors, most likely
  }
}

std::string findDispatcher(const LineHost &Host, const LineInstance &Target,
                           const std::set<std::string> &Skipped) {
  Instance Named;
  Named.m_Id = Target.m_Id;
  Named.m_DataCentre = Target.m_DataCentre;
  return chooseHubDispatcher(Host.m_Members, Host.m_Roles, Named, Skipped, bootNow(),
                             Host.m_MembershipSettings);
}

Awaitable<RunReply> runAtDispatcher(LineHost &Host, RunRequest Request, std::string &Dispatcher) {
  std::set<std::string> Skipped;
  bool Fixed = !Dispatcher.empty();
  RunReply Reply = makeReply(RunReply::NOT_SENT, Reason::HostUnavailable);
  // The next host in order is tried only if nothing was sent to the first.
  for (int Tries = 0; Tries < 3; ++Tries) {
    if (!Fixed) {
      const LineInstance *Target = findInstance(Host, Request.instance());
      if (!Target)
        co_return makeReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
      Dispatcher = findDispatcher(Host, *Target, Skipped);
      if (Dispatcher.empty())
        co_return Reply;
    }
    if (Dispatcher == Host.m_Members.m_Self)
      co_return co_await runHere(Host, std::move(Request), 0);
    Reply = co_await runAtPeer(Host, Dispatcher, Request);
    bool Elsewhere = Reply.outcome() == RunReply::NOT_SENT &&
                     Reply.refusal() == static_cast<uint32_t>(Reason::HostUnavailable);
    if (Fixed || !Elsewhere)
      co_return Reply;
    Skipped.insert(Dispatcher);
  }
  co_return Reply;
}

void requestConfig(LineHost &Host, const std::string &Peer) {
  auto Ask = [](LineHost &H, std::string To) -> Awaitable<void> {
    auto Frames = co_await getLink(H, To);
    if (!Frames)
      co_return;
    Envelope Message;
    line::ConfigRequest &Request = *Message.mutable_config_request();
    Request.set_version(H.m_Config ? H.m_Config->m_Version : 0);
    Request.set_instances_revision(H.m_Store.m_InstancesRevision);
    sendFrame(Frames, serialize(Message));
  };
  asio::co_spawn(Host.m_Io, Ask(Host, Peer), asio::detached);
}

void closeSilentLinks(LineHost &Host, TimePoint Now) {
  for (auto &[Peer, Link] : Host.m_Links) {
    auto Known = Host.m_Members.m_Hosts.find(Peer);
    if (!Link.m_Frames || Known == Host.m_Members.m_Hosts.end())
      continue;
    bool Silent = Known->second.m_LastSeenAt != TimePoint{} &&
                  Now - Known->second.m_LastSeenAt > Host.m_MembershipSettings.m_LastSeenTimeout;
    if (Silent)
      closeFrames(*Link.m_Frames);
  }
}

} // namespace quetzalpaddle
