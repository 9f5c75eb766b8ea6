// quetzalpaddle: a database proxy with session consistency. This header is the manual of its
// decisions: plain structs and free functions, without sockets, threads, clocks or random devices.
// Time and random numbers are arguments, so that a run can be repeated from its seed.
//
// Index of this file:
// Basic types, answers and session tokens are in answer.h.
// [SECTION] Configuration and keys
// [SECTION] Rate and burst
// [SECTION] Fair queue
// [SECTION] Connection pool
// [SECTION] Retry and back-off
// [SECTION] Group views and routing
// [SECTION] Membership and dispatchers
// [SECTION] Failure detection and promotion
#pragma once

#include "answer.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace quetzalpaddle {

//-----------------------------------------------------------------------------
// [SECTION] Configuration and keys (config.cpp)
//-----------------------------------------------------------------------------

struct Customer {
  std::string m_Id;
  double m_Rate = 0;  // requests per second over the whole fleet
  double m_Burst = 0; // requests
};

struct Key {
  std::string m_Id;
  std::string m_Customer;
  std::string m_Hash;         // HMAC-SHA256 of the key, 32 bytes
  bool m_IsWithdrawn = false; // stays as an object, so that the reason can be told
};

struct Route {
  std::string m_Name;
  std::string m_Group;
  std::set<std::string> m_AllowedCustomers; // who may use it with a key
  bool m_IsPublic = false;                  // reads need no key
  bool m_IsReadOnly = false;
};

struct Instance {
  std::string m_Id;
  std::string m_Address; // IP:port
  std::string m_DataCentre;
  uint32_t m_SlotCount = 1;       // statements at a time
  uint32_t m_ConnectionLimit = 1; // connections that the instance accepts
  bool m_IsLeaving = false;       // gets no new work
};

struct Group {
  std::string m_Name;
  std::vector<Instance> m_Instances;
};

// An object that did not parse; the last good version stays in force.
struct ParseFailure {
  std::string m_Message;
};

// An object that spreads with the configuration but is decoded where it is used: rate/CUSTOMER.
struct OpaqueObject {};

using ConfigValue = std::variant<std::monostate /* deleted */, Customer, Key, Route, Group,
                                 ParseFailure, OpaqueObject>;

// One change of one object, from the platform's watch or from another host.
struct ConfigChange {
  std::string m_Name;      // such as "config/customer/acme"
  uint64_t m_Revision = 0; // store-wide
  ConfigValue m_Value;
  std::string m_Payload; // the object's bytes, kept to pass on to other hosts
};

struct ConfigRecord {
  uint64_t m_Revision = 0;
  bool m_IsDeleted = false; // tombstone: keeps an older version from coming back
  std::string m_Payload;
  std::string m_ParseError;      // of a newer version that was not taken into force
  uint64_t m_ActiveRevision = 0; // of the version (or deletion) in force; 0 = none
  std::string m_ActivePayload;   // of the version in force, if it is not the newest
};

struct ConfigState {
  uint64_t m_Revision = 0;      // all changes up to here are applied
  uint64_t m_CompleteSince = 0; // every deletion after this revision has a tombstone here
  std::map<std::string, ConfigRecord> m_Records;
  std::map<std::string, Customer> m_Customers;
  std::map<std::string, Key> m_Keys;
  std::map<std::string, Route> m_Routes;
  std::map<std::string, Group> m_Groups;
};

// What else has to change after a configuration change.
struct KeyInvalidated {
  std::string m_KeyId;
};
struct CustomerChanged {
  std::string m_Customer;
};
struct GroupChanged {
  std::string m_Group;
};
struct SlotsChanged { // rate/CUSTOMER
  std::string m_Customer;
};
using ConfigEffect = std::variant<KeyInvalidated, CustomerChanged, GroupChanged, SlotsChanged>;

// Applies a change if it is newer than what is known of its object; otherwise does nothing.
std::vector<ConfigEffect> applyChange(ConfigState &State, const ConfigChange &Change);

// Applies a list of all objects as they were at Revision. Known objects that are missing from it
// have been deleted.
std::vector<ConfigEffect>
applySnapshot(ConfigState &State, const std::vector<ConfigChange> &Objects, uint64_t Revision);

