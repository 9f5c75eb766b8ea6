// Rate limiting of a customer across all hosts: token buckets, admission and transfer of tokens.
//
// Correctness: let a customer have rate r, burst b and n rate slots, and let d be the validity of
// transferred tokens. Each token is deducted from the bucket of one rate slot and used at most
// once, within d after its deduction, because the validity of a transferred token starts before its
// request is sent. At any time, the level of a rate slot plus the tokens that it transferred within
// the last d do not exceed its burst b/n. Within a window of length t, the tokens used from a rate
// slot are therefore at most those transferred within d before the window, its level at the start
// and the tokens filled in during the window: b/n + r/n * t. A rate slot has one holder at a time,
// and a new holder counts the whole burst as transferred by the previous one. Lost, delayed and
// duplicate messages can only lose tokens. A change of a customer's rate takes effect on each host
// when the host receives it. A static allowance for transferred tokens, that is a burst of
// (b - r*d)/n per rate slot, would halve the burst of a customer whose burst is 0.2 s of its rate.
//
// Order of holders: holders in this host's data centre first, then by estimated level, which is the
// last known level plus the tokens filled in since. The estimate is an upper bound. Holders below
// one token, or below half the burst of a rate slot if that is less, are therefore skipped, and a
// request is refused immediately if all holders together cannot have enough tokens. After an answer
// without tokens, a holder is not asked for 2.5 ms, doubling up to 80 ms, so that a customer above
// its rate does not cause more requests between hosts than it sends.
//
// Late answers: a stalled host, on either side, says nothing about the customer's rate. If a holder
// has not answered within 10 ms, one other is asked as well. A request that has waited for the
// admission timeout is refused only if the holders have answered; it waits on while pending answers
// may admit it, at most MaxAnswerWait. A holder that does not answer is asked again after an
// interval that doubles up to a second, and meanwhile no request waits for it.
//
// Trade-off: a busy host also requests tokens for the next 20 ms of demand. This avoids most waits
// but loses the tokens that are not used within d. A host with little demand requests only what it
// needs. Holders grant whole tokens, unless the burst of a rate slot is below one token; then
// fractions from several rate slots are added up.
#include "quetzalpaddle.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds DemandTimeConstant{0.2}; // time constant of the demand estimate
constexpr Seconds PrefetchWindow{0.02};    // future demand that is requested
// A busy host requests tokens when fewer than the demand of this time are left.
constexpr Seconds PrefetchThreshold{0.005};
// A round trip between data centres takes 2 ms; this leaves half of the 20 ms admission timeout for
// another holder.
constexpr Millis HolderTimeout{10};
// Bounds of the interval between requests to a holder that does not answer.
constexpr Millis MinRetryInterval{50};
constexpr Millis MaxRetryInterval{1000};
// Pending requests for which another holder is asked as well. If more answers are late, the hosts
// are busy, and further requests would keep them so.
constexpr uint32_t MaxHedgedRequests = 1;
// Maximum time that a request waits for late answers.
constexpr Millis MaxAnswerWait{1000};
constexpr std::chrono::microseconds MinEmptyBackoff{2500};
constexpr uint32_t MaxEmptyBackoffDoublings = 5;
// Transfers within this time are merged, which bounds the length of the list. The merged tokens
// count as transferred for up to this time longer.
constexpr Millis TransferMergeWindow{5};
// Added to each request, so that rounding errors do not leave a sum just below a whole token.
constexpr double RoundingMargin = 1e-6;

bool isLeaseValid(const RateState &State, TimePoint Now) {
  return State.m_IsLeaseValid && Now < State.m_LeaseExpiresAt;
}

void deductFrom(double &Level, double &Remaining) {
  double Deducted = std::min(Level, Remaining);
  Level -= Deducted;
  Remaining -= Deducted;
}

// Fills the bucket up to its burst less the transferred tokens.
void fillUntil(Bucket &Slot, double Transferred, TimePoint Until) {
  if (Until <= Slot.m_FilledAt)
    return;
  double Added = Seconds(Until - Slot.m_FilledAt).count() * Slot.m_Rate;
  double MaxLevel = std::max(0.0, Slot.m_Burst - Transferred);
  Slot.m_Level = std::min(Slot.m_Level + Added, std::max(Slot.m_Level, MaxLevel));
  Slot.m_FilledAt = Until;
}

