// Choice of an instance for a statement, and its explanation to operators by the same functions.
// Free of I/O, threads and clock reads.
#pragma once

#include "balance.h"
#include "line_config.h"
#include "usage.h"

#include <set>
#include <string>
#include <vector>

namespace quetzalpaddle {

// Why an instance cannot get a statement now.
enum class Exclusion {
  None,
  NotListed,
  Leaving,
  Evacuated,
  AlreadyTried,    // by an earlier attempt of the statement
  BackOff,         // after failures, or because its log lagged
  PositionUnknown, // no confirmed position shows what a replica has to hold
  PositionTooOld,  // the newest confirmed one is older than the staleness that the route accepts
  NotPrimary,
  PromotionPending,
  Unknown, // not in the list of instances
};

// Returns the name for output, such as "not_listed".
std::string_view exclusionName(Exclusion Excluded);

// Returns why a read may not choose an instance of the group.
Exclusion readExclusion(const LineGroup &Group, const LineInstance &Candidate,
                        const LineReadRequirements &Requirements, TimePoint Now);

// Returns why statements that need the primary may not be sent to it now.
Exclusion primaryExclusion(const LineGroup &Group, TimePoint Now);

// Returns what the choice among the instances that a read may choose takes into account.
BalanceCandidate makeBalanceCandidate(const LineGroup &Group, const LineInstance &Candidate,
                                      const LineReadRequirements &Requirements);

// The instance chosen for an attempt, and conditions that it has to meet.
struct Target {
  std::string m_Instance;
  bool m_HasToConfirmPrimary = false;    // refuses the statement unless it is primary
  std::optional<Position> m_MinPosition; // position that its log has to contain
};

// What the choice of an instance for one attempt depends on.
struct TargetQuery {
  const LineRoute *m_Route = nullptr;
  bool m_IsPrimaryOnly = false;
  bool m_IsWrite = false;
  TimePoint m_ArrivedAt{};                  // of the statement, or of its transaction's begin
  bool m_HasCommitted = false;              // the session, to the group
  std::optional<Position> m_CommitPosition; // of its last commit there, if known
  std::string m_DataCentre;                 // of this host
  const std::set<std::string> *m_TriedInstances = nullptr; // may be null
  double m_Draw = 0;                                       // random number in [0, 1)
};

bool needsPrimary(const LineRoute &Route, bool IsWrite, bool IsReadWriteTransaction);

// Returns nothing if no instance qualifies.
std::optional<Target> chooseTarget(const LineGroup &Group, const TargetQuery &Query, TimePoint Now);

struct CandidateExplanation {
  std::string m_Instance;
  std::string m_DataCentre;
  bool m_IsPrimary = false;
  double m_Share = 0; // of such statements that are sent there
  Exclusion m_Exclusion = Exclusion::None;
  Duration m_BackOff{}; // remaining
  Duration m_ReportedWait{};
  std::optional<Duration> m_ReportAge; // nothing: no report yet
  Duration m_OwnWait{};
  Duration m_Penalty{}; // 0 if the choice does not depend on it
};

// What becomes of a statement for which no instance qualifies.
enum class NoTarget { None, RefusedEvacuated, WaitsForPrimary, RefusedNoPrimary };
std::string_view noTargetName(NoTarget Outcome);

struct TargetExplanation {
  std::optional<Position> m_MinPosition; // that a replica's log has to hold
  std::optional<Target> m_Target;        // most frequent one
  NoTarget m_NoTarget = NoTarget::None;
  std::vector<CandidateExplanation> m_Candidates;
};

// Explains chooseTarget() for all draws; m_Draw of the query has no effect.
TargetExplanation explainTarget(const LineGroup &Group, TargetQuery Query, TimePoint Now);

// Returns whether one more request of the customer would be admitted, and takes no token.
bool wouldAdmitRequest(const UsageState &State, const std::string &Customer, TimePoint Now);

} // namespace quetzalpaddle