// Records that every change up to Revision has been delivered.
void advanceRevision(ConfigState &State, uint64_t Revision);

// Returns the names of all objects changed after Since, oldest first.
std::vector<std::string> listChanges(const ConfigState &State, uint64_t Since);

// The caller of a request, after its key was checked.
struct Caller {
  std::string m_Customer; // empty on a route open to all
  std::string m_KeyId;
};

// Makes a key "qp_ID_SECRET" from 32 random bytes; only its hash is stored.
std::string makeKey(std::string_view KeyId, const std::array<uint8_t, 32> &RandomBytes);

// Returns HMAC-SHA256(Pepper, KeyText).
std::string hashKey(std::string_view KeyText, std::string_view Pepper);

// Decides who the caller is and whether it may use the route. KeyText is empty if none came.
std::variant<Caller, Reason> authorizeCaller(const ConfigState &State, const std::string &RouteName,
                                             std::string_view KeyText, bool Write,
                                             std::string_view Pepper);

// Checks again, before a queued request runs, that its key has not been withdrawn. A key that this
// host has not heard of yet counts as in force: the entry host has checked it.
bool isKeyValid(const ConfigState &State, const std::string &KeyId);

//-----------------------------------------------------------------------------
// [SECTION] Rate and burst (rate.cpp)
//-----------------------------------------------------------------------------

struct RateSettings {
  Millis m_TransferValidity{100}; // a transferred token is used within this time or discarded
  Millis m_AdmissionTimeout{20};  // how long a request waits for tokens
  std::chrono::seconds m_LeaseDuration{720};
  std::chrono::seconds m_LeaseRenewalInterval{60};
  double m_DriftMargin = 0.05; // added to the lease by a host that waits it out
  uint32_t m_SlotsPerDataCentre = 2;
};

// Tokens transferred to other hosts that may not have been used yet.
struct TransferredTokens {
  double m_Tokens = 0;
  TimePoint m_FirstDeductedAt{}; // when the first of them were deducted
  TimePoint m_ExpiresAt{};       // from then on none of them can be used
};

// The part of a customer's rate that one host may hand out. The level and the tokens that may still
// be used elsewhere are together at most the burst.
struct Bucket {
  double m_Rate = 0;  // tokens per second
  double m_Burst = 0; // most tokens held
  double m_Level = 0;
  TimePoint m_FilledAt{};
  Duration m_TokenValidity{}; // of tokens transferred for this customer
  Duration
      m_TransferHoldTime{}; // transferred tokens count against the burst; at least the validity
  std::vector<TransferredTokens> m_Transfers; // oldest first
};

// Tokens taken over from another host.
struct TokenBatch {
  double m_Tokens = 0;
  TimePoint m_RequestedAt{}; // validity counts from before the request was sent
};

struct SlotHolder {
  std::string m_Host;
  std::string m_DataCentre;
  double m_LastLevel = 0;
  TimePoint m_LastLevelAt{};
  TimePoint m_RequestedAt{};       // of the request in flight; zero if none
  double m_RequestedTokens = 0;    // by the request in flight
  uint32_t m_SlotCount = 1;        // held by this host
  uint32_t m_EmptyAnswerCount = 0; // answers without tokens in a row
  TimePoint m_TimedOutAt{};        // when it failed to answer in time; zero if it answers
};

struct WaitingRequest {
  uint64_t m_Id = 0;
  TimePoint m_EnqueuedAt{};
};

struct CustomerRate {
  Bucket m_SlotParameters;         // parameters of one slot
  std::vector<Bucket> m_HeldSlots; // slots held by this host
  std::vector<TokenBatch> m_Batches;
  std::vector<SlotHolder> m_Holders; // other hosts that hold slots
  std::deque<WaitingRequest> m_Waiting;
  double m_DemandPerSecond = 0; // smoothed
  TimePoint m_DemandUpdatedAt{};
};

struct RateState {
  std::string m_Host;
  std::string m_DataCentre;
  bool m_IsLeaseValid = false; // whether this host's slots may hand out tokens
  TimePoint m_LeaseExpiresAt{};
  std::map<std::string, CustomerRate> m_Customers;
};

// Parameters of one slot of a customer: rate and burst of n slots. The validity of transferred
// tokens is shortened for a customer whose burst is small for its rate.
Bucket splitRate(const Customer &Owner, uint32_t Slots, const RateSettings &Settings);

