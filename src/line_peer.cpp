// Links between hosts, for statements forwarded to dispatchers and for the configuration.
//
// If a link breaks, its pending calls are reported as lost, because their requests may have been
// sent. A host that has sent no message for a while is assumed to be frozen or disconnected. Its
// link is closed, so that callers do not have to wait for the full time limit of their statements.
#include "line_budget.h"
#include "line_exchange.h"
#include "line_host.h"

namespace quetzalpaddle {

namespace {

using line::Envelope;
using line::RunReply;
using line::RunRequest;

constexpr Millis ConnectTimeout{400};
// Added to the time that the dispatcher itself allows for a call.
constexpr Millis CallTimeoutMargin{150};

// A link is shared by the callers of both hosts, and is closed for a message over the limit of a
// frame or for too much unsent output (line_transport.cpp). Statements and answers stay below both.
constexpr size_t MaxSharedMessageBytes = 6 << 20;
constexpr size_t MaxSharedOutputBytes = 12 << 20;
// Account name of all links. It is no name of a customer.
constexpr std::string_view LinkCustomer = "(hosts)";
// A request of at least this size is counted in the byte budget.
constexpr size_t MinCountedBytes = 2 << 10;

bool fitsLink(const FrameConnection &Connection, size_t Size) {
  if (Size > MaxSharedMessageBytes || Connection.m_Output.size() + Size > MaxSharedOutputBytes)
    return false;
  // Small statements of others go on while a large one waits in the output.
  const ByteBudget *Budget = Connection.m_Budget;
  if (!Budget || Size <= Budget->m_Limits.m_SmallAccount)
    return true;
  return Connection.m_Output.size() + Size <= Budget->m_Limits.m_LinkOutput &&
         canHold(*Budget, Connection.m_Account, Size);
}

// Counts what a link holds until the end of its scope.
struct CountedLink {
  CountedLink(LineHost &Host, const std::shared_ptr<FrameConnection> &Link)
      : m_Link(Link), m_Counted(Host, Link->m_Account, std::string(LinkCustomer),
                                [Link] { closeFrameConnection(*Link); }) {
    Link->m_Budget = &Host.m_ByteBudget;
    Link->m_OnSkip = [&Host](size_t Size) {
      countEvent(*Host.m_Metrics, "frame_skipped");
      logLine(LogLevel::Warning, "frame_skipped", {{"bytes", std::to_string(Size)}});
    };
  }
  ~CountedLink() { m_Link->m_Budget = nullptr; }
  CountedLink(const CountedLink &) = delete;
  CountedLink &operator=(const CountedLink &) = delete;
  std::shared_ptr<FrameConnection> m_Link;
  CountedConnection m_Counted;
};

void reportTooLarge(LineHost &Host, std::string_view Kind, const std::string &Peer, size_t Size) {
  countEvent(*Host.m_Metrics, "peer_message_too_large");
  logLine(LogLevel::Warning, "peer_message_too_large",
          {{"kind", std::string(Kind)}, {"peer", Peer}, {"bytes", std::to_string(Size)}});
}

std::string serialize(const Envelope &Message) { return Message.SerializeAsString(); }

void finishCall(PeerLink &Link, uint64_t CallId, RunReply Reply) {
  auto It = Link.m_PendingCalls.find(CallId);
  if (It == Link.m_PendingCalls.end())
    return;
  It->second->m_Reply = std::move(Reply);
  It->second->m_Wakeup.wake();
  Link.m_PendingCalls.erase(It);
}

void failPendingCalls(LineHost &Host, const std::string &Peer) {
  PeerLink &Link = Host.m_Links[Peer];
  while (!Link.m_PendingCalls.empty())
    finishCall(Link, Link.m_PendingCalls.begin()->first,
               makeFailureReply(RunReply::LOST, Reason::HostUnavailable));
}

void recordHostFailure(LineHost &Host, const std::string &Peer) {
  auto HostIt = Host.m_Members.m_Hosts.find(Peer);
  if (HostIt != Host.m_Members.m_Hosts.end())
    HostIt->second.m_LastFailedAt = bootNow();
}

// --- Accepted links ---

// Returns the host with an IP address; an empty string if it is not known.
std::string findHostByIp(const LineHost &Host, const Tcp::socket &Socket) {
  boost::system::error_code Error; // a socket that is closed already has no address
  std::string Ip = Socket.remote_endpoint(Error).address().to_string() + ":";
  auto It = std::ranges::find_if(Host.m_Members.m_Hosts, [&](const auto &Entry) {
    return Entry.second.m_Address.starts_with(Ip);
  });
  return Error || It == Host.m_Members.m_Hosts.end() ? std::string() : It->first;
}

// Refuses a statement that a stopping host accepts no more. Another host may dispatch it; a
// transaction has ended with its connection here.
std::optional<RunReply> refuseIfStopping(const LineHost &Host, const RunRequest &Request) {
  auto Role = StatementRole::Single;
  if (Request.mode() == RunRequest::OPEN)
    Role = StatementRole::OpensTransaction;
  if (Request.mode() == RunRequest::NEXT || Request.mode() == RunRequest::END)
    Role = StatementRole::InTransaction;
  if (Request.mode() == RunRequest::ABANDON || acceptsStatement(currentStopPhase(Host), Role))
    return std::nullopt;
  RunReply Reply = makeFailureReply(RunReply::NOT_SENT, Role == StatementRole::InTransaction
                                                            ? Reason::Draining
                                                            : Reason::HostUnavailable);
  Reply.set_call(Request.call());
  return Reply;
}

Awaitable<void> handleRunRequest(LineHost &Host, std::shared_ptr<FrameConnection> Connection,
                                 uint64_t LinkId, std::string Peer, RunRequest Request,
                                 std::shared_ptr<CountGuard> Guard,
                                 std::shared_ptr<CountedRequest> Counted) {
  bool IsAbandon = Request.mode() == RunRequest::ABANDON;
  RunRequest Abandon;
  Abandon.set_mode(RunRequest::ABANDON);
  Abandon.set_instance(Request.instance());
  Abandon.set_transaction(Request.transaction());
  Envelope Message;
  if (auto Refusal = refuseIfStopping(Host, Request))
    *Message.mutable_reply() = std::move(*Refusal);
  else
    *Message.mutable_reply() = co_await runAtInstance(Host, std::move(Request), LinkId);
  if (IsAbandon)
    co_return;
  std::string Bytes = serialize(Message);
  if (!fitsLink(*Connection, Bytes.size())) {
    reportTooLarge(Host, "answer", Peer, Bytes.size());
    uint64_t CallId = Message.reply().call();
    *Message.mutable_reply() = makeFailureReply(RunReply::LOST, Reason::QueueFull);
    Message.mutable_reply()->set_call(CallId);
    Bytes = serialize(Message);
    // The requesting host takes a transaction whose answer is lost for ended.
    co_await runAtInstance(Host, std::move(Abandon), LinkId);
  }
  countSentBytes(Host, SentKind::Reply, Peer, Bytes.size());
  sendFrame(Connection, Bytes);
}

void handleConfigRequest(LineHost &Host, const std::shared_ptr<FrameConnection> &Connection,
                         const std::string &Peer, const line::ConfigRequest &Request) {
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
  std::string Bytes = serialize(Message);
  countSentBytes(Host, SentKind::Data, Peer, Bytes.size());
  sendFrame(Connection, Bytes);
}

void refuseOverMemory(const std::shared_ptr<FrameConnection> &Connection, uint64_t CallId) {
  Envelope Message;
  *Message.mutable_reply() = makeFailureReply(RunReply::NOT_SENT, Reason::OverMemory);
  Message.mutable_reply()->set_call(CallId);
  sendFrame(Connection, serialize(Message));
}

void handleFrame(LineHost &Host, const std::shared_ptr<FrameConnection> &Connection,
                 uint64_t LinkId, const std::string &Peer, std::string_view Bytes) {
  Envelope Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    logLine(LogLevel::Error, "peer_message_malformed", {{"bytes", std::to_string(Bytes.size())}});
    closeFrameConnection(*Connection);
    return;
  }
  if (Message.has_run()) {
    std::shared_ptr<CountedRequest> Counted;
    if (Bytes.size() >= MinCountedBytes) {
      Counted = std::make_shared<CountedRequest>(Host, Message.run().customer());
      size_t HeldBytes = Bytes.size() * StatementCopies;
      if (!canHold(Host.m_ByteBudget, Counted->m_Account, HeldBytes)) {
        refuseOverMemory(Connection, Message.run().call());
        return;
      }
      setHeld(Host.m_ByteBudget, Counted->m_Account, HeldKind::Statement, HeldBytes);
    }
    auto Guard = std::make_shared<CountGuard>(Host.m_ForwardedStatementCount);
    spawnTask(Host, "run_request",
              handleRunRequest(Host, Connection, LinkId, Peer, std::move(*Message.mutable_run()),
                               std::move(Guard), std::move(Counted)));
  } else if (Message.has_config_request())
    handleConfigRequest(Host, Connection, Peer, Message.config_request());
}

Awaitable<void> serveLink(LineHost &Host, Tcp::socket Socket) {
  configureSocket(Socket);
  auto Connection = std::make_shared<FrameConnection>(std::move(Socket));
  uint64_t LinkId = Host.m_NextId++;
  Host.m_InboundLinks[LinkId] = Connection;
  CountedLink Counted(Host, Connection);
  // A named variable, because g++ 12 destroys the captures of a lambda twice if it is an argument
  // of an awaited call.
  std::string Peer = findHostByIp(Host, Connection->m_Socket);
  std::function<void(std::string_view)> Handle = [&Host, &Connection, &Peer,
                                                  LinkId](std::string_view Bytes) {
    handleFrame(Host, Connection, LinkId, Peer, Bytes);
  };
  co_await readFrames(Connection, Handle);
  Host.m_InboundLinks.erase(LinkId);
  abandonTransactions(Host, LinkId);
}

// --- Opened links ---

void handleReply(LineHost &Host, const std::string &Peer, std::string_view Bytes) {
  Envelope Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    logLine(LogLevel::Error, "peer_message_malformed", {{"peer", Peer}});
    return;
  }
  // A reply shows that the host is alive, just as a datagram does.
  if (auto HostIt = Host.m_Members.m_Hosts.find(Peer); HostIt != Host.m_Members.m_Hosts.end())
    HostIt->second.m_LastSeenAt = bootNow();
  if (Message.has_reply()) {
    uint64_t CallId = Message.reply().call();
    finishCall(Host.m_Links[Peer], CallId, std::move(*Message.mutable_reply()));
  } else if (Message.has_config_reply()) {
    applyForwardedConfig(Host, Message.config_reply());
  }
}

