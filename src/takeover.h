// Decides when a group needs another primary, and which instance. Without sockets, threads or
// clocks.
//
// A commit is acknowledged when the primary and at least m_SyncReplicas replicas hold it. Before a
// promotion, acknowledgements that the candidate would not see are made impossible: either every
// replica stops receiving and the one with the longest log is promoted, or, while the primary is
// well, every replica but the candidate stops receiving, so that each acknowledged commit passes
// through the candidate.
#pragma once

#include "line_config.h"

namespace quetzalpaddle {

struct TakeoverSettings {
  Millis m_SuspectAfter{450};       // without any proof of a lead, from this or another host
  Millis m_ProbeTimeout{350};       // of a status statement
  Millis m_UnreachableAfter{500};   // probes have to fail for this long
  Millis m_PromotionTimeout{3000};  // for the instance to lead after the order
  Millis m_OrderRetryInterval{700}; // an order without an answer is repeated
  Millis m_RetryDelay{300};         // after a failed attempt
  Millis m_ResumeInterval{1000};    // while writes stall
  Millis m_AnnouncementTimeout{
      1000};                        // a holder that has not told its token for this long is silent
  Millis m_HolderGracePeriod{2500}; // the duty is left to its holder until it was unchanged this
                                    // long: the longest attempt whose order is answered
};

// Progress of one group at the host that promotes in it.
struct Takeover {
  PromotionDuty m_Duty;           // as this host holds it; token 0 = not held
  bool m_IsRunning = false;       // an attempt is in progress
  TimePoint m_UnreachableSince{}; // probes of the primary fail since; zero if not
  TimePoint m_NextAttemptAt{};
  TimePoint m_ResumedAt{};
  TimePoint m_DutyTakenAt{};      // when this host last raised the token
  uint64_t m_SeenToken = 0;       // of another holder, in the store or as told by it
  std::string m_AnnouncedHolder;  // that holder, if it told its token itself
  TimePoint m_AnnouncedAt{};      // last
  TimePoint m_TokenFirstSeenAt{}; // when that token was first seen
  TimePoint m_ProbedAt{};
  std::set<std::string> m_SuspendedReplicas; // replicas that this host told to stop receiving
  std::string m_Reason;                      // for the state dump
};

enum class TakeoverAction {
  None,
  Probe,      // in doubt: ask the primary for its status
  Resume,     // writes stall: replicas may have been left suspended by an attempt that broke off
  Switchover, // the primary is well but is to go: hand over
  Failover,   // the primary is lost
};

// Decides on a group from what is known of it. PrimaryMissing: how long probes have failed.
TakeoverAction assessPrimary(const LineGroup &Group, const Takeover &State, TimePoint Now,
                             const TakeoverSettings &Settings);

// A holder tells the other hosts its token. They know then how long it has been unchanged when the
// holder falls silent, and need not wait for that.
void noteAnnouncedToken(Takeover &State, const std::string &Holder, uint64_t Token, TimePoint Now);

// The host that promotes: the holder of the duty for as long as it tells that it is, else the first
// host in rendezvous order. The duty thus does not move when the order changes, as after a restart:
// a promotion due just then would have to wait for the grace of the holder.
std::string choosePromoter(const Takeover &State, const std::string &Self,
                           const std::string &FirstInOrder, TimePoint Now,
                           const TakeoverSettings &Settings);

// When a duty that was left to its holder may be taken.
TimePoint findGraceEnd(const Takeover &State, const TakeoverSettings &Settings);

// Whether this host may take the duty, as the store has it. Two attempts at a time would undo each
// other's fence: another holder's attempt gets time to end.
// Incarnation: the newest one known of the holder; an attempt ends with the process that ran it.
bool mayTakeDuty(Takeover &State, const PromotionDuty &Stored, const std::string &Self,
                 uint64_t Incarnation, TimePoint Now, const TakeoverSettings &Settings);

// The answers of the instances after the replicas stopped receiving.
struct SuspendResponses {
  std::map<std::string, LineStatus> m_Replicas; // that answered and receive nothing more
  std::set<std::string> m_MissingReplicas;      // replicas that did not answer
};

// Returns the replica that holds every acknowledged commit, empty if none is known to.
// Absent replicas are ignored if they left before the newest proof that the candidate has caught up
// with, since later commits cannot rest on them.
std::string chooseFailoverCandidate(const LineGroup &Group, const SuspendResponses &Responses);

// Returns the replica to hand over to: in service, with the longest log; empty if none.
std::string chooseSwitchoverCandidate(const LineGroup &Group,
                                      const std::map<std::string, LineStatus> &Replicas);

} // namespace quetzalpaddle
