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
// Requests that can still meet their latency targets go first, by priority: if requests started in
// order of arrival, a queue longer than the latency targets would make every answer late. The most
// urgent class that waits is chosen first and then, of the customers with such requests, the one
// with the lowest virtual time. Two rules bound this. Only customers within ShareSlack of the
// lowest virtual time take part, so a flood of urgent requests does not take the shares of others.
// And each waiting class saves up a part of all charges, so that it is served in any case. Without
// latency targets there is one class, and the order is that of fair queuing alone. See
// docs/design/priority-scheduling.md.
//
// Trade-offs: fairness by slot time needs no weights or statement costs, and a customer with cheap
// statements may run more of them. A statement of unknown length is charged when it ends, so one
// long statement delays others by at most its own length in one slot. Ordered indexes find the next
// customer and request. Searches over all waiting customers: for the longest queue when the queue
// is full, for a pinned statement while no connection is free, in removeMatching(), and in
// forecasts (queue_forecast.cpp) while more waits than fits into a request's time limit.
#include "quetzalpaddle.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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

// Slot time by which a customer's urgent requests may exceed the share of the waiting customer that
// has used the least. A customer with a tenth of the load of six slots exceeds an equal share by
// less than this with its most urgent class at 2.1 times the load for 6 s. A flood of one customer
// delays the lower classes of the others once by this, divided by the number of slots.
constexpr Millis ShareSlack{2000};
// A request is refused on arrival only after this many of its customer's class in a row left
// without a start. With no start among n requests, 3/n is the upper 95 % confidence limit of the
// probability that the next one starts (rule of three): 1/20 for 60.
constexpr uint32_t MinMissCount = 60;

// Raises the virtual time of a customer without waiting requests to that of the queue minus the
// credit.
void raiseVirtualTime(const FairQueue &Queue, CustomerQueue &CustomerEntry) {
  CustomerEntry.m_VirtualTime =
      std::max(CustomerEntry.m_VirtualTime, Queue.m_VirtualTime - IdleCredit);
}

void indexCustomer(FairQueue &Queue, const std::string &Name, CustomerQueue &CustomerEntry) {
  if (CustomerEntry.m_QueuedCount == 0)
    return;
  CustomerEntry.m_TieBreak = Queue.m_NextTieBreak++;
  std::pair Key{CustomerEntry.m_VirtualTime, CustomerEntry.m_TieBreak};
  Queue.m_CustomersByVirtualTime.emplace(Key, Name);
  for (size_t Rank = 0; Rank < RankCount; ++Rank)
    if (CustomerEntry.m_RankCounts[Rank] > 0)
      Queue.m_CustomersByRank[Rank].emplace(Key, Name);
}

void unindexCustomer(FairQueue &Queue, const CustomerQueue &CustomerEntry) {
  std::pair Key{CustomerEntry.m_VirtualTime, CustomerEntry.m_TieBreak};
  Queue.m_CustomersByVirtualTime.erase(Key);
  for (CustomerIndex &Index : Queue.m_CustomersByRank)
    Index.erase(Key);
}

size_t classOf(uint32_t Priority) { return std::min<size_t>(Priority, QueueClassCount - 1); }
bool hasTarget(const QueuedRequest &R) { return R.m_LatencyTargetAt != TimePoint{}; }

// Returns the rank of a request in a lane. Statements of open transactions rank with the most
// urgent class: they hold a connection and locks.
size_t rankIn(size_t Lane, const QueuedRequest &R) {
  if (Lane != PinnedLane)
    return Lane;
  return hasTarget(R) ? 0 : LastRank;
}

// Returns the smoothed durations of a customer's class; before the first, those of all customers.
const ClassUsage &usageFor(const FairQueue &Queue, const CustomerQueue &CustomerEntry,
                           const QueuedRequest &R) {
  size_t Class = classOf(R.m_Priority);
  const ClassUsage &Own = CustomerEntry.m_Classes[Class];
  return Own.m_EstimatedDuration == Duration::zero() && hasTarget(R) ? Queue.m_Classes[Class] : Own;
}

