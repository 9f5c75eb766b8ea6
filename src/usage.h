// Fleet-wide rate and burst of a customer without a holder: each host counts what it admitted,
// hears what the others admitted, and keeps the same token bucket as all others. Without sockets,
// threads or clocks.
#pragma once

#include "answer.h"

#include <map>
#include <string>

namespace quetzalpaddle {

// What a host tells the others of a customer.
struct UsageReport {
  uint64_t m_Incarnation = 0; // of the host's process
  double m_AdmittedCount = 0; // requests since that process started
  double m_OfferedRate = 0;   // requests per second that arrive there
};

// What one other host has admitted, by its reports.
struct RemoteUsage {
  UsageReport m_LastReport;
  TimePoint m_ReportedAt{};      // of the report
  double m_AdmittedRate = 0;     // smoothed, to bridge the time to the next report
  double m_AnticipatedCount = 0; // already charged beyond the report
  bool m_IsLeaf = false;         // it reports to this host only, which passes its use on
};

struct CustomerUsage {
  double m_Rate = 0;   // requests per second over all hosts
  double m_Burst = 0;  // requests
  double m_Tokens = 0; // tokens left for all hosts, by what this host knows
  TimePoint m_RefilledAt{};
  double m_AdmittedCount = 0; // by this host
  double m_RemoteAdmittedCount =
      0; // by all other hosts, as far as reported since this process started
  double m_LeafAdmittedCount = 0; // part of m_RemoteAdmittedCount that only this host passes on
  double m_OfferedRate = 0;       // smoothed requests per second that arrive at this host
  TimePoint m_OfferedRateAt{};
  double m_ShareTokens = 0; // tokens this host may use while the fleet's level is low
  TimePoint m_ShareRefilledAt{};
  std::map<std::string, RemoteUsage> m_RemoteUsage; // by host
};

struct UsageState {
  double m_Headroom = 0; // part of a rate that is handed out beyond it
  std::map<std::string, CustomerUsage> m_Customers;
};

// Sets rate and burst. A new customer starts with part of the burst, since hosts that restart
// together would otherwise grant it twice.
void setLimits(UsageState &State, const std::string &Customer, double Rate, double Burst,
               TimePoint Now);

// Takes over another host's report.
void noteRemoteUsage(UsageState &State, const std::string &Customer, const std::string &Host,
                     const UsageReport &Report, bool Leaf, TimePoint Now);

// What this host tells other hubs: its own use and that of the hosts that report only to it.
UsageReport buildOwnReport(const CustomerUsage &Usage, TimePoint Now);

// What it tells one of those hosts: the use of all others.
UsageReport buildFleetReport(const CustomerUsage &Usage, const std::string &Leaf, TimePoint Now);

// Forgets all other hosts' reports but those of one, when it reports for the whole fleet.
void keepOnlyReportsOf(UsageState &State, const std::string &Host);

// Requests per second that arrive at this host, smoothed.
double offeredRate(const CustomerUsage &Usage, TimePoint Now);

// Decides on one request.
bool admitCustomerRequest(UsageState &State, const std::string &Customer, TimePoint Now);

// Returns the admission of a request that was not run after all.
void refundCustomerRequest(UsageState &State, const std::string &Customer);

} // namespace quetzalpaddle