// Sets the slots that this host holds of a customer; kept ones keep their level. New slots start
// empty and fill after the validity, since their last holder may just have transferred their burst.
// Holders are the other hosts that hold some.
void setSlots(RateState &State, const std::string &Customer, const Bucket &SlotParameters,
              uint32_t HeldCount, const std::vector<SlotHolder> &OtherHolders, TimePoint Now);

struct TokenRequest {
  std::string m_Host;
  std::string m_Customer;
  double m_RequestedTokens = 0;
  TimePoint m_RequestedAt{}; // to be passed to addTokens()
};
enum class Admission { Admitted, Waiting, Refused };
struct AdmitResult {
  Admission m_Admission = Admission::Refused;
  std::vector<TokenRequest> m_TokenRequests; // to be sent to other hosts
};

// Decides on one request. If Waiting, the result comes from addTokens() or expireWaiting().
AdmitResult admitRequest(RateState &State, const std::string &Customer, uint64_t RequestId,
                         TimePoint Now, const RateSettings &Settings);

// Handles another host's request for tokens. Returns what was taken from this host's slots.
double grantTokens(RateState &State, const std::string &Customer, double RequestedTokens,
                   TimePoint Now, const RateSettings &Settings);

struct AddTokensResult {
  std::vector<uint64_t> m_Admitted;          // ids of waiting requests
  std::vector<TokenRequest> m_TokenRequests; // the next holders to ask
};

// Handles the answer of a holder; Granted is 0 if it did not answer. An answer that comes twice, or
// after the holder was asked again, is ignored: its tokens are lost.
AddTokensResult addTokens(RateState &State, const std::string &Customer,
                          const std::string &HolderId, double GrantedTokens, double HolderLevel,
                          TimePoint RequestedAt, TimePoint Now, const RateSettings &Settings);

// Returns the waiting requests that have waited too long; they are refused.
std::vector<uint64_t> expireWaiting(RateState &State, TimePoint Now, const RateSettings &Settings);

// --- Slots and leases, kept in the platform's store ---

struct SlotAssignment {
  std::string m_DataCentre;
  uint32_t m_Number = 0;
  std::string m_Holder;       // empty if nobody holds it
  uint64_t m_Incarnation = 0; // of the holder
  uint32_t m_RateDivisor = 0; // number of slots by which the holder divides the rate
};

// What this host has seen of another host's lease object.
struct LeaseObservation {
  uint64_t m_Version = 0; // of the lease object
  uint64_t m_Incarnation = 0;
  bool m_IsExpired = false;     // marked expired in the store
  TimePoint m_UnchangedSince{}; // on this host's clock
};

// Returns whether a lease seen unchanged since then has surely ended.
bool hasLeaseExpired(const LeaseObservation &Observation, TimePoint Now,
                     const RateSettings &Settings);

struct SlotPlan {
  std::vector<SlotAssignment> m_Slots;       // the new content of rate/CUSTOMER
  bool m_HasChanged = false;                 // whether to write it
  std::vector<std::string> m_LeasesToExpire; // hosts whose lease object is to be marked first
};

// Plans which free or ended slots this host takes and which it gives back. Preferred: the hosts of
// each data centre in rendezvous order for this customer. The bound on the rate rests on what the
// caller does with the plan:
// - The plan is written by a conditional update on the version of Current, while this host's lease
//   is valid. Leases to expire are marked first, also by a conditional update.
// - Before the write, setSlots() is called with splitRate(C, m_Slots.size()) and without the slots
//   that the plan gives back. Only after the write has succeeded, or when a later read shows it, is
//   it called with the slots that the plan takes.
// - This host holds the slots with its name and its incarnation. From a write on, it applies no
//   read of the version that it wrote upon or of an older one, since the write may still arrive.
SlotPlan planSlots(const std::vector<SlotAssignment> &Current,
                   const std::map<std::string, std::vector<std::string>> &PreferredByDataCentre,
                   const std::string &Self, uint64_t SelfIncarnation, bool Draining,
                   const std::map<std::string, LeaseObservation> &Leases, TimePoint Now,
                   const RateSettings &Settings);

//-----------------------------------------------------------------------------
// [SECTION] Fair queue (queue.cpp)
//-----------------------------------------------------------------------------

