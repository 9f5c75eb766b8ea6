// Fleet-wide rates by exchanged counts: a fleet of hosts is simulated with reports every 200 ms
// that take time and get lost. The bound is the users': in no 5 s more than (rate * 5 + burst)
// * 1.1 + 20.
#include "usage.h"

#include <criterion/criterion.h>
#include <fmt/core.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

using namespace quetzalpaddle;

namespace {

constexpr int Hosts = 15;
constexpr Millis Step{1};
constexpr Millis ReportInterval{200};

struct Load {
  double m_Rate = 0;
  double m_Burst = 0;
  std::function<double(double Second)> m_Demand; // of the fleet, per second
  double m_ReportLoss = 0.02;
  int m_Busiest = Hosts;                 // demand reaches only this many hosts
  std::pair<double, double> m_Cut{0, 0}; // seconds in which hosts 0 to 6 hear nothing of the others
  double m_RestartAt = -1;               // all hosts lose their state
};

struct Outcome {
  double m_MostInWindow = 0;
  double m_Allowed = 0;
  double m_Offered = 0;
  double m_Refused = 0;
  double m_RefusedByOne = 0; // by one bucket that sees every request at once
};

struct Report {
  TimePoint m_Due{};
  int m_From = 0;
  int m_To = 0;
  double m_Admitted = 0;
  double m_Offered = 0;
  uint64_t m_Incarnation = 1;
  bool operator<(const Report &Other) const { return m_Due > Other.m_Due; }
};

Outcome simulate(const Load &L, double Seconds, unsigned Seed = 1) {
  std::mt19937 Rng(Seed);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<UsageState> Fleet(Hosts);
  std::vector<double> Weights(L.m_Busiest);
  for (double &W : Weights)
    W = 0.3 + Uniform(Rng); // a balancer by hash spreads unevenly
  std::discrete_distribution<int> Pick(Weights.begin(), Weights.end());
  TimePoint Now{std::chrono::hours(1)};
  auto SetUp = [&](UsageState &S) {
    S = {};
    S.m_Headroom = 0.06;
    setCustomerLimits(S, "c", L.m_Rate, L.m_Burst, Now);
  };
  std::ranges::for_each(Fleet, SetUp);
  std::priority_queue<Report> OnTheWay;
  std::vector<double> AdmittedAt;
  Outcome Result;
  uint64_t Incarnation = 1;
  double Bucket = L.m_Burst;
  int Steps = static_cast<int>(Seconds * 1000);
  for (int I = 0; I < Steps; ++I, Now += Step) {
    double Second = I / 1000.0;
    if (L.m_RestartAt >= 0 && I == static_cast<int>(L.m_RestartAt * 1000)) {
      ++Incarnation;
      std::ranges::for_each(Fleet, SetUp);
    }
    while (!OnTheWay.empty() && OnTheWay.top().m_Due <= Now) {
      Report R = OnTheWay.top();
      OnTheWay.pop();
      noteRemoteUsage(Fleet[R.m_To], "c", fmt::format("h{}", R.m_From),
                      {R.m_Incarnation, R.m_Admitted, R.m_Offered}, false, Now);
    }
    Bucket = std::min(L.m_Burst, Bucket + L.m_Rate / 1000);
    std::poisson_distribution<int> Arrivals(L.m_Demand(Second) / 1000);
    for (int Left = Arrivals(Rng); Left > 0; --Left) {
      ++Result.m_Offered;
      if (Bucket >= 1)
        Bucket -= 1;
      else
        ++Result.m_RefusedByOne;
      if (admitCustomerRequest(Fleet[Pick(Rng)], "c", Now))
        AdmittedAt.push_back(Second);
      else
        ++Result.m_Refused;
    }
    for (int From = 0; From < Hosts; ++From) {
      if ((I + From * 13) % ReportInterval.count() != 0)
        continue;
      const CustomerUsage &C = Fleet[From].m_Customers.at("c");
      for (int To = 0; To < Hosts; ++To) {
        bool Cut = Second >= L.m_Cut.first && Second < L.m_Cut.second && (From < 7) != (To < 7);
        if (To != From && !Cut && Uniform(Rng) > L.m_ReportLoss)
          OnTheWay.push({Now + Millis(1 + static_cast<int>(Uniform(Rng) * 10)), From, To,
                         C.m_AdmittedCount, offeredRate(C, Now), Incarnation});
      }
    }
  }
  auto First = AdmittedAt.begin();
  for (auto Last = AdmittedAt.begin(); Last != AdmittedAt.end(); ++Last) {
    while (*Last - *First > 5)
      ++First;
    Result.m_MostInWindow = std::max(Result.m_MostInWindow, static_cast<double>(Last - First) + 1);
  }
  Result.m_Allowed = (L.m_Rate * 5 + L.m_Burst) * 1.1 + 20;
  fmt::print("rate {}: most {} of {}, refused {} of {}\n", L.m_Rate, Result.m_MostInWindow,
             Result.m_Allowed, Result.m_Refused, Result.m_Offered);
  return Result;
}

auto steady(double PerSecond) {
  return [PerSecond](double) { return PerSecond; };
}

} // namespace

