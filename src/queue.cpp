// Fair queue of one instance: start-time fair queuing by slot time.
//
// Each customer has a virtual time, the slot time it has used. The next request comes from the
// customer with the lowest one. A start is charged with the customer's smoothed statement duration,
// so that a customer cannot take every slot before its first statement ends; the end replaces the
// charge by the duration measured. A customer that had no request waiting is raised to the queue's
// virtual time less a small credit: idle time is not saved up, but a customer below its share may
// start a few statements at once. When nothing runs or waits, the queue's virtual time is raised to
// the highest of all customers, so that slot time that nobody else wanted is not a debt.
//
// Of the chosen customer's requests the one with the earliest goal starts, of those that can still
// meet theirs. In order of arrival, a queue longer than the goals would make every answer late; so
// the late ones give way, and start when the customer has nothing else.
//
// Trade-off: fairness by slot time needs no weights or statement costs and lets a customer of cheap
// statements run more of them; a statement of unknown length is charged in arrears, so one long
// statement delays others by at most its own length in one slot. An ordered index makes each step
// O(log customers). The linear searches are bounded: for the longest queue only when the queue is
// full, for a pinned statement only while no connection is free.
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

// Charged for the first statements of a customer, before any duration is known.
constexpr Millis InitialEstimate{5};
// Weight of a new duration in the estimate; 1/8 follows a change within a dozen statements.
constexpr int EstimateWeight = 8;

// Slot time that a customer may start with after a pause; others wait at most this time, divided by
// the number of slots, for it. Without it a customer's own short bursts waited for its share. With
// 50 ms, the worst p99 beside a customer of 5 times its rate was 2.16 times the p99 alone at three
// slots, with 100 ms 1.62, with 200 ms 1.48, with 400 ms 1.52
// (docs/decisions/fair-queue.md).
constexpr Millis WakeCredit{200};

// Brings a customer without waiting requests up to the queue's virtual time.
void wakeCustomer(const FairQueue &Queue, CustomerQueue &C) {
  C.m_VirtualTime = std::max(C.m_VirtualTime, Queue.m_VirtualTime - WakeCredit);
}

void indexCustomer(FairQueue &Queue, const std::string &Name, CustomerQueue &C) {
  if (C.m_Requests.empty())
    return;
  C.m_TieBreak = Queue.m_NextTieBreak++;
  Queue.m_CustomersByVirtualTime.emplace(std::pair{C.m_VirtualTime, C.m_TieBreak}, Name);
}

void unindexCustomer(FairQueue &Queue, const CustomerQueue &C) {
  if (!C.m_Requests.empty())
    Queue.m_CustomersByVirtualTime.erase({C.m_VirtualTime, C.m_TieBreak});
}

// Removes a request and returns it. The customer leaves the index with its last request.
QueuedRequest takeAt(FairQueue &Queue, CustomerQueue &C,
                     const std::deque<QueuedRequest>::const_iterator &Position) {
  QueuedRequest Taken = *Position;
  if (C.m_Requests.size() == 1)
    unindexCustomer(Queue, C);
  C.m_Requests.erase(Position);
  Queue.m_CustomersByExpiry.erase({Taken.m_ExpiresAt, Taken.m_Id});
  --Queue.m_QueuedCount;
  return Taken;
}

QueuedRequest takeById(FairQueue &Queue, const std::string &Customer, uint64_t Id) {
  CustomerQueue &C = Queue.m_Customers.at(Customer);
  return takeAt(Queue, C, std::ranges::find(C.m_Requests, Id, &QueuedRequest::m_Id));
}

// Changes a customer's virtual time. Its place in the index is renewed.
template <class Change>
void chargeCustomer(FairQueue &Queue, const std::string &Name, CustomerQueue &C, Change Apply) {
  unindexCustomer(Queue, C);
  Apply();
  Queue.m_MaxVirtualTime = std::max(Queue.m_MaxVirtualTime, C.m_VirtualTime);
  indexCustomer(Queue, Name, C);
}

void chargeStart(FairQueue &Queue, const std::string &Name, CustomerQueue &C) {
  Duration Estimate =
      C.m_EstimatedDuration == Duration::zero() ? Duration(InitialEstimate) : C.m_EstimatedDuration;
  chargeCustomer(Queue, Name, C, [&] {
    C.m_VirtualTime += Estimate;
    C.m_AdvanceCharge += Estimate;
  });
  ++C.m_RunningCount;
  ++Queue.m_RunningCount;
}

// Makes room in a full queue: first the request furthest past its limit, then the newest request
// of the customer with the longest queue, unless that is the customer of the new request.
std::optional<uint64_t> shedRequest(FairQueue &Queue, const QueuedRequest &New) {
  auto First = Queue.m_CustomersByExpiry.begin();
  if (First != Queue.m_CustomersByExpiry.end() && First->first.first <= New.m_QueuedAt) {
    uint64_t Id = First->first.second;
    std::string Customer = First->second;
    takeById(Queue, Customer, Id);
    return Id;
  }
  auto LengthOf = [&](const auto &Entry) {
    return Queue.m_Customers.at(Entry.second).m_Requests.size();
  };
  auto Longest = std::ranges::max_element(Queue.m_CustomersByVirtualTime, {}, LengthOf);
  if (Longest == Queue.m_CustomersByVirtualTime.end())
    return std::nullopt;
  CustomerQueue &Theirs = Queue.m_Customers.at(Longest->second);
  auto Own = Queue.m_Customers.find(New.m_Customer);
  size_t OwnLength = Own == Queue.m_Customers.end() ? 0 : Own->second.m_Requests.size();
  if (OwnLength + 1 >= Theirs.m_Requests.size())
    return std::nullopt;
  return takeAt(Queue, Theirs, std::prev(Theirs.m_Requests.end())).m_Id;
}

