// gRPC server and client for calls between hosts, on gRPC's callback API. The threads of gRPC only
// pass messages on; all handlers run on the control thread through the Executor.
//
// A failed call is PeerError::NotSent only if it was never assigned to a connection or if the other
// host refused it before its handler ran. Any other failure is Unanswered: the caller then resolves
// the outcome, which is slower than a retry but never runs a request twice. gRPC's own retries are
// disabled for the same reason.
#include "peer.h"

#include "grpc_queue.h"
#include "peer.grpc.pb.h"

#include <fstream>
#include <grpcpp/grpcpp.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>
#include <mutex>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace quetzalpaddle {

namespace {

// gRPC allows arbitrary bytes in the value of metadata whose key ends with -bin.
constexpr const char *SecretKey = "qp-secret-bin";

constexpr int MaxMessageBytes = 64 * 1024 * 1024; // GetConfig returns a complete configuration

// Without keepalive, a connection whose packets are lost would stay in use during TCP's
// retransmission backoff, which grows to minutes and outlasts the network partition.
constexpr int KeepaliveMs = 1000;

constexpr int InitialReconnectMs = 20;
constexpr int MaxReconnectMs = 200;

constexpr unsigned CertificateRefreshSeconds = 1;

using Digest = std::array<uint8_t, SHA256_DIGEST_LENGTH>;

Digest computeDigest(std::string_view Text) {
  Digest Out;
  SHA256(reinterpret_cast<const uint8_t *>(Text.data()), Text.size(), Out.data());
  return Out;
}

// An incoming call without an answer yet. It is finished once: by the handler, when the server
// stops, or when the handler has dropped its reply callback.
struct PendingCall {
  std::mutex m_Lock;
  grpc::ServerUnaryReactor *m_Reactor = nullptr;

  PendingCall() = default;
  PendingCall(const PendingCall &) = delete;
  PendingCall &operator=(const PendingCall &) = delete;
  ~PendingCall() {
    if (m_Reactor)
      m_Reactor->Finish({grpc::StatusCode::UNAVAILABLE, "not answered"});
  }
};

void finishCall(PendingCall &Call, const grpc::Status &Status,
                const std::function<void()> &FillReply) {
  std::scoped_lock Guard(Call.m_Lock);
  if (!Call.m_Reactor)
    return;
  if (FillReply)
    FillReply(); // the reply's memory is valid until Finish()
  std::exchange(Call.m_Reactor, nullptr)->Finish(Status);
}

std::string checkFiles(const ListenSettings &Listen, bool NeedsAuthority) {
  std::vector<std::string> Files{Listen.m_CertificateFile, Listen.m_KeyFile};
  if (NeedsAuthority || !Listen.m_AuthorityFile.empty())
    Files.push_back(Listen.m_AuthorityFile);
  for (const std::string &File : Files)
    if (!std::ifstream(File))
      return "cannot read '" + File + "'";
  return {};
}

using CertificateFiles = grpc::experimental::FileWatcherCertificateProvider;

std::shared_ptr<CertificateFiles> watchFiles(const ListenSettings &Listen) {
  return std::make_shared<CertificateFiles>(Listen.m_KeyFile, Listen.m_CertificateFile,
                                            Listen.m_AuthorityFile, CertificateRefreshSeconds);
}

std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const ListenSettings &Listen) {
  if (Listen.m_IsPlainText)
    return grpc::InsecureServerCredentials();
  grpc::experimental::TlsServerCredentialsOptions Options(watchFiles(Listen));
  Options.watch_identity_key_cert_pairs();
  if (Listen.m_AuthorityFile.empty()) {
    Options.set_cert_request_type(GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE);
  } else {
    Options.watch_root_certs();
    Options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  }
  return grpc::experimental::TlsServerCredentials(Options);
}

