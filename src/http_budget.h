// Decides which connections of an HTTP server may buffer more bytes, and which are closed when
// buffers or connections run out. docs/design/http-limits.md describes the rules.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

// A connection that holds no more is not counted, so that ordinary requests do not touch the sum of
// the process.
inline constexpr size_t UncountedBytes = 8 * size_t{1024};
// Memory of a header field beside its text: the parser allocates each one, and the request has a
// copy.
inline constexpr size_t HeaderFieldBytes = 160;
// Copies of a body while its request is in progress: the text, the statements, and the message to
// the instance.
inline constexpr size_t BodyCopies = 3;

struct HttpByteBudget {
  size_t m_LimitBytes = 0;
  size_t m_UsedBytes = 0; // of all connections
};

// Returns whether a connection that holds HeldBytes, counted in the budget, may hold NewBytes.
bool mayHoldBytes(const HttpByteBudget &Budget, size_t HeldBytes, size_t NewBytes);

// Returns by how many bytes the budget is exceeded if an answer is added; 0 if the answer fits.
// Any answer fits while little is used.
size_t findExcessBytes(const HttpByteBudget &Budget, size_t AnswerBytes);

// A connection whose peer has not read an answer.
struct UnreadAnswer {
  uint64_t m_Id = 0;
  size_t m_HeldBytes = 0;
  Duration m_Age{}; // since writing began
};

// Returns the connections to close so that at least ExcessBytes are freed, largest first. Returns
// none if all that may be closed do not suffice.
std::vector<uint64_t> chooseUnreadAnswers(std::vector<UnreadAnswer> Answers, size_t ExcessBytes);

// A connection that waits for a request.
struct IdleConnection {
  uint64_t m_Id = 0;
  Duration m_Age{};
  bool m_HasSentRequest = false;
};

// Returns up to Count connections that may be closed in favour of new ones.
std::vector<uint64_t> chooseIdleConnections(std::vector<IdleConnection> Connections, size_t Count);

// Returns the lowest number of a descriptor that belongs to the reserve.
uint64_t findDescriptorReserve(uint64_t DescriptorLimit, uint64_t ReservedCount);

} // namespace quetzalpaddle
