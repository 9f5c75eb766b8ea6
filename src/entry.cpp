// Handles callers' requests. A request is authorized (key, route, session token), admitted by rate
// and then tried one or more times. Each try chooses an instance and its dispatcher and runs the
// request there, locally or by forwarding it. decideNextStep() decides what follows a failed try.
// An attempt is a numbered execution of a write. It may cover several tries: the number increases
// only after a Resolve has ruled the attempt out.
//
// If the outcome of a try is unknown, it is resolved at the primary by request id before anything
// else happens: Resolve either finds the committed result or rules the attempt out. A write
// therefore runs at most once, and the answer "not run" is always true.
#include "host.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalpaddle {

namespace {

// Interval at which a request that waits for an instance or a new primary retries routing. It adds
// at most this much to the unavailability during a failover.
constexpr Millis RouteRetryInterval{5};

struct EntryRequest {
  uint64_t m_Id = 0;
  CallerRequest m_CallerRequest;
  Caller m_Identity;
  std::string m_Group;
  SessionToken m_Session;
  RequestProgress m_Progress;
  TimePoint m_StartedAt{};
  TimePoint m_WaitingSince{}; // when the request first found no instance to try; zero if never
  bool m_IsResolving = false; // an earlier try may have taken effect
  std::string m_Instance;     // instance of the current try
  std::string m_Dispatcher;
  // The last instance that failed. A write is not sent there again before it has answered a host.
  std::string m_FailedInstance;
  TimePoint m_InstanceFailedAt{};
  std::set<std::string> m_TriedInstances;
  std::set<std::string> m_TriedHosts; // dispatchers of m_Instance
  Reason m_LastReason = Reason::None;
  Millis m_RetryAfter{0}; // as the queue said that refused the last try; 0 if none did
  bool m_IsOnReplica = false;
  std::string m_ChoiceReason; // why the instance was chosen, for the state dump
  std::function<void(CallerAnswer)> m_Callback;
};

using RequestPtr = std::shared_ptr<EntryRequest>;

} // namespace

struct EntryState {
  uint64_t m_NextId = 1;
  std::map<uint64_t, RequestPtr> m_Requests; // in progress
  std::map<std::string, RetryBudget> m_CustomerBudgets;
  std::map<std::string, RetryBudget> m_InstanceBudgets;
  std::map<Reason, uint64_t> m_RefusalCounts; // answers of any class but Done, by reason
  uint64_t m_DoneCount = 0;
  uint64_t m_UnknownCount = 0;
};

std::shared_ptr<EntryState> makeEntryState() { return std::make_shared<EntryState>(); }

namespace {

void stepRequest(Host &ThisHost, const RequestPtr &Req);

bool isWrite(RequestKind Kind) { return Kind != RequestKind::Read; }

bool usesTransaction(RequestKind Kind) {
  return Kind == RequestKind::Statement || Kind == RequestKind::Commit ||
         Kind == RequestKind::Abort;
}

// Commit, abort and outcome requests do not count: they only finish work that was admitted before.
bool countsAgainstRate(RequestKind Kind) {
  return Kind == RequestKind::Read || Kind == RequestKind::Write || Kind == RequestKind::Begin ||
         Kind == RequestKind::Statement;
}

std::string makeRandomId(Random &Rng) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(32, '0');
  for (size_t Half = 0; Half < 2; ++Half) {
    uint64_t Bits = Rng();
    for (size_t I = 0; I < 16; ++I, Bits >>= 4)
      Text[Half * 16 + I] = Digits[Bits & 15];
  }
  return Text;
}

