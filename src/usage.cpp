// Fleet-wide token bucket, replicated on every host that admits, by exchanged counts.
//
// Every such host charges its copy of the bucket with the requests that it admits, at once, and
// with those that the others report, late by an exchange interval. Between reports the others are
// assumed to continue at their last rate. While the bucket holds more than all hosts together can
// admit before reports arrive, every request is admitted. Below that, a host admits only its share
// of the rate, in proportion to its part of the customer's demand, so that admissions not yet
// reported no longer add up to an excess. A share saves up at least one request; nothing else is
// granted per host, and the hosts that admit are the few hubs, so the sum does not grow with the
// fleet.
//
// The debt left by late reports is repaid from the rate, so an excess does not accumulate over
// windows. A host that falls silent may be cut off and go on admitting. Its part of the demand is
// frozen as its part of rate and burst, which nobody else uses until it is heard again. Both sides
// of a partition freeze the same parts, up to the delay of reports, so they add up to the limit.
// Cost: the part of a host that has ended is unused until it restarts or the hold time is over.
#include "usage.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace quetzalpaddle {

namespace {

// Fraction of the burst below which hosts always keep to their shares. A sudden rise in demand
// shows in the smoothed rates only after some tenths of a second.
constexpr double LowTokensFraction = 0.2;
// Time for which admissions of other hosts may be unknown: a report interval, one lost report and
// the network delay.
constexpr double ReportDelaySeconds = 0.4;
// Fraction of the burst that a new customer starts with. Just above LowTokensFraction, so that hubs
// that restart one after another do not each grant a part of the burst.
constexpr double InitialTokensFraction = 0.25;
// Time constant of the average of the demand.
constexpr double DemandAveragingSeconds = 0.5;
// The same for callers, from which the withheld parts follow: both sides of a partition have to
// compute about the same from reports that differ.
constexpr double CallerAveragingSeconds = 5.0;
// Time in which the hosts together spend the rest of the bucket, or repay its debt. Above the delay
// of reports: with less, they would react to the same excess twice.
constexpr double SettlementSeconds = 0.8;
// A share may be saved up for this long.
constexpr double MaxSavedShareSeconds = 0.5;
// Requests that a share may always save up: with less, a small share would never admit one.
constexpr double MinSavedTokens = 1.0;
// A host without a report on a customer for this long is removed at the next report on it, unless
// the host is silent on everything.
constexpr std::chrono::seconds RemoteUsageTimeout{6};
// Weight of the newest interval in the smoothed rate of another host.
constexpr double RateSmoothingWeight = 0.5;

double toSeconds(Duration D) { return std::chrono::duration<double>(D).count(); }

double decayFactor(Duration Elapsed, double AveragingSeconds) {
  return std::exp(-toSeconds(Elapsed) / AveragingSeconds);
}

// Returns the sum of a value over the other hosts for which Filter returns true.
template <class Filter, class Value>
double sumOverRemotes(const CustomerUsage &Usage, Filter Includes, Value ValueOf) {
  return std::accumulate(Usage.m_RemoteUsage.begin(), Usage.m_RemoteUsage.end(), 0.0,
                         [&](double Sum, const auto &Remote) {
                           return Includes(Remote.second) ? Sum + ValueOf(Remote.second) : Sum;
                         });
}

bool isAny(const RemoteUsage & /*Remote*/) { return true; }
double offeredBy(const RemoteUsage &Remote) { return Remote.m_LastReport.m_OfferedRate; }
double heldFor(const RemoteUsage &Remote) { return Remote.m_HeldFraction; }
bool isSilentLeaf(const RemoteUsage &Remote) { return Remote.m_IsLeaf && Remote.m_IsSilent; }
bool isHeardHub(const RemoteUsage &Remote) { return !Remote.m_IsLeaf && !Remote.m_IsSilent; }
// Requests of a leaf that is heard are admitted by the hubs, in whose demand they are contained.
bool admitsItself(const RemoteUsage &Remote) { return !Remote.m_IsLeaf || Remote.m_IsSilent; }

double remoteDemand(const CustomerUsage &Usage) {
  return sumOverRemotes(Usage, admitsItself, offeredBy);
}

double callersOf(const RemoteUsage &Remote) { return Remote.m_LastReport.m_CallerRate; }
double frozenCallersOf(const RemoteUsage &Remote) { return Remote.m_FrozenCallerRate; }

// Returns the rate of the callers of this host and of the leaves that it hears. While parts are
// withheld it does not follow demand: callers that send more on one side would otherwise claim the
// part of the other.
double ownCallers(const CustomerUsage &Usage) {
  return Usage.m_CallerRate +
         sumOverRemotes(
             Usage, [](const RemoteUsage &Remote) { return Remote.m_IsLeaf && !Remote.m_IsSilent; },
             Usage.m_HoldDemand > 0 ? frozenCallersOf : callersOf);
}

// Returns the rate of the callers of all hosts that are heard.
double heardCallers(const CustomerUsage &Usage) {
  return ownCallers(Usage) + sumOverRemotes(Usage, isHeardHub, callersOf);
}

// Returns the part of the rate that is withheld for silent hubs. Leaves that have moved from them
// to a hub that is heard have brought their part along.
double withheldByHubs(const CustomerUsage &Usage) {
  double Held = sumOverRemotes(
      Usage, [](const RemoteUsage &Remote) { return !Remote.m_IsLeaf && Remote.m_IsSilent; },
      heldFor);
  if (Held == 0 || Usage.m_HoldDemand <= 0)
    return 0;
  return std::min(Held, std::max(0.0, 1 - heardCallers(Usage) / Usage.m_HoldDemand));
}

// Returns the demand at this host that silent leaves would have, so that the other hubs leave their
// part unused.
double withheldDemand(const CustomerUsage &Usage) {
  double Held = std::min(0.99, sumOverRemotes(Usage, isSilentLeaf, heldFor));
  double Demand = Usage.m_OfferedRate + sumOverRemotes(Usage, isHeardHub, offeredBy);
  return Demand * Held / (1 - Held);
}

// Refills the bucket and charges what the other hosts are expected to have admitted.
void refill(CustomerUsage &Usage, TimePoint Now) {
  if (Now <= Usage.m_RefilledAt)
    return;
  double Elapsed = toSeconds(Now - Usage.m_RefilledAt);
  Usage.m_RefilledAt = Now;
  double Charge = 0;
  double HeldSum = sumOverRemotes(Usage, admitsItself, heldFor);
  double HeldRate = HeldSum > 0 ? Usage.m_Rate * withheldFraction(Usage) / HeldSum : 0;
  for (auto &[Host, Remote] : Usage.m_RemoteUsage) {
    double ExpectedRate =
        Remote.m_IsSilent ? HeldRate * Remote.m_HeldFraction : Remote.m_AdmittedRate;
    Remote.m_AnticipatedCount += ExpectedRate * Elapsed;
    Charge += ExpectedRate * Elapsed;
  }
  Usage.m_Tokens = std::min(Usage.m_Burst, Usage.m_Tokens + Usage.m_Rate * Elapsed - Charge);
}

// Returns this host's part of the rate.
double ownFraction(const UsageState &State, const CustomerUsage &Usage) {
  if (State.m_IsIsolated)
    return Usage.m_IsolatedFraction;
  double HeardDemand = sumOverRemotes(Usage, isHeardHub, offeredBy) + withheldDemand(Usage);
  return (1 - withheldByHubs(Usage)) * Usage.m_OfferedRate /
         std::max(Usage.m_OfferedRate + HeardDemand, 1e-9);
}

// Takes one request from this host's share of the rate; returns whether the share had one left.
bool takeShare(const UsageState &State, CustomerUsage &Usage, TimePoint Now) {
  // What the bucket holds beyond the part of silent hosts, or owes, is spent or repaid over some
  // report intervals. An isolated host cannot know what it holds.
  double Balance =
      State.m_IsIsolated ? 0 : Usage.m_Tokens - withheldFraction(Usage) * Usage.m_Burst;
  double SharedRate = std::max(0.0, Usage.m_Rate + Balance / SettlementSeconds);
  double RatePerSecond = ownFraction(State, Usage) * SharedRate;
  Usage.m_ShareTokens =
      std::min(std::max(MinSavedTokens, RatePerSecond * MaxSavedShareSeconds),
               Usage.m_ShareTokens + RatePerSecond * toSeconds(Now - Usage.m_ShareRefilledAt));
  Usage.m_ShareRefilledAt = Now;
  if (Usage.m_ShareTokens < 1)
    return false;
  Usage.m_ShareTokens -= 1;
  return true;
}

} // namespace

