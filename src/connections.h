// How many connections a dispatcher may hold to an instance that accepts a limited number from all
// hosts together. Without sockets, threads or clocks.
#pragma once

#include "answer.h"

namespace quetzalpaddle {

struct ConnectionSettings {
  // Part of an instance's connections that its dispatcher uses; the rest is for another host that
  // dispatches to it for a moment while hosts come and go. Customers beyond the share replace each
  // other's connections, which are dear.
  double m_DispatcherFraction = 0.8;
  // Of a host that hears no hub and dispatches for itself: a hundred such hosts may share what the
  // dispatcher leaves over.
  uint32_t m_MaxIsolatedConnections = 2;
  // After an instance had no room for a connection, this host makes do with those it has. Without
  // the limit each waiting statement would try again, and each try takes one of the instance's
  // slots.
  Millis m_FullBackoff{2000};
};

struct ConnectionBudget {
  uint32_t m_MaxWhileFull = 0; // while the instance is full; 0 = not
  TimePoint m_FullUntil{};
};

// The instance refused a connection for want of room. Open: connections that this host holds.
// Slots: statements that the instance runs at a time; the budget does not fall below them.
void noteInstanceFull(ConnectionBudget &Budget, uint32_t Open, uint32_t Slots, TimePoint Now,
                      const ConnectionSettings &Settings);

// Connections that this host may hold. Accepted: by the instance from all hosts.
uint32_t maxConnections(const ConnectionBudget &Budget, uint32_t Accepted, bool Isolated,
                        TimePoint Now, const ConnectionSettings &Settings);

} // namespace quetzalpaddle