struct QueueSettings {
  uint32_t m_MaxPerCustomer = 64;
  uint32_t m_MaxTotal = 512;
  Millis m_MaxWait{1500};
};

struct QueuedRequest {
  uint64_t m_Id = 0;
  std::string m_Customer;
  std::string m_KeyId;
  TimePoint m_Deadline{};
  TimePoint m_QueuedAt{};
  bool m_IsPinned = false;       // statement of an open transaction: has its connection already
  TimePoint m_LatencyTargetAt{}; // an answer after this is worth less; zero: never
  TimePoint m_ExpiresAt{}; // set by enqueueRequest(): deadline or longest wait, whichever is first
};

// One customer at one instance. Virtual time is slot time used.
struct CustomerQueue {
  std::deque<QueuedRequest> m_Requests;
  Duration m_VirtualTime{};
  Duration m_EstimatedDuration{}; // smoothed duration of a statement, charged in advance
  Duration m_AdvanceCharge{};     // charged in advance for the running ones
  uint32_t m_RunningCount = 0;
  uint64_t m_TieBreak = 0; // place among customers of equal virtual time
};

struct FairQueue {
  uint32_t m_SlotCount = 1;
  uint32_t m_RunningCount = 0;
  uint32_t m_QueuedCount = 0;
  Duration m_VirtualTime{};    // of the last request started
  Duration m_MaxVirtualTime{}; // highest virtual time of any customer
  uint64_t m_NextTieBreak = 0;
  std::map<std::string, CustomerQueue> m_Customers;
  std::map<std::pair<Duration, uint64_t>, std::string>
      m_CustomersByVirtualTime; // by virtual time and turn
  std::map<std::pair<TimePoint, uint64_t>, std::string>
      m_CustomersByExpiry; // by m_Expiry and request id
};

// Returns Reason::None if the request was queued. If the queue is full, ShedId names a request of
// the customer with the longest queue that gives way.
Reason enqueueRequest(FairQueue &Queue, const QueuedRequest &Request,
                      std::optional<uint64_t> &ShedId, const QueueSettings &Settings);

// Takes the next request that may run now; nothing if all slots are busy or the queue is empty. Of
// a customer's requests, those that can still meet their goals come first.
// PinnedOnly: only statements of open transactions, because no connection is free.
std::optional<QueuedRequest> startNextRequest(FairQueue &Queue, TimePoint Now,
                                              bool PinnedOnly = false);

// Counts a statement that starts without waiting: the end of a transaction, which frees what it
// holds. It uses a slot, even above the limit, and is charged like any other.
void startUnqueued(FairQueue &Queue, const std::string &Customer);

// Ends a running request of a customer and charges the slot time that it used.
void finishRequest(FairQueue &Queue, const std::string &Customer, Duration Used);

// Removes and returns requests past their deadline or longest wait.
std::vector<QueuedRequest> expireQueuedRequests(FairQueue &Queue, TimePoint Now,
                                                const QueueSettings &Settings);

// Remove and return the queued requests that match, or those of a withdrawn key.
std::vector<QueuedRequest>
removeMatching(FairQueue &Queue, const std::function<bool(const QueuedRequest &)> &Matches);
std::vector<QueuedRequest> removeRequestsOfKey(FairQueue &Queue, const std::string &KeyId);

//-----------------------------------------------------------------------------
// [SECTION] Connection pool (pool.cpp)
//-----------------------------------------------------------------------------

struct PoolSettings {
  double m_ConnectionShare = 0.45;   // of the instance's connections, so that two dispatchers fit
  uint32_t m_MaxConcurrentOpens = 4; // connections being set up at a time
  Millis m_TransactionIdleTimeout{5000};
  Millis m_MaxTransactionAge{30000};
  Millis m_OpenTimeout{1000};
  Millis m_ConnectionIdleTimeout{
      60000}; // closed after this time, so that a former dispatcher gives way
};

enum class ConnectionState { Opening, Idle, Busy, Pinned, PinnedBusy };

struct PooledConnection {
  ConnectionState m_State = ConnectionState::Opening;
  std::string m_Customer; // of the transaction that pins it
  std::string m_KeyId;
  std::string m_Transaction;
  TimePoint m_StateSince{}; // of the state
  TimePoint m_PinnedSince{};
};

