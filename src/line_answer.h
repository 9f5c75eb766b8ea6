// Attributes the answers on a connection to an instance to the statements that were sent on it.
// Free of I/O, threads and clock reads.
//
// An answer carries no statement id, and an instance may repeat one, at once or much later. Answers
// are therefore told apart by their contents:
// - A run of a caller's statement has a digest of its own. One that was seen before on the
//   connection belongs to a repeated answer.
// - All answers to statements of the host itself look alike, but for the transaction state. They
//   are not accepted for a caller's statement, nor if they show an older position than the
//   connection has shown. A batch of them ends in further statements, so that repeated answers
//   cannot hide the error of a statement that matters (countConfirmations()). An error that follows
//   such a batch may be of one of these. Before the caller of a write is told of it, for whom it
//   may be a promise, more answers are asked for (chooseAnswer()).
// - Errors look alike as well. A connection that has answered one is not used again, so that its
//   repetition meets no other statement. The exception is LAGGING, which is frequent and answers
//   only statements that name a position: it ends the use of a connection at the second time.
#pragma once

#include "platform/line_codec.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace quetzalpaddle {

// An answer of an instance, up to and including its ready message.
struct InstanceAnswer {
  std::vector<std::string> m_Rows;
  std::string m_Digest;
  std::string m_ErrorCode; // empty on success
  std::string m_ErrorText;
  platform::ReadyMessage m_Ready;
  bool m_HasResult = false; // a complete or an error message was read
};

// What is known of the answers on a connection.
struct AnswerHistory {
  InstanceAnswer m_PartialAnswer;          // as far as it was read
  std::deque<uint64_t> m_RecentDigests;    // hashes
  uint32_t m_HostAnswersOutside = 0;       // to the host's statements, outside a transaction ...
  uint32_t m_HostAnswersInTransaction = 0; // ... and in one
  Position m_LastPosition;                 // highest one shown
  bool m_IsErrorAmbiguous = false;         // one may be of the host's statements since a digest
  bool m_HasLagged = false;                // answered LAGGING, which may be repeated
  bool m_IsOver = false;                   // the connection must not be used again
  bool m_HasRepeated = false;              // an answer was repeated, so another one may be
  uint32_t m_RepeatedCount = 0;            // to be reported
  std::string m_Violation; // keyword of a message that breaks the protocol, or what is wrong
};

// How an answer to the statement that waits for one has to look like.
struct ExpectedAnswer {
  bool m_IsHostStatement = false;
  TransactionState m_State = TransactionState::None; // after success
  bool m_EndsOutside = false;                        // an error leaves no transaction open either
  bool m_HasPosition = false; // the statement names a position that the log has to contain
  bool m_IsAny = false;       // of the caller's statement or of the host's that follows it
};

enum class AnswerMatch {
  Accepted,
  Repeated,  // belongs to an earlier statement and is skipped
  Ambiguous, // cannot be attributed; the connection must not be used again
};

// Adds a message to the partial answer. Returns the answer if the message completes it. Sets
// m_Violation and m_IsOver if it is malformed.
std::optional<InstanceAnswer> addMessage(AnswerHistory &History, std::string_view Line);

// Decides whether a complete answer belongs to the statement that waits for one.
AnswerMatch matchAnswer(AnswerHistory &History, const InstanceAnswer &Answer,
                        const ExpectedAnswer &Expected);

// Whether an error that answers a write may be of a statement of the host that was sent before it.
bool isAmbiguousError(const AnswerHistory &History, const InstanceAnswer &Answer);

// Returns the answer to a write from an ambiguous error and one of the next answers, after further
// statements of the host were sent. If the error is of an earlier one, the write's answer is among
// the next.
InstanceAnswer chooseAnswer(InstanceAnswer Error, InstanceAnswer Next);

// Whether an answer that arrived while no statement waited for one repeats an earlier one.
bool isRepetition(const AnswerHistory &History, const InstanceAnswer &Answer);

// Returns how many further statements a batch of the host's statements needs at its end, because
// the answers of earlier ones, if repeated, could hide the error of one of them.
size_t countConfirmations(const AnswerHistory &History, size_t StatementCount,
                          TransactionState State);

} // namespace quetzalpaddle
