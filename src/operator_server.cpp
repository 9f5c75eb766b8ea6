// gRPC listener of the operator service.
#include "operator.h"

#include "grpc_queue.h"
#include "operator.grpc.pb.h"

#include <array>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <grpcpp/security/tls_credentials_options.h>
#include <mutex>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace quetzalpaddle {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;
constexpr unsigned CertificateRefreshSeconds = 60;
constexpr int MaxMessageBytes = 1024 * 1024;

Digest computeDigest(std::string_view Text) {
  Digest Result{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Result.data());
  return Result;
}

// A call that has not been answered. The reactor is destroyed after Finish(), so finishCall() takes
// it only once.
struct PendingCall {
  std::mutex m_Lock;
  grpc::ServerUnaryReactor *m_Reactor = nullptr;
  operators::RunReply *m_Reply = nullptr;
};

void finishCall(PendingCall &Call, const grpc::Status &Status, operators::RunReply Reply) {
  std::scoped_lock Guard(Call.m_Lock);
  if (!Call.m_Reactor)
    return;
  *Call.m_Reply = std::move(Reply);
  std::exchange(Call.m_Reactor, nullptr)->Finish(Status);
}

std::shared_ptr<grpc::ServerCredentials> makeCredentials(const ListenSettings &Listen) {
  if (Listen.m_IsPlainText)
    return grpc::InsecureServerCredentials();
  grpc::experimental::TlsServerCredentialsOptions Options(
      std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
          Listen.m_KeyFile, Listen.m_CertificateFile, CertificateRefreshSeconds));
  Options.watch_identity_key_cert_pairs();
  Options.set_cert_request_type(GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE);
  return grpc::experimental::TlsServerCredentials(Options);
}

} // namespace

struct OperatorServer final : operators::Operator::CallbackService {
  Digest m_Secret{};
  Executor m_Run;
  OperatorHandler m_Handler;
  int m_Port = 0;
  std::mutex m_Lock;
  std::vector<std::weak_ptr<PendingCall>> m_Calls;
  bool m_IsStopping = false;
  std::unique_ptr<grpc::Server> m_Server;

  OperatorServer() = default;
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  // Pending calls are finished first, since Shutdown() waits for them and their handlers may need
  // the thread that destroys the server.
  ~OperatorServer() override {
    std::vector<std::weak_ptr<PendingCall>> Calls;
    {
      std::scoped_lock Guard(m_Lock);
      m_IsStopping = true;
      Calls.swap(m_Calls);
    }
    for (auto &Weak : Calls)
      if (auto Call = Weak.lock())
        finishCall(*Call, {grpc::StatusCode::UNAVAILABLE, "the host stops"}, {});
    if (m_Server)
      m_Server->Shutdown(std::chrono::system_clock::now());
  }

  bool isSecretValid(const grpc::CallbackServerContext &Context) const {
    auto It = Context.client_metadata().find(OperatorSecretKey);
    if (It == Context.client_metadata().end())
      return false;
    // Digests have a fixed length, so that the comparison time does not reveal the secret's length.
    Digest GivenDigest = computeDigest({It->second.data(), It->second.size()});
    return CRYPTO_memcmp(GivenDigest.data(), m_Secret.data(), GivenDigest.size()) == 0;
  }

  bool addCall(const std::shared_ptr<PendingCall> &Call) {
    std::scoped_lock Guard(m_Lock);
    std::erase_if(m_Calls, [](const auto &Weak) { return Weak.expired(); });
    if (!m_IsStopping)
      m_Calls.push_back(Call);
    return !m_IsStopping;
  }

  grpc::ServerUnaryReactor *Run(grpc::CallbackServerContext *Context,
                                const operators::RunRequest *Request,
                                operators::RunReply *Reply) override {
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    if (!isSecretValid(*Context)) {
      Reactor->Finish({grpc::StatusCode::UNAUTHENTICATED, "wrong operator secret"});
      return Reactor;
    }
    auto Call = std::make_shared<PendingCall>();
    Call->m_Reactor = Reactor;
    Call->m_Reply = Reply;
    if (!addCall(Call)) {
      finishCall(*Call, {grpc::StatusCode::UNAVAILABLE, "the host stops"}, {});
      return Reactor;
    }
    m_Run([Call, Handler = m_Handler, Copy = *Request] {
      Handler(Copy, [Call](operators::RunReply Result) {
        finishCall(*Call, grpc::Status::OK, std::move(Result));
      });
    });
    return Reactor;
  }
};

std::variant<std::shared_ptr<OperatorServer>, std::string>
startOperatorServer(const ListenSettings &Listen, const std::string &Secret, Executor Run,
                    OperatorHandler Handler) {
  if (!Listen.m_IsPlainText)
    for (const std::string &File : {Listen.m_CertificateFile, Listen.m_KeyFile})
      if (!std::ifstream(File))
        return "cannot read '" + File + "'";
  auto Server = std::make_shared<OperatorServer>();
  Server->m_Secret = computeDigest(Secret);
  Server->m_Run = std::move(Run);
  Server->m_Handler = std::move(Handler);
  std::string Address = Listen.m_Address + ":" + std::to_string(Listen.m_Port);
  keepCallbackQueue();
  grpc::ServerBuilder Builder;
  Builder.AddListeningPort(Address, makeCredentials(Listen), &Server->m_Port);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  Builder.RegisterService(Server.get());
  Server->m_Server = Builder.BuildAndStart();
  if (!Server->m_Server || Server->m_Port == 0)
    return "cannot listen on " + Address;
  return Server;
}

uint16_t getOperatorPort(const OperatorServer &Server) {
  return static_cast<uint16_t>(Server.m_Port);
}

} // namespace quetzalpaddle
