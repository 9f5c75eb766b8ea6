// Faults of a whole system, how each is brought about and healed, and a run of the workload under
// one or more of them.
#pragma once

#include "system.h"

namespace quetzalpaddle {

// A run of the workload, and what was found wrong beyond the rules of the history.
struct Scenario {
  std::unique_ptr<TestSystem> m_System;
  History m_History;
  Random m_Rng;
  std::vector<std::string> m_Problems;
};

// What a fault has chosen when it started.
struct FaultState {
  std::string m_Instance;    // of group g1
  std::string m_RestoreData; // an address, or an object to restore
  size_t m_Host = 0;
  TimePoint m_InjectedAt{};
};

struct Fault {
  std::string_view m_Name;
  Millis m_Duration{1200};
  std::function<void(Scenario &, FaultState &)> m_Start;
  std::function<void(Scenario &, FaultState &)> m_Heal; // also checks what this fault must not do
  bool m_StopsPlatform = false;
  bool m_NeedsPlatform = false; // changes have to reach the hosts
};

const std::vector<Fault> &listFaults();

// Starts a system and a workload, brings the faults about at random moments, heals them, and waits
// until every host serves writes and has the current configuration. Returns everything found wrong.
std::vector<std::string> runFaults(const std::vector<const Fault *> &Faults, uint64_t Seed);

} // namespace quetzalpaddle
