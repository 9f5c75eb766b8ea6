// Workaround for a bug in gRPC 1.51 that affects every user of its callback API.
#pragma once

namespace quetzalpaddle {

// Keeps gRPC's callback completion queue alive until the process ends. Must be called before the
// first channel or server is created. gRPC 1.51 may abort in grpc_cq_internal_unref() ("prior > 0")
// when the last channel that uses the queue is released right after a call.
void keepCallbackQueue();

} // namespace quetzalpaddle
