// Limits the connections of a host to an instance, which accepts a limited number from all hosts
// together. Free of I/O, threads and clock reads.
#pragma once

#include "answer.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalpaddle {

// Why a connection to an instance was closed; a label of a metric.
enum class ConnectionClose {
  OpenFailed,          // it was not accepted
  ErrorAnswer,         // an error answer; see docs/decisions/answers.md
  NotReusable,         // it ended, its state is unknown, or a transaction may be open on it
  UnreadData,          // bytes that no statement asked for, found before its next use
  Replaced,            // given up for another customer's
  IdleTimeout,         // not used for ConnectionSettings::m_IdleTimeout
  InstanceUnreachable, // the instance gives no answer
  InstanceRestarted,   // the instance has another address or incarnation
  DispatcherChanged,   // another host dispatches to the instance
  HostDraining,        // this host stops
  Evacuated,           // the instance's data centre is evacuated
};
constexpr size_t ConnectionCloseCount = static_cast<size_t>(ConnectionClose::Evacuated) + 1;

// Returns the name of a cause, for example "open_failed".
std::string_view connectionCloseName(ConnectionClose Cause);

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
  // What a customer did longer ago counts for 1/e or less. Long enough that a customer with one
  // statement a minute keeps its connection to a burst of another one.
  Duration m_DemandTime = std::chrono::seconds(60);
  // Idle connections are closed after this time. Connections beyond one per slot used to be closed
  // after 30 s, and customers with a statement a minute opened one for each.
  Duration m_IdleTimeout = std::chrono::minutes(5);
  // A host that stops keeps the connections that were used this recently. Hosts hear of the stop
  // with the second update after it, that is, within 0.4 s and the delays, and a statement that
  // they send until then would open a connection otherwise.
  Duration m_DrainKeepTime = Millis(500);
};

// Use of connections by a customer.
struct CustomerDemand {
  double m_TakesPerSecond = 0; // as of m_UpdatedAt; decays
  double m_HoldSeconds = 0;    // mean time for which a connection is held
  TimePoint m_UpdatedAt{};
};

using ConnectionDemand = std::map<std::string, CustomerDemand>; // by customer

// Connections of a customer to an instance.
struct CustomerConnections {
  uint32_t m_OpenCount = 0; // idle and busy
  uint32_t m_IdleCount = 0;
};

// Record that a customer has taken a connection, or has given it back after a time.
void noteConnectionTaken(ConnectionDemand &Demand, const std::string &Customer, TimePoint Now,
                         const ConnectionSettings &Settings);
void noteConnectionReturned(ConnectionDemand &Demand, const std::string &Customer,
                            Duration HeldTime);

// Returns how often in a second a customer with one connection less would miss it.
double connectionUse(const ConnectionDemand &Demand, const std::string &Customer,
                     uint32_t OpenCount, TimePoint Now, const ConnectionSettings &Settings);

// Returns the customer of whose idle connections one is missed the least; empty if there is none.
std::string chooseReplacedCustomer(const ConnectionDemand &Demand,
                                   const std::map<std::string, CustomerConnections> &Connections,
                                   TimePoint Now, const ConnectionSettings &Settings);

// Forgets customers that have not taken a connection for long.
void forgetOldDemand(ConnectionDemand &Demand, TimePoint Now, const ConnectionSettings &Settings);

// Temporary limit after an instance was full.
struct ConnectionBudget {
  uint32_t m_MaxWhileFull = 0; // limit until m_FullUntil
  TimePoint m_FullUntil{};
};

// Returns whether a connection that could not be opened shows that the instance is lost. One that
// has answered others since is only busy: it accepts connections behind statements.
bool isInstanceLost(bool HasTimedOut, TimePoint AttemptedAt, TimePoint LastAnswerAt);

// Records that the instance refused a connection because it was full. OpenCount: connections that
// this host holds. SlotCount: statements that the instance runs at a time; the budget does not fall
// below them.
void noteInstanceFull(ConnectionBudget &Budget, uint32_t OpenCount, uint32_t SlotCount,
                      TimePoint Now, const ConnectionSettings &Settings);

// Returns the number of connections that this host may hold, at least 1. AcceptedCount: the number
// that the instance accepts from all hosts. IsIsolated: this host sees no hub.
uint32_t maxConnections(const ConnectionBudget &Budget, uint32_t AcceptedCount, bool IsIsolated,
                        TimePoint Now, const ConnectionSettings &Settings);

// Returns how many of the idle connections a host that stops keeps. LastUsedAt: of each of them,
// most recently used first. They stay within what maxConnections() leaves to the next dispatcher.
size_t countKeptWhileDraining(const std::vector<TimePoint> &LastUsedAt, uint32_t AcceptedCount,
                              TimePoint Now, const ConnectionSettings &Settings);

} // namespace quetzalpaddle
