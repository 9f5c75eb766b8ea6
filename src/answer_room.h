// Bounds the bytes of answers that an instance may send at the same time. The size of an answer is
// known only when it has arrived, so it is expected from the customer's earlier answers.
// docs/design/http-limits.md describes the rules.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

// The largest answers of a customer, in bytes for each statement, in two successive periods.
struct AnswerSizes {
  size_t m_Largest = 0;
  size_t m_LargestBefore = 0;
  TimePoint m_PeriodAt{}; // start of the current period; zero: nothing is known
};

// Returns the expected size of an answer, or nothing if the customer has had none recently.
std::optional<size_t> expectAnswer(const AnswerSizes &Sizes, size_t StatementCount, TimePoint Now);

void recordAnswer(AnswerSizes &Sizes, size_t StatementCount, size_t Bytes, TimePoint Now);

// Bytes of the answers that one instance sends or that have not been passed on yet.
struct AnswerRoom {
  size_t m_LimitBytes = 0;
  size_t m_ReservedBytes = 0;
};

// Reserves room for an answer. Returns the bytes to release when it has been passed on, or nothing
// if the answer has to wait for others. One answer may always be sent, and so may small ones, which
// reserve nothing.
std::optional<size_t> reserveAnswer(AnswerRoom &Room, std::optional<size_t> ExpectedBytes);

} // namespace quetzalpaddle
