// Limits writes to a primary that does not acknowledge them. Free of I/O, threads and clock reads.
//
// A primary that has lost its replicas still answers reads, but each write occupies a slot until
// its time limit. With few slots, all of them would soon wait for acknowledgements and no read
// could run. So while writes are stalled, one at a time probes whether they are acknowledged; the
// others are refused at once.
#pragma once

#include "answer.h"

namespace quetzalpaddle {

struct WriteGate {
  uint32_t m_InProgressCount = 0; // writes and commits sent and not answered
  TimePoint m_StalledAt{};        // when a write was last overdue; zero: never
  TimePoint m_AcknowledgedAt{};   // last acknowledged write or commit
  // A commit has waited long for a replica to receive it. The one that did may have started just
  // then, and be known to no host that promotes.
  bool m_IsInDoubt = false;
};

// Records how long an acknowledged write or commit took.
void noteCommitTime(WriteGate &Gate, Duration Time);

// Whether no write has been acknowledged since one was last overdue.
bool isStalled(const WriteGate &Gate);

// Whether another write may be sent now.
bool canStartWrite(const WriteGate &Gate);

} // namespace quetzalpaddle
