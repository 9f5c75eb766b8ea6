// Decides when a group needs another primary and which replica is promoted. Free of I/O, threads
// and clock reads: the caller passes the time.
//
// A commit is acknowledged when the primary and at least m_SyncReplicas replicas hold it. A
// promotion must not lose an acknowledged commit, so the candidate has to hold all of them:
//  - Failover, the primary is lost: every reachable replica stops receiving, and the one with the
//    longest log is chosen.
//  - Switchover, the primary is healthy: a replica is chosen, and the others stop receiving.
// In both cases the chosen one receives until the promotion takes effect, and no other replica
// does: whatever the primary acknowledges meanwhile, to hosts that this one may not reach, passes
// through the candidate.
//
// An order without an answer may be carried out seconds later, by then for a holder of the duty
// that has ended. The replicas therefore stay suspended until every order that was sent has ended:
// its instance is primary, or the platform has accepted an order with a higher token. The duty
// records an order before it is sent, and a holder that finds one finishes it.
#pragma once

#include "line_config.h"

namespace quetzalpaddle {

struct TakeoverSettings {
  // Age of the newest confirmed position, from this or another host, from which the primary is
  // suspect and is probed.
  Millis m_SuspectTimeout{450};
  // Time limit of a status statement.
  Millis m_ProbeTimeout{350};
  // Probes have to fail for this long before a failover starts.
  Millis m_UnreachableTimeout{500};
  // Time for the candidate to become primary after the promotion was ordered.
  Millis m_PromotionTimeout{3000};
  // An accepted order has taken effect after this time, or never does.
  Millis m_OrderEffectTimeout{2000};
  // An order that was not accepted is repeated at this interval.
  Millis m_OrderRetryInterval{700};
  // Interval at which the replicas of an unreachable primary are asked for their positions. Reads
  // with a staleness of a second or more then always find one that is recent enough.
  Millis m_ReplicaProbeInterval{500};
  // Delay after an attempt before the next one.
  Millis m_RetryDelay{300};
  // While writes stall, replicas are told to receive at this interval.
  Millis m_ResumeInterval{1000};
  // Age of the last announcement from which the holder of the duty no longer counts as promoter.
  Millis m_AnnouncementTimeout{1000};
  // A holder keeps the duty until its token has not changed for this long, so that its attempt can
  // end.
  Millis m_HolderGracePeriod{2500};
  // A replica that has left the list without being told to leave may be cut off and come back. Only
  // after this time it counts as gone.
  Millis m_RejoinTimeout{10000};
  // Interval at which the holder of the duty checks the record of the group.
  Millis m_RecordInterval{2000};
  // A holder that cannot read the duty relies on that period, less this time for its statements.
  Millis m_StatementMargin{500};
};

// State of one group at the host that promotes in it.
struct Takeover {
  PromotionDuty m_Duty;           // as this host holds it; token 0: not held
  bool m_IsRunning = false;       // a probe, resumption or attempt is in progress
  TimePoint m_UnreachableSince{}; // first of the consecutive failed probes; zero: none
  TimePoint m_NextAttemptAt{};
  TimePoint m_ResumedAt{};        // last time that all replicas were told to receive
  TimePoint m_DutyTakenAt{};      // before the last write that raised the token
  uint64_t m_SeenToken = 0;       // of another holder, read in the store or announced
  std::string m_AnnouncedHolder;  // last host whose announcement was not outdated; empty: none
  TimePoint m_AnnouncedAt{};      // last announcement
  TimePoint m_TokenFirstSeenAt{}; // first time that m_SeenToken was seen
  TimePoint m_ProbedAt{};         // last probe of the primary
  TimePoint m_RecordCheckedAt{};  // last check of the group's record
  TimePoint m_ReplicasAskedAt{};  // last time that the replicas were asked in its place
  std::set<std::string> m_SuspendedReplicas; // by this host, and not resumed since
  uint64_t m_SuspendTerm = 0;                // of that order
  bool m_LacksCandidate = false;             // the last attempt to fail over has found no candidate
  bool m_IsCheckingSuspension = false; // the replicas are asked whether they are still suspended
  bool m_IsRenewingSuspension = false; // those that are not are being suspended again
  std::string m_LastReason;            // of the last step, for the state dump
};

enum class TakeoverAction {
  None,
  Probe,      // the primary is suspect: ask it for its status
  Resume,     // an interrupted attempt has left replicas suspended, or may have: writes stall
  Switchover, // the primary is healthy but leaving, or its data centre is evacuated: promote a
              // replica in its place
  Failover,   // the primary is unreachable, leaving or not: promote a replica
  Finish,     // an earlier order may still be carried out: promote, whatever the primary's state
};

// Chooses the next action for a group from what this host knows of it.
TakeoverAction assessPrimary(const LineGroup &Group, const Takeover &State, TimePoint Now,
                             const TakeoverSettings &Settings);

// Records a token that its holder has announced; a lower token than the known one is ignored. The
// announcements show how long the token has been unchanged, so when the holder stops announcing,
// that part of its grace period has passed already.
void noteAnnouncedToken(Takeover &State, const std::string &Holder, uint64_t Token, TimePoint Now);

// Returns the host that promotes: the holder of the duty while it announces its token, otherwise
// the first host in rendezvous order. A change of that order, as after a restart, thus does not
// move the duty; a promotion due at that moment would have to wait for the holder's grace period.
std::string choosePromoter(const Takeover &State, const std::string &Self,
                           const std::string &FirstInOrder, TimePoint Now,
                           const TakeoverSettings &Settings);

// Returns when the grace period of another holder ends and this host may take the duty.
TimePoint findGraceEnd(const Takeover &State, const TakeoverSettings &Settings);

// Whether this host may take the duty, as read from the store. Concurrent attempts would resume the
// replicas that the other has suspended, so another holder's attempt gets time to end. Also records
// the token of another holder that the store shows. Incarnation: the newest one known of the
// holder; an attempt ends with the process that ran it.
bool mayTakeDuty(Takeover &State, const PromotionDuty &Stored, const std::string &Self,
                 uint64_t Incarnation, TimePoint Now, const TakeoverSettings &Settings);

// Whether an instance that gives no answer has ended for good: it was leaving when its entry went,
// and its address has refused since, or it has been off the list for m_RejoinTimeout. An entry
// alone may have expired.
bool hasEnded(const LineInstance &Instance, TimePoint Now, const TakeoverSettings &Settings);

// Whether all of these instances are known and have ended.
bool haveEnded(const LineGroup &Group, const std::set<std::string> &Ids, TimePoint Now,
               const TakeoverSettings &Settings);

// Returns the position that counts for the choice of a candidate. An instance that has received
// nothing shows number 0 of the newest term, which is no position of a log.
Position heldPosition(const LineStatus &Status);

// Answers of the replicas that were ordered to stop receiving.
struct SuspendResponses {
  std::map<std::string, LineStatus> m_Replicas; // by id; these receive nothing more
  std::set<std::string> m_MissingReplicas;      // gave no answer
};

// Returns the replica that holds every acknowledged commit; empty if none is certain to.
// A missing replica is ignored if it has ended, and the candidate holds a position confirmed after
// that: the candidate then holds all earlier commits. Before, it may only be cut off and rejoin the
// primary at any time. Of equally long logs, that of an open order is preferred: then its late
// execution is harmless. A replica in an evacuated data centre is not chosen unless its order is
// open; if its log is longer than the candidate's, it counts as missing. So does a recorded replica
// that holds nothing: its earlier life may have held what no other replica does.
std::string chooseFailoverCandidate(const LineGroup &Group, const SuspendResponses &Responses,
                                    const std::set<std::string> &OpenOrders, TimePoint Now,
                                    const TakeoverSettings &Settings);

// Returns a position at or before which every commit is that was acknowledged before the instances
// were asked for these statuses; nothing if none is certain. An acknowledged commit is held by a
// replica, so the longest log of all replicas holds it. Serves reads while the primary is lost and
// no other one can be promoted yet.
std::optional<Position> findReplicatedPosition(const LineGroup &Group,
                                               const std::map<std::string, LineStatus> &Statuses,
                                               TimePoint Now, const TakeoverSettings &Settings);

// Returns the instance that reports to be primary in the newest term of all; empty if there is
// none. A former primary may still report that role, in an older term.
std::string findReportedPrimary(const std::map<std::string, LineStatus> &Statuses);

// Returns the listed replica with the longest log that is not leaving, in no evacuated data centre;
// empty if there is none. The
// instance of an open order goes before all others, since it may lead at any moment; as long as one
// gives no answer and may come back, there is no candidate.
std::string chooseSwitchoverCandidate(const LineGroup &Group,
                                      const std::map<std::string, LineStatus> &Replicas,
                                      const std::set<std::string> &OpenOrders, TimePoint Now,
                                      const TakeoverSettings &Settings);

} // namespace quetzalpaddle
