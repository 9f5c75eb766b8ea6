// Pool of connections to an instance (pool.cpp), and the transactions that reserve some of them.
// Part of the public header quetzalpaddle.h, which includes it.
#pragma once

#include "answer.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace quetzalpaddle {

struct PoolSettings {
  double m_ConnectionShare =
      0.45; // of the instance's limit; below half, so that two dispatchers fit
  uint32_t m_MaxConcurrentOpens = 4; // maximum number of connections being opened
  Millis m_TransactionIdleTimeout{5000};
  Millis m_MaxTransactionAge{30000};
  Millis m_OpenTimeout{1000};
  // Idle connections are closed after this time, so that a former dispatcher releases them.
  Millis m_ConnectionIdleTimeout{60000};
};

// Pinned: reserved for a transaction. PinnedBusy: a statement of the transaction is running.
enum class ConnectionState { Opening, Idle, Busy, Pinned, PinnedBusy };

struct PooledConnection {
  ConnectionState m_State = ConnectionState::Opening;
  std::string m_Customer; // of the transaction that reserves the connection
  std::string m_KeyId;
  std::string m_Transaction;
  TimePoint m_StateSince{};
  TimePoint m_PinnedSince{};
};

// Connections to one instance.
struct Pool {
  uint32_t m_MaxSize = 1; // maximum number of connections
  std::map<uint64_t, PooledConnection> m_Connections;
  std::unordered_map<std::string, uint64_t> m_ConnectionsByTransaction;
  uint64_t m_NextId = 1;
  uint32_t m_FailedOpenCount = 0; // consecutive
  TimePoint m_NextOpenAt{};       // end of the back-off after a failure
};

// Marks an idle connection as busy and returns its id, or nothing if none is idle.
std::optional<uint64_t> takeConnection(Pool &TargetPool, TimePoint Now);

// Returns the ids of the connections to open now. WaitingCount is the number of requests that wait
// for a connection. Adds the connections to the pool, in state Opening.
std::vector<uint64_t> planOpens(Pool &TargetPool, uint32_t WaitingCount, TimePoint Now,
                                const PoolSettings &Settings);

// Report the result of opening a connection. A failure starts a back-off.
void recordOpenSuccess(Pool &TargetPool, uint64_t Id, TimePoint Now);
void recordOpenFailure(Pool &TargetPool, uint64_t Id, TimePoint Now, Random &Rng);

// Returns a connection to the pool. IsClean means that no transaction is open on it and every
// answer has arrived. Returns whether the connection was kept; otherwise it was removed and the
// caller has to close it.
bool releaseConnection(Pool &TargetPool, uint64_t Id, bool IsClean, TimePoint Now);

// Reserves a busy connection for a transaction. Returns TooManyTransactions if the limit of open
// transactions, in total or of the customer, is reached, and Internal if the connection is not busy
// or the transaction is known.
Reason pinConnection(Pool &TargetPool, uint64_t Id, const std::string &Transaction,
                     const std::string &Customer, const std::string &KeyId, TimePoint Now);

// Returns the connection of a transaction and marks it as busy with the next statement. Returns
// NoTransaction if the customer has no such transaction, and BadRequest if a statement of it is
// running.
std::variant<uint64_t, Reason> usePinnedConnection(Pool &TargetPool, const std::string &Transaction,
                                                   const std::string &Customer, TimePoint Now);
// Ends a statement of a transaction; the connection stays reserved.
void finishPinnedStatement(Pool &TargetPool, uint64_t Id, TimePoint Now);

// Removes connections whose transaction is idle or open for too long, connections idle for too long
// and idle connections above the maximum pool size. Returns their ids; the caller has to close
// them.
std::vector<uint64_t> expireConnections(Pool &TargetPool, TimePoint Now,
                                        const PoolSettings &Settings);

} // namespace quetzalpaddle