Duration chargeFor(const FairQueue &Queue, const CustomerQueue &CustomerEntry,
                   const QueuedRequest &R) {
  Duration Estimate = usageFor(Queue, CustomerEntry, R).m_EstimatedDuration;
  return Estimate == Duration::zero() ? Duration(InitialEstimate) : Estimate;
}

// Whether a request that starts now is expected to meet its target. With the mean duration alone,
// half of the answers to requests that start at the last moment would be late.
bool canMeetTarget(const FairQueue &Queue, const CustomerQueue &CustomerEntry,
                   const QueuedRequest &R, TimePoint Now) {
  const ClassUsage &Usage = usageFor(Queue, CustomerEntry, R);
  return hasTarget(R) &&
         Now + Usage.m_EstimatedDuration + 2 * Usage.m_Deviation <= R.m_LatencyTargetAt;
}

// Counts a queued request that leaves without a start.
void noteMiss(FairQueue &Queue, const QueuedRequest &Missed, TimePoint Now) {
  ClassUsage &Usage = Queue.m_Customers.at(Missed.m_Customer).m_Classes[classOf(Missed.m_Priority)];
  ++Usage.m_MissCount;
  Usage.m_LastMissAt = Now;
}

// Adds a request to one of the customer's lanes.
void insertInto(FairQueue &Queue, CustomerQueue &CustomerEntry, size_t Lane,
                QueuedRequest AddedRequest, uint64_t Sequence, TimePoint Now) {
  TimePoint Order{};
  if (Lane < LastRank)
    Order = AddedRequest.m_LatencyTargetAt;
  else if (Lane == LastRank && hasTarget(AddedRequest))
    Order += Duration(classOf(AddedRequest.m_Priority));
  size_t Rank = rankIn(Lane, AddedRequest);
  if (CustomerEntry.m_RankCounts[Rank]++ == 0) {
    CustomerEntry.m_WaitingSince[Rank] = Now;
    if (CustomerEntry.m_QueuedCount > 0)
      Queue.m_CustomersByRank[Rank].emplace(
          std::pair{CustomerEntry.m_VirtualTime, CustomerEntry.m_TieBreak},
          AddedRequest.m_Customer);
  }
  CustomerEntry.m_RankWork[Rank] += AddedRequest.m_ExpectedSlotTime;
  Queue.m_RankWork[Rank] += AddedRequest.m_ExpectedSlotTime;
  Queue.m_RequestsByExpiry[{AddedRequest.m_ExpiresAt, AddedRequest.m_Id}] = {
      AddedRequest.m_Customer, Lane, {Order, Sequence}};
  ++Queue.m_QueuedCount;
  bool WasEmpty = CustomerEntry.m_QueuedCount++ == 0;
  std::string Name = AddedRequest.m_Customer;
  CustomerEntry.m_Lanes[Lane].emplace(std::pair{Order, Sequence}, std::move(AddedRequest));
  if (WasEmpty)
    indexCustomer(Queue, Name, CustomerEntry);
}

// Removes a request and returns it. A customer stays in an index while it has such requests.
QueuedRequest removeAt(FairQueue &Queue, CustomerQueue &CustomerEntry, size_t Lane,
                       QueueLane::const_iterator RequestIt) {
  QueuedRequest TakenRequest = std::move(CustomerEntry.m_Lanes[Lane].extract(RequestIt).mapped());
  size_t Rank = rankIn(Lane, TakenRequest);
  std::pair IndexKey{CustomerEntry.m_VirtualTime, CustomerEntry.m_TieBreak};
  if (--CustomerEntry.m_RankCounts[Rank] == 0)
    Queue.m_CustomersByRank[Rank].erase(IndexKey);
  if (--CustomerEntry.m_QueuedCount == 0)
    Queue.m_CustomersByVirtualTime.erase(IndexKey);
  CustomerEntry.m_RankWork[Rank] -= TakenRequest.m_ExpectedSlotTime;
  Queue.m_RankWork[Rank] -= TakenRequest.m_ExpectedSlotTime;
  Queue.m_RequestsByExpiry.erase({TakenRequest.m_ExpiresAt, TakenRequest.m_Id});
  --Queue.m_QueuedCount;
  return TakenRequest;
}

