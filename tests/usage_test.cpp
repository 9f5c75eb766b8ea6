// Tests of the fleet-wide rate limit: simulates a fleet of hosts that report their counts every
// 200 ms; reports are delayed and some are lost. The bound that users require: at most
// (rate * 5 + burst) * 1.1 + 20 requests in any 5 s.
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

constexpr int HostCount = 15;
constexpr Millis TimeStep{1};
constexpr Millis ReportInterval{200};

struct Scenario {
  double m_Rate = 0;
  double m_Burst = 0;
  std::function<double(double Second)> m_Demand; // requests per second to the whole fleet
  double m_ReportLossProbability = 0.02;
  int m_ActiveHostCount = HostCount; // hosts that receive requests
  // Seconds between which hosts 0 to 6 and the others receive no reports from each other.
  std::pair<double, double> m_PartitionInterval{0, 0};
  double m_RestartAt = -1; // second in which all hosts lose their state; below 0: never
};

struct Outcome {
  double m_MaxInWindow = 0;
  double m_AllowedInWindow = 0;
  double m_OfferedCount = 0;
  double m_RefusedCount = 0;
  double m_CentralRefusedCount = 0; // by a single bucket that receives every request without delay
};

struct InFlightReport {
  TimePoint m_ArrivesAt{};
  int m_Sender = 0;
  int m_Receiver = 0;
  double m_AdmittedTotal = 0;
  double m_ArrivalRate = 0;
  uint64_t m_Incarnation = 1;
  bool operator<(const InFlightReport &Other) const { return m_ArrivesAt > Other.m_ArrivesAt; }
};

Outcome simulate(const Scenario &Case, double LengthSeconds, unsigned Seed = 1) {
  std::mt19937 Rng(Seed);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<UsageState> Fleet(HostCount);
  std::vector<double> Weights(Case.m_ActiveHostCount);
  for (double &Weight : Weights)
    Weight = 0.3 + Uniform(Rng); // a hash-based load balancer spreads requests unevenly
  std::discrete_distribution<int> ChooseHost(Weights.begin(), Weights.end());
  TimePoint Now{std::chrono::hours(1)};
  auto ResetHost = [&](UsageState &HostUsage) {
    HostUsage = {};
    HostUsage.m_Headroom = 0.06;
    setCustomerLimits(HostUsage, "c", Case.m_Rate, Case.m_Burst, Now);
  };
  std::ranges::for_each(Fleet, ResetHost);
  std::priority_queue<InFlightReport> InFlightReports;
  std::vector<double> AdmittedSeconds;
  Outcome Result;
  uint64_t Incarnation = 1;
  double CentralBucket = Case.m_Burst;
  int StepCount = static_cast<int>(LengthSeconds * 1000);
  for (int StepIndex = 0; StepIndex < StepCount; ++StepIndex, Now += TimeStep) {
    double NowSeconds = StepIndex / 1000.0;
    if (Case.m_RestartAt >= 0 && StepIndex == static_cast<int>(Case.m_RestartAt * 1000)) {
      ++Incarnation;
      std::ranges::for_each(Fleet, ResetHost);
    }
    while (!InFlightReports.empty() && InFlightReports.top().m_ArrivesAt <= Now) {
      InFlightReport ReceivedReport = InFlightReports.top();
      InFlightReports.pop();
      noteRemoteUsage(Fleet[ReceivedReport.m_Receiver], "c",
                      fmt::format("h{}", ReceivedReport.m_Sender),
                      {ReceivedReport.m_Incarnation, ReceivedReport.m_AdmittedTotal,
                       ReceivedReport.m_ArrivalRate},
                      false, Now);
    }
    CentralBucket = std::min(Case.m_Burst, CentralBucket + Case.m_Rate / 1000);
    std::poisson_distribution<int> Arrivals(Case.m_Demand(NowSeconds) / 1000);
    for (int ArrivalCount = Arrivals(Rng); ArrivalCount > 0; --ArrivalCount) {
      ++Result.m_OfferedCount;
      if (CentralBucket >= 1)
        CentralBucket -= 1;
      else
        ++Result.m_CentralRefusedCount;
      if (admitCustomerRequest(Fleet[ChooseHost(Rng)], "c", Now))
        AdmittedSeconds.push_back(NowSeconds);
      else
        ++Result.m_RefusedCount;
    }
    for (int Sender = 0; Sender < HostCount; ++Sender) {
      if ((StepIndex + Sender * 13) % ReportInterval.count() != 0)
        continue;
      const CustomerUsage &Usage = Fleet[Sender].m_Customers.at("c");
      for (int Receiver = 0; Receiver < HostCount; ++Receiver) {
        bool IsPartitioned = NowSeconds >= Case.m_PartitionInterval.first &&
                             NowSeconds < Case.m_PartitionInterval.second &&
                             (Sender < 7) != (Receiver < 7);
        if (Receiver != Sender && !IsPartitioned && Uniform(Rng) > Case.m_ReportLossProbability)
          InFlightReports.push({Now + Millis(1 + static_cast<int>(Uniform(Rng) * 10)), Sender,
                                Receiver, Usage.m_AdmittedCount, offeredRate(Usage, Now),
                                Incarnation});
      }
    }
  }
  auto WindowBegin = AdmittedSeconds.begin();
  for (auto WindowEnd = AdmittedSeconds.begin(); WindowEnd != AdmittedSeconds.end(); ++WindowEnd) {
    while (*WindowEnd - *WindowBegin > 5)
      ++WindowBegin;
    Result.m_MaxInWindow =
        std::max(Result.m_MaxInWindow, static_cast<double>(WindowEnd - WindowBegin) + 1);
  }
  Result.m_AllowedInWindow = (Case.m_Rate * 5 + Case.m_Burst) * 1.1 + 20;
  fmt::print("rate {}: at most {} in 5 s, allowed {}, refused {} of {}\n", Case.m_Rate,
             Result.m_MaxInWindow, Result.m_AllowedInWindow, Result.m_RefusedCount,
             Result.m_OfferedCount);
  return Result;
}