struct Pool {
  uint32_t m_MaxSize = 1; // most connections, from the instance's limit
  std::map<uint64_t, PooledConnection> m_Connections;
  std::unordered_map<std::string, uint64_t> m_ConnectionsByTransaction;
  uint64_t m_NextId = 1;
  uint32_t m_FailedOpenCount = 0; // in a row
  TimePoint m_NextOpenAt{};       // back-off after a refused connection
};

// Returns an idle connection and marks it busy, or nothing.
std::optional<uint64_t> takeConnection(Pool &TargetPool, TimePoint Now);

// Returns the ids of connections to open now, given how many requests wait for one.
std::vector<uint64_t> planOpens(Pool &TargetPool, uint32_t Waiting, TimePoint Now,
                                const PoolSettings &Settings);

void recordOpenSuccess(Pool &TargetPool, uint64_t Id, TimePoint Now);
void recordOpenFailure(Pool &TargetPool, uint64_t Id, TimePoint Now, Random &Rng);

// Ends use of a connection. Clean: no transaction is open on it and every answer has arrived;
// otherwise it is removed and must be closed. Returns whether it was kept.
bool releaseConnection(Pool &TargetPool, uint64_t Id, bool Clean, TimePoint Now);

// Binds a busy connection to a transaction; refused at the limits of open transactions.
Reason pinConnection(Pool &TargetPool, uint64_t Id, const std::string &Transaction,
                     const std::string &Customer, const std::string &KeyId, TimePoint Now);

// Finds the connection of a transaction for its next statement and marks it busy.
std::variant<uint64_t, Reason> usePinnedConnection(Pool &TargetPool, const std::string &Transaction,
                                                   const std::string &Customer, TimePoint Now);
void finishPinnedStatement(Pool &TargetPool, uint64_t Id, TimePoint Now);

// Returns transactions idle or open for too long, and idle connections beyond the budget; all are
// removed and must be closed.
std::vector<uint64_t> expireConnections(Pool &TargetPool, TimePoint Now,
                                        const PoolSettings &Settings);

//-----------------------------------------------------------------------------
// [SECTION] Retry and back-off (retry.cpp)
//-----------------------------------------------------------------------------

struct RetryBudget {
  double m_RetriesPerRequest = 0.1; // retries per request
  double m_MinRetriesPerSecond = 3;
  double m_Level = 10;
  double m_MaxLevel = 100;
  TimePoint m_FilledAt{};
};

void countRequest(RetryBudget &Budget, TimePoint Now);
bool takeRetry(RetryBudget &Budget, TimePoint Now);

// Full jitter: uniform between 0 and min(Most, First * 2^Attempt).
Duration computeBackoffDelay(uint32_t Attempt, Duration FirstDelay, Duration MaxDelay, Random &Rng);

//-----------------------------------------------------------------------------
// [SECTION] Group views and routing (route.cpp)
//-----------------------------------------------------------------------------

// What this host knows of an instance, from its own probes, answers, and other hosts' reports.
struct InstanceView {
  uint64_t m_Term = 0;
  bool m_IsPrimary = false;
  Position m_LastPosition;
  Position m_AppliedPosition;
  TimePoint m_AppliedAt{};    // when m_Applied was read
  double m_ApplyRate = 0;     // entries per second, smoothed
  Duration m_ContactAge{};    // replica: since its primary's last answer, at m_SeenAt
  Duration m_DataAge{};       // at m_SeenAt
  TimePoint m_LastSeenAt{};   // last answer, by anyone
  TimePoint m_LastFailedAt{}; // last failure seen by this host
};

struct GroupView {
  uint64_t m_Term = 0;   // highest known
  std::string m_Primary; // instance id of the primary of m_Term; empty if unknown
  std::map<std::string, InstanceView> m_Instances;
};

// Merges a report. Terms only go up; of two reports in a term the later one counts.
void mergeView(GroupView &View, const std::string &Instance, const InstanceView &Report);

enum class ReadMode {
  Primary, // no session position and no stated age
  Session, // a replica that has the session's position
  Age,     // data no older than a stated age, and not older than the session's position
};

struct ReadRequirement {
  ReadMode m_Mode = ReadMode::Primary;
  Position m_Position;
  Duration m_MaxAge{};
};

