// Refusal of writes while the primary acknowledges none.
#include "write_gate.h"

namespace quetzalpaddle {

namespace {

// A statement that writes takes up to 33 ms at an instance (SYSTEM.md), and a replica receives its
// commit a few milliseconds later.
constexpr Millis SlowCommitTime{60};

} // namespace

void noteCommitTime(WriteGate &Gate, Duration Time) {
  Gate.m_IsInDoubt = Gate.m_IsInDoubt || Time >= SlowCommitTime;
}

bool isStalled(const WriteGate &Gate) {
  return Gate.m_StalledAt != TimePoint{} && Gate.m_AcknowledgedAt < Gate.m_StalledAt;
}

bool canStartWrite(const WriteGate &Gate) {
  return !isStalled(Gate) || Gate.m_InProgressCount == 0;
}

} // namespace quetzalpaddle
