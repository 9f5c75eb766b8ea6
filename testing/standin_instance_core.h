// Internals of the stand-in for a database instance, shared by its files. All processing runs as
// tasks on one thread, so freezing that thread stops everything except the Standin service.
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

// A log entry of a request id: its effect, or the ruling out of its attempts up to m_Attempt.
struct RequestEvent {
  uint64_t m_Index = 0;
  uint32_t m_Attempt = 0;
  bool m_IsRuledOut = false;
};

// The log and the state derived from it. Rows keep the versions that readers may still see, so that
// entries can be stored before they are applied, and truncated.
struct LogStore {
  std::deque<instance::LogEntry> m_Entries; // starts with index 1
  std::map<RowKey, std::vector<RowVersion>> m_Rows;
  std::map<std::pair<std::string, std::string>, std::vector<RequestEvent>> m_Requests;
};

uint64_t lastIndex(const LogStore &Store);
Position positionAt(const LogStore &Store, uint64_t Index); // term 0 at index 0
void toMessage(Position From, instance::Position *To);
Position fromMessage(const instance::Position &From);

// Appends an entry; its index must be the next one. Drops row versions that readers at AppliedIndex
// can no longer see.
void appendEntry(LogStore &Store, instance::LogEntry Entry, uint64_t AppliedIndex);

// Removes every entry after Index and its effects.
void truncateLog(LogStore &Store, uint64_t Index);

// Returns the version of a row as of a log index.
RowVersion readRow(const LogStore &Store, const RowKey &Key, uint64_t AsOf);

// State of a request id according to the log.
struct RequestState {
  uint64_t m_CommittedIndex = 0;  // index of the entry with its effect; 0: none
  uint64_t m_RuledOutIndex = 0;   // index of the entry that ruled it out; 0: none
  uint32_t m_RuledOutAttempt = 0; // highest attempt ruled out
};
RequestState findRequest(const LogStore &Store, const instance::RequestId &Request);

// Uncommitted writes of a transaction, and the row versions that it has observed.
struct WriteBuffer {
  std::map<RowKey, Value> m_Writes;
  std::map<RowKey, uint64_t> m_ObservedVersions; // log index of each version
};

// Runs a statement on the rows as of a log index, overlaid with the buffer. GET and ADD return one
// row, SCAN any number, the others none. Returns an error message, or an empty string.
std::string runStatement(const LogStore &Store, uint64_t AsOf, const instance::Statement &Statement,
                         WriteBuffer &Buffer,
                         google::protobuf::RepeatedPtrField<instance::Row> *Rows);

// Returns whether another transaction has written a row since this one observed it.
bool hasConflict(const LogStore &Store, const WriteBuffer &Buffer);

// Returns the rows and request ids of the entries up to CommittedIndex.
standin::DumpReply dumpLog(const LogStore &Store, uint64_t CommittedIndex);

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

struct Transaction {
  bool m_IsReadOnly = false;
  uint64_t m_Term = 0; // at the begin; a change of term aborts a read-write transaction
  WriteBuffer m_Buffer;
};

using FrameReactor = grpc::ServerBidiReactor<instance::ClientFrame, instance::ServerFrame>;

// A connection of a host. The reactor is valid until a task calls Finish().
struct Session {
  FrameReactor *m_Reactor = nullptr;
  bool m_IsCounted = false; // counts towards the connection limit
  instance::ClientFrame m_RequestFrame;
  instance::ServerFrame m_ReplyFrame;
  std::optional<Transaction> m_Transaction;
};
using SessionPtr = std::shared_ptr<Session>;

// A unary call. The reactor is valid until a task calls Finish().
struct UnaryCall {
  grpc::ServerUnaryReactor *m_Reactor = nullptr;
};
using UnaryPtr = std::shared_ptr<UnaryCall>;

// A follower's pull that is answered when there are updates or its wait time has passed.
struct PendingPull {
  UnaryPtr m_Call;
  instance::PullReply *m_Reply = nullptr;
  Position m_LastPosition;
  uint64_t m_Number = 0;
};

// State of a follower as known to the primary.
struct Follower {
  TimePoint m_PulledAt{};
  // Send time of the last answer that the follower has acknowledged.
  TimePoint m_AcknowledgedSentAt{};
  uint64_t m_MatchIndex = 0;         // the follower's log matches up to this index
  uint64_t m_SentCommittedIndex = 0; // committed index in the last answer
  std::optional<PendingPull> m_PendingPull;
};

// An outgoing pull that is in progress.
struct PullCall {
  std::string m_Peer;
  uint64_t m_Epoch = 0; // epoch of the role at the start; 0: discovery of a primary
  TimePoint m_SentAt{};
  grpc::ClientContext m_Context;
  instance::PullRequest m_Request;
  instance::PullReply m_Reply;
};

// A write that waits until a majority holds its entry.
struct CommitWaiter {
  uint64_t m_Index = 0;
  TimePoint m_Deadline{};
  std::function<void(bool)> m_OnDone; // argument: whether a majority holds the entry
};

