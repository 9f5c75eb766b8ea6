// Connection budget of a dispatcher.
#include "connections.h"

#include <algorithm>

namespace quetzalpaddle {

void noteInstanceFull(ConnectionBudget &Budget, uint32_t Open, uint32_t Slots, TimePoint Now,
                      const ConnectionSettings &Settings) {
  Budget.m_Most = std::max({Open, Slots, uint32_t{1}});
  Budget.m_Until = Now + Settings.m_FullFor;
}

uint32_t mostConnections(const ConnectionBudget &Budget, uint32_t Accepted, bool Isolated,
                         TimePoint Now, const ConnectionSettings &Settings) {
  auto Most = Isolated ? Settings.m_Isolated : static_cast<uint32_t>(Accepted * Settings.m_Share);
  if (Now < Budget.m_Until)
    Most = std::min(Most, Budget.m_Most);
  return std::max<uint32_t>(1, Most);
}

} // namespace quetzalpaddle
