// Reads served by replicas, of those that accept it by session position or stated age.
//
// Sessions read and write at random hosts, once in 2 s on average, one in ten a write. Half of the
// reads state an age of 0.5 to 10 s. A session's position is the last one that it wrote or read, as
// in its token: a read at the primary raises it to the end of the log. The oracle knows every
// position at the time of the read and keeps a token of its own for the same requests.
#include "policy_bench.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle::bench {

namespace {

constexpr size_t Sessions = 400;
constexpr double SessionGap = 2;
constexpr double WriteShare = 0.1;
constexpr double OtherWrites = 100; // per second, without a session
constexpr double ProbeEvery = 0.05;
constexpr double ExchangeEvery = 0.2;
constexpr double SecondLag = 1.2; // of the other replica, relative to the first

struct Tally {
  double m_Reads = 0;
  double m_Replica = 0;
  double m_Oracle = 0;   // reads that the oracle sends to a replica
  double m_Possible = 0; // reads that a replica could serve, given the same token
  double m_Taken = 0;    // of those, by a replica
  double m_Behind = 0;   // tries at a replica that was behind
};

uint64_t countUntil(const std::vector<double> &Writes, double At) {
  return static_cast<uint64_t>(std::ranges::upper_bound(Writes, At) - Writes.begin());
}

struct Sim {
  std::vector<double> m_Writes; // times of all writes, in order
  std::array<double, 3> m_Lags{};
  Group m_Group;
  std::vector<GroupView> m_Views;                // of each host
  std::vector<std::array<double, 3>> m_Reported; // time of the last report of each instance
};

uint64_t appliedAt(const Sim &S, size_t Instance, double At) {
  return countUntil(S.m_Writes, At - S.m_Lags[Instance]);
}

TimePoint at(double Time) { return Begin + toDuration(Seconds(Time)); }

// The dispatcher of an instance probes it every 50 ms; other hosts hear of it with the exchanges.
// Instance N is dispatched by host N.
void updateViews(Sim &S, size_t Host, double Now, double OneWay) {
  for (size_t N = 0; N < 3; ++N) {
    double Every = N == Host ? ProbeEvery : ExchangeEvery;
    double Phase = 0.013 * static_cast<double>(Host + N);
    double Arrived = std::floor((Now - Phase) / Every) * Every + Phase;
    double Probed = std::floor((Arrived - OneWay) / ProbeEvery) * ProbeEvery;
    if (Probed <= S.m_Reported[Host][N])
      continue;
    S.m_Reported[Host][N] = Probed;
    InstanceView Seen;
    Seen.m_Term = 1;
    Seen.m_IsPrimary = N == 0;
    Seen.m_AppliedPosition = {1, appliedAt(S, N, Probed)};
    Seen.m_AppliedAt = Seen.m_LastSeenAt = at(Probed);
    Seen.m_DataAge = toDuration(Seconds(S.m_Lags[N]));
    mergeView(S.m_Views[Host], S.m_Group.m_Instances[N].m_Id, Seen);
  }
}

Tally runReads(const Deployment &D, double Lag, uint64_t Seed, double Length) {
  struct Operation {
    double m_At = 0;
    size_t m_Session = 0;
    bool m_Write = false;
  };
  Random Rng(Seed);
  Sim S;
  S.m_Lags = {0, Lag, Lag * SecondLag};
  std::vector<Operation> Operations;
  for (size_t N = 0; N < Sessions; ++N)
    for (double At = drawExponential(Rng, SessionGap); At < Length;
         At += drawExponential(Rng, SessionGap))
      Operations.push_back({At, N, drawUniform(Rng, 0, 1) < WriteShare});
  std::ranges::sort(Operations, {}, &Operation::m_At);
  for (const Operation &O : Operations)
    if (O.m_Write)
      S.m_Writes.push_back(O.m_At);
  for (double At = 0; At < Length; At += drawExponential(Rng, 1 / OtherWrites))
    S.m_Writes.push_back(At);
  std::ranges::sort(S.m_Writes);
  S.m_Group.m_Name = "g";
  for (size_t N = 0; N < 3; ++N) {
    Instance I;
    I.m_Id = std::to_string(N);
    I.m_DataCentre = std::to_string(N);
    S.m_Group.m_Instances.push_back(I);
  }
  S.m_Views.resize(D.m_Hosts);
  S.m_Reported.resize(D.m_Hosts);
  RouteSettings Settings;
  double Wait = Seconds(Settings.m_MaxReplicaWait).count();
  std::vector<uint64_t> Token(Sessions, 0);
  std::vector<uint64_t> OracleToken(Sessions, 0);
  Tally T;
  for (const Operation &O : Operations) {
    uint64_t Last = countUntil(S.m_Writes, O.m_At);
    size_t Host = Rng() % D.m_Hosts;
    bool ByAge = drawUniform(Rng, 0, 1) < 0.5;
    double Age = drawUniform(Rng, 0.5, 10);
    if (O.m_Write) {
      Token[O.m_Session] = OracleToken[O.m_Session] = Last;
      continue;
    }
    updateViews(S, Host, O.m_At, D.m_OneWay.count());
    bool Counted = O.m_At > Length / 10; // the first reports and tokens are left out
    // The longest time that a replica may take is the wait, for the oracle too.
    auto Serves = [&](size_t N, uint64_t Need, double When) {
      return (!ByAge || S.m_Lags[N] <= Age) && appliedAt(S, N, When + Wait) >= Need;
    };
    auto PositionRead = [&](size_t N, uint64_t Need, double When) {
      return std::max(Need, appliedAt(S, N, When));
    };
    size_t Oracle = 0;
    for (size_t N : {2, 1})
      if (Serves(N, OracleToken[O.m_Session], O.m_At))
        Oracle = N;
    bool Possible = Serves(1, Token[O.m_Session], O.m_At);
    OracleToken[O.m_Session] = PositionRead(Oracle, OracleToken[O.m_Session], O.m_At);
    ReadRequirement Need{.m_Mode = ByAge ? ReadMode::MaxAge : ReadMode::Session,
                         .m_Position = {1, Token[O.m_Session]},
                         .m_MaxAge = toDuration(Seconds(Age))};
    std::set<std::string> Tried;
    double Clock = O.m_At;
    size_t Chosen = 0;
    for (int Try = 0; Try < 3; ++Try) {
      RouteChoice Choice = chooseForRead(S.m_Group, S.m_Views[Host],
                                         std::to_string(Host * D.m_DataCentres / D.m_Hosts), Need,
                                         Tried, at(Clock), Rng, Settings);
      Chosen = Choice.m_Instance.empty() ? 0 : std::stoul(Choice.m_Instance);
      double Allowed = Seconds(Choice.m_PositionWait).count();
      bool Has = (!ByAge || S.m_Lags[Chosen] <= Age) &&
                 appliedAt(S, Chosen, Clock + Allowed) >= Token[O.m_Session];
      if (Chosen == 0 || Has)
        break;
      T.m_Behind += Counted;
      Tried.insert(Choice.m_Instance);
      Clock += Allowed + 2 * D.m_OneWay.count();
      Chosen = 0;
    }
    Token[O.m_Session] = PositionRead(Chosen, Token[O.m_Session], Clock);
    T.m_Reads += Counted;
    T.m_Replica += Counted && Chosen != 0;
    T.m_Oracle += Counted && Oracle != 0;
    T.m_Possible += Counted && Possible;
    T.m_Taken += Counted && Possible && Chosen != 0;
  }
  return T;
}

} // namespace

