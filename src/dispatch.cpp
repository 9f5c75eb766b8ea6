// Dispatches requests to instances. Each instance has a fair queue, a connection pool and a table
// of requests in progress.
//
// READ, WRITE, BEGIN and RESOLVE wait in the fair queue for a slot and then take an idle
// connection. A STATEMENT of an open transaction waits for a slot in the same queue, ahead of its
// customer's other requests, and runs on the transaction's connection. If it did not wait,
// customers with many open transactions could occupy every slot. COMMIT and ABORT start at once
// because they free what the transaction holds. They still count against the slots, and their
// number is limited because each requires a BEGIN that has waited.
//
// Every callback looks up its request, connection and transaction by id, because it may run after
// the request, the dispatcher or the transaction has ended.
#include "dispatch.h"
#include "answer_room.h"
#include "dispatch_frames.h"
#include "host.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// After this many consecutive failed connection attempts, and with no connection open, waiting
// requests are refused so that their entry hosts try another instance or wait for a new primary.
constexpr uint32_t MaxFailedOpens = 2;

// A request that times out sooner than this does not mark the instance as failed, because its
// caller's deadline was too short to tell.
constexpr Millis MinFailureTimeout{100};

// A request that has run this long at a replaced primary is ended, so that its outcome is resolved
// at the new primary. A former primary that still runs refuses the request sooner itself.
constexpr Millis ReplacedPrimaryGrace{100};

// Part of front.max_buffered, as a divisor, for the answers of all instances that have not been
// passed on. It is in addition to the bytes that the HTTP server counts.
constexpr size_t AnswerRoomDivisor = 4;

struct DispatchedRequest {
  peer::ForwardRequest m_Request;
  PeerReplyCallback<peer::ForwardReply> m_Callback;
  TimePoint m_Deadline{};
  TimePoint m_SlotSince{};     // when it left the queue
  TimePoint m_StartedAt{};     // when it was sent
  uint64_t m_ConnectionId = 0; // 0 while it waits
  uint64_t m_Term = 0;         // highest term known when the request was sent
  size_t m_AnswerBytes = 0;    // reserved in Dispatcher::m_Room
};

struct InstanceLink {
  std::shared_ptr<InstanceConnection> m_Connection;
  std::string m_Address;
  bool m_IsKeyWithdrawn = false; // its transaction's key was withdrawn during a statement
};

struct Dispatcher {
  std::string m_Group;
  std::string m_Instance;
  std::string m_Address;
  FairQueue m_Queue;
  Pool m_Pool;
  std::map<uint64_t, InstanceLink> m_Links; // by the pool's connection id
  std::unordered_map<uint64_t, DispatchedRequest> m_Requests;
  AnswerRoom m_Room;
  std::deque<uint64_t> m_AwaitingRoom; // requests that hold a slot and wait for m_Room
};

using DispatcherId = std::pair<std::string, std::string>; // group, instance

} // namespace

struct DispatchState {
  std::map<DispatcherId, Dispatcher> m_Dispatchers;
  std::unordered_map<std::string, AnswerSizes> m_AnswerSizes; // of reads, by customer
  uint64_t m_NextRequestId = 1;
};

