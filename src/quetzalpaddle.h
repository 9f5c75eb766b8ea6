// quetzalpaddle: a database proxy with session consistency.
//
// This header declares the decision logic as plain structs and free functions. The functions use no
// sockets, threads, clocks or random devices: the current time and the random number generator are
// parameters, so that a simulation can be replayed from its seed.
//
// Index of this file:
// [SECTION] Configuration and keys
// [SECTION] Rate and burst
// [SECTION] Retry and back-off
// [SECTION] Group views and routing
// [SECTION] Membership and dispatchers
// [SECTION] Failure detection and promotion
//
// Basic types, answers and session tokens are in answer.h, the fair queue of an instance in
// queue.h, its connection pool in pool.h.
#pragma once

#include "answer.h"
#include "pool.h"
#include "queue.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalpaddle {

//-----------------------------------------------------------------------------
// [SECTION] Configuration and keys (config.cpp)
//-----------------------------------------------------------------------------

struct Customer {
  std::string m_Id;
  double m_Rate = 0;  // requests per second, summed over all hosts
  double m_Burst = 0; // requests
};

struct Key {
  std::string m_Id;
  std::string m_Customer;
  std::string m_Hash;         // HMAC-SHA256 of the key, 32 bytes
  bool m_IsWithdrawn = false; // kept, so that requests are refused as key_withdrawn
};

struct Route {
  std::string m_Name;
  std::string m_Group;
  std::set<std::string> m_AllowedCustomers; // ids of customers whose keys are accepted
  bool m_IsPublic = false;                  // reads are allowed without a key
  bool m_IsReadOnly = false;
};

struct Instance {
  std::string m_Id;
  std::string m_Address; // IP:port
  std::string m_DataCentre;
  uint32_t m_SlotCount = 1;       // maximum number of concurrent statements
  uint32_t m_ConnectionLimit = 1; // maximum number of connections that it accepts
  bool m_IsLeaving = false;       // being removed: receives no new work
};

struct Group {
  std::string m_Name;
  std::vector<Instance> m_Instances;
};

// A version that could not be parsed. The last valid version stays active.
struct ParseFailure {
  std::string m_Message;
};

// An object that is distributed with the configuration but decoded by its user: rate/CUSTOMER.
struct OpaqueObject {};

using ConfigValue = std::variant<std::monostate /* deleted */, Customer, Key, Route, Group,
                                 ParseFailure, OpaqueObject>;

// A change of one object, received from the platform's watch or from another host.
struct ConfigChange {
  std::string m_Name;      // for example "config/customer/acme"
  uint64_t m_Revision = 0; // revision of the whole store
  ConfigValue m_Value;
  std::string m_Payload; // serialized object, forwarded to other hosts
};

// Version state of one object.
struct ConfigRecord {
  uint64_t m_Revision = 0;
  bool m_IsDeleted = false; // tombstone, prevents an older version from being applied
  std::string m_Payload;
  std::string m_ParseError;      // of a newer version that was rejected; empty if none
  uint64_t m_ActiveRevision = 0; // of the active version or deletion; 0 if none
  std::string m_ActivePayload;   // of the active version, if it is not the newest
};

struct ConfigState {
  uint64_t m_Revision = 0;      // all changes up to this revision are applied
  uint64_t m_CompleteSince = 0; // every later deletion has a tombstone in m_Records
  std::map<std::string, ConfigRecord> m_Records;
  std::map<std::string, Customer> m_Customers;
  std::map<std::string, Key> m_Keys;
  std::map<std::string, Route> m_Routes;
  std::map<std::string, Group> m_Groups;
};

// Effects of a configuration change that the caller has to apply.

// A key was withdrawn, deleted or replaced, or its customer was deleted.
struct KeyInvalidated {
  std::string m_KeyId;
};
struct CustomerChanged {
  std::string m_Customer;
};
struct GroupChanged {
  std::string m_Group;
};
struct SlotsChanged { // the object rate/CUSTOMER
  std::string m_Customer;
};
using ConfigEffect = std::variant<KeyInvalidated, CustomerChanged, GroupChanged, SlotsChanged>;

// Applies a change if it is newer than the known version of its object; otherwise does nothing.
// Returns the effects that the caller has to apply.
std::vector<ConfigEffect> applyChange(ConfigState &State, const ConfigChange &Change);