// Fills the bucket in steps, because its limit rises whenever transferred tokens expire. If only
// the final limit were applied, tokens filled in before the expiry could be used directly after the
// transferred ones.
void fillBucket(Bucket &Slot, TimePoint Now) {
  double Transferred = 0;
  for (const TransferredTokens &Transfer : Slot.m_Transfers)
    Transferred += Transfer.m_Tokens;
  size_t EndedCount = 0;
  for (const TransferredTokens &Transfer : Slot.m_Transfers) {
    if (Transfer.m_ExpiresAt > Now)
      break;
    fillUntil(Slot, Transferred, Transfer.m_ExpiresAt);
    Transferred -= Transfer.m_Tokens;
    ++EndedCount;
  }
  Slot.m_Transfers.erase(Slot.m_Transfers.begin(),
                         Slot.m_Transfers.begin() + static_cast<std::ptrdiff_t>(EndedCount));
  fillUntil(Slot, Transferred, Now);
}

// Deducts tokens for another host. Transfers within a short time are merged into one, which expires
// with the last of them.
void transferFrom(Bucket &Slot, double &Remaining, TimePoint Now) {
  double PreviousLevel = Slot.m_Level;
  deductFrom(Slot.m_Level, Remaining);
  double TakenTokens = PreviousLevel - Slot.m_Level;
  if (TakenTokens <= 0)
    return;
  if (Slot.m_Transfers.empty() ||
      Now - Slot.m_Transfers.back().m_FirstDeductedAt >= TransferMergeWindow ||
      Now + Slot.m_TransferHoldTime < Slot.m_Transfers.back().m_ExpiresAt)
    Slot.m_Transfers.push_back({0, Now, Now + Slot.m_TransferHoldTime});
  Slot.m_Transfers.back().m_Tokens += TakenTokens;
  Slot.m_Transfers.back().m_ExpiresAt = Now + Slot.m_TransferHoldTime;
}

// Fills this host's rate slots, removes expired batches and returns the number of usable tokens.
double countTokens(const RateState &State, CustomerRate &Limiter, TimePoint Now) {
  std::erase_if(Limiter.m_Batches, [&](const TokenBatch &Batch) {
    return Now - Batch.m_RequestedAt >= Limiter.m_SlotParameters.m_TokenValidity ||
           Batch.m_Tokens <= 0;
  });
  double Total = 0;
  for (const TokenBatch &Batch : Limiter.m_Batches)
    Total += Batch.m_Tokens;
  if (isLeaseValid(State, Now))
    for (Bucket &Slot : Limiter.m_HeldSlots) {
      fillBucket(Slot, Now);
      Total += Slot.m_Level;
    }
  return Total;
}

// Uses one token: from the oldest batch first, because batches expire, then from this host's rate
// slots.
bool useToken(const RateState &State, CustomerRate &Limiter, TimePoint Now) {
  if (countTokens(State, Limiter, Now) < 1)
    return false;
  double Remaining = 1;
  for (TokenBatch &Batch : Limiter.m_Batches)
    deductFrom(Batch.m_Tokens, Remaining);
  for (Bucket &Slot : Limiter.m_HeldSlots)
    deductFrom(Slot.m_Level, Remaining);
  return true;
}

// Returns an upper bound of the tokens that a holder has.
double estimateLevel(const CustomerRate &Limiter, const SlotHolder &Holder, TimePoint Now) {
  double MaxLevel = Limiter.m_SlotParameters.m_Burst * Holder.m_SlotCount;
  if (Holder.m_LastLevelAt == TimePoint{})
    return MaxLevel;
  Seconds Elapsed = Now - Holder.m_LastLevelAt;
  return std::min(MaxLevel, Holder.m_LastLevel + Elapsed.count() * Limiter.m_SlotParameters.m_Rate *
                                                     Holder.m_SlotCount);
}

bool isRequestPending(const SlotHolder &Holder) { return Holder.m_RequestedTokens > 0; }
bool isUnresponsive(const SlotHolder &Holder) { return Holder.m_UnansweredSince != TimePoint{}; }

// Marks holders that have not answered in time. After the validity of the requested tokens, the
// request is abandoned and the holder can be asked anew.
void markUnresponsiveHolders(CustomerRate &Limiter, TimePoint Now) {
  for (SlotHolder &Holder : Limiter.m_Holders) {
    if (!isRequestPending(Holder) || Now - Holder.m_RequestedAt < HolderTimeout)
      continue;
    // Counts from now, so that a stall of this host itself does not count.
    if (!isUnresponsive(Holder))
      Holder.m_UnansweredSince = Now;
    if (Now - Holder.m_RequestedAt >= Limiter.m_SlotParameters.m_TokenValidity)
      Holder.m_RequestedTokens = 0;
  }
}

