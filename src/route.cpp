// Group views and the choice of an instance for a read or write.
//
// A replica is chosen by its estimated position: the last known one plus its apply rate times the
// time passed. The instance checks the position itself, so a wrong estimate costs a round trip and
// never returns old data. The estimate is therefore optimistic: it accepts some standard deviations
// of the entries expected, and a short wait at the replica. A pessimistic estimate would send reads
// to the primary that a replica can serve, which is the more expensive error.
#include "quetzalpaddle.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace {

// Time constant of the smoothed apply rate: several probe intervals, so that one probe that falls
// between two batches does not dominate.
constexpr std::chrono::duration<double> RateWindow = std::chrono::milliseconds(300);

// A replica that has not been heard of for longer is not assumed to go on applying.
constexpr Millis MaxExtrapolation{1000};

// An instance answers from one probe round to the next; older reports say little about data age.
constexpr Millis FreshFor{2000};

// Standard deviations of the entries expected that the first try relies on. With one, route_test
// shows 98.7% of the reads of an oracle at replicas, with two 99.3%. After a replica was behind,
// the next one has to be expected to have the position.
constexpr double FirstSpread = 2;

// Tries after which a request no longer moves on at once, so that two hosts that point at each
// other cannot keep it busy until its deadline.
constexpr uint32_t MaxTries = 8;

double toSeconds(Duration D) { return std::chrono::duration<double>(D).count(); }

bool hasFailed(const GroupView &View, const std::string &Id, TimePoint Now,
               const RouteSettings &Settings) {
  auto Known = View.m_Instances.find(Id);
  if (Known == View.m_Instances.end())
    return false;
  const InstanceView &V = Known->second;
  return V.m_LastFailedAt != TimePoint{} && V.m_LastFailedAt >= V.m_LastSeenAt &&
         Now - V.m_LastFailedAt < Settings.m_FailureCooldown;
}

void updateApplied(InstanceView &Old, const InstanceView &Seen) {
  if (Seen.m_AppliedAt <= Old.m_AppliedAt)
    return;
  if (Old.m_AppliedAt != TimePoint{} && Seen.m_AppliedPosition >= Old.m_AppliedPosition) {
    // Log indexes go on across terms, so that the rate is defined across a change of primary.
    double Passed = toSeconds(Seen.m_AppliedAt - Old.m_AppliedAt);
    double Sample = static_cast<double>(
                        Seen.m_AppliedPosition.m_Index -
                        std::min(Old.m_AppliedPosition.m_Index, Seen.m_AppliedPosition.m_Index)) /
                    Passed;
    double Weight = 1 - std::exp(-Passed / RateWindow.count());
    Old.m_ApplyRate += Weight * (Sample - Old.m_ApplyRate);
  }
  if (Seen.m_AppliedPosition >= Old.m_AppliedPosition) {
    Old.m_AppliedPosition = Seen.m_AppliedPosition;
    Old.m_AppliedAt = Seen.m_AppliedAt;
  }
}

// How well a replica serves a read; lower is better.
enum class Fit { Has, Expected, Soon, Unfit };

Fit judgePosition(const InstanceView &V, Position Need, TimePoint Now, double Spread,
                  const RouteSettings &Settings) {
  if (V.m_AppliedPosition >= Need)
    return Fit::Has;
  if (V.m_AppliedAt == TimePoint{})
    return Fit::Unfit;
  double Missing =
      static_cast<double>(Need.m_Index) - static_cast<double>(V.m_AppliedPosition.m_Index);
  Duration Passed = std::min<Duration>(Now - V.m_AppliedAt, MaxExtrapolation);
  double Expected = V.m_ApplyRate * toSeconds(Passed);
  if (Expected >= Missing)
    return Fit::Expected;
  double Later = V.m_ApplyRate * toSeconds(Passed + Settings.m_MaxReplicaWait);
  return Later + Spread * std::sqrt(Later) >= Missing ? Fit::Soon : Fit::Unfit;
}

