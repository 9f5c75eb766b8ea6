// Account of the bytes that a host holds for its connections, and decisions on which of them may
// hold more and which are closed. Free of I/O, threads and clock reads. See
// docs/design/byte-budget.md.
#pragma once

#include "answer.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalpaddle {

// What bytes are held for.
enum class HeldKind {
  Inbound,   // received part of a message
  Statement, // running statements with their copies
  Answer,    // answers that callers have not read yet
  Session,   // session values and prepared names
  Rows,      // answers of instances while they arrive
  Link,      // frames from and to other hosts
  Count
};
constexpr size_t HeldKindCount = static_cast<size_t>(HeldKind::Count);
std::string_view heldKindName(HeldKind Kind);

// Copies of a statement, and of an answer, that exist at a time on the way through a host.
constexpr size_t StatementCopies = 5;
constexpr size_t RowsCopies = 4;
// Memory of an entry, such as a row, in addition to its bytes.
constexpr size_t EntryOverheadBytes = 64;

// Limits in bytes and times. The defaults are those of a host whose memory is not stated.
struct ByteLimits {
  size_t m_Process = size_t(256) << 20;
  size_t m_Reserve = m_Process / 4;        // of m_Process, only for small accounts
  size_t m_Customer = m_Process / 2;       // of all connections of a customer
  size_t m_Connection = m_Process / 8 * 3; // of one connection
  size_t m_Session = m_Process / 16;       // values and prepared names of one session
  size_t m_AllSessions = m_Process / 4;    // of all sessions
  size_t m_Answer = m_Process / 8;         // rows of one answer
  size_t m_LinkOutput = m_Process / 4;     // unsent frames of one link
  size_t m_SmallAccount = size_t(16) << 10;
  size_t m_SmallSession = size_t(4) << 10; // allowed beyond m_AllSessions
  Millis m_ConnectTimeout{10'000};         // from the connection to the end of its CONNECT
  Millis m_MessageTimeout{30'000};         // from the first byte of a message to its last
  Millis m_FrameTimeout{10'000};           // the same, for a frame between hosts
  Millis m_WriteTimeout{15'000};           // for each WriteChunkBytes of an answer
  Millis m_ReliefDelay{500};               // of a pause, before others are closed for it
  Millis m_PauseTimeout{5000};             // of a pause, before its connection is closed
};
constexpr size_t WriteChunkBytes = size_t(64) << 10;

// Derives the limits from the memory that the process may use. 0: not stated.
ByteLimits deriveByteLimits(uint64_t MemoryMb);

// The bytes held for one connection, or for one request of another host.
struct ByteAccount {
  uint64_t m_Id = 0; // 0: not open
  std::array<size_t, HeldKindCount> m_Held{};
  size_t m_Total = 0;
  std::string m_Customer; // empty: not known yet
  size_t *m_CustomerTotal = nullptr;
  bool m_IsClosable = false;     // it may be closed to free memory
  TimePoint m_PausedSince{};     // zero: not paused
  TimePoint m_MessageDeadline{}; // of the message that has begun; zero: none
  TimePoint m_WriteDeadline{};   // of the part of an answer being written; zero: none
};

struct ByteBudget {
  ByteLimits m_Limits;
  size_t m_Total = 0;
  std::array<size_t, HeldKindCount> m_Held{};
  std::map<std::string, size_t> m_CustomerTotals;
  std::map<uint64_t, ByteAccount *> m_Accounts; // open ones
  uint64_t m_NextId = 1;
  TimePoint m_CheckedAt{}; // by chooseClosings()
};

void openAccount(ByteBudget &Budget, ByteAccount &Account, const std::string &Customer);
// Releases what an account holds. Does nothing if it is not open.
void closeAccount(ByteBudget &Budget, ByteAccount &Account);
// Moves an account to a customer.
void assignCustomer(ByteBudget &Budget, ByteAccount &Account, const std::string &Customer);

// Records how many bytes of a kind an account holds now.
void setHeld(ByteBudget &Budget, ByteAccount &Account, HeldKind Kind, size_t Bytes);

// Returns whether an account may hold more bytes.
bool canHold(const ByteBudget &Budget, const ByteAccount &Account, size_t MoreBytes);

// Returns whether an account may hold more bytes, and records since when it may not. While it may
// not, its connection is not read.
bool mayReadOn(ByteBudget &Budget, ByteAccount &Account, size_t MoreBytes, TimePoint Now);

// Returns whether a session may hold Bytes of values and prepared names in all.
bool canHoldSession(const ByteBudget &Budget, const ByteAccount &Account, size_t Bytes);

enum class CloseReason {
  MessageTimeout, // a message that has begun was not completed
  WriteTimeout,   // the peer does not read
  PauseTimeout,   // over its share for too long
  Memory,         // the largest holder while memory was short
};
std::string_view closeReasonName(CloseReason Reason);

// A connection to be closed. Its account has been closed already.
struct ByteClosing {
  uint64_t m_AccountId = 0;
  CloseReason m_Reason = CloseReason::Memory;
  size_t m_Bytes = 0; // held until then
  std::string m_Customer;
};

// Chooses the connections that exceed a time limit, and the largest ones while memory is short.
// Time in which a host that was frozen or starved has not checked does not count: what its peers
// sent in time may still be unread.
std::vector<ByteClosing> chooseClosings(ByteBudget &Budget, TimePoint Now);

// Returns whether the total exceeds the budget, so that chooseClosings() is due at once.
bool isOverBudget(const ByteBudget &Budget);

// --- Descriptors ---

// Returns how many callers' connections may be open. Max: descriptors of the process, 0 if not
// stated. OthersCount: descriptors open for instances, other hosts, the store and the process.
size_t callerDescriptorLimit(uint64_t Max, size_t OthersCount);

// Returns how many links of other hosts may be accepted.
size_t linkDescriptorLimit(uint64_t Max);

} // namespace quetzalpaddle
