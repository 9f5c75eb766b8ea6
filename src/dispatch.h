// Dispatcher of instances: queue, connections, transactions. Control thread only.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

// Runs a request at an instance that this host dispatches to, whoever forwarded it. Callback is
// called once.
void dispatchRequest(Host &ThisHost, const peer::ForwardRequest &Request,
                     PeerReplyCallback<peer::ForwardReply> Callback);

// Refuses queued requests and aborts transactions of a withdrawn key.
void cancelKeyRequests(Host &ThisHost, const std::string &KeyId);

// Deadlines, idle transactions, opening of connections; called every 10 ms.
void tickDispatch(Host &ThisHost, TimePoint Now);

// Requests in progress and open transactions here; a graceful shutdown waits until it is 0.
uint32_t countInProgress(const Host &ThisHost);

} // namespace quetzalpaddle