Awaitable<void> readLink(LineHost &Host, std::string Peer,
                         std::shared_ptr<FrameConnection> Connection) {
  CountedLink Counted(Host, Connection);
  std::function<void(std::string_view)> Handle = [&Host, &Peer](std::string_view Bytes) {
    handleReply(Host, Peer, Bytes);
  };
  co_await readFrames(Connection, Handle);
  PeerLink &Link = Host.m_Links[Peer];
  if (Link.m_FrameConnection == Connection) {
    Link.m_FrameConnection = nullptr;
    logLine(LogLevel::Info, "host_lost", {{"peer", Peer}, {"why", "link closed"}});
    failPendingCalls(Host, Peer);
  }
}

Awaitable<void> openLink(LineHost &Host, std::string Peer, std::string Address) {
  PeerLink &Link = Host.m_Links[Peer];
  auto Endpoint = parseEndpoint(Address);
  auto Socket = std::make_shared<Tcp::socket>(Host.m_Io);
  if (Endpoint) {
    ScopedDeadline ConnectDeadline(Host.m_DeadlineQueue,
                                   limitByFinalAnswers(Host.m_Stop, bootNow() + ConnectTimeout),
                                   [Socket] { closeSocket(*Socket); });
    auto [Error] = co_await Socket->async_connect(*Endpoint, AsTuple);
    if (!Error && Socket->is_open()) {
      configureSocket(*Socket);
      Link.m_FrameConnection = std::make_shared<FrameConnection>(std::move(*Socket));
      Link.m_Address = Address;
      spawnTask(Host, "read_link", readLink(Host, Peer, Link.m_FrameConnection));
    }
  }
  if (!Link.m_FrameConnection)
    recordHostFailure(Host, Peer);
  Link.m_IsConnecting = false;
  for (const auto &Waiter : std::exchange(Link.m_LinkWaiters, {}))
    Waiter->wake();
}

