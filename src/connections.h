// Limits the connections of a host to an instance, which accepts a limited number from all hosts
// together. Free of I/O, threads and clock reads.
#pragma once

#include "answer.h"

namespace quetzalpaddle {

struct ConnectionSettings {
  // Fraction of an instance's connections that its dispatcher uses. The rest is reserved for
  // another host that dispatches to the instance for a short time while hosts join or leave.
  // Customers beyond the fraction replace each other's connections, which are expensive to open.
  double m_DispatcherFraction = 0.8;
  // Connections of a host that sees no hub and dispatches for its own callers. A hundred such hosts
  // may share the connections that the dispatcher leaves free.
  uint32_t m_MaxIsolatedConnections = 2;
  // After an instance has refused a connection because it was full, this host opens no further ones
  // for this long. Otherwise each waiting statement would retry, and each attempt takes one of the
  // instance's slots.
  Millis m_FullBackoff{2000};
};

// Temporary limit after an instance was full.
struct ConnectionBudget {
  uint32_t m_MaxWhileFull = 0; // limit until m_FullUntil
  TimePoint m_FullUntil{};
};

// Records that the instance refused a connection because it was full. OpenCount: connections that
// this host holds. SlotCount: statements that the instance runs at a time; the budget does not fall
// below them.
void noteInstanceFull(ConnectionBudget &Budget, uint32_t OpenCount, uint32_t SlotCount,
                      TimePoint Now, const ConnectionSettings &Settings);

// Returns the number of connections that this host may hold, at least 1. AcceptedCount: the number
// that the instance accepts from all hosts. IsIsolated: this host sees no hub.
uint32_t maxConnections(const ConnectionBudget &Budget, uint32_t AcceptedCount, bool IsIsolated,
                        TimePoint Now, const ConnectionSettings &Settings);

} // namespace quetzalpaddle
