// Rate and burst of a customer over all hosts: token buckets, admission, transfer of tokens.
//
// Why the bound holds: a token is deducted from one slot's bucket and used at most once, at most d
// after its deduction (a transferred token's validity counts from before its request was sent). At
// any time, a slot's level and the tokens that it transferred within the last d are together at
// most its burst b/n. So of a slot's tokens, a window of length t sees at most those transferred
// within d before it, the level at its start and what is filled in since: b/n + r/n * t. Each slot
// has one holder at a time; a new holder counts the burst as transferred by the last one. Loss,
// delay and duplication of messages only lose tokens. A change of the customer's own rate takes
// effect on each host as it learns of it. With the static allowance used before, a burst of
// (b - r*d)/n for each slot, a customer had half of a burst of 0.2 s of its rate.
//
// Which holder is asked: this host's data centre first, then by the level that the holder can have
// by now: the last known one plus what its slots have issued since. That is an upper bound, so a
// holder below one token need not be asked, and a request is refused at once when all holders
// together cannot have enough. A holder that gives nothing is left alone for 2.5 ms, doubled up to
// 80 ms, so that a customer over its rate does not cause more requests between hosts than it sends.
// A holder that does not answer is tried once a second and no request waits for it.
//
// Trade-off: a busy host asks for the demand of the next 20 ms as well, which saves most waits and
// loses the tokens that it does not use within d. A slow host asks for what it needs only. Whole
// tokens are kept together, unless the burst of a slot is below one, in which case fractions of
// several slots are added up.
#include "quetzalpaddle.h"

#include <algorithm>
#include <cmath>

namespace quetzalpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds DemandWindow{0.2}; // time constant of the smoothed demand
constexpr Seconds AskAhead{0.02};    // demand that is asked for in advance
constexpr Seconds AskEarly{0.005};   // demand below which a busy host asks before it has to wait
// A round trip between data centres takes 2 ms at the present sizes; most of the 20 ms wait is left
// to ask another holder.
constexpr Millis SilentAfter{10};
constexpr Millis SilentRetry{1000};
constexpr std::chrono::microseconds FirstEmptyPause{2500};
constexpr uint32_t MostEmptyDoublings = 5;
// Bounds the length of the list of transfers at a holder; the tokens count as transferred for up to
// this much longer.
constexpr Millis TransferStep{5};
// Added to a fractional request so that rounding does not leave a sum just below a whole token.
constexpr double Rounding = 1e-6;

bool isLeaseValid(const RateState &State, TimePoint Now) {
  return State.m_IsLeaseValid && Now < State.m_LeaseExpiresAt;
}

void deductFrom(double &Level, double &Rest) {
  double Part = std::min(Level, Rest);
  Level -= Part;
  Rest -= Part;
}

// Fills up to the burst less what is transferred at the time.
void fillUntil(Bucket &B, double Transferred, TimePoint Until) {
  if (Until <= B.m_FilledAt)
    return;
  double Added = Seconds(Until - B.m_FilledAt).count() * B.m_Rate;
  double Most = std::max(0.0, B.m_Burst - Transferred);
  B.m_Level = std::min(B.m_Level + Added, std::max(B.m_Level, Most));
  B.m_FilledAt = Until;
}

// Fills in steps, since the limit rises whenever transferred tokens end. With the limit of the end
// alone, tokens that were filled in before could follow transferred ones at once.
void fillBucket(Bucket &B, TimePoint Now) {
  double Transferred = 0;
  for (const TransferredTokens &T : B.m_Transfers)
    Transferred += T.m_Tokens;
  size_t Ended = 0;
  for (const TransferredTokens &T : B.m_Transfers) {
    if (T.m_ExpiresAt > Now)
      break;
    fillUntil(B, Transferred, T.m_ExpiresAt);
    Transferred -= T.m_Tokens;
    ++Ended;
  }
  B.m_Transfers.erase(B.m_Transfers.begin(),
                      B.m_Transfers.begin() + static_cast<std::ptrdiff_t>(Ended));
  fillUntil(B, Transferred, Now);
}

