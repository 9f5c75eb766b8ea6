// Stand-in of a database instance (proto/instance.proto) with fault switches
// (proto/standin.proto). It keeps its data in memory; they last as long as the process.
#pragma once

#include "instance.pb.h"
#include "standin.pb.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzalpaddle {

struct StandinOptions {
  std::string m_Id = "i1";
  std::string m_Group = "g1";
  std::string m_Address = "127.0.0.1:0";            // port 0: chosen by the system
  std::map<std::string, std::string> m_Peers;       // id to address, without this instance
  uint32_t m_GroupSize = 0;                         // 0: one more than there are peers
  uint32_t m_SlotCount = 5;                         // statements at a time
  uint32_t m_ConnectionLimit = 65;                  // connections accepted
  std::chrono::milliseconds m_ConnectDelay{0};      // set-up time of a connection
  std::chrono::microseconds m_StatementDuration{0}; // time for which a statement occupies a slot
  std::string m_Primary;                            // id of the primary of term 1; empty: none
  // Called with this instance's id for each frame received from a host.
  std::function<void(const std::string &, const instance::ClientFrame &)> m_OnFrame;
  bool m_IsRestarted = false; // starts without data in a running group: is not the primary, and
                              // grants no term before it has caught up
};

struct StandinInstance; // stops when released

// Returns null if the address cannot be bound.
std::shared_ptr<StandinInstance> startInstance(const StandinOptions &Options);

// Starts a group on ports chosen by the system. Ids are the group's name with "-1", "-2" and so
// on; the first is the primary of term 1. Id, address, peers and primary of Common are ignored.
std::vector<std::shared_ptr<StandinInstance>> startGroup(const StandinOptions &Common,
                                                         uint32_t Size);

std::string instanceAddress(const StandinInstance &Instance);
std::string instanceId(const StandinInstance &Instance);

// Sets the other instances of the group, for ports that are known only after the start.
void setPeers(StandinInstance &Instance, const std::map<std::string, std::string> &Peers);

// Changes the switches that are set in the request; the others keep their value.
void setFaults(StandinInstance &Instance, const standin::FaultRequest &Request);

// Returns what a majority holds, as far as this instance knows. Works while it is frozen.
standin::DumpReply dumpInstance(StandinInstance &Instance);

} // namespace quetzalpaddle