QueuedRequest removeAt(FairQueue &Queue, const RequestLocation &Location) {
  CustomerQueue &CustomerEntry = Queue.m_Customers.at(Location.m_Customer);
  return removeAt(Queue, CustomerEntry, Location.m_Lane,
                  CustomerEntry.m_Lanes[Location.m_Lane].find(Location.m_Key));
}

// Moves a customer's requests of a class that can no longer meet their targets to the last rank.
// The earliest targets are at the front.
void moveLateRequests(FairQueue &Queue, CustomerQueue &CustomerEntry, size_t Class, TimePoint Now) {
  QueueLane &Lane = CustomerEntry.m_Lanes[Class];
  while (!Lane.empty() && !canMeetTarget(Queue, CustomerEntry, Lane.begin()->second, Now)) {
    uint64_t Sequence = Lane.begin()->first.second;
    // Added before it is removed, so that the customer stays indexed.
    QueuedRequest Late = Lane.begin()->second;
    auto Expiry = std::pair{Late.m_ExpiresAt, Late.m_Id};
    insertInto(Queue, CustomerEntry, LastRank, Late, Sequence, Now);
    RequestLocation NewLocation = Queue.m_RequestsByExpiry.at(Expiry);
    removeAt(Queue, CustomerEntry, Class, Lane.begin());
    Queue.m_RequestsByExpiry.emplace(Expiry, NewLocation);
  }
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

void decayRecentStarts(RecentStarts &Starts, TimePoint Now) {
  if (Now <= Starts.m_DecayedAt)
    return;
  double Factor = std::exp(-((Now - Starts.m_DecayedAt) / RecentStartsTime));
  for (Duration &Sum : Starts.m_Charges)
    Sum = std::chrono::duration_cast<Duration>(Sum * Factor);
  Starts.m_DecayedAt = Now;
}

void chargeStart(FairQueue &Queue, const std::string &Name, CustomerQueue &CustomerEntry,
                 const QueuedRequest &Started, size_t Rank) {
  Duration Charge = chargeFor(Queue, CustomerEntry, Started);
  ClassUsage &Usage = CustomerEntry.m_Classes[classOf(Started.m_Priority)];
  chargeCustomer(Queue, Name, CustomerEntry, [&] {
    CustomerEntry.m_VirtualTime += Charge;
    Usage.m_AdvanceCharge += Charge;
  });
  for (size_t Other = 1; Other < RankCount; ++Other) {
    Duration &Credit = Queue.m_RankCredit[Other];
    if (Other == Rank)
      Credit -= std::min(Credit, Charge);
    else
      Credit = Queue.m_CustomersByRank[Other].empty() ? Duration::zero()
                                                      : Credit + Charge / ReserveDivisor;
  }
  Queue.m_RecentStarts.m_Charges[Rank] += Charge;
  CustomerEntry.m_RecentStarts.m_Charges[Rank] += Charge;
  ++Usage.m_RunningCount;
  ++CustomerEntry.m_RunningCount;
  ++Queue.m_RunningCount;
}

void smoothDuration(ClassUsage &Usage, Duration SlotTime) {
  if (Usage.m_EstimatedDuration == Duration::zero()) {
    Usage.m_EstimatedDuration = SlotTime;
    return;
  }
  Duration Difference = SlotTime - Usage.m_EstimatedDuration;
  Usage.m_EstimatedDuration += Difference / EstimateWeightDivisor;
  Usage.m_Deviation += (std::chrono::abs(Difference) - Usage.m_Deviation) / EstimateWeightDivisor;
}

// Returns the last request in the customer's order.
std::pair<size_t, QueueLane::iterator> lastRequest(CustomerQueue &CustomerEntry) {
  size_t Lane = LastRank;
  while (CustomerEntry.m_Lanes[Lane].empty())
    Lane = Lane == 0 ? PinnedLane : Lane - 1;
  return {Lane, std::prev(CustomerEntry.m_Lanes[Lane].end())};
}

// Makes room in a full queue and returns the id of the removed request: the one that expired first,
// if any has; otherwise the last request of the customer with the longest queue, if that queue is
// longer than the queue of the new request's customer would become. Returns nothing if neither
// applies.
std::optional<uint64_t> shedRequest(FairQueue &Queue, const QueuedRequest &NewRequest) {
  auto FirstExpiry = Queue.m_RequestsByExpiry.begin();
  if (FirstExpiry != Queue.m_RequestsByExpiry.end() &&
      FirstExpiry->first.first <= NewRequest.m_QueuedAt) {
    RequestLocation Location = FirstExpiry->second;
    return removeAt(Queue, Location).m_Id;
  }
  auto LengthOf = [&](const auto &Entry) {
    return Queue.m_Customers.at(Entry.second).m_QueuedCount;
  };
  auto LongestEntry = std::ranges::max_element(Queue.m_CustomersByVirtualTime, {}, LengthOf);
  if (LongestEntry == Queue.m_CustomersByVirtualTime.end())
    return std::nullopt;
  CustomerQueue &LongestQueue = Queue.m_Customers.at(LongestEntry->second);
  auto OwnQueue = Queue.m_Customers.find(NewRequest.m_Customer);
  uint32_t OwnLength = OwnQueue == Queue.m_Customers.end() ? 0 : OwnQueue->second.m_QueuedCount;
  if (OwnLength + 1 >= LongestQueue.m_QueuedCount)
    return std::nullopt;
  auto [Lane, RequestIt] = lastRequest(LongestQueue);
  return removeAt(Queue, LongestQueue, Lane, RequestIt).m_Id;
}

size_t laneFor(const FairQueue &Queue, const CustomerQueue &CustomerEntry, const QueuedRequest &R) {
  if (R.m_IsPinned)
    return PinnedLane;
  return canMeetTarget(Queue, CustomerEntry, R, R.m_QueuedAt) ? classOf(R.m_Priority) : LastRank;
}

// Returns the rank that starts next: one that has saved up enough for a statement, otherwise the
// most urgent one. Only customers within ShareSlack of the lowest virtual time take part.
size_t chooseRank(const FairQueue &Queue) {
  Duration Limit = Queue.m_CustomersByVirtualTime.begin()->first.first + ShareSlack;
  auto IsEligible = [&](size_t Rank) {
    const CustomerIndex &Index = Queue.m_CustomersByRank[Rank];
    return !Index.empty() && Index.begin()->first.first <= Limit;
  };
  for (size_t Rank = LastRank; Rank > 0; --Rank) {
    if (Queue.m_RankCredit[Rank] == Duration::zero() || !IsEligible(Rank))
      continue;
    const CustomerQueue &First =
        Queue.m_Customers.at(Queue.m_CustomersByRank[Rank].begin()->second);
    if (First.m_Lanes[Rank].empty() ||
        Queue.m_RankCredit[Rank] >= chargeFor(Queue, First, First.m_Lanes[Rank].begin()->second))
      return Rank;
  }
  size_t Rank = 0;
  while (!IsEligible(Rank)) // the customer with the lowest virtual time has a request of some rank
    ++Rank;
  return Rank;
}

// Returns the customer that starts a request next, and the lane.
std::pair<std::string, size_t> chooseNext(FairQueue &Queue, TimePoint Now) {
  for (;;) {
    size_t Rank = chooseRank(Queue);
    const std::string &Name = Queue.m_CustomersByRank[Rank].begin()->second;
    CustomerQueue &CustomerEntry = Queue.m_Customers.at(Name);
    if (!CustomerEntry.m_Lanes[PinnedLane].empty())
      return {Name, PinnedLane};
    if (Rank == LastRank ||
        canMeetTarget(Queue, CustomerEntry, CustomerEntry.m_Lanes[Rank].begin()->second, Now))
      return {Name, Rank};
    moveLateRequests(Queue, CustomerEntry, Rank, Now);
  }
}

// Returns whether the last requests of the customer's class all left without a start, one of them
// within the time limit of the arriving request. One has to be waiting ahead of it, so that what is
// known is renewed.
bool hasOnlyMisses(const CustomerQueue &CustomerEntry, const QueuedRequest &R, size_t Rank,
                   TimePoint Now) {
  const ClassUsage &Usage = CustomerEntry.m_Classes[classOf(R.m_Priority)];
  return CustomerEntry.m_RankCounts[Rank] > 0 && Usage.m_MissCount >= MinMissCount &&
         Now - Usage.m_LastMissAt <= R.m_ExpiresAt - Now;
}

// Returns whether a request is not expected to start before its time limit. OwnAhead: expected slot
// time of the customer's requests of the same and of more urgent ranks that go before it.
bool startsTooLate(const FairQueue &Queue, const CustomerQueue &CustomerEntry,
                   const QueuedRequest &R, size_t Rank, Duration OwnAhead, TimePoint Now) {
  Duration Limit = R.m_ExpiresAt - Now;
  Duration RankLimit = Rank == LastRank ? Limit : std::min(Limit, R.m_LatencyTargetAt - Now);
  if (expectedDrainTime(Queue, LastRank) <= RankLimit)
    return false;
  bool IsArriving = R.m_QueuedAt == Now;
  // Of the rank's work of this customer, a request that waits already is not ahead of itself.
  Duration NotAhead = IsArriving ? Duration::zero() : R.m_ExpectedSlotTime;
  StartForecast Forecast{Rank, OwnAhead, CustomerEntry.m_RankWork[Rank] - NotAhead, ShareSlack,
                         Now};
  // Customers that are ShareSlack ahead start requests in bursts that the rate of their recent
  // starts does not foretell. A burst starts the latest arrivals, since the earlier ones have
  // missed their targets, so a forecast alone does not make a refusal on arrival certain enough.
  if (IsArriving && !hasOnlyMisses(CustomerEntry, R, Rank, Now))
    return false;
  if (expectedStartDelay(Queue, R.m_Customer, CustomerEntry, Forecast) <= RankLimit)
    return false;
  if (Rank == LastRank)
    return true;
  // It will be late by the time that its rank is served, and has to wait behind all others.
  if (RankLimit >= Limit)
    return true;
  Forecast.m_Rank = LastRank;
  // Late requests of less urgent classes go after it.
  const QueueLane &Late = CustomerEntry.m_Lanes[LastRank];
  TimePoint NextClass = TimePoint{} + Duration(classOf(R.m_Priority) + 1);
  Forecast.m_OwnRankAhead = std::accumulate(
      Late.begin(), Late.lower_bound({NextClass, 0}), Duration::zero(),
      [](Duration Sum, const auto &Entry) { return Sum + Entry.second.m_ExpectedSlotTime; });
  Forecast.m_OwnAhead =
      std::accumulate(CustomerEntry.m_RankWork.begin(), CustomerEntry.m_RankWork.begin() + LastRank,
                      Forecast.m_OwnRankAhead - NotAhead);
  return expectedStartDelay(Queue, R.m_Customer, CustomerEntry, Forecast) > Limit;
}

} // namespace

