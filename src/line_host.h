// State of an entry host that serves the line protocol. A single control thread owns all of it: a
// host has only a fraction of a core, and a second thread would only add context switches.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Dispatcher of an instance (line_dispatch.cpp)
// [SECTION] Acknowledgements (line_commit.cpp)
// [SECTION] Other hosts (line_peer.cpp, line_gossip.cpp, line_updates.cpp, line_updates_apply.cpp)
// [SECTION] Callers' sessions (line_caller.cpp, line_session.cpp)
// [SECTION] Platform's store (line_sync.cpp)
// [SECTION] Promotions (line_takeover.cpp)
// [SECTION] The host
#pragma once

#include "blind_spot.h"
#include "byte_budget.h"
#include "concurrency.h"
#include "connections.h"
#include "evacuation.h"
#include "hubs.h"
#include "line_answer.h"
#include "line_config.h"
#include "line_transport.h"
#include "log.h"
#include "metrics.h"
#include "statement.h"
#include "stop_phase.h"
#include "takeover.h"
#include "throttle.h"
#include "usage.h"
#include "write_gate.h"

#include "line.pb.h"

#include <array>
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
  std::string m_CallerAddress;              // IP:port that callers connect to
  std::string m_AdminAddress;               // IP:port of readiness, metrics and state dump
  std::string m_PeerAddress;                // IP that other hosts connect to
  uint16_t m_PeerPort = 0;                  // TCP and UDP; the same on all hosts
  std::vector<std::string> m_SeedAddresses; // IP:port of other hosts; only the IPs are used
  std::string m_StoreAddress;               // IP:port of the object store
  std::string m_PromotionAddress;           // IP:port that takes promotion orders
  Millis m_StopTimeout{6000};               // from the stop signal to the exit of the process
  Millis m_LeavingTimeout{7000};            // how long a leaving instance still accepts new work
  double m_RateTolerance = 0;      // fraction by which the fleet may exceed a customer's rate
  double m_RateSlack = 0;          // requests in a window by which it may exceed that
  double m_Cores = 1;              // CPU cores that the host has; may be a fraction
  uint64_t m_MemoryMb = 0;         // memory that the process may use; 0: not stated
  uint64_t m_MaxDescriptors = 0;   // file descriptors that the process may open; 0: not stated
  EvacuationSettings m_Evacuation; // its time limit is 0 if the feature is off
  ColdSettings m_Cold;
};

// Parses settings from JSON with comments. Returns the settings or every error found.
std::variant<EntrySettings, std::vector<std::string>> parseEntrySettings(const std::string &Text);

// Reads a settings file. Returns nothing if it has errors, which are printed to standard error.
std::optional<EntrySettings> readEntrySettings(const std::string &File);

//-----------------------------------------------------------------------------
// [SECTION] Dispatcher of an instance (line_dispatch.cpp)
//-----------------------------------------------------------------------------

struct LineHost;
struct InstanceDispatch;

// A pooled connection to an instance. It serves one customer at a time.
struct LinePoolConnection {
  explicit LinePoolConnection(Tcp::socket Socket) : m_Transport(std::move(Socket)) {}
  LineConnection m_Transport;
  std::shared_ptr<Metrics> m_Metrics; // counts the cause of its end
  std::string m_Customer;
  ConnectionSetupState m_EstablishedState;
  bool m_IsClosed = false;
  bool m_IsDesynchronized = false; // an answer may be taken for another statement's; no reuse
  AnswerHistory m_Answers;
  size_t m_AnswerBytes = 0;    // of rows that the answers to the request in progress hold
  bool m_IsOverBudget = false; // an answer was larger than the host can hold
  // What limits the statements to a cold instance; null: nothing does.
  LineHost *m_Host = nullptr;
  InstanceDispatch *m_Dispatch = nullptr;
  std::string m_Instance;
  TimePoint m_ColdWaitUntil{}; // until when the statement in progress may wait for that limit
  bool m_IsHeldBack = false;   // the limit has kept back a part of the request
  TimePoint m_LastUsedAt{};
  TimePoint m_TakenAt{};  // by the statement or transaction that holds it
  TimePoint m_SentAt{};   // when the statement in progress was sent; zero if none
  bool m_IsWrite = false; // the statement in progress is a write or a commit
};

