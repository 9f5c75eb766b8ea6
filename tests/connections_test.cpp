// Tests of the connection budget of a dispatcher.
#include "connections.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const ConnectionSettings Settings;
constexpr uint32_t InstanceConnectionLimit = 131; // of all hosts, as in the rope works deployment
constexpr uint32_t SlotCount = 6;

} // namespace

// Other hosts hold connections to an instance until it accepts no more. Guards against every
// waiting statement trying to open another connection, hundreds of times per second.
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

// With fewer connections than slots, the instance would leave slots idle.
Test(connections, full_instance_keeps_one_connection_per_slot) {
  ConnectionBudget Budget;
  noteInstanceFull(Budget, 0, SlotCount, Start, Settings);
  cr_assert_eq(maxConnections(Budget, InstanceConnectionLimit, false, Start, Settings), SlotCount);
}

// A hundred hosts reach no hub, and each dispatches for its own callers. Guards against isolated
// hosts that leave no connections for the dispatcher.
Test(connections, isolated_hosts_leave_room_for_the_dispatcher) {
  ConnectionBudget Budget;
  uint32_t ConnectionsPerHost =
      maxConnections(Budget, InstanceConnectionLimit, true, Start, Settings);
  cr_assert_leq(ConnectionsPerHost, 2);
  cr_assert_geq(ConnectionsPerHost, 1);
}
