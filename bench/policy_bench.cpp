// Simulates the decision functions under load, on a virtual clock: policy_bench [--smoke] [--json]
// [--seeds N] [--only rate|queue|reads]. With --smoke the runs are short and only correctness is
// checked: the bound on the rate and that no customer starves. The exit status is 1 if a target is
// missed.
#include "policy_bench.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <fmt/format.h>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

namespace quetzalpaddle::bench {

void runTasks(const std::vector<std::function<void()>> &Tasks) {
  std::atomic<size_t> NextTask{0};
  auto RunTasks = [&] {
    for (size_t Index = NextTask++; Index < Tasks.size(); Index = NextTask++)
      Tasks[Index]();
  };
  std::vector<std::jthread> Threads;
  Threads.reserve(3);
  for (int Index = 0; Index < 3; ++Index)
    Threads.emplace_back(RunTasks);
}

namespace {

std::vector<Customer> makeCustomers(const std::vector<double> &Rates) {
  std::vector<Customer> Customers;
  Customers.reserve(Rates.size());
  // The burst is 0.2 s of the rate, but at least 20 requests.
  for (double Rate : Rates)
    Customers.push_back(
        {"customer-" + std::to_string(Customers.size()), Rate, std::max(20.0, 0.2 * Rate)});
  return Customers;
}

std::vector<Deployment> listDeployments() {
  return {{.m_Name = "rope works",
           .m_DataCentreCount = 4,
           .m_OneWayDelay = Seconds(0.001),
           .m_HostCount = 14,
           .m_SlotsPerInstance = 5,
           .m_ConnectionsPerInstance = 65,
           .m_ConnectDelay = Seconds(0.010),
           .m_Customers = makeCustomers({800, 500, 300, 160, 100, 60, 40, 40})},
          {.m_Name = "pairings directorate",
           .m_DataCentreCount = 3,
           .m_OneWayDelay = Seconds(0.0005),
           .m_HostCount = 15,
           .m_SlotsPerInstance = 3,
           .m_ConnectionsPerInstance = 75,
           .m_ConnectDelay = Seconds(0.030),
           .m_Customers = makeCustomers({480, 300, 180, 96, 60, 36, 24, 24})}};
}

double computeMean(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0) / static_cast<double>(Values.size());
}

double computeDeviation(const std::vector<double> &Values) {
  double Mean = computeMean(Values);
  double Sum = 0;
  for (double V : Values)
    Sum += (V - Mean) * (V - Mean);
  return Values.size() < 2 ? 0 : std::sqrt(Sum / static_cast<double>(Values.size() - 1));
}

// Counts and bounds must hold for every seed, shares and ratios only for the mean of the seeds.
bool isTargetMet(const Row &Measured) {
  switch (Measured.m_TargetKind) {
  case TargetKind::Below:
    return computeMean(Measured.m_Values) < Measured.m_Limit;
  case TargetKind::Above:
    return computeMean(Measured.m_Values) > Measured.m_Limit;
  case TargetKind::Zero:
    return std::ranges::all_of(Measured.m_Values, [](double V) { return V == 0; });
  case TargetKind::AtMostLimit:
    return std::ranges::all_of(Measured.m_Values, [&](double V) { return V <= Measured.m_Limit; });
  default:
    return true;
  }
}

std::string formatTarget(const Row &Measured) {
  switch (Measured.m_TargetKind) {
  case TargetKind::Below:
    return fmt::format("< {:g}", Measured.m_Limit);
  case TargetKind::Above:
    return fmt::format("> {:g}", Measured.m_Limit);
  case TargetKind::Zero:
    return "0";
  case TargetKind::AtMostLimit:
    return "<= 0";
  default:
    return "-";
  }
}

std::string formatValues(const std::vector<double> &Values) {
  if (Values.empty())
    return "-";
  return fmt::format("{:.3f} ± {:.3f} ({:.3f} to {:.3f})", computeMean(Values),
                     computeDeviation(Values), *std::ranges::min_element(Values),
                     *std::ranges::max_element(Values));
}

void printTable(const std::vector<Row> &Rows) {
  std::string Section;
  for (const Row &Measured : Rows) {
    if (Measured.m_Section != Section)
      fmt::print("\n### {}\n\n| deployment | measure | unit | reach | measured: mean ± standard "
                 "deviation (range) | baseline | reached |\n|---|---|---|---|---|---|---|\n",
                 Measured.m_Section);
    Section = Measured.m_Section;
    std::string_view Verdict = isTargetMet(Measured) ? "yes" : "no";
    fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", Measured.m_Deployment,
               Measured.m_MeasureName, Measured.m_Unit, formatTarget(Measured),
               formatValues(Measured.m_Values), formatValues(Measured.m_Baseline),
               Measured.m_TargetKind == TargetKind::None ? "-" : Verdict);
  }
}

void printJson(const std::vector<Row> &Rows, const BenchParameters &Parameters) {
  nlohmann::json Report = {{"seeds", Parameters.m_Seeds}, {"rows", nlohmann::json::array()}};
  for (const Row &Measured : Rows)
    Report["rows"].push_back({{"section", Measured.m_Section},
                              {"deployment", Measured.m_Deployment},
                              {"measure", Measured.m_MeasureName},
                              {"unit", Measured.m_Unit},
                              {"reach", formatTarget(Measured)},
                              {"values", Measured.m_Values},
                              {"mean", computeMean(Measured.m_Values)},
                              {"deviation", computeDeviation(Measured.m_Values)},
                              {"baseline", Measured.m_Baseline},
                              {"reached", isTargetMet(Measured)}});
  std::cout << Report.dump(2) << '\n';
}

} // namespace

int runBench(int Count, char **Arguments) {
  BenchParameters Parameters;
  bool IsJson = false;
  unsigned long SeedCount = 5;
  std::string OnlySection;
  const std::array<option, 5> LongOptions{{{"smoke", no_argument, nullptr, 's'},
                                           {"json", no_argument, nullptr, 'j'},
                                           {"seeds", required_argument, nullptr, 'n'},
                                           {"only", required_argument, nullptr, 'o'},
                                           {nullptr, 0, nullptr, 0}}};
  for (int Option = 0;
       (Option = getopt_long(Count, Arguments, "", LongOptions.data(), nullptr)) != -1;) {
    if (Option == 's')
      Parameters.m_Smoke = true;
    else if (Option == 'j')
      IsJson = true;
    else if (Option == 'n')
      SeedCount = std::max(1UL, std::strtoul(optarg, nullptr, 10));
    else if (Option == 'o')
      OnlySection = optarg;
    else
      return 2;
  }
  for (uint64_t Seed = 1; Seed <= (Parameters.m_Smoke ? 1 : SeedCount); ++Seed)
    Parameters.m_Seeds.push_back(Seed);
  std::vector<Deployment> Deployments = listDeployments();
  std::vector<Row> Rows;
  auto AddSection = [&](const std::string &Name, const auto &Measure) {
    if (OnlySection.empty() || OnlySection == Name)
      std::ranges::move(Measure(Deployments, Parameters), std::back_inserter(Rows));
  };
  AddSection("reads", measureReads);
  AddSection("queue", measureQueue);
  AddSection("rate", measureRate);
  if (IsJson)
    printJson(Rows, Parameters);
  else
    printTable(Rows);
  return std::ranges::all_of(Rows, isTargetMet) ? 0 : 1;
}

} // namespace quetzalpaddle::bench

int main(int Count, char **Arguments) { return quetzalpaddle::bench::runBench(Count, Arguments); }
