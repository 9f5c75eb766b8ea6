// Connections to one instance.
//
// A connection is busy with one statement, or pinned by one transaction until it ends; it returns
// to the idle ones only after a complete answer that leaves no transaction open. Anything else
// closes it, because a late answer or a half-open transaction on a reused connection would reach
// another caller; the price is the 10 to 30 ms of a new connection.
//
// The most recently used idle connection is taken first, so that surplus ones stay idle and expire.
// Connections are searched linearly: an instance accepts about 75, of which 45% are used here.
#include "quetzalpaddle.h"

#include <algorithm>

namespace quetzalpaddle {

namespace {

constexpr Millis FirstBackoff{25};
constexpr Millis MostBackoff{1000};

bool isPinned(const PooledConnection &C) {
  return C.m_State == ConnectionState::Pinned || C.m_State == ConnectionState::PinnedBusy;
}

void removeConnection(Pool &P, uint64_t Id) {
  auto Found = P.m_Connections.find(Id);
  if (Found == P.m_Connections.end())
    return;
  if (isPinned(Found->second))
    P.m_ConnectionsByTransaction.erase(Found->second.m_Transaction);
  P.m_Connections.erase(Found);
}

void setState(PooledConnection &C, ConnectionState State, TimePoint Now) {
  C.m_State = State;
  C.m_StateSince = Now;
}

} // namespace

std::optional<uint64_t> takeConnection(Pool &P, TimePoint Now) {
  auto Best = P.m_Connections.end();
  for (auto It = P.m_Connections.begin(); It != P.m_Connections.end(); ++It)
    if (It->second.m_State == ConnectionState::Idle &&
        (Best == P.m_Connections.end() || It->second.m_StateSince > Best->second.m_StateSince))
      Best = It;
  if (Best == P.m_Connections.end())
    return std::nullopt;
  setState(Best->second, ConnectionState::Busy, Now);
  return Best->first;
}

std::vector<uint64_t> planOpens(Pool &P, uint32_t Waiting, TimePoint Now,
                                const PoolSettings &Settings) {
  if (Now < P.m_NextOpenAt)
    return {};
  auto InState = [&](ConnectionState State) {
    return static_cast<uint32_t>(std::ranges::count_if(
        P.m_Connections, [&](const auto &Entry) { return Entry.second.m_State == State; }));
  };
  uint32_t Opening = InState(ConnectionState::Opening);
  uint32_t Coming = Opening + InState(ConnectionState::Idle);
  uint32_t Open = static_cast<uint32_t>(P.m_Connections.size());
  std::vector<uint64_t> Ids;
  while (Coming < Waiting && Opening < Settings.m_MaxConcurrentOpens && Open < P.m_MaxSize) {
    Ids.push_back(P.m_NextId++);
    P.m_Connections[Ids.back()].m_StateSince = Now;
    ++Coming;
    ++Opening;
    ++Open;
  }
  return Ids;
}

void recordOpenSuccess(Pool &P, uint64_t Id, TimePoint Now) {
  auto Found = P.m_Connections.find(Id);
  if (Found == P.m_Connections.end() || Found->second.m_State != ConnectionState::Opening)
    return;
  setState(Found->second, ConnectionState::Idle, Now);
  P.m_FailedOpenCount = 0;
}

void recordOpenFailure(Pool &P, uint64_t Id, TimePoint Now, Random &Rng) {
  removeConnection(P, Id);
  // Connections opened together fail together; that counts as one failure.
  if (Now < P.m_NextOpenAt)
    return;
  P.m_NextOpenAt = Now + computeBackoffDelay(P.m_FailedOpenCount, FirstBackoff, MostBackoff, Rng);
  ++P.m_FailedOpenCount;
}

bool releaseConnection(Pool &P, uint64_t Id, bool Clean, TimePoint Now) {
  auto Found = P.m_Connections.find(Id);
  if (Found == P.m_Connections.end())
    return false;
  if (!Clean || P.m_Connections.size() > P.m_MaxSize) {
    removeConnection(P, Id);
    return false;
  }
  PooledConnection &C = Found->second;
  if (isPinned(C))
    P.m_ConnectionsByTransaction.erase(C.m_Transaction);
  C = {};
  setState(C, ConnectionState::Idle, Now);
  return true;
}

Reason pinConnection(Pool &P, uint64_t Id, const std::string &Transaction,
                     const std::string &Customer, const std::string &KeyId, TimePoint Now) {
  auto Found = P.m_Connections.find(Id);
  if (Found == P.m_Connections.end() || Found->second.m_State != ConnectionState::Busy)
    return Reason::Internal;
  uint32_t Most = std::max(1U, P.m_MaxSize / 2);
  uint32_t MostOfCustomer = std::max(1U, Most / 2);
  auto IsOfCustomer = [&](const auto &Entry) {
    return isPinned(Entry.second) && Entry.second.m_Customer == Customer;
  };
  if (P.m_ConnectionsByTransaction.size() >= Most ||
      std::ranges::count_if(P.m_Connections, IsOfCustomer) >= MostOfCustomer)
    return Reason::TooManyTransactions;
  if (!P.m_ConnectionsByTransaction.emplace(Transaction, Id).second)
    return Reason::Internal;
  Found->second = {ConnectionState::PinnedBusy, Customer, KeyId, Transaction, Now, Now};
  return Reason::None;
}

std::variant<uint64_t, Reason> usePinnedConnection(Pool &P, const std::string &Transaction,
                                                   const std::string &Customer, TimePoint Now) {
  auto Found = P.m_ConnectionsByTransaction.find(Transaction);
  if (Found == P.m_ConnectionsByTransaction.end())
    return Reason::NoTransaction;
  PooledConnection &C = P.m_Connections.at(Found->second);
  if (C.m_Customer != Customer)
    return Reason::NoTransaction;
  if (C.m_State != ConnectionState::Pinned)
    return Reason::BadRequest; // one statement of a transaction at a time
  setState(C, ConnectionState::PinnedBusy, Now);
  return Found->second;
}

void finishPinnedStatement(Pool &P, uint64_t Id, TimePoint Now) {
  auto Found = P.m_Connections.find(Id);
  if (Found != P.m_Connections.end() && Found->second.m_State == ConnectionState::PinnedBusy)
    setState(Found->second, ConnectionState::Pinned, Now);
}

std::vector<uint64_t> expireConnections(Pool &P, TimePoint Now, const PoolSettings &Settings) {
  std::vector<uint64_t> Ids;
  size_t Kept = P.m_Connections.size();
  for (const auto &[Id, C] : P.m_Connections) {
    // A pinned connection with a statement in progress is left until the statement ends: closing
    // it now would turn a commit into an unknown outcome.
    bool Expired = C.m_State == ConnectionState::Pinned &&
                   (Now - C.m_StateSince >= Settings.m_TransactionIdleTimeout ||
                    Now - C.m_PinnedSince >= Settings.m_MaxTransactionAge);
    Expired |= C.m_State == ConnectionState::Idle &&
               (Now - C.m_StateSince >= Settings.m_ConnectionIdleTimeout || Kept > P.m_MaxSize);
    if (Expired) {
      Ids.push_back(Id);
      --Kept;
    }
  }
  for (uint64_t Id : Ids)
    removeConnection(P, Id);
  return Ids;
}

} // namespace quetzalpaddle
