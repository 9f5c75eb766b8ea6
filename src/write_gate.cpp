// Writes to a primary that acknowledges none.
#include "write_gate.h"

namespace quetzalpaddle {

bool isStalled(const WriteGate &Gate) {
  return Gate.m_StalledAt != TimePoint{} && Gate.m_WroteAt < Gate.m_StalledAt;
}

bool mayStartWrite(const WriteGate &Gate) { return !isStalled(Gate) || Gate.m_InProgress == 0; }

} // namespace quetzalpaddle