// Returns the open link to a host, opening it if necessary. Returns null if the host is
// unreachable.
Awaitable<std::shared_ptr<FrameConnection>> getLink(LineHost &Host, std::string Peer) {
  auto HostIt = Host.m_Members.m_Hosts.find(Peer);
  if (HostIt == Host.m_Members.m_Hosts.end())
    co_return std::shared_ptr<FrameConnection>();
  PeerLink &Link = Host.m_Links[Peer];
  if (Link.m_FrameConnection && Link.m_Address != HostIt->second.m_Address)
    closeFrameConnection(*std::exchange(Link.m_FrameConnection, nullptr));
  if (Link.m_FrameConnection && !Link.m_FrameConnection->m_IsClosed)
    co_return Link.m_FrameConnection;
  auto LinkWakeup = std::make_shared<Wakeup>(Host.m_Io);
  Link.m_LinkWaiters.push_back(LinkWakeup);
  if (!std::exchange(Link.m_IsConnecting, true))
    spawnTask(Host, "open_link", openLink(Host, Peer, HostIt->second.m_Address),
              [&Link] { Link.m_IsConnecting = false; });
  co_await LinkWakeup->wait();
  co_return Host.m_Links[Peer].m_FrameConnection;
}

Awaitable<RunReply> runAtPeer(LineHost &Host, const std::string &Peer, RunRequest Request) {
  auto Connection = co_await getLink(Host, Peer);
  bool IsAbandon = Request.mode() == RunRequest::ABANDON;
  bool IsTooLate = currentStopPhase(Host) >= StopPhase::Answering && !IsAbandon;
  if (!Connection || IsTooLate)
    co_return makeFailureReply(RunReply::NOT_SENT, Reason::HostUnavailable);
  PeerLink &Link = Host.m_Links[Peer];
  uint64_t CallId = Host.m_NextId++;
  Request.set_call(CallId);
  Millis CallTimeout = Millis(Request.wait_ms() + Request.run_ms()) + CallTimeoutMargin;
  Envelope Message;
  *Message.mutable_run() = std::move(Request);
  std::string Bytes = serialize(Message);
  if (!fitsLink(*Connection, Bytes.size())) {
    reportTooLarge(Host, "statement", Peer, Bytes.size());
    co_return makeFailureReply(RunReply::NOT_SENT, Reason::QueueFull);
  }
  Message.Clear(); // its statement may be large
  countSentBytes(Host, SentKind::Statement, Peer, Bytes.size());
  sendFrame(Connection, Bytes);
  if (IsAbandon)
    co_return RunReply();
  auto CallState = std::make_shared<PendingCall>(Host.m_Io);
  Link.m_PendingCalls[CallId] = CallState;
  ScopedDeadline Deadline(Host.m_DeadlineQueue, bootNow() + CallTimeout, [&Host, Peer, CallId] {
    finishCall(Host.m_Links[Peer], CallId,
               makeFailureReply(RunReply::LOST, Reason::HostUnavailable));
  });
  co_await CallState->m_Wakeup.wait();
  co_return std::move(CallState->m_Reply);
}

} // namespace

