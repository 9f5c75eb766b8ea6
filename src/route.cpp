// State of the groups and choice of an instance for a read or write.
//
// A replica is chosen by its estimated position: the last known position plus the apply rate times
// the elapsed time. The instance checks the position itself, so that a wrong estimate costs a round
// trip but never returns stale data. The estimate is therefore optimistic: it adds some standard
// deviations to the expected number of entries and allows for a short wait at the replica. A
// pessimistic estimate would send reads to the primary that a replica can serve, which costs more.
#include "quetzalpaddle.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace {

// Time constant of the smoothed apply rate. Several probe intervals long, so that a single probe
// between two batches does not dominate.
constexpr std::chrono::duration<double> ApplyRateTimeConstant = std::chrono::milliseconds(300);

// A replica is assumed to continue applying entries for at most this time after its last report.
constexpr Millis MaxExtrapolation{1000};

// A report older than this is no longer representative of the replica's data age.
constexpr Millis MaxReportAge{2000};

// Standard deviations that the first try adds to the expected number of entries. Two send 99.3% of
// the reads that replicas can serve to replicas, one sends 98.7%. Later tries add none, because a
// replica has already been found behind.
constexpr double InitialDeviations = 2;

// Maximum number of immediate retries of a request, so that two hosts that refer to each other
// cannot forward it back and forth until its deadline.
constexpr uint32_t MaxTries = 8;

double toSeconds(Duration D) { return std::chrono::duration<double>(D).count(); }

bool hasFailedRecently(const GroupView &View, const std::string &Id, TimePoint Now,
                       const RouteSettings &Settings) {
  auto Known = View.m_Instances.find(Id);
  if (Known == View.m_Instances.end())
    return false;
  const InstanceView &Replica = Known->second;
  return Replica.m_LastFailedAt != TimePoint{} && Replica.m_LastFailedAt >= Replica.m_LastSeenAt &&
         Now - Replica.m_LastFailedAt < Settings.m_FailureCooldown;
}

void updateAppliedPosition(InstanceView &Current, const InstanceView &Report) {
  if (Report.m_AppliedAt <= Current.m_AppliedAt)
    return;
  if (Current.m_AppliedAt != TimePoint{} && Report.m_AppliedPosition >= Current.m_AppliedPosition) {
    // Log indexes continue across terms, so the rate is defined across a change of primary.
    double Elapsed = toSeconds(Report.m_AppliedAt - Current.m_AppliedAt);
    double Sample = static_cast<double>(Report.m_AppliedPosition.m_Index -
                                        std::min(Current.m_AppliedPosition.m_Index,
                                                 Report.m_AppliedPosition.m_Index)) /
                    Elapsed;
    double Weight = 1 - std::exp(-Elapsed / ApplyRateTimeConstant.count());
    Current.m_ApplyRate += Weight * (Sample - Current.m_ApplyRate);
  }
  if (Report.m_AppliedPosition >= Current.m_AppliedPosition) {
    Current.m_AppliedPosition = Report.m_AppliedPosition;
    Current.m_AppliedAt = Report.m_AppliedAt;
  }
}

// How well a replica can serve a read, best first. Confirmed: has reported the required position.
// Expected: estimated to have it. Imminent: estimated to have it after a short wait.
enum class Suitability { Confirmed, Expected, Imminent, Unsuitable };

Suitability assessPosition(const InstanceView &Replica, Position RequiredPosition, TimePoint Now,
                           double Deviations, const RouteSettings &Settings) {
  if (Replica.m_AppliedPosition >= RequiredPosition)
    return Suitability::Confirmed;
  if (Replica.m_AppliedAt == TimePoint{})
    return Suitability::Unsuitable;
  double MissingEntries = static_cast<double>(RequiredPosition.m_Index) -
                          static_cast<double>(Replica.m_AppliedPosition.m_Index);
  Duration Elapsed = std::min<Duration>(Now - Replica.m_AppliedAt, MaxExtrapolation);
  double ExpectedEntries = Replica.m_ApplyRate * toSeconds(Elapsed);
  if (ExpectedEntries >= MissingEntries)
    return Suitability::Expected;
  double EntriesAfterWait = Replica.m_ApplyRate * toSeconds(Elapsed + Settings.m_MaxReplicaWait);
  return EntriesAfterWait + Deviations * std::sqrt(EntriesAfterWait) >= MissingEntries
             ? Suitability::Imminent
             : Suitability::Unsuitable;
}

