// Dispatches requests to database instances: fair queue, connection pool and open transactions per
// instance. All functions run on the control thread.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

// Runs a request at an instance that this host dispatches to, on behalf of itself or another host.
// Callback is called once, with a refusal reason if the request has not run.
void dispatchRequest(Host &ThisHost, peer::ForwardRequest Request,
                     PeerReplyCallback<peer::ForwardReply> Callback);

// Refuses the queued requests of a withdrawn key. Closes the connections of its transactions; a
// connection with a statement in progress is closed after the answer.
void cancelKeyRequests(Host &ThisHost, const std::string &KeyId);

// Expires requests and idle transactions, starts queued requests and opens connections; called
// every 10 ms.
void tickDispatch(Host &ThisHost, TimePoint Now);

// Returns the number of queued and running requests and of idle open transactions at this host's
// dispatchers. A graceful shutdown waits until it is 0.
uint32_t countInProgress(const Host &ThisHost);

} // namespace quetzalpaddle