// A queued request that waits for one of the instance's slots.
struct SlotWaiter {
  explicit SlotWaiter(boost::asio::io_context &Io) : m_Wakeup(Io) {}
  Wakeup m_Wakeup;
  Reason m_RefusalReason = Reason::None;
};

// Identifies a transaction: the link that it came in on (0 = opened by this host) and the number
// that the opening host gave it.
using TransactionKey = std::pair<uint64_t, uint64_t>;

// An open transaction and the connection that is reserved for it.
struct PinnedTransaction {
  std::shared_ptr<LinePoolConnection> m_Connection;
  std::string m_Instance;
  std::string m_Customer;
  bool m_IsStatementRunning = false;
  bool m_IsAbandoned = false; // roll back once the running statement has ended
  TimePoint m_LastUsedAt{};   // end of the last statement
};

// What this host needs to dispatch statements to one instance.
struct InstanceDispatch {
  FairQueue m_Queue;        // its slot count is the concurrency limit
  uint32_t m_SlotCount = 1; // of the instance, as listed
  ConcurrencyTracker m_Concurrency;
  size_t m_ActiveTransactionCount = 0; // with a statement that runs or waits
  bool m_IsLimited = false;            // the limit is half of the slots or less
  TimePoint m_QueueCheckedAt{};        // last search for requests that were overtaken
  std::map<uint64_t, std::shared_ptr<SlotWaiter>> m_Waiters;        // by request id
  std::list<std::shared_ptr<LinePoolConnection>> m_IdleConnections; // most recently used first
  std::set<std::shared_ptr<LinePoolConnection>> m_BusyConnections;  // with a statement in progress
  uint32_t m_ConnectionCount = 0;                                   // idle and busy
  std::map<std::string, CustomerConnections> m_CustomerConnections; // by customer
  ConnectionDemand m_Demand;
  ConnectionBudget m_Budget;
  Duration m_ServiceTime{}; // moving average of the time that a statement holds a slot
  TimePoint m_LastAnswerAt{};
  WriteGate m_WriteGate;
  ColdWindow m_ColdWindow;
  TimePoint m_LastFailureAt{}; // last failed connection or probe
  TimePoint m_RetryAt{};       // no new connection is opened before this time
  Duration m_Backoff{};
  bool m_IsUnreachable = false;
  bool m_IsProbing = false;
  std::string m_Address; // a change closes the idle connections
  uint64_t m_InstanceIncarnation = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Acknowledgements (line_commit.cpp)
//-----------------------------------------------------------------------------

// What this host has asked a replica about its log.
struct ReplicaCheck {
  Position m_Received; // as of the last answer
  TimePoint m_AskedAt{};
  bool m_IsAsked = false; // no answer yet
};

//-----------------------------------------------------------------------------
// [SECTION] Other hosts (line_peer.cpp, line_gossip.cpp, line_updates.cpp, line_updates_apply.cpp)
//-----------------------------------------------------------------------------

// A call to another host that waits for its reply.
struct PendingCall {
  explicit PendingCall(boost::asio::io_context &Io) : m_Wakeup(Io) {}
  Wakeup m_Wakeup;
  line::RunReply m_Reply;
};

// An outgoing link to another host, opened on first use.
struct PeerLink {
  std::string m_Address;
  std::shared_ptr<FrameConnection> m_FrameConnection; // null while closed
  bool m_IsConnecting = false;
  TimePoint m_ProbedAt{}; // last message that was sent only to get an answer
  std::vector<std::shared_ptr<Wakeup>> m_LinkWaiters;
  std::map<uint64_t, std::shared_ptr<PendingCall>> m_PendingCalls;
};

// Gossip state of another host, in addition to its HostView.
struct PeerGossipState {
  TimePoint m_LastStoreAnswerAt{};       // when the store last answered that host
  bool m_IsWithoutStore = false;         // its calls to the store fail
  bool m_HasIncompleteInstances = false; // may not know every instance that runs, and promotes none
  TimePoint m_LastHubReportAt{};         // when it last reported to this host as a hub
  bool m_ReadsCompactUsage = false;      // understands CompactUsage
  TimePoint m_LastLeafReportAt{};        // when it last reported to this host as its leaf
  uint64_t m_LastDatagramSentUs = 0;     // sending time of its last datagram, on its own clock
  TimePoint m_LastSeenAt{};              // arrival of that datagram, on this host's clock
  uint64_t m_ConfigVersion = 0;
  uint64_t m_InstancesRevision = 0;
};

// State of a group as last sent in an update.
struct SentGroup {
  std::string m_Primary;
  uint64_t m_Generation = 0;
  uint64_t m_PendingGeneration = 0;
  uint64_t m_SettledGeneration = 0;
  std::set<std::string> m_Successors;
  bool m_WritesStalled = false;
  TimePoint m_ChangedAt{}; // when an update first contained this state
};

// State of an instance as last sent in an update.
struct SentInstance {
  Duration m_Wait{};
  bool m_IsUnreachable = false;
  TimePoint m_ChangedAt{}; // last change that was worth an update
};

// What this host has told the others, from which it knows what has changed since.
struct SentUpdates {
  TimePoint m_LastFullAt{};
  size_t m_FullCount = 0;
  std::map<std::string, SentGroup> m_Groups;               // by group
  std::map<std::string, SentInstance> m_InstancesToHubs;   // by instance
  std::map<std::string, SentInstance> m_InstancesToLeaves; // by instance
  std::map<std::string, double> m_AdmittedCounts;   // by customer, of this host and its leaves
  std::map<std::string, double> m_FleetCounts;      // by customer, of the fleet
  std::map<std::string, TimePoint> m_HostsLearntAt; // hosts that became known lately
  std::string m_LastHomeHub;                        // of this host as a leaf
  std::string m_FormerHomeHub;                      // the one before, which is told of the change
  TimePoint m_HomeHubChangedAt{};
};

// An update to another host, serialized.
struct OutgoingUpdate {
  std::string m_Host;
  std::string m_Bytes;
};

enum class SentKind { Update, Statement, Reply, Data }; // Data: configuration and instances

// Bytes sent to other hosts, without the headers of the network.
struct SentBytes {
  uint64_t m_ToOwnDataCentre = 0;
  uint64_t m_ToOtherDataCentres = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Platform's store (line_sync.cpp)
//-----------------------------------------------------------------------------

// What this host has received from the object store.
struct StoreSyncState {
  bool m_IsReachable = false;
  TimePoint m_ReachableSince{};
  uint64_t m_InstancesRevision = 0; // of the list in use
  TimePoint m_InstancesUpdatedAt{};
  TimePoint m_InstancesCurrentAt{}; // when that list was last known to be the newest
  std::string m_InstancesCurrentBy; // host whose update showed that; may be this one
  // When entries that had expired before this process's first list are back in the list if their
  // instances run; zero before the first list.
  TimePoint m_InstancesCompleteAt{};
  TimePoint m_LastAnswerAt{}; // last answer to a list or a watch
  TimePoint m_BehindSince{};  // since when another host has had newer data; zero if none has
  std::map<std::string, std::string> m_InstancePayloads; // to forward to other hosts
  bool m_IsRegistered = false;                           // this host's own object is in the store
  bool m_HasHostList = false; // the list of hosts, from which the hubs are chosen, was read
  TimePoint m_LastPeerRequestAt{};
};

//-----------------------------------------------------------------------------
// [SECTION] The host
//-----------------------------------------------------------------------------

// The byte budget and what ends the counted connections. Shared with these, because suspended tasks
// may outlive the host.
struct HostBytes {
  ByteBudget m_Budget;
  std::map<uint64_t, std::function<void()>> m_Closers; // by account
  size_t m_TotalBeforeTrim = 0; // highest total since freed memory was last returned
};

struct LineHost {
  LineHost(boost::asio::io_context &Io, EntrySettings Settings)
      : m_Io(Io), m_Settings(std::move(Settings)) {}
  boost::asio::io_context &m_Io;
  EntrySettings m_Settings;
  uint64_t m_Incarnation = 0;
  TimePoint m_StartedAt = bootNow();
  std::shared_ptr<Metrics> m_Metrics = openMetrics();
  DeadlineQueue m_DeadlineQueue;
  Random m_Random;