struct RouteSettings {
  Millis m_MaxReplicaWait{20}; // wait at a replica that is about to have the position
  Millis m_FailureCooldown{250};
};

struct RouteChoice {
  std::string m_Instance;                  // empty: none is usable
  bool m_RequiresPrimary = false;          // the instance must be the primary
  Duration m_PositionWait{};               // wait at the instance for the position
  std::string m_ChoiceReason;              // for the state dump
  Reason m_RejectionReason = Reason::None; // set if m_Instance is empty
};

// Chooses the instance for a read. Tried holds instances that have failed this request already.
RouteChoice chooseForRead(const Group &TargetGroup, const GroupView &View,
                          const std::string &DataCentre, const ReadRequirement &Requirement,
                          const std::set<std::string> &TriedInstances, TimePoint Now, Random &Rng,
                          const RouteSettings &Settings);

// Chooses the primary, or says why there is none.
RouteChoice chooseForWrite(const Group &TargetGroup, const GroupView &View, TimePoint Now);

// What an entry host does after an answer that is not final.
enum class NextStep {
  Answer,         // give the answer to the caller
  RetryElsewhere, // choose another instance or host, at once
  WaitForPrimary, // wait until a new primary is known, then try again
  Resolve,        // outcome unknown: ask the primary for the outcome
};

struct RequestProgress {
  bool m_IsWrite = false;
  bool m_IsInTransaction = false;
  uint32_t m_TryCount = 0;
  uint32_t m_AttemptNumber = 1; // of the request id
  TimePoint m_Deadline{};
};

NextStep decideNextStep(const RequestProgress &Progress, AnswerClass Class, Reason AnswerReason,
                        TimePoint Now);

//-----------------------------------------------------------------------------
// [SECTION] Membership and dispatchers (membership.cpp)
//-----------------------------------------------------------------------------

struct HostView {
  std::string m_Id;
  std::string m_DataCentre;
  std::string m_Address; // IP:port of its service for other hosts
  uint64_t m_Incarnation = 0;
  bool m_IsLeaving = false;  // by the platform's list
  bool m_IsDraining = false; // by its own report
  uint64_t m_ConfigRevision = 0;
  TimePoint m_LastSeenAt{};   // last exchange
  TimePoint m_LastFailedAt{}; // last failed call
  double m_Weight = 1;        // part of a core that the host has
};

struct MembershipSettings {
  Millis m_LastSeenTimeout{1000}; // a host not heard for this long gets no new work
  Millis m_FailureCooldown{500};
  uint32_t m_RelaysPerDataCentre = 2;
  uint32_t m_NeighbourCount = 8; // hosts that each host exchanges reports with
};

struct Membership {
  std::string m_Self;
  std::string m_DataCentre;
  std::map<std::string, HostView> m_Hosts; // with self
};

// Takes over the platform's list. Hosts that are missing from it are removed, but self never.
void setHosts(Membership &M, const std::vector<HostView> &Listed);

// Whether new work may be sent to the host.
bool isUsable(const Membership &M, const HostView &Host, TimePoint Now,
              const MembershipSettings &Settings);

// All hosts in rendezvous order for a name (instance, customer, relay role); usable ones only if
// OnlyUsable. Hosts of DataCentre come first; empty = no preference.
std::vector<std::string> orderHosts(const Membership &M, std::string_view Name,
                                    const std::string &DataCentre, bool OnlyUsable, TimePoint Now,
                                    const MembershipSettings &Settings);

// The host that dispatches to an instance; empty if none is usable. Skipped: hosts tried already.
std::string chooseDispatcher(const Membership &M, const Instance &I,
                             const std::set<std::string> &Skipped, TimePoint Now,
                             const MembershipSettings &Settings);

// Whether this host is one of the relays of its data centre, which watch the platform.
bool isRelay(const Membership &M, TimePoint Now, const MembershipSettings &Settings);

// The hosts to exchange reports with: relays of all data centres and hosts near in rendezvous
// order.
std::vector<std::string> chooseNeighbours(const Membership &M, TimePoint Now,
                                          const MembershipSettings &Settings);

//-----------------------------------------------------------------------------
// [SECTION] Failure detection and promotion (failover.cpp)
//-----------------------------------------------------------------------------

