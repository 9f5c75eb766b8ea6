// State of the monitor and what its source files share. Not used by other parts.
#pragma once

#include "host.h"

namespace quetzalpaddle {

// How old a view may be to be passed on or acted on.
constexpr Millis MaxViewAge{2000};

struct Probe {
  TimePoint m_NextAt{};
  bool m_InFlight = false;
};

// A primary that still has to be written to the platform.
struct RecordJob {
  std::string m_Primary;
  uint64_t m_Term = 0;
  std::string m_OperationId;
  uint32_t m_AttemptCount = 0;
  TimePoint m_NextAt{};
  bool m_InFlight = false;
};

// A group of which this host dispatches an instance.
struct OwnedGroup {
  std::vector<std::string> m_Instances;
  uint32_t m_Rank = 0;
  TimePoint m_NextTickAt{};
  TimePoint m_NextLeavingAttemptAt{};
};

struct MonitorState {
  uint64_t m_OwnershipSignature =
      0; // of the usable hosts and the configuration that m_OwnedGroups is made from
  TimePoint m_NextOwnershipCheckAt{};
  std::map<std::string, OwnedGroup> m_OwnedGroups;
  size_t m_OwnedInstanceCount = 0;
  std::map<std::string, Probe> m_Probes; // by instance
  TimePoint m_NextExchangeAt{};
  std::set<std::string> m_ExchangesInFlight;
  std::set<std::string>
      m_PendingUpdateHosts;             // had an exchange in flight when there was news for them
  std::set<std::string> m_SuspectHosts; // reported as silent by other hosts
  std::string m_LastExtraHost;          // where the next round of extra hosts goes on
  std::map<std::string, TimePoint> m_FencingSince;
  std::map<std::string, RecordJob> m_RecordJobs; // by group
  std::deque<PromotionRecord> m_PromotionHistory;
};

inline Position fromWire(const instance::Position &P) { return {P.term(), P.index()}; }

const Group *findGroup(const Host &H, const std::string &Name);

// This host as instances know it: unique for each start, so that a term granted before a restart
// is not taken for one of its own.
std::string makeProposerName(const Host &H);

// Wraps a handler so that it does nothing once the host is gone.
template <class Handler> auto guardHandler(Host &H, Handler Callback) {
  return [&H, WeakState = std::weak_ptr<MonitorState>(H.m_Monitor), Callback](auto Answer) mutable {
    if (WeakState.lock())
      Callback(H, std::move(Answer));
  };
}

// Merges what was learnt; a change of primary is passed on to other hosts at once.
void updateInstanceView(Host &H, const std::string &Group, const std::string &Instance,
                        const InstanceView &NewView);

// Takes over a primary that was told of by somebody else, if this host knows nothing better. What
// an instance says of itself counts more: a fenced replica may still name the old primary.
void adoptReportedPrimary(Host &H, const std::string &Group, uint64_t Term,
                          const std::string &Primary);

// The settings with longer times if probes are stretched, so that one late probe is no suspicion.
FailoverSettings scaleFailoverSettings(const Host &H);

// Asks an instance for its status and takes the answer over. OnReply is called first.
void probeInstance(Host &H, const std::string &Group, const Instance &I,
                   const std::function<void(Host &)> &OnReply);

// Takes a status over into the view and a promotion under way (monitor_promotion.cpp).
void applyStatus(Host &H, const std::string &Group, const std::string &Instance,
                 const instance::StatusReply &Reply);

// Sends this host's report to all hosts at once, in a small fleet. In a large one the news of a
// promotion travels through the neighbours.
void sendReportToAllHosts(Host &H, TimePoint Now);

void tickPromotions(Host &H, TimePoint Now);
void tickRecords(Host &H, TimePoint Now);

} // namespace quetzalpaddle