Suitability assessReplica(const InstanceView &Replica, const ReadRequirement &Requirement,
                          TimePoint Now, double Deviations, const RouteSettings &Settings) {
  if (Replica.m_LastSeenAt == TimePoint{})
    return Suitability::Unsuitable;
  if (Requirement.m_Mode == ReadMode::MaxAge) {
    // The data age of a replica stays about constant while it replicates, so the age of the report
    // is added only if the report is old.
    Duration ReportAge = Now - Replica.m_LastSeenAt;
    Duration Age = ReportAge > MaxReportAge ? Replica.m_DataAge + ReportAge : Replica.m_DataAge;
    if (Age > Requirement.m_MaxAge)
      return Suitability::Unsuitable;
  }
  return assessPosition(Replica, Requirement.m_Position, Now, Deviations, Settings);
}

const Instance *findPrimary(const Group &TargetGroup, const GroupView &View) {
  auto At = std::ranges::find(TargetGroup.m_Instances, View.m_Primary, &Instance::m_Id);
  return View.m_Primary.empty() || At == TargetGroup.m_Instances.end() ? nullptr : &*At;
}

} // namespace

void mergeView(GroupView &View, const std::string &Instance, const InstanceView &Report) {
  InstanceView &Current = View.m_Instances[Instance];
  Current.m_LastFailedAt = std::max(Current.m_LastFailedAt, Report.m_LastFailedAt);
  if (Report.m_LastSeenAt == TimePoint{})
    return;
  updateAppliedPosition(Current, Report);
  if (Report.m_Term < Current.m_Term ||
      (Report.m_Term == Current.m_Term && Report.m_LastSeenAt < Current.m_LastSeenAt))
    return;
  Current.m_Term = Report.m_Term;
  Current.m_IsPrimary = Report.m_IsPrimary;
  Current.m_LastPosition = Report.m_LastPosition;
  Current.m_ContactAge = Report.m_ContactAge;
  Current.m_DataAge = Report.m_DataAge;
  Current.m_LastSeenAt = std::max(Current.m_LastSeenAt, Report.m_LastSeenAt);
  if (Report.m_Term > View.m_Term) {
    View.m_Term = Report.m_Term;
    View.m_Primary.clear();
  }
  if (Report.m_Term == View.m_Term && Report.m_IsPrimary)
    View.m_Primary = Instance;
  else if (Report.m_Term == View.m_Term && View.m_Primary == Instance)
    View.m_Primary.clear(); // restarted and lost the role in its term
}

RouteChoice chooseForRead(const Group &TargetGroup, const GroupView &View,
                          const std::string &DataCentre, const ReadRequirement &Requirement,
                          const std::set<std::string> &TriedInstances, TimePoint Now, Random &Rng,
                          const RouteSettings &Settings) {
  if (Requirement.m_Mode == ReadMode::Primary)
    return chooseForWrite(TargetGroup, View, Now);

  double Deviations = TriedInstances.empty() ? InitialDeviations : 0;
  const Instance *Best = nullptr;
  const Instance *Fallback = nullptr; // most advanced replica, used if there is no primary
  std::pair<Suitability, bool> BestRank{Suitability::Unsuitable, false};
  Position FallbackPosition;
  uint32_t TieCount = 0;
  bool HasReachable = false;
  for (const Instance &I : TargetGroup.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (I.m_IsLeaving || I.m_Id == View.m_Primary || TriedInstances.contains(I.m_Id) ||
        Known == View.m_Instances.end() || hasFailedRecently(View, I.m_Id, Now, Settings))
      continue;
    const InstanceView &Replica = Known->second;
    HasReachable = true;
    if (!Fallback || Replica.m_AppliedPosition > FallbackPosition) {
      Fallback = &I;
      FallbackPosition = Replica.m_AppliedPosition;
    }
    Suitability ReplicaSuitability = assessReplica(Replica, Requirement, Now, Deviations, Settings);
    if (ReplicaSuitability == Suitability::Unsuitable)
      continue;
    // Replicas with expected and with confirmed positions rank equally; otherwise the confirmed
    // ones would receive the whole load.
    std::pair<Suitability, bool> Rank{
        ReplicaSuitability == Suitability::Expected ? Suitability::Confirmed : ReplicaSuitability,
        I.m_DataCentre != DataCentre};
    if (Best && Rank > BestRank)
      continue;
    TieCount = Best && Rank == BestRank ? TieCount + 1 : 1;
    if (TieCount > 1 && std::uniform_int_distribution<uint32_t>(1, TieCount)(Rng) != 1)
      continue;
    Best = &I;
    BestRank = Rank;
  }
  auto UseReplica = [&](const Instance &I, std::string ChoiceReason) {
    bool IsConfirmed = View.m_Instances.at(I.m_Id).m_AppliedPosition >= Requirement.m_Position;
    return RouteChoice{.m_Instance = I.m_Id,
                       .m_PositionWait =
                           IsConfirmed ? Duration{} : Duration{Settings.m_MaxReplicaWait},
                       .m_ChoiceReason = std::move(ChoiceReason)};
  };
  if (Best)
    return UseReplica(*Best, BestRank.first == Suitability::Imminent
                                 ? "replica, expected to reach the position soon"
                                 : "replica");

  // m_RequiresPrimary is not needed, because the primary checks the position as well.
  RouteChoice Choice = chooseForWrite(TargetGroup, View, Now);
  if (!Choice.m_Instance.empty() && !TriedInstances.contains(Choice.m_Instance) &&
      !hasFailedRecently(View, Choice.m_Instance, Now, Settings)) {
    Choice.m_RequiresPrimary = false;
    Choice.m_PositionWait = Settings.m_MaxReplicaWait;
    Choice.m_ChoiceReason = "no replica is expected to have the position";
    return Choice;
  }
  if (Fallback)
    return UseReplica(*Fallback, "no primary; most advanced replica");
  if (!Choice.m_Instance.empty() && !TriedInstances.contains(Choice.m_Instance)) {
    Choice.m_RequiresPrimary = false; // has failed recently, but there is no other instance
    return Choice;
  }
  Reason NoInstanceReason = Reason::InstanceUnavailable;
  if (HasReachable || !TriedInstances.empty())
    NoInstanceReason = Reason::TooOld;
  return {.m_Instance = {},
          .m_ChoiceReason = "no instance is left to try",
          .m_RefusalReason = NoInstanceReason};
}

