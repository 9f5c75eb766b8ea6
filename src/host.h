// State of one host. The control thread owns it: all other threads post work to that thread.
#pragma once

#include "dispatch.h"
#include "entry.h"
#include "log.h"
#include "metrics.h"
#include "monitor.h"
#include "platform_client.h"
#include "settings.h"
#include "sync.h"

namespace quetzalpaddle {

// State of the subsystems. EntryState and DispatchState are defined in entry.cpp and dispatch.cpp,
// MonitorState and SyncState in monitor_state.h and sync_state.h.
struct EntryState;
struct DispatchState;
struct MonitorState;
struct SyncState;

struct Host {
  Settings m_Settings;
  Executor m_Run; // posts a function to the control thread
  std::function<void(Duration, std::function<void()>)> m_RunAfter; // the same after a delay
  Random m_Rng;
  uint64_t m_Incarnation = 0;
  TimePoint m_StartedAt{};
  bool m_IsDraining = false;

  ConfigState m_Config;
  Membership m_Members;
  std::map<std::string, GroupView> m_Views; // by group
  std::map<std::string, Promotion> m_Promotions;
  RateState m_Rate;

  std::shared_ptr<Metrics> m_Metrics;
  std::shared_ptr<PlatformClient> m_Platform;
  std::shared_ptr<PeerLinks> m_PeerLinks;
  std::shared_ptr<PeerServer> m_PeerServer;

  std::shared_ptr<EntryState> m_Entry;
  std::shared_ptr<DispatchState> m_Dispatch;
  std::shared_ptr<MonitorState> m_Monitor;
  std::shared_ptr<SyncState> m_Sync;
  // Called when a key is withdrawn, deleted or replaced; the HTTP front end sets it to close the
  // key's connections.
  std::function<void(const std::string &KeyId)> m_OnKeyInvalidated;
  // Starts a graceful shutdown on an operator's order; set by startHost() and runServe().
  std::function<void()> m_BeginDrain;
};

// Create the initial state of each subsystem; called by startHost().
std::shared_ptr<EntryState> makeEntryState();
std::shared_ptr<DispatchState> makeDispatchState();
std::shared_ptr<MonitorState> makeMonitorState();
std::shared_ptr<SyncState> makeSyncState();

// Return each subsystem's section of the state dump as JSON text.
std::string dumpEntry(const Host &ThisHost);
std::string dumpDispatch(const Host &ThisHost);
std::string dumpMonitor(const Host &ThisHost);
std::string dumpSync(const Host &ThisHost);

// Returns the configured instance of a group, or null if the group or the instance does not exist.
const Instance *findInstance(const Host &ThisHost, const std::string &Group,
                             const std::string &Instance);

} // namespace quetzalpaddle