Reason enqueueRequest(FairQueue &Queue, const QueuedRequest &Request,
                      std::optional<uint64_t> &ShedId, const QueueSettings &Settings) {
  ShedId.reset();
  TimePoint Now = Request.m_QueuedAt;
  auto It = Queue.m_Customers.find(Request.m_Customer);
  std::optional<CustomerQueue> NewCustomer;
  CustomerQueue &Known = It == Queue.m_Customers.end() ? NewCustomer.emplace() : It->second;
  QueuedRequest AddedRequest = Request;
  AddedRequest.m_ExpiresAt = std::min(Request.m_Deadline, Now + Settings.m_MaxWait);
  AddedRequest.m_ExpectedSlotTime = chargeFor(Queue, Known, Request);
  size_t Lane = laneFor(Queue, Known, Request);
  size_t Rank = rankIn(Lane, Request);
  if (Settings.m_RefusesLateStarts && Lane != PinnedLane) {
    decayRecentStarts(Queue.m_RecentStarts, Now);
    decayRecentStarts(Known.m_RecentStarts, Now);
    Duration OwnAhead = std::accumulate(Known.m_RankWork.begin(),
                                        Known.m_RankWork.begin() + static_cast<ptrdiff_t>(Rank) + 1,
                                        Duration::zero());
    if (Known.m_QueuedCount == 0)
      raiseVirtualTime(Queue, Known);
    if (startsTooLate(Queue, Known, AddedRequest, Rank, OwnAhead, Now))
      return Reason::QueueTooLong;
  }
  if (Known.m_QueuedCount >= Settings.m_MaxPerCustomer) {
    auto [LastLane, LastIt] = lastRequest(Known);
    if (rankIn(LastLane, LastIt->second) <= Rank)
      return Reason::QueueFull;
    ShedId = removeAt(Queue, Known, LastLane, LastIt).m_Id;
  } else if (Queue.m_QueuedCount >= Settings.m_MaxTotal) {
    ShedId = shedRequest(Queue, Request);
    if (!ShedId)
      return Reason::QueueFull;
  }
  CustomerQueue &CustomerEntry = NewCustomer ? Queue.m_Customers[Request.m_Customer] : Known;
  if (CustomerEntry.m_QueuedCount == 0)
    raiseVirtualTime(Queue, CustomerEntry);
  insertInto(Queue, CustomerEntry, Lane, std::move(AddedRequest), Queue.m_NextSequence++, Now);
  return Reason::None;
}

