// Latency of the customers of one instance while another sends five times its rate.
//
// Arrivals are open-loop. Statement times are exponential with a few long ones; one request in ten
// opens a transaction of three statements that pins its connection.
#include "policy_bench.h"

#include <algorithm>

namespace quetzalpaddle::bench {

namespace {

constexpr double ServiceMean = 0.005;
constexpr double LongMean = 0.050;
constexpr double LongShare = 0.01;
constexpr double TransactionShare = 0.1;
constexpr int StatementsEach = 3;
constexpr double ThinkMean = 0.002;
// Rates of all customers together, of what the slots can do; each sends 80% of its rate.
constexpr double Booked = 0.75;
constexpr double Load = 0.8;
constexpr double Excess = 5;

struct Setting {
  const Deployment *m_Where = nullptr;
  uint64_t m_Seed = 0;
  Seconds m_Length{300};
  int m_Only = -1;       // the only customer that sends
  int m_Aggressor = -1;  // sends five times its rate
  bool m_Limiter = true; // admission by rate
  bool m_Fair = true;    // otherwise first come, first served
};

struct Served {
  std::vector<double> m_Took;
  uint64_t m_Refused = 0; // by the queue, of requests within the rate
};
using Result = std::vector<Served>;

enum class Kind { Arrival, Statement, Finish, Opened };
struct Event {
  Kind m_Kind = Kind::Arrival;
  size_t m_Customer = 0;
  uint64_t m_Id = 0; // request, or connection opened
};

struct Work {
  size_t m_Customer = 0;
  Seconds m_Service{};
  int m_Left = 0; // statements left in its transaction
  bool m_Opens = false;
  uint64_t m_Connection = 0;
  TimePoint m_Since{};
  TimePoint m_Started{};
};

struct Sim {
  Setting m_Setting;
  TimePoint m_Now = Begin;
  Timeline<Event> m_Events;
  std::vector<Random>
      m_Rngs; // one for each customer, so that its requests are the same in all runs
  std::vector<double> m_Rates;
  RateState m_Rate;
  FairQueue m_Fair;
  std::deque<QueuedRequest> m_Fifo;
  Pool m_Pool;
  std::map<uint64_t, Work> m_Works;
  uint64_t m_NextId = 1;
  Result m_Result;
};

std::string nameOf(size_t Customer) { return std::to_string(Customer); }

void refuse(Sim &S, uint64_t Id) {
  Work W = S.m_Works.at(Id);
  ++S.m_Result[W.m_Customer].m_Refused;
  if (W.m_Connection != 0)
    releaseConnection(S.m_Pool, W.m_Connection, true, S.m_Now);
  S.m_Works.erase(Id);
}

std::optional<QueuedRequest> takeNext(Sim &S, bool PinnedOnly) {
  if (S.m_Setting.m_Fair)
    return startNextRequest(S.m_Fair, S.m_Now, PinnedOnly);
  auto Next =
      PinnedOnly ? std::ranges::find(S.m_Fifo, true, &QueuedRequest::m_IsPinned) : S.m_Fifo.begin();
  if (S.m_Fair.m_RunningCount >= S.m_Fair.m_SlotCount || Next == S.m_Fifo.end())
    return std::nullopt;
  QueuedRequest Taken = *Next;
  S.m_Fifo.erase(Next);
  ++S.m_Fair.m_RunningCount;
  return Taken;
}

void pump(Sim &S) {
  QueueSettings Settings;
  if (S.m_Setting.m_Fair)
    for (const QueuedRequest &R : expireQueuedRequests(S.m_Fair, S.m_Now, Settings))
      refuse(S, R.m_Id);
  while (!S.m_Fifo.empty() && S.m_Now - S.m_Fifo.front().m_QueuedAt >= Settings.m_MaxWait) {
    uint64_t Id = S.m_Fifo.front().m_Id;
    S.m_Fifo.pop_front();
    refuse(S, Id);
  }
  while (true) {
    bool Idle = std::ranges::any_of(S.m_Pool.m_Connections, [](const auto &Entry) {
      return Entry.second.m_State == ConnectionState::Idle;
    });
    auto Next = takeNext(S, !Idle);
    if (!Next)
      break;
    Work &W = S.m_Works.at(Next->m_Id);
    W.m_Started = S.m_Now;
    if (W.m_Connection == 0)
      W.m_Connection = takeConnection(S.m_Pool, S.m_Now).value();
    S.m_Events.add(S.m_Now + toDuration(W.m_Service), {Kind::Finish, W.m_Customer, Next->m_Id});
  }
  auto Waiting =
      S.m_Setting.m_Fair ? S.m_Fair.m_QueuedCount : static_cast<uint32_t>(S.m_Fifo.size());
  for (uint64_t Id : planOpens(S.m_Pool, Waiting, S.m_Now, PoolSettings{}))
    S.m_Events.add(S.m_Now + toDuration(S.m_Setting.m_Where->m_Open), {Kind::Opened, 0, Id});
}

void enqueue(Sim &S, uint64_t Id) {
  Work &W = S.m_Works.at(Id);
  W.m_Since = S.m_Now;
  QueuedRequest R;
  R.m_Id = Id;
  R.m_Customer = nameOf(W.m_Customer);
  R.m_Deadline = S.m_Now + std::chrono::seconds(10);
  R.m_QueuedAt = S.m_Now;
  R.m_IsPinned = W.m_Connection != 0;
  QueueSettings Settings;
  if (!S.m_Setting.m_Fair) {
    if (S.m_Fifo.size() >= Settings.m_MaxTotal)
      refuse(S, Id);
    else
      S.m_Fifo.push_back(R);
    return;
  }
  std::optional<uint64_t> Shed;
  if (enqueueRequest(S.m_Fair, R, Shed, Settings) != Reason::None)
    refuse(S, Id);
  if (Shed)
    refuse(S, *Shed);
}

Seconds drawService(Random &Rng) {
  double Draw = drawUniform(Rng, 0, 1);
  return Seconds(drawExponential(Rng, Draw < LongShare ? LongMean : ServiceMean));
}

void arrive(Sim &S, size_t C) {
  Random &Rng = S.m_Rngs[C];
  bool Over = static_cast<int>(C) == S.m_Setting.m_Aggressor;
  double Rate = S.m_Rates[C] * (Over ? Excess : Load);
  S.m_Events.add(S.m_Now + toDuration(Seconds(drawExponential(Rng, 1 / Rate))),
                 {Kind::Arrival, C, 0});
  Work W;
  W.m_Customer = C;
  W.m_Service = drawService(Rng);
  W.m_Opens = drawUniform(Rng, 0, 1) < TransactionShare;
  W.m_Left = W.m_Opens ? StatementsEach : 0;
  uint64_t Id = S.m_NextId++;
  if (S.m_Setting.m_Limiter &&
      admitRequest(S.m_Rate, nameOf(C), Id, S.m_Now, RateSettings{}).m_Admission !=
          Admission::Admitted)
    return; // one holder of the whole rate is the ideal bucket: the request is not within the rate
  S.m_Works.emplace(Id, W);
  enqueue(S, Id);
}

void finish(Sim &S, uint64_t Id) {
  Work W = S.m_Works.at(Id);
  if (S.m_Setting.m_Fair)
    finishRequest(S.m_Fair, nameOf(W.m_Customer), S.m_Now - W.m_Started);
  else
    --S.m_Fair.m_RunningCount;
  S.m_Result[W.m_Customer].m_Took.push_back(Seconds(S.m_Now - W.m_Since).count());
  S.m_Works.erase(Id);
  if (W.m_Opens && pinConnection(S.m_Pool, W.m_Connection, std::to_string(Id), nameOf(W.m_Customer),
                                 "", S.m_Now) != Reason::None)
    W.m_Left = 0;
  if (W.m_Left == 0) {
    releaseConnection(S.m_Pool, W.m_Connection, true, S.m_Now);
    return;
  }
  // The next statement of the transaction, on the same connection.
  finishPinnedStatement(S.m_Pool, W.m_Connection, S.m_Now);
  --W.m_Left;
  W.m_Opens = false;
  W.m_Service = drawService(S.m_Rngs[W.m_Customer]);
  uint64_t Next = S.m_NextId++;
  S.m_Works.emplace(Next, W);
  double Think = drawExponential(S.m_Rngs[W.m_Customer], ThinkMean);
  S.m_Events.add(S.m_Now + toDuration(Seconds(Think)), {Kind::Statement, W.m_Customer, Next});
}

Result runSim(const Setting &Given) {
  Sim S;
  S.m_Setting = Given;
  const Deployment &D = *Given.m_Where;
  S.m_Fair.m_SlotCount = D.m_Slots;
  PoolSettings Pools;
  S.m_Pool.m_MaxSize = static_cast<uint32_t>(D.m_Connections * Pools.m_ConnectionShare);
  S.m_Rate.m_IsLeaseValid = true;
  S.m_Rate.m_LeaseExpiresAt = TimePoint::max();
  double Sum = 0;
  for (const Customer &C : D.m_Customers)
    Sum += C.m_Rate;
  double Mean = (ServiceMean * (1 - LongShare) + LongMean * LongShare) *
                (1 + TransactionShare * StatementsEach);
  S.m_Result.resize(D.m_Customers.size());
  for (size_t C = 0; C < D.m_Customers.size(); ++C) {
    S.m_Rngs.emplace_back(Given.m_Seed * 1000 + C);
    S.m_Rates.push_back(Booked * D.m_Slots / Mean * D.m_Customers[C].m_Rate / Sum);
    Customer Limits{nameOf(C), S.m_Rates[C], std::max(20.0, 0.2 * S.m_Rates[C])};
    setSlots(S.m_Rate, nameOf(C), splitRate(Limits, 1, RateSettings{}), 1, {}, Begin);
    if (Given.m_Only < 0 || Given.m_Only == static_cast<int>(C))
      S.m_Events.add(Begin + std::chrono::seconds(20), {Kind::Arrival, C, 0});
  }
  while (!S.m_Events.isEmpty()) {
    auto [At, E] = S.m_Events.take();
    if (At >= Begin + Given.m_Length)
      break;
    S.m_Now = At;
    if (E.m_Kind == Kind::Arrival)
      arrive(S, E.m_Customer);
    else if (E.m_Kind == Kind::Statement)
      enqueue(S, E.m_Id);
    else if (E.m_Kind == Kind::Finish)
      finish(S, E.m_Id);
    else
      recordOpenSuccess(S.m_Pool, E.m_Id, At);
    pump(S);
  }
  return S.m_Result;
}

double findP99(std::vector<double> Values) {
  if (Values.empty())
    return 1e9; // starved
  std::ranges::sort(Values);
  return Values[Values.size() * 99 / 100];
}

} // namespace

std::vector<Row> measureQueue(const std::vector<Deployment> &Deployments, const Options &O) {
  std::vector<Row> Rows;
  for (const Deployment &D : Deployments)
    for (bool Limiter : {true, false}) {
      size_t Seeds = O.m_Seeds.size();
      std::vector<std::array<Result, 2>> Beside(Seeds); // fair; first come, first served
      std::vector<Result> Normal(Seeds);
      std::vector<Result> Alone(Seeds, Result(D.m_Customers.size()));
      Setting Base{.m_Where = &D, .m_Length = Seconds(O.m_Smoke ? 30 : 320)};
      std::vector<std::function<void()>> Tasks;
      for (size_t N = 0; N < Seeds; ++N) {
        Setting S = Base;
        S.m_Seed = O.m_Seeds[N];
        Tasks.emplace_back([&, N, S] { Normal[N] = runSim(S); });
        for (size_t C = 1; C < D.m_Customers.size(); ++C) {
          Setting One = S;
          One.m_Only = static_cast<int>(C);
          Tasks.emplace_back([&, N, C, One] { Alone[N][C] = runSim(One)[C]; });
        }
        for (bool Fair : {true, false}) {
          Setting Both = S;
          Both.m_Aggressor = 0;
          Both.m_Fair = Fair;
          Both.m_Limiter = Limiter;
          Tasks.emplace_back([&, N, Fair, Both] { Beside[N][Fair ? 0 : 1] = runSim(Both); });
        }
      }
      runTasks(Tasks);
      std::string Name = Limiter ? "with rate limiter" : "limiter off";
      const std::string Section = "Worst-served customer";
      Reach Target = O.m_Smoke ? Reach::None : Reach::Below;
      Row Ratio{Section, D.m_Name, Name + ": p99 / p99 alone", "", Target, 1.5, {}, {}};
      Row Others{Section, D.m_Name,    Name + ": p99 / p99 with all at their rates",
                 "",      Reach::None, 0,
                 {},      {}};
      Row Refused{Section, D.m_Name, Name + ": requests of others refused", "", Reach::Zero, 0,
                  {},      {}};
      Row Starved{Section, D.m_Name, Name + ": customers without service", "", Reach::Zero, 0,
                  {},      {}};
      for (size_t N = 0; N < Seeds; ++N) {
        std::array<double, 2> Worst{};
        std::array<double, 2> WorstNormal{};
        std::array<double, 2> Lost{};
        double Empty = 0;
        for (size_t C = 1; C < D.m_Customers.size(); ++C)
          for (size_t Way = 0; Way < 2; ++Way) {
            const Served &V = Beside[N][Way][C];
            double P99 = findP99(V.m_Took);
            Worst[Way] = std::max(Worst[Way], P99 / findP99(Alone[N][C].m_Took));
            WorstNormal[Way] = std::max(WorstNormal[Way], P99 / findP99(Normal[N][C].m_Took));
            Lost[Way] += static_cast<double>(V.m_Refused);
            Empty += Way == 0 && V.m_Took.empty() ? 1 : 0;
          }
        Ratio.m_Values.push_back(Worst[0]);
        Ratio.m_Baseline.push_back(Worst[1]);
        Others.m_Values.push_back(WorstNormal[0]);
        Others.m_Baseline.push_back(WorstNormal[1]);
        Refused.m_Values.push_back(Lost[0]);
        Refused.m_Baseline.push_back(Lost[1]);
        Starved.m_Values.push_back(Empty);
      }
      for (Row &R : std::array{Ratio, Others, Refused, Starved})
        Rows.push_back(std::move(R));
    }
  return Rows;
}

} // namespace quetzalpaddle::bench