void finishRequest(Host &ThisHost, const RequestPtr &Req, CallerAnswer Answer) {
  EntryState &Entry = *ThisHost.m_Entry;
  if (Entry.m_Requests.erase(Req->m_Id) == 0)
    return;
  if (Answer.m_Class == AnswerClass::Done)
    ++Entry.m_DoneCount;
  else if (Answer.m_Class == AnswerClass::Unknown)
    ++Entry.m_UnknownCount;
  if (Answer.m_Class != AnswerClass::Done)
    ++Entry.m_RefusalCounts[Answer.m_Reason];
  Answer.m_RequestId = Req->m_CallerRequest.m_RequestId;
  Answer.m_KeyId = Req->m_Identity.m_KeyId;
  Answer.m_Instance = Req->m_Instance;
  Answer.m_IsFromReplica = Req->m_IsOnReplica;
  Answer.m_RetryAfter = Req->m_RetryAfter;
  if (Answer.m_Message.empty() && Answer.m_Class != AnswerClass::Done)
    Answer.m_Message = std::string(reasonName(Answer.m_Reason));
  if (ThisHost.m_Metrics)
    countAnswer(*ThisHost.m_Metrics, Req->m_CallerRequest.m_Route, Req->m_Identity.m_Customer,
                Answer.m_Class, Answer.m_Reason, Clock::now() - Req->m_StartedAt,
                Req->m_IsOnReplica);
  Req->m_Callback(std::move(Answer));
}

void refuseRequest(Host &ThisHost, const RequestPtr &Req, Reason ReasonCode,
                   const std::string &Message = {}) {
  CallerAnswer Answer;
  Answer.m_Class = Req->m_IsResolving ? AnswerClass::Unknown : AnswerClass::NotRun;
  Answer.m_Reason = Req->m_IsResolving ? Reason::OutcomeUnknown : ReasonCode;
  Answer.m_Message = Message;
  finishRequest(ThisHost, Req, std::move(Answer));
}

void answerWithReply(Host &ThisHost, const RequestPtr &Req, peer::ForwardReply Reply) {
  CallerAnswer Answer;
  Answer.m_Class = static_cast<AnswerClass>(Reply.class_());
  Answer.m_Reason = static_cast<Reason>(Reply.reason());
  Answer.m_Message = Reply.message();
  Answer.m_Rows.assign(std::make_move_iterator(Reply.mutable_rows()->begin()),
                       std::make_move_iterator(Reply.mutable_rows()->end()));
  Answer.m_IsReplayed = Reply.replayed();
  Answer.m_Transaction = Reply.transaction();
  if (Answer.m_Class == AnswerClass::Done && Reply.has_position())
    advancePosition(Req->m_Session, Req->m_Group,
                    {Reply.position().term(), Reply.position().index()});
  Answer.m_Token = encodeToken(Req->m_Session, ThisHost.m_Settings.m_TokenSecret);
  finishRequest(ThisHost, Req, std::move(Answer));
}

void scheduleRetry(Host &ThisHost, const RequestPtr &Req) {
  ThisHost.m_RunAfter(RouteRetryInterval, [&ThisHost, Req] { stepRequest(ThisHost, Req); });
}

// Retries routing after RouteRetryInterval, for at most the maximum wait of the queue.
void waitForInstance(Host &ThisHost, const RequestPtr &Req, Reason ReasonCode, TimePoint Now) {
  if (Req->m_WaitingSince == TimePoint{})
    Req->m_WaitingSince = Now;
  Req->m_LastReason = ReasonCode;
  if (ReasonCode == Reason::InstanceUnavailable && !Req->m_Instance.empty()) {
    Req->m_FailedInstance = Req->m_Instance;
    Req->m_InstanceFailedAt = Now;
  }
  Req->m_TriedInstances.clear();
  Req->m_TriedHosts.clear();
  Req->m_Instance.clear();
  if (Now - Req->m_WaitingSince >= ThisHost.m_Settings.m_Queue.m_MaxWait) {
    refuseRequest(ThisHost, Req, ReasonCode);
    return;
  }
  scheduleRetry(ThisHost, Req);
}

peer::Kind chooseKind(const EntryRequest &Req) {
  if (Req.m_IsResolving)
    return peer::RESOLVE;
  switch (Req.m_CallerRequest.m_Kind) {
  case RequestKind::Read:
    return peer::READ;
  case RequestKind::Write:
    return peer::WRITE;
  case RequestKind::Begin:
    return peer::BEGIN;
  case RequestKind::Statement:
    return peer::STATEMENT;
  case RequestKind::Commit:
    return peer::COMMIT;
  case RequestKind::Abort:
    return peer::ABORT;
  case RequestKind::Outcome:
    return peer::RESOLVE;
  }
  return peer::READ;
}