std::optional<QueuedRequest> startNextRequest(FairQueue &Queue, TimePoint Now, bool PinnedOnly) {
  if (Queue.m_RunningCount >= Queue.m_SlotCount || Queue.m_QueuedCount == 0)
    return std::nullopt;
  std::pair<std::string, size_t> Next{"", PinnedLane};
  if (PinnedOnly) {
    auto PinnedEntry = std::ranges::find_if(Queue.m_CustomersByVirtualTime, [&](const auto &Entry) {
      return !Queue.m_Customers.at(Entry.second).m_Lanes[PinnedLane].empty();
    });
    if (PinnedEntry == Queue.m_CustomersByVirtualTime.end())
      return std::nullopt;
    Next.first = PinnedEntry->second;
  } else {
    Next = chooseNext(Queue, Now);
  }
  const auto &[Name, Lane] = Next;
  CustomerQueue &CustomerEntry = Queue.m_Customers.at(Name);
  Duration LowestVirtualTime = PinnedOnly ? CustomerEntry.m_VirtualTime
                                          : Queue.m_CustomersByVirtualTime.begin()->first.first;
  Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, LowestVirtualTime);
  QueuedRequest TakenRequest =
      removeAt(Queue, CustomerEntry, Lane, CustomerEntry.m_Lanes[Lane].begin());
  decayRecentStarts(Queue.m_RecentStarts, Now);
  decayRecentStarts(CustomerEntry.m_RecentStarts, Now);
  chargeStart(Queue, Name, CustomerEntry, TakenRequest, rankIn(Lane, TakenRequest));
  if (Lane != PinnedLane)
    CustomerEntry.m_Classes[classOf(TakenRequest.m_Priority)].m_MissCount = 0;
  return TakenRequest;
}

