// Pool of connections to one instance.
//
// A connection is busy with one statement or reserved for one transaction until the transaction
// ends. It becomes idle only after a complete answer that leaves no transaction open. In all other
// cases it is closed, because a late answer or an open transaction on a reused connection would
// reach another caller. The cost is 10 to 30 ms for a new connection.
//
// The most recently used idle connection is taken first, so that surplus connections stay idle and
// are closed. Linear search is sufficient: an instance accepts about 75 connections, of which a
// pool uses 45%.
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

constexpr Millis MinBackoff{25};
constexpr Millis MaxBackoff{1000};

bool isPinned(const PooledConnection &C) {
  return C.m_State == ConnectionState::Pinned || C.m_State == ConnectionState::PinnedBusy;
}

void removeConnection(Pool &TargetPool, uint64_t Id) {
  auto Found = TargetPool.m_Connections.find(Id);
  if (Found == TargetPool.m_Connections.end())
    return;
  if (isPinned(Found->second))
    TargetPool.m_ConnectionsByTransaction.erase(Found->second.m_Transaction);
  TargetPool.m_Connections.erase(Found);
}

void setState(PooledConnection &C, ConnectionState State, TimePoint Now) {
  C.m_State = State;
  C.m_StateSince = Now;
}

} // namespace

std::optional<uint64_t> takeConnection(Pool &TargetPool, TimePoint Now) {
  auto MostRecent = TargetPool.m_Connections.end();
  for (auto It = TargetPool.m_Connections.begin(); It != TargetPool.m_Connections.end(); ++It)
    if (It->second.m_State == ConnectionState::Idle &&
        (MostRecent == TargetPool.m_Connections.end() ||
         It->second.m_StateSince > MostRecent->second.m_StateSince))
      MostRecent = It;
  if (MostRecent == TargetPool.m_Connections.end())
    return std::nullopt;
  setState(MostRecent->second, ConnectionState::Busy, Now);
  return MostRecent->first;
}

std::vector<uint64_t> planOpens(Pool &TargetPool, uint32_t WaitingCount, TimePoint Now,
                                const PoolSettings &Settings) {
  if (Now < TargetPool.m_NextOpenAt)
    return {};
  auto CountInState = [&](ConnectionState State) {
    return static_cast<uint32_t>(
        std::ranges::count_if(TargetPool.m_Connections,
                              [&](const auto &Entry) { return Entry.second.m_State == State; }));
  };
  uint32_t OpeningCount = CountInState(ConnectionState::Opening);
  uint32_t AvailableCount = OpeningCount + CountInState(ConnectionState::Idle);
  uint32_t TotalCount = static_cast<uint32_t>(TargetPool.m_Connections.size());
  std::vector<uint64_t> Ids;
  while (AvailableCount < WaitingCount && OpeningCount < Settings.m_MaxConcurrentOpens &&
         TotalCount < TargetPool.m_MaxSize) {
    Ids.push_back(TargetPool.m_NextId++);
    TargetPool.m_Connections[Ids.back()].m_StateSince = Now;
    ++AvailableCount;
    ++OpeningCount;
    ++TotalCount;
  }
  return Ids;
}

void recordOpenSuccess(Pool &TargetPool, uint64_t Id, TimePoint Now) {
  auto Found = TargetPool.m_Connections.find(Id);
  if (Found == TargetPool.m_Connections.end() || Found->second.m_State != ConnectionState::Opening)
    return;
  setState(Found->second, ConnectionState::Idle, Now);
  TargetPool.m_FailedOpenCount = 0;
}

void recordOpenFailure(Pool &TargetPool, uint64_t Id, TimePoint Now, Random &Rng) {
  removeConnection(TargetPool, Id);
  // Connections that were opened together fail together and count as one failure.
  if (Now < TargetPool.m_NextOpenAt)
    return;
  TargetPool.m_NextOpenAt =
      Now + computeBackoffDelay(TargetPool.m_FailedOpenCount, MinBackoff, MaxBackoff, Rng);
  ++TargetPool.m_FailedOpenCount;
}

