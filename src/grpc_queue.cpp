// Keeps gRPC's callback completion queue in use with a channel that has no target and is never
// released.
#include "grpc_queue.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace quetzalpaddle {

namespace {

struct KeptCall {
  grpc::ClientContext m_Context;
  peer::ExchangeRequest m_Request;
  peer::ExchangeReply m_Reply;
  std::unique_ptr<peer::Peer::Stub> m_Stub;
};

} // namespace

void keepCallbackQueue() {
  [[maybe_unused]] static const bool IsKept = [] {
    auto *Call = new KeptCall; // never released
    Call->m_Stub = peer::Peer::NewStub(grpc::CreateChannel("", nullptr));
    // The first call registers the channel with the queue; it fails without network traffic.
    Call->m_Stub->async()->Exchange(&Call->m_Context, &Call->m_Request, &Call->m_Reply,
                                    [](const grpc::Status &) {});
    return true;
  }();
}

} // namespace quetzalpaddle
