// Dispatcher of instances: one fair queue, connection pool and set of requests per instance.
//
// READ, WRITE, BEGIN and RESOLVE wait in the fair queue for a slot and then take an idle
// connection. A STATEMENT of an open transaction waits for a slot in the same queue, ahead of its
// customer's other requests, and runs on the transaction's connection; if it did not wait,
// customers with many open transactions could hold every slot. COMMIT and ABORT start at once,
// since they free what the transaction holds; they count against the slots, and each needs a BEGIN
// that has waited.
//
// Request ids, connections and transactions are looked up again in every handler: a handler may run
// after its request, its dispatcher or its transaction has ended.
#include "dispatch.h"
#include "host.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

// Failed openings in a row, without any open connection, after which waiting requests are refused
// so that their entry hosts try another instance or wait for a new primary.
constexpr uint32_t OpensBeforeRefusal = 2;

// A shorter time limit that passes says more about the caller's deadline than about the instance.
constexpr Millis SilenceOfInstance{100};

// A statement that runs this long at a replaced primary is ended, so that its outcome is resolved
// at the new primary. A live former primary answers sooner by itself.
constexpr Millis ReplacedPrimaryGrace{100};

struct DispatchedRequest {
  peer::ForwardRequest m_Request;
  PeerReply<peer::ForwardReply> m_Done;
  TimePoint m_Deadline{};
  TimePoint m_StartedAt{};
  uint64_t m_Connection = 0; // 0: still queued
  uint64_t m_Term = 0;       // highest known when it started
};

struct Link {
  std::shared_ptr<InstanceConnection> m_Connection;
  std::string m_Address;
  bool m_Ending = false; // its transaction's key was withdrawn during a statement
};

struct Dispatcher {
  std::string m_Group;
  std::string m_Instance;
  std::string m_Address;
  FairQueue m_Queue;
  Pool m_Pool;
  std::map<uint64_t, Link> m_Links; // by the pool's connection id
  std::unordered_map<uint64_t, DispatchedRequest> m_Requests;
};

using DispatcherId = std::pair<std::string, std::string>; // group, instance

} // namespace

struct DispatchState {
  std::map<DispatcherId, Dispatcher> m_Dispatchers;
  uint64_t m_NextRequest = 1;
};

