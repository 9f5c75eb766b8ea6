// Timing, heap usage and least-squares fits for the benchmarks.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzalpaddle {

// Keeps the compiler from optimizing away a computation whose result is not used.
template <class T> void doNotOptimize(T &Value) { asm volatile("" : : "g"(&Value) : "memory"); }

inline double secondsSince(std::chrono::steady_clock::time_point Start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start).count();
}

// Returns the median, the upper one of an even number of values; 0 without values.
inline double computeMedian(std::vector<double> Values) {
  std::ranges::sort(Values);
  return Values.empty() ? 0 : Values[Values.size() / 2];
}

// Returns nanoseconds per call: the median of nine batches of at least a millisecond each. The
// median ignores batches that other processes of a shared machine interrupted.
template <class Function> double measureCallNs(Function Call) {
  constexpr double BatchSeconds = 0.001;
  constexpr int BatchCount = 9;
  auto RunBatch = [&](uint64_t Count) {
    auto Start = std::chrono::steady_clock::now();
    for (uint64_t Iteration = 0; Iteration < Count; ++Iteration)
      Call();
    return secondsSince(Start);
  };
  uint64_t Count = 1;
  while (RunBatch(Count) < BatchSeconds)
    Count *= 2;
  std::vector<double> PerCall;
  PerCall.reserve(BatchCount);
  for (int Batch = 0; Batch < BatchCount; ++Batch)
    PerCall.push_back(RunBatch(Count) / static_cast<double>(Count) * 1e9);
  return computeMedian(PerCall);
}

inline double allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

// Returns the heap bytes of the object that Build returns, including allocator overhead.
template <class Function> double measureHeap(Function Build) {
  double Before = allocatedBytes();
  auto Object = Build();
  double Used = allocatedBytes() - Before;
  doNotOptimize(Object);
  return Used;
}

struct Sample {
  double m_Size = 0;
  double m_Value = 0;
};

struct Fit {
  double m_Slope = 0;
  double m_Intercept = 0;
  double m_Residual = 0; // root mean square error, as a fraction of the mean value
};

// Fits a line through the samples by least squares.
inline Fit fitLine(const std::vector<Sample> &Samples) {
  auto Count = static_cast<double>(Samples.size());
  double SumX = 0;
  double SumY = 0;
  for (const Sample &Each : Samples) {
    SumX += Each.m_Size;
    SumY += Each.m_Value;
  }
  double MeanX = SumX / Count;
  double MeanY = SumY / Count;
  double Covariance = 0;
  double Variance = 0;
  for (const Sample &Each : Samples) {
    Covariance += (Each.m_Size - MeanX) * (Each.m_Value - MeanY);
    Variance += (Each.m_Size - MeanX) * (Each.m_Size - MeanX);
  }
  Fit Result;
  Result.m_Slope = Variance > 0 ? Covariance / Variance : 0;
  Result.m_Intercept = MeanY - Result.m_Slope * MeanX;
  double Squares = 0;
  for (const Sample &Each : Samples)
    Squares += std::pow(Each.m_Value - Result.m_Intercept - Result.m_Slope * Each.m_Size, 2);
  Result.m_Residual = MeanY == 0 ? 0 : std::sqrt(Squares / Count) / std::abs(MeanY);
  return Result;
}

// Returns the load average of the last minute; -1 if it is unknown.
inline double loadAverage() {
  double Load = 0;
  return getloadavg(&Load, 1) == 1 ? Load : -1;
}

inline void writeJson(const nlohmann::json &Report, const std::string &File) {
  std::ofstream(File) << Report.dump(2) << '\n';
  fmt::print("report: {}\n", File);
}

} // namespace quetzalpaddle
