// Fleet-wide rate limit of a customer without a central owner. The hosts that dispatch to the
// instances admit: each counts what it admits, receives the counts of the others, and charges them
// all to its own copy of one token bucket. Free of I/O, threads and clock reads.
#pragma once

#include "answer.h"

#include <map>
#include <set>
#include <string>

namespace quetzalpaddle {

// What a host reports to the others on a customer.
struct UsageReport {
  uint64_t m_Incarnation = 0; // of the host's process
  double m_AdmittedCount = 0; // requests since that process started
  double m_OfferedRate = 0;   // requests per second that arrive there to be admitted
  double m_CallerRate = 0;    // requests per second of its callers, and of its leaves' callers
};

// Usage of one other host, from its reports.
struct RemoteUsage {
  UsageReport m_LastReport;
  TimePoint m_ReportedAt{};  // arrival of m_LastReport
  double m_AdmittedRate = 0; // requests per second, smoothed; bridges the time to the next report
  double m_AnticipatedCount = 0; // requests charged since the last report
  bool m_IsLeaf = false;         // reports to this host only, which passes its usage on
  bool m_IsSilent = false;       // may be cut off and go on admitting; see setSilentHosts()
  double m_HeldFraction = 0;     // part of the rate that is withheld for it while it is silent
  // Its callers' rate when parts began to be withheld, or in its first report since.
  double m_FrozenCallerRate = 0;
};

// Usage of one customer, as this host knows it.
struct CustomerUsage {
  double m_Rate = 0;                // requests per second over all hosts, with the headroom
  double m_Burst = 0;               // requests
  double m_Tokens = 0;              // this host's copy of the fleet's bucket; below 0: a debt
  TimePoint m_RefilledAt{};         // last refill of m_Tokens
  double m_AdmittedCount = 0;       // requests admitted by this host
  double m_RemoteAdmittedCount = 0; // by all other hosts, as reported since this process started
  double m_LeafAdmittedCount = 0;   // part of m_RemoteAdmittedCount that only this host passes on
  double m_OfferedRate = 0;         // requests per second that arrive at this host, smoothed
  TimePoint m_OfferedRateAt{};      // last update of m_OfferedRate
  double m_CallerRate = 0;          // requests per second of this host's callers, smoothed
  TimePoint m_CallerRateAt{};       // last update of m_CallerRate
  double m_HoldDemand = 0;       // rate of all callers when the first host fell silent; 0: none is
  double m_ShareTokens = 0;      // requests that this host may admit while m_Tokens is low
  TimePoint m_ShareRefilledAt{}; // last refill of m_ShareTokens
  double m_IsolatedFraction = 0; // part of the rate that is this host's own while it is isolated
  std::map<std::string, RemoteUsage> m_RemoteUsage; // by host
};

struct UsageState {
  double m_Headroom = 0;                            // fraction by which a customer's rate is raised
  double m_BurstSlack = 0;                          // requests by which each burst is raised
  bool m_IsIsolated = false;                        // this host hears no other one that admits
  TimePoint m_IsolatedUntil{};                      // end of its lease on its own part
  std::map<std::string, CustomerUsage> m_Customers; // by name; only those with a limit
};

// How long the part of a silent host is withheld, and how long an isolated host may use its own.
// The second is shorter by more than the delay with which a silence is noticed.
struct UsageLeaseSettings {
  Millis m_HubHold{60000};
  Millis m_LeafHold{15000};
  Millis m_IsolatedLease{13000};
};

// Sets rate (requests per second) and burst (requests). A new customer starts with a small part of
// the burst: a host that restarts would otherwise grant it a second time.
void setCustomerLimits(UsageState &State, const std::string &Customer, double Rate, double Burst,
                       TimePoint Now);

// Records another host's report, which has to be newer than the last one. A count may fall:
// requests that were not run are given back. Reports on customers without a limit are ignored.
// IsLeaf: the host reports to this host only.
void noteRemoteUsage(UsageState &State, const std::string &Customer, const std::string &Host,
                     const UsageReport &Report, bool IsLeaf, TimePoint Now);

// Sets the hosts whose last message is overdue and that have not said that they stop. A part of the
// rate is withheld for them, in proportion to the callers that they had when they fell silent, less
// the leaves that report to a host that is heard: in a partition both sides do so, and what they
// admit adds up to the limit. Since: by host, arrival of its last message. Hosts that are silent
// for longer than the hold time are removed.
void setSilentHosts(UsageState &State, const std::map<std::string, TimePoint> &Since, TimePoint Now,
                    const UsageLeaseSettings &Settings);

// Removes a leaf that reports to another host from now on.
void removeLeaf(UsageState &State, const std::string &Host);

// Sets whether this host hears no other host that admits. LastHeardAt: last message from one. An
// isolated host keeps, for a limited time, the part of each rate that it had as it became isolated;
// the others withhold that part.
void setIsolated(UsageState &State, bool IsIsolated, TimePoint LastHeardAt, TimePoint Now,
                 const UsageLeaseSettings &Settings);

// Returns the report to other hubs: usage of this host and of the leaves that report to it. Those
// of silent leaves count as if they used all that is withheld for them.
UsageReport buildOwnReport(const CustomerUsage &Usage, TimePoint Now);

// Returns the report to one of those leaves: usage of all hosts but the leaf.
UsageReport buildFleetReport(const CustomerUsage &Usage, const std::string &Leaf, TimePoint Now);

// Discards the reports of all hosts but one. Used when that host reports for the whole fleet.
void keepOnlyReportsOf(UsageState &State, const std::string &Host);

// Returns the requests per second that arrive at this host, smoothed and decayed up to Now.
double offeredRate(const CustomerUsage &Usage, TimePoint Now);

// Returns the requests per second of this host's callers, smoothed and decayed up to Now.
double callerRate(const CustomerUsage &Usage, TimePoint Now);

// Returns the part of the rate, 0 to 1, that is withheld for silent hosts.
double withheldFraction(const CustomerUsage &Usage);

// Count one request: noteCallerArrival() at the host that takes it from a caller,
// noteCustomerArrival() at the host that is to admit it.
void noteCallerArrival(UsageState &State, const std::string &Customer, TimePoint Now);
void noteCustomerArrival(UsageState &State, const std::string &Customer, TimePoint Now);

// Returns whether one request is admitted. Requests of customers without a limit always are.
bool admitCustomerRequest(UsageState &State, const std::string &Customer, TimePoint Now);

// Gives back the token of a request that was admitted but not run.
void refundCustomerRequest(UsageState &State, const std::string &Customer);

} // namespace quetzalpaddle