namespace {

using peer::Kind;

bool isNewWork(Kind K) { return K == Kind::READ || K == Kind::WRITE || K == Kind::BEGIN; }

bool isInTransaction(Kind K) {
  return K == Kind::STATEMENT || K == Kind::COMMIT || K == Kind::ABORT;
}

// Whether the request's own effect is a commit that may have happened without an answer.
bool isCommitting(Kind K) { return K == Kind::WRITE || K == Kind::COMMIT; }

peer::ForwardReply makeReply(peer::AnswerClass Class, Reason Why, std::string Message = {}) {
  peer::ForwardReply Reply;
  Reply.set_class_(Class);
  Reply.set_reason(static_cast<uint32_t>(Why));
  Reply.set_message(std::move(Message));
  return Reply;
}

// A refusal. RESOLVE asks for the outcome of an earlier write, about which a refusal says nothing:
// its class is Unknown.
peer::ForwardReply makeRefusal(Kind K, Reason Why, std::string Message = {}) {
  return makeReply(K == Kind::RESOLVE ? peer::UNKNOWN : peer::NOT_RUN, Why, std::move(Message));
}

uint64_t findTerm(const Host &H, const std::string &Group) {
  auto View = H.m_Views.find(Group);
  return View == H.m_Views.end() ? 0 : View->second.m_Term;
}

// Statements of a transaction name it, but not its instance.
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

void applyInstance(Dispatcher &D, const Instance &I, const PoolSettings &Settings) {
  D.m_Address = I.m_Address;
  D.m_Queue.m_SlotCount = std::max(1U, I.m_SlotCount);
  D.m_Pool.m_MaxSize =
      std::max(1U, static_cast<uint32_t>(I.m_ConnectionLimit * Settings.m_ConnectionShare));
}

Dispatcher &openDispatcher(Host &H, const std::string &Group, const Instance &I) {
  auto [At, IsNew] = H.m_Dispatch->m_Dispatchers.try_emplace({Group, I.m_Id});
  Dispatcher &D = At->second;
  if (IsNew) {
    D.m_Group = Group;
    D.m_Instance = I.m_Id;
    applyInstance(D, I, H.m_Settings.m_Pool);
  }
  return D;
}

// Answers a request and forgets it.
void answerRequest(Dispatcher &D, uint64_t Id, peer::ForwardReply Reply) {
  auto Found = D.m_Requests.find(Id);
  if (Found == D.m_Requests.end())
    return;
  PeerReply<peer::ForwardReply> Done = std::move(Found->second.m_Done);
  D.m_Requests.erase(Found);
  Done(std::move(Reply));
}

void refuseRequest(Dispatcher &D, uint64_t Id, Reason Why, std::string Message = {}) {
  auto Found = D.m_Requests.find(Id);
  if (Found != D.m_Requests.end())
    answerRequest(D, Id, makeRefusal(Found->second.m_Request.kind(), Why, std::move(Message)));
}

void closeLink(Dispatcher &D, uint64_t Connection) {
  auto Found = D.m_Links.find(Connection);
  if (Found == D.m_Links.end())
    return;
  std::shared_ptr<InstanceConnection> Closing = std::move(Found->second.m_Connection);
  D.m_Links.erase(Found);
  if (Closing)
    closeConnection(Closing);
}

void releaseLink(Dispatcher &D, uint64_t Connection, bool Clean, TimePoint Now) {
  auto Found = D.m_Links.find(Connection);
  Clean &= Found != D.m_Links.end() && Found->second.m_Address == D.m_Address;
  if (!releaseConnection(D.m_Pool, Connection, Clean, Now))
    closeLink(D, Connection);
}

// Closes the idle connections after one was found ended: all connections to an address share a
// channel, so that the others have ended too, and each would fail one more request.
void closeIdle(Dispatcher &D, TimePoint Now) {
  std::vector<uint64_t> Idle;
  for (const auto &[Id, C] : D.m_Pool.m_Connections)
    if (C.m_State == ConnectionState::Idle)
      Idle.push_back(Id);
  for (uint64_t Connection : Idle)
    releaseLink(D, Connection, false, Now);
}

// --- Frames and answers ---

std::string makeTransactionId(Host &H) {
  return fmt::format("{}.{:016x}{:016x}", H.m_Settings.m_Host, H.m_Rng(), H.m_Rng());
}

void setRequestId(instance::RequestId *To, const peer::ForwardRequest &Request) {
  *To = Request.request();
  To->set_customer(Request.customer()); // the checked one, whatever the request id names
}

instance::ClientFrame makeFrame(const peer::ForwardRequest &Request) {
  instance::ClientFrame Frame;
  switch (Request.kind()) {
  case Kind::READ:
  case Kind::WRITE: {
    instance::Execute *Body = Frame.mutable_execute();
    *Body->mutable_statements() = Request.statements();
    Body->set_read_only(Request.kind() == Kind::READ);
    if (Request.has_min_position())
      *Body->mutable_min_position() = Request.min_position();
    Body->set_max_age_ms(Request.max_age_ms());
    Body->set_wait_ms(Request.wait_ms());
    Body->set_on_primary(Request.on_primary() || Request.kind() == Kind::WRITE);
    if (Request.kind() == Kind::WRITE)
      setRequestId(Body->mutable_request(), Request);
    break;
  }
  case Kind::BEGIN:
    Frame.mutable_begin()->set_read_only(!Request.on_primary());
    if (Request.has_min_position())
      *Frame.mutable_begin()->mutable_min_position() = Request.min_position();
    break;
  case Kind::STATEMENT:
    *Frame.mutable_run()->mutable_statements() = Request.statements();
    break;
  case Kind::COMMIT:
    setRequestId(Frame.mutable_commit()->mutable_request(), Request);
    break;
  case Kind::RESOLVE:
    setRequestId(Frame.mutable_resolve()->mutable_request(), Request);
    break;
  default:
    Frame.mutable_abort();
  }
  return Frame;
}

peer::ForwardReply makeLinkReply(Kind K, LinkError Error) {
  if (K == Kind::ABORT) // the instance aborts the transaction when its connection ends
    return makeReply(peer::DONE, Reason::None);
  if (Error == LinkError::Unreachable)
    return makeRefusal(K, isInTransaction(K) ? Reason::TransactionAborted
                                             : Reason::InstanceUnavailable);
  if (isCommitting(K) || K == Kind::RESOLVE)
    return makeReply(peer::UNKNOWN, Reason::OutcomeUnknown);
  return makeRefusal(K, K == Kind::READ ? Reason::InstanceUnavailable : Reason::TransactionAborted);
}

Reason reasonOf(instance::Code Code) {
  switch (Code) {
  case instance::OK:
    return Reason::None;
  case instance::NOT_PRIMARY:
    return Reason::NotPrimary;
  case instance::BEHIND:
    return Reason::ReplicaBehind;
  case instance::TOO_OLD:
    return Reason::TooOld;
  case instance::STATEMENT_FAILED:
    return Reason::StatementFailed;
  case instance::REQUEST_ID_REUSED:
    return Reason::RequestIdReused;
  case instance::SUPERSEDED:
  case instance::TRANSACTION_ABORTED:
    return Reason::TransactionAborted;
  case instance::NO_MAJORITY:
    return Reason::NoMajority;
  case instance::OUTCOME_UNKNOWN:
    return Reason::OutcomeUnknown;
  case instance::NO_TRANSACTION:
    return Reason::NoTransaction;
  case instance::BAD_FRAME:
    return Reason::BadRequest;
  default: // a code of a newer protocol
    return Reason::Internal;
  }
}

// The class of an instance's answer. KnownTerm: highest known of the group.
peer::AnswerClass classOf(Kind K, const instance::ServerFrame &Frame, uint64_t KnownTerm) {
  bool Commits = isCommitting(K) || K == Kind::RESOLVE;
  bool Replaced = Frame.term() < KnownTerm;
  switch (Frame.code()) {
  case instance::OK:
    return Commits && Replaced ? peer::UNKNOWN : peer::DONE;
  case instance::SUPERSEDED: // at RESOLVE: the attempt is now ruled out by a replicated marker
    return K == Kind::RESOLVE && Replaced ? peer::UNKNOWN : peer::NOT_RUN;
  case instance::REQUEST_ID_REUSED:
    return peer::NOT_RUN;
  case instance::OUTCOME_UNKNOWN:
    return peer::UNKNOWN;
  default:
    if (K == Kind::RESOLVE || (Commits && reasonOf(Frame.code()) == Reason::Internal))
      return peer::UNKNOWN;
    return peer::NOT_RUN;
  }
}

peer::ForwardReply makeFrameReply(Kind K, const std::string &Instance, instance::ServerFrame &Frame,
                                  uint64_t KnownTerm) {
  peer::AnswerClass Class = classOf(K, Frame, KnownTerm);
  Reason Why = reasonOf(Frame.code());
  if (Class == peer::UNKNOWN && (Why == Reason::None || Why == Reason::TransactionAborted))
    Why = Reason::OutcomeUnknown; // an acknowledgement of a replaced primary
  peer::ForwardReply Reply = makeReply(Class, Why, Frame.message());
  if (Class == peer::DONE) {
    Reply.mutable_rows()->Swap(Frame.mutable_rows());
    if (Frame.has_position())
      *Reply.mutable_position() = Frame.position();
  }
  Reply.set_term(Frame.term());
  Reply.set_primary(Frame.primary() ? Instance : Frame.primary_hint());
  Reply.set_attempt(Frame.attempt());
  Reply.set_replayed(Frame.replayed());
  if (Frame.has_applied())
    *Reply.mutable_applied() = Frame.applied();
  return Reply;
}

enum class AfterAnswer { KeepPinned, Release, Close };

// What becomes of the connection. Released only if no transaction can be open on it.
AfterAnswer decideAfter(Kind K, instance::Code Code) {
  using enum AfterAnswer;
  switch (Code) {
  case instance::OK:
    return K == Kind::BEGIN || K == Kind::STATEMENT ? KeepPinned : Release;
  case instance::STATEMENT_FAILED:
  case instance::SUPERSEDED:
  case instance::NO_TRANSACTION:
  case instance::TRANSACTION_ABORTED:
    return K == Kind::BEGIN ? Close : Release;
  case instance::NOT_PRIMARY:
  case instance::BEHIND:
  case instance::TOO_OLD:
  case instance::NO_MAJORITY:
  case instance::REQUEST_ID_REUSED:
    return isInTransaction(K) ? Close : Release;
  default:
    return Close;
  }
}

void pumpQueue(Host &H, Dispatcher &D, TimePoint Now);

void finishAnswer(Host &H, Dispatcher &D, uint64_t Id,
                  std::variant<instance::ServerFrame, LinkError> Answer, TimePoint Now) {
  auto Found = D.m_Requests.find(Id);
  if (Found == D.m_Requests.end())
    return;
  DispatchedRequest &R = Found->second;
  Kind K = R.m_Request.kind();
  uint64_t Connection = R.m_Connection;
  finishRequest(D.m_Queue, R.m_Request.customer(), Now - R.m_StartedAt);
  peer::ForwardReply Reply;
  if (const LinkError *Error = std::get_if<LinkError>(&Answer)) {
    releaseLink(D, Connection, false, Now);
    if (*Error == LinkError::Unreachable)
      closeIdle(D, Now);
    if (*Error != LinkError::TimedOut || Now - R.m_StartedAt >= SilenceOfInstance)
      noteFailure(H, D.m_Group, D.m_Instance);
    Reply = makeLinkReply(K, *Error);
  } else {
    auto &Frame = std::get<instance::ServerFrame>(Answer);
    uint64_t Known = std::max(findTerm(H, D.m_Group), R.m_Request.known_term());
    AfterAnswer After = decideAfter(K, Frame.code());
    auto At = D.m_Links.find(Connection);
    bool Ending = At == D.m_Links.end() || At->second.m_Ending;
    bool Keep = After == AfterAnswer::KeepPinned && !Ending;
    Reply = makeFrameReply(K, D.m_Instance, Frame, Known);
    if (Keep) {
      Reply.set_transaction(D.m_Pool.m_Connections.at(Connection).m_Transaction);
      finishPinnedStatement(D.m_Pool, Connection, Now);
    } else {
      releaseLink(D, Connection, After == AfterAnswer::Release && !Ending, Now);
      if (K == Kind::BEGIN && Reply.class_() == peer::DONE) // the key was withdrawn meanwhile
        Reply = makeRefusal(K, Reason::KeyWithdrawn);
    }
    noteAnswer(H, D.m_Group, D.m_Instance, Reply);
  }
  answerRequest(D, Id, std::move(Reply));
}

// Sends the request's frame on a connection that is marked busy with it.
void sendRequest(Host &H, Dispatcher &D, uint64_t Id, uint64_t Connection, TimePoint Now) {
  DispatchedRequest &R = D.m_Requests.at(Id);
  R.m_Connection = Connection;
  R.m_StartedAt = Now;
  R.m_Term = findTerm(H, D.m_Group);
  std::weak_ptr<DispatchState> Weak = H.m_Dispatch;
  DispatcherId Key{D.m_Group, D.m_Instance};
  std::shared_ptr<InstanceConnection> Sending = D.m_Links.at(Connection).m_Connection;
  sendFrame(Sending, makeFrame(R.m_Request), std::max<Duration>(R.m_Deadline - Now, Millis(1)),
            [&H, Weak, Key, Id](std::variant<instance::ServerFrame, LinkError> Answer) {
              auto State = Weak.lock();
              if (!State)
                return;
              TimePoint Later = Clock::now();
              if (Dispatcher *Mine = findDispatcher(State, Key))
                finishAnswer(H, *Mine, Id, std::move(Answer), Later);
              // The answer may have led to another request; look the dispatcher up again.
              if (Dispatcher *Mine = findDispatcher(State, Key))
                pumpQueue(H, *Mine, Later);
            });
}

// The connection of a transaction for its owner's next statement, marked busy.
std::variant<uint64_t, Reason> takePinned(Dispatcher &D, const peer::ForwardRequest &Request,
                                          TimePoint Now) {
  auto Found = D.m_Pool.m_ConnectionsByTransaction.find(Request.transaction());
  if (Found == D.m_Pool.m_ConnectionsByTransaction.end() ||
      D.m_Pool.m_Connections.at(Found->second).m_KeyId != Request.key_id())
    return Reason::NoTransaction;
  return usePinnedConnection(D.m_Pool, Request.transaction(), Request.customer(), Now);
}

// Whether the request may still run.
Reason checkRequest(const Host &H, const peer::ForwardRequest &Request) {
  if (!Request.key_id().empty() && !isKeyValid(H.m_Config, Request.key_id()))
    return Reason::KeyWithdrawn;
  const Instance *I = findInstance(H, Request.group(), Request.instance());
  if (!I && !isInTransaction(Request.kind()))
    return Reason::InstanceUnavailable;
  if (I && I->m_IsLeaving && isNewWork(Request.kind()))
    return Reason::InstanceLeaving;
  if (H.m_Draining && Request.kind() == Kind::BEGIN)
    return Reason::Draining;
  return Reason::None;
}

// Takes or finds the connection of a request that has got its slot.
std::variant<uint64_t, Reason>
chooseConnection(Host &H, Dispatcher &D, const peer::ForwardRequest &Request, TimePoint Now) {
  if (Reason Why = checkRequest(H, Request); Why != Reason::None)
    return Why;
  if (isInTransaction(Request.kind()))
    return takePinned(D, Request, Now);
  std::optional<uint64_t> Connection = takeConnection(D.m_Pool, Now);
  if (!Connection)
    return Reason::InstanceUnavailable;
  if (Request.kind() != Kind::BEGIN)
    return *Connection;
  Reason Why = pinConnection(D.m_Pool, *Connection, makeTransactionId(H), Request.customer(),
                             Request.key_id(), Now);
  if (Why == Reason::None)
    return *Connection;
  releaseLink(D, *Connection, true, Now);
  return Why;
}

void startRequest(Host &H, Dispatcher &D, uint64_t Id, TimePoint Now) {
  const peer::ForwardRequest &Request = D.m_Requests.at(Id).m_Request;
  auto Chosen = chooseConnection(H, D, Request, Now);
  if (const Reason *Why = std::get_if<Reason>(&Chosen)) {
    finishRequest(D.m_Queue, Request.customer(), Duration::zero());
    refuseRequest(D, Id, *Why);
    return;
  }
  sendRequest(H, D, Id, std::get<uint64_t>(Chosen), Now);
}

void expireRequests(Host &H, Dispatcher &D, TimePoint Now) {
  for (const QueuedRequest &Q : expireQueuedRequests(D.m_Queue, Now, H.m_Settings.m_Queue))
    refuseRequest(D, Q.m_Id, Reason::QueueTimeout);
}

// --- Opening of connections ---

// Whether the last attempts to connect failed and no connection is left: the instance may be down.
bool seemsDown(const Pool &P) {
  return P.m_FailedOpenCount >= OpensBeforeRefusal &&
         std::ranges::all_of(P.m_Connections, [](const auto &Entry) {
           return Entry.second.m_State == ConnectionState::Opening;
         });
}

void finishOpen(Host &H, Dispatcher &D, uint64_t Connection, std::optional<LinkError> Error,
                TimePoint Now) {
  if (!D.m_Links.contains(Connection))
    return;
  if (!Error) {
    recordOpenSuccess(D.m_Pool, Connection, Now);
    return;
  }
  recordOpenFailure(D.m_Pool, Connection, Now, H.m_Rng);
  closeLink(D, Connection);
  // With other connections open the instance has reached its limit, and the requests wait. With
  // none it may be down; whoever sent the requests knows other instances and hosts.
  if (!seemsDown(D.m_Pool))
    return;
  noteFailure(H, D.m_Group, D.m_Instance);
  for (const QueuedRequest &Q :
       expireQueuedRequests(D.m_Queue, TimePoint::max(), H.m_Settings.m_Queue)) // all of them
    refuseRequest(D, Q.m_Id, Reason::InstanceUnavailable);
}

void openLinks(Host &H, Dispatcher &D, TimePoint Now) {
  uint32_t Free = D.m_Queue.m_SlotCount - std::min(D.m_Queue.m_SlotCount, D.m_Queue.m_RunningCount);
  uint32_t Waiting = std::min(Free, D.m_Queue.m_QueuedCount);
  std::weak_ptr<DispatchState> Weak = H.m_Dispatch;
  DispatcherId Key{D.m_Group, D.m_Instance};
  for (uint64_t Connection : planOpens(D.m_Pool, Waiting, Now, H.m_Settings.m_Pool)) {
    D.m_Links[Connection].m_Address = D.m_Address;
    auto Opened = [&H, Weak, Key, Connection](std::optional<LinkError> Error) {
      auto State = Weak.lock();
      if (!State)
        return;
      TimePoint Later = Clock::now();
      if (Dispatcher *Mine = findDispatcher(State, Key))
        finishOpen(H, *Mine, Connection, Error, Later);
      if (Dispatcher *Mine = findDispatcher(State, Key))
        pumpQueue(H, *Mine, Later);
    };
    D.m_Links[Connection].m_Connection =
        openConnection(D.m_Address, H.m_Settings.m_Pool.m_OpenTimeout, H.m_Run, Opened);
  }
}

// Starts what may run, then opens connections for what still waits.
void pumpQueue(Host &H, Dispatcher &D, TimePoint Now) {
  expireRequests(H, D, Now);
  while (true) {
    bool Idle = std::ranges::any_of(D.m_Pool.m_Connections, [](const auto &Entry) {
      return Entry.second.m_State == ConnectionState::Idle;
    });
    std::optional<QueuedRequest> Next = startNextRequest(D.m_Queue, Now, !Idle);
    if (!Next)
      break;
    startRequest(H, D, Next->m_Id, Now);
  }
  openLinks(H, D, Now);
}

// --- Parts of the tick ---

bool needsPrimary(const peer::ForwardRequest &Request) {
  return Request.kind() != Kind::READ || Request.on_primary();
}

// Ends requests that wait or hang at an instance that was replaced as primary after they came.
// Those that wait have not run; without this they would stay queued here for the queue's longest
// wait.
void endReplaced(const Host &H, Dispatcher &D, TimePoint Now) {
  auto View = H.m_Views.find(D.m_Group);
  if (View == H.m_Views.end() || View->second.m_Primary.empty() ||
      View->second.m_Primary == D.m_Instance)
    return;
  auto Misplaced = [&](const QueuedRequest &Q) {
    return !Q.m_IsPinned && needsPrimary(D.m_Requests.at(Q.m_Id).m_Request);
  };
  for (const QueuedRequest &Q : removeMatching(D.m_Queue, Misplaced))
    refuseRequest(D, Q.m_Id, Reason::NotPrimary);
  std::vector<std::shared_ptr<InstanceConnection>> Hanging;
  for (const auto &[Id, R] : D.m_Requests) {
    auto At = D.m_Links.find(R.m_Connection);
    if (needsPrimary(R.m_Request) && At != D.m_Links.end() && R.m_Term < View->second.m_Term &&
        Now - R.m_StartedAt >= ReplacedPrimaryGrace)
      Hanging.push_back(At->second.m_Connection);
  }
  for (const auto &Connection : Hanging)
    closeConnection(Connection); // the request is answered with LinkError::Closed
}

// Whether a dispatcher of an instance that is no longer configured can be removed.
bool isDone(const Host &H, const Dispatcher &D) {
  return !findInstance(H, D.m_Group, D.m_Instance) && D.m_Requests.empty() &&
         D.m_Pool.m_ConnectionsByTransaction.empty();
}

} // namespace

