// Configuration, host list, leases and rate slots: traffic with the platform and catching up from
// other hosts. Admission by rate. Control thread only.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

// Starts the first load from the platform or from other hosts.
void startSync(Host &H);

// Watches, host list, lease renewal, slot plans that are due; called every 10 ms.
void tickSync(Host &H, TimePoint Now);

// Admits one request of a customer. OnDone is called once, at once or after a wait for tokens, with
// Reason::None or Reason::RateLimited.
void admitByRate(Host &H, const std::string &Customer, std::function<void(Reason)> OnDone);

peer::AcquireTokensReply handleAcquire(Host &H, const peer::AcquireTokensRequest &Request);
peer::GetConfigReply handleGetConfig(Host &H, const peer::GetConfigRequest &Request);

// Pulls configuration from a host that reported a higher revision.
void pullNewerConfig(Host &H, const std::string &Host, uint64_t Revision);

// Gives the slots back during a graceful shutdown. OnDone is called once.
void releaseSlots(Host &H, std::function<void()> OnDone);

// Whether requests with a key must be refused because no news has come for too long.
bool isCutOff(const Host &H, TimePoint Now);

} // namespace quetzalpaddle
