// Fair queue of an instance (queue.cpp): customers share its slots by the time that they use.
// Part of the public header quetzalpaddle.h, which includes it.
#pragma once

#include "answer.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quetzalpaddle {

struct QueueSettings {
  uint32_t m_MaxPerCustomer = 64;
  uint32_t m_MaxTotal = 512;
  Millis m_MaxWait{1500};
  bool m_RefusesLateStarts = false; // refuse requests that are expected to start too late
};

// Priorities 0 to 3 form a class each; higher ones count as the last of them.
constexpr size_t QueueClassCount = 4;
// Rank in the order of starts: the classes of requests that can meet their latency target, then the
// rest.
constexpr size_t LastRank = QueueClassCount;
constexpr size_t RankCount = LastRank + 1;

// A request that waits for a slot of an instance.
struct QueuedRequest {
  uint64_t m_Id = 0;
  std::string m_Customer;
  std::string m_KeyId;
  TimePoint m_Deadline{};
  TimePoint m_QueuedAt{};
  bool m_IsPinned = false;       // part of an open transaction, which already has a connection
  TimePoint m_LatencyTargetAt{}; // later answers miss the target; zero if there is none
  uint32_t m_Priority = 0;       // 0 = most urgent; has an effect only with a latency target
  TimePoint m_ExpiresAt{}; // set by enqueueRequest() to the earlier of deadline and maximum wait
  Duration m_ExpectedSlotTime{}; // set by enqueueRequest()
};

// Requests of a customer with the same rank, or its pinned ones, in the order in which they start.
using QueueLane = std::map<std::pair<TimePoint, uint64_t>, QueuedRequest>;
constexpr size_t PinnedLane = RankCount; // the lanes before it are those of the ranks
constexpr size_t LaneCount = PinnedLane + 1;

struct RequestLocation {
  std::string m_Customer;
  size_t m_Lane = 0;
  QueueLane::key_type m_Key;
};

// Smoothed durations of statements, and the charges of those that run.
struct ClassUsage {
  Duration m_EstimatedDuration{};
  Duration m_Deviation{};     // smoothed absolute difference from the estimate
  Duration m_AdvanceCharge{}; // total charged in advance for the running statements
  uint32_t m_RunningCount = 0;
  // Requests that expired or were overtaken since the last start from the queue.
  uint32_t m_MissCount = 0;
  TimePoint m_LastMissAt{};
};

// A waiting rank saves up 1/ReserveDivisor of the slot time of the other ranks.
constexpr int ReserveDivisor = 20;
// Time constant of RecentStarts. Shorter than the time limits of requests, which are 1 s and more,
// and longer than a statement.
constexpr std::chrono::duration<double> RecentStartsTime{0.5};

// Decayed sums of the charges of starts, by rank.
struct RecentStarts {
  std::array<Duration, RankCount> m_Charges{};
  TimePoint m_DecayedAt{};
};

// Queue of one customer at one instance. Virtual time is the slot time that the customer has used.
struct CustomerQueue {
  std::array<QueueLane, LaneCount> m_Lanes;
  uint32_t m_QueuedCount = 0;
  std::array<uint32_t, RankCount> m_RankCounts{};    // queued requests by rank
  std::array<Duration, RankCount> m_RankWork{};      // their expected slot time
  std::array<TimePoint, RankCount> m_WaitingSince{}; // since when some wait; unset if none do
  RecentStarts m_RecentStarts;
  Duration m_VirtualTime{};
  std::array<ClassUsage, QueueClassCount> m_Classes; // by priority
  uint32_t m_RunningCount = 0;
  uint64_t m_TieBreak = 0; // order among customers of equal virtual time
};

// Waiting customers by virtual time and tie-break.
using CustomerIndex = std::map<std::pair<Duration, uint64_t>, std::string>;

// Fair queue of one instance.
struct FairQueue {
  uint32_t m_SlotCount = 1;
  uint32_t m_RunningCount = 0;
  uint32_t m_QueuedCount = 0;
  // Highest virtual time of the least served waiting customer at a start; raised to
  // m_MaxVirtualTime when nothing runs or waits.
  Duration m_VirtualTime{};
  Duration m_MaxVirtualTime{}; // highest virtual time of any customer
  uint64_t m_NextTieBreak = 0;
  uint64_t m_NextSequence = 0; // number of the next queued request
  std::map<std::string, CustomerQueue> m_Customers;
  CustomerIndex m_CustomersByVirtualTime;
  std::array<CustomerIndex, RankCount> m_CustomersByRank; // those with requests of a rank
  std::map<std::pair<TimePoint, uint64_t>, RequestLocation>
      m_RequestsByExpiry;                            // key: expiry time, request id
  std::array<ClassUsage, QueueClassCount> m_Classes; // durations of all customers
  std::array<Duration, RankCount> m_RankWork{};      // expected slot time of the queued requests
  std::array<Duration, RankCount> m_RankCredit{};    // saved up by ranks that wait
  RecentStarts m_RecentStarts;
};

