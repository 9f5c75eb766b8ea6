// Log positions of the groups as this host knows them, and the choice of an instance for a read.
// Free of I/O, threads and clock reads.
//
// A confirmed position states that every commit acknowledged before m_SentAt is at or before
// m_Position. It comes from a statement that only a primary can have run (an acknowledged write, an
// accepted read-write BEGIN) or from a STATUS answer that reports the primary role, and m_SentAt is
// when that statement was sent, on this host's clock. A read that arrived at T and accepts data of
// age S is correct at any instance whose log holds a position confirmed at T - S or later.
#pragma once

#include "answer.h"
#include "evacuation.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzalpaddle {

// States that every commit acknowledged before m_SentAt is at or before m_Position.
struct ConfirmedPosition {
  Position m_Position;
  TimePoint m_SentAt{};
};

struct PositionHistory {
  std::deque<ConfirmedPosition> m_ConfirmedPositions; // by time, oldest first
};

// Adds a confirmed position. The history keeps no two that are closer than its resolution, and none
// that is older than its maximum age.
void addConfirmedPosition(PositionHistory &History, const ConfirmedPosition &New, TimePoint Now);

// Returns the lowest position confirmed at Since or later; nothing if there is none.
std::optional<Position> lowestPositionSince(const PositionHistory &History, TimePoint Since);

// Returns the newest confirmed position; nothing if there is none.
std::optional<ConfirmedPosition> newestConfirmedPosition(const PositionHistory &History);

// One database instance, as listed by the platform and as observed by this host.
struct LineInstance {
  std::string m_Id;
  std::string m_Group;
  std::string m_Address; // IP:port
  std::string m_DataCentre;
  uint32_t m_SlotCount = 1;       // statements that it runs at a time
  bool m_IsLeaving = false;       // gets no new work
  TimePoint m_AcceptsWorkUntil{}; // a leaving primary still gets work until then
  bool m_ReportsPrimary = false;  // last role that it reported
  bool m_IsListed = true;         // in the platform's list
  TimePoint m_UnlistedSince{};    // if not listed
  TimePoint m_EndedAt{};          // when its address first refused after that; zero: not yet
  TimePoint m_EndAskedAt{};       // when this host last asked whether it has ended
  TimePoint m_KnownSince{};       // when it was first listed; zero: before this host's first list
  bool m_IsRecorded = false;      // in the group's record (group_record.h), as last known
  uint64_t m_StartTimeMs = 0;     // Unix time in ms; identifies its incarnation
  TimePoint m_RebornAt{};      // when its id was last listed with another start time; zero: never
  Millis m_ColdTime{0};        // how much longer it is slow, by its entry
  uint64_t m_ColdRevision = 0; // of that entry
  TimePoint m_ColdUntil{};     // until then it gets few statements; zero: it is not cold
  EvacuationStage m_Evacuation = EvacuationStage::None; // of its data centre, as last checked
  TimePoint m_LiftedAt{}; // when this host learnt that the evacuation was lifted
  // Observed by this host or reported by others:
  Position m_AppliedPosition;          // highest position that its answers have shown
  TimePoint m_AppliedAt{};             // last success
  uint32_t m_OutstandingCount = 0;     // statements sent by this host and not answered
  Duration m_ExpectedWait{};           // for a slot, as reported by its dispatcher
  TimePoint m_ExpectedWaitAt{};        // when the dispatcher reported it; zero: never
  TimePoint m_BackoffUntil{};          // gets no reads before; set after failures and refusals
  Duration m_Backoff{};                // last back-off; doubles with each consecutive failure
  Duration m_LaggingBackoff{};         // the same for refusals because its log lags
  bool m_IsUnreachable = false;        // as last reported by its dispatcher
  TimePoint m_UnreachableReportedAt{}; // last update from its dispatcher, whatever it reported
};

struct LineGroup {
  std::string m_Name;
  uint32_t m_SyncReplicas = 0;   // replicas that hold an acknowledged commit
  uint32_t m_MaxConnections = 1; // that each instance accepts, from all hosts
  double m_ColdPerSecond = 0;    // statements that a cold instance may get; 0: no limit
  std::map<std::string, LineInstance> m_Instances; // by id
  std::string m_Primary;                           // as far as known; empty: unknown
  TimePoint m_PrimarySince{};                      // when this host learned of m_Primary
  // Token of the promotion duty under which it became primary; 0: unknown.
  uint64_t m_Generation = 0;
  // Generation of a promotion in progress, during which no writes are sent; 0: none.
  uint64_t m_PendingGeneration = 0;
  TimePoint m_PendingGenerationAt{}; // when it began or was last reported
  // Every attempt up to this token of the duty has ended, and none has left an open order.
  uint64_t m_SettledGeneration = 0;
  // Replicas that may lead at any moment: those of open orders, and the one that is to replace a
  // healthy primary. They count until the attempt is settled: a holder of the duty that has ended
  // tells nothing more, but its order may still be carried out.
  std::set<std::string> m_Successors;
  uint64_t m_SuccessorToken = 0; // of the duty under which they were named
  PositionHistory m_History;     // of m_Primary
  // Positions that all replicas together have confirmed while m_Primary gave no answer. They show
  // nothing of the primary itself.
  PositionHistory m_ReplicaHistory;
  bool m_WritesStalled = false;
  TimePoint m_WritesStalledAt{}; // when it was last reported
};

// Records the role that an instance reports. An instance that has become primary replaces the known
// primary; a primary that has become a replica is replaced by another instance that reports to be
// primary, if there is one.
void noteRole(LineGroup &Group, const std::string &Instance, bool ReportsPrimary, TimePoint Now);

