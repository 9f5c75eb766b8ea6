// Connection budget of a dispatcher.
#include "connections.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const ConnectionSettings Settings;
constexpr uint32_t InstanceConnectionLimit = 131; // as at the grown rope works
constexpr uint32_t SlotCount = 6;

} // namespace

// The pattern: other hosts hold connections to the instance, and it is full. Every waiting
// statement tried to open another one, hundreds a second.
Test(connections, full_instance_lowers_the_limit_during_the_back_off) {
  ConnectionBudget Budget;
  cr_assert_eq(maxConnections(Budget, InstanceConnectionLimit, false, Start, Settings), 104);
  noteInstanceFull(Budget, 40, SlotCount, Start, Settings);
  cr_assert_eq(
      maxConnections(Budget, InstanceConnectionLimit, false, Start + Millis(100), Settings), 40);
  cr_assert_eq(maxConnections(Budget, InstanceConnectionLimit, false,
                              Start + Settings.m_FullBackoff, Settings),
               104);
}

// Below one connection a slot the instance would idle.
Test(connections, full_instance_keeps_one_connection_per_slot) {
  ConnectionBudget Budget;
  noteInstanceFull(Budget, 0, SlotCount, Start, Settings);
  cr_assert_eq(maxConnections(Budget, InstanceConnectionLimit, false, Start, Settings), SlotCount);
}

// The pattern: a hundred hosts hear no hub and each dispatches for its own callers.
Test(connections, isolated_hosts_leave_room_for_the_dispatcher) {
  ConnectionBudget Budget;
  uint32_t ConnectionsPerHost =
      maxConnections(Budget, InstanceConnectionLimit, true, Start, Settings);
  cr_assert_leq(ConnectionsPerHost, 2);
  cr_assert_geq(ConnectionsPerHost, 1);
}