namespace {

using peer::Kind;

uint64_t findTerm(const Host &ThisHost, const std::string &Group) {
  auto View = ThisHost.m_Views.find(Group);
  return View == ThisHost.m_Views.end() ? 0 : View->second.m_Term;
}

// Returns the dispatcher that holds a transaction, or null. Requests in a transaction carry its id
// but not its instance.
Dispatcher *findTransaction(DispatchState &State, const std::string &Transaction) {
  auto Found = std::ranges::find_if(State.m_Dispatchers, [&](const auto &Entry) {
    return Entry.second.m_Pool.m_ConnectionsByTransaction.contains(Transaction);
  });
  return Found == State.m_Dispatchers.end() ? nullptr : &Found->second;
}

Dispatcher *findDispatcher(const std::shared_ptr<DispatchState> &State, const DispatcherId &Id) {
  auto Found = State->m_Dispatchers.find(Id);
  return Found == State->m_Dispatchers.end() ? nullptr : &Found->second;
}

void applyInstance(const Host &ThisHost, Dispatcher &Disp, const Instance &Inst) {
  const PoolSettings &Settings = ThisHost.m_Settings.m_Pool;
  Disp.m_Address = Inst.m_Address;
  Disp.m_Queue.m_SlotCount = std::max(1U, Inst.m_SlotCount);
  Disp.m_Pool.m_MaxSize =
      std::max(1U, static_cast<uint32_t>(Inst.m_ConnectionLimit * Settings.m_ConnectionShare));
  Disp.m_Room.m_LimitBytes = ThisHost.m_Settings.m_Front.m_MaxBufferedBytes / AnswerRoomDivisor /
                             std::max<size_t>(1, ThisHost.m_Dispatch->m_Dispatchers.size());
}

Dispatcher &findOrAddDispatcher(Host &ThisHost, const std::string &Group, const Instance &Inst) {
  auto [At, IsNew] = ThisHost.m_Dispatch->m_Dispatchers.try_emplace({Group, Inst.m_Id});
  Dispatcher &Disp = At->second;
  if (IsNew) {
    Disp.m_Group = Group;
    Disp.m_Instance = Inst.m_Id;
    applyInstance(ThisHost, Disp, Inst);
  }
  return Disp;
}

// Answers a request and removes it.
void answerRequest(Dispatcher &Disp, uint64_t Id, peer::ForwardReply Reply) {
  auto Found = Disp.m_Requests.find(Id);
  if (Found == Disp.m_Requests.end())
    return;
  PeerReplyCallback<peer::ForwardReply> Callback = std::move(Found->second.m_Callback);
  Disp.m_Requests.erase(Found);
  Callback(std::move(Reply));
}

void refuseRequest(Dispatcher &Disp, uint64_t Id, Reason ReasonCode, std::string Message = {}) {
  auto Found = Disp.m_Requests.find(Id);
  if (Found != Disp.m_Requests.end())
    answerRequest(Disp, Id,
                  makeRefusal(Found->second.m_Request.kind(), ReasonCode, std::move(Message)));
}

// Refuses a request that the queue did not accept or has removed, and says when to ask again.
void refuseByQueue(Host &ThisHost, Dispatcher &Disp, uint64_t Id, Reason ReasonCode) {
  auto Found = Disp.m_Requests.find(Id);
  if (Found == Disp.m_Requests.end())
    return;
  double Draw = std::uniform_real_distribution<double>(0, 1)(ThisHost.m_Rng);
  Millis Hint = drainRetryHint(Disp.m_Queue, ThisHost.m_Settings.m_Queue.m_MaxWait, Draw);
  peer::ForwardReply Reply = makeRefusal(Found->second.m_Request.kind(), ReasonCode);
  Reply.set_retry_ms(static_cast<uint32_t>(Hint.count()));
  answerRequest(Disp, Id, std::move(Reply));
}

void closeLink(Dispatcher &Disp, uint64_t ConnectionId) {
  auto Found = Disp.m_Links.find(ConnectionId);
  if (Found == Disp.m_Links.end())
    return;
  std::shared_ptr<InstanceConnection> RemovedConnection = std::move(Found->second.m_Connection);
  Disp.m_Links.erase(Found);
  if (RemovedConnection)
    closeConnection(RemovedConnection);
}

void releaseLink(Dispatcher &Disp, uint64_t ConnectionId, bool IsClean, TimePoint Now) {
  auto Found = Disp.m_Links.find(ConnectionId);
  IsClean &= Found != Disp.m_Links.end() && Found->second.m_Address == Disp.m_Address;
  if (!releaseConnection(Disp.m_Pool, ConnectionId, IsClean, Now))
    closeLink(Disp, ConnectionId);
}

// Closes the idle connections after one of them turned out to be closed. All connections to an
// address share a channel, so the others are closed too, and each would fail another request.
void closeIdle(Dispatcher &Disp, TimePoint Now) {
  std::vector<uint64_t> IdleConnections;
  for (const auto &[Id, C] : Disp.m_Pool.m_Connections)
    if (C.m_State == ConnectionState::Idle)
      IdleConnections.push_back(Id);
  for (uint64_t ConnectionId : IdleConnections)
    releaseLink(Disp, ConnectionId, false, Now);
}

// --- Answers ---

std::string makeTransactionId(Host &ThisHost) {
  return fmt::format("{}.{:016x}{:016x}", ThisHost.m_Settings.m_HostId, ThisHost.m_Rng(),
                     ThisHost.m_Rng());
}

void processQueue(Host &ThisHost, Dispatcher &Disp, TimePoint Now);

size_t countRowBytes(const instance::ServerFrame &Frame) {
  size_t Bytes = 0;
  for (const instance::Row &Row : Frame.rows())
    Bytes += Row.table().size() + Row.key().size() + Row.value().size() + sizeof(Row);
  return Bytes;
}

// Returns the bytes to release in Dispatcher::m_Room. The dispatcher may be gone by then.
size_t handleAnswer(Host &ThisHost, Dispatcher &Disp, uint64_t Id,
                    std::variant<instance::ServerFrame, LinkError> Answer, TimePoint Now) {
  auto Found = Disp.m_Requests.find(Id);
  if (Found == Disp.m_Requests.end())
    return 0;
  DispatchedRequest &Req = Found->second;
  Kind ReqKind = Req.m_Request.kind();
  uint64_t ConnectionId = Req.m_ConnectionId;
  size_t AnswerBytes = Req.m_AnswerBytes;
  finishRequest(Disp.m_Queue, Req.m_Request.customer(), Now - Req.m_SlotSince);
  peer::ForwardReply Reply;
  if (const LinkError *Error = std::get_if<LinkError>(&Answer)) {
    releaseLink(Disp, ConnectionId, false, Now);
    if (*Error == LinkError::Unreachable)
      closeIdle(Disp, Now);
    if (*Error != LinkError::TimedOut || Now - Req.m_StartedAt >= MinFailureTimeout)
      recordInstanceFailure(ThisHost, Disp.m_Group, Disp.m_Instance);
    Reply = makeLinkReply(ReqKind, *Error);
  } else {
    auto &Frame = std::get<instance::ServerFrame>(Answer);
    if (ReqKind == Kind::READ && Frame.code() == instance::OK)
      recordAnswer(ThisHost.m_Dispatch->m_AnswerSizes[Req.m_Request.customer()],
                   Req.m_Request.statements_size(), countRowBytes(Frame), Now);
    uint64_t HighestTerm = std::max(findTerm(ThisHost, Disp.m_Group), Req.m_Request.known_term());
    ConnectionAction Action = decideConnectionAction(ReqKind, Frame.code());
    auto At = Disp.m_Links.find(ConnectionId);
    bool IsEnding = At == Disp.m_Links.end() || At->second.m_IsKeyWithdrawn;
    bool CanKeep = Action == ConnectionAction::KeepPinned && !IsEnding;
    Reply = makeFrameReply(ReqKind, Disp.m_Instance, Frame, HighestTerm);
    if (CanKeep) {
      Reply.set_transaction(Disp.m_Pool.m_Connections.at(ConnectionId).m_Transaction);
      finishPinnedStatement(Disp.m_Pool, ConnectionId, Now);
    } else {
      releaseLink(Disp, ConnectionId, Action == ConnectionAction::Release && !IsEnding, Now);
      // The key was withdrawn while BEGIN ran.
      if (ReqKind == Kind::BEGIN && Reply.class_() == peer::DONE)
        Reply = makeRefusal(ReqKind, Reason::KeyWithdrawn);
    }
    recordInstanceReply(ThisHost, Disp.m_Group, Disp.m_Instance, Reply);
  }
  answerRequest(Disp, Id, std::move(Reply));
  return AnswerBytes;
}

// Sends the request's frame on a connection that is already marked busy.
void sendRequest(Host &ThisHost, Dispatcher &Disp, uint64_t Id, uint64_t ConnectionId,
                 TimePoint Now) {
  DispatchedRequest &Req = Disp.m_Requests.at(Id);
  Req.m_ConnectionId = ConnectionId;
  Req.m_StartedAt = Now;
  Req.m_Term = findTerm(ThisHost, Disp.m_Group);
  std::weak_ptr<DispatchState> Weak = ThisHost.m_Dispatch;
  DispatcherId OwnId{Disp.m_Group, Disp.m_Instance};
  std::shared_ptr<InstanceConnection> LinkConnection = Disp.m_Links.at(ConnectionId).m_Connection;
  sendFrame(
      LinkConnection, makeFrame(Req.m_Request), std::max<Duration>(Req.m_Deadline - Now, Millis(1)),
      [&ThisHost, Weak, OwnId, Id](std::variant<instance::ServerFrame, LinkError> Answer) {
        auto State = Weak.lock();
        if (!State)
          return;
        TimePoint CallbackTime = Clock::now();
        size_t AnswerBytes = 0;
        if (Dispatcher *Target = findDispatcher(State, OwnId))
          AnswerBytes = handleAnswer(ThisHost, *Target, Id, std::move(Answer), CallbackTime);
        // The callback of the answer may have changed or removed the dispatcher.
        if (Dispatcher *Target = findDispatcher(State, OwnId)) {
          Target->m_Room.m_ReservedBytes -= std::min(Target->m_Room.m_ReservedBytes, AnswerBytes);
          processQueue(ThisHost, *Target, CallbackTime);
        }
      });
}

// Returns the connection of a transaction, marked busy, if the request's key owns the transaction.
std::variant<uint64_t, Reason> takePinned(Dispatcher &Disp, const peer::ForwardRequest &Request,
                                          TimePoint Now) {
  auto Found = Disp.m_Pool.m_ConnectionsByTransaction.find(Request.transaction());
  if (Found == Disp.m_Pool.m_ConnectionsByTransaction.end() ||
      Disp.m_Pool.m_Connections.at(Found->second).m_KeyId != Request.key_id())
    return Reason::NoTransaction;
  return usePinnedConnection(Disp.m_Pool, Request.transaction(), Request.customer(), Now);
}

// Returns the reason why the request may not run, or None.
Reason checkRequest(const Host &ThisHost, const peer::ForwardRequest &Request) {
  if (!Request.key_id().empty() && !isKeyValid(ThisHost.m_Config, Request.key_id()))
    return Reason::KeyWithdrawn;
  const Instance *Inst = findInstance(ThisHost, Request.group(), Request.instance());
  if (!Inst && !isInTransaction(Request.kind()))
    return Reason::InstanceUnavailable;
  if (Inst && Inst->m_IsLeaving && isNewWork(Request.kind()))
    return Reason::InstanceLeaving;
  if (ThisHost.m_IsDraining && Request.kind() == Kind::BEGIN)
    return Reason::Draining;
  return Reason::None;
}

// Returns the connection for a request that holds a slot, or the refusal reason.
std::variant<uint64_t, Reason> chooseConnection(Host &ThisHost, Dispatcher &Disp,
                                                const peer::ForwardRequest &Request,
                                                TimePoint Now) {
  if (Reason ReasonCode = checkRequest(ThisHost, Request); ReasonCode != Reason::None)
    return ReasonCode;
  if (isInTransaction(Request.kind()))
    return takePinned(Disp, Request, Now);
  std::optional<uint64_t> ConnectionId = takeConnection(Disp.m_Pool, Now);
  if (!ConnectionId)
    return Reason::InstanceUnavailable;
  if (Request.kind() != Kind::BEGIN)
    return *ConnectionId;
  Reason ReasonCode = pinConnection(Disp.m_Pool, *ConnectionId, makeTransactionId(ThisHost),
                                    Request.customer(), Request.key_id(), Now);
  if (ReasonCode == Reason::None)
    return *ConnectionId;
  releaseLink(Disp, *ConnectionId, true, Now);
  return ReasonCode;
}

// Reserves room for the answer of a read. Returns false if the read has to wait.
bool reserveRoom(const DispatchState &State, Dispatcher &Disp, DispatchedRequest &Req,
                 TimePoint Now) {
  if (Req.m_Request.kind() != Kind::READ)
    return true;
  auto Sizes = State.m_AnswerSizes.find(Req.m_Request.customer());
  std::optional<size_t> ExpectedBytes;
  if (Sizes != State.m_AnswerSizes.end())
    ExpectedBytes = expectAnswer(Sizes->second, Req.m_Request.statements_size(), Now);
  std::optional<size_t> Bytes = reserveAnswer(Disp.m_Room, ExpectedBytes);
  Req.m_AnswerBytes = Bytes.value_or(0);
  return Bytes.has_value();
}

// Starts a request that holds a slot.
void startRequest(Host &ThisHost, Dispatcher &Disp, uint64_t Id, TimePoint Now) {
  const peer::ForwardRequest &Request = Disp.m_Requests.at(Id).m_Request;
  auto Chosen = chooseConnection(ThisHost, Disp, Request, Now);
  if (const Reason *ReasonCode = std::get_if<Reason>(&Chosen)) {
    size_t &ReservedBytes = Disp.m_Room.m_ReservedBytes;
    ReservedBytes -= std::min(ReservedBytes, Disp.m_Requests.at(Id).m_AnswerBytes);
    finishRequest(Disp.m_Queue, Request.customer(), Duration::zero());
    refuseRequest(Disp, Id, *ReasonCode);
    return;
  }
  sendRequest(ThisHost, Disp, Id, std::get<uint64_t>(Chosen), Now);
}

void expireRequests(Host &ThisHost, Dispatcher &Disp, TimePoint Now) {
  for (const QueuedRequest &Q :
       expireQueuedRequests(Disp.m_Queue, Now, ThisHost.m_Settings.m_Queue))
    refuseByQueue(ThisHost, Disp, Q.m_Id, Reason::QueueTimeout);
  while (!Disp.m_AwaitingRoom.empty()) {
    uint64_t Id = Disp.m_AwaitingRoom.front();
    const DispatchedRequest &Req = Disp.m_Requests.at(Id);
    if (Now < std::min(Req.m_Deadline, Req.m_SlotSince + ThisHost.m_Settings.m_Queue.m_MaxWait))
      return;
    Disp.m_AwaitingRoom.pop_front();
    finishRequest(Disp.m_Queue, Req.m_Request.customer(), Now - Req.m_SlotSince);
    refuseByQueue(ThisHost, Disp, Id, Reason::QueueTimeout);
  }
}

// --- Opening connections ---

// Returns whether the last connection attempts failed and no connection is left.
bool isLikelyDown(const Pool &P) {
  return P.m_FailedOpenCount >= MaxFailedOpens &&
         std::ranges::all_of(P.m_Connections, [](const auto &Entry) {
           return Entry.second.m_State == ConnectionState::Opening;
         });
}

void handleOpenResult(Host &ThisHost, Dispatcher &Disp, uint64_t ConnectionId,
                      std::optional<LinkError> Error, TimePoint Now) {
  if (!Disp.m_Links.contains(ConnectionId))
    return;
  if (!Error) {
    recordOpenSuccess(Disp.m_Pool, ConnectionId, Now);
    return;
  }
  recordOpenFailure(Disp.m_Pool, ConnectionId, Now, ThisHost.m_Rng);
  closeLink(Disp, ConnectionId);
  // If other connections are open, the instance has probably reached its connection limit and the
  // requests keep waiting. If none is open, it may be down, and the entry hosts can try elsewhere.
  if (!isLikelyDown(Disp.m_Pool))
    return;
  recordInstanceFailure(ThisHost, Disp.m_Group, Disp.m_Instance);
  for (const QueuedRequest &Q : expireQueuedRequests(Disp.m_Queue, TimePoint::max(),
                                                     ThisHost.m_Settings.m_Queue)) // all of them
    refuseRequest(Disp, Q.m_Id, Reason::InstanceUnavailable);
}

void openLinks(Host &ThisHost, Dispatcher &Disp, TimePoint Now) {
  uint32_t Free =
      Disp.m_Queue.m_SlotCount - std::min(Disp.m_Queue.m_SlotCount, Disp.m_Queue.m_RunningCount);
  uint32_t Waiting = std::min(Free, Disp.m_Queue.m_QueuedCount) +
                     static_cast<uint32_t>(Disp.m_AwaitingRoom.size());
  std::weak_ptr<DispatchState> Weak = ThisHost.m_Dispatch;
  DispatcherId OwnId{Disp.m_Group, Disp.m_Instance};
  for (uint64_t ConnectionId : planOpens(Disp.m_Pool, Waiting, Now, ThisHost.m_Settings.m_Pool)) {
    Disp.m_Links[ConnectionId].m_Address = Disp.m_Address;
    auto Opened = [&ThisHost, Weak, OwnId, ConnectionId](std::optional<LinkError> Error) {
      auto State = Weak.lock();
      if (!State)
        return;
      TimePoint CallbackTime = Clock::now();
      if (Dispatcher *Target = findDispatcher(State, OwnId))
        handleOpenResult(ThisHost, *Target, ConnectionId, Error, CallbackTime);
      if (Dispatcher *Target = findDispatcher(State, OwnId))
        processQueue(ThisHost, *Target, CallbackTime);
    };
    Disp.m_Links[ConnectionId].m_Connection = openConnection(
        Disp.m_Address, ThisHost.m_Settings.m_Pool.m_OpenTimeout, ThisHost.m_Run, Opened);
  }
}

bool hasIdleConnection(const Pool &P) {
  return std::ranges::any_of(P.m_Connections, [](const auto &Entry) {
    return Entry.second.m_State == ConnectionState::Idle;
  });
}

// Starts the requests that hold a slot and waited for room for their answers.
void startAwaitingRoom(Host &ThisHost, Dispatcher &Disp, TimePoint Now) {
  while (!Disp.m_AwaitingRoom.empty() && hasIdleConnection(Disp.m_Pool)) {
    uint64_t Id = Disp.m_AwaitingRoom.front();
    if (!reserveRoom(*ThisHost.m_Dispatch, Disp, Disp.m_Requests.at(Id), Now))
      return;
    Disp.m_AwaitingRoom.pop_front();
    startRequest(ThisHost, Disp, Id, Now);
  }
}

// Starts the queued requests that may run, then opens connections for those that still wait.
void processQueue(Host &ThisHost, Dispatcher &Disp, TimePoint Now) {
  expireRequests(ThisHost, Disp, Now);
  startAwaitingRoom(ThisHost, Disp, Now);
  while (true) {
    std::optional<QueuedRequest> Next =
        startNextRequest(Disp.m_Queue, Now, !hasIdleConnection(Disp.m_Pool));
    if (!Next)
      break;
    DispatchedRequest &Req = Disp.m_Requests.at(Next->m_Id);
    Req.m_SlotSince = Now;
    if (reserveRoom(*ThisHost.m_Dispatch, Disp, Req, Now))
      startRequest(ThisHost, Disp, Next->m_Id, Now);
    else
      Disp.m_AwaitingRoom.push_back(Next->m_Id);
  }
  openLinks(ThisHost, Disp, Now);
}

// --- Periodic work ---

bool needsPrimary(const peer::ForwardRequest &Request) {
  return Request.kind() != Kind::READ || Request.on_primary();
}

// Ends the requests for a primary at an instance that has been replaced as primary. Queued ones
// are refused, since they would otherwise wait here for up to the queue's maximum wait. The
// connections of running ones are closed after ReplacedPrimaryGrace.
void endRequestsOfReplacedPrimary(const Host &ThisHost, Dispatcher &Disp, TimePoint Now) {
  auto View = ThisHost.m_Views.find(Disp.m_Group);
  if (View == ThisHost.m_Views.end() || View->second.m_Primary.empty() ||
      View->second.m_Primary == Disp.m_Instance)
    return;
  auto IsMisplaced = [&](const QueuedRequest &Q) {
    return !Q.m_IsPinned && needsPrimary(Disp.m_Requests.at(Q.m_Id).m_Request);
  };
  for (const QueuedRequest &Q : removeMatching(Disp.m_Queue, IsMisplaced))
    refuseRequest(Disp, Q.m_Id, Reason::NotPrimary);
  std::vector<std::shared_ptr<InstanceConnection>> StalledConnections;
  for (const auto &[Id, Req] : Disp.m_Requests) {
    auto At = Disp.m_Links.find(Req.m_ConnectionId);
    if (needsPrimary(Req.m_Request) && At != Disp.m_Links.end() &&
        Req.m_Term < View->second.m_Term && Now - Req.m_StartedAt >= ReplacedPrimaryGrace)
      StalledConnections.push_back(At->second.m_Connection);
  }
  for (const auto &Connection : StalledConnections)
    closeConnection(Connection); // the request is answered with LinkError::Closed
}

// Returns whether the dispatcher has no work left and its instance is no longer configured.
bool canRemove(const Host &ThisHost, const Dispatcher &Disp) {
  return !findInstance(ThisHost, Disp.m_Group, Disp.m_Instance) && Disp.m_Requests.empty() &&
         Disp.m_Pool.m_ConnectionsByTransaction.empty();
}

} // namespace