bool releaseConnection(Pool &TargetPool, uint64_t Id, bool IsClean, TimePoint Now) {
  auto Found = TargetPool.m_Connections.find(Id);
  if (Found == TargetPool.m_Connections.end())
    return false;
  if (!IsClean || TargetPool.m_Connections.size() > TargetPool.m_MaxSize) {
    removeConnection(TargetPool, Id);
    return false;
  }
  PooledConnection &C = Found->second;
  if (isPinned(C))
    TargetPool.m_ConnectionsByTransaction.erase(C.m_Transaction);
  C = {};
  setState(C, ConnectionState::Idle, Now);
  return true;
}

Reason pinConnection(Pool &TargetPool, uint64_t Id, const std::string &Transaction,
                     const std::string &Customer, const std::string &KeyId, TimePoint Now) {
  auto Found = TargetPool.m_Connections.find(Id);
  if (Found == TargetPool.m_Connections.end() || Found->second.m_State != ConnectionState::Busy)
    return Reason::Internal;
  uint32_t MaxTransactions = std::max(1U, TargetPool.m_MaxSize / 2);
  uint32_t MaxCustomerTransactions = std::max(1U, MaxTransactions / 2);
  auto IsOfCustomer = [&](const auto &Entry) {
    return isPinned(Entry.second) && Entry.second.m_Customer == Customer;
  };
  if (TargetPool.m_ConnectionsByTransaction.size() >= MaxTransactions ||
      std::ranges::count_if(TargetPool.m_Connections, IsOfCustomer) >= MaxCustomerTransactions)
    return Reason::TooManyTransactions;
  if (!TargetPool.m_ConnectionsByTransaction.emplace(Transaction, Id).second)
    return Reason::Internal;
  Found->second = {ConnectionState::PinnedBusy, Customer, KeyId, Transaction, Now, Now};
  return Reason::None;
}

std::variant<uint64_t, Reason> usePinnedConnection(Pool &TargetPool, const std::string &Transaction,
                                                   const std::string &Customer, TimePoint Now) {
  auto Found = TargetPool.m_ConnectionsByTransaction.find(Transaction);
  if (Found == TargetPool.m_ConnectionsByTransaction.end())
    return Reason::NoTransaction;
  PooledConnection &C = TargetPool.m_Connections.at(Found->second);
  if (C.m_Customer != Customer)
    return Reason::NoTransaction;
  if (C.m_State != ConnectionState::Pinned)
    return Reason::BadRequest; // a transaction runs one statement at a time
  setState(C, ConnectionState::PinnedBusy, Now);
  return Found->second;
}

void finishPinnedStatement(Pool &TargetPool, uint64_t Id, TimePoint Now) {
  auto Found = TargetPool.m_Connections.find(Id);
  if (Found != TargetPool.m_Connections.end() &&
      Found->second.m_State == ConnectionState::PinnedBusy)
    setState(Found->second, ConnectionState::Pinned, Now);
}

std::vector<uint64_t> expireConnections(Pool &TargetPool, TimePoint Now,
                                        const PoolSettings &Settings) {
  std::vector<uint64_t> Ids;
  size_t RemainingCount = TargetPool.m_Connections.size();
  for (const auto &[Id, C] : TargetPool.m_Connections) {
    // A connection with a running statement is kept until the statement ends: closing it could
    // leave the outcome of a commit unknown.
    bool IsExpired = C.m_State == ConnectionState::Pinned &&
                     (Now - C.m_StateSince >= Settings.m_TransactionIdleTimeout ||
                      Now - C.m_PinnedSince >= Settings.m_MaxTransactionAge);
    IsExpired |= C.m_State == ConnectionState::Idle &&
                 (Now - C.m_StateSince >= Settings.m_ConnectionIdleTimeout ||
                  RemainingCount > TargetPool.m_MaxSize);
    if (IsExpired) {
      Ids.push_back(Id);
      --RemainingCount;
    }
  }
  for (uint64_t Id : Ids)
    removeConnection(TargetPool, Id);
  return Ids;
}

} // namespace quetzalpaddle