RouteChoice chooseForWrite(const Group &TargetGroup, const GroupView &View, TimePoint /*Now*/) {
  const Instance *Primary = findPrimary(TargetGroup, View);
  if (!Primary)
    return {.m_Instance = {},
            .m_RequiresPrimary = true,
            .m_ChoiceReason = "no primary known",
            .m_RefusalReason = Reason::NoPrimary};
  // A leaving primary serves until a planned promotion has replaced it. If no instance can replace
  // it, it receives no new work.
  if (std::ranges::all_of(TargetGroup.m_Instances, &Instance::m_IsLeaving))
    return {.m_Instance = {},
            .m_RequiresPrimary = true,
            .m_ChoiceReason = "all instances are leaving",
            .m_RefusalReason = Reason::InstanceLeaving};
  return {.m_Instance = Primary->m_Id, .m_RequiresPrimary = true, .m_ChoiceReason = "primary"};
}

NextStep decideNextStep(const RequestProgress &Progress, AnswerClass Class, Reason AnswerReason,
                        TimePoint Now) {
  if (Class == AnswerClass::Done || Now >= Progress.m_Deadline)
    return NextStep::Answer;
  if (Class == AnswerClass::Unknown) {
    if (Progress.m_IsWrite)
      return NextStep::Resolve;
    // A statement of a transaction cannot be retried: the transaction ended with its connection.
    return Progress.m_IsInTransaction || Progress.m_TryCount >= MaxTries ? NextStep::Answer
                                                                         : NextStep::RetryElsewhere;
  }
  if (Progress.m_IsInTransaction)
    return NextStep::Answer;
  bool CanRetry = Progress.m_TryCount < MaxTries;
  switch (AnswerReason) {
  case Reason::NotPrimary:
  case Reason::NoPrimary:
  case Reason::NoMajority:
  case Reason::InstanceLeaving:
    if (Progress.m_IsWrite || AnswerReason == Reason::NoPrimary)
      return NextStep::WaitForPrimary;
    return CanRetry ? NextStep::RetryElsewhere : NextStep::WaitForPrimary;
  case Reason::InstanceUnavailable:
  case Reason::HostUnavailable:
  case Reason::Draining:
    if (CanRetry)
      return NextStep::RetryElsewhere;
    return NextStep::WaitForPrimary;
  case Reason::ReplicaBehind:
  case Reason::TooOld:
    return CanRetry && !Progress.m_IsWrite ? NextStep::RetryElsewhere : NextStep::Answer;
  default:
    return NextStep::Answer;
  }
}

} // namespace quetzalpaddle
