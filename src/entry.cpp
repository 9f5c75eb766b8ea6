// Entry of requests. A request goes through the checks (key, route, session token), admission by
// rate, and then one or more tries: choose an instance, choose its dispatcher, run there or
// forward. What follows a failed try is decided by decideNextStep(). A try whose outcome is unknown
// is resolved at the primary by request id before anything else is done, so that a refusal "not
// run" is true and a write runs at most once: Resolve either finds the committed result or rules
// the attempt out.
#include "host.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalpaddle {

namespace {

// How often a request that waits for a primary or an instance looks again. Adds at most this much
// to the gap in service of a failover.
constexpr Millis LookAgainAfter{5};

struct EntryRequest {
  uint64_t m_Id = 0;
  CallerRequest m_Caller;
  Caller m_Who;
  std::string m_Group;
  SessionToken m_Session;
  RequestProgress m_Progress;
  TimePoint m_StartedAt{};
  TimePoint m_WaitingSince{}; // without an instance to try; zero while there is one
  bool m_Resolving = false;   // an earlier try may have taken effect
  std::string m_Instance;     // of the running try
  std::string m_Dispatcher;
  std::string m_SilentInstance; // it has failed; a write is not sent there again without news of it
  TimePoint m_SilentSince{};
  std::set<std::string> m_TriedInstances;
  std::set<std::string> m_TriedHosts; // dispatchers of m_Instance
  Reason m_LastReason = Reason::None;
  bool m_OnReplica = false;
  std::string m_Why; // reason for the choice of the instance
  std::function<void(CallerAnswer)> m_Done;
};

using RequestPtr = std::shared_ptr<EntryRequest>;

} // namespace

struct EntryState {
  uint64_t m_NextId = 1;
  std::map<uint64_t, RequestPtr> m_Requests; // in progress
  std::map<std::string, RetryBudget> m_CustomerBudgets;
  std::map<std::string, RetryBudget> m_InstanceBudgets;
  std::map<Reason, uint64_t> m_Refusals;
  uint64_t m_Done = 0;
  uint64_t m_Unknown = 0;
};

std::shared_ptr<EntryState> makeEntryState() { return std::make_shared<EntryState>(); }

namespace {

void stepRequest(Host &H, const RequestPtr &R);

bool isWrite(RequestKind Kind) { return Kind != RequestKind::Read; }

bool usesTransaction(RequestKind Kind) {
  return Kind == RequestKind::Statement || Kind == RequestKind::Commit ||
         Kind == RequestKind::Abort;
}

// Commit, abort and the question for an outcome only end what was admitted before.
bool countsAgainstRate(RequestKind Kind) {
  return Kind == RequestKind::Read || Kind == RequestKind::Write || Kind == RequestKind::Begin ||
         Kind == RequestKind::Statement;
}

std::string randomId(Random &Rng) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(32, '0');
  for (size_t Half = 0; Half < 2; ++Half) {
    uint64_t Bits = Rng();
    for (size_t I = 0; I < 16; ++I, Bits >>= 4)
      Text[Half * 16 + I] = Digits[Bits & 15];
  }
  return Text;
}

void finishRequest(Host &H, const RequestPtr &R, CallerAnswer Answer) {
  EntryState &Entry = *H.m_Entry;
  if (Entry.m_Requests.erase(R->m_Id) == 0)
    return;
  if (Answer.m_Class == AnswerClass::Done)
    ++Entry.m_Done;
  else if (Answer.m_Class == AnswerClass::Unknown)
    ++Entry.m_Unknown;
  if (Answer.m_Class != AnswerClass::Done)
    ++Entry.m_Refusals[Answer.m_Reason];
  Answer.m_RequestId = R->m_Caller.m_RequestId;
  Answer.m_KeyId = R->m_Who.m_KeyId;
  Answer.m_Instance = R->m_Instance;
  Answer.m_Replica = R->m_OnReplica;
  if (Answer.m_Message.empty() && Answer.m_Class != AnswerClass::Done)
    Answer.m_Message = std::string(reasonName(Answer.m_Reason));
  if (H.m_Metrics)
    countAnswer(*H.m_Metrics, R->m_Caller.m_Route, R->m_Who.m_Customer, Answer.m_Class,
                Answer.m_Reason, Clock::now() - R->m_StartedAt, R->m_OnReplica);
  R->m_Done(std::move(Answer));
}