void startUnqueued(FairQueue &Queue, const std::string &Customer, uint32_t Priority) {
  CustomerQueue &CustomerEntry = Queue.m_Customers[Customer];
  if (CustomerEntry.m_QueuedCount == 0)
    raiseVirtualTime(Queue, CustomerEntry);
  QueuedRequest Started;
  Started.m_Priority = Priority;
  chargeStart(Queue, Customer, CustomerEntry, Started, 0);
}

void finishRequest(FairQueue &Queue, const std::string &Customer, Duration SlotTime,
                   uint32_t Priority) {
  auto It = Queue.m_Customers.find(Customer);
  if (It == Queue.m_Customers.end())
    return;
  CustomerQueue &CustomerEntry = It->second;
  ClassUsage &Usage = CustomerEntry.m_Classes[classOf(Priority)];
  if (Usage.m_RunningCount == 0)
    return;
  // Charges of running statements are stored as one sum: the average is refunded, and the sum is
  // exact when the last statement ends.
  Duration Refund = Usage.m_AdvanceCharge / Usage.m_RunningCount;
  chargeCustomer(Queue, Customer, CustomerEntry, [&] {
    CustomerEntry.m_VirtualTime += SlotTime - Refund;
    Usage.m_AdvanceCharge -= Refund;
  });
  smoothDuration(Usage, SlotTime);
  smoothDuration(Queue.m_Classes[classOf(Priority)], SlotTime);
  --Usage.m_RunningCount;
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
    RequestLocation Location = Queue.m_RequestsByExpiry.begin()->second;
    ExpiredRequests.push_back(removeAt(Queue, Location));
    noteMiss(Queue, ExpiredRequests.back(), Now);
  }
  return ExpiredRequests;
}