// Takes tokens for another host. Transfers of a short time are kept as one, which ends with the
// last of them.
void transferFrom(Bucket &B, double &Rest, TimePoint Now) {
  double Before = B.m_Level;
  deductFrom(B.m_Level, Rest);
  double Taken = Before - B.m_Level;
  if (Taken <= 0)
    return;
  if (B.m_Transfers.empty() || Now - B.m_Transfers.back().m_FirstDeductedAt >= TransferStep ||
      Now + B.m_TransferHoldTime < B.m_Transfers.back().m_ExpiresAt)
    B.m_Transfers.push_back({0, Now, Now + B.m_TransferHoldTime});
  B.m_Transfers.back().m_Tokens += Taken;
  B.m_Transfers.back().m_ExpiresAt = Now + B.m_TransferHoldTime;
}

// Fills this host's slots, drops old batches and returns the tokens that may be used now.
double countTokens(const RateState &State, CustomerRate &C, TimePoint Now) {
  std::erase_if(C.m_Batches, [&](const TokenBatch &B) {
    return Now - B.m_RequestedAt >= C.m_SlotParameters.m_TokenValidity || B.m_Tokens <= 0;
  });
  double Sum = 0;
  for (const TokenBatch &B : C.m_Batches)
    Sum += B.m_Tokens;
  if (isLeaseValid(State, Now))
    for (Bucket &B : C.m_HeldSlots) {
      fillBucket(B, Now);
      Sum += B.m_Level;
    }
  return Sum;
}

// Uses one token: of the oldest batch first, since batches end, then of this host's slots.
bool useToken(const RateState &State, CustomerRate &C, TimePoint Now) {
  if (countTokens(State, C, Now) < 1)
    return false;
  double Rest = 1;
  for (TokenBatch &B : C.m_Batches)
    deductFrom(B.m_Tokens, Rest);
  for (Bucket &B : C.m_HeldSlots)
    deductFrom(B.m_Level, Rest);
  return true;
}

// The most tokens that a holder can have.
double estimateLevel(const CustomerRate &C, const SlotHolder &H, TimePoint Now) {
  double Most = C.m_SlotParameters.m_Burst * H.m_SlotCount;
  if (H.m_LastLevelAt == TimePoint{})
    return Most;
  Seconds Passed = Now - H.m_LastLevelAt;
  return std::min(Most, H.m_LastLevel + Passed.count() * C.m_SlotParameters.m_Rate * H.m_SlotCount);
}

bool isAsked(const SlotHolder &H) { return H.m_RequestedAt != TimePoint{}; }
bool isSilent(const SlotHolder &H) { return H.m_TimedOutAt != TimePoint{}; }

// Marks holders that have not answered in time. After the validity their answer would be of no use
// and they may be asked again.
void noteSilence(CustomerRate &C, TimePoint Now) {
  for (SlotHolder &H : C.m_Holders) {
    if (!isAsked(H) || Now - H.m_RequestedAt < SilentAfter)
      continue;
    if (!isSilent(H))
      H.m_TimedOutAt = Now;
    if (Now - H.m_RequestedAt >= C.m_SlotParameters.m_TokenValidity)
      H.m_RequestedAt = {};
  }
}

bool isWorthAsking(const CustomerRate &C, const SlotHolder &H, TimePoint Now) {
  if (isAsked(H))
    return false;
  if (isSilent(H))
    return Now - H.m_TimedOutAt >= SilentRetry;
  if (H.m_EmptyAnswerCount > 0 &&
      Now - H.m_LastLevelAt <
          FirstEmptyPause * (1U << std::min(H.m_EmptyAnswerCount - 1, MostEmptyDoublings)))
    return false;
  return estimateLevel(C, H, Now) >= std::min(1.0, C.m_SlotParameters.m_Burst / 2);
}

// The holders that are worth asking, best first.
std::vector<SlotHolder *> orderHolders(const RateState &State, CustomerRate &C, TimePoint Now) {
  std::vector<SlotHolder *> Order;
  for (SlotHolder &H : C.m_Holders)
    if (isWorthAsking(C, H, Now))
      Order.push_back(&H);
  std::ranges::sort(Order, std::greater{}, [&](const SlotHolder *H) {
    return std::tuple{!isSilent(*H), H->m_DataCentre == State.m_DataCentre,
                      estimateLevel(C, *H, Now)};
  });
  return Order;
}

