// What a host knows of the groups' logs, and which instance may serve a read. Without sockets,
// threads or clocks.
//
// A proof says: every commit acknowledged before m_SentAt is at or before m_Position. It comes from
// a statement that only a primary can have run (an acknowledged write, an accepted plain begin),
// and m_SentAt is when that statement was sent, on this host's clock. A read that accepts data S
// old and arrived at T is correct at any instance whose log holds the position of a proof not older
// than T - S.
#pragma once

#include "answer.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzalpaddle {

struct ConfirmedPosition {
  Position m_Position;
  TimePoint m_SentAt{};
};

struct PositionHistory {
  std::deque<ConfirmedPosition> m_ConfirmedPositions; // by time, oldest first
};

// Adds a proof. Those closer together than the resolution or older than the horizon are left out.
void addConfirmedPosition(PositionHistory &History, const ConfirmedPosition &New, TimePoint Now);

// The lowest position that proves data not older than Since; nothing if no proof is as fresh.
std::optional<Position> positionSince(const PositionHistory &History, TimePoint Since);

// The newest proof; nothing if there is none.
std::optional<ConfirmedPosition> newestConfirmedPosition(const PositionHistory &History);

// One database instance, as the platform lists it and as this host sees it.
struct LineInstance {
  std::string m_Id;
  std::string m_Group;
  std::string m_Address; // IP:port
  std::string m_DataCentre;
  uint32_t m_Slots = 1;           // statements at a time
  bool m_Leaving = false;         // gets no new work
  TimePoint m_AcceptsWorkUntil{}; // if leaving: a primary still gets work until then
  bool m_ReportsPrimary = false;  // how it sees itself
  bool m_IsListed = true;         // in the platform's list
  TimePoint m_UnlistedSince{};    // if not listed
  uint64_t m_StartTimeMs = 0;     // its incarnation, ms of the time of day
  // Observations of this host:
  Position m_AppliedPosition; // position of its last answer
  TimePoint m_AppliedAt{};
  uint32_t m_OutstandingCount = 0;     // statements sent by this host and not answered
  Duration m_ExpectedWait{};           // expected wait for a slot, by its dispatcher
  TimePoint m_BackoffUntil{};          // after a failure
  Duration m_Backoff{};                // grows while failures repeat
  bool m_IsUnreachable = false;        // by its dispatcher
  TimePoint m_UnreachableReportedAt{}; // last such report
};

struct LineGroup {
  std::string m_Name;
  uint32_t m_SyncReplicas = 0;   // replicas that hold an acknowledged commit
  uint32_t m_MaxConnections = 1; // that each instance accepts, from all hosts
  std::map<std::string, LineInstance> m_Instances;
  std::string m_Primary; // as believed; empty = unknown
  TimePoint m_PrimarySince{};
  uint64_t m_Generation = 0; // of the promotion that made it primary; 0 = not known
  uint64_t m_PendingGeneration =
      0; // generation of a promotion in progress that stops writes; 0 = none
  TimePoint m_PendingGenerationAt{};
  PositionHistory m_History;
  bool m_WritesStalled = false;
  TimePoint m_WritesStalledAt{};
};

// Takes over what an instance says of itself. A change to primary is newer than what was believed.
void noteRole(LineGroup &Group, const std::string &Instance, bool ReportsPrimary, TimePoint Now);

// Takes over news of a promotion. Older generations change nothing.
void notePromotion(LineGroup &Group, const std::string &Primary, uint64_t Generation,
                   TimePoint Now);

// The instance refused a statement that only a primary runs.
void noteNotPrimary(LineGroup &Group, const std::string &Instance, TimePoint Now);

// Failures and successes of statements sent to an instance.
void noteFailure(LineInstance &Instance, TimePoint Now);
void noteSuccess(LineInstance &Instance, Position Applied, TimePoint Now);
// The instance's log lacked a position.
void noteLagging(LineInstance &Instance, TimePoint Now);

struct ReadRequirements {
  std::string m_DataCentre;              // of this host
  std::optional<Position> m_MinPosition; // position the log has to hold; nothing: primary only
  const std::set<std::string> *m_TriedInstances = nullptr;
};

// Chooses the instance for a read by expected wait; empty if none can serve it.
std::string chooseReadInstance(const LineGroup &Group, const ReadRequirements &Requirements,
                               TimePoint Now);

// Whether it is worth waiting for a primary: a promotion is in progress, or the last proof of a
// lead is younger than an undisturbed recovery takes.
bool expectsPrimary(const LineGroup &Group, TimePoint Now);

// Whether writes may be sent to the believed primary now.
bool hasPrimary(const LineGroup &Group, TimePoint Now);

} // namespace quetzalpaddle