bool shouldRequestFrom(const CustomerRate &Limiter, const SlotHolder &Holder, TimePoint Now) {
  if (isRequestPending(Holder))
    return false;
  if (isUnresponsive(Holder) &&
      Now - Holder.m_RequestedAt <
          std::clamp<Duration>(Holder.m_RequestedAt - Holder.m_UnansweredSince, MinRetryInterval,
                               MaxRetryInterval))
    return false; // the interval doubles
  if (Holder.m_EmptyAnswerCount > 0 &&
      Now - Holder.m_LastLevelAt < MinEmptyBackoff * (1U << std::min(Holder.m_EmptyAnswerCount - 1,
                                                                     MaxEmptyBackoffDoublings)))
    return false;
  return estimateLevel(Limiter, Holder, Now) >= std::min(1.0, Limiter.m_SlotParameters.m_Burst / 2);
}

// Returns the holders to request tokens from, best first.
std::vector<SlotHolder *> orderHolders(const RateState &State, CustomerRate &Limiter,
                                       TimePoint Now) {
  std::vector<SlotHolder *> Order;
  for (SlotHolder &Holder : Limiter.m_Holders)
    if (shouldRequestFrom(Limiter, Holder, Now))
      Order.push_back(&Holder);
  std::ranges::sort(Order, std::greater{}, [&](const SlotHolder *Holder) {
    return std::tuple{!isUnresponsive(*Holder), Holder->m_DataCentre == State.m_DataCentre,
                      estimateLevel(Limiter, *Holder, Now)};
  });
  return Order;
}

// Plans requests for the waiting requests and for some future demand, to as many holders as needed.
std::vector<TokenRequest> planTokenRequests(const RateState &State, const std::string &Customer,
                                            CustomerRate &Limiter, double AvailableTokens,
                                            TimePoint Now) {
  double NeededTokens = static_cast<double>(Limiter.m_WaitingRequests.size()) +
                        std::floor(Limiter.m_DemandPerSecond * PrefetchWindow.count()) -
                        AvailableTokens;
  uint32_t LateCount = 0;
  for (const SlotHolder &Holder : Limiter.m_Holders)
    if (isRequestPending(Holder) && (!isUnresponsive(Holder) || ++LateCount > MaxHedgedRequests))
      NeededTokens -=
          std::min(Holder.m_RequestedTokens, std::max(1.0, estimateLevel(Limiter, Holder, Now)));
  std::vector<TokenRequest> Requests;
  if (NeededTokens <= 0)
    return Requests;
  for (SlotHolder *Holder : orderHolders(State, Limiter, Now)) {
    if (NeededTokens <= 0)
      break;
    Holder->m_RequestedAt = Now;
    Holder->m_RequestedTokens = NeededTokens + RoundingMargin;
    Requests.push_back({Holder->m_Host, Customer, Holder->m_RequestedTokens, Now});
    NeededTokens -= estimateLevel(Limiter, *Holder, Now);
  }
  return Requests;
}

// Returns whether the available tokens and those of the holders may be enough for all waiting
// requests.
bool canAdmitWaiting(const CustomerRate &Limiter, double AvailableTokens, TimePoint Now) {
  double PossibleTokens = AvailableTokens;
  for (const SlotHolder &Holder : Limiter.m_Holders)
    if (isRequestPending(Holder) || shouldRequestFrom(Limiter, Holder, Now))
      PossibleTokens += estimateLevel(Limiter, Holder, Now);
  return PossibleTokens >= static_cast<double>(Limiter.m_WaitingRequests.size());
}

// Admits waiting requests, oldest first, as long as there are tokens.
std::vector<uint64_t> admitWaiting(const RateState &State, CustomerRate &Limiter, TimePoint Now) {
  std::vector<uint64_t> AdmittedIds;
  while (!Limiter.m_WaitingRequests.empty() && useToken(State, Limiter, Now)) {
    AdmittedIds.push_back(Limiter.m_WaitingRequests.front().m_Id);
    Limiter.m_WaitingRequests.pop_front();
  }
  return AdmittedIds;
}