// A request that waits until a log position is applied.
struct PositionWaiter {
  Position m_Position;
  std::function<void(bool)> m_OnDone; // argument: whether the position is applied
};

// A read that waits until the data are no older than a limit.
struct FreshnessWaiter {
  Duration m_MaxAge{};
  std::function<void(bool)> m_OnDone; // argument: whether the data are no older than m_MaxAge
};

// Statements that wait for a slot.
struct SlotWaiter {
  SessionPtr m_Session;
  uint32_t m_Statements = 0;
  Task m_Run;
};

// Once m_Index is applied, the data include every write acknowledged before m_FreshAt.
struct FreshnessMark {
  uint64_t m_Index = 0;
  TimePoint m_FreshAt{};
};

enum class Role { Idle, Primary, Following };

struct Core {
  StandinOptions m_Options;
  uint32_t m_Majority = 1;

  std::mutex m_Mutex; // guards everything below; locked by each task
  std::condition_variable m_StateChanged;
  boost::asio::io_context m_Io;
  standin::FaultRequest m_Faults;
  bool m_IsStopping = false;

  LogStore m_Log;
  uint64_t m_CommittedIndex = 0; // a majority holds the log up to this index
  uint64_t m_AppliedIndex = 0;   // readers see the log up to this index
  std::deque<std::pair<uint64_t, TimePoint>> m_ReceiveTimes; // by last index received
  std::deque<FreshnessMark> m_FreshnessMarks;
  TimePoint m_FreshAt{}; // the data include every write acknowledged before

  uint64_t m_Term = 0;    // highest term promised
  std::string m_Proposer; // to which m_Term was granted
  Role m_Role = Role::Idle;
  std::string m_Primary;        // id, if known
  std::string m_PrimaryAddress; // empty: as in m_Peers
  bool m_HasCaughtUp = true;    // false after a restart without data, until the log
                                // has reached the primary's committed index

  // State of a primary.
  TimePoint m_PrimarySince{};
  uint64_t m_TermFirstIndex = 0; // index of the first entry of this primary's term
  std::map<std::string, Follower> m_Followers;
  std::deque<CommitWaiter> m_CommitWaiters;
  bool m_IsCommitTimerSet = false;
  uint64_t m_NextPullNumber = 1;

  // State of a follower.
  TimePoint m_LastContactAt{};
  uint64_t m_Epoch = 1;    // incremented with each change of role
  uint64_t m_EchoTime = 0; // primary_time of the last answer, returned in the next pull
  std::map<std::string, std::shared_ptr<instance::Instance::Stub>> m_Stubs; // by address
  std::map<std::string, std::string> m_Peers;                               // addresses by id
  std::set<std::shared_ptr<PullCall>> m_PullCalls;
  bool m_IsReceiving = false; // received entries are held back for receive_lag_ms

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

// Finishes a call unless it is finished already.
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

// A follower that has not pulled for this long is not in contact with the primary.
constexpr Millis ContactTimeout{300};
// A write whose entry no majority holds after this time is answered OUTCOME_UNKNOWN.
constexpr Millis CommitTimeout{1000};

bool isPrimary(const Core &C);
bool hasMajority(const Core &C);        // primary only: whether a majority is in contact
bool hasCommittedInTerm(const Core &C); // whether a majority holds an entry of this primary's term
Duration contactAge(const Core &C);     // see StatusReply
Duration dataAge(const Core &C);        // see StatusReply
uint32_t toMillis(Duration D);          // rounded up; UINT32_MAX if too large

// Appends an entry as primary. Calls Done with whether a majority holds it, at the latest after
// CommitTimeout.
void commitEntry(Core &C, instance::LogEntry Entry, std::function<void(bool)> Done);
// Like commitEntry() for an entry that is in the log already.
void awaitCommit(Core &C, uint64_t Index, std::function<void(bool)> Done);
// Calls Done with whether a log position is applied, at the latest after Timeout.
void awaitPosition(Core &C, Position P, Duration Timeout, std::function<void(bool)> Done);

// Calls Done with whether the data are no older than MaxAge. A primary whose data are older lets
// its followers confirm it first.
void awaitFreshness(Core &C, Duration MaxAge, std::function<void(bool)> Done);

void startRole(Core &C);      // enters the role that the options give
void advanceApplied(Core &C); // updates m_AppliedIndex and what waits for it
void pullNext(Core &C);
void discoverPrimary(Core &C); // repeats periodically

void handleStatus(Core &C, instance::StatusReply *Reply);
void handleFence(Core &C, const instance::FenceRequest &Request, instance::FenceReply *Reply);
void handlePromote(Core &C, const instance::PromoteRequest &Request, instance::PromoteReply *Reply);
void handleFollow(Core &C, const instance::FollowRequest &Request, instance::FollowReply *Reply);
void handlePull(Core &C, const UnaryPtr &Call, const instance::PullRequest &Request,
                instance::PullReply *Reply);

} // namespace quetzalpaddle::instance_standin
