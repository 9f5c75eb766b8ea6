// Measures the share of reads that replicas serve, among reads that accept a replica by session
// position or maximum age.
//
// Sessions read and write at random hosts, once in 2 s on average; one operation in ten is a write.
// Half of the reads state a maximum age of 0.5 to 10 s. The position of a session is the last one
// that it wrote or read, as in its token: a read at the primary raises it to the end of the log.
// The oracle knows every position at the time of the read and keeps a token of its own for the same
// requests.
#include "policy_bench.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle::bench {

namespace {

constexpr size_t SessionCount = 400;
constexpr double MeanOperationInterval = 2; // seconds, per session
constexpr double WriteShare = 0.1;
constexpr double OtherWritesPerSecond = 100;   // by callers without a session
constexpr double ProbeInterval = 0.05;         // seconds
constexpr double ExchangeInterval = 0.2;       // seconds
constexpr double SecondReplicaLagFactor = 1.2; // of the other replica, relative to the first

struct ReadCounts {
  double m_ReadCount = 0;
  double m_ReplicaCount = 0;
  double m_OracleCount = 0;         // reads that the oracle sends to a replica
  double m_PossibleCount = 0;       // reads that a replica could serve, given the same token
  double m_ServedPossibleCount = 0; // of these, reads that a replica served
  double m_BehindCount = 0;         // attempts at a replica that was behind
};

uint64_t countWritesUntil(const std::vector<double> &Writes, double Time) {
  return static_cast<uint64_t>(std::ranges::upper_bound(Writes, Time) - Writes.begin());
}

struct ReadSim {
  std::vector<double> m_WriteTimes;          // in seconds, sorted
  std::array<double, 3> m_ReplicationLags{}; // by instance, in seconds
  Group m_Group;
  std::vector<GroupView> m_Views;                       // of each host
  std::vector<std::array<double, 3>> m_LastReportTimes; // by host and instance, in seconds
};

// Returns the number of writes that the instance has applied at Time.
uint64_t countApplied(const ReadSim &Sim, size_t Instance, double Time) {
  return countWritesUntil(Sim.m_WriteTimes, Time - Sim.m_ReplicationLags[Instance]);
}

TimePoint timeAt(double Time) { return StartTime + toDuration(Seconds(Time)); }

// Updates the views of a host. The dispatcher of an instance probes it every 50 ms; other hosts
// learn its state from the exchanges. Host N dispatches to instance N.
void updateViews(ReadSim &Sim, size_t Host, double Now, double OneWay) {
  for (size_t InstanceIndex = 0; InstanceIndex < 3; ++InstanceIndex) {
    double Interval = InstanceIndex == Host ? ProbeInterval : ExchangeInterval;
    double Phase = 0.013 * static_cast<double>(Host + InstanceIndex);
    double ReceivedAt = std::floor((Now - Phase) / Interval) * Interval + Phase;
    double ProbedAt = std::floor((ReceivedAt - OneWay) / ProbeInterval) * ProbeInterval;
    if (ProbedAt <= Sim.m_LastReportTimes[Host][InstanceIndex])
      continue;
    Sim.m_LastReportTimes[Host][InstanceIndex] = ProbedAt;
    InstanceView View;
    View.m_Term = 1;
    View.m_IsPrimary = InstanceIndex == 0;
    View.m_AppliedPosition = {1, countApplied(Sim, InstanceIndex, ProbedAt)};
    View.m_AppliedAt = View.m_LastSeenAt = timeAt(ProbedAt);
    View.m_DataAge = toDuration(Seconds(Sim.m_ReplicationLags[InstanceIndex]));
    mergeView(Sim.m_Views[Host], Sim.m_Group.m_Instances[InstanceIndex].m_Id, View);
  }
}

ReadCounts runReads(const Deployment &Profile, double Lag, uint64_t Seed, double DurationSeconds) {
  struct SessionOperation {
    double m_Time = 0;
    size_t m_SessionIndex = 0;
    bool m_IsWrite = false;
  };
  Random Rng(Seed);
  ReadSim Sim;
  Sim.m_ReplicationLags = {0, Lag, Lag * SecondReplicaLagFactor};
  std::vector<SessionOperation> Operations;
  for (size_t Index = 0; Index < SessionCount; ++Index)
    for (double At = drawExponential(Rng, MeanOperationInterval); At < DurationSeconds;
         At += drawExponential(Rng, MeanOperationInterval))
      Operations.push_back({At, Index, drawUniform(Rng, 0, 1) < WriteShare});
  std::ranges::sort(Operations, {}, &SessionOperation::m_Time);
  for (const SessionOperation &Operation : Operations)
    if (Operation.m_IsWrite)
      Sim.m_WriteTimes.push_back(Operation.m_Time);
  for (double At = 0; At < DurationSeconds; At += drawExponential(Rng, 1 / OtherWritesPerSecond))
    Sim.m_WriteTimes.push_back(At);
  std::ranges::sort(Sim.m_WriteTimes);
  Sim.m_Group.m_Name = "g";
  for (size_t Index = 0; Index < 3; ++Index) {
    Instance I;
    I.m_Id = std::to_string(Index);
    I.m_DataCentre = std::to_string(Index);
    Sim.m_Group.m_Instances.push_back(I);
  }
  Sim.m_Views.resize(Profile.m_HostCount);
  Sim.m_LastReportTimes.resize(Profile.m_HostCount);
  RouteSettings Settings;
  double MaxWaitSeconds = Seconds(Settings.m_MaxReplicaWait).count();
  std::vector<uint64_t> TokenPositions(SessionCount, 0);
  std::vector<uint64_t> OraclePositions(SessionCount, 0);
  ReadCounts Result;
  for (const SessionOperation &Operation : Operations) {
    uint64_t LastPosition = countWritesUntil(Sim.m_WriteTimes, Operation.m_Time);
    size_t Host = Rng() % Profile.m_HostCount;
    bool IsByAge = drawUniform(Rng, 0, 1) < 0.5;
    double MaxAgeSeconds = drawUniform(Rng, 0.5, 10);
    if (Operation.m_IsWrite) {
      TokenPositions[Operation.m_SessionIndex] = OraclePositions[Operation.m_SessionIndex] =
          LastPosition;
      continue;
    }
    updateViews(Sim, Host, Operation.m_Time, Profile.m_OneWayDelay.count());
    // Skips the time in which the first reports and tokens arrive.
    bool IsCounted = Operation.m_Time > DurationSeconds / 10;
    // A replica may take up to MaxWaitSeconds to reach the position, also for the oracle.
    auto CanServe = [&](size_t Index, uint64_t Required, double Time) {
      return (!IsByAge || Sim.m_ReplicationLags[Index] <= MaxAgeSeconds) &&
             countApplied(Sim, Index, Time + MaxWaitSeconds) >= Required;
    };
    auto ReadPosition = [&](size_t Index, uint64_t Required, double Time) {
      return std::max(Required, countApplied(Sim, Index, Time));
    };
    size_t OracleChoice = 0;
    for (size_t Index : {2, 1})
      if (CanServe(Index, OraclePositions[Operation.m_SessionIndex], Operation.m_Time))
        OracleChoice = Index;
    bool CanReplicaServe = CanServe(1, TokenPositions[Operation.m_SessionIndex], Operation.m_Time);
    OraclePositions[Operation.m_SessionIndex] =
        ReadPosition(OracleChoice, OraclePositions[Operation.m_SessionIndex], Operation.m_Time);
    ReadRequirement Required{.m_Mode = IsByAge ? ReadMode::MaxAge : ReadMode::Session,
                             .m_Position = {1, TokenPositions[Operation.m_SessionIndex]},
                             .m_MaxAge = toDuration(Seconds(MaxAgeSeconds))};
    std::set<std::string> TriedInstances;
    double ReadAt = Operation.m_Time;
    size_t ChosenInstance = 0;
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      RouteChoice Choice =
          chooseForRead(Sim.m_Group, Sim.m_Views[Host],
                        std::to_string(Host * Profile.m_DataCentreCount / Profile.m_HostCount),
                        Required, TriedInstances, timeAt(ReadAt), Rng, Settings);
      ChosenInstance = Choice.m_Instance.empty() ? 0 : std::stoul(Choice.m_Instance);
      double MaxWait = Seconds(Choice.m_PositionWait).count();
      bool HasRequiredData = (!IsByAge || Sim.m_ReplicationLags[ChosenInstance] <= MaxAgeSeconds) &&
                             countApplied(Sim, ChosenInstance, ReadAt + MaxWait) >=
                                 TokenPositions[Operation.m_SessionIndex];
      if (ChosenInstance == 0 || HasRequiredData)
        break;
      Result.m_BehindCount += IsCounted;
      TriedInstances.insert(Choice.m_Instance);
      ReadAt += MaxWait + 2 * Profile.m_OneWayDelay.count();
      ChosenInstance = 0;
    }
    TokenPositions[Operation.m_SessionIndex] =
        ReadPosition(ChosenInstance, TokenPositions[Operation.m_SessionIndex], ReadAt);
    Result.m_ReadCount += IsCounted;
    Result.m_ReplicaCount += IsCounted && ChosenInstance != 0;
    Result.m_OracleCount += IsCounted && OracleChoice != 0;
    Result.m_PossibleCount += IsCounted && CanReplicaServe;
    Result.m_ServedPossibleCount += IsCounted && CanReplicaServe && ChosenInstance != 0;
  }
  return Result;
}

} // namespace

