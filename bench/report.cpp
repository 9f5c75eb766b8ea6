#include "report.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <getopt.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <ranges>

namespace quetzalpaddle {

namespace {

struct Summary {
  size_t m_SampleCount = 0;
  double m_P50 = 0;
  double m_P99 = 0;
  double m_Max = 0;
  double m_LowestMedian = 0; // of all runs
  double m_HighestMedian = 0;
};

Summary summarize(const Figure &Measured) {
  Summary Stats;
  std::vector<double> AllSamples;
  std::vector<double> RunMedians;
  for (const std::vector<double> &RunSamples : Measured.m_SamplesBySeed | std::views::values) {
    AllSamples.insert(AllSamples.end(), RunSamples.begin(), RunSamples.end());
    RunMedians.push_back(computeQuantile(RunSamples, 0.5));
  }
  if (AllSamples.empty())
    return Stats;
  Stats.m_SampleCount = AllSamples.size();
  Stats.m_P50 = computeQuantile(AllSamples, 0.5);
  Stats.m_P99 = computeQuantile(AllSamples, 0.99);
  Stats.m_Max = std::ranges::max(AllSamples);
  Stats.m_LowestMedian = std::ranges::min(RunMedians);
  Stats.m_HighestMedian = std::ranges::max(RunMedians);
  return Stats;
}

std::string formatVerdict(const Figure &Measured, const Summary &Stats) {
  if (!Measured.m_Target)
    return "";
  return fmt::format("{:.0f}: {}", *Measured.m_Target,
                     Stats.m_P99 < *Measured.m_Target ? "yes" : "NO");
}

bool writeJson(const BenchReport &Report, const BenchOptions &Options) {
  using nlohmann::json;
  json Out{{"benchmark", Report.m_Name}, {"command", Report.m_Command}, {"seed", Options.m_Seed},
           {"runs", Options.m_RunCount}, {"load", readLoadAverage()},   {"figures", json::array()}};
  for (const Figure &Measured : Report.m_Figures) {
    Summary Stats = summarize(Measured);
    json Runs = json::array();
    for (const auto &[Seed, Samples] : Measured.m_SamplesBySeed)
      Runs.push_back({{"seed", Seed}, {"samples", Samples}});
    json Entry{{"name", Measured.m_Name},
               {"unit", Measured.m_Unit},
               {"count", Stats.m_SampleCount},
               {"p50", Stats.m_P50},
               {"p99", Stats.m_P99},
               {"max", Stats.m_Max},
               {"runs", Runs}};
    if (Measured.m_Target)
      Entry["reach"] = *Measured.m_Target;
    Out["figures"].push_back(std::move(Entry));
  }
  std::ofstream File(Options.m_JsonFile);
  File << Out.dump(2) << '\n';
  return File.good();
}

} // namespace

std::optional<BenchOptions> parseBenchOptions(int Count, char **Arguments) {
  static const option LongOptions[] = {{"runs", required_argument, nullptr, 'r'},
                                       {"seed", required_argument, nullptr, 's'},
                                       {"smoke", no_argument, nullptr, 'k'},
                                       {"json", required_argument, nullptr, 'j'},
                                       {nullptr, 0, nullptr, 0}};
  BenchOptions Options;
  for (int Found; (Found = getopt_long(Count, Arguments, "", LongOptions, nullptr)) != -1;) {
    if (Found == 'r') {
      Options.m_RunCount = static_cast<uint32_t>(std::max(1L, std::strtol(optarg, nullptr, 10)));
    } else if (Found == 's') {
      Options.m_Seed = std::strtoull(optarg, nullptr, 10);
    } else if (Found == 'k') {
      Options.m_Smoke = true;
    } else if (Found == 'j') {
      Options.m_JsonFile = optarg;
    } else {
      fmt::print(stderr, "usage: {} [--runs N] [--seed N] [--smoke] [--json FILE]\n", Arguments[0]);
      return {};
    }
  }
  if (Options.m_Smoke)
    Options.m_RunCount = 1;
  return Options;
}

std::string joinArguments(int Count, char **Arguments) {
  std::string Joined;
  for (int Number = 0; Number < Count; ++Number)
    Joined += (Number > 0 ? " " : "") + std::string(Arguments[Number]);
  return Joined;
}

void addSample(BenchReport &Report, const std::string &FigureName, uint64_t Seed, double Value,
               std::optional<double> Target, const std::string &Unit) {
  auto Found = std::ranges::find(Report.m_Figures, FigureName, &Figure::m_Name);
  if (Found == Report.m_Figures.end())
    Found = Report.m_Figures.insert(Found, Figure{FigureName, Unit, Target, {}});
  Found->m_SamplesBySeed[Seed].push_back(Value);
}

double computeQuantile(std::vector<double> Samples, double Fraction) {
  if (Samples.empty())
    return 0;
  std::ranges::sort(Samples);
  auto Rank = static_cast<size_t>(std::ceil(Fraction * static_cast<double>(Samples.size())));
  return Samples[std::clamp<size_t>(Rank, 1, Samples.size()) - 1];
}

bool finishReport(const BenchReport &Report, const BenchOptions &Options) {
  fmt::print("{}\nruns {}, seed {}, load average {:.1f}\n\n", Report.m_Command, Options.m_RunCount,
             Options.m_Seed, readLoadAverage());
  fmt::print("| figure | unit | n | p50 | p99 | max | medians of runs | p99 below |\n"
             "|---|---|---|---|---|---|---|---|\n");
  for (const Figure &Measured : Report.m_Figures) {
    Summary Stats = summarize(Measured);
    fmt::print("| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} to {:.1f} | {} |\n",
               Measured.m_Name, Measured.m_Unit, Stats.m_SampleCount, Stats.m_P50, Stats.m_P99,
               Stats.m_Max, Stats.m_LowestMedian, Stats.m_HighestMedian,
               formatVerdict(Measured, Stats));
  }
  if (Options.m_JsonFile.empty() || writeJson(Report, Options))
    return true;
  fmt::print(stderr, "cannot write the JSON report {}\n", Options.m_JsonFile);
  return false;
}

double readLoadAverage() {
  double Load = 0;
  return getloadavg(&Load, 1) == 1 ? Load : 0;
}

} // namespace quetzalpaddle
