// Probes of instances, reports between hosts, promotions. Control thread only.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

// Probes, exchanges and promotions that are due; called every 10 ms.
void tickMonitor(Host &H, TimePoint Now);

// Takes over what an answer of an instance tells about it.
void recordInstanceReply(Host &H, const std::string &Group, const std::string &Instance,
                         const peer::ForwardReply &Reply);

// Notes that an instance could not be reached or did not answer.
void recordInstanceFailure(Host &H, const std::string &Group, const std::string &Instance);

// Promotes Candidate, or the best instance if it is empty, without waiting for a suspicion. The
// outcome shows in the group's view and in the history.
void requestGroupPromotion(Host &H, const std::string &Group, const std::string &Candidate);

// One promotion that this host has carried out.
struct PromotionRecord {
  std::chrono::system_clock::time_point m_PromotedAt{}; // when the primary took over
  std::string m_Group;
  std::string m_Primary;
  uint64_t m_Term = 0;
  std::string m_PromotionReason;
  Duration m_Duration{};     // from the first fence
  bool m_IsRecorded = false; // the platform's status object has it
};

// The last promotions, oldest first.
std::vector<PromotionRecord> listPromotions(const Host &H);

// Handles another host's report and answers with this host's.
peer::ExchangeReply handleExchange(Host &H, const peer::ExchangeRequest &Request);

} // namespace quetzalpaddle