std::vector<Row> measureReads(const std::vector<Deployment> &Deployments,
                              const BenchParameters &Parameters) {
  std::vector<Row> Rows;
  for (const Deployment &Profile : Deployments)
    for (double Lag : {0.05, 0.1, 0.2, 0.5, 1.0, 2.0}) {
      std::vector<ReadCounts> Results(Parameters.m_Seeds.size());
      std::vector<std::function<void()>> Tasks;
      for (size_t SeedIndex = 0; SeedIndex < Results.size(); ++SeedIndex)
        Tasks.emplace_back([&, SeedIndex] {
          Results[SeedIndex] =
              runReads(Profile, Lag, Parameters.m_Seeds[SeedIndex], Parameters.m_Smoke ? 30 : 300);
        });
      runTasks(Tasks);
      const std::string Section = "Reads served by replicas";
      std::string Name = "lag " + std::to_string(static_cast<int>(Lag * 1000)) + " ms: ";
      TargetKind ShareTarget = Parameters.m_Smoke ? TargetKind::None : TargetKind::Above;
      Row ReplicaShare{Section, Profile.m_Name, Name + "at replicas", "%", ShareTarget, 90, {}, {}};
      Row OracleShare{
          Section, Profile.m_Name, Name + "oracle at replicas", "%", TargetKind::None, 0, {}, {}};
      Row OfPossible{Section,
                     Profile.m_Name,
                     Name + "of those that a replica could serve",
                     "%",
                     ShareTarget,
                     99,
                     {},
                     {}};
      Row OfOracle{Section, Profile.m_Name, Name + "of the oracle's", "%", ShareTarget, 99, {}, {}};
      Row Behind{Section,
                 Profile.m_Name,
                 Name + "tries at a replica that was behind",
                 "%",
                 TargetKind::None,
                 0,
                 {},
                 {}};
      for (const ReadCounts &Result : Results) {
        ReplicaShare.m_Values.push_back(100 * Result.m_ReplicaCount / Result.m_ReadCount);
        ReplicaShare.m_Baseline.push_back(0); // in the baseline, all reads go to the primary
        OracleShare.m_Values.push_back(100 * Result.m_OracleCount / Result.m_ReadCount);
        OfPossible.m_Values.push_back(100 * Result.m_ServedPossibleCount / Result.m_PossibleCount);
        OfOracle.m_Values.push_back(100 * Result.m_ReplicaCount / Result.m_OracleCount);
        Behind.m_Values.push_back(100 * Result.m_BehindCount / Result.m_ReadCount);
      }
      for (Row &R : std::array{ReplicaShare, OracleShare, OfPossible, OfOracle, Behind})
        Rows.push_back(std::move(R));
    }
  return Rows;
}

} // namespace quetzalpaddle::bench