// Records that an instance has answered as the primary of the newest term.
void noteConfirmedPrimary(LineGroup &Group, const std::string &Instance, TimePoint Now);

// Records a position that another host has seen confirmed by the primary that it knows. If this
// host knows another one, and has learnt of it before, that one leads no more: its entry in the
// list may be an old one.
void noteReportedConfirmation(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                              const ConfirmedPosition &Confirmation, TimePoint Now);

// Records a position that another host has seen confirmed by the replicas of the primary that it
// knows. Ignored if this host knows another primary.
void noteReplicaConfirmation(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                             const ConfirmedPosition &Confirmation, TimePoint Now);

// Returns the lowest position, confirmed by the primary or by all replicas at Since or later, that
// an instance's log has to hold; nothing if there is none.
std::optional<Position> requiredPositionSince(const LineGroup &Group, TimePoint Since);

// Records a finished promotion. A generation that is not newer than the known one is ignored.
void notePromotion(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                   TimePoint Now);

// Records that a promotion is in progress, unless it is known to have ended.
void notePendingPromotion(LineGroup &Group, uint64_t Generation, TimePoint Now);

// Records that every attempt up to a token of the duty has ended without an open order: writes may
// go on at the known primary.
void noteSettledAttempts(LineGroup &Group, uint64_t Generation);

// Records the replicas that may lead at any moment, as named under a token of the duty, unless that
// attempt is known to be settled or a later holder has named others.
void noteSuccessors(LineGroup &Group, const std::set<std::string> &Successors, uint64_t Token);

// Records that an instance refused a statement because it is not the primary.
void noteNotPrimary(LineGroup &Group, const std::string &Instance, TimePoint Now);

// Records the failure of a statement sent to an instance: reads avoid it for a back-off time.
void noteFailure(LineInstance &Instance, TimePoint Now);
// Records a success and the position that the answer showed.
void noteSuccess(LineInstance &Instance, Position Applied, TimePoint Now);
// Records that the instance's log lacked the position that a read requires.
void noteLagging(LineInstance &Instance, TimePoint Now);

// What a read requires of an instance.
struct LineReadRequirements {
  std::string m_DataCentre;              // of this host
  std::optional<Position> m_MinPosition; // position the log has to hold; nothing: primary only
  const std::set<std::string> *m_TriedInstances = nullptr; // not to be chosen; may be null
  double m_Draw = 0; // random number in [0, 1), so that hosts choose differently
};

// Records the wait for a slot that the dispatcher of an instance reported at ReportedAt. A report
// that is older than the last one is ignored: updates pass through other hosts, replies do not.
void noteExpectedWait(LineInstance &Instance, Duration Wait, TimePoint ReportedAt);

// Chooses an instance that can serve a read by expected wait, data centre and role (balance.h).
// Returns its id; empty if there is none.
std::string chooseReadInstance(const LineGroup &Group, const LineReadRequirements &Requirements,
                               TimePoint Now);

// Whether a primary is expected soon, so that waiting is worthwhile: a promotion is in progress, or
// the last primary was confirmed more recently than a normal recovery takes.
bool expectsPrimary(const LineGroup &Group, TimePoint Now);

// Whether a promotion that replaces a lost primary is in progress, as far as known.
bool isPromotionPending(const LineGroup &Group, TimePoint Now);

// Whether an instance's acknowledgement of a commit may be passed on. While the instance is being
// replaced, and after, its successor's log may lack the commit. Committed: the position that the
// acknowledgement shows; in a newer term than the known primary's, it is that of the successor.
bool mayAcknowledge(const LineGroup &Group, const std::string &Instance, Position Committed,
                    TimePoint Now);

// Replicas of which some have to hold a commit before its acknowledgement is passed on.
struct RequiredHolders {
  std::set<std::string> m_Replicas;
  size_t m_Count = 1; // that have to hold it
};

// Returns who has to hold a commit before the acknowledgement by an instance is passed on; nothing
// if the acknowledgement suffices. Any replica counts for the instance's acknowledgement, also one
// that has started lately, which a promotion may not take into account.
//  - While others may lead at any moment, all of them have to hold the commit. A replica that was
//    suspended for their sake may have restarted and receive again.
//  - HearsAllHubs: if this host may not hear of a promotion, as many as the group's syncReplicas of
//    the replicas that have been listed for a while have to: the host that promotes asks them all,
//    and if too many give no answer, it does not promote.
std::optional<RequiredHolders> listRequiredHolders(const LineGroup &Group,
                                                   const std::string &Instance, bool HearsAllHubs,
                                                   TimePoint Now);

// Whether no promotion can take place because of an evacuation: as many replicas as can alone hold
// a commit may not be asked. Instance: the primary.
bool isPromotionExcluded(const LineGroup &Group, const std::string &Instance);

// Whether an evacuation was lifted so recently that other hosts may not know: they may still pass
// on acknowledgements because no promotion could take place.
bool wasJustLifted(const LineGroup &Group, TimePoint Now);

// Whether a log that has received up to a position holds a commit. A log of another term may have
// been rolled back.
bool holdsCommit(Position Received, Position Committed);

// Whether no instance can run a statement because of an evacuation. PrimaryOnly: only the primary
// could.
bool isEvacuated(const LineGroup &Group, bool PrimaryOnly);

// Whether writes may be sent to the known primary now.
bool hasPrimary(const LineGroup &Group, TimePoint Now);

} // namespace quetzalpaddle
