// Figures of a benchmark: samples by run, as a table and as JSON.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

struct Figure {
  std::string m_Name;
  std::string m_Unit = "ms";
  std::optional<double> m_Target; // p99 has to be below it; empty: not judged
  std::map<uint64_t, std::vector<double>> m_SamplesBySeed; // samples by seed of the run
};

struct BenchReport {
  std::string m_Name;
  std::string m_Command;
  std::vector<Figure> m_Figures; // in the order of their first sample
};

struct BenchOptions {
  uint32_t m_RunCount = 5;
  uint64_t m_Seed = 1; // of the first run; the next has the next number
  bool m_Smoke = false;
  std::string m_JsonFile; // empty: none is written
};

// Reads --runs N, --seed N, --smoke and --json FILE. Returns empty and prints the usage if an
// argument is not understood.
std::optional<BenchOptions> parseBenchOptions(int Count, char **Arguments);

// Joins the arguments, for the report.
std::string joinArguments(int Count, char **Arguments);

void addSample(BenchReport &Report, const std::string &FigureName, uint64_t Seed, double Value,
               std::optional<double> Target = {}, const std::string &Unit = "ms");

// Nearest-rank quantile; 0 without samples. Of fewer than 100 samples the 99 % quantile is the
// largest.
double computeQuantile(std::vector<double> Samples, double Fraction);

// Prints the table with the load average of the machine, and writes the JSON file if one is named.
// Returns false if the file cannot be written.
bool finishReport(const BenchReport &Report, const BenchOptions &Options);

// Load average of the last minute; 0 if it is not known.
double readLoadAverage();

} // namespace quetzalpaddle
