// Fault injection for a whole system: the table of faults, how each is injected and healed, and
// runs of the workload under one or more of them.
#pragma once

#include "system.h"

namespace quetzalpaddle {

// One run of the workload: the system, the recorded history and every problem found.
struct Scenario {
  std::unique_ptr<TestSystem> m_System;
  History m_History;
  Random m_Rng;
  std::vector<std::string> m_Problems;
};

// State of one injected fault, set when it starts and used to heal and check it.
struct FaultState {
  std::string m_Instance;    // id of the affected instance of group g1
  std::string m_RestoreData; // address of a killed instance, or configuration object to restore
  size_t m_Host = 0;         // index of the affected host
  TimePoint m_InjectedAt{};
};

struct Fault {
  std::string_view m_Name;
  Millis m_Duration{1200}; // time between start and healing
  std::function<void(Scenario &, FaultState &)> m_Start;
  // Also checks what must hold under this fault.
  std::function<void(Scenario &, FaultState &)> m_Heal;
  bool m_StopsPlatform = false; // disturbs the platform
  bool m_NeedsPlatform = false; // configuration changes have to reach the hosts
};

const std::vector<Fault> &listFaults();

// Starts a system and a workload, injects the faults at random moments, heals them, and waits until
// every host serves writes and has the current configuration. Returns a description of each
// problem; empty if there are none.
std::vector<std::string> runFaults(const std::vector<const Fault *> &Faults, uint64_t Seed);

} // namespace quetzalpaddle
