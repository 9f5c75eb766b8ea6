// Fleet-wide rate limit of a customer without a central owner: each host counts the requests that
// it admits, receives the counts of the others, and charges them all to its own copy of one token
// bucket. Free of I/O, threads and clock reads.
#pragma once

#include "answer.h"

#include <map>
#include <string>

namespace quetzalpaddle {

// What a host reports to the others on a customer.
struct UsageReport {
  uint64_t m_Incarnation = 0; // of the host's process
  double m_AdmittedCount = 0; // requests since that process started
  double m_OfferedRate = 0;   // requests per second that arrive there
};

// Usage of one other host, from its reports.
struct RemoteUsage {
  UsageReport m_LastReport;
  TimePoint m_ReportedAt{};  // arrival of m_LastReport
  double m_AdmittedRate = 0; // requests per second, smoothed; bridges the time to the next report
  double m_AnticipatedCount = 0; // requests charged since the last report, by m_AdmittedRate
  bool m_IsLeaf = false;         // reports to this host only, which passes its usage on
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
  double m_ShareTokens = 0;         // requests that this host may admit while m_Tokens is low
  TimePoint m_ShareRefilledAt{};    // last refill of m_ShareTokens
  std::map<std::string, RemoteUsage> m_RemoteUsage; // by host
};

struct UsageState {
  double m_Headroom = 0;                            // fraction by which a customer's rate is raised
  std::map<std::string, CustomerUsage> m_Customers; // by name; only those with a limit
};

// Sets rate (requests per second) and burst (requests). A new customer starts with a part of the
// burst: hosts that restart together would otherwise grant the whole burst a second time.
void setCustomerLimits(UsageState &State, const std::string &Customer, double Rate, double Burst,
                       TimePoint Now);

// Records another host's report. Reports that arrive out of order, and those on customers without a
// limit, are ignored. IsLeaf: the host reports to this host only.
void noteRemoteUsage(UsageState &State, const std::string &Customer, const std::string &Host,
                     const UsageReport &Report, bool IsLeaf, TimePoint Now);

// Returns the report to other hubs: usage of this host and of the leaves that report to it.
UsageReport buildOwnReport(const CustomerUsage &Usage, TimePoint Now);

// Returns the report to one of those leaves: usage of all hosts but the leaf.
UsageReport buildFleetReport(const CustomerUsage &Usage, const std::string &Leaf, TimePoint Now);

// Discards the reports of all hosts but one. Used when that host reports for the whole fleet.
void keepOnlyReportsOf(UsageState &State, const std::string &Host);

// Returns the requests per second that arrive at this host, smoothed and decayed up to Now.
double offeredRate(const CustomerUsage &Usage, TimePoint Now);

// Counts the arrival of one request and returns whether it is admitted. Requests of customers
// without a limit always are.
bool admitCustomerRequest(UsageState &State, const std::string &Customer, TimePoint Now);

// Gives back the token of a request that was admitted but not run.
void refundCustomerRequest(UsageState &State, const std::string &Customer);

} // namespace quetzalpaddle