void setCustomerLimits(UsageState &State, const std::string &Customer, double Rate, double Burst,
                       TimePoint Now) {
  auto [It, IsNew] = State.m_Customers.try_emplace(Customer);
  CustomerUsage &Usage = It->second;
  if (IsNew) {
    Usage.m_Tokens = Burst * InitialTokensFraction;
    Usage.m_RefilledAt = Usage.m_ShareRefilledAt = Now;
    Usage.m_OfferedRateAt = Usage.m_CallerRateAt = Now;
  }
  Usage.m_Rate = Rate * (1 + State.m_Headroom);
  Usage.m_Burst = Burst + State.m_BurstSlack;
  Usage.m_Tokens = std::min(Usage.m_Tokens, Burst);
}

double withheldFraction(const CustomerUsage &Usage) {
  return std::min(1.0, withheldByHubs(Usage) + sumOverRemotes(Usage, isSilentLeaf, heldFor));
}

double callerRate(const CustomerUsage &Usage, TimePoint Now) {
  return Usage.m_CallerRate * decayFactor(Now - Usage.m_CallerRateAt, CallerAveragingSeconds);
}

double offeredRate(const CustomerUsage &Usage, TimePoint Now) {
  return Usage.m_OfferedRate * decayFactor(Now - Usage.m_OfferedRateAt, DemandAveragingSeconds);
}

