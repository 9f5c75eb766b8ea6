// Measures the latency of the customers of one instance while another customer sends five times its
// rate.
//
// Arrivals are open-loop. Statement times are exponential, with a few long ones. One request in ten
// opens a transaction, which pins its connection for three further statements.
#include "policy_bench.h"

#include <algorithm>

namespace quetzalpaddle::bench {

namespace {

// Times are in seconds.
constexpr double MeanShortService = 0.005;
constexpr double MeanLongService = 0.050;
constexpr double LongStatementShare = 0.01;
constexpr double TransactionShare = 0.1;
constexpr int ExtraStatementsPerTransaction = 3;
constexpr double MeanThinkTime = 0.002;

// Sum of the customers' rates, as a share of the capacity of the slots. Each customer sends 80% of
// its rate.
constexpr double ReservedShare = 0.75;
constexpr double LoadFactor = 0.8;
constexpr double OverloadFactor = 5;

struct Scenario {
  const Deployment *m_Deployment = nullptr;
  uint64_t m_Seed = 0;
  Seconds m_Duration{300};
  int m_OnlyCustomer = -1;        // the only customer that sends; -1: all of them
  int m_OverloadingCustomer = -1; // sends five times its rate; -1: none
  bool m_HasLimiter = true;       // admission by rate
  bool m_HasFairQueue = true;     // false: first come, first served
};

struct CustomerResult {
  std::vector<double> m_LatencySeconds;
  uint64_t m_RefusedCount = 0; // by the queue, of requests within the rate
};
using Result = std::vector<CustomerResult>;

enum class EventKind { Arrival, Statement, Finish, ConnectionOpened };
struct Event {
  EventKind m_Kind = EventKind::Arrival;
  size_t m_Customer = 0;
  uint64_t m_Id = 0; // of the request, or of the opened connection
};

struct PendingStatement {
  size_t m_Customer = 0;
  Seconds m_Service{};
  int m_RemainingStatements = 0; // of its transaction
  bool m_OpensTransaction = false;
  uint64_t m_Connection = 0;
  TimePoint m_WaitingSince{};
  TimePoint m_StartedAt{};
};

struct QueueSim {
  Scenario m_Scenario;
  TimePoint m_Now = StartTime;
  EventQueue<Event> m_Events;
  // One for each customer, so that it sends the same requests in all scenarios.
  std::vector<Random> m_CustomerRngs;
  std::vector<double> m_CustomerRates;
  RateState m_RateState;
  FairQueue m_FairQueue;
  std::deque<QueuedRequest> m_FifoQueue;
  Pool m_Pool;
  std::map<uint64_t, PendingStatement> m_Statements;
  uint64_t m_NextId = 1;
  Result m_Results;
};

std::string customerId(size_t Customer) { return std::to_string(Customer); }

void refuseStatement(QueueSim &Sim, uint64_t Id) {
  PendingStatement Refused = Sim.m_Statements.at(Id);
  ++Sim.m_Results[Refused.m_Customer].m_RefusedCount;
  if (Refused.m_Connection != 0)
    releaseConnection(Sim.m_Pool, Refused.m_Connection, true, Sim.m_Now);
  Sim.m_Statements.erase(Id);
}

std::optional<QueuedRequest> startNext(QueueSim &Sim, bool IsPinnedOnly) {
  if (Sim.m_Scenario.m_HasFairQueue)
    return startNextRequest(Sim.m_FairQueue, Sim.m_Now, IsPinnedOnly);
  auto Next = IsPinnedOnly ? std::ranges::find(Sim.m_FifoQueue, true, &QueuedRequest::m_IsPinned)
                           : Sim.m_FifoQueue.begin();
  if (Sim.m_FairQueue.m_RunningCount >= Sim.m_FairQueue.m_SlotCount ||
      Next == Sim.m_FifoQueue.end())
    return std::nullopt;
  QueuedRequest Taken = *Next;
  Sim.m_FifoQueue.erase(Next);
  ++Sim.m_FairQueue.m_RunningCount;
  return Taken;
}

void dispatchQueued(QueueSim &Sim) {
  QueueSettings Settings;
  if (Sim.m_Scenario.m_HasFairQueue)
    for (const QueuedRequest &R : expireQueuedRequests(Sim.m_FairQueue, Sim.m_Now, Settings))
      refuseStatement(Sim, R.m_Id);
  while (!Sim.m_FifoQueue.empty() &&
         Sim.m_Now - Sim.m_FifoQueue.front().m_QueuedAt >= Settings.m_MaxWait) {
    uint64_t Id = Sim.m_FifoQueue.front().m_Id;
    Sim.m_FifoQueue.pop_front();
    refuseStatement(Sim, Id);
  }
  while (true) {
    bool HasIdleConnection = std::ranges::any_of(Sim.m_Pool.m_Connections, [](const auto &Entry) {
      return Entry.second.m_State == ConnectionState::Idle;
    });
    auto Next = startNext(Sim, !HasIdleConnection);
    if (!Next)
      break;
    PendingStatement &Started = Sim.m_Statements.at(Next->m_Id);
    Started.m_StartedAt = Sim.m_Now;
    if (Started.m_Connection == 0)
      Started.m_Connection = takeConnection(Sim.m_Pool, Sim.m_Now).value();
    Sim.m_Events.add(Sim.m_Now + toDuration(Started.m_Service),
                     {EventKind::Finish, Started.m_Customer, Next->m_Id});
  }
  auto QueuedCount = Sim.m_Scenario.m_HasFairQueue ? Sim.m_FairQueue.m_QueuedCount
                                                   : static_cast<uint32_t>(Sim.m_FifoQueue.size());
  for (uint64_t Id : planOpens(Sim.m_Pool, QueuedCount, Sim.m_Now, PoolSettings{}))
    Sim.m_Events.add(Sim.m_Now + toDuration(Sim.m_Scenario.m_Deployment->m_ConnectDelay),
                     {EventKind::ConnectionOpened, 0, Id});
}

void enqueueStatement(QueueSim &Sim, uint64_t Id) {
  PendingStatement &Statement = Sim.m_Statements.at(Id);
  Statement.m_WaitingSince = Sim.m_Now;
  QueuedRequest Queued;
  Queued.m_Id = Id;
  Queued.m_Customer = customerId(Statement.m_Customer);
  Queued.m_Deadline = Sim.m_Now + std::chrono::seconds(10);
  Queued.m_QueuedAt = Sim.m_Now;
  Queued.m_IsPinned = Statement.m_Connection != 0;
  QueueSettings Settings;
  if (!Sim.m_Scenario.m_HasFairQueue) {
    if (Sim.m_FifoQueue.size() >= Settings.m_MaxTotal)
      refuseStatement(Sim, Id);
    else
      Sim.m_FifoQueue.push_back(Queued);
    return;
  }
  std::optional<uint64_t> Shed;
  if (enqueueRequest(Sim.m_FairQueue, Queued, Shed, Settings) != Reason::None)
    refuseStatement(Sim, Id);
  if (Shed)
    refuseStatement(Sim, *Shed);
}

Seconds drawService(Random &Rng) {
  double Draw = drawUniform(Rng, 0, 1);
  return Seconds(
      drawExponential(Rng, Draw < LongStatementShare ? MeanLongService : MeanShortService));
}

void handleArrival(QueueSim &Sim, size_t CustomerIndex) {
  Random &Rng = Sim.m_CustomerRngs[CustomerIndex];
  bool IsOverloading = static_cast<int>(CustomerIndex) == Sim.m_Scenario.m_OverloadingCustomer;
  double Rate = Sim.m_CustomerRates[CustomerIndex] * (IsOverloading ? OverloadFactor : LoadFactor);
  Sim.m_Events.add(Sim.m_Now + toDuration(Seconds(drawExponential(Rng, 1 / Rate))),
                   {EventKind::Arrival, CustomerIndex, 0});
  PendingStatement FirstStatement;
  FirstStatement.m_Customer = CustomerIndex;
  FirstStatement.m_Service = drawService(Rng);
  FirstStatement.m_OpensTransaction = drawUniform(Rng, 0, 1) < TransactionShare;
  FirstStatement.m_RemainingStatements =
      FirstStatement.m_OpensTransaction ? ExtraStatementsPerTransaction : 0;
  uint64_t Id = Sim.m_NextId++;
  if (Sim.m_Scenario.m_HasLimiter &&
      admitRequest(Sim.m_RateState, customerId(CustomerIndex), Id, Sim.m_Now, RateSettings{})
              .m_Admission != Admission::Admitted)
    return; // the only holder of the whole rate is an ideal bucket: the request exceeds the rate
  Sim.m_Statements.emplace(Id, FirstStatement);
  enqueueStatement(Sim, Id);
}

void handleFinish(QueueSim &Sim, uint64_t Id) {
  PendingStatement Finished = Sim.m_Statements.at(Id);
  if (Sim.m_Scenario.m_HasFairQueue)
    finishRequest(Sim.m_FairQueue, customerId(Finished.m_Customer),
                  Sim.m_Now - Finished.m_StartedAt);
  else
    --Sim.m_FairQueue.m_RunningCount;
  Sim.m_Results[Finished.m_Customer].m_LatencySeconds.push_back(
      Seconds(Sim.m_Now - Finished.m_WaitingSince).count());
  Sim.m_Statements.erase(Id);
  if (Finished.m_OpensTransaction &&
      pinConnection(Sim.m_Pool, Finished.m_Connection, std::to_string(Id),
                    customerId(Finished.m_Customer), "", Sim.m_Now) != Reason::None)
    Finished.m_RemainingStatements = 0;
  if (Finished.m_RemainingStatements == 0) {
    releaseConnection(Sim.m_Pool, Finished.m_Connection, true, Sim.m_Now);
    return;
  }
  // Schedules the next statement of the transaction on the same connection.
  finishPinnedStatement(Sim.m_Pool, Finished.m_Connection, Sim.m_Now);
  --Finished.m_RemainingStatements;
  Finished.m_OpensTransaction = false;
  Finished.m_Service = drawService(Sim.m_CustomerRngs[Finished.m_Customer]);
  uint64_t NextId = Sim.m_NextId++;
  Sim.m_Statements.emplace(NextId, Finished);
  double ThinkSeconds = drawExponential(Sim.m_CustomerRngs[Finished.m_Customer], MeanThinkTime);
  Sim.m_Events.add(Sim.m_Now + toDuration(Seconds(ThinkSeconds)),
                   {EventKind::Statement, Finished.m_Customer, NextId});
}

Result runSim(const Scenario &RunScenario) {
  QueueSim Sim;
  Sim.m_Scenario = RunScenario;
  const Deployment &Profile = *RunScenario.m_Deployment;
  Sim.m_FairQueue.m_SlotCount = Profile.m_SlotsPerInstance;
  PoolSettings PoolLimits;
  Sim.m_Pool.m_MaxSize =
      static_cast<uint32_t>(Profile.m_ConnectionsPerInstance * PoolLimits.m_ConnectionShare);
  Sim.m_RateState.m_IsLeaseValid = true;
  Sim.m_RateState.m_LeaseExpiresAt = TimePoint::max();
  double RateSum = 0;
  for (const Customer &EachCustomer : Profile.m_Customers)
    RateSum += EachCustomer.m_Rate;
  double MeanServiceSeconds =
      (MeanShortService * (1 - LongStatementShare) + MeanLongService * LongStatementShare) *
      (1 + TransactionShare * ExtraStatementsPerTransaction);
  Sim.m_Results.resize(Profile.m_Customers.size());
  for (size_t CustomerIndex = 0; CustomerIndex < Profile.m_Customers.size(); ++CustomerIndex) {
    Sim.m_CustomerRngs.emplace_back(RunScenario.m_Seed * 1000 + CustomerIndex);
    Sim.m_CustomerRates.push_back(ReservedShare * Profile.m_SlotsPerInstance / MeanServiceSeconds *
                                  Profile.m_Customers[CustomerIndex].m_Rate / RateSum);
    Customer Limits{customerId(CustomerIndex), Sim.m_CustomerRates[CustomerIndex],
                    std::max(20.0, 0.2 * Sim.m_CustomerRates[CustomerIndex])};
    setSlots(Sim.m_RateState, customerId(CustomerIndex), splitRate(Limits, 1, RateSettings{}), 1,
             {}, StartTime);
    if (RunScenario.m_OnlyCustomer < 0 ||
        RunScenario.m_OnlyCustomer == static_cast<int>(CustomerIndex))
      Sim.m_Events.add(StartTime + std::chrono::seconds(20),
                       {EventKind::Arrival, CustomerIndex, 0});
  }
  while (!Sim.m_Events.isEmpty()) {
    auto [EventAt, NextEvent] = Sim.m_Events.take();
    if (EventAt >= StartTime + RunScenario.m_Duration)
      break;
    Sim.m_Now = EventAt;
    if (NextEvent.m_Kind == EventKind::Arrival)
      handleArrival(Sim, NextEvent.m_Customer);
    else if (NextEvent.m_Kind == EventKind::Statement)
      enqueueStatement(Sim, NextEvent.m_Id);
    else if (NextEvent.m_Kind == EventKind::Finish)
      handleFinish(Sim, NextEvent.m_Id);
    else
      recordOpenSuccess(Sim.m_Pool, NextEvent.m_Id, EventAt);
    dispatchQueued(Sim);
  }
  return Sim.m_Results;
}

double computeP99(std::vector<double> Values) {
  if (Values.empty())
    return 1e9; // starved: above any real latency
  std::ranges::sort(Values);
  return Values[Values.size() * 99 / 100];
}

} // namespace

std::vector<Row> measureQueue(const std::vector<Deployment> &Deployments,
                              const BenchParameters &Parameters) {
  std::vector<Row> Rows;
  for (const Deployment &Profile : Deployments)
    for (bool HasLimiter : {true, false}) {
      size_t SeedCount = Parameters.m_Seeds.size();
      // By seed and queue: 0 is the fair queue, 1 first come, first served.
      std::vector<std::array<Result, 2>> UnderOverload(SeedCount);
      std::vector<Result> AtNormalLoad(SeedCount);
      std::vector<Result> RunAlone(SeedCount, Result(Profile.m_Customers.size()));
      Scenario BaseScenario{.m_Deployment = &Profile,
                            .m_Duration = Seconds(Parameters.m_Smoke ? 30 : 320)};
      std::vector<std::function<void()>> Tasks;
      for (size_t SeedIndex = 0; SeedIndex < SeedCount; ++SeedIndex) {
        Scenario SeedScenario = BaseScenario;
        SeedScenario.m_Seed = Parameters.m_Seeds[SeedIndex];
        Tasks.emplace_back(
            [&, SeedIndex, SeedScenario] { AtNormalLoad[SeedIndex] = runSim(SeedScenario); });
        for (size_t CustomerIndex = 1; CustomerIndex < Profile.m_Customers.size();
             ++CustomerIndex) {
          Scenario AloneScenario = SeedScenario;
          AloneScenario.m_OnlyCustomer = static_cast<int>(CustomerIndex);
          Tasks.emplace_back([&, SeedIndex, CustomerIndex, AloneScenario] {
            RunAlone[SeedIndex][CustomerIndex] = runSim(AloneScenario)[CustomerIndex];
          });
        }
        for (bool HasFairQueue : {true, false}) {
          Scenario OverloadScenario = SeedScenario;
          OverloadScenario.m_OverloadingCustomer = 0;
          OverloadScenario.m_HasFairQueue = HasFairQueue;
          OverloadScenario.m_HasLimiter = HasLimiter;
          Tasks.emplace_back([&, SeedIndex, HasFairQueue, OverloadScenario] {
            UnderOverload[SeedIndex][HasFairQueue ? 0 : 1] = runSim(OverloadScenario);
          });
        }
      }
      runTasks(Tasks);
      std::string Name = HasLimiter ? "with rate limiter" : "limiter off";
      const std::string Section = "Worst-served customer";
      TargetKind LatencyTarget = Parameters.m_Smoke ? TargetKind::None : TargetKind::Below;
      Row RatioToAlone{
          Section, Profile.m_Name, Name + ": p99 / p99 alone", "", LatencyTarget, 1.5, {}, {}};
      Row RatioToNormal{Section,
                        Profile.m_Name,
                        Name + ": p99 / p99 with all at their rates",
                        "",
                        TargetKind::None,
                        0,
                        {},
                        {}};
      Row Refused{Section,
                  Profile.m_Name,
                  Name + ": requests of others refused",
                  "",
                  TargetKind::Zero,
                  0,
                  {},
                  {}};
      Row Starved{Section,
                  Profile.m_Name,
                  Name + ": customers without service",
                  "",
                  TargetKind::Zero,
                  0,
                  {},
                  {}};
      for (size_t SeedIndex = 0; SeedIndex < SeedCount; ++SeedIndex) {
        std::array<double, 2> WorstRatio{};
        std::array<double, 2> WorstRatioToNormal{};
        std::array<double, 2> RefusedCount{};
        double StarvedCount = 0;
        for (size_t CustomerIndex = 1; CustomerIndex < Profile.m_Customers.size(); ++CustomerIndex)
          for (size_t QueueKind = 0; QueueKind < 2; ++QueueKind) {
            const CustomerResult &Measured = UnderOverload[SeedIndex][QueueKind][CustomerIndex];
            double P99 = computeP99(Measured.m_LatencySeconds);
            WorstRatio[QueueKind] =
                std::max(WorstRatio[QueueKind],
                         P99 / computeP99(RunAlone[SeedIndex][CustomerIndex].m_LatencySeconds));
            WorstRatioToNormal[QueueKind] =
                std::max(WorstRatioToNormal[QueueKind],
                         P99 / computeP99(AtNormalLoad[SeedIndex][CustomerIndex].m_LatencySeconds));
            RefusedCount[QueueKind] += static_cast<double>(Measured.m_RefusedCount);
            StarvedCount += QueueKind == 0 && Measured.m_LatencySeconds.empty() ? 1 : 0;
          }
        RatioToAlone.m_Values.push_back(WorstRatio[0]);
        RatioToAlone.m_Baseline.push_back(WorstRatio[1]);
        RatioToNormal.m_Values.push_back(WorstRatioToNormal[0]);
        RatioToNormal.m_Baseline.push_back(WorstRatioToNormal[1]);
        Refused.m_Values.push_back(RefusedCount[0]);
        Refused.m_Baseline.push_back(RefusedCount[1]);
        Starved.m_Values.push_back(StarvedCount);
      }
      for (Row &R : std::array{RatioToAlone, RatioToNormal, Refused, Starved})
        Rows.push_back(std::move(R));
    }
  return Rows;
}

} // namespace quetzalpaddle::bench
