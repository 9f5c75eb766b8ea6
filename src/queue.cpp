// Fair queue of one instance: start-time fair queuing by slot time.
//
// Each customer has a virtual time, the slot time that it has used, and the next request comes from
// the customer with the lowest virtual time. A start is charged with the customer's smoothed
// statement duration, so that a customer cannot take every slot before its first statement ends;
// when the statement ends, the measured duration replaces that charge. The virtual time of a
// customer that had no request waiting is raised to that of the queue minus a small credit: idle
// time is not saved up, but a customer below its share may start a few statements at once. When
// nothing runs or waits, the queue's virtual time is raised to the highest of all customers, so
// that a customer owes nothing for slot time that no other customer wanted.
//
// Of the chosen customer's requests that can still meet their latency targets, the one with the
// earliest target starts. If requests started in order of arrival, a queue longer than the latency
// targets would make every answer late; so requests that can no longer meet their targets start
// only when the customer has no others.
//
// Trade-offs: fairness by slot time needs no weights or statement costs, and a customer with cheap
// statements may run more of them. A statement of unknown length is charged when it ends, so one
// long statement delays others by at most its own length in one slot. An ordered index finds the
// next customer in O(log customers). Four searches are linear: within one customer's queue, for the
// longest queue when the queue is full, for a pinned statement while no connection is free, and in
// removeMatching().
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

// Charge for the first statements of a customer, before a duration has been measured.
constexpr Millis InitialEstimate{5};
// A new duration has a weight of 1/EstimateWeightDivisor in the estimate, which with 1/8 follows a
// change within a dozen statements.
constexpr int EstimateWeightDivisor = 8;

// Slot time credited to a customer after an idle period, so that its short bursts do not wait for
// its share. Others wait for it at most this time divided by the number of slots. In trials at
// three slots, 200 ms kept the worst-case p99 beside a customer at 5 times its rate lowest, at 1.48
// times the p99 alone (docs/decisions/fair-queue.md).
constexpr Millis IdleCredit{200};

// Raises the virtual time of a customer without waiting requests to that of the queue minus the
// credit.
void raiseVirtualTime(const FairQueue &Queue, CustomerQueue &CustomerEntry) {
  CustomerEntry.m_VirtualTime =
      std::max(CustomerEntry.m_VirtualTime, Queue.m_VirtualTime - IdleCredit);
}

void indexCustomer(FairQueue &Queue, const std::string &Name, CustomerQueue &CustomerEntry) {
  if (CustomerEntry.m_Requests.empty())
    return;
  CustomerEntry.m_TieBreak = Queue.m_NextTieBreak++;
  Queue.m_CustomersByVirtualTime.emplace(
      std::pair{CustomerEntry.m_VirtualTime, CustomerEntry.m_TieBreak}, Name);
}

void unindexCustomer(FairQueue &Queue, const CustomerQueue &CustomerEntry) {
  if (!CustomerEntry.m_Requests.empty())
    Queue.m_CustomersByVirtualTime.erase({CustomerEntry.m_VirtualTime, CustomerEntry.m_TieBreak});
}

// Removes a request and returns it. Removing a customer's last request removes it from the index.
QueuedRequest removeAt(FairQueue &Queue, CustomerQueue &CustomerEntry,
                       const std::deque<QueuedRequest>::const_iterator &RequestIt) {
  QueuedRequest TakenRequest = *RequestIt;
  if (CustomerEntry.m_Requests.size() == 1)
    unindexCustomer(Queue, CustomerEntry);
  CustomerEntry.m_Requests.erase(RequestIt);
  Queue.m_RequestsByExpiry.erase({TakenRequest.m_ExpiresAt, TakenRequest.m_Id});
  --Queue.m_QueuedCount;
  return TakenRequest;
}

QueuedRequest removeById(FairQueue &Queue, const std::string &Customer, uint64_t Id) {
  CustomerQueue &CustomerEntry = Queue.m_Customers.at(Customer);
  return removeAt(Queue, CustomerEntry,
                  std::ranges::find(CustomerEntry.m_Requests, Id, &QueuedRequest::m_Id));
}

// Changes a customer's virtual time by Apply and updates its place in the index.
template <class Change>
void chargeCustomer(FairQueue &Queue, const std::string &Name, CustomerQueue &CustomerEntry,
                    Change Apply) {
  unindexCustomer(Queue, CustomerEntry);
  Apply();
  Queue.m_MaxVirtualTime = std::max(Queue.m_MaxVirtualTime, CustomerEntry.m_VirtualTime);
  indexCustomer(Queue, Name, CustomerEntry);
}

