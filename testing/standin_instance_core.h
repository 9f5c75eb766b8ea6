// Internals of the stand-in of a database instance, shared by its files. All processing runs as
// tasks on one thread, so that freezing that thread stops everything but the Standin service.
//
// Index of this file:
// [SECTION] Log and rows (standin_instance_log.cpp)
// [SECTION] State
// [SECTION] Connections (standin_instance_frames.cpp)
// [SECTION] Replication and terms (standin_instance_replication.cpp)
#pragma once

#include "instance.grpc.pb.h"
#include "quetzalpaddle.h"
#include "standin_instance.h"

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace quetzalpaddle::instance_standin {

using instance::Code;
using Task = std::function<void()>;

//-----------------------------------------------------------------------------
// [SECTION] Log and rows (standin_instance_log.cpp)
//-----------------------------------------------------------------------------

using RowKey = std::pair<std::string, std::string>; // table, key
using Value = std::optional<std::string>;           // empty: deleted

struct RowVersion {
  uint64_t m_Index = 0; // of the log entry that wrote it; 0: never written
  Value m_Value;
};

struct RequestEvent {
  uint64_t m_Index = 0;
  uint32_t m_Attempt = 0;
  bool m_IsRuledOut = false;
};

// The log and what follows from it. Rows keep the versions that readers may still see, so that
// entries can be held without being shown, and be cut off.
struct LogStore {
  std::deque<instance::LogEntry> m_Entries; // the entry of index 1 comes first
  std::map<RowKey, std::vector<RowVersion>> m_Rows;
  std::map<std::pair<std::string, std::string>, std::vector<RequestEvent>> m_Requests;
};

uint64_t lastIndex(const LogStore &Store);
Position positionAt(const LogStore &Store, uint64_t Index); // term 0 at index 0
void toMessage(Position From, instance::Position *To);
Position fromMessage(const instance::Position &From);

// Appends an entry; its index must be the next one. Versions older than Shown are dropped.
void appendEntry(LogStore &Store, instance::LogEntry Entry, uint64_t AppliedIndex);

// Removes every entry after Index, with its effects.
void truncateLog(LogStore &Store, uint64_t Index);

// Returns the version of a row as of a log index.
RowVersion readRow(const LogStore &Store, const RowKey &Key, uint64_t AsOf);

// What the log says of a request id.
struct RequestState {
  uint64_t m_CommittedIndex = 0; // index of the entry that carries its effect; 0: none
  uint64_t m_RuledOutIndex = 0;
  uint32_t m_RuledOutAttempt = 0; // highest attempt ruled out
};
RequestState findRequest(const LogStore &Store, const instance::RequestId &Request);

// Writes of a transaction before it commits, and the row versions that it has seen.
struct WriteBuffer {
  std::map<RowKey, Value> m_Writes;
  std::map<RowKey, uint64_t> m_ObservedVersions;
};

// Runs a statement on the rows as of an index and on the buffer. GET and ADD give one row, SCAN
// any number, the others none. Returns what went wrong, or an empty string.
std::string runStatement(const LogStore &Store, uint64_t AsOf, const instance::Statement &Statement,
                         WriteBuffer &Buffer,
                         google::protobuf::RepeatedPtrField<instance::Row> *Rows);

// Whether another transaction has written a row since this one has seen it.
bool hasConflict(const LogStore &Store, const WriteBuffer &Buffer);

standin::DumpReply dumpLog(const LogStore &Store, uint64_t CommittedIndex);

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

struct Transaction {
  bool m_IsReadOnly = false;
  uint64_t m_Term = 0; // a change of term aborts a writing transaction
  WriteBuffer m_Buffer;
};

using FrameReactor = grpc::ServerBidiReactor<instance::ClientFrame, instance::ServerFrame>;

// A connection of a host. The reactor is valid until Finish() is called, by a task.
struct Session {
  FrameReactor *m_Reactor = nullptr;
  bool m_IsCounted = false; // counts towards the connection limit
  instance::ClientFrame m_RequestFrame;
  instance::ServerFrame m_ReplyFrame;
  std::optional<Transaction> m_Transaction;
};
using SessionPtr = std::shared_ptr<Session>;

// A unary call. The reactor is valid until Finish() is called, by a task.
struct UnaryCall {
  grpc::ServerUnaryReactor *m_Reactor = nullptr;
};
using UnaryPtr = std::shared_ptr<UnaryCall>;

struct PendingPull {
  UnaryPtr m_Call;
  instance::PullReply *m_Reply = nullptr;
  Position m_LastPosition;
  uint64_t m_Number = 0;
};

// What the primary knows of a follower.
struct Follower {
  TimePoint m_PulledAt{};
  TimePoint
      m_AcknowledgedSentAt{}; // send time of the last answer that the follower is known to have got
  uint64_t m_MatchIndex = 0;  // the follower holds the log up to here
  uint64_t m_SentCommittedIndex = 0; // committed index in the last answer
  std::optional<PendingPull> m_PendingPull;
};

// An own pull in progress.
struct PullCall {
  std::string m_Peer;
  uint64_t m_Epoch = 0; // 0: looks for a primary
  TimePoint m_SentAt{};
  grpc::ClientContext m_Context;
  instance::PullRequest m_Request;
  instance::PullReply m_Reply;
};

// A write that waits until a majority holds its entry.
struct CommitWaiter {
  uint64_t m_Index = 0;
  TimePoint m_Deadline{};
  std::function<void(bool)> m_OnDone; // whether a majority holds it
};

struct PositionWaiter {
  Position m_Position;
  std::function<void(bool)> m_OnDone; // whether it is shown now
};

struct FreshnessWaiter {
  Duration m_MaxAge{};
  std::function<void(bool)> m_OnDone; // whether the data are that fresh now
};

struct SlotWaiter {
  SessionPtr m_Session;
  uint32_t m_Statements = 0;
  Task m_Run;
};

// Shown data contain everything acknowledged before m_FreshAt once m_Index is shown.
struct FreshnessMark {
  uint64_t m_Index = 0;
  TimePoint m_FreshAt{};
};

enum class Role { Idle, Primary, Following };

struct Core {
  StandinOptions m_Options;
  uint32_t m_Majority = 1;

  std::mutex m_Mutex; // guards everything below; held by each task
  std::condition_variable m_StateChanged;
  boost::asio::io_context m_Io;
  standin::FaultRequest m_Faults;
  bool m_IsStopping = false;

  LogStore m_Log;
  uint64_t m_CommittedIndex = 0; // held by a majority
  uint64_t m_AppliedIndex = 0;   // visible to readers
  std::deque<std::pair<uint64_t, TimePoint>> m_ReceiveTimes;
  std::deque<FreshnessMark> m_FreshnessMarks;
  TimePoint m_FreshAt{};

  uint64_t m_Term = 0; // promised
  std::string m_Proposer;
  Role m_Role = Role::Idle;
  std::string m_Primary; // id, if known
  std::string m_PrimaryAddress;
  bool m_HasCaughtUp = true;

  // As primary.
  TimePoint m_PrimarySince{};
  uint64_t m_TermFirstIndex = 0; // of the own term
  std::map<std::string, Follower> m_Followers;
  std::deque<CommitWaiter> m_CommitWaiters;
  bool m_IsCommitTimerSet = false;
  uint64_t m_NextPullNumber = 1;

  // As follower.
  TimePoint m_LastContactAt{};
  uint64_t m_Epoch = 1;
  uint64_t m_EchoTime = 0;
  std::map<std::string, std::shared_ptr<instance::Instance::Stub>> m_Stubs; // by address
  std::map<std::string, std::string> m_Peers;
  std::set<std::shared_ptr<PullCall>> m_PullCalls;
  bool m_IsReceiving = false; // entries wait for receive_lag_ms

  // Connections.
  std::set<SessionPtr> m_Sessions;
  uint32_t m_ConnectionCount = 0;
  uint32_t m_BusySlotCount = 0;
  std::deque<SlotWaiter> m_SlotQueue;
  std::map<uint64_t, PositionWaiter> m_PositionWaiters;
  std::map<uint64_t, FreshnessWaiter> m_FreshnessWaiters;
  uint64_t m_NextWaiterId = 1;
};

// Runs a task on the instance's thread, now or after a delay.
void postTask(Core &C, Task Run);
void postAfter(Core &C, Duration Delay, Task Run);

void finishCall(const UnaryPtr &Call, const grpc::Status &Status);

//-----------------------------------------------------------------------------
// [SECTION] Connections (standin_instance_frames.cpp)
//-----------------------------------------------------------------------------

void acceptSession(Core &C, const SessionPtr &S);
void handleFrame(Core &C, const SessionPtr &S, bool Ok);
void handleAnswerSent(Core &C, const SessionPtr &S, bool Ok);
void endSession(Core &C, const SessionPtr &S, const grpc::Status &Status);

//-----------------------------------------------------------------------------
// [SECTION] Replication and terms (standin_instance_replication.cpp)
//-----------------------------------------------------------------------------

// A majority that has not pulled for this long is not in contact.
constexpr Millis ContactTimeout{300};
// A write whose entry a majority does not hold by then is answered OUTCOME_UNKNOWN.
constexpr Millis CommitTimeout{1000};

bool isPrimary(const Core &C);
bool hasMajority(const Core &C);        // as primary
bool hasCommittedInTerm(const Core &C); // whether a majority holds an entry of the own term
Duration contactAge(const Core &C);     // see StatusReply
Duration dataAge(const Core &C);        // see StatusReply
uint32_t toMillis(Duration D);          // rounded up; all ones if too large

// Appends an entry as primary and calls Done once it is known whether a majority holds it.
void commitEntry(Core &C, instance::LogEntry Entry, std::function<void(bool)> Done);
void awaitCommit(Core &C, uint64_t Index, std::function<void(bool)> Done);
void awaitPosition(Core &C, Position P, Duration Timeout, std::function<void(bool)> Done);

// Calls Done with whether the data are no older than MaxAge. A primary asks its followers first.
void awaitFreshness(Core &C, Duration MaxAge, std::function<void(bool)> Done);

void startRole(Core &C); // at the start of the process
void advanceApplied(Core &C);
void pullNext(Core &C);
void discoverPrimary(Core &C); // repeats itself

void handleStatus(Core &C, instance::StatusReply *Reply);
void handleFence(Core &C, const instance::FenceRequest &Request, instance::FenceReply *Reply);
void handlePromote(Core &C, const instance::PromoteRequest &Request, instance::PromoteReply *Reply);
void handleFollow(Core &C, const instance::FollowRequest &Request, instance::FollowReply *Reply);
void handlePull(Core &C, const UnaryPtr &Call, const instance::PullRequest &Request,
                instance::PullReply *Reply);

} // namespace quetzalpaddle::instance_standin