std::vector<QueuedRequest> removeOvertakenRequests(FairQueue &Queue, TimePoint Now) {
  std::vector<QueuedRequest> RemovedRequests;
  decayRecentStarts(Queue.m_RecentStarts, Now);
  std::vector<std::string> Names;
  for (const auto &[OrderKey, Name] : Queue.m_CustomersByVirtualTime)
    Names.push_back(Name);
  for (const std::string &Name : Names) {
    CustomerQueue &CustomerEntry = Queue.m_Customers.at(Name);
    decayRecentStarts(CustomerEntry.m_RecentStarts, Now);
    for (size_t Class = 0; Class < LastRank; ++Class)
      moveLateRequests(Queue, CustomerEntry, Class, Now);
    for (size_t Rank = 0; Rank < RankCount; ++Rank) {
      QueueLane &Lane = CustomerEntry.m_Lanes[Rank];
      while (!Lane.empty()) {
        auto Last = std::prev(Lane.end());
        Duration OwnAhead =
            std::accumulate(CustomerEntry.m_RankWork.begin(),
                            CustomerEntry.m_RankWork.begin() + static_cast<ptrdiff_t>(Rank) + 1,
                            -Last->second.m_ExpectedSlotTime);
        if (!startsTooLate(Queue, CustomerEntry, Last->second, Rank, OwnAhead, Now))
          break;
        RemovedRequests.push_back(removeAt(Queue, CustomerEntry, Rank, Last));
        noteMiss(Queue, RemovedRequests.back(), Now);
      }
    }
  }
  return RemovedRequests;
}

std::vector<QueuedRequest>
removeMatching(FairQueue &Queue, const std::function<bool(const QueuedRequest &)> &Matches) {
  std::vector<RequestLocation> Locations;
  for (const auto &[OrderKey, Name] : Queue.m_CustomersByVirtualTime) {
    const auto &Lanes = Queue.m_Customers.at(Name).m_Lanes;
    for (size_t Lane = 0; Lane < LaneCount; ++Lane)
      for (const auto &[Key, R] : Lanes[Lane])
        if (Matches(R))
          Locations.push_back({Name, Lane, Key});
  }
  std::vector<QueuedRequest> RemovedRequests;
  RemovedRequests.reserve(Locations.size());
  for (const RequestLocation &Location : Locations)
    RemovedRequests.push_back(removeAt(Queue, Location));
  return RemovedRequests;
}

std::vector<QueuedRequest> removeRequestsOfKey(FairQueue &Queue, const std::string &KeyId) {
  return removeMatching(Queue, [&](const QueuedRequest &R) { return R.m_KeyId == KeyId; });
}

} // namespace quetzalpaddle