Awaitable<void> acceptPeers(LineHost &Host, Tcp::acceptor &Acceptor) {
  std::function<bool()> IsFull = [&Host] {
    return Host.m_InboundLinks.size() >= currentLinkLimit(Host);
  };
  for (;;) {
    co_await waitForDescriptors(Host, "link", IsFull);
    auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
    if (!Error)
      spawnTask(Host, "serve_link", serveLink(Host, std::move(Socket)));
    else
      co_await sleepFor(Host.m_Io, Millis(50)); // most likely out of file descriptors
  }
}

std::string findDispatcher(const LineHost &Host, const LineInstance &Target,
                           const std::set<std::string> &SkippedHosts, TimePoint Now) {
  Instance InstanceKey;
  InstanceKey.m_Id = Target.m_Id;
  InstanceKey.m_DataCentre = Target.m_DataCentre;
  return chooseHubDispatcher(Host.m_Members, Host.m_Roles, InstanceKey, SkippedHosts, Now,
                             Host.m_MembershipSettings);
}

Awaitable<RunReply> runAtDispatcher(LineHost &Host, RunRequest Request, std::string &Dispatcher) {
  std::set<std::string> SkippedHosts;
  bool HasFixedDispatcher = !Dispatcher.empty();
  RunReply Reply = makeFailureReply(RunReply::NOT_SENT, Reason::HostUnavailable);
  // The next host in order is tried only if nothing was sent to the previous one.
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    if (!HasFixedDispatcher) {
      const LineInstance *Target = findInstance(Host, Request.instance());
      if (!Target)
        co_return makeFailureReply(RunReply::NOT_SENT, Reason::InstanceUnavailable);
      Dispatcher = findDispatcher(Host, *Target, SkippedHosts, bootNow());
      if (Dispatcher.empty())
        co_return Reply;
    }
    if (Dispatcher == Host.m_Members.m_Self)
      co_return co_await runAtInstance(Host, std::move(Request), 0);
    Reply = co_await runAtPeer(Host, Dispatcher, Request);
    bool CanTryNextHost = Reply.outcome() == RunReply::NOT_SENT &&
                          Reply.refusal() == static_cast<uint32_t>(Reason::HostUnavailable);
    if (HasFixedDispatcher || !CanTryNextHost)
      co_return Reply;
    SkippedHosts.insert(Dispatcher);
  }
  co_return Reply;
}