// Applies a complete list of the objects at Revision. Known objects that are missing from the list
// are treated as deleted.
std::vector<ConfigEffect>
applySnapshot(ConfigState &State, const std::vector<ConfigChange> &Objects, uint64_t Revision);

// Records that all changes up to Revision have been received. Never lowers the revision.
void advanceRevision(ConfigState &State, uint64_t Revision);

// Returns the names of all objects changed after revision Since, in order of revision.
std::vector<std::string> listChanges(const ConfigState &State, uint64_t Since);

// The authenticated caller of a request.
struct Caller {
  std::string m_Customer; // empty if a public route was read without a key
  std::string m_KeyId;    // likewise
};

// Formats a key as "qp_ID_SECRET", with the random bytes in hexadecimal as its secret. Only the
// hash of a key is stored.
std::string makeKey(std::string_view KeyId, const std::array<uint8_t, 32> &RandomBytes);

// Returns the 32 bytes of HMAC-SHA256(Pepper, KeyText).
std::string hashKey(std::string_view KeyText, std::string_view Pepper);

// Authenticates the caller and checks whether it may use the route. KeyText is empty if the request
// has no key. Returns the refusal reason if the caller is refused.
std::variant<Caller, Reason> authorizeCaller(const ConfigState &State, const std::string &RouteName,
                                             std::string_view KeyText, bool IsWrite,
                                             std::string_view Pepper);

// Returns whether the key is still valid; checked before a queued request runs. A key that this
// host does not know yet counts as valid, because the entry host has already checked it.
bool isKeyValid(const ConfigState &State, const std::string &KeyId);

//-----------------------------------------------------------------------------
// [SECTION] Rate and burst (rate.cpp)
//-----------------------------------------------------------------------------

struct RateSettings {
  Millis m_TransferValidity{100}; // a transferred token is discarded after this time
  Millis m_AdmissionTimeout{20};  // maximum time that a request waits for tokens
  std::chrono::seconds m_LeaseDuration{720};
  std::chrono::seconds m_LeaseRenewalInterval{60};
  double m_DriftMargin = 0.05; // clock drift: observers wait for the lease times 1 + this fraction
  uint32_t m_SlotsPerDataCentre = 2;
};

// Tokens transferred to other hosts that may still be unused.
struct TransferredTokens {
  double m_Tokens = 0;
  TimePoint m_FirstDeductedAt{}; // when the first of these tokens were deducted
  TimePoint m_ExpiresAt{};       // none of the tokens can be used from this time on
};

// Token bucket of one rate slot: the part of a customer's rate that one host issues. The level plus
// the transferred tokens that may still be unused never exceeds the burst.
struct Bucket {
  double m_Rate = 0;  // tokens per second
  double m_Burst = 0; // capacity in tokens
  double m_Level = 0; // tokens
  TimePoint m_FilledAt{};
  Duration m_TokenValidity{}; // time for which a transferred token can be used
  // Time for which transferred tokens count against the burst. It must not be less than the
  // validity; splitRate() makes them equal.
  Duration m_TransferHoldTime{};
  std::vector<TransferredTokens> m_Transfers; // oldest first
};

// Tokens received from another host.
struct TokenBatch {
  double m_Tokens = 0;
  TimePoint m_RequestedAt{}; // when the request was sent: the validity starts here
};

// What this host knows of another host that holds slots of a customer.
struct SlotHolder {
  std::string m_Host;
  std::string m_DataCentre;
  double m_LastLevel = 0;          // tokens, as of its last answer
  TimePoint m_LastLevelAt{};       // zero if it has not answered yet
  TimePoint m_RequestedAt{};       // when the last request was sent
  double m_RequestedTokens = 0;    // by the pending request; 0 if none is pending
  uint32_t m_SlotCount = 1;        // held by the holder
  uint32_t m_EmptyAnswerCount = 0; // consecutive answers without tokens
  TimePoint m_UnansweredSince{};   // when requests to it began to time out; zero if it answers
};

// A request that waits for a token.
struct WaitingRequest {
  uint64_t m_Id = 0;
  TimePoint m_EnqueuedAt{};
};

// Rate limiter of one customer on this host.
struct CustomerRate {
  Bucket m_SlotParameters;         // rate, burst and validity of one slot
  std::vector<Bucket> m_HeldSlots; // held by this host
  std::vector<TokenBatch> m_Batches;
  std::vector<SlotHolder> m_Holders; // other hosts that hold slots
  std::deque<WaitingRequest> m_WaitingRequests;
  double m_DemandPerSecond = 0; // requests, exponentially smoothed
  TimePoint m_DemandUpdatedAt{};
};

