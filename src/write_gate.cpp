// Refusal of writes while the primary acknowledges none.
#include "write_gate.h"

namespace quetzalpaddle {

bool isStalled(const WriteGate &Gate) {
  return Gate.m_StalledAt != TimePoint{} && Gate.m_AcknowledgedAt < Gate.m_StalledAt;
}

bool canStartWrite(const WriteGate &Gate) {
  return !isStalled(Gate) || Gate.m_InProgressCount == 0;
}

} // namespace quetzalpaddle
