#include "http_budget.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

// Fraction of the budget that a small connection holds at most, as a divisor. 1 MiB of
// the default budget of 256 MiB.
constexpr size_t SmallShareDivisor = 256;
// An answer may be delayed by a slow network for a round trip or two. A peer that has not read it
// after this time may lose it if memory is needed.
constexpr Millis UnreadAnswerAge{500};
// A caller sends its first request right after it has connected.
constexpr Millis SilentConnectionAge{1000};
// Callers keep connections between requests; shorter pauses are frequent.
constexpr Millis IdleConnectionAge{10000};

} // namespace

bool mayHoldBytes(const HttpByteBudget &Budget, size_t HeldBytes, size_t NewBytes) {
  if (NewBytes <= std::max(HeldBytes, UncountedBytes))
    return true;
  size_t Used = Budget.m_UsedBytes + NewBytes - HeldBytes;
  bool IsSmall = NewBytes <= Budget.m_LimitBytes / SmallShareDivisor;
  return Used <= (IsSmall ? Budget.m_LimitBytes : Budget.m_LimitBytes / 4 * 3);
}

size_t findExcessBytes(const HttpByteBudget &Budget, size_t AnswerBytes) {
  size_t Used = Budget.m_UsedBytes + AnswerBytes;
  if (Used <= Budget.m_LimitBytes || Budget.m_UsedBytes <= Budget.m_LimitBytes / 4)
    return 0;
  return Used - Budget.m_LimitBytes;
}

std::vector<uint64_t> chooseUnreadAnswers(std::vector<UnreadAnswer> Answers, size_t ExcessBytes) {
  std::erase_if(Answers, [](const UnreadAnswer &A) { return A.m_Age < UnreadAnswerAge; });
  std::ranges::sort(Answers, std::ranges::greater(), &UnreadAnswer::m_HeldBytes);
  std::vector<uint64_t> Ids;
  size_t FreedBytes = 0;
  for (const UnreadAnswer &Answer : Answers) {
    if (FreedBytes >= ExcessBytes)
      break;
    Ids.push_back(Answer.m_Id);
    FreedBytes += Answer.m_HeldBytes;
  }
  return FreedBytes >= ExcessBytes ? Ids : std::vector<uint64_t>();
}

std::vector<uint64_t> chooseIdleConnections(std::vector<IdleConnection> Connections, size_t Count) {
  std::erase_if(Connections, [](const IdleConnection &C) {
    return C.m_Age < (C.m_HasSentRequest ? IdleConnectionAge : SilentConnectionAge);
  });
  std::ranges::sort(Connections, [](const IdleConnection &A, const IdleConnection &B) {
    return std::pair(A.m_HasSentRequest, B.m_Age) < std::pair(B.m_HasSentRequest, A.m_Age);
  });
  Connections.resize(std::min(Connections.size(), Count));
  std::vector<uint64_t> Ids;
  std::ranges::transform(Connections, std::back_inserter(Ids), &IdleConnection::m_Id);
  return Ids;
}

uint64_t findDescriptorReserve(uint64_t DescriptorLimit, uint64_t ReservedCount) {
  return DescriptorLimit - std::min(ReservedCount, DescriptorLimit / 2);
}

} // namespace quetzalpaddle
