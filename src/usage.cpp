// Fleet-wide token bucket, replicated on every host by exchanged counts.
//
// Every host charges its copy of the bucket with the requests that it admits, at once, and with
// those that the others report, late by an exchange interval. Between reports the others are
// assumed to continue at their last rate. While the bucket holds more than all hosts together can
// admit before reports arrive, every request is admitted. Below that, a host admits only its share
// of the rate, in proportion to its part of the customer's demand, so that admissions not yet
// reported no longer add up to an excess.
//
// The debt left by late reports is repaid from the rate, so an excess does not accumulate over
// windows. A host whose reports stop is assumed to continue at its last rate until it is removed
// after RemoteUsageTimeout, which bounds the sum when the fleet is partitioned.
#include "usage.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace quetzalpaddle {

namespace {

// Fraction of the burst below which hosts always keep to their shares. A sudden rise in demand
// shows in the smoothed rates only after some tenths of a second.
constexpr double LowTokensFraction = 0.2;
// Time for which admissions of other hosts may be unknown: a report interval, one lost report and
// the network delay.
constexpr double ReportDelaySeconds = 0.4;
// Fraction of the burst that a new customer starts with.
constexpr double InitialTokensFraction = 0.6;
// Time constant of the average of the demand.
constexpr double DemandAveragingSeconds = 1.0;
// A share may be saved up for this long.
constexpr double MaxSavedShareSeconds = 0.5;
// Requests that a share may always save up, because arrivals are not evenly spaced.
constexpr double MinSavedTokens = 2.0;
// Fraction of a share that remains while a debt is repaid.
constexpr double MinRepaymentFactor = 0.5;
// A host without a report for this long is removed at the next report on the customer.
constexpr std::chrono::seconds RemoteUsageTimeout{6};
// Weight of the newest interval in the smoothed rate of another host.
constexpr double RateSmoothingWeight = 0.5;

double toSeconds(Duration D) { return std::chrono::duration<double>(D).count(); }

double decayFactor(Duration Elapsed) {
  return std::exp(-toSeconds(Elapsed) / DemandAveragingSeconds);
}

// Refills the bucket and charges what the other hosts are expected to have admitted.
void refill(CustomerUsage &Usage, TimePoint Now) {
  if (Now <= Usage.m_RefilledAt)
    return;
  double Elapsed = toSeconds(Now - Usage.m_RefilledAt);
  Usage.m_RefilledAt = Now;
  double Charge = 0;
  for (auto &[Host, Remote] : Usage.m_RemoteUsage) {
    double ExpectedCount = Remote.m_AdmittedRate * Elapsed;
    Remote.m_AnticipatedCount += ExpectedCount;
    Charge += ExpectedCount;
  }
  Usage.m_Tokens = std::min(Usage.m_Burst, Usage.m_Tokens + Usage.m_Rate * Elapsed - Charge);
}

double remoteDemand(const CustomerUsage &Usage) {
  return std::accumulate(Usage.m_RemoteUsage.begin(), Usage.m_RemoteUsage.end(), 0.0,
                         [](double Sum, const auto &Remote) {
                           return Sum + Remote.second.m_LastReport.m_OfferedRate;
                         });
}

void noteArrival(CustomerUsage &Usage, TimePoint Now) {
  Usage.m_OfferedRate = offeredRate(Usage, Now) + 1.0 / DemandAveragingSeconds;
  Usage.m_OfferedRateAt = Now;
}

// Takes one request from this host's share of the rate; returns whether the share had one left. A
// debt of the bucket reduces the shares of all hosts.
bool takeShare(CustomerUsage &Usage, TimePoint Now) {
  double DemandFraction =
      Usage.m_OfferedRate / std::max(Usage.m_OfferedRate + remoteDemand(Usage), 1e-9);
  double RepaymentFactor = std::clamp(1 + Usage.m_Tokens / Usage.m_Burst, MinRepaymentFactor, 1.0);
  double RatePerSecond = Usage.m_Rate * DemandFraction * RepaymentFactor;
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
    Usage.m_RefilledAt = Usage.m_ShareRefilledAt = Usage.m_OfferedRateAt = Now;
  }
  Usage.m_Rate = Rate * (1 + State.m_Headroom);
  Usage.m_Burst = Burst;
  Usage.m_Tokens = std::min(Usage.m_Tokens, Burst);
}