struct FailoverSettings {
  Millis m_ProbeInterval{50};
  Millis m_ProbeTimeout{100};
  Millis m_SuspectTimeout{400};
  Millis m_UnreachableTimeout{800};
  Millis m_RankDelay{120};
  Millis m_MaxRandomDelay{0};  // if not 0: candidates wait for a random time up to this instead of
                               // in rank order; only for comparison, not in the settings file
  Millis m_StepTimeout{200};   // for the answers to one step of a promotion
  Millis m_BaseRetryDelay{50}; // back-off after a lost race
  Millis m_MaxRetryJitter{500};
  uint32_t m_MaxProbesPerSecond = 400; // per host; the probe interval grows beyond this
};

enum class PromotionStep {
  Idle,      // no suspicion
  Waiting,   // suspected; waits for its rank's turn
  Checking,  // status of all instances asked for
  Fencing,   // new term sent to all instances
  Promoting, // best instance asked to take over
  Following, // the others are told of the new primary
  Recording, // outcome is written to the platform, in the background
};

// Answers to the running step, per instance.
struct StatusAnswer {
  uint64_t m_Term = 0;
  bool m_IsPrimary = false;
  Position m_LastPosition;
  Duration m_ContactAge{};
  TimePoint m_ReceivedAt{}; // set by handleStatusAnswer()
};

struct Promotion {
  PromotionStep m_Step = PromotionStep::Idle;
  uint64_t m_Term = 0; // term being fenced, or the highest one seen or used
  TimePoint m_StepSince{};
  TimePoint m_NextTryAt{};
  TimePoint m_LastSentAt{}; // last time that actions of the step were sent
  uint32_t m_FailureCount = 0;
  bool m_IsOrdered = false;        // ordered by an operator
  std::string m_RequestedInstance; // instance named by the operator
  std::string m_ExcludedPrimary;   // running primary that is left out of the fence at first
  std::string m_Candidate;
  std::map<std::string, StatusAnswer> m_Statuses;
  std::map<std::string, Position>
      m_FencedPositions; // instances that granted the term, with their log's end
  std::set<std::string> m_RefusingInstances; // instances that granted the term to another candidate
  std::string m_LastReason;                  // for the state dump
};

struct QueryStatus {
  std::string m_Instance;
};
struct SendFence {
  std::string m_Instance;
  uint64_t m_Term = 0;
};
struct SendPromote {
  std::string m_Instance;
  uint64_t m_Term = 0;
};
struct SendFollow {
  std::string m_Instance;
  std::string m_Primary;
  uint64_t m_Term = 0;
};
struct RecordPrimary { // write status/group/NAME, with retries, if its term is lower
  std::string m_Primary;
  uint64_t m_Term = 0;
};
using PromotionAction =
    std::variant<QueryStatus, SendFence, SendPromote, SendFollow, RecordPrimary>;

// Called for each group that this host dispatches an instance of, every probe interval.
// Rank: this host's place among the group's dispatchers, 0 first.
std::vector<PromotionAction> tickPromotion(Promotion &State, const Group &TargetGroup,
                                           const GroupView &View, uint32_t Rank, TimePoint Now,
                                           Random &Rng, const FailoverSettings &Settings);

// Answers to actions. An answer of an earlier step or term changes nothing.
std::vector<PromotionAction> handleStatusAnswer(Promotion &State, const Group &TargetGroup,
                                                const GroupView &View, const std::string &Instance,
                                                const StatusAnswer &Answer, TimePoint Now,
                                                Random &Rng, const FailoverSettings &Settings);
std::vector<PromotionAction> handleFenceAnswer(Promotion &State, const Group &TargetGroup,
                                               const std::string &Instance, bool Granted,
                                               uint64_t Term, Position Last, TimePoint Now,
                                               Random &Rng, const FailoverSettings &Settings);
std::vector<PromotionAction> handlePromoteAnswer(Promotion &State, const Group &TargetGroup,
                                                 const std::string &Instance, bool Promoted,
                                                 uint64_t Term, TimePoint Now, Random &Rng,
                                                 const FailoverSettings &Settings);

// Starts a promotion on an operator's order; Wanted may be empty.
void orderPromotion(Promotion &State, const std::string &RequestedInstance, TimePoint Now);

} // namespace quetzalpaddle
