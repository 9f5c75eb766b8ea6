// Stand-in for the platform's object API (proto/platform.proto) with fault switches
// (proto/standin.proto). Objects and their whole history of changes are kept in memory.
#pragma once

#include "platform.pb.h"
#include "quetzalpaddle.h"
#include "standin.pb.h"

#include <memory>

namespace quetzalpaddle {

struct PlatformOptions {
  std::string m_Address = "127.0.0.1";
  uint16_t m_Port = 0;               // 0: any free port
  Millis m_HostListDelay{0};         // delay before a new host list takes effect
  Millis m_Latency{0};               // of each call; half of it before the call takes effect
  size_t m_MaxChangesPerEvent = 500; // in one event of a watch
};

struct StandinPlatform; // stops when the last reference is released

// Starts the service. Returns null if it cannot listen.
std::shared_ptr<StandinPlatform> startPlatform(const PlatformOptions &Options);

// Returns IP:port of the service.
std::string platformAddress(const StandinPlatform &P);

// Applies the switches that are present in the request; the others keep their values. During an
// outage (down) and for lost answers, calls alternately fail with UNAVAILABLE and get no answer, so
// that a caller cannot tell whether a write took effect.
void setFaults(StandinPlatform &P, const standin::FaultRequest &Faults);

// Replaces the host list after the delay m_HostListDelay.
void setHostList(StandinPlatform &P, const standin::SetHostsRequest &Hosts);

// Returns the number of calls so far by kind ("put", "watch", ...) and "host" metadata of the
// caller.
std::map<std::pair<std::string, std::string>, uint64_t> countCalls(const StandinPlatform &P);

// Direct access to the store, not subject to faults.
platform::Object readObject(const StandinPlatform &P, const std::string &Name);
platform::WriteReply writeObject(StandinPlatform &P, const platform::PutRequest &Request);

} // namespace quetzalpaddle
