#include "answer_room.h"

#include "http_budget.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

// Sizes are remembered for one to two periods, so that a pause between bursts of large reads does
// not let the next burst start at once.
constexpr std::chrono::seconds SizePeriod{60};
// Answers of unknown size that may be sent at the same time.
constexpr size_t UnknownAnswers = 2;

} // namespace

std::optional<size_t> expectAnswer(const AnswerSizes &Sizes, size_t StatementCount, TimePoint Now) {
  if (Sizes.m_PeriodAt == TimePoint{} || Now - Sizes.m_PeriodAt >= 2 * SizePeriod)
    return std::nullopt;
  bool IsCurrent = Now - Sizes.m_PeriodAt < SizePeriod;
  size_t Largest = IsCurrent ? std::max(Sizes.m_Largest, Sizes.m_LargestBefore) : Sizes.m_Largest;
  return Largest * StatementCount;
}

void recordAnswer(AnswerSizes &Sizes, size_t StatementCount, size_t Bytes, TimePoint Now) {
  if (Now - Sizes.m_PeriodAt >= SizePeriod) {
    bool IsStale = Now - Sizes.m_PeriodAt >= 2 * SizePeriod;
    Sizes = {0, IsStale ? 0 : Sizes.m_Largest, Now};
  }
  Sizes.m_Largest = std::max(Sizes.m_Largest, Bytes / std::max<size_t>(1, StatementCount));
}

std::optional<size_t> reserveAnswer(AnswerRoom &Room, std::optional<size_t> ExpectedBytes) {
  size_t Bytes = ExpectedBytes.value_or(Room.m_LimitBytes / UnknownAnswers);
  if (Bytes <= UncountedBytes)
    return 0;
  if (Room.m_ReservedBytes > 0 && Room.m_ReservedBytes + Bytes > Room.m_LimitBytes)
    return std::nullopt;
  Room.m_ReservedBytes += Bytes;
  return Bytes;
}

} // namespace quetzalpaddle