void refuseRequest(Host &H, const RequestPtr &R, Reason Why, const std::string &Message = {}) {
  CallerAnswer Answer;
  Answer.m_Class = R->m_Resolving ? AnswerClass::Unknown : AnswerClass::NotRun;
  Answer.m_Reason = R->m_Resolving ? Reason::OutcomeUnknown : Why;
  Answer.m_Message = Message;
  finishRequest(H, R, std::move(Answer));
}

void acceptReply(Host &H, const RequestPtr &R, const peer::ForwardReply &Reply) {
  CallerAnswer Answer;
  Answer.m_Class = static_cast<AnswerClass>(Reply.class_());
  Answer.m_Reason = static_cast<Reason>(Reply.reason());
  Answer.m_Message = Reply.message();
  Answer.m_Rows.assign(Reply.rows().begin(), Reply.rows().end());
  Answer.m_Replayed = Reply.replayed();
  Answer.m_Transaction = Reply.transaction();
  if (Answer.m_Class == AnswerClass::Done && Reply.has_position())
    advancePosition(R->m_Session, R->m_Group, {Reply.position().term(), Reply.position().index()});
  Answer.m_Token = encodeToken(R->m_Session, H.m_Settings.m_TokenSecret);
  finishRequest(H, R, std::move(Answer));
}

void lookAgain(Host &H, const RequestPtr &R) {
  H.m_RunAfter(LookAgainAfter, [&H, R] { stepRequest(H, R); });
}

// Waits for an instance to try, at most as long as a request may wait in a queue.
void waitForInstance(Host &H, const RequestPtr &R, Reason Why, TimePoint Now) {
  if (R->m_WaitingSince == TimePoint{})
    R->m_WaitingSince = Now;
  R->m_LastReason = Why;
  if (Why == Reason::InstanceUnavailable && !R->m_Instance.empty()) {
    R->m_SilentInstance = R->m_Instance;
    R->m_SilentSince = Now;
  }
  R->m_TriedInstances.clear();
  R->m_TriedHosts.clear();
  R->m_Instance.clear();
  if (Now - R->m_WaitingSince >= H.m_Settings.m_Queue.m_MaxWait) {
    refuseRequest(H, R, Why);
    return;
  }
  lookAgain(H, R);
}