// Returns null if the certificate files cannot be read. The other host's certificate must contain
// its IP address.
std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const ListenSettings &OwnListen) {
  if (OwnListen.m_IsPlainText || !checkFiles(OwnListen, true).empty())
    return OwnListen.m_IsPlainText ? grpc::InsecureChannelCredentials() : nullptr;
  grpc::experimental::TlsChannelCredentialsOptions Options;
  Options.set_certificate_provider(watchFiles(OwnListen));
  Options.watch_identity_key_cert_pairs();
  Options.watch_root_certs();
  return grpc::experimental::TlsCredentials(Options);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Service
//-----------------------------------------------------------------------------

struct PeerServer final : peer::Peer::CallbackService {
  Digest m_Secret{};
  Executor m_Run;
  std::shared_ptr<PeerService> m_Service;
  int m_Port = 0;
  std::mutex m_Lock;
  bool m_IsStopping = false;
  std::vector<std::weak_ptr<PendingCall>> m_Calls;
  std::unique_ptr<grpc::Server> m_Server;

  PeerServer() = default;
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  // Finishes the pending calls first: Shutdown() waits for them, and their handlers may need the
  // thread that releases the server.
  ~PeerServer() override {
    std::vector<std::weak_ptr<PendingCall>> Calls;
    {
      std::scoped_lock Guard(m_Lock);
      m_IsStopping = true;
      Calls.swap(m_Calls);
    }
    for (auto &Weak : Calls)
      if (auto Call = Weak.lock())
        finishCall(*Call, {grpc::StatusCode::UNAVAILABLE, "the host stops"}, nullptr);
    if (m_Server)
      m_Server->Shutdown(std::chrono::system_clock::now());
  }

  bool hasValidSecret(const grpc::CallbackServerContext &Context) const {
    auto Found = Context.client_metadata().find(SecretKey);
    if (Found == Context.client_metadata().end())
      return false;
    // Comparing digests of equal length keeps the time independent of the secret's length.
    Digest PresentedDigest = computeDigest({Found->second.data(), Found->second.size()});
    return CRYPTO_memcmp(PresentedDigest.data(), m_Secret.data(), PresentedDigest.size()) == 0;
  }

  bool trackCall(const std::shared_ptr<PendingCall> &Call) {
    std::scoped_lock Guard(m_Lock);
    if (m_IsStopping)
      return false;
    // Remove finished calls only when the vector is full, for amortized constant cost per call.
    if (m_Calls.size() == m_Calls.capacity())
      std::erase_if(m_Calls, [](const auto &Weak) { return Weak.expired(); });
    m_Calls.push_back(Call);
    return true;
  }

  template <class Request, class Reply>
  grpc::ServerUnaryReactor *
  handleCall(grpc::CallbackServerContext *Context, const Request *Message, Reply *Answer,
             std::function<void(Request, PeerReplyCallback<Reply>)> PeerService::*Handler) {
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    if (!hasValidSecret(*Context)) {
      Reactor->Finish({grpc::StatusCode::UNAUTHENTICATED, "wrong secret"});
      return Reactor;
    }
    auto Call = std::make_shared<PendingCall>();
    Call->m_Reactor = Reactor;
    if (!trackCall(Call)) {
      finishCall(*Call, {grpc::StatusCode::UNAVAILABLE, "the host stops"}, nullptr);
      return Reactor;
    }
    m_Run([Call, Answer, Handler, Service = m_Service, Copy = *Message]() mutable {
      ((*Service).*Handler)(std::move(Copy), [Call, Answer](Reply Ready) {
        finishCall(*Call, grpc::Status::OK, [&] { *Answer = std::move(Ready); });
      });
    });
    return Reactor;
  }

  grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *Context,
                                     const peer::ExchangeRequest *Request,
                                     peer::ExchangeReply *Reply) override {
    return handleCall(Context, Request, Reply, &PeerService::m_Exchange);
  }
  grpc::ServerUnaryReactor *Forward(grpc::CallbackServerContext *Context,
                                    const peer::ForwardRequest *Request,
                                    peer::ForwardReply *Reply) override {
    return handleCall(Context, Request, Reply, &PeerService::m_Forward);
  }
  grpc::ServerUnaryReactor *AcquireTokens(grpc::CallbackServerContext *Context,
                                          const peer::AcquireTokensRequest *Request,
                                          peer::AcquireTokensReply *Reply) override {
    return handleCall(Context, Request, Reply, &PeerService::m_AcquireTokens);
  }
  grpc::ServerUnaryReactor *GetConfig(grpc::CallbackServerContext *Context,
                                      const peer::GetConfigRequest *Request,
                                      peer::GetConfigReply *Reply) override {
    return handleCall(Context, Request, Reply, &PeerService::m_GetConfig);
  }
};

