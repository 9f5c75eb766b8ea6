// Connection budget of a dispatcher.
#include "connections.h"

#include <algorithm>

namespace quetzalpaddle {

void noteInstanceFull(ConnectionBudget &Budget, uint32_t OpenCount, uint32_t SlotCount,
                      TimePoint Now, const ConnectionSettings &Settings) {
  Budget.m_MaxWhileFull = std::max({OpenCount, SlotCount, uint32_t{1}});
  Budget.m_FullUntil = Now + Settings.m_FullBackoff;
}

uint32_t maxConnections(const ConnectionBudget &Budget, uint32_t AcceptedCount, bool IsIsolated,
                        TimePoint Now, const ConnectionSettings &Settings) {
  auto Limit = IsIsolated ? Settings.m_MaxIsolatedConnections
                          : static_cast<uint32_t>(AcceptedCount * Settings.m_DispatcherFraction);
  if (Now < Budget.m_FullUntil)
    Limit = std::min(Limit, Budget.m_MaxWhileFull);
  return std::max<uint32_t>(1, Limit);
}

} // namespace quetzalpaddle