peer::Kind kindOfTry(const EntryRequest &R) {
  if (R.m_Resolving)
    return peer::RESOLVE;
  switch (R.m_Caller.m_Kind) {
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

peer::ForwardRequest makeForward(const Host &H, const EntryRequest &R, const RouteChoice &Choice,
                                 TimePoint Now) {
  using std::chrono::duration_cast;
  peer::ForwardRequest Forward;
  Forward.set_kind(kindOfTry(R));
  Forward.set_group(R.m_Group);
  Forward.set_instance(R.m_Instance);
  Forward.set_customer(R.m_Who.m_Customer);
  Forward.set_key_id(R.m_Who.m_KeyId);
  Forward.mutable_statements()->Assign(R.m_Caller.m_Statements.begin(),
                                       R.m_Caller.m_Statements.end());
  if (auto Seen = R.m_Session.m_Positions.find(R.m_Group); Seen != R.m_Session.m_Positions.end()) {
    Forward.mutable_min_position()->set_term(Seen->second.m_Term);
    Forward.mutable_min_position()->set_index(Seen->second.m_Index);
  }
  if (R.m_Caller.m_MaxAge)
    Forward.set_max_age_ms(static_cast<uint32_t>(R.m_Caller.m_MaxAge->count()));
  Forward.set_on_primary(Choice.m_RequiresPrimary);
  if (isWrite(R.m_Caller.m_Kind)) {
    instance::RequestId &Id = *Forward.mutable_request();
    Id.set_customer(R.m_Who.m_Customer);
    Id.set_id(R.m_Caller.m_RequestId);
    Id.set_body_hash(R.m_Caller.m_BodyHash);
    Id.set_attempt(R.m_Progress.m_AttemptNumber);
  }
  Forward.set_transaction(R.m_Caller.m_Transaction);
  Forward.set_deadline_ms(static_cast<uint32_t>(
      std::max<int64_t>(1, duration_cast<Millis>(R.m_Progress.m_Deadline - Now).count())));
  if (auto View = H.m_Views.find(R.m_Group); View != H.m_Views.end())
    Forward.set_known_term(View->second.m_Term);
  Forward.set_wait_ms(static_cast<uint32_t>(duration_cast<Millis>(Choice.m_PositionWait).count()));
  return Forward;
}

// The instance a caller's answer came from is a replica if it is not the group's primary.
bool isReplica(const Host &H, const EntryRequest &R) {
  auto View = H.m_Views.find(R.m_Group);
  return R.m_Caller.m_Kind == RequestKind::Read && View != H.m_Views.end() &&
         View->second.m_Primary != R.m_Instance;
}

bool takeRetries(Host &H, const EntryRequest &R, TimePoint Now) {
  return takeRetry(H.m_Entry->m_CustomerBudgets[R.m_Who.m_Customer], Now) &&
         takeRetry(H.m_Entry->m_InstanceBudgets[R.m_Instance], Now);
}

// Only the primary can take a write. Without this, writes that wait for a promotion would be sent
// to the failed primary again at every look.
bool awaitsNews(const Host &H, const EntryRequest &R, const std::string &Instance) {
  if (!isWrite(R.m_Caller.m_Kind) || Instance != R.m_SilentInstance)
    return false;
  const auto &Instances = H.m_Views.at(R.m_Group).m_Instances;
  auto Known = Instances.find(Instance);
  return Known == Instances.end() || Known->second.m_LastSeenAt <= R.m_SilentSince;
}

// An instance has ruled out this attempt, by a Resolve of this or another host. A write runs again
// under the next number; anything else has surely not run.
void handleSuperseded(Host &H, const RequestPtr &R, const peer::ForwardReply &Reply) {
  R->m_Resolving = false;
  if (R->m_Caller.m_Kind != RequestKind::Write) {
    refuseRequest(H, R, Reason::TransactionAborted);
    return;
  }
  R->m_Progress.m_AttemptNumber = Reply.attempt() + 1;
  stepRequest(H, R);
}

void handleReply(Host &H, const RequestPtr &R, const peer::ForwardReply &Reply) {
  if (!H.m_Entry->m_Requests.contains(R->m_Id))
    return;
  TimePoint Now = Clock::now();
  Reason Why = static_cast<Reason>(Reply.reason());
  auto Class = static_cast<AnswerClass>(Reply.class_());
  R->m_LastReason = Why;
  R->m_OnReplica = isReplica(H, *R);
  if (Class == AnswerClass::NotRun && Reply.attempt() >= R->m_Progress.m_AttemptNumber) {
    handleSuperseded(H, R, Reply);
    return;
  }
  // A commit of a transaction that is gone may be a repeated one.
  if (R->m_Caller.m_Kind == RequestKind::Commit && Why == Reason::NoTransaction) {
    R->m_Resolving = true;
    stepRequest(H, R);
    return;
  }
  // A failed try to resolve tells nothing about the try before it, unless another body has the id.
  if (R->m_Resolving && Class == AnswerClass::NotRun && Why == Reason::RequestIdReused)
    R->m_Resolving = false;
  if (R->m_Resolving && Class != AnswerClass::Done) {
    R->m_TriedInstances.insert(R->m_Instance);
    waitForInstance(H, R, Why, Now);
    return;
  }
  switch (decideNextStep(R->m_Progress, Class, Why, Now)) {
  case NextStep::Answer:
    acceptReply(H, R, Reply);
    return;
  case NextStep::RetryElsewhere:
    if (!takeRetries(H, *R, Now)) {
      // All writes of a group fail at once when its primary does. They wait for the next one.
      if (Why == Reason::InstanceUnavailable && isWrite(R->m_Caller.m_Kind)) {
        waitForInstance(H, R, Why, Now);
        return;
      }
      refuseRequest(H, R, Reason::RetryBudgetSpent, std::string(reasonName(Why)));
      return;
    }
    if (H.m_Metrics)
      countRetry(*H.m_Metrics, Why);
    if (Why == Reason::HostUnavailable)
      R->m_TriedHosts.insert(R->m_Dispatcher);
    else
      R->m_TriedInstances.insert(R->m_Instance);
    stepRequest(H, R);
    return;
  case NextStep::WaitForPrimary:
    waitForInstance(H, R, Why, Now);
    return;
  case NextStep::Resolve:
    R->m_Resolving = true;
    stepRequest(H, R);
    return;
  }
}

peer::ForwardReply replyOfPeerError(const EntryRequest &R, PeerError Error) {
  peer::ForwardReply Reply;
  bool MayHaveRun = Error == PeerError::Unanswered && isWrite(R.m_Caller.m_Kind) &&
                    R.m_Caller.m_Kind != RequestKind::Begin;
  Reply.set_class_(MayHaveRun ? peer::UNKNOWN : peer::NOT_RUN);
  Reply.set_reason(
      static_cast<uint32_t>(MayHaveRun ? Reason::OutcomeUnknown : Reason::HostUnavailable));
  return Reply;
}

void runTry(Host &H, const RequestPtr &R, const RouteChoice &Choice, TimePoint Now) {
  ++R->m_Progress.m_TryCount;
  if (!R->m_Instance.empty())
    countRequest(H.m_Entry->m_InstanceBudgets[R->m_Instance], Now);
  peer::ForwardRequest Forward = makeForward(H, *R, Choice, Now);
  if (R->m_Dispatcher == H.m_Members.m_Self) {
    dispatchRequest(H, Forward,
                    [&H, R](const peer::ForwardReply &Reply) { handleReply(H, R, Reply); });
    return;
  }
  std::string Address = H.m_Members.m_Hosts.at(R->m_Dispatcher).m_Address;
  callForward(*H.m_Links, Address, Forward, R->m_Progress.m_Deadline - Now,
              [&H, R, Host = R->m_Dispatcher](std::variant<peer::ForwardReply, PeerError> Result) {
                if (auto *Reply = std::get_if<peer::ForwardReply>(&Result)) {
                  noteAnswer(H, R->m_Group, R->m_Instance, *Reply);
                  handleReply(H, R, *Reply);
                  return;
                }
                if (auto At = H.m_Members.m_Hosts.find(Host); At != H.m_Members.m_Hosts.end())
                  At->second.m_LastFailedAt = Clock::now();
                handleReply(H, R, replyOfPeerError(*R, std::get<PeerError>(Result)));
              });
}

// Statements of a transaction go to the host that holds its connection; its name is the first part
// of the transaction's id.
void stepTransaction(Host &H, const RequestPtr &R, TimePoint Now) {
  R->m_Dispatcher = R->m_Caller.m_Transaction.substr(0, R->m_Caller.m_Transaction.rfind('.'));
  if (!H.m_Members.m_Hosts.contains(R->m_Dispatcher)) {
    refuseRequest(H, R, Reason::NoTransaction);
    return;
  }
  if (R->m_Progress.m_TryCount > 0 && R->m_LastReason == Reason::HostUnavailable) {
    refuseRequest(H, R, Reason::HostUnavailable);
    return;
  }
  runTry(H, R, {}, Now);
}

RouteChoice chooseInstance(Host &H, const EntryRequest &R, const Group &G, TimePoint Now) {
  const GroupView &View = H.m_Views[R.m_Group];
  if (R.m_Caller.m_Kind != RequestKind::Read)
    return chooseForWrite(G, View, Now);
  ReadRequirement Need;
  auto Seen = R.m_Session.m_Positions.find(R.m_Group);
  if (Seen != R.m_Session.m_Positions.end()) {
    Need.m_Mode = ReadMode::Session;
    Need.m_Position = Seen->second;
  }
  // A partial token may have left this group's position out: only the primary surely has it.
  bool PositionLost = R.m_Session.m_IsPartial && Seen == R.m_Session.m_Positions.end();
  if (R.m_Caller.m_MaxAge && !PositionLost) {
    Need.m_Mode = ReadMode::MaxAge;
    Need.m_MaxAge = *R.m_Caller.m_MaxAge;
  }
  return chooseForRead(G, View, H.m_Members.m_DataCentre, Need, R.m_TriedInstances, Now, H.m_Rng,
                       H.m_Settings.m_Route);
}

void stepRequest(Host &H, const RequestPtr &R) {
  if (!H.m_Entry->m_Requests.contains(R->m_Id))
    return;
  TimePoint Now = Clock::now();
  if (Now >= R->m_Progress.m_Deadline) {
    refuseRequest(H, R, R->m_LastReason == Reason::None ? Reason::QueueTimeout : R->m_LastReason);
    return;
  }
  if (!R->m_Who.m_KeyId.empty() && !isKeyValid(H.m_Config, R->m_Who.m_KeyId)) {
    refuseRequest(H, R, Reason::KeyWithdrawn);
    return;
  }
  if (usesTransaction(R->m_Caller.m_Kind) && !R->m_Resolving) {
    stepTransaction(H, R, Now);
    return;
  }
  auto Group = H.m_Config.m_Groups.find(R->m_Group);
  if (Group == H.m_Config.m_Groups.end()) {
    refuseRequest(H, R, Reason::NoRoute, "the route's group does not exist");
    return;
  }
  RouteChoice Choice = chooseInstance(H, *R, Group->second, Now);
  const Instance *Target = findInstance(H, R->m_Group, Choice.m_Instance);
  if (!Target) {
    waitForInstance(H, R, Choice.m_RejectionReason, Now);
    return;
  }
  if (awaitsNews(H, *R, Choice.m_Instance)) {
    waitForInstance(H, R, Reason::InstanceUnavailable, Now);
    return;
  }
  if (R->m_Instance != Choice.m_Instance)
    R->m_TriedHosts.clear();
  R->m_Instance = Choice.m_Instance;
  R->m_Why = Choice.m_ChoiceReason;
  R->m_Dispatcher =
      chooseDispatcher(H.m_Members, *Target, R->m_TriedHosts, Now, H.m_Settings.m_Membership);
  if (R->m_Dispatcher.empty()) {
    R->m_TriedInstances.insert(R->m_Instance);
    waitForInstance(H, R, Reason::HostUnavailable, Now);
    return;
  }
  runTry(H, R, Choice, Now);
}

void admitted(Host &H, const RequestPtr &R, Reason Why) {
  if (Why != Reason::None) {
    refuseRequest(H, R, Why);
    return;
  }
  countRequest(H.m_Entry->m_CustomerBudgets[R->m_Who.m_Customer], Clock::now());
  stepRequest(H, R);
}

// Checks key, route and session token. Returns the reason for a refusal, or None.
Reason checkRequest(Host &H, EntryRequest &R) {
  std::string Key = std::move(R.m_Caller.m_KeyText);
  if (!Key.empty() && isCutOff(H, R.m_StartedAt))
    return Reason::Isolated;
  auto Checked = authorizeCaller(H.m_Config, R.m_Caller.m_Route, Key, isWrite(R.m_Caller.m_Kind),
                                 H.m_Settings.m_KeyPepper);
  std::ranges::fill(Key, '\0');
  if (const Reason *Why = std::get_if<Reason>(&Checked))
    return *Why;
  R.m_Who = std::get<Caller>(Checked);
  R.m_Group = H.m_Config.m_Routes.at(R.m_Caller.m_Route).m_Group;
  if (R.m_Caller.m_Token.empty()) {
    R.m_Session.m_Customer = R.m_Who.m_Customer;
    return Reason::None;
  }
  auto Opened = decodeToken(R.m_Caller.m_Token, R.m_Who.m_Customer, H.m_Settings.m_TokenSecret);
  if (!std::holds_alternative<SessionToken>(Opened))
    return Reason::BadToken;
  R.m_Session = std::get<SessionToken>(Opened);
  return Reason::None;
}

void beginRequest(Host &H, const RequestPtr &R) {
  EntryState &Entry = *H.m_Entry;
  R->m_Id = Entry.m_NextId++;
  Entry.m_Requests.emplace(R->m_Id, R);
  if (Entry.m_Requests.size() > H.m_Settings.m_Front.m_MaxInProgress) {
    refuseRequest(H, R, Reason::Overloaded);
    return;
  }
  if (Reason Why = checkRequest(H, *R); Why != Reason::None) {
    refuseRequest(H, R, Why);
    return;
  }
  Millis Timeout = std::min(R->m_Caller.m_Timeout.value_or(H.m_Settings.m_Front.m_RequestTimeout),
                            H.m_Settings.m_Front.m_MaxRequestTimeout);
  R->m_Progress.m_IsWrite = isWrite(R->m_Caller.m_Kind);
  R->m_Progress.m_IsInTransaction = usesTransaction(R->m_Caller.m_Kind);
  R->m_Progress.m_Deadline = R->m_StartedAt + Timeout;
  if (R->m_Caller.m_Kind == RequestKind::Outcome && R->m_Caller.m_RequestId.empty()) {
    refuseRequest(H, R, Reason::BadRequest, "a request id is needed");
    return;
  }
  if (isWrite(R->m_Caller.m_Kind) && R->m_Caller.m_RequestId.empty())
    R->m_Caller.m_RequestId = randomId(H.m_Rng);
  // Callers without a key share one queue at each instance; they have no rate of their own.
  if (R->m_Who.m_Customer.empty() || !countsAgainstRate(R->m_Caller.m_Kind)) {
    admitted(H, R, Reason::None);
    return;
  }
  admitByRate(H, R->m_Who.m_Customer, [&H, R](Reason Why) { admitted(H, R, Why); });
}

} // namespace

void handleRequest(Host &H, CallerRequest Request, std::function<void(CallerAnswer)> Done) {
  auto R = std::make_shared<EntryRequest>();
  R->m_Caller = std::move(Request);
  R->m_Done = std::move(Done);
  R->m_StartedAt = Clock::now();
  H.m_Run([&H, R] { beginRequest(H, R); });
}

size_t countUnanswered(const Host &H) { return H.m_Entry->m_Requests.size(); }

std::string dumpEntry(const Host &H) {
  using nlohmann::json;
  const EntryState &Entry = *H.m_Entry;
  json Dump = {{"in_progress", Entry.m_Requests.size()},
               {"done", Entry.m_Done},
               {"unknown", Entry.m_Unknown},
               {"refusals", json::object()},
               {"requests", json::array()}};
  for (const auto &[Why, Count] : Entry.m_Refusals)
    Dump["refusals"][std::string(reasonName(Why))] = Count;
  TimePoint Now = Clock::now();
  for (const auto &[Id, R] : Entry.m_Requests) {
    if (Dump["requests"].size() >= 100)
      break;
    Dump["requests"].push_back(
        {{"route", R->m_Caller.m_Route},
         {"customer", R->m_Who.m_Customer},
         {"instance", R->m_Instance},
         {"dispatcher", R->m_Dispatcher},
         {"why", R->m_Why},
         {"tries", R->m_Progress.m_TryCount},
         {"last_reason", reasonName(R->m_LastReason)},
         {"resolving", R->m_Resolving},
         {"age_ms", std::chrono::duration_cast<Millis>(Now - R->m_StartedAt).count()}});
  }
  return Dump.dump();
}

} // namespace quetzalpaddle