std::shared_ptr<DispatchState> makeDispatchState() { return std::make_shared<DispatchState>(); }

void dispatchRequest(Host &H, const peer::ForwardRequest &Request,
                     PeerReply<peer::ForwardReply> Done) {
  TimePoint Now = Clock::now();
  Kind K = Request.kind();
  if (Reason Why = checkRequest(H, Request); Why != Reason::None) {
    Done(makeRefusal(K, Why));
    return;
  }
  const Instance *I = findInstance(H, Request.group(), Request.instance());
  Dispatcher *D = nullptr;
  if (isInTransaction(K))
    D = findTransaction(*H.m_Dispatch, Request.transaction());
  else if (I)
    D = &openDispatcher(H, Request.group(), *I);
  if (!D) {
    Done(makeRefusal(K, Reason::NoTransaction));
    return;
  }
  Duration Left =
      Request.deadline_ms() ? Millis(Request.deadline_ms()) : H.m_Settings.m_Front.m_RequestTimeout;
  uint64_t Id = H.m_Dispatch->m_NextRequest++;
  DispatchedRequest Kept{Request, std::move(Done), Now + Left, {}, 0, 0};
  // During the back-off a refusal is better than a wait; after it, the next request tries again.
  if (!isInTransaction(K) && seemsDown(D->m_Pool) && Now < D->m_Pool.m_NextOpenAt) {
    Kept.m_Done(makeRefusal(K, Reason::InstanceUnavailable));
    return;
  }
  TimePoint Deadline = Kept.m_Deadline;
  D->m_Requests.emplace(Id, std::move(Kept));
  if (K == Kind::COMMIT || K == Kind::ABORT) {
    startUnqueued(D->m_Queue, Request.customer());
    startRequest(H, *D, Id, Now);
    return;
  }
  QueuedRequest Queued;
  Queued.m_Id = Id;
  Queued.m_Customer = Request.customer();
  Queued.m_KeyId = Request.key_id();
  Queued.m_Deadline = Deadline;
  Queued.m_QueuedAt = Now;
  Queued.m_IsPinned = K == Kind::STATEMENT;
  std::optional<uint64_t> Shed;
  Reason Why = enqueueRequest(D->m_Queue, Queued, Shed, H.m_Settings.m_Queue);
  if (Shed)
    refuseRequest(*D, *Shed, Reason::QueueFull);
  if (Why != Reason::None)
    refuseRequest(*D, Id, Why);
  else
    pumpQueue(H, *D, Now);
}