// Removes the requests that have waited long enough and returns their ids. Of the others that are
// over the admission timeout, as many may wait on, oldest first, as pending answers may admit.
std::vector<uint64_t> refuseOverdue(CustomerRate &Limiter, double AvailableTokens, TimePoint Now,
                                    const RateSettings &Settings) {
  double PendingTokens = AvailableTokens;
  for (const SlotHolder &Holder : Limiter.m_Holders)
    if (isRequestPending(Holder))
      PendingTokens += estimateLevel(Limiter, Holder, Now);
  std::vector<uint64_t> RefusedIds;
  std::erase_if(Limiter.m_WaitingRequests, [&](const WaitingRequest &Request) {
    Duration WaitedTime = Now - Request.m_EnqueuedAt;
    bool IsRefused =
        WaitedTime >= Settings.m_AdmissionTimeout &&
        (PendingTokens < 1 || WaitedTime >= std::max(MaxAnswerWait, Settings.m_AdmissionTimeout));
    if (IsRefused)
      RefusedIds.push_back(Request.m_Id);
    else
      PendingTokens -= 1;
    return IsRefused;
  });
  return RefusedIds;
}

void recordDemand(CustomerRate &Limiter, TimePoint Now) {
  Seconds Elapsed = Now - Limiter.m_DemandUpdatedAt;
  if (Elapsed.count() > 0)
    Limiter.m_DemandPerSecond *= std::exp(-Elapsed / DemandTimeConstant);
  Limiter.m_DemandPerSecond += 1 / DemandTimeConstant.count();
  Limiter.m_DemandUpdatedAt = std::max(Limiter.m_DemandUpdatedAt, Now);
}

} // namespace

Bucket splitRate(const Customer &Owner, uint32_t Slots, const RateSettings &Settings) {
  Bucket Slot;
  if (Slots == 0 || !(Owner.m_Rate > 0) || !(Owner.m_Burst > 0))
    return Slot;
  // Tokens can be transferred at b/d per second. Limiting d to half of b/r allows at least twice
  // the rate.
  Seconds Validity =
      std::min<Seconds>(Settings.m_TransferValidity, Seconds(Owner.m_Burst / Owner.m_Rate / 2));
  Slot.m_TokenValidity = Slot.m_TransferHoldTime = std::chrono::duration_cast<Duration>(Validity);
  Slot.m_Rate = Owner.m_Rate / Slots;
  Slot.m_Burst = Owner.m_Burst / Slots;
  return Slot;
}

void setSlots(RateState &State, const std::string &Customer, const Bucket &SlotParameters,
              uint32_t HeldCount, const std::vector<SlotHolder> &OtherHolders, TimePoint Now) {
  CustomerRate &Limiter = State.m_Customers[Customer];
  Limiter.m_SlotParameters = SlotParameters;
  for (Bucket &Slot : Limiter.m_HeldSlots) {
    fillBucket(Slot, Now);
    Slot.m_Rate = SlotParameters.m_Rate;
    Slot.m_Burst = SlotParameters.m_Burst;
    Slot.m_TransferHoldTime = SlotParameters.m_TransferHoldTime;
    Slot.m_Level = std::min(Slot.m_Level, Slot.m_Burst);
  }
  Bucket NewSlot = SlotParameters;
  NewSlot.m_Level = 0;
  NewSlot.m_FilledAt = Now;
  NewSlot.m_Transfers = {{SlotParameters.m_Burst, Now, Now + SlotParameters.m_TransferHoldTime}};
  Limiter.m_HeldSlots.resize(HeldCount, NewSlot);
  std::vector<SlotHolder> Holders;
  for (const SlotHolder &Other : OtherHolders) {
    if (Other.m_Host == State.m_Host)
      continue;
    auto Duplicate = std::ranges::find(Holders, Other.m_Host, &SlotHolder::m_Host);
    if (Duplicate != Holders.end()) {
      Duplicate->m_SlotCount += Other.m_SlotCount;
      continue;
    }
    auto KnownHolder = std::ranges::find(Limiter.m_Holders, Other.m_Host, &SlotHolder::m_Host);
    Holders.push_back(KnownHolder == Limiter.m_Holders.end() ? Other : *KnownHolder);
    Holders.back().m_DataCentre = Other.m_DataCentre;
    Holders.back().m_SlotCount = Other.m_SlotCount;
  }
  Limiter.m_Holders = std::move(Holders);
}