peer::ForwardRequest makeForward(const Host &ThisHost, const EntryRequest &Req,
                                 const RouteChoice &Choice, TimePoint Now) {
  using std::chrono::duration_cast;
  peer::ForwardRequest Forward;
  Forward.set_kind(chooseKind(Req));
  Forward.set_group(Req.m_Group);
  Forward.set_instance(Req.m_Instance);
  Forward.set_customer(Req.m_Identity.m_Customer);
  Forward.set_key_id(Req.m_Identity.m_KeyId);
  Forward.mutable_statements()->Assign(Req.m_CallerRequest.m_Statements.begin(),
                                       Req.m_CallerRequest.m_Statements.end());
  if (auto SeenPosition = Req.m_Session.m_Positions.find(Req.m_Group);
      SeenPosition != Req.m_Session.m_Positions.end()) {
    Forward.mutable_min_position()->set_term(SeenPosition->second.m_Term);
    Forward.mutable_min_position()->set_index(SeenPosition->second.m_Index);
  }
  if (Req.m_CallerRequest.m_MaxAge)
    Forward.set_max_age_ms(static_cast<uint32_t>(Req.m_CallerRequest.m_MaxAge->count()));
  Forward.set_on_primary(Choice.m_RequiresPrimary);
  if (isWrite(Req.m_CallerRequest.m_Kind)) {
    instance::RequestId &Id = *Forward.mutable_request();
    Id.set_customer(Req.m_Identity.m_Customer);
    Id.set_id(Req.m_CallerRequest.m_RequestId);
    Id.set_body_hash(Req.m_CallerRequest.m_BodyHash);
    Id.set_attempt(Req.m_Progress.m_AttemptNumber);
  }
  Forward.set_transaction(Req.m_CallerRequest.m_Transaction);
  Forward.set_deadline_ms(static_cast<uint32_t>(
      std::max<int64_t>(1, duration_cast<Millis>(Req.m_Progress.m_Deadline - Now).count())));
  if (auto View = ThisHost.m_Views.find(Req.m_Group); View != ThisHost.m_Views.end())
    Forward.set_known_term(View->second.m_Term);
  Forward.set_wait_ms(static_cast<uint32_t>(duration_cast<Millis>(Choice.m_PositionWait).count()));
  return Forward;
}

// Returns whether the request is a read at an instance other than the group's primary.
bool isReadFromReplica(const Host &ThisHost, const EntryRequest &Req) {
  auto View = ThisHost.m_Views.find(Req.m_Group);
  return Req.m_CallerRequest.m_Kind == RequestKind::Read && View != ThisHost.m_Views.end() &&
         View->second.m_Primary != Req.m_Instance;
}

bool takeRetries(Host &ThisHost, const EntryRequest &Req, TimePoint Now) {
  return takeRetry(ThisHost.m_Entry->m_CustomerBudgets[Req.m_Identity.m_Customer], Now) &&
         takeRetry(ThisHost.m_Entry->m_InstanceBudgets[Req.m_Instance], Now);
}

// Returns whether a write has to wait because its instance failed and has not answered any host
// since. Without this check, writes that wait for a promotion would be sent to the failed primary
// at every retry.
bool awaitsInstanceContact(const Host &ThisHost, const EntryRequest &Req,
                           const std::string &Instance) {
  if (!isWrite(Req.m_CallerRequest.m_Kind) || Instance != Req.m_FailedInstance)
    return false;
  const auto &Instances = ThisHost.m_Views.at(Req.m_Group).m_Instances;
  auto Known = Instances.find(Instance);
  return Known == Instances.end() || Known->second.m_LastSeenAt <= Req.m_InstanceFailedAt;
}