auto makeSteadyDemand(double Rate) {
  return [Rate](double) { return Rate; };
}

} // namespace

// Guards against a limit that is exceeded, or not used up, when a customer sends four times its
// rate.
Test(usage, limit_holds_under_steady_overload) {
  for (double Rate : {5.0, 22.0, 120.0})
    for (unsigned Seed : {1U, 2U, 3U}) {
      Outcome O = simulate({Rate, Rate, makeSteadyDemand(Rate * 4)}, 20, Seed);
      cr_expect_leq(O.m_MaxInWindow, O.m_AllowedInWindow, "rate %g seed %u", Rate, Seed);
      // Requests within the rate are admitted.
      cr_expect_geq(O.m_OfferedCount - O.m_RefusedCount, Rate * 20 * 0.98, "rate %g seed %u", Rate,
                    Seed);
    }
}

// Guards against exceeding the limit when a customer's demand, usually 1 / 1.6 of its rate, rises
// to 7.5 times as much.
Test(usage, limit_holds_during_a_demand_surge) {
  for (double Rate : {12.0, 50.0, 120.0})
    for (unsigned Seed : {1U, 2U, 3U}) {
      auto SurgeDemand = [Rate](double NowSeconds) {
        return Rate / 1.6 * (NowSeconds > 8 && NowSeconds < 14.5 ? 7.5 : 1);
      };
      Outcome O = simulate({Rate, Rate, SurgeDemand}, 20, Seed);
      cr_expect_leq(O.m_MaxInWindow, O.m_AllowedInWindow, "rate %g seed %u", Rate, Seed);
    }
}

// Guards against refusing a customer within its rate more often than a single bucket would, however
// its requests are spread over the hosts. A tolerance of 1% of the requests is allowed.
Test(usage, requests_within_the_rate_are_admitted) {
  for (double Rate : {5.0, 22.0, 120.0})
    for (int ActiveHostCount : {1, 4, HostCount}) {
      Scenario Case{Rate, Rate, makeSteadyDemand(Rate / 1.6)};
      Case.m_ActiveHostCount = ActiveHostCount;
      Outcome O = simulate(Case, 60);
      cr_expect_leq(O.m_RefusedCount - O.m_CentralRefusedCount, O.m_OfferedCount * 0.01,
                    "rate %g on %d hosts", Rate, ActiveHostCount);
    }
}

// One customer at 3 to 7.5 times its usual load. Guards against a burst that is granted on paper
// only: a part of it stayed unused in the bucket while requests were refused.
Test(usage, the_burst_is_used_during_a_demand_surge) {
  for (double Rate : {50.0, 120.0, 180.0})
    for (double Factor : {3.0, 4.5, 7.5}) {
      auto SurgeDemand = [&](double NowSeconds) {
        return Rate / 1.6 * (NowSeconds > 6 ? Factor : 1);
      };
      Outcome O = simulate({Rate, Rate, SurgeDemand}, 16);
      cr_expect_leq(O.m_MaxInWindow, O.m_AllowedInWindow, "rate %g times %g", Rate, Factor);
      // What a single bucket refuses over the 10 s, and a tenth of the burst.
      cr_expect_leq(O.m_RefusedCount, O.m_CentralRefusedCount + Rate * 0.1, "rate %g times %g",
                    Rate, Factor);
    }
}

// Hosts that receive no reports from each other assume that the others continue at their last rate.
Test(usage, limit_holds_during_a_partition) {
  for (unsigned Seed : {1U, 2U, 3U}) {
    Scenario Case{60, 60, makeSteadyDemand(240)};
    Case.m_PartitionInterval = {6, 12};
    Outcome O = simulate(Case, 20, Seed);
    cr_expect_leq(O.m_MaxInWindow, O.m_AllowedInWindow, "seed %u", Seed);
  }
}

// All hosts are killed at once and restart while a customer exceeds its rate.
Test(usage, limit_holds_when_all_hosts_restart) {
  for (unsigned Seed : {1U, 2U, 3U}) {
    Scenario Case{60, 60, makeSteadyDemand(240)};
    Case.m_RestartAt = 9;
    Outcome O = simulate(Case, 20, Seed);
    cr_expect_leq(O.m_MaxInWindow, O.m_AllowedInWindow, "seed %u", Seed);
  }
}