std::deque<QueuedRequest>::const_iterator chooseRequest(const CustomerQueue &C, TimePoint Now) {
  auto Best = C.m_Requests.end();
  if (C.m_Requests.front().m_IsPinned)
    return C.m_Requests.begin();
  for (auto R = C.m_Requests.begin(); R != C.m_Requests.end(); ++R) {
    bool InTime =
        R->m_LatencyTargetAt != TimePoint{} && Now + C.m_EstimatedDuration <= R->m_LatencyTargetAt;
    if (InTime && (Best == C.m_Requests.end() || R->m_LatencyTargetAt < Best->m_LatencyTargetAt))
      Best = R;
  }
  return Best == C.m_Requests.end() ? C.m_Requests.begin() : Best;
}

} // namespace

Reason enqueueRequest(FairQueue &Queue, const QueuedRequest &Request,
                      std::optional<uint64_t> &ShedId, const QueueSettings &Settings) {
  ShedId.reset();
  auto Found = Queue.m_Customers.find(Request.m_Customer);
  if (Found != Queue.m_Customers.end() &&
      Found->second.m_Requests.size() >= Settings.m_MaxPerCustomer)
    return Reason::QueueFull;
  if (Queue.m_QueuedCount >= Settings.m_MaxTotal) {
    ShedId = shedRequest(Queue, Request);
    if (!ShedId)
      return Reason::QueueFull;
  }
  CustomerQueue &C = Queue.m_Customers[Request.m_Customer];
  QueuedRequest Added = Request;
  Added.m_ExpiresAt = std::min(Request.m_Deadline, Request.m_QueuedAt + Settings.m_MaxWait);
  // Statements of open transactions go before the customer's other requests: they free a
  // connection and locks sooner.
  auto Place = Added.m_IsPinned ? std::ranges::find(C.m_Requests, false, &QueuedRequest::m_IsPinned)
                                : C.m_Requests.end();
  bool WasEmpty = C.m_Requests.empty();
  Queue.m_CustomersByExpiry.emplace(std::pair{Added.m_ExpiresAt, Added.m_Id}, Added.m_Customer);
  C.m_Requests.insert(Place, std::move(Added));
  ++Queue.m_QueuedCount;
  if (WasEmpty) {
    wakeCustomer(Queue, C);
    indexCustomer(Queue, Request.m_Customer, C);
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
  CustomerQueue &C = Queue.m_Customers.at(Name);
  Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, C.m_VirtualTime);
  QueuedRequest Taken = takeAt(Queue, C, chooseRequest(C, Now));
  chargeStart(Queue, Name, C);
  return Taken;
}

void startUnqueued(FairQueue &Queue, const std::string &Customer) {
  CustomerQueue &C = Queue.m_Customers[Customer];
  if (C.m_Requests.empty())
    wakeCustomer(Queue, C);
  chargeStart(Queue, Customer, C);
}

void finishRequest(FairQueue &Queue, const std::string &Customer, Duration Used) {
  auto Found = Queue.m_Customers.find(Customer);
  if (Found == Queue.m_Customers.end() || Found->second.m_RunningCount == 0)
    return;
  CustomerQueue &C = Found->second;
  // The charges of the running statements are not kept one by one: an average is given back, and
  // the sum is exact when the last one ends.
  Duration Back = C.m_AdvanceCharge / C.m_RunningCount;
  chargeCustomer(Queue, Customer, C, [&] {
    C.m_VirtualTime += Used - Back;
    C.m_AdvanceCharge -= Back;
  });
  C.m_EstimatedDuration =
      C.m_EstimatedDuration == Duration::zero()
          ? Used
          : C.m_EstimatedDuration + (Used - C.m_EstimatedDuration) / EstimateWeight;
  --C.m_RunningCount;
  --Queue.m_RunningCount;
  if (Queue.m_RunningCount == 0 && Queue.m_QueuedCount == 0)
    Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, Queue.m_MaxVirtualTime);
}

std::vector<QueuedRequest> expireQueuedRequests(FairQueue &Queue, TimePoint Now,
                                                const QueueSettings & /*Settings*/) {
  std::vector<QueuedRequest> Expired;
  while (!Queue.m_CustomersByExpiry.empty() &&
         Queue.m_CustomersByExpiry.begin()->first.first <= Now) {
    auto First = Queue.m_CustomersByExpiry.begin();
    uint64_t Id = First->first.second;
    std::string Customer = First->second;
    Expired.push_back(takeById(Queue, Customer, Id));
  }
  return Expired;
}

std::vector<QueuedRequest>
removeMatching(FairQueue &Queue, const std::function<bool(const QueuedRequest &)> &Matches) {
  std::vector<std::pair<std::string, uint64_t>> Matching;
  for (const auto &[Place, Name] : Queue.m_CustomersByVirtualTime)
    for (const QueuedRequest &R : Queue.m_Customers.at(Name).m_Requests)
      if (Matches(R))
        Matching.emplace_back(Name, R.m_Id);
  std::vector<QueuedRequest> Removed;
  Removed.reserve(Matching.size());
  for (const auto &[Name, Id] : Matching)
    Removed.push_back(takeById(Queue, Name, Id));
  return Removed;
}

std::vector<QueuedRequest> removeRequestsOfKey(FairQueue &Queue, const std::string &KeyId) {
  return removeMatching(Queue, [&](const QueuedRequest &R) { return R.m_KeyId == KeyId; });
}

} // namespace quetzalpaddle