// Asks for the waiting requests and for some demand in advance, at as many holders as it takes.
std::vector<TokenRequest> planAsks(const RateState &State, const std::string &Customer,
                                   CustomerRate &C, double Available, TimePoint Now) {
  double Need = static_cast<double>(C.m_Waiting.size()) +
                std::floor(C.m_DemandPerSecond * AskAhead.count()) - Available;
  for (const SlotHolder &H : C.m_Holders)
    if (isAsked(H) && !isSilent(H))
      Need -= std::min(H.m_RequestedTokens, std::max(1.0, estimateLevel(C, H, Now)));
  std::vector<TokenRequest> Asks;
  if (Need <= 0)
    return Asks;
  for (SlotHolder *H : orderHolders(State, C, Now)) {
    if (Need <= 0)
      break;
    H->m_RequestedAt = Now;
    H->m_RequestedTokens = Need + Rounding;
    Asks.push_back({H->m_Host, Customer, H->m_RequestedTokens, Now});
    if (isSilent(*H))
      H->m_TimedOutAt = Now; // the next try is a second from now
    else
      Need -= estimateLevel(C, *H, Now);
  }
  return Asks;
}

// Whether the holders that were asked, or can be asked after an answer, may have enough tokens for
// every waiting request.
bool hasHope(const CustomerRate &C, double Available, TimePoint Now) {
  double Hope = Available;
  for (const SlotHolder &H : C.m_Holders)
    if (!isSilent(H) && (isAsked(H) || isWorthAsking(C, H, Now)))
      Hope += estimateLevel(C, H, Now);
  return Hope >= static_cast<double>(C.m_Waiting.size());
}

void noteDemand(CustomerRate &C, TimePoint Now) {
  Seconds Passed = Now - C.m_DemandUpdatedAt;
  if (Passed.count() > 0)
    C.m_DemandPerSecond *= std::exp(-Passed / DemandWindow);
  C.m_DemandPerSecond += 1 / DemandWindow.count();
  C.m_DemandUpdatedAt = std::max(C.m_DemandUpdatedAt, Now);
}

} // namespace

Bucket splitRate(const Customer &C, uint32_t Slots, const RateSettings &Settings) {
  Bucket B;
  if (Slots == 0 || !(C.m_Rate > 0) || !(C.m_Burst > 0))
    return B;
  // Tokens can be transferred at b/d per second. With half of the burst's time, that is twice the
  // rate.
  Seconds Validity =
      std::min<Seconds>(Settings.m_TransferValidity, Seconds(C.m_Burst / C.m_Rate / 2));
  B.m_TokenValidity = B.m_TransferHoldTime = std::chrono::duration_cast<Duration>(Validity);
  B.m_Rate = C.m_Rate / Slots;
  B.m_Burst = C.m_Burst / Slots;
  return B;
}

void setSlots(RateState &State, const std::string &Customer, const Bucket &Slot, uint32_t Held,
              const std::vector<SlotHolder> &Others, TimePoint Now) {
  CustomerRate &C = State.m_Customers[Customer];
  C.m_SlotParameters = Slot;
  for (Bucket &B : C.m_HeldSlots) {
    fillBucket(B, Now);
    B.m_Rate = Slot.m_Rate;
    B.m_Burst = Slot.m_Burst;
    B.m_TransferHoldTime = Slot.m_TransferHoldTime;
    B.m_Level = std::min(B.m_Level, B.m_Burst);
  }
  Bucket Empty = Slot;
  Empty.m_Level = 0;
  Empty.m_FilledAt = Now;
  Empty.m_Transfers = {{Slot.m_Burst, Now, Now + Slot.m_TransferHoldTime}};
  C.m_HeldSlots.resize(Held, Empty);
  std::vector<SlotHolder> Holders;
  for (const SlotHolder &Other : Others) {
    if (Other.m_Host == State.m_Host)
      continue;
    auto Same = std::ranges::find(Holders, Other.m_Host, &SlotHolder::m_Host);
    if (Same != Holders.end()) {
      Same->m_SlotCount += Other.m_SlotCount;
      continue;
    }
    auto Known = std::ranges::find(C.m_Holders, Other.m_Host, &SlotHolder::m_Host);
    Holders.push_back(Known == C.m_Holders.end() ? Other : *Known);
    Holders.back().m_DataCentre = Other.m_DataCentre;
    Holders.back().m_SlotCount = Other.m_SlotCount;
  }
  C.m_Holders = std::move(Holders);
}