  std::shared_ptr<const LineConfig> m_Config; // null until the first one arrives
  TimePoint m_ConfigAppliedAt{};
  // The store or another host has shown no newer configuration since the start. The first one may
  // come from an old list, with keys that have been withdrawn since.
  bool m_IsConfigConfirmed = false;
  // When this host saw that a key is no longer a customer's: by key and that customer.
  std::map<std::pair<std::string, std::string>, TimePoint> m_WithdrawnKeys;
  std::map<std::string, LineGroup> m_Groups;
  std::map<std::string, std::string> m_GroupByInstance; // instance -> group
  UsageState m_Usage;
  ThrottleState m_Throttle;
  EvacuationList m_Evacuations;

  Membership m_Members;
  MembershipSettings m_MembershipSettings;
  HubSettings m_HubSettings;
  HubRoles m_Roles;                                      // computed from m_Members
  std::map<std::string, PeerLink> m_Links;               // by host
  std::map<std::string, PeerGossipState> m_GossipStates; // by host
  std::shared_ptr<Udp::socket> m_GossipSocket;
  SentUpdates m_SentUpdates;
  std::array<SentBytes, 4> m_SentBytes; // by SentKind

  std::map<std::string, InstanceDispatch> m_Dispatches; // by instance
  std::map<std::string, ReplicaCheck> m_ReplicaChecks;  // by instance
  std::map<TransactionKey, PinnedTransaction> m_Transactions;
  std::map<uint64_t, std::shared_ptr<FrameConnection>> m_InboundLinks; // from other hosts, by id
  size_t m_ForwardedStatementCount = 0;                                // that other hosts wait for
  uint64_t m_NextId = 1; // for requests, calls, transactions and links