void noteRemoteUsage(UsageState &State, const std::string &Customer, const std::string &Host,
                     const UsageReport &Report, bool IsLeaf, TimePoint Now) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return;
  CustomerUsage &Usage = It->second;
  refill(Usage, Now);
  std::erase_if(Usage.m_RemoteUsage, [&](const auto &Remote) {
    return !Remote.second.m_IsSilent && Now - Remote.second.m_ReportedAt > RemoteUsageTimeout;
  });
  auto [Entry, IsNew] = Usage.m_RemoteUsage.try_emplace(Host);
  RemoteUsage &Remote = Entry->second;
  // A hub also reports for its leaves, so the counts before and after a change of role cannot be
  // compared.
  bool HasNewRole = Remote.m_IsLeaf != IsLeaf;
  if (IsNew || HasNewRole || Remote.m_LastReport.m_Incarnation != Report.m_Incarnation) {
    Remote = {};
    Remote.m_LastReport = Report;
    Remote.m_ReportedAt = Now;
    Remote.m_IsLeaf = IsLeaf;
    Remote.m_FrozenCallerRate = Report.m_CallerRate;
    return;
  }
  double NewlyAdmittedCount = Report.m_AdmittedCount - Remote.m_LastReport.m_AdmittedCount;
  if (Now <= Remote.m_ReportedAt)
    return;
  Usage.m_Tokens =
      std::min(Usage.m_Burst, Usage.m_Tokens + Remote.m_AnticipatedCount - NewlyAdmittedCount);
  Usage.m_RemoteAdmittedCount += NewlyAdmittedCount;
  if (IsLeaf)
    Usage.m_LeafAdmittedCount += NewlyAdmittedCount;
  double RatePerSecond =
      std::max(NewlyAdmittedCount, 0.0) / std::max(toSeconds(Now - Remote.m_ReportedAt), 0.01);
  Remote.m_AdmittedRate += (RatePerSecond - Remote.m_AdmittedRate) * RateSmoothingWeight;
  Remote.m_AnticipatedCount = 0;
  Remote.m_LastReport = Report;
  Remote.m_ReportedAt = Now;
}

void setSilentHosts(UsageState &State, const std::map<std::string, TimePoint> &Since, TimePoint Now,
                    const UsageLeaseSettings &Settings) {
  for (auto &[Name, Usage] : State.m_Customers) {
    refill(Usage, Now);
    std::erase_if(Usage.m_RemoteUsage, [&](const auto &Remote) {
      auto It = Since.find(Remote.first);
      Duration Hold = Remote.second.m_IsLeaf ? Settings.m_LeafHold : Settings.m_HubHold;
      return It != Since.end() && Now - It->second > Hold;
    });
    bool IsAnySilent = std::ranges::any_of(
        Usage.m_RemoteUsage, [&](const auto &Remote) { return Since.contains(Remote.first); });
    double Callers = callerRate(Usage, Now) + sumOverRemotes(Usage, isAny, callersOf);
    if (!IsAnySilent)
      Usage.m_HoldDemand = 0;
    else if (Usage.m_HoldDemand == 0) {
      Usage.m_HoldDemand = Callers;
      for (auto &[Host, Remote] : Usage.m_RemoteUsage)
        Remote.m_FrozenCallerRate = callersOf(Remote);
    }
    for (auto &[Host, Remote] : Usage.m_RemoteUsage) {
      bool IsSilent = Since.contains(Host);
      if (IsSilent && !Remote.m_IsSilent)
        Remote.m_HeldFraction = callersOf(Remote) / std::max(Usage.m_HoldDemand, 1e-9);
      else if (!IsSilent)
        Remote.m_HeldFraction = 0;
      Remote.m_IsSilent = IsSilent;
    }
  }
}

void removeLeaf(UsageState &State, const std::string &Host) {
  for (auto &[Name, Usage] : State.m_Customers)
    std::erase_if(Usage.m_RemoteUsage, [&](const auto &Remote) {
      return Remote.first == Host && Remote.second.m_IsLeaf;
    });
}

