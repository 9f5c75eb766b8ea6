// Names of the refusal reasons.
#include "quetzalpaddle.h"

namespace quetzalpaddle {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)> ReasonNames = {
    "none",
    "bad_request",
    "too_large",
    "no_route",
    "no_key",
    "bad_key",
    "key_withdrawn",
    "route_denied",
    "read_only_route",
    "bad_token",
    "rate_limited",
    "queue_full",
    "queue_timeout",
    "no_primary",
    "no_majority",
    "not_primary",
    "replica_behind",
    "too_old",
    "instance_unavailable",
    "host_unavailable",
    "statement_failed",
    "request_id_reused",
    "no_transaction",
    "transaction_aborted",
    "too_many_transactions",
    "draining",
    "isolated",
    "outcome_unknown",
    "retry_budget_spent",
    "instance_leaving",
    "overloaded",
    "internal",
    "queue_too_long",
    "queue_displaced",
    "over_memory",
    "data_centre_evacuated",
};

} // namespace

std::string_view reasonName(Reason R) {
  size_t Number = static_cast<size_t>(R);
  return Number < ReasonNames.size() ? ReasonNames[Number] : "unknown_reason";
}

bool isQueueRefusal(Reason R) {
  return R == Reason::QueueFull || R == Reason::QueueTimeout || R == Reason::QueueTooLong ||
         R == Reason::QueueDisplaced;
}

bool isDispatcherRefusal(Reason R) {
  return isQueueRefusal(R) || R == Reason::RateLimited || R == Reason::NoMajority ||
         R == Reason::Draining || R == Reason::OverMemory || R == Reason::Evacuated;
}

} // namespace quetzalpaddle