// Adds a request. Returns Reason::None if it was queued. If the queue was full, ShedId is set to
// the request that was removed to make room: an expired one, one of the customer with the longest
// queue, or a less urgent one of the same customer. With m_RefusesLateStarts, returns
// Reason::QueueTooLong if the request is not expected to start in time.
Reason enqueueRequest(FairQueue &Queue, const QueuedRequest &Request,
                      std::optional<uint64_t> &ShedId, const QueueSettings &Settings);

// Removes and returns the next request to run, or nothing if all slots are busy or the queue is
// empty. Requests that can still meet their latency target are started first, the most urgent class
// before the others. PinnedOnly restricts the choice to statements of open transactions, for when
// no connection is free.
std::optional<QueuedRequest> startNextRequest(FairQueue &Queue, TimePoint Now,
                                              bool PinnedOnly = false);

// Starts a statement that bypasses the queue: the end of a transaction, which releases its
// resources. It occupies a slot, even above the limit, and is charged like any other statement.
void startUnqueued(FairQueue &Queue, const std::string &Customer, uint32_t Priority = 0);

// Ends a running request of a customer and charges SlotTime, for which it held its slot, instead of
// the estimate.
void finishRequest(FairQueue &Queue, const std::string &Customer, Duration SlotTime,
                   uint32_t Priority = 0);

// Removes and returns the requests past their deadline or maximum wait.
std::vector<QueuedRequest> expireQueuedRequests(FairQueue &Queue, TimePoint Now,
                                                const QueueSettings &Settings);

// Removes and returns the requests that were overtaken and are no longer expected to start before
// their time limit. Statements of open transactions stay.
std::vector<QueuedRequest> removeOvertakenRequests(FairQueue &Queue, TimePoint Now);

// What expectedStartDelay() needs to know of a request.
struct StartForecast {
  size_t m_Rank = 0;
  Duration m_OwnAhead{};     // expected slot time of its customer's requests that go before it ...
  Duration m_OwnRankAhead{}; // ... and of those with the same rank
  Duration m_ShareSlack{};
  TimePoint m_Now{}; // the recent starts have been decayed to it
};

// Expected time until a request of a customer starts, by what waits now and what started lately.
Duration expectedStartDelay(const FairQueue &Queue, const std::string &Customer,
                            const CustomerQueue &CustomerEntry, const StartForecast &Forecast);

// Expected time until the queue has started all requests up to a rank that wait now.
Duration expectedDrainTime(const FairQueue &Queue, size_t Rank);

// Expected time until a request of the customer with this priority would be served, at most a limit
// that grows with the priority.
Duration expectedRetryDelay(const FairQueue &Queue, const std::string &Customer, uint32_t Priority,
                            TimePoint Now);

// Time after which a refused caller should ask again: BaseDelay with a random factor of 0.75 to
// 1.25, so that callers don't return together, and at least a minimum that grows with the priority.
// UniformDraw: a random number in [0, 1).
Millis retryHint(Duration BaseDelay, uint32_t Priority, double UniformDraw);

// The same for a queue without latency targets. What waits now has started or expired after
// MaxWait.
Millis drainRetryHint(const FairQueue &Queue, Duration MaxWait, double UniformDraw);

// Delay before a caller over its rate should ask again. Tokens: left in the bucket; may be
// negative.
Duration rateRetryDelay(double Tokens, double Rate, double OfferedRate);

// Whether a request that the queue of an instance refused is worth a try at another one: it is
// expected to be served sooner there, within the remaining time.
bool isSoonerElsewhere(Duration RefusedWait, Duration OtherWait, Duration RemainingTime);

// Remove and return the queued requests for which Matches returns true, or those of a key.
std::vector<QueuedRequest>
removeMatching(FairQueue &Queue, const std::function<bool(const QueuedRequest &)> &Matches);
std::vector<QueuedRequest> removeRequestsOfKey(FairQueue &Queue, const std::string &KeyId);

} // namespace quetzalpaddle
