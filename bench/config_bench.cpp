// Measures the time until a withdrawn key and a changed rate are in force on all of 15 hosts: with
// the platform up, with a relay killed, and with half of the hosts cut off from the platform.
// Changes are written directly to the stand-in of the platform, so the time of the operator's
// command is not included.
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

constexpr double TargetMs = 2000;
constexpr std::chrono::seconds InForceTimeout{20};
constexpr Millis SettleTime{700};           // between changes; longer than the relay check takes
constexpr Millis CutOffDuration{1500};      // between cutting hosts off and the change
constexpr uint32_t ChangesPerCondition = 4; // of each kind of change

struct BenchRun {
  BenchReport &m_Report;
  uint64_t m_Seed = 1;
  bool m_HasPassed = true;
  Random m_Rng;
};

void recordFailure(BenchRun &Run, const std::string &Message) {
  fmt::print(stderr, "seed {}: {}\n", Run.m_Seed, Message);
  Run.m_HasPassed = false;
}

std::string customerName(uint32_t Number) { return fmt::format("customer{}", Number); }

SystemOptions makeOptions(uint32_t CustomerCount) {
  SystemOptions Options;
  Options.m_DataCentres = 4;
  Options.m_HostCounts = {4, 4, 4, 3};
  Options.m_Groups = {"g1", "g2", "g3"};
  Options.m_InstanceOptions.m_ConnectDelay = Millis(10);
  Options.m_Customers.clear();
  for (uint32_t Number = 1; Number <= CustomerCount; ++Number)
    Options.m_Customers.push_back({customerName(Number), 20000, 5000});
  return Options;
}

double toMs(Duration D) { return std::chrono::duration<double, std::milli>(D).count(); }

// Applies Change and polls every running host each 2 ms until IsInForce holds for it. Adds the
// times for all hosts and for half of them to the report.
void measurePropagation(BenchRun &Run, TestSystem &System, const std::string &ChangeName,
                        const std::string &Condition, const std::function<void()> &Change,
                        const std::function<bool(const Host &)> &IsInForce) {
  std::vector<RunningHost *> PendingHosts;
  for (TestHost &EachHost : System.m_Hosts)
    if (EachHost.m_Running)
      PendingHosts.push_back(EachHost.m_Running.get());
  std::vector<Duration> Delays;
  TimePoint Start = Clock::now();
  Change();
  while (!PendingHosts.empty() && Clock::now() - Start < InForceTimeout) {
    std::erase_if(PendingHosts, [&](RunningHost *Running) {
      bool IsInForceOnHost = false;
      runOnControlThread(*Running, [&](Host &H) { IsInForceOnHost = IsInForce(H); });
      if (IsInForceOnHost)
        Delays.push_back(Clock::now() - Start);
      return IsInForceOnHost;
    });
    std::this_thread::sleep_for(Millis(2));
  }
  if (!PendingHosts.empty())
    recordFailure(Run, fmt::format("{}, {}: still not in force on {} hosts", ChangeName, Condition,
                                   PendingHosts.size()));
  if (Delays.empty())
    return;
  addSample(Run.m_Report, fmt::format("{} on every host, {}", ChangeName, Condition), Run.m_Seed,
            toMs(Delays.back()), TargetMs);
  addSample(Run.m_Report, fmt::format("{} on half of the hosts, {}", ChangeName, Condition),
            Run.m_Seed, toMs(Delays[Delays.size() / 2]));
}

void withdrawKey(BenchRun &Run, TestSystem &System, const std::string &Customer,
                 const std::string &Condition) {
  std::string KeyText = System.m_Keys.at(Customer);
  Key WithdrawnKey;
  WithdrawnKey.m_Id = "k-" + Customer;
  WithdrawnKey.m_Customer = Customer;
  WithdrawnKey.m_IsWithdrawn = true;
  WithdrawnKey.m_Hash = hashKey(KeyText, System.m_Hosts[0].m_Settings.m_KeyPepper);
  measurePropagation(
      Run, System, "key withdrawn", Condition,
      [&] {
        storeObject(System, "config/key/" + WithdrawnKey.m_Id, encodeKey(WithdrawnKey, "withdraw"));
      },
      [&](const Host &H) { return !isKeyValid(H.m_Config, WithdrawnKey.m_Id); });
  CallerRequest Request;
  Request.m_Route = "g1";
  Request.m_KeyText = KeyText;
  Request.m_Statements = {makeStatement(instance::OP_GET, "counters", "row")};
  for (size_t HostIndex = 0; HostIndex < System.m_Hosts.size(); ++HostIndex)
    if (System.m_Hosts[HostIndex].m_Running &&
        callHost(System, HostIndex, Request).m_Class != AnswerClass::NotRun)
      recordFailure(Run, fmt::format("{}: a host served a withdrawn key", Condition));
}

