// Stand-in of the platform's object API (proto/platform.proto) with fault switches
// (proto/standin.proto). Everything is kept in memory, with the whole history of changes.
#pragma once

#include "platform.pb.h"
#include "quetzalpaddle.h"
#include "standin.pb.h"

#include <memory>

namespace quetzalpaddle {

struct PlatformOptions {
  std::string m_Address = "127.0.0.1";
  uint16_t m_Port = 0;               // 0: any free port
  Millis m_HostListDelay{0};         // delay before a new host list is shown
  Millis m_Latency{0};               // of each call; half of it before the call takes effect
  size_t m_MaxChangesPerEvent = 500; // most changes in one event of a watch
};

struct StandinPlatform; // stops when released

// Starts the service. Returns null if it cannot listen.
std::shared_ptr<StandinPlatform> startPlatform(const PlatformOptions &Options);

// Returns IP:port of the service.
std::string platformAddress(const StandinPlatform &P);

// Sets the switches that are present in the request. During an outage (down), and for an answer
// that is lost, calls by turns fail with UNAVAILABLE or get no answer, so that a caller cannot tell
// whether a write took effect.
void setFaults(StandinPlatform &P, const standin::FaultRequest &Faults);

void setHostList(StandinPlatform &P, const standin::SetHostsRequest &Hosts);

// Returns calls so far by kind ("put", "watch", ...) and by the caller's "host" metadata.
std::map<std::pair<std::string, std::string>, uint64_t> countCalls(const StandinPlatform &P);

// Access to the store without a call, not subject to faults.
platform::Object readObject(const StandinPlatform &P, const std::string &Name);
platform::WriteReply writeObject(StandinPlatform &P, const platform::PutRequest &Request);

} // namespace quetzalpaddle