std::shared_ptr<DispatchState> makeDispatchState() { return std::make_shared<DispatchState>(); }

void dispatchRequest(Host &ThisHost, peer::ForwardRequest Request,
                     PeerReplyCallback<peer::ForwardReply> Callback) {
  TimePoint Now = Clock::now();
  Kind ReqKind = Request.kind();
  if (Reason ReasonCode = checkRequest(ThisHost, Request); ReasonCode != Reason::None) {
    Callback(makeRefusal(ReqKind, ReasonCode));
    return;
  }
  const Instance *Inst = findInstance(ThisHost, Request.group(), Request.instance());
  Dispatcher *Disp = nullptr;
  if (isInTransaction(ReqKind))
    Disp = findTransaction(*ThisHost.m_Dispatch, Request.transaction());
  else if (Inst)
    Disp = &findOrAddDispatcher(ThisHost, Request.group(), *Inst);
  if (!Disp) {
    Callback(makeRefusal(ReqKind, Reason::NoTransaction));
    return;
  }
  Duration TimeLeft = Request.deadline_ms() ? Millis(Request.deadline_ms())
                                            : ThisHost.m_Settings.m_Front.m_RequestTimeout;
  uint64_t Id = ThisHost.m_Dispatch->m_NextRequestId++;
  DispatchedRequest NewRequest{.m_Request = std::move(Request),
                               .m_Callback = std::move(Callback),
                               .m_Deadline = Now + TimeLeft};
  // Refuse at once during the connection backoff, so that the entry host tries elsewhere. After
  // it, the next request triggers another connection attempt.
  if (!isInTransaction(ReqKind) && isLikelyDown(Disp->m_Pool) && Now < Disp->m_Pool.m_NextOpenAt) {
    NewRequest.m_Callback(makeRefusal(ReqKind, Reason::InstanceUnavailable));
    return;
  }
  TimePoint Deadline = NewRequest.m_Deadline;
  const peer::ForwardRequest &Added =
      Disp->m_Requests.emplace(Id, std::move(NewRequest)).first->second.m_Request;
  if (ReqKind == Kind::COMMIT || ReqKind == Kind::ABORT) {
    Disp->m_Requests.at(Id).m_SlotSince = Now;
    startUnqueued(Disp->m_Queue, Added.customer());
    startRequest(ThisHost, *Disp, Id, Now);
    return;
  }
  QueuedRequest QueuedReq;
  QueuedReq.m_Id = Id;
  QueuedReq.m_Customer = Added.customer();
  QueuedReq.m_KeyId = Added.key_id();
  QueuedReq.m_Deadline = Deadline;
  QueuedReq.m_QueuedAt = Now;
  QueuedReq.m_IsPinned = ReqKind == Kind::STATEMENT;
  std::optional<uint64_t> ShedId;
  Reason ReasonCode = enqueueRequest(Disp->m_Queue, QueuedReq, ShedId, ThisHost.m_Settings.m_Queue);
  if (ShedId)
    refuseByQueue(ThisHost, *Disp, *ShedId, Reason::QueueFull);
  if (ReasonCode != Reason::None)
    refuseByQueue(ThisHost, *Disp, Id, ReasonCode);
  else
    processQueue(ThisHost, *Disp, Now);
}