AdmitResult admitRequest(RateState &State, const std::string &Customer, uint64_t RequestId,
                         TimePoint Now, const RateSettings & /*Settings*/) {
  AdmitResult Result;
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return Result;
  CustomerRate &C = Found->second;
  noteDemand(C, Now);
  noteSilence(C, Now);
  if (useToken(State, C, Now)) {
    Result.m_Admission = Admission::Admitted;
    double Early = std::floor(C.m_DemandPerSecond * AskEarly.count());
    double Left = Early >= 1 ? countTokens(State, C, Now) : 0;
    if (Early >= 1 && Left < Early)
      Result.m_TokenRequests = planAsks(State, Customer, C, Left, Now);
    return Result;
  }
  C.m_Waiting.push_back({RequestId, Now});
  double Available = countTokens(State, C, Now);
  Result.m_TokenRequests = planAsks(State, Customer, C, Available, Now);
  Result.m_Admission = Admission::Waiting;
  if (!hasHope(C, Available, Now)) {
    C.m_Waiting.pop_back();
    Result.m_Admission = Admission::Refused;
  }
  return Result;
}

double grantTokens(RateState &State, const std::string &Customer, double Wanted, TimePoint Now,
                   const RateSettings & /*Settings*/) {
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end() || !(Wanted > 0) || !isLeaseValid(State, Now))
    return 0;
  CustomerRate &C = Found->second;
  double Level = 0;
  for (Bucket &B : C.m_HeldSlots) {
    fillBucket(B, Now);
    Level += B.m_Level;
  }
  double Granted = std::min(Wanted, C.m_SlotParameters.m_Burst >= 1 ? std::floor(Level) : Level);
  double Rest = Granted;
  for (Bucket &B : C.m_HeldSlots)
    transferFrom(B, Rest, Now);
  return Granted - Rest;
}

AddTokensResult addTokens(RateState &State, const std::string &Customer, const std::string &Holder,
                          double Granted, double HolderLevel, TimePoint AskedAt, TimePoint Now,
                          const RateSettings & /*Settings*/) {
  AddTokensResult Result;
  auto Found = State.m_Customers.find(Customer);
  if (Found == State.m_Customers.end())
    return Result;
  CustomerRate &C = Found->second;
  noteSilence(C, Now);
  auto H = std::ranges::find(C.m_Holders, Holder, &SlotHolder::m_Host);
  if (H == C.m_Holders.end() || !isAsked(*H) || AskedAt < H->m_RequestedAt)
    return Result;
  if (Granted > 0)
    C.m_Batches.push_back({Granted, H->m_RequestedAt});
  // A late answer without tokens may be the caller's time limit.
  if (Granted > 0 || HolderLevel > 0 || Now - H->m_RequestedAt < SilentAfter)
    H->m_TimedOutAt = {};
  H->m_RequestedAt = {};
  H->m_RequestedTokens = 0;
  H->m_LastLevel = HolderLevel;
  H->m_LastLevelAt = Now;
  H->m_EmptyAnswerCount = Granted > 0 ? 0 : H->m_EmptyAnswerCount + 1;
  while (!C.m_Waiting.empty() && useToken(State, C, Now)) {
    Result.m_Admitted.push_back(C.m_Waiting.front().m_Id);
    C.m_Waiting.pop_front();
  }
  if (!C.m_Waiting.empty())
    Result.m_TokenRequests = planAsks(State, Customer, C, countTokens(State, C, Now), Now);
  return Result;
}

std::vector<uint64_t> expireWaiting(RateState &State, TimePoint Now, const RateSettings &Settings) {
  std::vector<uint64_t> Expired;
  for (auto &[Name, C] : State.m_Customers) {
    if (C.m_Waiting.empty())
      continue;
    noteSilence(C, Now);
    while (!C.m_Waiting.empty() &&
           Now - C.m_Waiting.front().m_EnqueuedAt >= Settings.m_AdmissionTimeout) {
      Expired.push_back(C.m_Waiting.front().m_Id);
      C.m_Waiting.pop_front();
    }
  }
  return Expired;
}

} // namespace quetzalpaddle