std::vector<Row> measureReads(const std::vector<Deployment> &Deployments, const Options &O) {
  std::vector<Row> Rows;
  for (const Deployment &D : Deployments)
    for (double Lag : {0.05, 0.1, 0.2, 0.5, 1.0, 2.0}) {
      std::vector<Tally> Results(O.m_Seeds.size());
      std::vector<std::function<void()>> Tasks;
      for (size_t N = 0; N < Results.size(); ++N)
        Tasks.emplace_back(
            [&, N] { Results[N] = runReads(D, Lag, O.m_Seeds[N], O.m_Smoke ? 30 : 300); });
      runTasks(Tasks);
      const std::string Section = "Reads served by replicas";
      std::string Name = "lag " + std::to_string(static_cast<int>(Lag * 1000)) + " ms: ";
      Reach Target = O.m_Smoke ? Reach::None : Reach::Above;
      Row Share{Section, D.m_Name, Name + "at replicas", "%", Target, 90, {}, {}};
      Row Ideal{Section, D.m_Name, Name + "oracle at replicas", "%", Reach::None, 0, {}, {}};
      Row Taken{Section, D.m_Name, Name + "of those that a replica could serve", "%", Target, 99,
                {},      {}};
      Row Versus{Section, D.m_Name, Name + "of the oracle's", "%", Target, 99, {}, {}};
      Row Behind{Section, D.m_Name,    Name + "tries at a replica that was behind",
                 "%",     Reach::None, 0,
                 {},      {}};
      for (const Tally &T : Results) {
        Share.m_Values.push_back(100 * T.m_Replica / T.m_Reads);
        Share.m_Baseline.push_back(0); // all reads go to the primary
        Ideal.m_Values.push_back(100 * T.m_Oracle / T.m_Reads);
        Taken.m_Values.push_back(100 * T.m_Taken / T.m_Possible);
        Versus.m_Values.push_back(100 * T.m_Replica / T.m_Oracle);
        Behind.m_Values.push_back(100 * T.m_Behind / T.m_Reads);
      }
      for (Row &R : std::array{Share, Ideal, Taken, Versus, Behind})
        Rows.push_back(std::move(R));
    }
  return Rows;
}

} // namespace quetzalpaddle::bench