struct RateState {
  std::string m_Host;
  std::string m_DataCentre;
  bool m_IsLeaseValid = false; // whether this host's slots may issue tokens
  TimePoint m_LeaseExpiresAt{};
  std::map<std::string, CustomerRate> m_Customers;
};

// Returns the parameters of one slot of a customer whose rate and burst are divided by Slots. The
// validity of transferred tokens is reduced for a customer whose burst is small relative to its
// rate. The result has zero rate and burst if Slots or the customer's rate or burst is not
// positive.
Bucket splitRate(const Customer &Owner, uint32_t Slots, const RateSettings &Settings);

// Sets the number of slots of a customer that this host holds; slots that it keeps retain their
// level. A new slot starts empty and is filled only after the hold time of transfers, because its
// previous holder may just have transferred the whole burst. OtherHolders are the other hosts that
// hold slots of the customer.
void setSlots(RateState &State, const std::string &Customer, const Bucket &SlotParameters,
              uint32_t HeldCount, const std::vector<SlotHolder> &OtherHolders, TimePoint Now);

// A request for tokens, to be sent to another host.
struct TokenRequest {
  std::string m_Host;
  std::string m_Customer;
  double m_RequestedTokens = 0;
  TimePoint m_RequestedAt{}; // to be passed to addTokens()
};
enum class Admission { Admitted, Waiting, Refused };
struct AdmitResult {
  Admission m_Admission = Admission::Refused;
  std::vector<TokenRequest> m_TokenRequests; // to be sent
};

// Admits or refuses a request. If the result is Waiting, addTokens() or tickWaiting() returns the
// request later.
AdmitResult admitRequest(RateState &State, const std::string &Customer, uint64_t RequestId,
                         TimePoint Now, const RateSettings &Settings);

// Handles another host's request for tokens. Returns the number of tokens that were deducted from
// this host's slots; 0 if the customer is unknown or this host's lease is not valid.
double grantTokens(RateState &State, const std::string &Customer, double RequestedTokens,
                   TimePoint Now, const RateSettings &Settings);

struct AddTokensResult {
  std::vector<uint64_t> m_AdmittedIds;       // ids of requests that no longer wait
  std::vector<TokenRequest> m_TokenRequests; // to be sent to further holders
};

// Handles the answer of a holder. GrantedTokens is 0 if the holder did not answer. A duplicate
// answer, or one that arrives after a newer request to the holder, is ignored and its tokens are
// lost.
AddTokensResult addTokens(RateState &State, const std::string &Customer,
                          const std::string &HolderId, double GrantedTokens, double HolderLevel,
                          TimePoint RequestedAt, TimePoint Now, const RateSettings &Settings);

struct WaitingResult {
  std::vector<uint64_t> m_AdmittedIds;       // ids of requests that no longer wait
  std::vector<uint64_t> m_RefusedIds;        // likewise
  std::vector<TokenRequest> m_TokenRequests; // to be sent to further holders
};

// Admits waiting requests for which there are tokens now, requests tokens from further holders if
// some have not answered, and refuses the requests that have waited longer than the admission
// timeout, except those that pending answers may still admit. To be called every few milliseconds.
WaitingResult tickWaiting(RateState &State, TimePoint Now, const RateSettings &Settings);

// --- Slots and leases in the platform's store ---

// One slot in the object rate/CUSTOMER.
struct SlotAssignment {
  std::string m_DataCentre;
  uint32_t m_Number = 0;
  std::string m_Holder;       // empty if the slot is free
  uint64_t m_Incarnation = 0; // of the holder
  uint32_t m_RateDivisor = 0; // number of slots by which the holder divides the rate and burst
};

// The last known state of another host's lease object.
struct LeaseObservation {
  uint64_t m_Version = 0; // of the lease object
  uint64_t m_Incarnation = 0;
  bool m_IsExpired = false;     // marked as expired in the store
  TimePoint m_UnchangedSince{}; // on this host's clock
};

// Returns whether a lease has certainly expired: it is marked as expired, or this host has seen it
// unchanged for the lease duration plus the drift margin.
bool hasLeaseExpired(const LeaseObservation &Observation, TimePoint Now,
                     const RateSettings &Settings);