void chargeStart(FairQueue &Queue, const std::string &Name, CustomerQueue &CustomerEntry) {
  Duration Estimate = CustomerEntry.m_EstimatedDuration == Duration::zero()
                          ? Duration(InitialEstimate)
                          : CustomerEntry.m_EstimatedDuration;
  chargeCustomer(Queue, Name, CustomerEntry, [&] {
    CustomerEntry.m_VirtualTime += Estimate;
    CustomerEntry.m_AdvanceCharge += Estimate;
  });
  ++CustomerEntry.m_RunningCount;
  ++Queue.m_RunningCount;
}

// Makes room in a full queue and returns the id of the removed request: the one that expired first,
// if any has; otherwise the newest request of the customer with the longest queue, if that queue
// is longer than the queue of the new request's customer would become. Returns nothing if neither
// applies.
std::optional<uint64_t> shedRequest(FairQueue &Queue, const QueuedRequest &NewRequest) {
  auto FirstExpiry = Queue.m_RequestsByExpiry.begin();
  if (FirstExpiry != Queue.m_RequestsByExpiry.end() &&
      FirstExpiry->first.first <= NewRequest.m_QueuedAt) {
    uint64_t Id = FirstExpiry->first.second;
    std::string Customer = FirstExpiry->second;
    removeById(Queue, Customer, Id);
    return Id;
  }
  auto LengthOf = [&](const auto &Entry) {
    return Queue.m_Customers.at(Entry.second).m_Requests.size();
  };
  auto LongestEntry = std::ranges::max_element(Queue.m_CustomersByVirtualTime, {}, LengthOf);
  if (LongestEntry == Queue.m_CustomersByVirtualTime.end())
    return std::nullopt;
  CustomerQueue &LongestQueue = Queue.m_Customers.at(LongestEntry->second);
  auto OwnQueue = Queue.m_Customers.find(NewRequest.m_Customer);
  size_t OwnLength = OwnQueue == Queue.m_Customers.end() ? 0 : OwnQueue->second.m_Requests.size();
  if (OwnLength + 1 >= LongestQueue.m_Requests.size())
    return std::nullopt;
  return removeAt(Queue, LongestQueue, std::prev(LongestQueue.m_Requests.end())).m_Id;
}

// Returns the customer's request that starts next: a pinned one first, otherwise by latency target.
std::deque<QueuedRequest>::const_iterator chooseRequest(const CustomerQueue &CustomerEntry,
                                                        TimePoint Now) {
  auto Best = CustomerEntry.m_Requests.end();
  if (CustomerEntry.m_Requests.front().m_IsPinned)
    return CustomerEntry.m_Requests.begin();
  for (auto R = CustomerEntry.m_Requests.begin(); R != CustomerEntry.m_Requests.end(); ++R) {
    bool MeetsTarget = R->m_LatencyTargetAt != TimePoint{} &&
                       Now + CustomerEntry.m_EstimatedDuration <= R->m_LatencyTargetAt;
    if (MeetsTarget &&
        (Best == CustomerEntry.m_Requests.end() || R->m_LatencyTargetAt < Best->m_LatencyTargetAt))
      Best = R;
  }
  return Best == CustomerEntry.m_Requests.end() ? CustomerEntry.m_Requests.begin() : Best;
}

} // namespace

Reason enqueueRequest(FairQueue &Queue, const QueuedRequest &Request,
                      std::optional<uint64_t> &ShedId, const QueueSettings &Settings) {
  ShedId.reset();
  auto It = Queue.m_Customers.find(Request.m_Customer);
  if (It != Queue.m_Customers.end() && It->second.m_Requests.size() >= Settings.m_MaxPerCustomer)
    return Reason::QueueFull;
  if (Queue.m_QueuedCount >= Settings.m_MaxTotal) {
    ShedId = shedRequest(Queue, Request);
    if (!ShedId)
      return Reason::QueueFull;
  }
  CustomerQueue &CustomerEntry = Queue.m_Customers[Request.m_Customer];
  QueuedRequest AddedRequest = Request;
  AddedRequest.m_ExpiresAt = std::min(Request.m_Deadline, Request.m_QueuedAt + Settings.m_MaxWait);
  // Statements of open transactions go before the customer's other requests, so that connections
  // and locks are released sooner.
  auto InsertAt = AddedRequest.m_IsPinned ? std::ranges::find(CustomerEntry.m_Requests, false,
                                                              &QueuedRequest::m_IsPinned)
                                          : CustomerEntry.m_Requests.end();
  bool WasEmpty = CustomerEntry.m_Requests.empty();
  Queue.m_RequestsByExpiry.emplace(std::pair{AddedRequest.m_ExpiresAt, AddedRequest.m_Id},
                                   AddedRequest.m_Customer);
  CustomerEntry.m_Requests.insert(InsertAt, std::move(AddedRequest));
  ++Queue.m_QueuedCount;
  if (WasEmpty) {
    raiseVirtualTime(Queue, CustomerEntry);
    indexCustomer(Queue, Request.m_Customer, CustomerEntry);
  }
  return Reason::None;
}

