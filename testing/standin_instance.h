// Stand-in for a database instance (proto/instance.proto) with fault switches
// (proto/standin.proto). Its data are kept in memory and lost when the process ends.
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
  std::string m_Address = "127.0.0.1:0";            // port 0: any free port
  std::map<std::string, std::string> m_Peers;       // addresses by id, without this instance
  uint32_t m_GroupSize = 0;                         // 0: the peers and this instance
  uint32_t m_SlotCount = 5;                         // statements that run concurrently
  uint32_t m_ConnectionLimit = 65;                  // open connections
  std::chrono::milliseconds m_ConnectDelay{0};      // time to set up a connection
  std::chrono::microseconds m_StatementDuration{0}; // time for which a statement occupies a slot
  std::string m_Primary;                            // id of the primary of term 1; empty: none
  // Called on the instance's thread with its id for each frame received from a host.
  std::function<void(const std::string &, const instance::ClientFrame &)> m_OnFrame;
  bool m_IsRestarted = false; // joins a running group without data: does not start as primary,
                              // and grants no term before it has caught up
};

struct StandinInstance; // stops when the last reference is released

// Returns null if the address cannot be bound.
std::shared_ptr<StandinInstance> startInstance(const StandinOptions &Options);

// Starts a group on free ports. The ids are the group's name with "-1", "-2" and so on; the first
// instance is the primary of term 1. Id, address, peers, group size and primary of Common are
// ignored. Returns an empty list if an instance cannot be started.
std::vector<std::shared_ptr<StandinInstance>> startGroup(const StandinOptions &Common,
                                                         uint32_t Size);

std::string instanceAddress(const StandinInstance &Instance);
std::string instanceId(const StandinInstance &Instance);

// Sets the addresses of the group by id. Needed if ports are known only after the start.
void setPeers(StandinInstance &Instance, const std::map<std::string, std::string> &Peers);

// Applies the switches that are present in the request; the others keep their values.
void setFaults(StandinInstance &Instance, const standin::FaultRequest &Request);

// Returns the rows and request ids that this instance knows to be committed. Works while the
// instance is frozen.
standin::DumpReply dumpInstance(StandinInstance &Instance);

} // namespace quetzalpaddle