void changeRate(BenchRun &Run, TestSystem &System, const std::string &Customer, double Rate,
                const std::string &Condition) {
  measurePropagation(
      Run, System, "rate changed", Condition,
      [&] {
        storeObject(System, "config/customer/" + Customer,
                    encodeCustomer({Customer, Rate, 5000}, fmt::format("rate{}", Rate)));
      },
      [&](const Host &H) {
        auto Found = H.m_Config.m_Customers.find(Customer);
        return Found != H.m_Config.m_Customers.end() && Found->second.m_Rate == Rate;
      });
}

void withdrawKeyAndChangeRate(BenchRun &Run, TestSystem &System, uint32_t &CustomerNumber,
                              const std::string &Condition) {
  withdrawKey(Run, System, customerName(++CustomerNumber), Condition);
  // The changes fall at random points between two exchanges.
  std::this_thread::sleep_for(Millis(Run.m_Rng() % 200));
  changeRate(Run, System, customerName(CustomerNumber), 10000 + CustomerNumber, Condition);
  std::this_thread::sleep_for(Millis(Run.m_Rng() % 200));
}

// Returns the index of a random host among the relays of all data centres.
size_t chooseRelay(BenchRun &Run, TestSystem &System) {
  std::vector<size_t> RelayIndexes;
  for (size_t HostIndex = 0; HostIndex < System.m_Hosts.size(); ++HostIndex)
    runOnControlThread(*System.m_Hosts[HostIndex].m_Running, [&](Host &H) {
      if (isRelay(H.m_Members, Clock::now(), H.m_Settings.m_Membership))
        RelayIndexes.push_back(HostIndex);
    });
  return RelayIndexes.at(Run.m_Rng() % RelayIndexes.size());
}

// Cuts a random half of the hosts off from the platform.
void cutOffHalf(BenchRun &Run, TestSystem &System) {
  std::vector<std::string> HostIds;
  HostIds.reserve(System.m_Hosts.size());
  for (const TestHost &Each : System.m_Hosts)
    HostIds.push_back(Each.m_Settings.m_HostId);
  std::ranges::shuffle(HostIds, Run.m_Rng);
  standin::FaultRequest Faults;
  for (size_t Index = 0; Index < HostIds.size() / 2; ++Index)
    Faults.add_cut_host_ids(HostIds[Index]);
  setFaults(*System.m_Platform, Faults);
}

void runAllConditions(BenchRun &Run, uint32_t ChangeCount) {
  auto System = startSystem(makeOptions(3 * ChangeCount));
  if (!System) {
    recordFailure(Run, "the system did not start");
    return;
  }
  uint32_t CustomerNumber = 0;
  std::this_thread::sleep_for(SettleTime);
  for (uint32_t Index = 0; Index < ChangeCount; ++Index)
    withdrawKeyAndChangeRate(Run, *System, CustomerNumber, "platform up");
  for (uint32_t Index = 0; Index < ChangeCount; ++Index) {
    size_t RelayIndex = chooseRelay(Run, *System);
    killHost(*System, RelayIndex);
    withdrawKeyAndChangeRate(Run, *System, CustomerNumber, "relay killed");
    if (!restartHost(*System, RelayIndex))
      recordFailure(Run, "a killed host did not restart");
    std::this_thread::sleep_for(SettleTime);
  }
  standin::FaultRequest HealRequest;
  HealRequest.set_heal_host_ids(true);
  for (uint32_t Index = 0; Index < ChangeCount; ++Index) {
    cutOffHalf(Run, *System);
    std::this_thread::sleep_for(CutOffDuration);
    withdrawKeyAndChangeRate(Run, *System, CustomerNumber, "half cut off");
    setFaults(*System->m_Platform, HealRequest);
    std::this_thread::sleep_for(SettleTime);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = parseBenchOptions(Count, Arguments);
  if (!Options)
    return 2;
  BenchReport Report{"config", joinArguments(Count, Arguments), {}};
  bool HasPassed = true;
  for (uint32_t Index = 0; Index < Options->m_RunCount; ++Index) {
    BenchRun Run{Report, Options->m_Seed + Index, true, Random(Options->m_Seed + Index)};
    runAllConditions(Run, Options->m_Smoke ? 1 : ChangesPerCondition);
    HasPassed = HasPassed && Run.m_HasPassed;
  }
  bool IsWritten = finishReport(Report, *Options);
  return HasPassed && IsWritten ? 0 : 1;
}
