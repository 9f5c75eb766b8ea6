// Time until a withdrawn key and a changed rate are in force on every one of 15 hosts, with the
// platform up, with a relay killed, and with half of the hosts cut off from the platform. The
// platform's stand-in is changed directly: the time of the operator's command is not part of it.
#include "report.h"
#include "system.h"

#include "config_codec.h"
#include "host.h"

#include <fmt/core.h>

#include <algorithm>
#include <ranges>
#include <thread>

using namespace quetzalpaddle;

namespace {

constexpr double ReachMs = 2000;
constexpr std::chrono::seconds InForceLimit{20};
constexpr Millis SettleTime{700}; // between changes, longer than a check for relays takes
constexpr Millis CutTime{1500};   // for which hosts are cut off before the change
constexpr uint32_t Repeats = 4;   // changes of each kind in each state

struct Run {
  BenchReport &m_Report;
  uint64_t m_Seed = 1;
  bool m_Correct = true;
  Random m_Rng;
};

void fail(Run &R, const std::string &What) {
  fmt::print(stderr, "seed {}: {}\n", R.m_Seed, What);
  R.m_Correct = false;
}

std::string customerName(uint32_t Number) { return fmt::format("customer{}", Number); }

SystemOptions makeOptions(uint32_t Customers) {
  SystemOptions Options;
  Options.m_DataCentres = 4;
  Options.m_HostCounts = {4, 4, 4, 3};
  Options.m_Groups = {"g1", "g2", "g3"};
  Options.m_Instance.m_Connect = Millis(10);
  Options.m_Customers.clear();
  for (uint32_t Number = 1; Number <= Customers; ++Number)
    Options.m_Customers.push_back({customerName(Number), 20000, 5000});
  return Options;
}

double toMs(Duration D) { return std::chrono::duration<double, std::milli>(D).count(); }

// Measures the time until Holds is true on every running host, sampled every 2 ms.
void measure(Run &R, TestSystem &S, const std::string &What, const std::string &State,
             const std::function<void()> &Change, const std::function<bool(const Host &)> &Holds) {
  std::vector<RunningHost *> Waiting;
  for (TestHost &Each : S.m_Hosts)
    if (Each.m_Running)
      Waiting.push_back(Each.m_Running.get());
  std::vector<Duration> Took;
  TimePoint Start = Clock::now();
  Change();
  while (!Waiting.empty() && Clock::now() - Start < InForceLimit) {
    std::erase_if(Waiting, [&](RunningHost *Running) {
      bool InForce = false;
      runOnControlThread(*Running, [&](Host &H) { InForce = Holds(H); });
      if (InForce)
        Took.push_back(Clock::now() - Start);
      return InForce;
    });
    std::this_thread::sleep_for(Millis(2));
  }
  if (!Waiting.empty())
    fail(R, fmt::format("{}, {}: not in force on {} hosts", What, State, Waiting.size()));
  if (Took.empty())
    return;
  addSample(R.m_Report, fmt::format("{} on every host, {}", What, State), R.m_Seed,
            toMs(Took.back()), ReachMs);
  addSample(R.m_Report, fmt::format("{} on half of the hosts, {}", What, State), R.m_Seed,
            toMs(Took[Took.size() / 2]));
}

void withdrawKey(Run &R, TestSystem &S, const std::string &Customer, const std::string &State) {
  std::string KeyText = S.m_Keys.at(Customer);
  Key Withdrawn;
  Withdrawn.m_Id = "k-" + Customer;
  Withdrawn.m_Customer = Customer;
  Withdrawn.m_IsWithdrawn = true;
  Withdrawn.m_Hash = hashKey(KeyText, S.m_Hosts[0].m_Settings.m_KeyPepper);
  measure(
      R, S, "key withdrawn", State,
      [&] { storeObject(S, "config/key/" + Withdrawn.m_Id, encodeKey(Withdrawn, "withdraw")); },
      [&](const Host &H) { return !isKeyValid(H.m_Config, Withdrawn.m_Id); });
  CallerRequest Request;
  Request.m_Route = "g1";
  Request.m_KeyText = KeyText;
  Request.m_Statements = {makeStatement(instance::OP_GET, "counters", "row")};
  for (size_t Number = 0; Number < S.m_Hosts.size(); ++Number)
    if (S.m_Hosts[Number].m_Running && callHost(S, Number, Request).m_Class != AnswerClass::NotRun)
      fail(R, fmt::format("{}: a host served a withdrawn key", State));
}

void changeRate(Run &R, TestSystem &S, const std::string &Customer, double Rate,
                const std::string &State) {
  measure(
      R, S, "rate changed", State,
      [&] {
        storeObject(S, "config/customer/" + Customer,
                    encodeCustomer({Customer, Rate, 5000}, fmt::format("rate{}", Rate)));
      },
      [&](const Host &H) {
        auto Known = H.m_Config.m_Customers.find(Customer);
        return Known != H.m_Config.m_Customers.end() && Known->second.m_Rate == Rate;
      });
}

void changeBoth(Run &R, TestSystem &S, uint32_t &Next, const std::string &State) {
  withdrawKey(R, S, customerName(++Next), State);
  std::this_thread::sleep_for(Millis(R.m_Rng() % 200)); // falls anywhere between two exchanges
  changeRate(R, S, customerName(Next), 10000 + Next, State);
  std::this_thread::sleep_for(Millis(R.m_Rng() % 200));
}

// A relay of a data centre chosen at random.
size_t findRelay(Run &R, TestSystem &S) {
  std::vector<size_t> Relays;
  for (size_t Number = 0; Number < S.m_Hosts.size(); ++Number)
    runOnControlThread(*S.m_Hosts[Number].m_Running, [&](Host &H) {
      if (isRelay(H.m_Members, Clock::now(), H.m_Settings.m_Membership))
        Relays.push_back(Number);
    });
  return Relays.at(R.m_Rng() % Relays.size());
}

void cutHalf(Run &R, TestSystem &S) {
  std::vector<std::string> Names;
  Names.reserve(S.m_Hosts.size());
  for (const TestHost &Each : S.m_Hosts)
    Names.push_back(Each.m_Settings.m_HostId);
  std::ranges::shuffle(Names, R.m_Rng);
  standin::FaultRequest Cut;
  for (size_t Number = 0; Number < Names.size() / 2; ++Number)
    Cut.add_cut_host_ids(Names[Number]);
  setFaults(*S.m_Platform, Cut);
}

void runOnce(Run &R, uint32_t Changes) {
  auto S = startSystem(makeOptions(3 * Changes));
  if (!S) {
    fail(R, "the system does not start");
    return;
  }
  uint32_t Next = 0;
  std::this_thread::sleep_for(SettleTime);
  for (uint32_t Number = 0; Number < Changes; ++Number)
    changeBoth(R, *S, Next, "platform up");
  for (uint32_t Number = 0; Number < Changes; ++Number) {
    size_t Relay = findRelay(R, *S);
    killHost(*S, Relay);
    changeBoth(R, *S, Next, "relay killed");
    if (!restartHost(*S, Relay))
      fail(R, "a killed host does not start again");
    std::this_thread::sleep_for(SettleTime);
  }
  standin::FaultRequest Heal;
  Heal.set_heal_host_ids(true);
  for (uint32_t Number = 0; Number < Changes; ++Number) {
    cutHalf(R, *S);
    std::this_thread::sleep_for(CutTime);
    changeBoth(R, *S, Next, "half cut off");
    setFaults(*S->m_Platform, Heal);
    std::this_thread::sleep_for(SettleTime);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = parseBenchOptions(Count, Arguments);
  if (!Options)
    return 2;
  BenchReport Report{"config", joinArguments(Count, Arguments), {}};
  bool Correct = true;
  for (uint32_t Number = 0; Number < Options->m_Runs; ++Number) {
    Run R{Report, Options->m_Seed + Number, true, Random(Options->m_Seed + Number)};
    runOnce(R, Options->m_Smoke ? 1 : Repeats);
    Correct = Correct && R.m_Correct;
  }
  bool Written = finishReport(Report, *Options);
  return Correct && Written ? 0 : 1;
}
