// Refusals of requests that are within the customer's rate.
//
// A request counts as within the rate if one ideal token bucket for the whole fleet, with the
// customer's rate and burst, admits it. Each customer is simulated by itself, since the decisions
// share nothing between customers.
#include "policy_bench.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle::bench {

namespace {

constexpr Seconds WarmUp{3};     // buckets start empty
constexpr Seconds MoveEvery{10}; // the hosts with the high demand change
constexpr double Skew = 10;
constexpr Seconds Tick{0.01}; // of a host, as in serve.cpp
// One message in 500 is held up by a pause of a host or a lost packet.
constexpr double SlowShare = 0.002;
constexpr double SlowMean = 0.005;
constexpr Seconds InDataCentre{0.00015};

struct Setting {
  Customer m_Customer{};
  const Deployment *m_Where = nullptr;
  uint64_t m_Seed = 0;
  double m_Load = 0.8; // of the rate
  Seconds m_Length{60};
  Seconds m_OutageAt{-1}; // of the platform, for 10 min
  Seconds m_KillAt{-1};   // a host that holds a slot
  Seconds m_CountFrom{0}; // of the refusals
  bool m_CallersNotice = true;
};

struct Tally {
  uint64_t m_Arrived = 0;
  uint64_t m_InRate = 0;
  uint64_t m_Refused = 0;       // of those within the rate
  uint64_t m_StaticRefused = 0; // the same, with the rate divided over the hosts
  uint64_t m_Waited = 0;
  uint64_t m_Asks = 0;
  double m_Excess = 0; // admissions of the worst window over rate * length + burst
};

// A token bucket on its own.
struct PlainBucket {
  double m_Rate = 0;
  double m_Burst = 0;
  double m_Level = 0;
  TimePoint m_Filled{};
};

bool takePlain(PlainBucket &B, TimePoint Now) {
  B.m_Level = std::min(B.m_Burst, B.m_Level + Seconds(Now - B.m_Filled).count() * B.m_Rate);
  B.m_Filled = Now;
  if (B.m_Level < 1)
    return false;
  B.m_Level -= 1;
  return true;
}

enum class Kind { Arrival, Asked, Answered, Tick };
struct Event {
  Kind m_Kind = Kind::Arrival;
  uint32_t m_Host = 0;
  uint32_t m_Asker = 0;
  double m_Wanted = 0;
  double m_Granted = 0;
  double m_Level = 0;
  TimePoint m_AskedAt{};
};

struct Request {
  TimePoint m_Admitted{};
  bool m_InRate = false;
  bool m_Refused = false;
};

struct Fleet {
  Setting m_Setting;
  RateSettings m_Rates;
  Random m_Rng;
  Timeline<Event> m_Events;
  TimePoint m_Now = Begin;
  std::vector<RateState> m_Hosts;
  std::vector<bool> m_TickPlanned;
  uint32_t m_Killed = UINT32_MAX;
  PlainBucket m_Ideal;
  std::vector<PlainBucket> m_Static;
  std::vector<Request> m_Requests;
  Tally m_Tally;
};

uint32_t findDataCentre(const Deployment &D, uint32_t Host) {
  return Host * D.m_DataCentres / D.m_Hosts;
}

TimePoint at(Seconds S) { return Begin + toDuration(S); }

bool isDown(const Fleet &F, uint32_t Host) {
  return Host == F.m_Killed && F.m_Setting.m_KillAt.count() >= 0 &&
         F.m_Now >= at(F.m_Setting.m_KillAt);
}

Duration drawDelay(Fleet &F, uint32_t From, uint32_t To) {
  const Deployment &D = *F.m_Setting.m_Where;
  Seconds Base = findDataCentre(D, From) == findDataCentre(D, To) ? InDataCentre : D.m_OneWay;
  double Delay = Base.count() + drawExponential(F.m_Rng, 0.00005);
  if (std::bernoulli_distribution(SlowShare)(F.m_Rng))
    Delay += drawExponential(F.m_Rng, SlowMean);
  return toDuration(Seconds(Delay));
}

// The lease was last renewed just under a minute before an outage of the platform.
void renewLease(const Fleet &F, RateState &State) {
  const Setting &S = F.m_Setting;
  TimePoint Renewed = F.m_Now;
  if (S.m_OutageAt.count() >= 0 && F.m_Now >= at(S.m_OutageAt))
    Renewed = at(S.m_OutageAt) - (F.m_Rates.m_LeaseRenewalInterval - std::chrono::seconds(1));
  State.m_IsLeaseValid = true;
  State.m_LeaseExpiresAt = Renewed + F.m_Rates.m_LeaseDuration;
}

void sendAsks(Fleet &F, uint32_t Host, const std::vector<TokenRequest> &Asks) {
  for (const TokenRequest &Ask : Asks) {
    ++F.m_Tally.m_Asks;
    auto To = static_cast<uint32_t>(std::stoul(Ask.m_Host));
    Event Asked{.m_Kind = Kind::Asked,
                .m_Host = To,
                .m_Asker = Host,
                .m_Wanted = Ask.m_RequestedTokens,
                .m_AskedAt = Ask.m_RequestedAt};
    F.m_Events.add(F.m_Now + drawDelay(F, Host, To), Asked);
  }
}

void noteAdmitted(Fleet &F, const std::vector<uint64_t> &Ids) {
  for (uint64_t Id : Ids)
    F.m_Requests[Id].m_Admitted = F.m_Now;
}

void planTick(Fleet &F, uint32_t Host) {
  if (F.m_TickPlanned[Host] ||
      F.m_Hosts[Host].m_Customers.begin()->second.m_WaitingRequests.empty())
    return;
  F.m_TickPlanned[Host] = true;
  Duration Phase = toDuration(Tick * Host / F.m_Hosts.size());
  Duration Passed = (F.m_Now - Begin - Phase) % toDuration(Tick);
  F.m_Events.add(F.m_Now + toDuration(Tick) - Passed, {.m_Kind = Kind::Tick, .m_Host = Host});
}

// The hosts of one data centre's size have ten times the demand of the others.
uint32_t drawHost(Fleet &F) {
  const Deployment &D = *F.m_Setting.m_Where;
  uint32_t Hot = D.m_Hosts / D.m_DataCentres;
  auto Moves = static_cast<uint32_t>(Seconds(F.m_Now - Begin) / MoveEvery);
  uint32_t First = Moves * (Hot + 1) % D.m_Hosts;
  while (true) {
    double Draw = drawUniform(F.m_Rng, 0, Hot * Skew + (D.m_Hosts - Hot));
    auto Place = static_cast<uint32_t>(Draw < Hot * Skew ? Draw / Skew : Draw - Hot * (Skew - 1));
    uint32_t Host = (First + std::min(Place, D.m_Hosts - 1)) % D.m_Hosts;
    if (!isDown(F, Host))
      return Host;
  }
}

void arrive(Fleet &F) {
  uint64_t Id = F.m_Requests.size();
  uint32_t Host = drawHost(F);
  Request R;
  R.m_InRate = takePlain(F.m_Ideal, F.m_Now);
  bool Counted = F.m_Now >= at(F.m_Setting.m_CountFrom);
  ++F.m_Tally.m_Arrived;
  if (R.m_InRate && Counted)
    ++F.m_Tally.m_InRate;
  bool StaticTaken = takePlain(F.m_Static[Host], F.m_Now);
  if (R.m_InRate && Counted && !StaticTaken)
    ++F.m_Tally.m_StaticRefused;
  if (!Counted)
    R.m_InRate = false;
  RateState &State = F.m_Hosts[Host];
  renewLease(F, State);
  AdmitResult Result = admitRequest(State, "c", Id, F.m_Now, F.m_Rates);
  if (Result.m_Admission == Admission::Admitted)
    R.m_Admitted = F.m_Now;
  R.m_Refused = Result.m_Admission == Admission::Refused;
  F.m_Tally.m_Waited += Result.m_Admission == Admission::Waiting;
  F.m_Requests.push_back(R);
  sendAsks(F, Host, Result.m_TokenRequests);
  planTick(F, Host);
  double Mean = 1 / (F.m_Setting.m_Load * F.m_Setting.m_Customer.m_Rate);
  F.m_Events.add(F.m_Now + toDuration(Seconds(drawExponential(F.m_Rng, Mean))), {});
}

void handleEvent(Fleet &F, const Event &E) {
  RateState &State = F.m_Hosts[E.m_Host];
  if (E.m_Kind == Kind::Arrival) {
    arrive(F);
    return;
  }
  bool Down = isDown(F, E.m_Host);
  renewLease(F, State);
  switch (E.m_Kind) {
  case Kind::Asked: {
    Event Answer = E;
    Answer.m_Kind = Kind::Answered;
    Answer.m_Host = E.m_Asker;
    Answer.m_Asker = E.m_Host; // the holder
    TimePoint Arrives = F.m_Now + drawDelay(F, E.m_Host, E.m_Asker);
    if (Down) { // the caller's time limit
      Arrives = std::max(F.m_Now, E.m_AskedAt + F.m_Rates.m_TransferValidity);
    } else {
      Answer.m_Granted = grantTokens(State, "c", E.m_Wanted, F.m_Now, F.m_Rates);
      for (const Bucket &B : State.m_Customers["c"].m_HeldSlots)
        Answer.m_Level += B.m_Level;
    }
    F.m_Events.add(Arrives, Answer);
    return;
  }
  case Kind::Answered: {
    if (Down)
      return;
    AddTokensResult Added = addTokens(State, "c", std::to_string(E.m_Asker), E.m_Granted, E.m_Level,
                                      E.m_AskedAt, F.m_Now, F.m_Rates);
    noteAdmitted(F, Added.m_AdmittedIds);
    sendAsks(F, E.m_Host, Added.m_TokenRequests);
    return;
  }
  default:
    F.m_TickPlanned[E.m_Host] = false;
    for (uint64_t Id : expireWaiting(State, F.m_Now, F.m_Rates))
      F.m_Requests[Id].m_Refused = true;
    planTick(F, E.m_Host);
  }
}

// Divides the slots over the hosts of each data centre, in a random order.
void setUpHosts(Fleet &F) {
  const Deployment &D = *F.m_Setting.m_Where;
  std::vector<std::vector<uint32_t>> Members(D.m_DataCentres);
  for (uint32_t Host = 0; Host < D.m_Hosts; ++Host)
    Members[findDataCentre(D, Host)].push_back(Host);
  std::map<uint32_t, uint32_t> Held;
  std::vector<SlotHolder> Holders;
  for (std::vector<uint32_t> &Each : Members) {
    std::ranges::shuffle(Each, F.m_Rng);
    for (uint32_t Slot = 0; Slot < F.m_Rates.m_SlotsPerDataCentre; ++Slot) {
      uint32_t Host = Each[Slot % Each.size()];
      ++Held[Host];
      SlotHolder Holder;
      Holder.m_Host = std::to_string(Host);
      Holder.m_DataCentre = std::to_string(findDataCentre(D, Host));
      Holders.push_back(Holder);
    }
  }
  F.m_Killed = Members[0][0];
  Bucket Slot = splitRate(F.m_Setting.m_Customer, static_cast<uint32_t>(Holders.size()), F.m_Rates);
  F.m_Hosts.resize(D.m_Hosts);
  F.m_TickPlanned.resize(D.m_Hosts);
  for (uint32_t Host = 0; Host < D.m_Hosts; ++Host) {
    RateState &State = F.m_Hosts[Host];
    State.m_Host = std::to_string(Host);
    State.m_DataCentre = std::to_string(findDataCentre(D, Host));
    renewLease(F, State);
    setSlots(State, "c", Slot, Held[Host], Holders, Begin);
  }
}

Tally runFleet(const Setting &S) {
  Fleet F;
  F.m_Setting = S;
  F.m_Rng.seed(S.m_Seed);
  setUpHosts(F);
  const Customer &C = S.m_Customer;
  F.m_Ideal = {C.m_Rate, C.m_Burst, C.m_Burst, Begin};
  auto Hosts = static_cast<double>(F.m_Hosts.size());
  F.m_Static.assign(F.m_Hosts.size(),
                    {C.m_Rate / Hosts, C.m_Burst / Hosts, C.m_Burst / Hosts, Begin});
  F.m_Events.add(at(WarmUp), {});
  while (!F.m_Events.isEmpty()) {
    auto [At, E] = F.m_Events.take();
    if (At >= at(WarmUp + S.m_Length))
      break;
    F.m_Now = At;
    handleEvent(F, E);
  }
  std::vector<double> Admitted;
  for (const Request &R : F.m_Requests) {
    F.m_Tally.m_Refused += R.m_InRate && R.m_Refused;
    if (R.m_Admitted != TimePoint{})
      Admitted.push_back(Seconds(R.m_Admitted - Begin).count());
  }
  // Over every window: the lowest number admitted before, less the rate, against each later one.
  std::ranges::sort(Admitted);
  double Lowest = 1e18;
  F.m_Tally.m_Excess = -C.m_Burst;
  for (size_t I = 0; I < Admitted.size(); ++I) {
    double Paid = static_cast<double>(I) - C.m_Rate * Admitted[I];
    Lowest = std::min(Lowest, Paid);
    F.m_Tally.m_Excess = std::max(F.m_Tally.m_Excess, Paid + 1 - Lowest - C.m_Burst);
  }
  return F.m_Tally;
}

struct Case {
  std::string m_Name;
  Setting m_Setting;
  double m_Limit = -1; // percent refused; negative: report only
};

std::vector<Case> listCases(bool Smoke) {
  if (Smoke) {
    Setting Normal{.m_Length = Seconds(8)};
    Setting Over{.m_Load = 5, .m_Length = Seconds(3)};
    Setting Killed{.m_Length = Seconds(6), .m_KillAt = Seconds(5)};
    return {{"at 80%", Normal, -1}, {"at 500%", Over, -1}, {"host killed", Killed, -1}};
  }
  Setting Normal;
  Setting High{.m_Load = 0.95};
  Setting Over{.m_Load = 5, .m_Length = Seconds(20)};
  Setting Outage{.m_Length = Seconds(690), .m_OutageAt = Seconds(33), .m_CountFrom = Seconds(33)};
  Setting Killed{.m_Length = Seconds(90), .m_KillAt = Seconds(28), .m_CountFrom = Seconds(28)};
  return {{"at 80% of the rate", Normal, 0.1},
          {"at 95% of the rate", High, 0.1},
          {"at 80%, platform down 10 min", Outage, 1},
          {"at 80%, a host killed", Killed, -1},
          {"at 500% of the rate", Over, -1}};
}

double percent(uint64_t Part, uint64_t Whole) {
  return Whole == 0 ? 0 : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

} // namespace

std::vector<Row> measureRate(const std::vector<Deployment> &Deployments, const Options &O) {
  std::vector<Row> Rows;
  for (const Deployment &D : Deployments)
    for (const Case &Each : listCases(O.m_Smoke)) {
      std::vector<std::vector<Tally>> Results(O.m_Seeds.size(),
                                              std::vector<Tally>(D.m_Customers.size()));
      std::vector<std::function<void()>> Tasks;
      for (size_t Seed = 0; Seed < O.m_Seeds.size(); ++Seed)
        for (size_t C = 0; C < D.m_Customers.size(); ++C)
          Tasks.emplace_back([&, Seed, C] {
            Setting S = Each.m_Setting;
            S.m_Customer = D.m_Customers[C];
            S.m_Where = &D;
            S.m_Seed = O.m_Seeds[Seed] * 1000 + C;
            Results[Seed][C] = runFleet(S);
          });
      runTasks(Tasks);
      const std::string Section = "Refused although within rate";
      Row Refused{Section,
                  D.m_Name,
                  Each.m_Name + ": refused",
                  "%",
                  Each.m_Limit < 0 ? Reach::None : Reach::Below,
                  Each.m_Limit,
                  {},
                  {}};
      Row Worst{Section, D.m_Name, Each.m_Name + ": refused, worst customer", "%", Reach::None, 0,
                {},      {}};
      Row Excess{Section,
                 D.m_Name,
                 Each.m_Name + ": most over the bound, any window",
                 "requests",
                 Reach::AtMostZero,
                 1e-6,
                 {},
                 {}};
      Row Waited{Section, D.m_Name, Each.m_Name + ": waited for tokens", "%", Reach::None, 0,
                 {},      {}};
      Row Asks{Section, D.m_Name,    Each.m_Name + ": messages between hosts per request",
               "",      Reach::None, 0,
               {},      {}};
      for (const std::vector<Tally> &Seed : Results) {
        Tally Sum;
        double WorstShare = 0;
        double WorstStatic = 0;
        Sum.m_Excess = -1e18;
        for (const Tally &T : Seed) {
          Sum.m_Arrived += T.m_Arrived;
          Sum.m_InRate += T.m_InRate;
          Sum.m_Refused += T.m_Refused;
          Sum.m_StaticRefused += T.m_StaticRefused;
          Sum.m_Waited += T.m_Waited;
          Sum.m_Asks += T.m_Asks;
          Sum.m_Excess = std::max(Sum.m_Excess, T.m_Excess);
          WorstShare = std::max(WorstShare, percent(T.m_Refused, T.m_InRate));
          WorstStatic = std::max(WorstStatic, percent(T.m_StaticRefused, T.m_InRate));
        }
        Refused.m_Values.push_back(percent(Sum.m_Refused, Sum.m_InRate));
        Refused.m_Baseline.push_back(percent(Sum.m_StaticRefused, Sum.m_InRate));
        Worst.m_Values.push_back(WorstShare);
        Worst.m_Baseline.push_back(WorstStatic);
        Excess.m_Values.push_back(Sum.m_Excess);
        Waited.m_Values.push_back(percent(Sum.m_Waited, Sum.m_Arrived));
        Asks.m_Values.push_back(static_cast<double>(Sum.m_Asks) /
                                static_cast<double>(Sum.m_Arrived));
      }
      for (Row &R : std::array{Refused, Worst, Excess, Waited, Asks})
        Rows.push_back(std::move(R));
    }
  return Rows;
}

} // namespace quetzalpaddle::bench
