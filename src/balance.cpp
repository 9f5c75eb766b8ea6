// Choice between the preferred instance and a random other one.
#include "balance.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace quetzalpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

Seconds reportAge(const BalanceCandidate &Candidate, TimePoint Now) {
  return std::max(Now - Candidate.m_ReportedAt, Duration::zero());
}

// Returns the cost of each candidate: its expected wait and its penalty.
std::vector<Seconds> computeCosts(std::span<const BalanceCandidate> Candidates, TimePoint Now,
                                  const BalanceSettings &Settings) {
  Seconds Sum = std::accumulate(Candidates.begin(), Candidates.end(), Seconds::zero(),
                                [](Seconds Total, const BalanceCandidate &Candidate) {
                                  return Total + Candidate.m_ReportedWait;
                                });
  Seconds Mean = Sum / static_cast<double>(Candidates.size());
  std::vector<Seconds> Costs;
  Costs.reserve(Candidates.size());
  for (const BalanceCandidate &Candidate : Candidates) {
    double Weight = std::exp(-reportAge(Candidate, Now) / Seconds(Settings.m_ReportDecayTime));
    Costs.push_back(Mean + (Candidate.m_ReportedWait - Mean) * Weight + Candidate.m_OwnWait +
                    Candidate.m_Penalty);
  }
  return Costs;
}

// Draws an index below Count and replaces the draw by what is left of it, which is uniform as well.
size_t takeIndex(double &Draw, size_t Count) {
  double Scaled = Draw * static_cast<double>(Count);
  size_t Index = std::min(static_cast<size_t>(Scaled), Count - 1);
  Draw = Scaled - static_cast<double>(Index);
  return Index;
}

} // namespace

size_t chooseCandidate(std::span<const BalanceCandidate> Candidates, double Draw, TimePoint Now,
                       const BalanceSettings &Settings) {
  std::vector<Seconds> Costs = computeCosts(Candidates, Now, Settings);
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  // Candidates of the same penalty are equally preferred, so their order is drawn as well.
  std::ranges::rotate(Order, Order.begin() + static_cast<long>(takeIndex(Draw, Order.size())));
  auto Preferred =
      std::ranges::min_element(Order, {}, [&](size_t I) { return Candidates[I].m_Penalty; });
  size_t Preference = *Preferred;
  Order.erase(Preferred);
  if (Order.empty())
    return Preference;
  size_t Other = Order[takeIndex(Draw, Order.size())];
  Seconds Gain = Costs[Preference] - Costs[Other];
  Seconds Age = std::max(reportAge(Candidates[Preference], Now), reportAge(Candidates[Other], Now));
  Seconds Doubt = std::min<Seconds>(Age * Settings.m_DoubtPerAge, Settings.m_MaxDoubt);
  return Gain > Seconds::zero() && Draw * (Gain + Doubt) < Gain ? Other : Preference;
}

} // namespace quetzalpaddle
