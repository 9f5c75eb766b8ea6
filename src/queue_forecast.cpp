// Forecasts of the fair queue: when a request starts, and when a refused caller should ask again.
//
// A customer's request starts when the slots have done what goes before it: of its own customer,
// what is ahead in its order; of each other one, the work of the same rank up to the level of
// virtual time that its customer will have reached, and more urgent work up to ShareSlack beyond
// the lowest level. Requests that will still arrive are taken into account by the rate at which
// more urgent ranks started lately. Work in progress is left out, so the forecast is rather too
// early.
#include "quetzalpaddle.h"

#include <algorithm>
#include <numeric>

namespace quetzalpaddle {

namespace {

// Shortest hint for the most urgent class, about the time of a few statements.
constexpr Millis MinRetryHint{25};
// Longest delay for the most urgent class; the others get a multiple. Routes have targets of 200 ms
// to 1.5 s, and to ask again after the target is of little use.
constexpr Millis MaxRetryDelay{300};
// Dispatchers exchange counts at this interval: what a bucket holds is known no sooner.
constexpr Millis RateExchangeInterval{200};
constexpr double MaxRateFactor = 5; // keeps the delay at 1 s when far over the rate
// Slots that a customer is assumed to have at least. Bounds the forecast; at this rate a statement
// of 1 ms takes longer than any time limit.
constexpr double LowestOwnRate = 1e-4;

// Part of the slots that more urgent ranks have left lately, or what is reserved for a rank.
double rateLeftFor(const FairQueue &Queue, size_t Rank) {
  const auto &Charges = Queue.m_RecentStarts.m_Charges;
  Duration Used = std::accumulate(Charges.begin(), Charges.begin() + static_cast<ptrdiff_t>(Rank),
                                  Duration::zero());
  double Share = Used / (RecentStartsTime * std::max(1U, Queue.m_SlotCount));
  return std::clamp(1 - Share, 1.0 / ReserveDivisor, 1.0);
}

// Returns the time for UrgentWork at the full rate and Work at the rate that is left for a rank.
Duration timeFor(const FairQueue &Queue, size_t Rank, Duration UrgentWork, Duration Work) {
  std::chrono::duration<double> Time = UrgentWork + Work / rateLeftFor(Queue, Rank);
  return std::chrono::duration_cast<Duration>(Time / std::max(1U, Queue.m_SlotCount));
}

} // namespace

Duration expectedStartDelay(const FairQueue &Queue, const std::string &Customer,
                            const CustomerQueue &CustomerEntry, const StartForecast &Forecast) {
  Duration Level = CustomerEntry.m_VirtualTime + Forecast.m_OwnAhead;
  Duration UrgentLevel = CustomerEntry.m_VirtualTime;
  if (!Queue.m_CustomersByVirtualTime.empty())
    UrgentLevel = std::min(UrgentLevel, Queue.m_CustomersByVirtualTime.begin()->first.first);
  UrgentLevel = std::max(Level, UrgentLevel + Forecast.m_ShareSlack);
  Duration UrgentWork{};
  Duration Work = Forecast.m_OwnAhead;
  for (const auto &[OrderKey, Name] : Queue.m_CustomersByVirtualTime) {
    if (Name == Customer)
      continue;
    const auto &RankWork = Queue.m_Customers.at(Name).m_RankWork;
    auto RankIt = RankWork.begin() + static_cast<ptrdiff_t>(Forecast.m_Rank);
    auto UpTo = [Start = OrderKey.first](Duration End, Duration Waiting) {
      return std::clamp(End - Start, Duration::zero(), Waiting);
    };
    Duration Urgent =
        UpTo(UrgentLevel, std::accumulate(RankWork.begin(), RankIt, Duration::zero()));
    UrgentWork += Urgent;
    Work += UpTo(Level - Urgent, *RankIt);
  }
  Duration Delay = timeFor(Queue, Forecast.m_Rank, UrgentWork, Work);
  bool HasWaited =
      CustomerEntry.m_RankCounts[Forecast.m_Rank] > 0 &&
      Forecast.m_Now - CustomerEntry.m_WaitingSince[Forecast.m_Rank] > RecentStartsTime;
  if (!HasWaited || Forecast.m_OwnRankAhead <= Duration::zero())
    return Delay;
  double Rate = CustomerEntry.m_RecentStarts.m_Charges[Forecast.m_Rank] / RecentStartsTime;
  std::chrono::duration<double> ByOwnRate = Forecast.m_OwnRankAhead / std::max(Rate, LowestOwnRate);
  return std::max(Delay, std::chrono::duration_cast<Duration>(ByOwnRate));
}

Duration expectedDrainTime(const FairQueue &Queue, size_t Rank) {
  auto RankIt = Queue.m_RankWork.begin() + static_cast<ptrdiff_t>(Rank);
  return timeFor(Queue, Rank, std::accumulate(Queue.m_RankWork.begin(), RankIt, Duration::zero()),
                 *RankIt);
}

Duration expectedRetryDelay(const FairQueue &Queue, const std::string &Customer, uint32_t Priority,
                            TimePoint Now) {
  size_t Class = std::min<size_t>(Priority, QueueClassCount - 1);
  Duration Delay = expectedDrainTime(Queue, Class);
  if (auto It = Queue.m_Customers.find(Customer); It != Queue.m_Customers.end()) {
    const auto &Own = It->second.m_RankWork;
    Duration OwnAhead = std::accumulate(
        Own.begin(), Own.begin() + static_cast<ptrdiff_t>(Class) + 1, Duration::zero());
    StartForecast Forecast{Class, OwnAhead, Own[Class], Duration::zero(), Now};
    Delay = std::max(Delay, expectedStartDelay(Queue, Customer, It->second, Forecast));
  }
  return std::min<Duration>(Delay, MaxRetryDelay * (Class + 1));
}

Millis retryHint(Duration BaseDelay, uint32_t Priority, double UniformDraw) {
  Duration Shortest = MinRetryHint * (std::min<uint32_t>(Priority, QueueClassCount) + 1);
  return std::chrono::duration_cast<Millis>(std::max(BaseDelay, Shortest) *
                                            (0.75 + UniformDraw / 2));
}

Millis drainRetryHint(const FairQueue &Queue, Duration MaxWait, double UniformDraw) {
  return retryHint(std::min(expectedDrainTime(Queue, LastRank), MaxWait), 0, UniformDraw);
}

Duration rateRetryDelay(double Tokens, double Rate, double OfferedRate) {
  if (Rate <= 0)
    return std::chrono::duration_cast<Duration>(RateExchangeInterval * MaxRateFactor);
  std::chrono::duration<double> UntilToken((1 - Tokens) / Rate);
  std::chrono::duration<double> ByDemand =
      RateExchangeInterval * std::clamp(OfferedRate / Rate, 1.0, MaxRateFactor);
  return std::chrono::duration_cast<Duration>(std::max(UntilToken, ByDemand));
}

bool isSoonerElsewhere(Duration RefusedWait, Duration OtherWait, Duration RemainingTime) {
  return OtherWait < RefusedWait && OtherWait < RemainingTime;
}

} // namespace quetzalpaddle