// A limit far below what the customer sends.
Test(usage, holds_under_steady_excess) {
  for (double Rate : {5.0, 22.0, 120.0})
    for (unsigned Seed : {1U, 2U, 3U}) {
      Outcome O = simulate({Rate, Rate, steady(Rate * 4)}, 20, Seed);
      cr_expect_leq(O.m_MostInWindow, O.m_Allowed, "rate %g seed %u", Rate, Seed);
      // What is within the rate is served.
      cr_expect_geq(O.m_Offered - O.m_Refused, Rate * 20 * 0.98, "rate %g seed %u", Rate, Seed);
    }
}

// One customer at 7.5 times its usual, which is 1 / 1.6 of its rate.
Test(usage, holds_when_demand_leaps) {
  for (double Rate : {12.0, 50.0, 120.0})
    for (unsigned Seed : {1U, 2U, 3U}) {
      auto Leap = [Rate](double S) { return Rate / 1.6 * (S > 8 && S < 14.5 ? 7.5 : 1); };
      Outcome O = simulate({Rate, Rate, Leap}, 20, Seed);
      cr_expect_leq(O.m_MostInWindow, O.m_Allowed, "rate %g seed %u", Rate, Seed);
    }
}

// A customer within its rate is refused no more than by one bucket, however its callers are spread.
Test(usage, serves_what_is_within_the_rate) {
  for (double Rate : {5.0, 22.0, 120.0})
    for (int Busiest : {1, 4, Hosts}) {
      Load L{Rate, Rate, steady(Rate / 1.6)};
      L.m_Busiest = Busiest;
      Outcome O = simulate(L, 60);
      cr_expect_leq(O.m_Refused - O.m_RefusedByOne, O.m_Offered * 0.01, "rate %g on %d hosts", Rate,
                    Busiest);
    }
}

// Hosts that don't hear each other go on as if the others did.
Test(usage, holds_while_the_fleet_is_cut) {
  for (unsigned Seed : {1U, 2U, 3U}) {
    Load L{60, 60, steady(240)};
    L.m_Cut = {6, 12};
    Outcome O = simulate(L, 20, Seed);
    cr_expect_leq(O.m_MostInWindow, O.m_Allowed, "seed %u", Seed);
  }
}

// All hosts killed at once, with a customer over its rate.
Test(usage, holds_when_all_hosts_restart) {
  for (unsigned Seed : {1U, 2U, 3U}) {
    Load L{60, 60, steady(240)};
    L.m_RestartAt = 9;
    Outcome O = simulate(L, 20, Seed);
    cr_expect_leq(O.m_MostInWindow, O.m_Allowed, "seed %u", Seed);
  }
}