// Handles an answer saying that a Resolve of this or another host has ruled out the attempt. A
// write is retried under the next attempt number; any other request has not run and is refused.
void handleSuperseded(Host &ThisHost, const RequestPtr &Req, const peer::ForwardReply &Reply) {
  Req->m_IsResolving = false;
  if (Req->m_CallerRequest.m_Kind != RequestKind::Write) {
    refuseRequest(ThisHost, Req, Reason::TransactionAborted);
    return;
  }
  Req->m_Progress.m_AttemptNumber = Reply.attempt() + 1;
  stepRequest(ThisHost, Req);
}

void handleReply(Host &ThisHost, const RequestPtr &Req, peer::ForwardReply Reply) {
  if (!ThisHost.m_Entry->m_Requests.contains(Req->m_Id))
    return;
  TimePoint Now = Clock::now();
  Reason ReasonCode = static_cast<Reason>(Reply.reason());
  auto Class = static_cast<AnswerClass>(Reply.class_());
  Req->m_LastReason = ReasonCode;
  Req->m_RetryAfter = Millis(Reply.retry_ms());
  Req->m_IsOnReplica = isReadFromReplica(ThisHost, *Req);
  if (Class == AnswerClass::NotRun && Reply.attempt() >= Req->m_Progress.m_AttemptNumber) {
    handleSuperseded(ThisHost, Req, Reply);
    return;
  }
  // The transaction does not exist. The commit may be a repetition of one that succeeded.
  if (Req->m_CallerRequest.m_Kind == RequestKind::Commit && ReasonCode == Reason::NoTransaction) {
    Req->m_IsResolving = true;
    stepRequest(ThisHost, Req);
    return;
  }
  // A failed Resolve does not show the outcome of the try before it, except if the request id
  // belongs to a request with another body.
  if (Req->m_IsResolving && Class == AnswerClass::NotRun && ReasonCode == Reason::RequestIdReused)
    Req->m_IsResolving = false;
  if (Req->m_IsResolving && Class != AnswerClass::Done) {
    Req->m_TriedInstances.insert(Req->m_Instance);
    waitForInstance(ThisHost, Req, ReasonCode, Now);
    return;
  }
  switch (decideNextStep(Req->m_Progress, Class, ReasonCode, Now)) {
  case NextStep::Answer:
    answerWithReply(ThisHost, Req, std::move(Reply));
    return;
  case NextStep::RetryElsewhere:
    if (!takeRetries(ThisHost, *Req, Now)) {
      // When a primary fails, all writes of its group fail at once and exceed the retry budget.
      // They wait for the next primary instead.
      if (ReasonCode == Reason::InstanceUnavailable && isWrite(Req->m_CallerRequest.m_Kind)) {
        waitForInstance(ThisHost, Req, ReasonCode, Now);
        return;
      }
      refuseRequest(ThisHost, Req, Reason::RetryBudgetSpent, std::string(reasonName(ReasonCode)));
      return;
    }
    if (ThisHost.m_Metrics)
      countRetry(*ThisHost.m_Metrics, ReasonCode);
    if (ReasonCode == Reason::HostUnavailable)
      Req->m_TriedHosts.insert(Req->m_Dispatcher);
    else
      Req->m_TriedInstances.insert(Req->m_Instance);
    stepRequest(ThisHost, Req);
    return;
  case NextStep::WaitForPrimary:
    waitForInstance(ThisHost, Req, ReasonCode, Now);
    return;
  case NextStep::Resolve:
    Req->m_IsResolving = true;
    stepRequest(ThisHost, Req);
    return;
  }
}

peer::ForwardReply makePeerErrorReply(const EntryRequest &Req, PeerError Error) {
  peer::ForwardReply Reply;
  bool MayHaveRun = Error == PeerError::Unanswered && isWrite(Req.m_CallerRequest.m_Kind) &&
                    Req.m_CallerRequest.m_Kind != RequestKind::Begin;
  Reply.set_class_(MayHaveRun ? peer::UNKNOWN : peer::NOT_RUN);
  Reply.set_reason(
      static_cast<uint32_t>(MayHaveRun ? Reason::OutcomeUnknown : Reason::HostUnavailable));
  return Reply;
}

