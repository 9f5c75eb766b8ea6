// Configuration of the hosts that speak the line protocol, as decoded from the platform's store,
// and the types of the store's objects, calls and failures. The adapter in platform/ fills them in.
#pragma once

#include "positions.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace quetzalpaddle {

enum class RouteKind {
  Primary,          // reads see every acknowledged commit
  BoundedStaleness, // reads may lack commits of the last m_MaxStaleness
  ReadYourWrites,   // as BoundedStaleness, but reads see every commit of their own session
};

struct LineRoute {
  std::string m_Name;
  std::string m_Group;
  RouteKind m_Kind = RouteKind::Primary;
  Millis m_MaxStaleness{0};
  Millis m_Timeout{1000};       // of one statement
  Millis m_TargetLatency{1000}; // of a whole operation
  uint32_t m_Priority = 0;      // 0: highest
  bool m_IsAuthExempt = false;  // callers need no key
};

struct LineGroupConfig {
  uint32_t m_MaxConnections = 1; // that each instance accepts from all hosts
  uint32_t m_SyncReplicas = 0;   // replicas that hold an acknowledged commit
  double m_ColdPerSecond = 0;    // statements that a cold instance may get; 0: no limit
};

struct LineCustomer {
  std::string m_Name;
  double m_Rate = 0;  // operations per second over all hosts
  double m_Burst = 0; // operations
};

struct LineConfig {
  uint64_t m_Version = 0;
  std::map<std::string, LineRoute> m_Routes;       // by the database name that callers connect to
  std::map<std::string, LineGroupConfig> m_Groups; // by name
  std::map<std::string, LineCustomer> m_Customers; // by name
  std::map<std::string, std::string> m_Keys;       // key -> customer
  Millis m_TransactionIdleTimeout{3000};     // an idle transaction may be ended after this time
  std::string m_Payload;                     // the stored object, forwarded to other hosts
  std::vector<std::string> m_MalformedParts; // routes, groups and customers left out, and why
};

// An object of the platform's store.
struct StoredObjectVersion {
  std::string m_Name;
  uint64_t m_Revision = 0;
  bool m_IsDeleted = false;
  std::string m_Payload; // the whole object, as the store encodes it
};

// Answer to listing or watching the objects of one kind.
struct StoreSnapshot {
  std::vector<StoredObjectVersion> m_Objects;  // all of one kind, or the changes since a revision
  uint64_t m_Revision = 0;                     // of the store
  std::vector<std::string> m_MalformedEntries; // entries left out, and why
};

// Failure of a store call.
enum class StoreFault {
  Unreachable, // no connection; nothing was sent
  NoAnswer,    // the call may have been carried out or may still be
  Refused,     // nothing was done: overloaded, rate-limited or rejected
  HistoryGone, // the revision to watch from is no longer kept; list the objects to get a new one
  Conflict,    // the object has another revision, or exists already
  NotFound,
  Malformed, // the answer cannot be decoded
};

// Returns the name for logs, such as "no_answer".
std::string_view storeFaultName(StoreFault Fault);

// Result of ordering a promotion.
enum class PromotionResult {
  Accepted,
  Superseded, // a higher token was seen, or the instance does not run
  Refused,    // nothing was done
  NoAnswer,   // the order may be carried out later
};

// Customer of callers whose key is unknown, on routes that need none.
constexpr const char *UnknownCustomer = "-";

// The exclusive right to promote in a group, kept in the store. The token fences off earlier
// holders and rises each time a host takes the duty.
struct PromotionDuty {
  std::string m_Holder;
  uint64_t m_Token = 0;
  uint64_t m_Incarnation = 0; // of the holder's process
  uint64_t m_Revision = 0;    // of the stored object; 0: there is none
  // Instances named by orders that may still be carried out. Recorded before the first order is
  // sent, so that the next holder knows of orders that it did not send.
  std::set<std::string> m_OpenOrders;
  // Their addresses (IP:port), for a holder that has never seen them listed.
  std::map<std::string, std::string> m_OrderAddresses;
  // The record of the group (takeover.h): its primary, and all instances that may hold an
  // acknowledged commit, with their addresses.
  std::string m_Primary; // empty: not recorded yet
  std::map<std::string, std::string> m_Members;
};

// Status that an instance reports.
struct LineStatus {
  bool m_IsPrimary = false;
  uint64_t m_Term = 0;
  Position m_ReceivedPosition;
  uint64_t m_SuspendTerm = 0; // it receives nothing on behalf of lower terms; 0: it receives
};

} // namespace quetzalpaddle
