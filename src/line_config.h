// Configuration of the statement protocol's entry hosts, decoded from the platform's store, and
// what the store and its calls look like to the product. The adapter in platform/ fills these in.
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
  ReadYourWrites,   // the same, but never commits of the own session
};

struct LineRoute {
  std::string m_Name;
  std::string m_Group;
  RouteKind m_Kind = RouteKind::Primary;
  Millis m_MaxStaleness{0};
  Millis m_Timeout{1000};       // of one statement
  Millis m_TargetLatency{1000}; // of a whole operation
  uint32_t m_Priority = 0;      // 0 = highest
  bool m_IsAuthExempt = false;  // needs no key
};

struct LineGroupConfig {
  uint32_t m_MaxConnections = 1; // that each instance accepts
  uint32_t m_SyncReplicas = 0;
};

struct LineCustomer {
  std::string m_Name;
  double m_Rate = 0;  // operations per second over all hosts
  double m_Burst = 0; // operations
};

struct LineConfig {
  uint64_t m_Version = 0;
  std::map<std::string, LineRoute> m_Routes; // by the database name that callers connect to
  std::map<std::string, LineGroupConfig> m_Groups;
  std::map<std::string, LineCustomer> m_Customers;
  std::map<std::string, std::string> m_Keys; // key -> customer
  Millis m_TransactionIdleTimeout{3000};     // an idle transaction may be ended after this time
  std::string m_Payload;                     // as stored, to pass on to other hosts
};

// An object of the platform's store.
struct StoredObjectVersion {
  std::string m_Name;
  uint64_t m_Revision = 0;
  bool m_Deleted = false;
  std::string m_Payload; // the whole object, as the store encodes it
};

struct StoreSnapshot {
  std::vector<StoredObjectVersion> m_Objects; // all of a kind, or the changes since a revision
  uint64_t m_Revision = 0;                    // of the store
};

enum class StoreFault {
  Unreachable, // nothing was sent
  NoAnswer,    // the call may have been carried out, now or later
  Refused,     // nothing was done: overloaded, rate-limited or turned away
  HistoryGone, // list again
  Conflict,    // another revision, or the object exists
  NotFound,
  Malformed, // the answer cannot be read
};

std::string_view storeFaultName(StoreFault Fault);

enum class PromotionResult {
  Accepted,
  Superseded, // a higher token was seen, or the instance does not run
  Refused,    // nothing was done
  NoAnswer,   // may be carried out later
};

// Who promotes in a group. Kept in the store; the token rises with every change of holder.
struct PromotionDuty {
  std::string m_Holder;
  uint64_t m_Token = 0;
  uint64_t m_Incarnation = 0; // of the holder's process
  uint64_t m_Revision = 0;    // of the object; 0 = it does not exist
};

// Status of an instance, by itself.
struct LineStatus {
  bool m_Primary = false;
  uint64_t m_Term = 0;
  Position m_Received;
};

} // namespace quetzalpaddle
