// Basic types of the decisions: times, positions, what an answer tells its caller, session tokens.
// Part of the public header quetzalpaddle.h, which includes it.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalpaddle {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;
using Random = std::mt19937_64; // always passed in

// A place in a group's log. Only positions held by a majority are given to callers, so that they
// are totally ordered across terms.
struct Position {
  uint64_t m_Term = 0;
  uint64_t m_Index = 0;
  // clang-tidy 16 applies the naming rule to a variable that the compiler generates here.
  auto operator<=>(const Position &) const = default; // NOLINT(readability-identifier-naming)
};

// What the caller may conclude about the effect of a request. Never derived from a status code.
enum class AnswerClass {
  Done,    // ran, with effect
  NotRun,  // has had no effect and never will
  Unknown, // may or may not have taken effect; ask again with the same request id
};

// Reason codes; docs/OPERATIONS.md lists them. Append only: the number is part of the protocol
// between hosts.
enum class Reason : uint32_t {
  None = 0,
  BadRequest,          // malformed request
  TooLarge,            // header or body over the limit
  NoRoute,             // unknown route
  NoKey,               // key missing
  BadKey,              // key unknown
  KeyWithdrawn,        // key was withdrawn
  RouteDenied,         // the key's customer may not use this route
  ReadOnlyRoute,       // write on a read-only route
  BadToken,            // session token forged, damaged or of another customer
  RateLimited,         // over the customer's rate and burst
  QueueFull,           // too many requests are waiting
  QueueTimeout,        // waited too long for a slot
  NoPrimary,           // no primary is known or reachable
  NoMajority,          // the primary has no majority
  NotPrimary,          // internal: retried at another instance
  ReplicaBehind,       // internal: retried at another instance
  TooOld,              // no reachable instance has data as fresh as asked for
  InstanceUnavailable, // the instance cannot be reached or refuses connections
  HostUnavailable,     // the dispatcher cannot be reached
  StatementFailed,     // the database refused the statement
  RequestIdReused,     // same request id, other body
  NoTransaction,       // unknown, finished or expired transaction
  TransactionAborted,  // the transaction was aborted
  TooManyTransactions, // limit on open transactions
  Draining,            // the host is shutting down
  Isolated,            // the host is cut off for longer than its limit
  OutcomeUnknown,      // see AnswerClass::Unknown
  RetryBudgetSpent,    // too many retries
  InstanceLeaving,     // the instance is leaving
  Overloaded,          // limit on requests in progress
  Internal,            // a fault of the host
  Count
};

// Returns the code as operators and callers see it, such as "rate_limited".
std::string_view reasonName(Reason R);

//-----------------------------------------------------------------------------
// [SECTION] Session tokens (session.cpp)
//-----------------------------------------------------------------------------

// What a session has seen. Travels with the caller, so that any host can serve the session.
struct SessionToken {
  std::string m_Customer;                      // empty on routes open to all
  std::map<std::string, Position> m_Positions; // per group: last position written or read
  bool m_IsPartial = false; // positions were left out: a group not listed is read at the primary
};

enum class TokenError { Malformed, BadSignature, OtherCustomer };

// Returns the token as base64url text, sealed with HMAC-SHA256. Holds at most 64 groups; of more,
// the rest is left out and the token is marked partial.
std::string encodeToken(const SessionToken &Token, std::string_view Secret);

// Opens a token made by encodeToken() for the same customer and secret.
std::variant<SessionToken, TokenError> decodeToken(std::string_view Text, std::string_view Customer,
                                                   std::string_view Secret);

// Raises the token's position of a group; never lowers it.
void advancePosition(SessionToken &Token, const std::string &Group, Position Seen);

} // namespace quetzalpaddle
