// Whether writes may be sent to a primary that acknowledges none. Without sockets, threads or
// clocks.
//
// A primary that has lost its replicas goes on to answer reads, but a write keeps its slot until
// its time limit. With a few slots all of them wait for acknowledgements, and no read gets through.
// So once writes stall, one at a time finds out whether they go on; the others are refused at once.
#pragma once

#include "answer.h"

namespace quetzalpaddle {

struct WriteGate {
  uint32_t m_InProgressCount = 0; // writes and commits sent and not answered
  TimePoint m_StalledAt{};        // when a write was last overdue; zero: never
  TimePoint m_AcknowledgedAt{};   // last acknowledged write or commit
};

// Whether no write has been acknowledged since one was overdue.
bool isStalled(const WriteGate &Gate);

bool canStartWrite(const WriteGate &Gate);

} // namespace quetzalpaddle