Fit judgeReplica(const InstanceView &V, const ReadRequirement &Need, TimePoint Now, double Spread,
                 const RouteSettings &Settings) {
  if (V.m_LastSeenAt == TimePoint{})
    return Fit::Unfit;
  if (Need.m_Mode == ReadMode::Age) {
    // The age at the replica stays about the same while it keeps pulling, so the time since the
    // report is added only when the report is old.
    Duration Since = Now - V.m_LastSeenAt;
    Duration Age = Since > FreshFor ? V.m_DataAge + Since : V.m_DataAge;
    if (Age > Need.m_MaxAge)
      return Fit::Unfit;
  }
  return judgePosition(V, Need.m_Position, Now, Spread, Settings);
}

const Instance *findPrimary(const Group &G, const GroupView &View) {
  auto At = std::ranges::find(G.m_Instances, View.m_Primary, &Instance::m_Id);
  return View.m_Primary.empty() || At == G.m_Instances.end() ? nullptr : &*At;
}

} // namespace

void mergeView(GroupView &View, const std::string &Instance, const InstanceView &Seen) {
  InstanceView &Old = View.m_Instances[Instance];
  Old.m_LastFailedAt = std::max(Old.m_LastFailedAt, Seen.m_LastFailedAt);
  if (Seen.m_LastSeenAt == TimePoint{})
    return;
  updateApplied(Old, Seen);
  if (Seen.m_Term < Old.m_Term ||
      (Seen.m_Term == Old.m_Term && Seen.m_LastSeenAt < Old.m_LastSeenAt))
    return;
  Old.m_Term = Seen.m_Term;
  Old.m_IsPrimary = Seen.m_IsPrimary;
  Old.m_LastPosition = Seen.m_LastPosition;
  Old.m_ContactAge = Seen.m_ContactAge;
  Old.m_DataAge = Seen.m_DataAge;
  Old.m_LastSeenAt = std::max(Old.m_LastSeenAt, Seen.m_LastSeenAt);
  if (Seen.m_Term > View.m_Term) {
    View.m_Term = Seen.m_Term;
    View.m_Primary.clear();
  }
  if (Seen.m_Term == View.m_Term && Seen.m_IsPrimary)
    View.m_Primary = Instance;
  else if (Seen.m_Term == View.m_Term && View.m_Primary == Instance)
    View.m_Primary.clear(); // restarted: no longer the primary of its term
}

RouteChoice chooseForRead(const Group &G, const GroupView &View, const std::string &DataCentre,
                          const ReadRequirement &Need, const std::set<std::string> &Tried,
                          TimePoint Now, Random &Rng, const RouteSettings &Settings) {
  if (Need.m_Mode == ReadMode::Primary)
    return chooseForWrite(G, View, Now);

  double Spread = Tried.empty() ? FirstSpread : 0;
  const Instance *Best = nullptr;
  const Instance *Fallback = nullptr; // least far behind, for when there is no primary
  std::pair<Fit, bool> BestRank{Fit::Unfit, false};
  Position FallbackApplied;
  uint32_t Equal = 0;
  bool Reachable = false;
  for (const Instance &I : G.m_Instances) {
    auto Known = View.m_Instances.find(I.m_Id);
    if (I.m_IsLeaving || I.m_Id == View.m_Primary || Tried.contains(I.m_Id) ||
        Known == View.m_Instances.end() || hasFailed(View, I.m_Id, Now, Settings))
      continue;
    const InstanceView &V = Known->second;
    Reachable = true;
    if (!Fallback || V.m_AppliedPosition > FallbackApplied) {
      Fallback = &I;
      FallbackApplied = V.m_AppliedPosition;
    }
    Fit How = judgeReplica(V, Need, Now, Spread, Settings);
    if (How == Fit::Unfit)
      continue;
    // A replica that is expected to have the position ranks with one that is known to have it;
    // otherwise the known one would take all the load.
    std::pair<Fit, bool> Rank{How == Fit::Expected ? Fit::Has : How, I.m_DataCentre != DataCentre};
    if (Best && Rank > BestRank)
      continue;
    Equal = Best && Rank == BestRank ? Equal + 1 : 1;
    if (Equal > 1 && std::uniform_int_distribution<uint32_t>(1, Equal)(Rng) != 1)
      continue;
    Best = &I;
    BestRank = Rank;
  }
  auto UseReplica = [&](const Instance &I, std::string Why) {
    bool Has = View.m_Instances.at(I.m_Id).m_AppliedPosition >= Need.m_Position;
    return RouteChoice{.m_Instance = I.m_Id,
                       .m_PositionWait = Has ? Duration{} : Duration{Settings.m_MaxReplicaWait},
                       .m_ChoiceReason = std::move(Why)};
  };
  if (Best)
    return UseReplica(*Best, BestRank.first == Fit::Soon ? "replica, soon" : "replica");

  // The position in the request is checked at the primary too, so that m_OnPrimary is not needed.
  RouteChoice Choice = chooseForWrite(G, View, Now);
  if (!Choice.m_Instance.empty() && !Tried.contains(Choice.m_Instance) &&
      !hasFailed(View, Choice.m_Instance, Now, Settings)) {
    Choice.m_RequiresPrimary = false;
    Choice.m_PositionWait = Settings.m_MaxReplicaWait;
    Choice.m_ChoiceReason = "no replica has the data";
    return Choice;
  }
  if (Fallback)
    return UseReplica(*Fallback, "no primary; replica furthest ahead");
  if (!Choice.m_Instance.empty() && !Tried.contains(Choice.m_Instance)) {
    Choice.m_RequiresPrimary = false; // it has just failed, but nothing else is left
    return Choice;
  }
  Reason Refusal = Reason::InstanceUnavailable;
  if (Reachable || !Tried.empty())
    Refusal = Reason::TooOld;
  return {.m_Instance = {},
          .m_ChoiceReason = "no instance is left to try",
          .m_RejectionReason = Refusal};
}

