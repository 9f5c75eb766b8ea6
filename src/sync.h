// Synchronizes configuration, host list, leases and rate slots with the platform and other hosts,
// and admits requests by rate. To be called from the control thread only.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

// Starts the initial load of the configuration from the platform or from other hosts.
void startSync(Host &ThisHost);

// Runs the watches, host list reads, lease renewals and slot plans that are due; called every 10
// ms.
void tickSync(Host &ThisHost, TimePoint Now);

// Admits or refuses one request of a customer. OnDone is called exactly once, immediately or after
// waiting for tokens, with Reason::None or Reason::RateLimited.
void admitByRate(Host &ThisHost, const std::string &Customer, std::function<void(Reason)> OnDone);

peer::AcquireTokensReply handleAcquire(Host &ThisHost, const peer::AcquireTokensRequest &Request);
peer::GetConfigReply handleGetConfig(Host &ThisHost, const peer::GetConfigRequest &Request);

// Pulls the configuration from a host that reported a higher revision than that of this host.
void pullNewerConfig(Host &ThisHost, const std::string &HostId, uint64_t Revision);

// Returns the slots of this host during a graceful shutdown. OnDone is called once.
void releaseSlots(Host &ThisHost, std::function<void()> OnDone);

// Whether requests with a key must be refused because neither the platform nor a host of another
// data centre has been reached within the cut-off limit.
bool isCutOff(const Host &ThisHost, TimePoint Now);

} // namespace quetzalpaddle