AdmitResult admitRequest(RateState &State, const std::string &Customer, uint64_t RequestId,
                         TimePoint Now, const RateSettings & /*Settings*/) {
  AdmitResult Result;
  auto FoundCustomer = State.m_Customers.find(Customer);
  if (FoundCustomer == State.m_Customers.end())
    return Result;
  CustomerRate &Limiter = FoundCustomer->second;
  recordDemand(Limiter, Now);
  markUnresponsiveHolders(Limiter, Now);
  if (useToken(State, Limiter, Now)) {
    Result.m_Admission = Admission::Admitted;
    double EarlyDemand = std::floor(Limiter.m_DemandPerSecond * PrefetchThreshold.count());
    double RemainingTokens = EarlyDemand >= 1 ? countTokens(State, Limiter, Now) : 0;
    if (EarlyDemand >= 1 && RemainingTokens < EarlyDemand)
      Result.m_TokenRequests = planTokenRequests(State, Customer, Limiter, RemainingTokens, Now);
    return Result;
  }
  Limiter.m_WaitingRequests.push_back({RequestId, Now});
  double AvailableTokens = countTokens(State, Limiter, Now);
  Result.m_TokenRequests = planTokenRequests(State, Customer, Limiter, AvailableTokens, Now);
  Result.m_Admission = Admission::Waiting;
  if (!canAdmitWaiting(Limiter, AvailableTokens, Now)) {
    Limiter.m_WaitingRequests.pop_back();
    Result.m_Admission = Admission::Refused;
  }
  return Result;
}

double grantTokens(RateState &State, const std::string &Customer, double RequestedTokens,
                   TimePoint Now, const RateSettings & /*Settings*/) {
  auto FoundCustomer = State.m_Customers.find(Customer);
  if (FoundCustomer == State.m_Customers.end() || !(RequestedTokens > 0) ||
      !isLeaseValid(State, Now))
    return 0;
  CustomerRate &Limiter = FoundCustomer->second;
  double Level = 0;
  for (Bucket &Slot : Limiter.m_HeldSlots) {
    fillBucket(Slot, Now);
    Level += Slot.m_Level;
  }
  double GrantedTokens =
      std::min(RequestedTokens, Limiter.m_SlotParameters.m_Burst >= 1 ? std::floor(Level) : Level);
  double Remaining = GrantedTokens;
  for (Bucket &Slot : Limiter.m_HeldSlots)
    transferFrom(Slot, Remaining, Now);
  return GrantedTokens - Remaining;
}

AddTokensResult addTokens(RateState &State, const std::string &Customer,
                          const std::string &HolderId, double GrantedTokens, double HolderLevel,
                          TimePoint RequestedAt, TimePoint Now, const RateSettings & /*Settings*/) {
  AddTokensResult Result;
  auto FoundCustomer = State.m_Customers.find(Customer);
  if (FoundCustomer == State.m_Customers.end())
    return Result;
  CustomerRate &Limiter = FoundCustomer->second;
  markUnresponsiveHolders(Limiter, Now);
  auto Holder = std::ranges::find(Limiter.m_Holders, HolderId, &SlotHolder::m_Host);
  if (Holder == Limiter.m_Holders.end() || !isRequestPending(*Holder) ||
      RequestedAt < Holder->m_RequestedAt)
    return Result;
  if (GrantedTokens > 0)
    Limiter.m_Batches.push_back({GrantedTokens, Holder->m_RequestedAt});
  // A late answer without tokens may be a timeout reported by the caller, which says nothing about
  // the holder's level.
  bool IsAnswered =
      GrantedTokens > 0 || HolderLevel > 0 || Now - Holder->m_RequestedAt < HolderTimeout;
  Holder->m_RequestedTokens = 0;
  if (IsAnswered) {
    Holder->m_UnansweredSince = {};
    Holder->m_LastLevel = HolderLevel;
    Holder->m_LastLevelAt = Now;
    Holder->m_EmptyAnswerCount = GrantedTokens > 0 ? 0 : Holder->m_EmptyAnswerCount + 1;
  }
  Result.m_AdmittedIds = admitWaiting(State, Limiter, Now);
  if (!Limiter.m_WaitingRequests.empty())
    Result.m_TokenRequests =
        planTokenRequests(State, Customer, Limiter, countTokens(State, Limiter, Now), Now);
  return Result;
}

WaitingResult tickWaiting(RateState &State, TimePoint Now, const RateSettings &Settings) {
  WaitingResult Result;
  auto Append = [](auto &To, const auto &From) { To.insert(To.end(), From.begin(), From.end()); };
  for (auto &[Name, Limiter] : State.m_Customers) {
    if (Limiter.m_WaitingRequests.empty())
      continue;
    markUnresponsiveHolders(Limiter, Now);
    Append(Result.m_AdmittedIds, admitWaiting(State, Limiter, Now));
    if (Limiter.m_WaitingRequests.empty())
      continue;
    double AvailableTokens = countTokens(State, Limiter, Now);
    Append(Result.m_TokenRequests, planTokenRequests(State, Name, Limiter, AvailableTokens, Now));
    Append(Result.m_RefusedIds, refuseOverdue(Limiter, AvailableTokens, Now, Settings));
  }
  return Result;
}

} // namespace quetzalpaddle
