// Account of the bytes that a host holds for its connections.
#include "byte_budget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace quetzalpaddle {

namespace {

// The share of the stated memory that accounts may hold. The rest is for the program, for 10 KB of
// each session and for freed memory that malloc keeps.
constexpr size_t MemoryParts = 5;
constexpr size_t BudgetParts = 2;
// Unsent output of a link; a frame has at most 8 MiB.
constexpr size_t MaxLinkOutputBytes = size_t(12) << 20;
// Sessions of a host, whatever its descriptors. Each uses about 10 KB.
constexpr size_t MaxSessions = 5000;
constexpr size_t MinDescriptorReserve = 64;
constexpr size_t MaxDescriptorReserve = 1024;
// Descriptors between those in use by others and the callers' limit, for new connections.
constexpr size_t DescriptorSlack = 16;

// Checks are due every 0.2 s. A longer pause than this means that the host did not run.
constexpr Millis MaxCheckInterval{1000};

size_t descriptorReserve(uint64_t Max) {
  return std::clamp<size_t>(Max / 4, MinDescriptorReserve, MaxDescriptorReserve);
}

size_t customerTotal(const ByteAccount &Account) {
  return Account.m_CustomerTotal ? *Account.m_CustomerTotal : 0;
}

bool isShortOfMemory(const ByteBudget &Budget, size_t MoreBytes) {
  const ByteLimits &Limits = Budget.m_Limits;
  return Budget.m_Total + MoreBytes > Limits.m_Process - Limits.m_Reserve;
}

bool isPast(TimePoint Deadline, TimePoint Now) {
  return Deadline != TimePoint{} && Deadline <= Now;
}

ByteClosing close(ByteBudget &Budget, ByteAccount &Account, CloseReason Reason) {
  ByteClosing Closing{Account.m_Id, Reason, Account.m_Total, Account.m_Customer};
  closeAccount(Budget, Account);
  return Closing;
}

// Returns the largest account that may be closed, of a customer if one is named; null if there is
// none. Small ones free too little.
ByteAccount *findLargest(const ByteBudget &Budget, const std::string *Customer) {
  ByteAccount *Largest = nullptr;
  for (const auto &[Id, Account] : Budget.m_Accounts)
    if (Account->m_IsClosable && Account->m_Total > Budget.m_Limits.m_SmallAccount / 2 &&
        (!Customer || Account->m_Customer == *Customer) &&
        (!Largest || Account->m_Total > Largest->m_Total))
      Largest = Account;
  return Largest;
}

// Closes the largest accounts until Total, which counts them, is at most Target.
void closeLargest(ByteBudget &Budget, const std::string *Customer, const size_t &Total,
                  size_t Target, std::vector<ByteClosing> &Closings) {
  while (Total > Target) {
    ByteAccount *Largest = findLargest(Budget, Customer);
    if (!Largest)
      return;
    Closings.push_back(close(Budget, *Largest, CloseReason::Memory));
  }
}

void extendTimes(ByteBudget &Budget, Duration Extension) {
  for (auto &[Id, Account] : Budget.m_Accounts)
    for (TimePoint *Time :
         {&Account->m_PausedSince, &Account->m_MessageDeadline, &Account->m_WriteDeadline})
      if (*Time != TimePoint{})
        *Time += Extension;
}

std::optional<CloseReason> findTimeout(const ByteBudget &Budget, const ByteAccount &Account,
                                       TimePoint Now) {
  if (isPast(Account.m_MessageDeadline, Now))
    return CloseReason::MessageTimeout;
  if (isPast(Account.m_WriteDeadline, Now))
    return CloseReason::WriteTimeout;
  if (Account.m_PausedSince != TimePoint{} &&
      Now - Account.m_PausedSince >= Budget.m_Limits.m_PauseTimeout)
    return CloseReason::PauseTimeout;
  return std::nullopt;
}

} // namespace

std::string_view heldKindName(HeldKind Kind) {
  constexpr std::array<std::string_view, HeldKindCount> Names = {"inbound", "statement", "answer",
                                                                 "session", "rows",      "link"};
  return Names[static_cast<size_t>(Kind)];
}

std::string_view closeReasonName(CloseReason Reason) {
  switch (Reason) {
  case CloseReason::MessageTimeout:
    return "message_timeout";
  case CloseReason::WriteTimeout:
    return "write_timeout";
  case CloseReason::PauseTimeout:
    return "pause_timeout";
  case CloseReason::Memory:
    return "memory";
  }
  return "memory";
}

ByteLimits deriveByteLimits(uint64_t MemoryMb) {
  ByteLimits Limits;
  if (MemoryMb > 0)
    Limits.m_Process = (MemoryMb << 20) / MemoryParts * BudgetParts;
  Limits.m_Reserve = Limits.m_Process / 4;
  Limits.m_Customer = Limits.m_Process / 2;
  Limits.m_Connection = Limits.m_Process / 8 * 3;
  Limits.m_Session = Limits.m_Process / 16;
  Limits.m_AllSessions = Limits.m_Process / 4;
  Limits.m_Answer = Limits.m_Process / 8;
  Limits.m_LinkOutput = std::min(Limits.m_Process / 4, MaxLinkOutputBytes);
  return Limits;
}