// What a host does with its rate slots: a draining host keeps those that it holds and acquires no
// others; a releasing host gives them up.
enum class SlotPhase : uint8_t { Serving, Draining, Releasing };

struct SlotPlan {
  std::vector<SlotAssignment> m_Slots;       // new content of rate/CUSTOMER
  bool m_HasChanged = false;                 // whether m_Slots has to be written
  std::vector<std::string> m_LeasesToExpire; // hosts whose leases are to be marked as expired first
};

// Plans which free or expired slots this host acquires and which slots it releases.
// PreferredByDataCentre lists the hosts of each data centre in rendezvous order for the customer.
// The rate limit holds only if the caller keeps to these rules:
// - Write the plan with a conditional update on the version of Current, while this host's lease is
//   valid. Before that, mark the leases to expire, also with conditional updates.
// - Before the write, call setSlots() with the parameters for m_Slots.size() slots and without
//   the released slots. Add the acquired slots only after the write has succeeded or a later read
//   shows it.
// - This host holds the slots that have both its name and its incarnation. After a write has been
//   sent, ignore reads of the version that it was based on and of older versions, because the write
//   may still take effect.
SlotPlan planSlots(const std::vector<SlotAssignment> &Current,
                   const std::map<std::string, std::vector<std::string>> &PreferredByDataCentre,
                   const std::string &Self, uint64_t SelfIncarnation, SlotPhase SelfPhase,
                   const std::map<std::string, LeaseObservation> &Leases, TimePoint Now,
                   const RateSettings &Settings);

//-----------------------------------------------------------------------------
// [SECTION] Retry and back-off (retry.cpp)
//-----------------------------------------------------------------------------

// Token bucket of retries.
struct RetryBudget {
  double m_RetriesPerRequest = 0.1;
  double m_MinRetriesPerSecond = 3;
  double m_Level = 10;
  double m_MaxLevel = 100;
  TimePoint m_FilledAt{};
};

// Adds the share of one request to the budget.
void countRequest(RetryBudget &Budget, TimePoint Now);
// Takes one retry from the budget. Returns false if less than one is left.
bool takeRetry(RetryBudget &Budget, TimePoint Now);

// Returns a delay with full jitter: uniform between 0 and min(MaxDelay, FirstDelay * 2^Attempt).
Duration computeBackoffDelay(uint32_t Attempt, Duration FirstDelay, Duration MaxDelay, Random &Rng);

//-----------------------------------------------------------------------------
// [SECTION] Group views and routing (route.cpp)
//-----------------------------------------------------------------------------

// Last known state of an instance, from this host's probes and requests and from other hosts'
// reports.
struct InstanceView {
  uint64_t m_Term = 0;
  bool m_IsPrimary = false;
  Position m_LastPosition;    // end of its log
  Position m_AppliedPosition; // end of the applied entries
  TimePoint m_AppliedAt{};    // when m_AppliedPosition was reported
  double m_ApplyRate = 0;     // entries per second, exponentially smoothed
  Duration m_ContactAge{};    // replica: time since its primary's last answer, at m_LastSeenAt
  Duration m_DataAge{};       // age of its data, at m_LastSeenAt
  TimePoint m_LastSeenAt{};   // last answer to any host
  TimePoint m_LastFailedAt{}; // last failure observed by this host
};

// Last known state of a group.
struct GroupView {
  uint64_t m_Term = 0;   // highest known term
  std::string m_Primary; // instance id of the primary of m_Term; empty if unknown
  std::map<std::string, InstanceView> m_Instances;
};

// Merges a report on an instance. A term is never lowered; of two reports of one term the later one
// is kept.
void mergeView(GroupView &View, const std::string &Instance, const InstanceView &Report);

enum class ReadMode {
  Primary, // read the primary: the request has no session position and no maximum age
  Session, // read any instance that has applied the session's position
  MaxAge,  // like Session, and the data must not be older than a maximum age
};

struct ReadRequirement {
  ReadMode m_Mode = ReadMode::Primary;
  Position m_Position;
  Duration m_MaxAge{};
};

struct RouteSettings {
  Millis m_MaxReplicaWait{20};   // for a replica to apply the required position
  Millis m_FailureCooldown{250}; // time for which an instance is avoided after a failure
};

