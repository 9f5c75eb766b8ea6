// State of an entry host that serves the statement protocol. One control thread owns it all: a
// host has a fraction of one core, so that a second thread would only add switches.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Dispatcher of an instance (line_dispatch.cpp)
// [SECTION] Other hosts (line_peer.cpp, line_gossip.cpp)
// [SECTION] Callers' sessions (line_session.cpp)
// [SECTION] Platform's store (line_sync.cpp)
// [SECTION] Promotions (line_takeover.cpp)
// [SECTION] The host
#pragma once

#include "connections.h"
#include "hubs.h"
#include "line_config.h"
#include "line_transport.h"
#include "log.h"
#include "metrics.h"
#include "statement.h"
#include "takeover.h"
#include "usage.h"
#include "write_gate.h"

#include "line.pb.h"

#include <list>
#include <memory>
#include <set>

namespace quetzalpaddle {

namespace platform {
struct StoreClient;
} // namespace platform

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct EntrySettings {
  std::string m_Host;
  std::string m_DataCentre;
  std::string m_Callers;            // IP:port for callers
  std::string m_Admin;              // IP:port: readiness, metrics, state dump
  std::string m_PeerAddress;        // IP for other hosts
  uint16_t m_PeerPort = 0;          // of TCP and UDP; the same on all hosts
  std::vector<std::string> m_Seeds; // IP:port, of other hosts; only the IPs are used
  std::string m_Store;              // IP:port
  std::string m_Promotions;         // IP:port
  Millis m_StopLimit{6000};         // from the signal to the end of the process
  Millis m_LeavingLimit{7000};      // until a leaving instance gets no new work
  double m_RateTolerance = 0;       // part of a rate by which the fleet may exceed it
  double m_Cores = 1;               // part of a core that the host has
};

// Text: JSON with comments. Returns every error found.
std::variant<EntrySettings, std::vector<std::string>> parseEntrySettings(const std::string &Text);

// Reads a settings file; prints every error to standard error and returns nothing if there is one.
std::optional<EntrySettings> readEntrySettings(const std::string &File);

//-----------------------------------------------------------------------------
// [SECTION] Dispatcher of an instance (line_dispatch.cpp)
//-----------------------------------------------------------------------------

struct LinePoolConnection {
  explicit LinePoolConnection(Tcp::socket Socket) : m_Line(std::move(Socket)) {}
  LineConnection m_Line;
  std::string m_Customer;
  ConnectionSetupState m_Content;
  bool m_Broken = false;  // closed
  bool m_Spent = false;   // answers may be due: not to be used again
  TimePoint m_Since{};    // of the last use
  TimePoint m_SentAt{};   // of the statement in progress; zero if none
  bool m_Writing = false; // that statement is a write or a commit
};

struct SlotWaiter {
  explicit SlotWaiter(boost::asio::io_context &Io) : m_Wakeup(Io) {}
  Wakeup m_Wakeup;
  Reason m_Refused = Reason::None;
};

// A transaction is known by the link that opened it (0 = this host) and the opener's number.
using TransactionKey = std::pair<uint64_t, uint64_t>;

struct PinnedTransaction {
  std::shared_ptr<LinePoolConnection> m_Connection;
  std::string m_Instance;
  std::string m_Customer;
  bool m_Busy = false;      // a statement is running
  bool m_Abandoned = false; // end it when the statement has ended
  TimePoint m_UsedAt{};     // last statement
};

struct InstanceDispatch {
  FairQueue m_Queue;
  std::map<uint64_t, std::shared_ptr<SlotWaiter>> m_Waiters; // by request id
  std::list<std::shared_ptr<LinePoolConnection>> m_Idle;     // last used first
  std::set<std::shared_ptr<LinePoolConnection>> m_Running;   // with a statement in progress
  uint32_t m_Open = 0;                                       // connections, idle or not
  ConnectionBudget m_Budget;
  Duration m_Service{};     // smoothed time of a statement
  TimePoint m_AnsweredAt{}; // last answer
  WriteGate m_Writes;
  TimePoint m_FailedAt{}; // last failed connection or silence
  TimePoint m_RetryAt{};  // no connection is opened before
  Duration m_Backoff{};
  bool m_Unreachable = false;
  bool m_Probing = false;
  std::string m_Address; // in use; a change drops the connections
  uint64_t m_Started = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Other hosts (line_peer.cpp, line_gossip.cpp)
//-----------------------------------------------------------------------------

struct PendingCall {
  explicit PendingCall(boost::asio::io_context &Io) : m_Wakeup(Io) {}
  Wakeup m_Wakeup;
  line::RunReply m_Reply;
};

// A link to another host, opened when it is first needed.
struct PeerLink {
  std::string m_Address;
  std::shared_ptr<FrameConnection> m_Frames; // null while closed
  bool m_Connecting = false;
  std::vector<std::shared_ptr<Wakeup>> m_WaitingForLink;
  std::map<uint64_t, std::shared_ptr<PendingCall>> m_Calls;
};

// What gossip needs to know of another host beyond HostView.
struct PeerGossip {
  TimePoint m_StoreAt{}; // when the store last answered it
  TimePoint m_LeafAt{};  // when it last reported as a leaf of this host
  uint64_t m_SentUs = 0; // its clock, of its last datagram
  TimePoint m_HeardAt{}; // when that arrived
  uint64_t m_ConfigVersion = 0;
  uint64_t m_InstancesRevision = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Platform's store (line_sync.cpp)
//-----------------------------------------------------------------------------

struct StoreView {
  bool m_Reachable = false;
  TimePoint m_ReachableSince{};
  uint64_t m_InstancesRevision = 0; // of the list in force
  TimePoint m_InstancesAt{};
  TimePoint m_AnsweredAt{}; // last answer to a list or watch
  TimePoint m_NewerSince{}; // some host has something newer since; zero if none
  std::map<std::string, std::string> m_InstancePayloads; // to pass on to other hosts
  bool m_Registered = false;                             // this host's object is in the store
  bool m_HostsListed = false;                            // so that the hubs are known
  TimePoint m_AskedPeerAt{};
};

//-----------------------------------------------------------------------------
// [SECTION] The host
//-----------------------------------------------------------------------------

struct LineHost {
  LineHost(boost::asio::io_context &Io, EntrySettings Settings)
      : m_Io(Io), m_Settings(std::move(Settings)) {}
  boost::asio::io_context &m_Io;
  EntrySettings m_Settings;
  uint64_t m_Incarnation = 0;
  TimePoint m_StartedAt = bootNow();
  std::shared_ptr<Metrics> m_Metrics = openMetrics();
  Watchdog m_Watchdog;
  Random m_Random;