RouteChoice chooseForWrite(const Group &G, const GroupView &View, TimePoint /*Now*/) {
  const Instance *Primary = findPrimary(G, View);
  if (!Primary)
    return {.m_Instance = {},
            .m_RequiresPrimary = true,
            .m_ChoiceReason = "no primary known",
            .m_RejectionReason = Reason::NoPrimary};
  // A leaving primary serves until the planned promotion has replaced it; without an instance that
  // could replace it, it gets no new work.
  if (std::ranges::all_of(G.m_Instances, &Instance::m_IsLeaving))
    return {.m_Instance = {},
            .m_RequiresPrimary = true,
            .m_ChoiceReason = "all instances are leaving",
            .m_RejectionReason = Reason::InstanceLeaving};
  return {.m_Instance = Primary->m_Id, .m_RequiresPrimary = true, .m_ChoiceReason = "primary"};
}

NextStep decideNextStep(const RequestProgress &Progress, AnswerClass Class, Reason Why,
                        TimePoint Now) {
  if (Class == AnswerClass::Done || Now >= Progress.m_Deadline)
    return NextStep::Answer;
  if (Class == AnswerClass::Unknown) {
    if (Progress.m_IsWrite)
      return NextStep::Resolve;
    // A statement of a transaction cannot move: its transaction ended with its connection.
    return Progress.m_IsInTransaction || Progress.m_TryCount >= MaxTries ? NextStep::Answer
                                                                         : NextStep::RetryElsewhere;
  }
  if (Progress.m_IsInTransaction)
    return NextStep::Answer;
  bool Again = Progress.m_TryCount < MaxTries;
  switch (Why) {
  case Reason::NotPrimary:
  case Reason::NoPrimary:
  case Reason::NoMajority:
  case Reason::InstanceLeaving:
    if (Progress.m_IsWrite || Why == Reason::NoPrimary)
      return NextStep::WaitForPrimary;
    return Again ? NextStep::RetryElsewhere : NextStep::WaitForPrimary;
  case Reason::InstanceUnavailable:
  case Reason::HostUnavailable:
  case Reason::Draining:
    if (Again)
      return NextStep::RetryElsewhere;
    return NextStep::WaitForPrimary;
  case Reason::ReplicaBehind:
  case Reason::TooOld:
    return Again && !Progress.m_IsWrite ? NextStep::RetryElsewhere : NextStep::Answer;
  default:
    return NextStep::Answer;
  }
}

} // namespace quetzalpaddle