void endKey(Host &H, const std::string &KeyId) {
  TimePoint Now = Clock::now();
  for (auto &[Name, D] : H.m_Dispatch->m_Dispatchers) {
    for (const QueuedRequest &Q : removeRequestsOfKey(D.m_Queue, KeyId))
      refuseRequest(D, Q.m_Id, Reason::KeyWithdrawn);
    std::vector<uint64_t> Ended;
    for (const auto &[Connection, C] : D.m_Pool.m_Connections) {
      if (C.m_KeyId != KeyId || C.m_Transaction.empty())
        continue;
      if (C.m_State == ConnectionState::Pinned)
        Ended.push_back(Connection);
      else
        D.m_Links[Connection].m_Ending = true; // after the statement in progress
    }
    for (uint64_t Connection : Ended)
      releaseLink(D, Connection, false, Now);
  }
}

void tickDispatch(Host &H, TimePoint Now) {
  auto &All = H.m_Dispatch->m_Dispatchers;
  for (auto It = All.begin(); It != All.end();) {
    Dispatcher &D = It->second;
    if (const Instance *I = findInstance(H, D.m_Group, D.m_Instance))
      applyInstance(D, *I, H.m_Settings.m_Pool);
    for (uint64_t Connection : expireConnections(D.m_Pool, Now, H.m_Settings.m_Pool))
      closeLink(D, Connection);
    endReplaced(H, D, Now);
    pumpQueue(H, D, Now);
    if (isDone(H, D)) {
      while (!D.m_Links.empty())
        closeLink(D, D.m_Links.begin()->first);
      It = All.erase(It);
    } else {
      ++It;
    }
  }
}