void runTry(Host &ThisHost, const RequestPtr &Req, const RouteChoice &Choice, TimePoint Now) {
  ++Req->m_Progress.m_TryCount;
  if (!Req->m_Instance.empty())
    countRequest(ThisHost.m_Entry->m_InstanceBudgets[Req->m_Instance], Now);
  peer::ForwardRequest Forward = makeForward(ThisHost, *Req, Choice, Now);
  if (Req->m_Dispatcher == ThisHost.m_Members.m_Self) {
    dispatchRequest(ThisHost, std::move(Forward), [&ThisHost, Req](peer::ForwardReply Reply) {
      handleReply(ThisHost, Req, std::move(Reply));
    });
    return;
  }
  std::string Address = ThisHost.m_Members.m_Hosts.at(Req->m_Dispatcher).m_Address;
  callForward(*ThisHost.m_PeerLinks, Address, Forward, Req->m_Progress.m_Deadline - Now,
              [&ThisHost, Req,
               HostId = Req->m_Dispatcher](std::variant<peer::ForwardReply, PeerError> Result) {
                if (auto *Reply = std::get_if<peer::ForwardReply>(&Result)) {
                  recordInstanceReply(ThisHost, Req->m_Group, Req->m_Instance, *Reply);
                  handleReply(ThisHost, Req, std::move(*Reply));
                  return;
                }
                if (auto At = ThisHost.m_Members.m_Hosts.find(HostId);
                    At != ThisHost.m_Members.m_Hosts.end())
                  At->second.m_LastFailedAt = Clock::now();
                handleReply(ThisHost, Req, makePeerErrorReply(*Req, std::get<PeerError>(Result)));
              });
}

// Sends a request in a transaction to the host that holds the transaction's connection. The id of
// the transaction starts with the name of that host.
void stepTransaction(Host &ThisHost, const RequestPtr &Req, TimePoint Now) {
  Req->m_Dispatcher =
      Req->m_CallerRequest.m_Transaction.substr(0, Req->m_CallerRequest.m_Transaction.rfind('.'));
  if (!ThisHost.m_Members.m_Hosts.contains(Req->m_Dispatcher)) {
    refuseRequest(ThisHost, Req, Reason::NoTransaction);
    return;
  }
  if (Req->m_Progress.m_TryCount > 0 && Req->m_LastReason == Reason::HostUnavailable) {
    refuseRequest(ThisHost, Req, Reason::HostUnavailable);
    return;
  }
  runTry(ThisHost, Req, {}, Now);
}

RouteChoice chooseInstance(Host &ThisHost, const EntryRequest &Req, const Group &G, TimePoint Now) {
  const GroupView &View = ThisHost.m_Views[Req.m_Group];
  if (Req.m_CallerRequest.m_Kind != RequestKind::Read)
    return chooseForWrite(G, View, Now);
  ReadRequirement Need;
  auto SeenPosition = Req.m_Session.m_Positions.find(Req.m_Group);
  if (SeenPosition != Req.m_Session.m_Positions.end()) {
    Need.m_Mode = ReadMode::Session;
    Need.m_Position = SeenPosition->second;
  }
  // A partial token may have omitted this group's position. Then only the primary is certain to
  // have the session's data.
  bool HasLostPosition =
      Req.m_Session.m_IsPartial && SeenPosition == Req.m_Session.m_Positions.end();
  if (Req.m_CallerRequest.m_MaxAge && !HasLostPosition) {
    Need.m_Mode = ReadMode::MaxAge;
    Need.m_MaxAge = *Req.m_CallerRequest.m_MaxAge;
  }
  return chooseForRead(G, View, ThisHost.m_Members.m_DataCentre, Need, Req.m_TriedInstances, Now,
                       ThisHost.m_Rng, ThisHost.m_Settings.m_Route);
}