  std::shared_ptr<const LineConfig> m_Config; // null before the first one
  TimePoint m_ConfigAt{};
  std::map<std::string, TimePoint> m_WithdrawnKeys; // key -> when this host learnt of it
  std::map<std::string, LineGroup> m_Groups;
  std::map<std::string, std::string> m_GroupOf; // instance -> group
  UsageState m_Usage;

  Membership m_Members;
  MembershipSettings m_MembershipSettings;
  HubSettings m_HubSettings;
  HubRoles m_Roles;                            // by m_Members
  std::map<std::string, PeerLink> m_Links;     // by host
  std::map<std::string, PeerGossip> m_Gossips; // by host
  std::shared_ptr<Udp::socket> m_Datagrams;

  std::map<std::string, InstanceDispatch> m_Dispatches; // by instance
  std::map<TransactionKey, PinnedTransaction> m_Transactions;
  std::set<uint64_t> m_OpenLinks; // accepted from other hosts
  uint64_t m_NextNumber = 1;      // of requests, calls, transactions and links

  std::shared_ptr<platform::StoreClient> m_StoreClient;
  StoreView m_Store;
  std::map<std::string, Takeover> m_Takeovers; // by group

  bool m_Draining = false;
  TimePoint m_DrainingSince{};
  bool m_Stopping = false; // sessions are closed as soon as they are idle
  size_t m_Sessions = 0;
  size_t m_OperationsInProgress = 0;
};

LineInstance *findInstance(LineHost &Host, const std::string &Instance);
LineGroup *findGroupOf(LineHost &Host, const std::string &Instance);

// --- line_dispatch.cpp ---

// Runs a statement at an instance that this host dispatches to. Link: where it came from, 0 = here.
Awaitable<line::RunReply> runHere(LineHost &Host, line::RunRequest Request, uint64_t Link);

// Rolls back every transaction that a link opened.
void abandonTransactions(LineHost &Host, uint64_t Link);

// Expires queued requests, closes idle connections and looks for instances gone silent.
void tickDispatches(LineHost &Host, TimePoint Now);

// Closes idle connections to instances that other hosts dispatch to now.
void retireDispatches(LineHost &Host, TimePoint Now);

// Expected wait for a slot.
Duration expectedWait(const InstanceDispatch &Dispatch);

// --- line_peer.cpp ---

// Accepts other hosts' links.
Awaitable<void> acceptPeers(LineHost &Host);

// Runs a statement at the dispatcher of its instance. Dispatcher: empty = to be chosen; returns the
// one used.
Awaitable<line::RunReply> runAtDispatcher(LineHost &Host, line::RunRequest Request,
                                          std::string &Dispatcher);

// The host that dispatches to an instance; empty if none is usable. Skipped: hosts tried already.
std::string findDispatcher(const LineHost &Host, const LineInstance &Target,
                           const std::set<std::string> &Skipped);

// Closes the links to hosts that have gone silent.
void closeSilentLinks(LineHost &Host, TimePoint Now);

// Asks a host for the configuration and the list of instances.
void requestConfig(LineHost &Host, const std::string &Peer);

// --- line_gossip.cpp ---

Awaitable<void> receiveGossip(LineHost &Host);
void sendGossip(LineHost &Host, TimePoint Now);

// --- line_session.cpp ---

Awaitable<void> acceptCallers(LineHost &Host);

// --- line_sync.cpp ---

Awaitable<void> syncConfig(LineHost &Host);
Awaitable<void> syncInstances(LineHost &Host);
Awaitable<void> registerHost(LineHost &Host);
// Takes over what another host has passed on.
void applyPassedOn(LineHost &Host, const line::ConfigReply &Reply);

// --- line_takeover.cpp ---

Awaitable<void> watchPrimaries(LineHost &Host);

// --- line_serve.cpp ---

// Runs an entry host until it is told to stop. Returns the exit status.
int runEntry(const std::string &SettingsFile);

} // namespace quetzalpaddle