struct RouteChoice {
  std::string m_Instance;         // empty if none is usable
  bool m_RequiresPrimary = false; // the instance has to refuse if it is not the primary
  Duration m_PositionWait{};      // maximum wait at the instance until the position is applied
  std::string m_ChoiceReason;     // shown in the state dump
  Reason m_RefusalReason = Reason::None; // set if m_Instance is empty
};

// Chooses the instance for a read. TriedInstances lists the instances that have already failed this
// request.
RouteChoice chooseForRead(const Group &TargetGroup, const GroupView &View,
                          const std::string &DataCentre, const ReadRequirement &Requirement,
                          const std::set<std::string> &TriedInstances, TimePoint Now, Random &Rng,
                          const RouteSettings &Settings);

// Chooses the primary for a write, or sets the refusal reason.
RouteChoice chooseForWrite(const Group &TargetGroup, const GroupView &View, TimePoint Now);

// How an entry host continues after an answer.
enum class NextStep {
  Answer,         // return the answer to the caller
  RetryElsewhere, // choose another instance or host immediately
  WaitForPrimary, // retry when a new primary is known
  Resolve,        // query the primary for the unknown outcome
};

struct RequestProgress {
  bool m_IsWrite = false;
  bool m_IsInTransaction = false;
  uint32_t m_TryCount = 0;
  uint32_t m_AttemptNumber = 1; // of the request with this id
  TimePoint m_Deadline{};
};

// Decides how to continue after an answer. AnswerReason is the refusal reason of the answer.
NextStep decideNextStep(const RequestProgress &Progress, AnswerClass Class, Reason AnswerReason,
                        TimePoint Now);

//-----------------------------------------------------------------------------
// [SECTION] Membership and dispatchers (membership.cpp)
//-----------------------------------------------------------------------------

// Last known state of a host.
struct HostView {
  std::string m_Id;
  std::string m_DataCentre;
  std::string m_Address; // IP:port of its service for other hosts (quetzalpaddle.peer)
  uint64_t m_Incarnation = 0;
  bool m_IsLeaving = false;  // according to the platform's list
  bool m_IsDraining = false; // according to its own report
  uint64_t m_ConfigRevision = 0;
  TimePoint m_LastSeenAt{};   // last exchange with it
  TimePoint m_LastFailedAt{}; // last failed call to it
  TimePoint m_AwaitedSince{}; // since when a host that was never seen should have sent updates
  double m_Weight = 1;        // CPU capacity of the host, in cores
};

struct MembershipSettings {
  Millis m_LastSeenTimeout{1000}; // a host not seen for this time receives no new work
  Millis m_FailureCooldown{500};  // time for which a host is avoided after a failed call
  uint32_t m_RelaysPerDataCentre = 2;
  uint32_t m_NeighbourCount = 8; // number of gossip peers of each host
};

struct Membership {
  std::string m_Self;
  std::string m_DataCentre;
  std::map<std::string, HostView> m_Hosts; // including this host
};

// Applies the platform's list of hosts. Removes hosts that are missing from it, except this host.
void setHosts(Membership &Members, const std::vector<HostView> &Listed);

// Returns whether new work may be sent to the host.
bool isUsable(const Membership &Members, const HostView &Host, TimePoint Now,
              const MembershipSettings &Settings);

// Returns the hosts in rendezvous order for a name (instance, customer, relay role), hosts of
// DataCentre first. OnlyUsable omits unusable hosts; an empty DataCentre means no preference.
std::vector<std::string> orderHosts(const Membership &Members, std::string_view Name,
                                    const std::string &DataCentre, bool OnlyUsable, TimePoint Now,
                                    const MembershipSettings &Settings);

// Returns the host that dispatches to an instance; empty if none is usable. Skipped lists hosts
// that have already been tried.
std::string chooseDispatcher(const Membership &Members, const Instance &TargetInstance,
                             const std::set<std::string> &Skipped, TimePoint Now,
                             const MembershipSettings &Settings);

// Returns whether this host is a relay: one of the hosts of its data centre that watch the
// platform.
bool isRelay(const Membership &Members, TimePoint Now, const MembershipSettings &Settings);

// Returns the hosts to gossip with: the relays of this host's data centre, those of the other data
// centres (one of each if this host is not a relay), and the first hosts in rendezvous order for
// its id, usable ones first.
std::vector<std::string> chooseNeighbours(const Membership &Members, TimePoint Now,
                                          const MembershipSettings &Settings);

//-----------------------------------------------------------------------------
// [SECTION] Failure detection and promotion (failover.cpp)
//-----------------------------------------------------------------------------