void openAccount(ByteBudget &Budget, ByteAccount &Account, const std::string &Customer) {
  Account = {};
  Account.m_Id = Budget.m_NextId++;
  Account.m_Customer = Customer;
  Account.m_CustomerTotal = &Budget.m_CustomerTotals[Customer];
  Budget.m_Accounts[Account.m_Id] = &Account;
}

void closeAccount(ByteBudget &Budget, ByteAccount &Account) {
  if (Account.m_Id == 0)
    return;
  for (size_t Kind = 0; Kind < HeldKindCount; ++Kind)
    setHeld(Budget, Account, static_cast<HeldKind>(Kind), 0);
  Budget.m_Accounts.erase(Account.m_Id);
  Account.m_Id = 0;
}

void assignCustomer(ByteBudget &Budget, ByteAccount &Account, const std::string &Customer) {
  if (Account.m_Id == 0 || Account.m_Customer == Customer)
    return;
  *Account.m_CustomerTotal -= Account.m_Total;
  Account.m_Customer = Customer;
  Account.m_CustomerTotal = &Budget.m_CustomerTotals[Customer];
  *Account.m_CustomerTotal += Account.m_Total;
}

void setHeld(ByteBudget &Budget, ByteAccount &Account, HeldKind Kind, size_t Bytes) {
  if (Account.m_Id == 0)
    return;
  size_t &Held = Account.m_Held[static_cast<size_t>(Kind)];
  for (size_t *Sum : {&Account.m_Total, Account.m_CustomerTotal, &Budget.m_Total,
                      &Budget.m_Held[static_cast<size_t>(Kind)]})
    *Sum = *Sum - Held + Bytes;
  Held = Bytes;
}

bool canHold(const ByteBudget &Budget, const ByteAccount &Account, size_t MoreBytes) {
  const ByteLimits &Limits = Budget.m_Limits;
  if (Account.m_Total + MoreBytes <= Limits.m_SmallAccount)
    return Budget.m_Total + MoreBytes <= Limits.m_Process;
  return Account.m_Total + MoreBytes <= Limits.m_Connection &&
         customerTotal(Account) + MoreBytes <= Limits.m_Customer &&
         !isShortOfMemory(Budget, MoreBytes);
}

bool mayReadOn(ByteBudget &Budget, ByteAccount &Account, size_t MoreBytes, TimePoint Now) {
  bool MayRead = Account.m_Id == 0 || canHold(Budget, Account, MoreBytes);
  if (MayRead)
    Account.m_PausedSince = {};
  else if (Account.m_PausedSince == TimePoint{})
    Account.m_PausedSince = Now;
  return MayRead;
}

bool canHoldSession(const ByteBudget &Budget, const ByteAccount &Account, size_t Bytes) {
  const ByteLimits &Limits = Budget.m_Limits;
  constexpr auto Kind = static_cast<size_t>(HeldKind::Session);
  if (Bytes <= std::max(Limits.m_SmallSession, Account.m_Held[Kind]))
    return true;
  return Bytes <= Limits.m_Session &&
         Budget.m_Held[Kind] - Account.m_Held[Kind] + Bytes <= Limits.m_AllSessions;
}

std::vector<ByteClosing> chooseClosings(ByteBudget &Budget, TimePoint Now) {
  const ByteLimits &Limits = Budget.m_Limits;
  TimePoint LastCheckAt = std::exchange(Budget.m_CheckedAt, Now);
  if (LastCheckAt != TimePoint{} && Now - LastCheckAt > MaxCheckInterval)
    extendTimes(Budget, Now - LastCheckAt);
  std::vector<ByteClosing> Closings;
  std::set<std::string> ShortCustomers;
  bool IsPaused = false;
  for (auto It = Budget.m_Accounts.begin(); It != Budget.m_Accounts.end();) {
    ByteAccount &Account = *(It++)->second;
    if (auto Timeout = findTimeout(Budget, Account, Now)) {
      Closings.push_back(close(Budget, Account, *Timeout));
    } else if (Account.m_PausedSince != TimePoint{} &&
               Now - Account.m_PausedSince >= Limits.m_ReliefDelay) {
      IsPaused = true;
      ShortCustomers.insert(Account.m_Customer);
    }
  }
  size_t LargeTotal = Limits.m_Process - Limits.m_Reserve;
  for (const std::string &Customer : ShortCustomers)
    if (Budget.m_CustomerTotals[Customer] > Limits.m_Customer / 8 * 7)
      closeLargest(Budget, &Customer, Budget.m_CustomerTotals[Customer], Limits.m_Customer / 4 * 3,
                   Closings);
  if (isOverBudget(Budget) || (IsPaused && Budget.m_Total > LargeTotal / 8 * 7))
    closeLargest(Budget, nullptr, Budget.m_Total, LargeTotal / 4 * 3, Closings);
  return Closings;
}

bool isOverBudget(const ByteBudget &Budget) { return Budget.m_Total > Budget.m_Limits.m_Process; }

size_t callerDescriptorLimit(uint64_t Max, size_t OthersCount) {
  if (Max == 0)
    return MaxSessions;
  size_t Kept = std::max(descriptorReserve(Max), OthersCount + DescriptorSlack);
  return Max > Kept ? std::min<size_t>(Max - Kept, MaxSessions) : 0;
}

size_t linkDescriptorLimit(uint64_t Max) {
  return Max == 0 ? std::numeric_limits<size_t>::max() : descriptorReserve(Max) / 2;
}

} // namespace quetzalpaddle
