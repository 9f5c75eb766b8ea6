// Fleet-wide token bucket by exchanged counts.
//
// Every host charges the same bucket with what it admits itself (at once) and with what the others
// report (late by an exchange interval). Between reports the others are assumed to go on at their
// last rate. While the bucket holds more than the hosts may admit unheard of each other, every
// request is admitted. Once it is lower, a host admits only its share of the rate, in proportion to
// its part of the customer's demand: what the others admit unheard then no longer adds up to an
// excess.
//
// The debt left by late reports is repaid from the rate, so an excess does not accumulate over
// windows. A host that is not heard is assumed to go on, which bounds the sum when the fleet is
// partitioned.
#include "usage.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace quetzalpaddle {

namespace {

// Part of the burst below which hosts always keep to their shares: a leap of demand shows in the
// smoothed rates only after some tenths of a second.
constexpr double LowLevel = 0.2;
// Time within which the other hosts admit unheard: a report interval, a lost report and the way.
constexpr double UnheardSeconds = 0.4;
// Part of the burst that a customer starts with.
constexpr double InitialLevel = 0.6;
// Seconds over which demand is averaged.
constexpr double DemandSeconds = 1.0;
// Seconds of a share that may be saved up.
constexpr double ShareSeconds = 0.5;
// Requests of a share that may be saved up at least: arrivals are not evenly spaced.
constexpr double LeastSaved = 2.0;
// Least part of a share that is left while a debt is repaid.
constexpr double LeastRepay = 0.5;
// A host not heard for so long has stopped.
constexpr std::chrono::seconds ForgetAfter{6};
// Weight of a new measurement of another host's rate.
constexpr double RateWeight = 0.5;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

double decayFactor(Duration Elapsed) { return std::exp(-seconds(Elapsed) / DemandSeconds); }

// Refills the bucket and charges what the other hosts are expected to have admitted.
void refill(CustomerUsage &C, TimePoint Now) {
  if (Now <= C.m_RefilledAt)
    return;
  double Elapsed = seconds(Now - C.m_RefilledAt);
  C.m_RefilledAt = Now;
  double Charge = 0;
  for (auto &[Host, R] : C.m_RemoteUsage) {
    double Expected = R.m_AdmittedRate * Elapsed;
    R.m_AnticipatedCount += Expected;
    Charge += Expected;
  }
  C.m_Tokens = std::min(C.m_Burst, C.m_Tokens + C.m_Rate * Elapsed - Charge);
}

double remoteDemand(const CustomerUsage &C) {
  return std::accumulate(
      C.m_RemoteUsage.begin(), C.m_RemoteUsage.end(), 0.0,
      [](double Sum, const auto &R) { return Sum + R.second.m_LastReport.m_OfferedRate; });
}

void noteOffer(CustomerUsage &C, TimePoint Now) {
  C.m_OfferedRate = offeredRate(C, Now) + 1.0 / DemandSeconds;
  C.m_OfferedRateAt = Now;
}

// Whether this host's share of the rate has room. A debt of the fleet shrinks all shares.
bool takeShare(CustomerUsage &C, TimePoint Now) {
  double Part = C.m_OfferedRate / std::max(C.m_OfferedRate + remoteDemand(C), 1e-9);
  double Repay = std::clamp(1 + C.m_Tokens / C.m_Burst, LeastRepay, 1.0);
  double PerSecond = C.m_Rate * Part * Repay;
  C.m_ShareTokens = std::min(std::max(LeastSaved, PerSecond * ShareSeconds),
                             C.m_ShareTokens + PerSecond * seconds(Now - C.m_ShareRefilledAt));
  C.m_ShareRefilledAt = Now;
  if (C.m_ShareTokens < 1)
    return false;
  C.m_ShareTokens -= 1;
  return true;
}

} // namespace