void setIsolated(UsageState &State, bool IsIsolated, TimePoint LastHeardAt, TimePoint Now,
                 const UsageLeaseSettings &Settings) {
  if (std::exchange(State.m_IsIsolated, IsIsolated) == IsIsolated || !IsIsolated)
    return;
  State.m_IsolatedUntil = LastHeardAt + Settings.m_IsolatedLease;
  for (auto &[Name, Usage] : State.m_Customers) {
    double Callers = callerRate(Usage, Now);
    Usage.m_IsolatedFraction =
        Callers / std::max(Callers + sumOverRemotes(Usage, isAny, callersOf), 1e-9);
    Usage.m_ShareTokens = 0;
    Usage.m_ShareRefilledAt = Now;
  }
}

UsageReport buildOwnReport(const CustomerUsage &Usage, TimePoint Now) {
  UsageReport Report;
  double HeldCount = sumOverRemotes(
      Usage, isSilentLeaf, [](const RemoteUsage &Remote) { return Remote.m_AnticipatedCount; });
  Report.m_AdmittedCount = Usage.m_AdmittedCount + Usage.m_LeafAdmittedCount + HeldCount;
  Report.m_OfferedRate = offeredRate(Usage, Now) + withheldDemand(Usage);
  Report.m_CallerRate = ownCallers(Usage);
  return Report;
}

UsageReport buildFleetReport(const CustomerUsage &Usage, const std::string &Leaf, TimePoint Now) {
  UsageReport Report;
  Report.m_AdmittedCount = Usage.m_AdmittedCount + Usage.m_RemoteAdmittedCount;
  Report.m_OfferedRate = offeredRate(Usage, Now) + remoteDemand(Usage);
  Report.m_CallerRate = heardCallers(Usage);
  auto LeafUsage = Usage.m_RemoteUsage.find(Leaf);
  if (LeafUsage != Usage.m_RemoteUsage.end()) {
    Report.m_AdmittedCount -= LeafUsage->second.m_LastReport.m_AdmittedCount;
    Report.m_CallerRate = std::max(0.0, Report.m_CallerRate - callersOf(LeafUsage->second));
  }
  return Report;
}

void keepOnlyReportsOf(UsageState &State, const std::string &Host) {
  for (auto &[Name, Usage] : State.m_Customers)
    std::erase_if(Usage.m_RemoteUsage, [&](const auto &Remote) { return Remote.first != Host; });
}

void noteCustomerArrival(UsageState &State, const std::string &Customer, TimePoint Now) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return;
  CustomerUsage &Usage = It->second;
  Usage.m_OfferedRate = offeredRate(Usage, Now) + 1.0 / DemandAveragingSeconds;
  Usage.m_OfferedRateAt = Now;
}

void noteCallerArrival(UsageState &State, const std::string &Customer, TimePoint Now) {
  auto It = State.m_Customers.find(Customer);
  // While parts are withheld, the rates from which they follow stay as they were.
  if (It == State.m_Customers.end() || It->second.m_HoldDemand > 0 || State.m_IsIsolated)
    return;
  CustomerUsage &Usage = It->second;
  Usage.m_CallerRate = callerRate(Usage, Now) + 1.0 / CallerAveragingSeconds;
  Usage.m_CallerRateAt = Now;
}

bool admitCustomerRequest(UsageState &State, const std::string &Customer, TimePoint Now) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return true; // a customer without a limit
  if (State.m_IsIsolated && Now > State.m_IsolatedUntil)
    return false;
  CustomerUsage &Usage = It->second;
  refill(Usage, Now);
  double UnreportedCount = (Usage.m_OfferedRate + remoteDemand(Usage)) * ReportDelaySeconds;
  // The part of the burst that belongs to silent hosts is not used either. Both sides of a
  // partition may exceed theirs by what is not reported yet, so half of the rest is only shared
  // out.
  double Held = withheldFraction(Usage);
  double ReservedFraction =
      Held > 0 ? std::max(LowTokensFraction, (1 + Held) / 2) : LowTokensFraction;
  bool TokensAreLow = State.m_IsIsolated ||
                      Usage.m_Tokens < std::max(Usage.m_Burst * ReservedFraction, UnreportedCount);
  if (TokensAreLow && !takeShare(State, Usage, Now))
    return false;
  Usage.m_Tokens -= 1;
  Usage.m_AdmittedCount += 1;
  return true;
}

void refundCustomerRequest(UsageState &State, const std::string &Customer) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return;
  It->second.m_Tokens = std::min(It->second.m_Burst, It->second.m_Tokens + 1);
  It->second.m_AdmittedCount -= 1;
}

} // namespace quetzalpaddle