struct FailoverSettings {
  Millis m_ProbeInterval{50};
  Millis m_ProbeTimeout{100};
  Millis m_SuspectTimeout{400};
  Millis m_UnreachableTimeout{800};
  Millis m_RankDelay{120}; // between the starts of proposers of successive ranks
  // If not 0, proposers start after a random delay up to this value instead of in rank order. Used
  // by benchmarks only; not a field of the settings file.
  Millis m_MaxRandomDelay{0};
  Millis m_StepTimeout{200};           // for one step of a promotion
  Millis m_BaseRetryDelay{50};         // minimum back-off after a failed attempt
  Millis m_MaxRetryJitter{500};        // maximum random addition to the back-off
  uint32_t m_MaxProbesPerSecond = 400; // per host; the probe interval is lengthened to stay below
};

enum class PromotionStep {
  Idle,      // the primary is not suspect
  Waiting,   // the primary is suspect; waiting for the start time of this rank or back-off
  Checking,  // querying the status of all instances
  Fencing,   // sending the new term to all instances
  Promoting, // asking the candidate to become primary
  Following, // announcing the new primary to the other instances
  Recording, // writing the result to the platform, in the background
};

// Answer of an instance to QueryStatus.
struct StatusAnswer {
  uint64_t m_Term = 0;
  bool m_IsPrimary = false;
  Position m_LastPosition;
  Duration m_ContactAge{};
  TimePoint m_ReceivedAt{}; // set by handleStatusAnswer()
};

// State of failure detection and promotion of one group on this host.
struct Promotion {
  PromotionStep m_Step = PromotionStep::Idle;
  uint64_t m_Term = 0; // term of the running attempt, or the highest known term
  TimePoint m_StepSince{};
  TimePoint m_NextTryAt{};
  TimePoint m_LastSentAt{}; // when actions of the step were last sent; zero if never
  uint32_t m_FailureCount = 0;
  bool m_IsOrdered = false;        // started by orderPromotion()
  std::string m_RequestedInstance; // instance to be promoted if possible; empty if any
  std::string m_ExcludedPrimary;   // running primary that is initially not fenced
  std::string m_Candidate;         // instance that is to be promoted
  std::map<std::string, StatusAnswer> m_Statuses;
  std::map<std::string, Position> m_FencedPositions; // log ends of instances that granted the term
  std::set<std::string> m_RefusingInstances;         // granted the term to another proposer
  std::string m_LastReason; // of the last attempt or its failure; shown in the state dump
};

// Actions of a promotion, executed by the caller.
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
struct RecordPrimary { // writes status/group/NAME if its term is lower; retried until it succeeds
  std::string m_Primary;
  uint64_t m_Term = 0;
};
using PromotionAction =
    std::variant<QueryStatus, SendFence, SendPromote, SendFollow, RecordPrimary>;

// Advances the promotion of a group. Called every probe interval for each group of which this host
// dispatches an instance. Rank is this host's position among the group's dispatchers, from 0.
std::vector<PromotionAction> tickPromotion(Promotion &State, const Group &TargetGroup,
                                           const GroupView &View, uint32_t Rank, TimePoint Now,
                                           Random &Rng, const FailoverSettings &Settings);

// Handle the answers to actions. An answer to an earlier step or term has no effect.
std::vector<PromotionAction> handleStatusAnswer(Promotion &State, const Group &TargetGroup,
                                                const GroupView &View, const std::string &Instance,
                                                const StatusAnswer &Answer, TimePoint Now,
                                                Random &Rng, const FailoverSettings &Settings);
std::vector<PromotionAction> handleFenceAnswer(Promotion &State, const Group &TargetGroup,
                                               const std::string &Instance, bool IsGranted,
                                               uint64_t Term, Position Last, TimePoint Now,
                                               Random &Rng, const FailoverSettings &Settings);
std::vector<PromotionAction> handlePromoteAnswer(Promotion &State, const Group &TargetGroup,
                                                 const std::string &Instance, bool IsPromoted,
                                                 uint64_t Term, TimePoint Now, Random &Rng,
                                                 const FailoverSettings &Settings);

// Starts a promotion without a failure of the primary, for example on an operator's order.
// RequestedInstance may be empty.
void orderPromotion(Promotion &State, const std::string &RequestedInstance, TimePoint Now);

} // namespace quetzalpaddle