double offeredRate(const CustomerUsage &Usage, TimePoint Now) {
  return Usage.m_OfferedRate * decayFactor(Now - Usage.m_OfferedRateAt);
}

void noteRemoteUsage(UsageState &State, const std::string &Customer, const std::string &Host,
                     const UsageReport &Report, bool IsLeaf, TimePoint Now) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return;
  CustomerUsage &Usage = It->second;
  refill(Usage, Now);
  std::erase_if(Usage.m_RemoteUsage, [&](const auto &Remote) {
    return Now - Remote.second.m_ReportedAt > RemoteUsageTimeout;
  });
  auto [Entry, IsNew] = Usage.m_RemoteUsage.try_emplace(Host);
  RemoteUsage &Remote = Entry->second;
  // A hub also reports for its leaves, so the counts before and after a change of role cannot be
  // compared.
  bool HasNewRole = Remote.m_IsLeaf != IsLeaf;
  if (IsNew || HasNewRole || Remote.m_LastReport.m_Incarnation != Report.m_Incarnation) {
    Remote = {Report, Now, 0, 0, IsLeaf};
    return;
  }
  double NewlyAdmittedCount = Report.m_AdmittedCount - Remote.m_LastReport.m_AdmittedCount;
  if (NewlyAdmittedCount < 0 || Now <= Remote.m_ReportedAt)
    return; // datagrams may overtake each other
  Usage.m_Tokens =
      std::min(Usage.m_Burst, Usage.m_Tokens + Remote.m_AnticipatedCount - NewlyAdmittedCount);
  Usage.m_RemoteAdmittedCount += NewlyAdmittedCount;
  if (IsLeaf)
    Usage.m_LeafAdmittedCount += NewlyAdmittedCount;
  double RatePerSecond = NewlyAdmittedCount / std::max(toSeconds(Now - Remote.m_ReportedAt), 0.01);
  Remote = {Report, Now,
            Remote.m_AdmittedRate + (RatePerSecond - Remote.m_AdmittedRate) * RateSmoothingWeight,
            0, IsLeaf};
}

UsageReport buildOwnReport(const CustomerUsage &Usage, TimePoint Now) {
  UsageReport Report;
  Report.m_AdmittedCount = Usage.m_AdmittedCount + Usage.m_LeafAdmittedCount;
  Report.m_OfferedRate = offeredRate(Usage, Now);
  for (const auto &[Host, Remote] : Usage.m_RemoteUsage)
    if (Remote.m_IsLeaf)
      Report.m_OfferedRate += Remote.m_LastReport.m_OfferedRate;
  return Report;
}

UsageReport buildFleetReport(const CustomerUsage &Usage, const std::string &Leaf, TimePoint Now) {
  UsageReport Report;
  Report.m_AdmittedCount = Usage.m_AdmittedCount + Usage.m_RemoteAdmittedCount;
  Report.m_OfferedRate = offeredRate(Usage, Now) + remoteDemand(Usage);
  auto LeafUsage = Usage.m_RemoteUsage.find(Leaf);
  if (LeafUsage != Usage.m_RemoteUsage.end()) {
    Report.m_AdmittedCount -= LeafUsage->second.m_LastReport.m_AdmittedCount;
    Report.m_OfferedRate -= LeafUsage->second.m_LastReport.m_OfferedRate;
  }
  return Report;
}

void keepOnlyReportsOf(UsageState &State, const std::string &Host) {
  for (auto &[Name, Usage] : State.m_Customers)
    std::erase_if(Usage.m_RemoteUsage, [&](const auto &Remote) { return Remote.first != Host; });
}

bool admitCustomerRequest(UsageState &State, const std::string &Customer, TimePoint Now) {
  auto It = State.m_Customers.find(Customer);
  if (It == State.m_Customers.end())
    return true; // a customer without a limit
  CustomerUsage &Usage = It->second;
  refill(Usage, Now);
  noteArrival(Usage, Now);
  double UnreportedCount = (Usage.m_OfferedRate + remoteDemand(Usage)) * ReportDelaySeconds;
  bool TokensAreLow = Usage.m_Tokens < std::max(Usage.m_Burst * LowTokensFraction, UnreportedCount);
  if (TokensAreLow && !takeShare(Usage, Now))
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
