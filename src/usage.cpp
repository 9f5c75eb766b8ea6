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
  if (Now <= C.m_Filled)
    return;
  double Elapsed = seconds(Now - C.m_Filled);
  C.m_Filled = Now;
  double Charge = 0;
  for (auto &[Host, R] : C.m_Remote) {
    double Expected = R.m_PerSecond * Elapsed;
    R.m_Anticipated += Expected;
    Charge += Expected;
  }
  C.m_Level = std::min(C.m_Burst, C.m_Level + C.m_Rate * Elapsed - Charge);
}

double remoteDemand(const CustomerUsage &C) {
  return std::accumulate(C.m_Remote.begin(), C.m_Remote.end(), 0.0,
                         [](double Sum, const auto &R) { return Sum + R.second.m_Last.m_Offered; });
}

void noteOffer(CustomerUsage &C, TimePoint Now) {
  C.m_Offered = offeredRate(C, Now) + 1.0 / DemandSeconds;
  C.m_OfferedAt = Now;
}

// Whether this host's share of the rate has room. A debt of the fleet shrinks all shares.
bool takeShare(CustomerUsage &C, TimePoint Now) {
  double Part = C.m_Offered / std::max(C.m_Offered + remoteDemand(C), 1e-9);
  double Repay = std::clamp(1 + C.m_Level / C.m_Burst, LeastRepay, 1.0);
  double PerSecond = C.m_Rate * Part * Repay;
  C.m_Share = std::min(std::max(LeastSaved, PerSecond * ShareSeconds),
                       C.m_Share + PerSecond * seconds(Now - C.m_ShareFilled));
  C.m_ShareFilled = Now;
  if (C.m_Share < 1)
    return false;
  C.m_Share -= 1;
  return true;
}

} // namespace

void setLimits(UsageState &State, const std::string &Customer, double Rate, double Burst,
               TimePoint Now) {
  auto [Found, New] = State.m_Customers.try_emplace(Customer);
  CustomerUsage &C = Found->second;
  if (New) {
    C.m_Level = Burst * InitialLevel;
    C.m_Filled = C.m_ShareFilled = C.m_OfferedAt = Now;
  }
  C.m_Rate = Rate * (1 + State.m_Headroom);
  C.m_Burst = Burst;
  C.m_Level = std::min(C.m_Level, Burst);
}

double offeredRate(const CustomerUsage &C, TimePoint Now) {
  return C.m_Offered * decayFactor(Now - C.m_OfferedAt);
}

void noteRemoteUse(UsageState &State, const std::string &Customer, const std::string &Host,
                   const UseReport &Report, bool Leaf, TimePoint Now) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return;
  CustomerUsage &C = Found->second;
  refill(C, Now);
  std::erase_if(C.m_Remote, [&](const auto &R) { return Now - R.second.m_At > ForgetAfter; });
  auto [Entry, New] = C.m_Remote.try_emplace(Host);
  RemoteUse &R = Entry->second;
  if (New || R.m_Last.m_Incarnation != Report.m_Incarnation) {
    R = {Report, Now, 0, 0, Leaf};
    return;
  }
  double Used = Report.m_Admitted - R.m_Last.m_Admitted;
  if (Used < 0 || Now <= R.m_At)
    return; // datagrams may overtake each other
  C.m_Level = std::min(C.m_Burst, C.m_Level + R.m_Anticipated - Used);
  C.m_Heard += Used;
  if (Leaf)
    C.m_OfLeaves += Used;
  double PerSecond = Used / std::max(seconds(Now - R.m_At), 0.01);
  R = {Report, Now, R.m_PerSecond + (PerSecond - R.m_PerSecond) * RateWeight, 0, Leaf};
}

UseReport reportOwn(const CustomerUsage &C, TimePoint Now) {
  UseReport Report;
  Report.m_Admitted = C.m_Admitted + C.m_OfLeaves;
  Report.m_Offered = offeredRate(C, Now);
  for (const auto &[Host, R] : C.m_Remote)
    if (R.m_Leaf)
      Report.m_Offered += R.m_Last.m_Offered;
  return Report;
}

UseReport reportFleet(const CustomerUsage &C, const std::string &Leaf, TimePoint Now) {
  UseReport Report;
  Report.m_Admitted = C.m_Admitted + C.m_Heard;
  Report.m_Offered = offeredRate(C, Now) + remoteDemand(C);
  auto Own = C.m_Remote.find(Leaf);
  if (Own != C.m_Remote.end()) {
    Report.m_Admitted -= Own->second.m_Last.m_Admitted;
    Report.m_Offered -= Own->second.m_Last.m_Offered;
  }
  return Report;
}

void keepOnlyRemote(UsageState &State, const std::string &Host) {
  for (auto &[Name, C] : State.m_Customers)
    std::erase_if(C.m_Remote, [&](const auto &R) { return R.first != Host; });
}

bool admitUse(UsageState &State, const std::string &Customer, TimePoint Now) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return true; // a customer without a limit
  CustomerUsage &C = Found->second;
  refill(C, Now);
  noteOffer(C, Now);
  double Unheard = (C.m_Offered + remoteDemand(C)) * UnheardSeconds;
  bool Low = C.m_Level < std::max(C.m_Burst * LowLevel, Unheard);
  if (Low && !takeShare(C, Now))
    return false;
  C.m_Level -= 1;
  C.m_Admitted += 1;
  return true;
}

void refundUse(UsageState &State, const std::string &Customer) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return;
  Found->second.m_Level = std::min(Found->second.m_Burst, Found->second.m_Level + 1);
  Found->second.m_Admitted -= 1;
}

} // namespace quetzalpaddle