void setLimits(UsageState &State, const std::string &Customer, double Rate, double Burst,
               TimePoint Now) {
  auto [Found, New] = State.m_Customers.try_emplace(Customer);
  CustomerUsage &C = Found->second;
  if (New) {
    C.m_Tokens = Burst * InitialLevel;
    C.m_RefilledAt = C.m_ShareRefilledAt = C.m_OfferedRateAt = Now;
  }
  C.m_Rate = Rate * (1 + State.m_Headroom);
  C.m_Burst = Burst;
  C.m_Tokens = std::min(C.m_Tokens, Burst);
}

double offeredRate(const CustomerUsage &C, TimePoint Now) {
  return C.m_OfferedRate * decayFactor(Now - C.m_OfferedRateAt);
}

void noteRemoteUsage(UsageState &State, const std::string &Customer, const std::string &Host,
                     const UsageReport &Report, bool Leaf, TimePoint Now) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return;
  CustomerUsage &C = Found->second;
  refill(C, Now);
  std::erase_if(C.m_RemoteUsage,
                [&](const auto &R) { return Now - R.second.m_ReportedAt > ForgetAfter; });
  auto [Entry, New] = C.m_RemoteUsage.try_emplace(Host);
  RemoteUsage &R = Entry->second;
  if (New || R.m_LastReport.m_Incarnation != Report.m_Incarnation) {
    R = {Report, Now, 0, 0, Leaf};
    return;
  }
  double Used = Report.m_AdmittedCount - R.m_LastReport.m_AdmittedCount;
  if (Used < 0 || Now <= R.m_ReportedAt)
    return; // datagrams may overtake each other
  C.m_Tokens = std::min(C.m_Burst, C.m_Tokens + R.m_AnticipatedCount - Used);
  C.m_RemoteAdmittedCount += Used;
  if (Leaf)
    C.m_LeafAdmittedCount += Used;
  double PerSecond = Used / std::max(seconds(Now - R.m_ReportedAt), 0.01);
  R = {Report, Now, R.m_AdmittedRate + (PerSecond - R.m_AdmittedRate) * RateWeight, 0, Leaf};
}

UsageReport buildOwnReport(const CustomerUsage &C, TimePoint Now) {
  UsageReport Report;
  Report.m_AdmittedCount = C.m_AdmittedCount + C.m_LeafAdmittedCount;
  Report.m_OfferedRate = offeredRate(C, Now);
  for (const auto &[Host, R] : C.m_RemoteUsage)
    if (R.m_IsLeaf)
      Report.m_OfferedRate += R.m_LastReport.m_OfferedRate;
  return Report;
}

UsageReport buildFleetReport(const CustomerUsage &C, const std::string &Leaf, TimePoint Now) {
  UsageReport Report;
  Report.m_AdmittedCount = C.m_AdmittedCount + C.m_RemoteAdmittedCount;
  Report.m_OfferedRate = offeredRate(C, Now) + remoteDemand(C);
  auto Own = C.m_RemoteUsage.find(Leaf);
  if (Own != C.m_RemoteUsage.end()) {
    Report.m_AdmittedCount -= Own->second.m_LastReport.m_AdmittedCount;
    Report.m_OfferedRate -= Own->second.m_LastReport.m_OfferedRate;
  }
  return Report;
}

void keepOnlyReportsOf(UsageState &State, const std::string &Host) {
  for (auto &[Name, C] : State.m_Customers)
    std::erase_if(C.m_RemoteUsage, [&](const auto &R) { return R.first != Host; });
}

bool admitCustomerRequest(UsageState &State, const std::string &Customer, TimePoint Now) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return true; // a customer without a limit
  CustomerUsage &C = Found->second;
  refill(C, Now);
  noteOffer(C, Now);
  double Unheard = (C.m_OfferedRate + remoteDemand(C)) * UnheardSeconds;
  bool Low = C.m_Tokens < std::max(C.m_Burst * LowLevel, Unheard);
  if (Low && !takeShare(C, Now))
    return false;
  C.m_Tokens -= 1;
  C.m_AdmittedCount += 1;
  return true;
}

void refundCustomerRequest(UsageState &State, const std::string &Customer) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return;
  Found->second.m_Tokens = std::min(Found->second.m_Burst, Found->second.m_Tokens + 1);
  Found->second.m_AdmittedCount -= 1;
}

} // namespace quetzalpaddle