void stepRequest(Host &ThisHost, const RequestPtr &Req) {
  if (!ThisHost.m_Entry->m_Requests.contains(Req->m_Id))
    return;
  TimePoint Now = Clock::now();
  if (Now >= Req->m_Progress.m_Deadline) {
    refuseRequest(ThisHost, Req,
                  Req->m_LastReason == Reason::None ? Reason::QueueTimeout : Req->m_LastReason);
    return;
  }
  if (!Req->m_Identity.m_KeyId.empty() && !isKeyValid(ThisHost.m_Config, Req->m_Identity.m_KeyId)) {
    refuseRequest(ThisHost, Req, Reason::KeyWithdrawn);
    return;
  }
  if (usesTransaction(Req->m_CallerRequest.m_Kind) && !Req->m_IsResolving) {
    stepTransaction(ThisHost, Req, Now);
    return;
  }
  auto Group = ThisHost.m_Config.m_Groups.find(Req->m_Group);
  if (Group == ThisHost.m_Config.m_Groups.end()) {
    refuseRequest(ThisHost, Req, Reason::NoRoute, "the route's group does not exist");
    return;
  }
  RouteChoice Choice = chooseInstance(ThisHost, *Req, Group->second, Now);
  const Instance *Target = findInstance(ThisHost, Req->m_Group, Choice.m_Instance);
  if (!Target) {
    waitForInstance(ThisHost, Req, Choice.m_RefusalReason, Now);
    return;
  }
  if (awaitsInstanceContact(ThisHost, *Req, Choice.m_Instance)) {
    waitForInstance(ThisHost, Req, Reason::InstanceUnavailable, Now);
    return;
  }
  if (Req->m_Instance != Choice.m_Instance)
    Req->m_TriedHosts.clear();
  Req->m_Instance = Choice.m_Instance;
  Req->m_ChoiceReason = Choice.m_ChoiceReason;
  Req->m_Dispatcher = chooseDispatcher(ThisHost.m_Members, *Target, Req->m_TriedHosts, Now,
                                       ThisHost.m_Settings.m_Membership);
  if (Req->m_Dispatcher.empty()) {
    Req->m_TriedInstances.insert(Req->m_Instance);
    waitForInstance(ThisHost, Req, Reason::HostUnavailable, Now);
    return;
  }
  runTry(ThisHost, Req, Choice, Now);
}

void handleAdmission(Host &ThisHost, const RequestPtr &Req, Reason ReasonCode) {
  if (ReasonCode != Reason::None) {
    refuseRequest(ThisHost, Req, ReasonCode);
    return;
  }
  countRequest(ThisHost.m_Entry->m_CustomerBudgets[Req->m_Identity.m_Customer], Clock::now());
  stepRequest(ThisHost, Req);
}

// Checks key, route and session token. Returns the refusal reason, or None.
Reason checkRequest(Host &ThisHost, EntryRequest &Req) {
  std::string Key = std::move(Req.m_CallerRequest.m_KeyText);
  if (!Key.empty() && isCutOff(ThisHost, Req.m_StartedAt))
    return Reason::Isolated;
  auto Checked =
      authorizeCaller(ThisHost.m_Config, Req.m_CallerRequest.m_Route, Key,
                      isWrite(Req.m_CallerRequest.m_Kind), ThisHost.m_Settings.m_KeyPepper);
  std::ranges::fill(Key, '\0');
  if (const Reason *ReasonCode = std::get_if<Reason>(&Checked))
    return *ReasonCode;
  Req.m_Identity = std::get<Caller>(Checked);
  Req.m_Group = ThisHost.m_Config.m_Routes.at(Req.m_CallerRequest.m_Route).m_Group;
  if (Req.m_CallerRequest.m_Token.empty()) {
    Req.m_Session.m_Customer = Req.m_Identity.m_Customer;
    return Reason::None;
  }
  auto Opened = decodeToken(Req.m_CallerRequest.m_Token, Req.m_Identity.m_Customer,
                            ThisHost.m_Settings.m_TokenSecret);
  if (!std::holds_alternative<SessionToken>(Opened))
    return Reason::BadToken;
  Req.m_Session = std::get<SessionToken>(Opened);
  return Reason::None;
}