void cancelKeyRequests(Host &ThisHost, const std::string &KeyId) {
  TimePoint Now = Clock::now();
  for (auto &[Name, Disp] : ThisHost.m_Dispatch->m_Dispatchers) {
    for (const QueuedRequest &Q : removeRequestsOfKey(Disp.m_Queue, KeyId))
      refuseRequest(Disp, Q.m_Id, Reason::KeyWithdrawn);
    std::vector<uint64_t> EndedConnections;
    for (const auto &[ConnectionId, C] : Disp.m_Pool.m_Connections) {
      if (C.m_KeyId != KeyId || C.m_Transaction.empty())
        continue;
      if (C.m_State == ConnectionState::Pinned)
        EndedConnections.push_back(ConnectionId);
      else // closed after the statement in progress
        Disp.m_Links[ConnectionId].m_IsKeyWithdrawn = true;
    }
    for (uint64_t ConnectionId : EndedConnections)
      releaseLink(Disp, ConnectionId, false, Now);
  }
}

void tickDispatch(Host &ThisHost, TimePoint Now) {
  auto &All = ThisHost.m_Dispatch->m_Dispatchers;
  for (auto It = All.begin(); It != All.end();) {
    Dispatcher &Disp = It->second;
    if (const Instance *Inst = findInstance(ThisHost, Disp.m_Group, Disp.m_Instance))
      applyInstance(ThisHost, Disp, *Inst);
    for (uint64_t ConnectionId : expireConnections(Disp.m_Pool, Now, ThisHost.m_Settings.m_Pool))
      closeLink(Disp, ConnectionId);
    endRequestsOfReplacedPrimary(ThisHost, Disp, Now);
    processQueue(ThisHost, Disp, Now);
    if (canRemove(ThisHost, Disp)) {
      while (!Disp.m_Links.empty())
        closeLink(Disp, Disp.m_Links.begin()->first);
      It = All.erase(It);
    } else {
      ++It;
    }
  }
}

