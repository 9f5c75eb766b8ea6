// Connection budget of a dispatcher.
#include "connections.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const ConnectionSettings Settings;
constexpr uint32_t Accepted = 131; // as at the grown rope works
constexpr uint32_t Slots = 6;

} // namespace

// The pattern: other hosts hold connections to the instance, and it is full. Every waiting
// statement tried to open another one, hundreds a second.
Test(connections, full_instance_is_not_asked_for_more) {
  ConnectionBudget Budget;
  cr_assert_eq(maxConnections(Budget, Accepted, false, Start, Settings), 104);
  noteInstanceFull(Budget, 40, Slots, Start, Settings);
  cr_assert_eq(maxConnections(Budget, Accepted, false, Start + Millis(100), Settings), 40);
  cr_assert_eq(maxConnections(Budget, Accepted, false, Start + Settings.m_FullBackoff, Settings),
               104);
}

// Below one connection a slot the instance would idle.
Test(connections, full_instance_leaves_a_connection_for_each_slot) {
  ConnectionBudget Budget;
  noteInstanceFull(Budget, 0, Slots, Start, Settings);
  cr_assert_eq(maxConnections(Budget, Accepted, false, Start, Settings), Slots);
}

// The pattern: a hundred hosts hear no hub and each dispatches for its own callers.
Test(connections, isolated_hosts_fit_beside_the_dispatcher) {
  ConnectionBudget Budget;
  uint32_t Each = maxConnections(Budget, Accepted, true, Start, Settings);
  cr_assert_leq(Each, 2);
  cr_assert_geq(Each, 1);
}