void giveUpCalls(LineHost &Host) {
  for (const auto &[Peer, Link] : Host.m_Links)
    failPendingCalls(Host, Peer);
}

void requestConfig(LineHost &Host, const std::string &Peer) {
  auto SendRequest = [](LineHost &LocalHost, std::string PeerId) -> Awaitable<void> {
    auto Connection = co_await getLink(LocalHost, PeerId);
    if (!Connection)
      co_return;
    Envelope Message;
    line::ConfigRequest &Request = *Message.mutable_config_request();
    Request.set_version(LocalHost.m_Config ? LocalHost.m_Config->m_Version : 0);
    Request.set_instances_revision(LocalHost.m_Store.m_InstancesRevision);
    sendFrame(Connection, serialize(Message));
  };
  spawnTask(Host, "config_request", SendRequest(Host, Peer));
}

void closeSilentLinks(LineHost &Host, TimePoint Now) {
  Millis Timeout = Host.m_MembershipSettings.m_LastSeenTimeout;
  for (auto &[Peer, Link] : Host.m_Links) {
    auto HostIt = Host.m_Members.m_Hosts.find(Peer);
    if (!Link.m_FrameConnection || HostIt == Host.m_Members.m_Hosts.end() ||
        HostIt->second.m_LastSeenAt == TimePoint{})
      continue;
    Duration Silence = Now - HostIt->second.m_LastSeenAt;
    // Only its datagrams may be lost, or nothing may be due from it. Closing the link would give up
    // the statements and roll back the transactions that run there.
    if (Silence > Timeout / 2 && Now - Link.m_ProbedAt > Timeout) {
      Link.m_ProbedAt = Now;
      requestConfig(Host, Peer);
    }
    if (Silence > Timeout && Now - Link.m_ProbedAt > Timeout / 2)
      closeFrameConnection(*Link.m_FrameConnection);
  }
}

} // namespace quetzalpaddle
