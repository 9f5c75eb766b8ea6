// State of the monitor and functions shared by its source files. Internal to the monitor.
#pragma once

#include "host.h"

namespace quetzalpaddle {

// Instance views older than this are neither reported to other hosts nor acted on.
constexpr Millis MaxViewAge{2000};

struct Probe {
  TimePoint m_NextProbeAt{};
  bool m_IsInFlight = false;
};

// A new primary whose record has not been written to the platform yet.
struct RecordJob {
  std::string m_Primary;
  uint64_t m_Term = 0;
  std::string m_OperationId;
  uint32_t m_AttemptCount = 0;
  TimePoint m_NextAttemptAt{};
  bool m_IsInFlight = false;
};

// A group with at least one instance that this host dispatches to.
struct DispatchedGroup {
  std::vector<std::string> m_Instances;
  uint32_t m_Rank = 0;
  TimePoint m_NextTickAt{};
  TimePoint m_NextLeavingAttemptAt{};
};

struct MonitorState {
  uint64_t m_OwnershipSignature =
      0; // hash of the usable hosts and the configuration that m_OwnedGroups was computed from
  TimePoint m_NextOwnershipCheckAt{};
  std::map<std::string, DispatchedGroup> m_OwnedGroups;
  size_t m_OwnedInstanceCount = 0;
  std::map<std::string, Probe> m_Probes; // by instance
  TimePoint m_NextExchangeAt{};
  std::set<std::string> m_ExchangesInFlight; // ids of the called hosts
  std::set<std::string>
      m_PendingUpdateHosts; // an exchange was in flight when they were due to get an update
  std::set<std::string> m_SuspectHosts; // reported as unreachable by other hosts
  std::string m_LastExtraHost;          // the next round of extra hosts starts after this one
  std::map<std::string, TimePoint> m_FencingStartedAt; // start of the last promotion, by group
  std::map<std::string, RecordJob> m_RecordJobs;       // by group
  std::deque<PromotionRecord> m_PromotionHistory;
};

inline Position fromWire(const instance::Position &P) { return {P.term(), P.index()}; }

const Group *findGroup(const Host &ThisHost, const std::string &Name);

// Returns the name under which this host proposes terms to instances. It is unique for each process
// start, so that a term granted before a restart is not mistaken for one granted to this process.
std::string makeProposerName(const Host &ThisHost);

// Wraps a callback so that it does nothing once the host has been destroyed.
template <class Handler> auto guardHandler(Host &ThisHost, Handler Callback) {
  return [&ThisHost, WeakState = std::weak_ptr<MonitorState>(ThisHost.m_Monitor),
          Callback](auto Answer) mutable {
    if (WeakState.lock())
      Callback(ThisHost, std::move(Answer));
  };
}

// Merges a new view of an instance into the view of its group. A change of primary triggers an
// exchange with other hosts at once.
void updateInstanceView(Host &ThisHost, const std::string &Group, const std::string &Instance,
                        const InstanceView &NewView);

// Adopts a primary reported by another host or instance, unless this host has more reliable
// information. An instance's report about itself takes precedence: a fenced replica may still name
// the old primary.
void adoptReportedPrimary(Host &ThisHost, const std::string &Group, uint64_t Term,
                          const std::string &Primary);

// Returns the failover settings, with longer times if the probe interval had to be extended to stay
// within the probe rate limit, so that a single late probe does not make a primary suspect.
FailoverSettings scaleFailoverSettings(const Host &ThisHost);

// Requests the status of an instance and applies the reply or the failure. OnReply, if set, is
// called first in both cases.
void probeInstance(Host &ThisHost, const std::string &Group, const Instance &I,
                   const std::function<void(Host &)> &OnReply);

// Applies an instance's status to the view and to a promotion in progress (defined in
// monitor_promotion.cpp).
void applyStatus(Host &ThisHost, const std::string &Group, const std::string &Instance,
                 const instance::StatusReply &Reply);

// Sends this host's report to all hosts immediately, if the fleet is small. In a large fleet a
// promotion spreads through the periodic exchange between neighbours.
void sendReportToAllHosts(Host &ThisHost, TimePoint Now);

void tickPromotions(Host &ThisHost, TimePoint Now);
void tickRecords(Host &ThisHost, TimePoint Now);

} // namespace quetzalpaddle