std::variant<std::shared_ptr<PeerServer>, std::string> startPeerServer(const ListenSettings &Listen,
                                                                       const std::string &Secret,
                                                                       Executor Run,
                                                                       PeerService Service) {
  if (!Listen.m_IsPlainText)
    if (std::string Error = checkFiles(Listen, false); !Error.empty())
      return Error;
  keepCallbackQueue();
  auto Server = std::make_shared<PeerServer>();
  Server->m_Secret = computeDigest(Secret);
  Server->m_Run = std::move(Run);
  Server->m_Service = std::make_shared<PeerService>(std::move(Service));
  std::string Address = Listen.m_Address + ":" + std::to_string(Listen.m_Port);
  grpc::ServerBuilder Builder;
  Builder.AddListeningPort(Address, makeServerCredentials(Listen), &Server->m_Port);
  Builder.RegisterService(Server.get());
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  // Without this, a second process could listen on the same port without an error.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             KeepaliveMs / 2);
  Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  Server->m_Server = Builder.BuildAndStart();
  if (!Server->m_Server || Server->m_Port == 0)
    return "cannot listen on " + Address;
  return Server;
}

uint16_t getPeerPort(const PeerServer &Server) { return static_cast<uint16_t>(Server.m_Port); }

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

namespace {

struct PeerLink {
  std::shared_ptr<grpc::Channel> m_Channel;
  std::shared_ptr<peer::Peer::Stub> m_Stub;
  TimePoint m_BackoffResetAt{};
};

} // namespace

struct PeerLinks {
  ListenSettings m_OwnListen;
  std::string m_Secret;
  Executor m_Run;
  std::shared_ptr<grpc::ChannelCredentials> m_Credentials;
  std::map<std::string, PeerLink> m_Links;
};

std::shared_ptr<PeerLinks> openPeerLinks(const ListenSettings &OwnListen, const std::string &Secret,
                                         Executor Run) {
  keepCallbackQueue();
  return std::make_shared<PeerLinks>(PeerLinks{.m_OwnListen = OwnListen,
                                               .m_Secret = Secret,
                                               .m_Run = std::move(Run),
                                               .m_Credentials = nullptr,
                                               .m_Links = {}});
}

namespace {

// Returns null if the certificate files cannot be read; the next call retries to read them.
PeerLink *findLink(PeerLinks &Links, const std::string &Address) {
  if (!Links.m_Credentials)
    Links.m_Credentials = makeChannelCredentials(Links.m_OwnListen);
  if (!Links.m_Credentials)
    return nullptr;
  PeerLink &Link = Links.m_Links[Address];
  if (!Link.m_Channel) {
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MaxReconnectMs); // connect timeout
    Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
    Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveMs);
    Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    Link.m_Channel = grpc::CreateCustomChannel(Address, Links.m_Credentials, Arguments);
    Link.m_Stub = peer::Peer::NewStub(Link.m_Channel);
  }
  // gRPC raises any backoff to at least 100 ms. To reconnect sooner, a call resets the backoff if
  // the last reset is at least InitialReconnectMs ago.
  TimePoint Now = Clock::now();
  if (Link.m_Channel->GetState(false) == GRPC_CHANNEL_TRANSIENT_FAILURE &&
      Now - Link.m_BackoffResetAt >= Millis(InitialReconnectMs)) {
    Link.m_BackoffResetAt = Now;
    grpc::experimental::ChannelResetConnectionBackoff(Link.m_Channel.get());
  }
  return &Link;
}

// State of an outgoing call until its answer.
template <class Request, class Reply> struct OutgoingCall {
  grpc::ClientContext m_Context;
  Request m_Request;
  Reply m_Reply;
  std::shared_ptr<peer::Peer::Stub> m_Stub;
};

