// Probes instances, exchanges reports with other hosts and carries out promotions. To be called
// from the control thread only.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

// Runs the probes, exchanges and promotions that are due; called every 10 ms.
void tickMonitor(Host &ThisHost, TimePoint Now);

// Updates the view of an instance from a reply that it gave to a forwarded request. Replies without
// a term or without an instance are ignored.
void recordInstanceReply(Host &ThisHost, const std::string &Group, const std::string &Instance,
                         const peer::ForwardReply &Reply);

// Records that an instance could not be reached or did not reply in time.
void recordInstanceFailure(Host &ThisHost, const std::string &Group, const std::string &Instance);

// Starts a promotion of Candidate, or of the best instance if Candidate is empty, without waiting
// until the primary is suspect. The outcome is visible in the group's view and in listPromotions().
void requestGroupPromotion(Host &ThisHost, const std::string &Group, const std::string &Candidate);

// A promotion that this host carried out.
struct PromotionRecord {
  std::chrono::system_clock::time_point m_PromotedAt{}; // when the new primary was promoted
  std::string m_Group;
  std::string m_Primary;
  uint64_t m_Term = 0;
  std::string m_PromotionReason;
  Duration m_Duration{};     // since the first fence request
  bool m_IsRecorded = false; // written to the group's status object in the platform
};

// Returns the most recent promotions, oldest first.
std::vector<PromotionRecord> listPromotions(const Host &ThisHost);

// Applies a report from another host and replies with this host's report.
peer::ExchangeReply handleExchange(Host &ThisHost, const peer::ExchangeRequest &Request);

} // namespace quetzalpaddle
