// Connection budget of a dispatcher.
#include "connections.h"

#include <algorithm>

namespace quetzalpaddle {

void noteInstanceFull(ConnectionBudget &Budget, uint32_t Open, uint32_t Slots, TimePoint Now,
                      const ConnectionSettings &Settings) {
  Budget.m_MaxWhileFull = std::max({Open, Slots, uint32_t{1}});
  Budget.m_FullUntil = Now + Settings.m_FullBackoff;
}

uint32_t maxConnections(const ConnectionBudget &Budget, uint32_t Accepted, bool Isolated,
                        TimePoint Now, const ConnectionSettings &Settings) {
  auto Limit = Isolated ? Settings.m_MaxIsolatedConnections
                        : static_cast<uint32_t>(Accepted * Settings.m_DispatcherFraction);
  if (Now < Budget.m_FullUntil)
    Limit = std::min(Limit, Budget.m_MaxWhileFull);
  return std::max<uint32_t>(1, Limit);
}

} // namespace quetzalpaddle
