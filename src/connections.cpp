// Connection budget of a dispatcher, and the connection that is given up for another customer's.
//
// The connections that a customer holds at a time are taken as Poisson distributed, with the mean
// that follows from its takes per second and the time for which it holds one. With N connections,
// it would miss the last one whenever it takes one while exactly N - 1 are held. The least recently
// used connection is a poor choice: a burst of a large customer leaves many that were used just now
// and replaced the only ones of small customers, which then opened new ones.
#include "connections.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace quetzalpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

// A new sample has this weight in the mean time for which a connection is held.
constexpr double HoldWeight = 0.1;
// Decay times after which a customer is forgotten.
constexpr int ForgetFactor = 10;

double decayedTakes(const CustomerDemand &Demand, TimePoint Now,
                    const ConnectionSettings &Settings) {
  Seconds Elapsed = std::max(Now - Demand.m_UpdatedAt, Duration::zero());
  return Demand.m_TakesPerSecond * std::exp(-Elapsed / Seconds(Settings.m_DemandTime));
}

constexpr std::array<std::string_view, ConnectionCloseCount> CloseNames = {
    "open_failed",          "error_answer",       "not_reusable",
    "unread_data",          "replaced",           "idle_timeout",
    "instance_unreachable", "instance_restarted", "dispatcher_changed",
    "host_draining",        "evacuated"};

} // namespace

std::string_view connectionCloseName(ConnectionClose Cause) {
  return CloseNames.at(static_cast<size_t>(Cause));
}

void noteConnectionTaken(ConnectionDemand &Demand, const std::string &Customer, TimePoint Now,
                         const ConnectionSettings &Settings) {
  CustomerDemand &Entry = Demand[Customer];
  Entry.m_TakesPerSecond =
      decayedTakes(Entry, Now, Settings) + 1 / Seconds(Settings.m_DemandTime).count();
  Entry.m_UpdatedAt = Now;
}

void noteConnectionReturned(ConnectionDemand &Demand, const std::string &Customer,
                            Duration HeldTime) {
  auto It = Demand.find(Customer);
  if (It == Demand.end())
    return;
  double Sample = Seconds(HeldTime).count();
  double &Mean = It->second.m_HoldSeconds;
  Mean = Mean == 0 ? Sample : Mean + (Sample - Mean) * HoldWeight;
}

double connectionUse(const ConnectionDemand &Demand, const std::string &Customer,
                     uint32_t OpenCount, TimePoint Now, const ConnectionSettings &Settings) {
  auto It = Demand.find(Customer);
  if (It == Demand.end() || OpenCount == 0)
    return 0;
  double Takes = decayedTakes(It->second, Now, Settings);
  double MeanHeld = std::max(Takes * It->second.m_HoldSeconds, 1e-9);
  double OthersHeld = OpenCount - 1;
  return Takes * std::exp(OthersHeld * std::log(MeanHeld) - MeanHeld - std::lgamma(OthersHeld + 1));
}

std::string chooseReplacedCustomer(const ConnectionDemand &Demand,
                                   const std::map<std::string, CustomerConnections> &Connections,
                                   TimePoint Now, const ConnectionSettings &Settings) {
  std::string Chosen;
  double LeastUse = 0;
  for (const auto &[Customer, Count] : Connections) {
    if (Count.m_IdleCount == 0)
      continue;
    double Use = connectionUse(Demand, Customer, Count.m_OpenCount, Now, Settings);
    if (Chosen.empty() || Use < LeastUse) {
      Chosen = Customer;
      LeastUse = Use;
    }
  }
  return Chosen;
}

void forgetOldDemand(ConnectionDemand &Demand, TimePoint Now, const ConnectionSettings &Settings) {
  std::erase_if(Demand, [&](const auto &Entry) {
    return Now - Entry.second.m_UpdatedAt > ForgetFactor * Settings.m_DemandTime;
  });
}

bool isInstanceLost(bool HasTimedOut, TimePoint AttemptedAt, TimePoint LastAnswerAt) {
  return !HasTimedOut || LastAnswerAt <= AttemptedAt;
}

void noteInstanceFull(ConnectionBudget &Budget, uint32_t OpenCount, uint32_t SlotCount,
                      TimePoint Now, const ConnectionSettings &Settings) {
  Budget.m_MaxWhileFull = std::max({OpenCount, SlotCount, uint32_t{1}});
  Budget.m_FullUntil = Now + Settings.m_FullBackoff;
}

uint32_t maxConnections(const ConnectionBudget &Budget, uint32_t AcceptedCount, bool IsIsolated,
                        TimePoint Now, const ConnectionSettings &Settings) {
  auto Limit = IsIsolated ? Settings.m_MaxIsolatedConnections
                          : static_cast<uint32_t>(AcceptedCount * Settings.m_DispatcherFraction);
  if (Now < Budget.m_FullUntil)
    Limit = std::min(Limit, Budget.m_MaxWhileFull);
  return std::max<uint32_t>(1, Limit);
}

size_t countKeptWhileDraining(const std::vector<TimePoint> &LastUsedAt, uint32_t AcceptedCount,
                              TimePoint Now, const ConnectionSettings &Settings) {
  auto Reserved =
      AcceptedCount - static_cast<uint32_t>(AcceptedCount * Settings.m_DispatcherFraction);
  auto Recent = std::ranges::count_if(
      LastUsedAt, [&](TimePoint At) { return Now - At <= Settings.m_DrainKeepTime; });
  return std::min<size_t>(static_cast<size_t>(Recent), Reserved);
}

} // namespace quetzalpaddle