void beginRequest(Host &ThisHost, const RequestPtr &Req) {
  EntryState &Entry = *ThisHost.m_Entry;
  Req->m_Id = Entry.m_NextId++;
  Entry.m_Requests.emplace(Req->m_Id, Req);
  if (Entry.m_Requests.size() > ThisHost.m_Settings.m_Front.m_MaxInProgress) {
    refuseRequest(ThisHost, Req, Reason::Overloaded);
    return;
  }
  if (Reason ReasonCode = checkRequest(ThisHost, *Req); ReasonCode != Reason::None) {
    refuseRequest(ThisHost, Req, ReasonCode);
    return;
  }
  Millis Timeout = std::min(
      Req->m_CallerRequest.m_Timeout.value_or(ThisHost.m_Settings.m_Front.m_RequestTimeout),
      ThisHost.m_Settings.m_Front.m_MaxRequestTimeout);
  Req->m_Progress.m_IsWrite = isWrite(Req->m_CallerRequest.m_Kind);
  Req->m_Progress.m_IsInTransaction = usesTransaction(Req->m_CallerRequest.m_Kind);
  Req->m_Progress.m_Deadline = Req->m_StartedAt + Timeout;
  if (Req->m_CallerRequest.m_Kind == RequestKind::Outcome &&
      Req->m_CallerRequest.m_RequestId.empty()) {
    refuseRequest(ThisHost, Req, Reason::BadRequest, "a request id is needed");
    return;
  }
  if (isWrite(Req->m_CallerRequest.m_Kind) && Req->m_CallerRequest.m_RequestId.empty())
    Req->m_CallerRequest.m_RequestId = makeRandomId(ThisHost.m_Rng);
  // Callers without a key have no rate of their own; they share one queue at each instance.
  if (Req->m_Identity.m_Customer.empty() || !countsAgainstRate(Req->m_CallerRequest.m_Kind)) {
    handleAdmission(ThisHost, Req, Reason::None);
    return;
  }
  admitByRate(ThisHost, Req->m_Identity.m_Customer,
              [&ThisHost, Req](Reason ReasonCode) { handleAdmission(ThisHost, Req, ReasonCode); });
}

} // namespace

void handleRequest(Host &ThisHost, CallerRequest Request,
                   std::function<void(CallerAnswer)> Callback) {
  auto Req = std::make_shared<EntryRequest>();
  Req->m_CallerRequest = std::move(Request);
  Req->m_Callback = std::move(Callback);
  Req->m_StartedAt = Clock::now();
  ThisHost.m_Run([&ThisHost, Req] { beginRequest(ThisHost, Req); });
}

size_t countUnanswered(const Host &ThisHost) { return ThisHost.m_Entry->m_Requests.size(); }

std::string dumpEntry(const Host &ThisHost) {
  using nlohmann::json;
  const EntryState &Entry = *ThisHost.m_Entry;
  json Dump = {{"in_progress", Entry.m_Requests.size()},
               {"done", Entry.m_DoneCount},
               {"unknown", Entry.m_UnknownCount},
               {"refusals", json::object()},
               {"requests", json::array()}};
  for (const auto &[ReasonCode, Count] : Entry.m_RefusalCounts)
    Dump["refusals"][std::string(reasonName(ReasonCode))] = Count;
  TimePoint Now = Clock::now();
  for (const auto &[Id, Req] : Entry.m_Requests) {
    if (Dump["requests"].size() >= 100)
      break;
    Dump["requests"].push_back(
        {{"route", Req->m_CallerRequest.m_Route},
         {"customer", Req->m_Identity.m_Customer},
         {"instance", Req->m_Instance},
         {"dispatcher", Req->m_Dispatcher},
         {"why", Req->m_ChoiceReason},
         {"tries", Req->m_Progress.m_TryCount},
         {"last_reason", reasonName(Req->m_LastReason)},
         {"resolving", Req->m_IsResolving},
         {"age_ms", std::chrono::duration_cast<Millis>(Now - Req->m_StartedAt).count()}});
  }
  return Dump.dump();
}

} // namespace quetzalpaddle