std::optional<QueuedRequest> startNextRequest(FairQueue &Queue, TimePoint Now, bool PinnedOnly) {
  if (Queue.m_RunningCount >= Queue.m_SlotCount)
    return std::nullopt;
  auto Next = Queue.m_CustomersByVirtualTime.begin();
  if (PinnedOnly)
    Next = std::ranges::find_if(Queue.m_CustomersByVirtualTime, [&](const auto &Entry) {
      return Queue.m_Customers.at(Entry.second).m_Requests.front().m_IsPinned;
    });
  if (Next == Queue.m_CustomersByVirtualTime.end())
    return std::nullopt;
  std::string Name = Next->second;
  CustomerQueue &CustomerEntry = Queue.m_Customers.at(Name);
  Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, CustomerEntry.m_VirtualTime);
  QueuedRequest TakenRequest = removeAt(Queue, CustomerEntry, chooseRequest(CustomerEntry, Now));
  chargeStart(Queue, Name, CustomerEntry);
  return TakenRequest;
}

void startUnqueued(FairQueue &Queue, const std::string &Customer) {
  CustomerQueue &CustomerEntry = Queue.m_Customers[Customer];
  if (CustomerEntry.m_Requests.empty())
    raiseVirtualTime(Queue, CustomerEntry);
  chargeStart(Queue, Customer, CustomerEntry);
}

void finishRequest(FairQueue &Queue, const std::string &Customer, Duration SlotTime) {
  auto It = Queue.m_Customers.find(Customer);
  if (It == Queue.m_Customers.end() || It->second.m_RunningCount == 0)
    return;
  CustomerQueue &CustomerEntry = It->second;
  // Charges of running statements are stored as one sum: the average is refunded, and the sum is
  // exact when the last statement ends.
  Duration Refund = CustomerEntry.m_AdvanceCharge / CustomerEntry.m_RunningCount;
  chargeCustomer(Queue, Customer, CustomerEntry, [&] {
    CustomerEntry.m_VirtualTime += SlotTime - Refund;
    CustomerEntry.m_AdvanceCharge -= Refund;
  });
  CustomerEntry.m_EstimatedDuration =
      CustomerEntry.m_EstimatedDuration == Duration::zero()
          ? SlotTime
          : CustomerEntry.m_EstimatedDuration +
                (SlotTime - CustomerEntry.m_EstimatedDuration) / EstimateWeightDivisor;
  --CustomerEntry.m_RunningCount;
  --Queue.m_RunningCount;
  if (Queue.m_RunningCount == 0 && Queue.m_QueuedCount == 0)
    Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, Queue.m_MaxVirtualTime);
}

std::vector<QueuedRequest> expireQueuedRequests(FairQueue &Queue, TimePoint Now,
                                                const QueueSettings & /*Settings*/) {
  std::vector<QueuedRequest> ExpiredRequests;
  while (!Queue.m_RequestsByExpiry.empty() &&
         Queue.m_RequestsByExpiry.begin()->first.first <= Now) {
    auto FirstExpiry = Queue.m_RequestsByExpiry.begin();
    uint64_t Id = FirstExpiry->first.second;
    std::string Customer = FirstExpiry->second;
    ExpiredRequests.push_back(removeById(Queue, Customer, Id));
  }
  return ExpiredRequests;
}

std::vector<QueuedRequest>
removeMatching(FairQueue &Queue, const std::function<bool(const QueuedRequest &)> &Matches) {
  std::vector<std::pair<std::string, uint64_t>> MatchingIds;
  for (const auto &[OrderKey, Name] : Queue.m_CustomersByVirtualTime)
    for (const QueuedRequest &R : Queue.m_Customers.at(Name).m_Requests)
      if (Matches(R))
        MatchingIds.emplace_back(Name, R.m_Id);
  std::vector<QueuedRequest> RemovedRequests;
  RemovedRequests.reserve(MatchingIds.size());
  for (const auto &[Name, Id] : MatchingIds)
    RemovedRequests.push_back(removeById(Queue, Name, Id));
  return RemovedRequests;
}

std::vector<QueuedRequest> removeRequestsOfKey(FairQueue &Queue, const std::string &KeyId) {
  return removeMatching(Queue, [&](const QueuedRequest &R) { return R.m_KeyId == KeyId; });
}

} // namespace quetzalpaddle