uint32_t countInProgress(const Host &H) {
  size_t Count = 0;
  for (const auto &[Name, D] : H.m_Dispatch->m_Dispatchers) {
    Count += D.m_Requests.size();
    Count += std::ranges::count_if(D.m_Pool.m_Connections, [](const auto &Entry) {
      return Entry.second.m_State == ConnectionState::Pinned;
    });
  }
  return static_cast<uint32_t>(Count);
}

std::string dumpDispatch(const Host &H) {
  static constexpr std::array<const char *, 5> States = {"opening", "idle", "busy", "pinned",
                                                         "pinned_busy"};
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Name, D] : H.m_Dispatch->m_Dispatchers) {
    nlohmann::json Connections = nlohmann::json::object();
    for (const char *State : States)
      Connections[State] = 0;
    for (const auto &[Id, C] : D.m_Pool.m_Connections)
      Connections[States.at(static_cast<size_t>(C.m_State))] =
          Connections[States.at(static_cast<size_t>(C.m_State))].get<int>() + 1;
    nlohmann::json Customers = nlohmann::json::object();
    for (const auto &[Customer, C] : D.m_Queue.m_Customers) {
      std::chrono::duration<double, std::milli> Used = C.m_VirtualTime;
      std::chrono::duration<double, std::milli> Estimate = C.m_EstimatedDuration;
      Customers[Customer] = {{"queued", C.m_Requests.size()},
                             {"running", C.m_RunningCount},
                             {"virtual_time_ms", Used.count()},
                             {"estimate_ms", Estimate.count()}};
    }
    All.push_back({{"group", D.m_Group},
                   {"instance", D.m_Instance},
                   {"address", D.m_Address},
                   {"slots", D.m_Queue.m_SlotCount},
                   {"running", D.m_Queue.m_RunningCount},
                   {"queued", D.m_Queue.m_QueuedCount},
                   {"budget", D.m_Pool.m_MaxSize},
                   {"failed_opens", D.m_Pool.m_FailedOpenCount},
                   {"transactions", D.m_Pool.m_ConnectionsByTransaction.size()},
                   {"connections", std::move(Connections)},
                   {"customers", std::move(Customers)}});
  }
  return nlohmann::json{{"dispatchers", std::move(All)}}.dump();
}

} // namespace quetzalpaddle