  std::shared_ptr<platform::StoreClient> m_StoreClient;
  StoreSyncState m_Store;
  std::map<std::string, Takeover> m_Takeovers; // by group
  // Whether this process has learnt which orders to promote were open at its start, from the store
  // or from another host. It hears of later ones.
  bool m_AreOrdersKnown = false;
  StoreOutage m_StoreOutage;
  std::map<std::string, BlindSpot> m_BlindSpots; // by data centre

  std::shared_ptr<HostBytes> m_Bytes = std::make_shared<HostBytes>();
  ByteBudget &m_ByteBudget = m_Bytes->m_Budget;

  bool m_IsDraining = false;
  StopPlan m_Stop;
  size_t m_SessionCount = 0;
  size_t m_RunningStatementCount = 0;
};

LineInstance *findInstance(LineHost &Host, const std::string &Instance);
LineGroup *findGroupOf(LineHost &Host, const std::string &Instance);

// Counts one more until the end of its scope, also if an error ends it.
struct CountGuard {
  explicit CountGuard(size_t &Count) : m_Count(Count) { ++m_Count; }
  ~CountGuard() { --m_Count; }
  CountGuard(const CountGuard &) = delete;
  CountGuard &operator=(const CountGuard &) = delete;
  size_t &m_Count;
};

// --- line_dispatch.cpp ---

// Runs a statement at an instance that this host dispatches to. LinkId: the link that the request
// came in on; 0 = this host.
Awaitable<line::RunReply> runAtInstance(LineHost &Host, line::RunRequest Request, uint64_t LinkId);

// Rolls back every transaction that was opened over a link.
void abandonTransactions(LineHost &Host, uint64_t LinkId);

// Expires queued requests, ends orphaned transactions, closes surplus idle connections (all idle
// ones while draining), detects stalled writes and probes instances that have stopped answering.
void tickDispatches(LineHost &Host, TimePoint Now);

// Rolls back every open transaction at the instances that this host dispatches to; those with a
// statement in progress after it.
void endAllTransactions(LineHost &Host);

// Gives up what is queued or in progress at the instances that this host dispatches to, so that it
// gets its final answer.
void giveUpStatements(LineHost &Host);

// Closes idle connections to instances that other hosts now dispatch to.
void retireDispatches(LineHost &Host, TimePoint Now);

// Estimates the wait for a slot.
Duration expectedWait(const InstanceDispatch &Dispatch);

// Refuses what is queued at an instance and rolls back its open transactions, those with a
// statement in progress after it. IsClosed: also closes all connections to it at once.
void evacuateDispatch(LineHost &Host, const std::string &Instance, bool IsClosed);

// --- line_evacuation.cpp ---

// Waits until Count statements may be sent together to an instance that is cold, and counts them.
// Returns false, and notes that on the connection, if that takes too long or the data centre is
// evacuated meanwhile. IsFirst: nothing but setup was sent for the request before.
Awaitable<bool> awaitColdRoom(std::shared_ptr<LinePoolConnection> Connection, uint32_t Count,
                              bool IsFirst);

bool isEvacuationEnabled(const LineHost &Host);
// Returns whether callers may be served: the list of evacuated data centres is known, or nothing
// has shown one for so long that neither the store nor another host can be reached.
bool knowsEvacuations(const LineHost &Host, TimePoint Now);
// Returns what an instance may get now.
EvacuationStage evacuationStage(LineHost &Host, const std::string &Instance, TimePoint Now);
// Records the stages of all instances and carries out what they call for. Also limits the
// statements to cold instances.
void tickEvacuations(LineHost &Host, TimePoint Now);
// Limits the statements that this host sends to an instance while it is cold.
void refreshColdLimit(LineHost &Host, const LineInstance &Instance, TimePoint Now);
// Adds the list of evacuated data centres to an update.
void addEvacuations(const LineHost &Host, line::Gossip &Message, TimePoint Now);
// Merges the list in an update.
void mergeEvacuationsOf(LineHost &Host, const line::Gossip &Message, TimePoint Now);
// Records how long an instance stays cold, by a revision of its entry.
void noteColdEntry(LineInstance &Instance, Millis ColdTime, uint64_t Revision, TimePoint Now);

// --- line_commit.cpp ---

// Turns the acknowledgement of a commit that may not be passed on into a lost answer. IsWrite: the
// statement writes or commits.
void withholdAcknowledgement(LineHost &Host, const std::string &Instance, bool IsWrite,
                             line::RunReply &Reply);

// The same, after it has waited until a replica that no promotion leaves out holds the commit, if
// the acknowledgement alone does not suffice. For the dispatcher of the instance.
Awaitable<void> checkAcknowledgement(LineHost &Host, std::string Instance, bool IsWrite,
                                     line::RunReply &Reply);

// --- line_peer.cpp ---

// Accepts links from other hosts.
Awaitable<void> acceptPeers(LineHost &Host, Tcp::acceptor &Acceptor);

// Runs a statement through the host that dispatches to its instance. If Dispatcher is empty,
// chooses that host and stores it there.
Awaitable<line::RunReply> runAtDispatcher(LineHost &Host, line::RunRequest Request,
                                          std::string &Dispatcher);

// Returns the host that dispatches to an instance, or an empty string if none is usable.
// SkippedHosts: hosts that were tried already.
std::string findDispatcher(const LineHost &Host, const LineInstance &Target,
                           const std::set<std::string> &SkippedHosts, TimePoint Now);

// Closes the links to hosts from which no message has arrived lately, in answer to a probe neither.
void closeSilentLinks(LineHost &Host, TimePoint Now);

// Gives up the calls to other hosts that wait for a reply.
void giveUpCalls(LineHost &Host);

// Asks a host for its configuration and its list of instances if they are newer.
void requestConfig(LineHost &Host, const std::string &Peer);

// --- line_gossip.cpp ---

Awaitable<void> receiveGossip(LineHost &Host);
// Sends the updates that are due.
void sendGossip(LineHost &Host, TimePoint Now);

// Counts bytes that are sent to another host.
void countSentBytes(LineHost &Host, SentKind Kind, const std::string &Receiver, size_t Size);

// --- line_updates.cpp ---

// Chooses the hubs and the role of this host anew.
void refreshHubs(LineHost &Host, TimePoint Now);

// Returns the updates to all hosts that this one reports to, as a hub also to its leaves.
std::vector<OutgoingUpdate> buildUpdates(LineHost &Host, TimePoint Now);
// Returns an update that introduces this host to one that may not know it.
std::string buildUpdateToSeeds(LineHost &Host, TimePoint Now);

// --- line_updates_apply.cpp ---

// Applies an update of another host. Returns that host if it should be asked for its configuration
// and list of instances, otherwise an empty string.
std::string applyUpdate(LineHost &Host, std::string_view Bytes, TimePoint Now);

// --- line_caller.cpp ---

Awaitable<void> acceptCallers(LineHost &Host, Tcp::acceptor &Acceptor);

// --- line_sync.cpp ---

Awaitable<void> syncConfig(LineHost &Host);
Awaitable<void> syncInstances(LineHost &Host);
Awaitable<void> syncEvacuations(LineHost &Host);
Awaitable<void> registerHost(LineHost &Host);
// Returns the duration of the next watch of the store. All watchers hear of a change at once; after
// an answer that did not wait the durations differ, so that their next answers are spread, and one
// of them confirms the lists of all hosts every second or so.
Millis chooseWatchTimeout(bool HasWaited, Random &Source);
// Returns whether this host knows every instance that runs. After an outage of the store, and after
// a cut from it, the list may lack some; a process that has just started cannot tell.
bool hasCompleteInstances(const LineHost &Host, TimePoint Now);
// Reads the newest list of instances from the store and applies what is new in it. Returns whether
// this host then knows every instance that runs.
Awaitable<bool> refreshInstances(LineHost &Host);
// Returns when the store last answered this host, or another one as far as this host has heard. A
// leaf hears of the watchers through its home hub, which may be none.
TimePoint newestStoreAnswer(const LineHost &Host);
// Returns whether this host watches the store. Two hubs of each data centre do; while no host that
// this one hears of has had an answer lately, the other hubs and a few leaves try as well.
bool shouldWatchStore(const LineHost &Host, TimePoint Now);

// Returns whether callers may be served with the configuration: it is confirmed, or nothing has
// confirmed it for so long that neither the store nor another host can be reached.
bool canUseConfig(const LineHost &Host, TimePoint Now);

// Applies a configuration and a list of instances that another host has forwarded.
void applyForwardedConfig(LineHost &Host, const line::ConfigReply &Reply);

// --- line_takeover.cpp ---

Awaitable<void> watchPrimaries(LineHost &Host);

// --- line_duty.cpp ---

// Learns after the start which orders to promote are open, from the store unless another host tells
// before.
Awaitable<void> learnOrders(LineHost &Host);

// --- line_serve.cpp ---

// Spawns a task. If an unexpected error ends it, the error is logged and counted, and OnFailure is
// called, if there is one: one malformed message must not end the process, which serves others.
void spawnTask(LineHost &Host, std::string_view Name, Awaitable<void> Task,
               std::function<void()> OnFailure = {});

// Returns the phase of the planned stop that the host is in.
StopPhase currentStopPhase(const LineHost &Host);

// Ends what a phase of a stop does not leave in progress. Called repeatedly: a statement may be
// sent just as the phase begins.
void carryOutStop(LineHost &Host, StopPhase Phase);

// Runs an entry host until a stop signal. Returns the exit status.
int runEntry(const std::string &SettingsFile);

} // namespace quetzalpaddle
