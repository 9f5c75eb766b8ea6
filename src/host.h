// One host: all of its control state, owned by the control thread.
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

// State of the parts, each defined beside the code that uses it.
struct EntryState;
struct DispatchState;
struct MonitorState;
struct SyncState;

struct Host {
  Settings m_Settings;
  Executor m_Run;                                                  // posts to the control thread
  std::function<void(Duration, std::function<void()>)> m_RunAfter; // on the control thread, later
  Random m_Rng;
  uint64_t m_Incarnation = 0;
  TimePoint m_StartedAt{};
  bool m_Draining = false;

  ConfigState m_Config;
  Membership m_Members;
  std::map<std::string, GroupView> m_Views; // by group
  std::map<std::string, Promotion> m_Promotions;
  RateState m_Rate;

  std::shared_ptr<Metrics> m_Metrics;
  std::shared_ptr<PlatformClient> m_Platform;
  std::shared_ptr<PeerLinks> m_Links;
  std::shared_ptr<PeerServer> m_PeerServer;

  std::shared_ptr<EntryState> m_Entry;
  std::shared_ptr<DispatchState> m_Dispatch;
  std::shared_ptr<MonitorState> m_Monitor;
  std::shared_ptr<SyncState> m_Sync;
  std::function<void(const std::string &KeyId)>
      m_OnKeyEnded;                   // set by the front: closes connections
  std::function<void()> m_BeginDrain; // set by host.cpp: graceful shutdown ordered by an operator
};

// Each part makes its own state; called by openHost().
std::shared_ptr<EntryState> makeEntryState();
std::shared_ptr<DispatchState> makeDispatchState();
std::shared_ptr<MonitorState> makeMonitorState();
std::shared_ptr<SyncState> makeSyncState();

// Each part's share of the state dump, as JSON text.
std::string dumpEntry(const Host &ThisHost);
std::string dumpDispatch(const Host &ThisHost);
std::string dumpMonitor(const Host &ThisHost);
std::string dumpSync(const Host &ThisHost);

// Finds an instance and its group in the configuration; null if it is not there.
const Instance *findInstance(const Host &ThisHost, const std::string &Group,
                             const std::string &Instance);

} // namespace quetzalpaddle