// gRPC has no status for a call that was never assigned to a connection: UNAVAILABLE also covers
// broken connections, and ClientContext::peer() is set only once an answer has begun. gRPC reports
// the message below while it chooses a connection, before anything is sent. If another version of
// gRPC changes the message, such calls count as unanswered and peer_test fails.
constexpr std::string_view NoConnectionMessage = "failed to connect to all addresses";

PeerError classifyFailure(const grpc::Status &Status) {
  // The server returns these codes before it calls a handler.
  if (Status.error_code() == grpc::StatusCode::UNAUTHENTICATED ||
      Status.error_code() == grpc::StatusCode::UNIMPLEMENTED)
    return PeerError::NotSent;
  bool WasNeverConnected = Status.error_code() == grpc::StatusCode::UNAVAILABLE &&
                           Status.error_message().starts_with(NoConnectionMessage);
  return WasNeverConnected ? PeerError::NotSent : PeerError::Unanswered;
}

template <class Request, class Reply, class Method>
void startCall(PeerLinks &Links, const std::string &Address, const Request &Message,
               Duration Timeout, PeerHandler<Reply> Callback, Method Start) {
  PeerLink *Link = findLink(Links, Address);
  if (!Link) {
    Links.m_Run([Callback = std::move(Callback)] { Callback(PeerError::NotSent); });
    return;
  }
  auto Call = std::make_shared<OutgoingCall<Request, Reply>>();
  Call->m_Request = Message;
  Call->m_Stub = Link->m_Stub;
  Call->m_Context.AddMetadata(SecretKey, Links.m_Secret);
  Call->m_Context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(Timeout));
  Start(*Call->m_Stub, &Call->m_Context, &Call->m_Request, &Call->m_Reply,
        [Call, Run = Links.m_Run, Callback = std::move(Callback)](const grpc::Status &Status) {
          std::variant<Reply, PeerError> Result;
          if (Status.ok())
            Result = std::move(Call->m_Reply);
          else
            Result = classifyFailure(Status);
          Run([Callback, Result = std::move(Result)] { Callback(Result); });
        });
}

} // namespace

void callExchange(PeerLinks &Links, const std::string &Address,
                  const peer::ExchangeRequest &Request, Duration Timeout,
                  PeerHandler<peer::ExchangeReply> Callback) {
  startCall<peer::ExchangeRequest, peer::ExchangeReply>(
      Links, Address, Request, Timeout, std::move(Callback),
      [](auto &Stub, auto... Rest) { Stub.async()->Exchange(std::move(Rest)...); });
}

void callForward(PeerLinks &Links, const std::string &Address, const peer::ForwardRequest &Request,
                 Duration Timeout, PeerHandler<peer::ForwardReply> Callback) {
  startCall<peer::ForwardRequest, peer::ForwardReply>(
      Links, Address, Request, Timeout, std::move(Callback),
      [](auto &Stub, auto... Rest) { Stub.async()->Forward(std::move(Rest)...); });
}

void callAcquireTokens(PeerLinks &Links, const std::string &Address,
                       const peer::AcquireTokensRequest &Request, Duration Timeout,
                       PeerHandler<peer::AcquireTokensReply> Callback) {
  startCall<peer::AcquireTokensRequest, peer::AcquireTokensReply>(
      Links, Address, Request, Timeout, std::move(Callback),
      [](auto &Stub, auto... Rest) { Stub.async()->AcquireTokens(std::move(Rest)...); });
}

void callGetConfig(PeerLinks &Links, const std::string &Address,
                   const peer::GetConfigRequest &Request, Duration Timeout,
                   PeerHandler<peer::GetConfigReply> Callback) {
  startCall<peer::GetConfigRequest, peer::GetConfigReply>(
      Links, Address, Request, Timeout, std::move(Callback),
      [](auto &Stub, auto... Rest) { Stub.async()->GetConfig(std::move(Rest)...); });
}

} // namespace quetzalpaddle