uint32_t countInProgress(const Host &ThisHost) {
  size_t Count = 0;
  for (const auto &[Name, Disp] : ThisHost.m_Dispatch->m_Dispatchers) {
    Count += Disp.m_Requests.size();
    Count += std::ranges::count_if(Disp.m_Pool.m_Connections, [](const auto &Entry) {
      return Entry.second.m_State == ConnectionState::Pinned;
    });
  }
  return static_cast<uint32_t>(Count);
}

std::string dumpDispatch(const Host &ThisHost) {
  static constexpr std::array<const char *, 5> States = {"opening", "idle", "busy", "pinned",
                                                         "pinned_busy"};
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Name, Disp] : ThisHost.m_Dispatch->m_Dispatchers) {
    nlohmann::json Connections = nlohmann::json::object();
    for (const char *State : States)
      Connections[State] = 0;
    for (const auto &[Id, C] : Disp.m_Pool.m_Connections)
      Connections[States.at(static_cast<size_t>(C.m_State))] =
          Connections[States.at(static_cast<size_t>(C.m_State))].get<int>() + 1;
    nlohmann::json Customers = nlohmann::json::object();
    for (const auto &[Customer, C] : Disp.m_Queue.m_Customers) {
      std::chrono::duration<double, std::milli> Used = C.m_VirtualTime;
      std::chrono::duration<double, std::milli> Estimate = C.m_Classes[0].m_EstimatedDuration;
      Customers[Customer] = {{"queued", C.m_QueuedCount},
                             {"running", C.m_RunningCount},
                             {"virtual_time_ms", Used.count()},
                             {"estimate_ms", Estimate.count()}};
    }
    All.push_back({{"group", Disp.m_Group},
                   {"instance", Disp.m_Instance},
                   {"address", Disp.m_Address},
                   {"slots", Disp.m_Queue.m_SlotCount},
                   {"running", Disp.m_Queue.m_RunningCount},
                   {"queued", Disp.m_Queue.m_QueuedCount},
                   {"awaiting_room", Disp.m_AwaitingRoom.size()},
                   {"budget", Disp.m_Pool.m_MaxSize},
                   {"failed_opens", Disp.m_Pool.m_FailedOpenCount},
                   {"transactions", Disp.m_Pool.m_ConnectionsByTransaction.size()},
                   {"connections", std::move(Connections)},
                   {"customers", std::move(Customers)}});
  }
  return nlohmann::json{{"dispatchers", std::move(All)}}.dump();
}

} // namespace quetzalpaddle
