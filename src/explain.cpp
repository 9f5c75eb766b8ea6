// Choice of an instance for a statement and its explanation.
#include "explain.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

// Draws for which a choice is repeated to find the shares of the instances. For groups of up to
// seven instances, a share is off by less than a hundredth.
constexpr int DrawCount = 1000;

// Returns the position that a replica's log has to hold; nothing if only the primary can serve.
std::optional<Position> requiredPosition(const LineGroup &Group, const TargetQuery &Query) {
  const LineRoute &Route = *Query.m_Route;
  auto MinPosition = requiredPositionSince(Group, Query.m_ArrivedAt - Route.m_MaxStaleness);
  bool IncludesOwnCommits = Route.m_Kind == RouteKind::ReadYourWrites && Query.m_HasCommitted;
  if (IncludesOwnCommits && !Query.m_CommitPosition)
    return std::nullopt; // only the primary is certain to have the commit
  if (MinPosition && IncludesOwnCommits)
    MinPosition = std::max(*MinPosition, *Query.m_CommitPosition);
  return MinPosition;
}

LineReadRequirements makeRequirements(const LineGroup &Group, const TargetQuery &Query) {
  return {Query.m_DataCentre, requiredPosition(Group, Query), Query.m_TriedInstances, Query.m_Draw};
}

} // namespace

std::string_view exclusionName(Exclusion Excluded) {
  switch (Excluded) {
  case Exclusion::None:
    return "none";
  case Exclusion::NotListed:
    return "not_listed";
  case Exclusion::Leaving:
    return "leaving";
  case Exclusion::Evacuated:
    return "evacuated";
  case Exclusion::AlreadyTried:
    return "already_tried";
  case Exclusion::BackOff:
    return "back_off";
  case Exclusion::PositionUnknown:
    return "position_unknown";
  case Exclusion::PositionTooOld:
    return "position_too_old";
  case Exclusion::NotPrimary:
    return "not_primary";
  case Exclusion::PromotionPending:
    return "promotion_pending";
  case Exclusion::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view noTargetName(NoTarget Outcome) {
  switch (Outcome) {
  case NoTarget::None:
    return "none";
  case NoTarget::RefusedEvacuated:
    return "refused_evacuated";
  case NoTarget::WaitsForPrimary:
    return "waits_for_primary";
  case NoTarget::RefusedNoPrimary:
    return "refused_no_primary";
  }
  return "unknown";
}

bool needsPrimary(const LineRoute &Route, bool IsWrite, bool IsReadWriteTransaction) {
  return IsWrite || IsReadWriteTransaction || Route.m_Kind == RouteKind::Primary;
}

std::optional<Target> chooseTarget(const LineGroup &Group, const TargetQuery &Query,
                                   TimePoint Now) {
  if (!Query.m_IsPrimaryOnly) {
    LineReadRequirements Requirements = makeRequirements(Group, Query);
    std::string ReadInstance =
        Requirements.m_MinPosition ? chooseReadInstance(Group, Requirements, Now) : std::string();
    if (!ReadInstance.empty())
      return Target{ReadInstance, false, Requirements.m_MinPosition};
  }
  if (!hasPrimary(Group, Now))
    return std::nullopt;
  return Target{Group.m_Primary, !Query.m_IsWrite, std::nullopt};
}

TargetExplanation explainTarget(const LineGroup &Group, TargetQuery Query, TimePoint Now) {
  TargetExplanation Result;
  std::map<std::string, int> Counts;
  for (int Index = 0; Index < DrawCount; ++Index) {
    Query.m_Draw = (Index + 0.5) / DrawCount;
    if (auto Chosen = chooseTarget(Group, Query, Now);
        Chosen && ++Counts[Chosen->m_Instance] >
                      Counts[Result.m_Target ? Result.m_Target->m_Instance : std::string()])
      Result.m_Target = Chosen;
  }
  LineReadRequirements Requirements = makeRequirements(Group, Query);
  if (!Query.m_IsPrimaryOnly)
    Result.m_MinPosition = Requirements.m_MinPosition;
  // Without an instance for the read, it goes to the primary on other conditions.
  bool IsBalanced = Result.m_Target && !Query.m_IsPrimaryOnly && Result.m_Target->m_MinPosition;
  if (!Result.m_Target)
    Result.m_NoTarget = isEvacuated(Group, Query.m_IsPrimaryOnly) ? NoTarget::RefusedEvacuated
                        : expectsPrimary(Group, Now)              ? NoTarget::WaitsForPrimary
                                                                  : NoTarget::RefusedNoPrimary;
  for (const auto &[Id, Instance] : Group.m_Instances) {
    CandidateExplanation Candidate;
    Candidate.m_Instance = Id;
    Candidate.m_DataCentre = Instance.m_DataCentre;
    Candidate.m_IsPrimary = Id == Group.m_Primary;
    Candidate.m_Share = static_cast<double>(Counts[Id]) / DrawCount;
    if (Candidate.m_IsPrimary && !IsBalanced)
      Candidate.m_Exclusion = primaryExclusion(Group, Now);
    else if (Query.m_IsPrimaryOnly)
      Candidate.m_Exclusion = Exclusion::NotPrimary;
    else
      Candidate.m_Exclusion = readExclusion(Group, Instance, Requirements, Now);
    Candidate.m_BackOff = std::max(Instance.m_BackoffUntil - Now, Duration::zero());
    BalanceCandidate Balance = makeBalanceCandidate(Group, Instance, Requirements);
    Candidate.m_ReportedWait = Balance.m_ReportedWait;
    Candidate.m_OwnWait = Balance.m_OwnWait;
    if (IsBalanced)
      Candidate.m_Penalty = Balance.m_Penalty;
    if (Balance.m_ReportedAt != TimePoint{})
      Candidate.m_ReportAge = Now - Balance.m_ReportedAt;
    Result.m_Candidates.push_back(std::move(Candidate));
  }
  return Result;
}

bool wouldAdmitRequest(const UsageState &State, const std::string &Customer, TimePoint Now) {
  UsageState Copy;
  Copy.m_IsIsolated = State.m_IsIsolated;
  Copy.m_IsolatedUntil = State.m_IsolatedUntil;
  if (auto It = State.m_Customers.find(Customer); It != State.m_Customers.end())
    Copy.m_Customers.insert(*It);
  noteCustomerArrival(Copy, Customer, Now);
  return admitCustomerRequest(Copy, Customer, Now);
}

} // namespace quetzalpaddle
