// Collects the samples of a benchmark by run and reports them as a table and as JSON.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

struct Figure {
  std::string m_Name;
  std::string m_Unit = "ms";
  std::optional<double> m_Target; // exclusive upper bound of p99; empty: not checked
  std::map<uint64_t, std::vector<double>> m_SamplesBySeed;
};

struct BenchReport {
  std::string m_Name;
  std::string m_Command;
  std::vector<Figure> m_Figures; // in the order of their first sample
};

struct BenchOptions {
  uint32_t m_RunCount = 5;
  uint64_t m_Seed = 1; // of the first run; each further run adds 1
  bool m_Smoke = false;
  std::string m_JsonFile; // path of the JSON report; empty: not written
};

// Parses --runs N, --seed N, --smoke and --json FILE. Prints the usage and returns empty if an
// option is unknown or lacks its value.
std::optional<BenchOptions> parseBenchOptions(int Count, char **Arguments);

// Returns the command line as one string, for the report.
std::string joinArguments(int Count, char **Arguments);

// Adds a sample to the figure of this name. The first sample of a figure sets its target and unit.
void addSample(BenchReport &Report, const std::string &FigureName, uint64_t Seed, double Value,
               std::optional<double> Target = {}, const std::string &Unit = "ms");

// Returns the nearest-rank quantile for Fraction in [0, 1]; 0 without samples. With fewer than 100
// samples the 0.99 quantile is the maximum.
double computeQuantile(std::vector<double> Samples, double Fraction);

// Prints the table with the load average of the machine, and writes the JSON report if a file is
// set. Returns false if the file cannot be written.
bool finishReport(const BenchReport &Report, const BenchOptions &Options);

// Returns the load average of the last minute; 0 if it is unknown.
double readLoadAverage();

} // namespace quetzalpaddle
