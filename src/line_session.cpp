// Statements of callers: checks of route, key and rate, choice of an instance, retries, and
// transactions.
//
// A statement is retried only if it cannot have taken effect: it was not sent, the instance
// reported that it did not run it, or it only reads. A write or a commit whose answer is lost is
// reported as in doubt. A transaction is bound to one connection from its first statement on. Its
// begin is answered by the host alone, so that a caller that pauses after it occupies no
// connection.
#include "line_request.h"

#include "line_exchange.h"

#include "platform/line_codec.h"

#include <fmt/format.h>

namespace quetzalpaddle {

namespace {

using line::RunReply;
using line::RunRequest;

// Attempts to run one statement, including the first.
constexpr int MaxAttempts = 4;
// Pause after an attempt at the primary, and between checks while no instance qualifies.
constexpr Millis RetryDelay{20};
// How long an open transaction may continue after its key was withdrawn.
constexpr Millis WithdrawnKeyGracePeriod{1500};
// More than the host adds to a statement for the instance.
constexpr size_t MaxAddedBytes = 128;
// Delay for a caller that this host refuses over the rate without asking a dispatcher: twice the
// interval at which dispatchers exchange counts.
constexpr Millis ThrottleRetryDelay{400};

} // namespace

std::variant<Permission, SessionAnswer> checkPermission(const LineHost &Host,
                                                        const CallerSession &Session) {
  if (!canUseConfig(Host, bootNow()))
    return refuse("BUSY", "no configuration yet", Reason::Internal);
  auto Route = Host.m_Config->m_Routes.find(Session.m_Database);
  if (Route == Host.m_Config->m_Routes.end())
    return refuse("NODATABASE", "no such database", Reason::NoRoute);
  auto Key = Host.m_Config->m_Keys.find(Session.m_Key);
  bool IsKnownKey = Key != Host.m_Config->m_Keys.end();
  if (!IsKnownKey && !Route->second.m_IsAuthExempt)
    return refuse("UNAUTH", "unknown key", Reason::BadKey);
  return Permission{Route->second, IsKnownKey ? Key->second : UnknownCustomer};
}

namespace {

SessionAnswer refuseWhileStopping(StatementRole Role) {
  return refuse(stopErrorCode(Role), "the host is stopping", Reason::Draining);
}

// --- Choice of an instance ---

// Chooses an instance for an attempt. Returns nothing if no instance qualifies.
std::optional<Target> chooseTarget(LineHost &Host, const CallerSession &Session,
                                   const StatementRun &Run,
                                   const std::set<std::string> &TriedInstances) {
  auto It = Host.m_Groups.find(Run.m_Route->m_Group);
  if (It == Host.m_Groups.end())
    return std::nullopt;
  TargetQuery Query;
  Query.m_Route = Run.m_Route;
  Query.m_IsPrimaryOnly = Run.m_IsPrimaryOnly;
  Query.m_IsWrite = Run.m_IsWrite;
  Query.m_ArrivedAt = Run.m_StalenessBaseAt;
  if (auto Commit = Session.m_Commits.find(Run.m_Route->m_Group);
      Commit != Session.m_Commits.end()) {
    Query.m_HasCommitted = true;
    Query.m_CommitPosition = Commit->second;
  }
  Query.m_DataCentre = Host.m_Settings.m_DataCentre;
  Query.m_TriedInstances = &TriedInstances;
  if (!Run.m_IsPrimaryOnly)
    Query.m_Draw = std::uniform_real_distribution<double>(0, 1)(Host.m_Random);
  return chooseTarget(It->second, Query, bootNow());
}

// --- A single attempt ---

// Updates the state of an instance and its group from a reply.
void updateFromReply(LineHost &Host, const std::string &Instance, const RunReply &Reply,
                     TimePoint SentAt) {
  LineGroup *Group = findGroupOf(Host, Instance);
  LineInstance *InstanceState = findInstance(Host, Instance);
  if (!Group || !InstanceState)
    return;
  TimePoint Now = bootNow();
  if (Reply.has_wait_us())
    noteExpectedWait(*InstanceState, std::chrono::microseconds(Reply.wait_us()), Now);
  Position ReplyPosition{Reply.position().term(), Reply.position().index()};
  if (Reply.outcome() != RunReply::ANSWERED) {
    if (!isDispatcherRefusal(static_cast<Reason>(Reply.refusal())))
      noteFailure(*InstanceState, Now);
    return;
  }
  if (Reply.error_code() == "LAGGING")
    noteLagging(*InstanceState, Now);
  else if (Reply.error_code() == "READONLY")
    noteNotPrimary(*Group, Instance, Now);
  else if (Reply.error_code() == "BUSY" || Reply.error_code() == "OVERLOAD" ||
           Reply.error_code() == "FAILED")
    noteFailure(*InstanceState, Now);
  else
    noteSuccess(*InstanceState, ReplyPosition, Now);
  if (Reply.leads() && ReplyPosition != Position{})
    addConfirmedPosition(Group->m_History, {ReplyPosition, SentAt}, Now);
}

Awaitable<RunReply> runAttempt(LineHost &Host, RunRequest Request, std::string &Dispatcher) {
  std::string Instance = Request.instance();
  bool IsWrite = Request.write();
  TimePoint SentAt = bootNow();
  if (LineInstance *InstanceState = findInstance(Host, Instance))
    ++InstanceState->m_OutstandingCount;
  RunReply Reply = co_await runAtDispatcher(Host, std::move(Request), Dispatcher);
  if (LineInstance *InstanceState = findInstance(Host, Instance);
      InstanceState && InstanceState->m_OutstandingCount > 0)
    --InstanceState->m_OutstandingCount;
  withholdAcknowledgement(Host, Instance, IsWrite, Reply);
  updateFromReply(Host, Instance, Reply, SentAt);
  co_return Reply;
}

void logRetry(LineHost &Host, const Statement &Stmt, const std::string &Instance,
              const RunReply &Reply, int Attempt) {
  auto RefusalReason = static_cast<Reason>(Reply.refusal());
  countRetry(*Host.m_Metrics, RefusalReason);
  logLine(LogLevel::Info, "statement_retried",
          {{"id", Stmt.m_Id},
           {"instance", Instance},
           {"outcome", std::to_string(Reply.outcome())},
           {"code", Reply.error_code()},
           {"why", std::string(reasonName(RefusalReason))},
           {"try", std::to_string(Attempt)}});
}

// Records the position that a success shows, if it shows one. CommitGroup: the group that it has
// committed to; empty: none.
void noteShownPosition(CallerSession &Session, const RunReply &Reply,
                       const std::string &CommitGroup) {
  Position Shown{Reply.position().term(), Reply.position().index()};
  Session.m_ShownPosition = Shown != Position{} ? std::optional(Shown) : std::nullopt;
  if (!CommitGroup.empty())
    Session.m_Commits[CommitGroup] = Session.m_ShownPosition;
}

SessionAnswer makeCallerAnswer(RunReply &Reply) {
  SessionAnswer Answer;
  for (std::string &Row : *Reply.mutable_rows())
    Answer.m_Rows.push_back(std::move(Row));
  Answer.m_Digest = Reply.digest();
  Answer.m_ErrorCode = Reply.error_code();
  Answer.m_ErrorText = Reply.error_text();
  if (!Answer.m_ErrorCode.empty())
    Answer.m_Reason = Reason::StatementFailed;
  return Answer;
}

// Returns whether a statement may be retried: it was not run, or it only reads.
bool canRetry(const RunReply &Reply, bool IsWrite) {
  // A primary without replicas does not recover within a few attempts, and the rate of a customer
  // is the same at every dispatcher.
  auto RefusalReason = static_cast<Reason>(Reply.refusal());
  if (Reply.outcome() == RunReply::NOT_SENT)
    return RefusalReason != Reason::NoMajority && RefusalReason != Reason::RateLimited &&
           RefusalReason != Reason::OverMemory;
  // An answer that is too large for a host is as large at the next attempt.
  if (Reply.outcome() == RunReply::LOST)
    return !IsWrite && RefusalReason != Reason::OverMemory;
  const std::string &Code = Reply.error_code();
  return wasNotRun(Reply) || (!IsWrite && (Code == "FAILED" || Code == "TIMEOUT"));
}

// --- Single statements and first statements of a transaction ---

// Describes the data behind an attempt for logs: instance, dispatcher, primary, and the age of its
// newest confirmation.
std::string describeAttempt(LineHost &Host, const Target &ChosenTarget,
                            const std::string &Dispatcher, int Attempt) {
  const LineGroup *Group = findGroupOf(Host, ChosenTarget.m_Instance);
  auto NewestConfirmation = Group ? newestConfirmedPosition(Group->m_History) : std::nullopt;
  return fmt::format(
      "instance {} by {} try {} primary {} generation {} proof_age_ms {}", ChosenTarget.m_Instance,
      Dispatcher, Attempt, Group ? Group->m_Primary : "", Group ? Group->m_Generation : 0,
      NewestConfirmation ? (bootNow() - NewestConfirmation->m_SentAt) / Millis(1) : -1);
}

SessionAnswer refuseByThrottle(LineHost &Host, const LineRoute &Route) {
  double Draw = std::uniform_real_distribution<double>(0, 1)(Host.m_Random);
  countQueueRefusal(*Host.m_Metrics, Reason::RateLimited, Route.m_Priority);
  return refuseOverRate(
      static_cast<uint32_t>(retryHint(ThrottleRetryDelay, Route.m_Priority, Draw).count()));
}

// Counts the start of an operation. Returns whether it is passed on to a dispatcher, which charges
// it to the customer's rate.
bool passOperation(LineHost &Host, const std::string &Customer) {
  TimePoint Now = bootNow();
  noteCallerArrival(Host.m_Usage, Customer, Now);
  double Draw = std::uniform_real_distribution<double>(0, 1)(Host.m_Random);
  if (passRequest(Host.m_Throttle, Customer, Draw, Now, ThrottleSettings{}))
    return true;
  countEvent(*Host.m_Metrics, "operation_throttled");
  return false;
}

} // namespace

void abandonAtInstance(LineHost &Host, SessionTransaction &Transaction) {
  if (!Transaction.m_IsOpen)
    return;
  Transaction.m_IsOpen = false;
  RunRequest Request;
  Request.set_mode(RunRequest::ABANDON);
  Request.set_instance(Transaction.m_Instance);
  Request.set_transaction(Transaction.m_TransactionId);
  auto Send = [](LineHost &LocalHost, RunRequest AbandonRequest,
                 std::string Dispatcher) -> Awaitable<void> {
    co_await runAtDispatcher(LocalHost, std::move(AbandonRequest), Dispatcher);
  };
  spawnTask(Host, "abandon", Send(Host, std::move(Request), Transaction.m_Dispatcher));
}

namespace {

// Whether a statement that the queue of an instance refused is expected to be served sooner at the
// instance that would be chosen next. A refusal without a hint is not the queue's, or from a host
// that doesn't predict.
bool isWorthRetrying(const LineHost &Host, const StatementRun &Run, const RunReply &Reply,
                     const std::string &Refused, const std::optional<Target> &Next,
                     TimePoint Deadline) {
  if (!isQueueRefusal(static_cast<Reason>(Reply.refusal())) || Reply.retry_ms() == 0)
    return true;
  if (!Next || Next->m_Instance == Refused)
    return false;
  const auto &Instances = Host.m_Groups.at(Run.m_Route->m_Group).m_Instances;
  auto NextInstance = Instances.find(Next->m_Instance);
  return NextInstance != Instances.end() &&
         isSoonerElsewhere(std::chrono::microseconds(Reply.wait_us()),
                           NextInstance->second.m_ExpectedWait, Deadline - bootNow());
}

Awaitable<SessionAnswer> runWithRetries(LineHost &Host, CallerSession &Session,
                                        const StatementRun &Run) {
  TimePoint Deadline = bootNow() + Run.m_Route->m_Timeout;
  std::set<std::string> TriedInstances;
  auto Role = Run.m_Transaction ? StatementRole::InTransaction : StatementRole::Single;
  SessionAnswer LastFailure = refuse("BUSY", "no instance can serve this now", Reason::NoPrimary);
  for (int Attempt = 1; Attempt <= MaxAttempts && bootNow() < Deadline;) {
    auto ChosenTarget = chooseTarget(Host, Session, Run, TriedInstances);
    if (!ChosenTarget && isEvacuated(Host.m_Groups[Run.m_Route->m_Group], Run.m_IsPrimaryOnly))
      co_return refuse("BUSY", reasonName(Reason::Evacuated), Reason::Evacuated);
    if (!ChosenTarget) {
      if (!expectsPrimary(Host.m_Groups[Run.m_Route->m_Group], bootNow()) ||
          !acceptsStatement(currentStopPhase(Host), Role))
        break;
      TriedInstances.clear();
      co_await sleepFor(Host.m_Io, RetryDelay);
      continue;
    }
    RunRequest Request = makeRequest(Host, Session, Run, *ChosenTarget, Deadline);
    std::string Dispatcher;
    RunReply Reply = co_await runAttempt(Host, std::move(Request), Dispatcher);
    if (Attempt == 1)
      noteDispatcherAnswer(Host.m_Throttle, Run.m_Customer,
                           Reply.outcome() == RunReply::NOT_SENT &&
                               Reply.refusal() == static_cast<uint32_t>(Reason::RateLimited),
                           bootNow(), ThrottleSettings{});
    SessionTransaction *Transaction = Run.m_Transaction;
    if (Transaction && Reply.outcome() == RunReply::ANSWERED && Reply.state() != "I") {
      Transaction->m_IsOpen = true;
      Transaction->m_Instance = ChosenTarget->m_Instance;
      Transaction->m_Dispatcher = Dispatcher;
    }
    if (Reply.outcome() == RunReply::ANSWERED && Reply.error_code().empty()) {
      noteShownPosition(Session, Reply, Run.m_IsWrite && !Transaction ? Run.m_Route->m_Group : "");
      co_return makeCallerAnswer(Reply);
    }
    LastFailure = makeFailureAnswer(Run, Reply);
    LastFailure.m_DecisionInputs = describeAttempt(Host, *ChosenTarget, Dispatcher, Attempt);
    if (!canRetry(Reply, Run.m_IsWrite && !Transaction) ||
        !acceptsStatement(currentStopPhase(Host), Role))
      co_return LastFailure;
    TriedInstances.insert(ChosenTarget->m_Instance);
    if (!isWorthRetrying(Host, Run, Reply, ChosenTarget->m_Instance,
                         chooseTarget(Host, Session, Run, TriedInstances), Deadline))
      co_return LastFailure;
    if (Transaction)
      abandonAtInstance(Host, *Transaction);
    logRetry(Host, *Run.m_Statement, ChosenTarget->m_Instance, Reply, Attempt++);
    if (ChosenTarget->m_Instance == Host.m_Groups[Run.m_Route->m_Group].m_Primary)
      co_await sleepFor(Host.m_Io, RetryDelay);
  }
  co_return LastFailure;
}

// --- Statements of an open transaction ---

Awaitable<SessionAnswer> runInTransaction(LineHost &Host, CallerSession &Session,
                                          const Statement &Stmt) {
  SessionTransaction &Transaction = Session.m_Transaction;
  bool IsCommit = Stmt.m_Kind == StatementKind::Commit;
  std::string Dispatcher = Transaction.m_Dispatcher;
  RunReply Reply =
      co_await runAttempt(Host, makeTransactionRequest(Session, Transaction, Stmt), Dispatcher);
  bool HasAnswer = Reply.outcome() == RunReply::ANSWERED;
  if (HasAnswer && Reply.error_code().empty()) {
    noteShownPosition(Session, Reply,
                      IsCommit && Transaction.m_HasWritten ? Transaction.m_Route.m_Group : "");
    if (IsCommit)
      Transaction.m_IsOpen = false;
    co_return makeCallerAnswer(Reply);
  }
  if (Reply.outcome() == RunReply::LOST) {
    Transaction.m_IsOpen = false;
    if (IsCommit && Transaction.m_HasWritten)
      co_return refuse("INDOUBT", "no answer; the commit may have taken effect",
                       Reason::OutcomeUnknown);
    co_return refuse("ABORTED", "no answer from the instance", Reason::TransactionAborted);
  }
  if (HasAnswer && IsCommit && Reply.state() == "I")
    Transaction.m_IsOpen = false;
  abandonAtInstance(Host, Transaction);
  if (HasAnswer && (Reply.error_code() == "READONLY" || Reply.error_code() == "BUSY"))
    co_return refuse(Reply.error_code(), Reply.error_text(), Reason::StatementFailed);
  if (HasAnswer && !IsCommit)
    co_return refuse("ABORTED", Reply.error_code() + " " + Reply.error_text(),
                     Reason::StatementFailed);
  if (HasAnswer && Transaction.m_HasWritten) // a commit that failed may still have taken effect
    co_return refuse("INDOUBT", Reply.error_code() + " " + Reply.error_text(),
                     Reason::OutcomeUnknown);
  co_return refuse("ABORTED", reasonName(static_cast<Reason>(Reply.refusal())),
                   static_cast<Reason>(Reply.refusal()));
}

// --- Statements ---

SessionAnswer beginTransaction(LineHost &Host, CallerSession &Session, const Statement &Stmt,
                               const Permission &CallerPermission) {
  if (!passOperation(Host, CallerPermission.m_Customer))
    return refuseByThrottle(Host, CallerPermission.m_Route);
  Session.m_Transaction = {};
  SessionTransaction &Transaction = Session.m_Transaction;
  Transaction.m_IsBegun = true;
  Transaction.m_IsReadOnly = Stmt.m_Kind == StatementKind::BeginRead;
  Transaction.m_BeginId = Stmt.m_Id;
  Transaction.m_BegunAt = bootNow();
  Transaction.m_Route = CallerPermission.m_Route;
  Transaction.m_Customer = CallerPermission.m_Customer;
  Session.m_State.m_Transaction = TransactionState::Open;
  return {};
}

// Whether the key of a session has ceased to be that of its transaction's customer for longer than
// such a transaction may go on.
bool isKeyWithdrawn(const LineHost &Host, const CallerSession &Session) {
  auto It = Host.m_WithdrawnKeys.find({Session.m_Key, Session.m_Transaction.m_Customer});
  return It != Host.m_WithdrawnKeys.end() && bootNow() - It->second > WithdrawnKeyGracePeriod;
}

Awaitable<SessionAnswer> runTransactionStatement(LineHost &Host, CallerSession &Session,
                                                 const Statement &Stmt) {
  SessionTransaction &Transaction = Session.m_Transaction;
  bool EndsTransaction =
      Stmt.m_Kind == StatementKind::Commit || Stmt.m_Kind == StatementKind::Rollback;
  SessionAnswer Answer;
  if (Stmt.m_Kind == StatementKind::Rollback) {
    abandonAtInstance(Host, Transaction);
  } else if (isKeyWithdrawn(Host, Session)) {
    abandonAtInstance(Host, Transaction);
    Answer = refuse("UNAUTH", "the key was withdrawn", Reason::KeyWithdrawn);
  } else if (!acceptsStatement(currentStopPhase(Host), StatementRole::InTransaction)) {
    Answer = refuseWhileStopping(StatementRole::InTransaction);
  } else {
    bool IsWrite = isWrite(Session.m_State, Stmt);
    Transaction.m_HasWritten = Transaction.m_HasWritten || IsWrite;
    if (Transaction.m_IsOpen) {
      Answer = co_await runInTransaction(Host, Session, Stmt);
    } else {
      StatementRun Run;
      Run.m_Statement = &Stmt;
      Run.m_Route = &Transaction.m_Route;
      Run.m_Customer = Transaction.m_Customer;
      Run.m_IsWrite = IsWrite;
      Run.m_IsPrimaryOnly = needsPrimary(Transaction.m_Route, IsWrite, !Transaction.m_IsReadOnly);
      Run.m_Transaction = &Transaction;
      Run.m_StalenessBaseAt = Transaction.m_BegunAt;
      Run.m_StatementArrivedAt = Transaction.m_BegunAt;
      Answer = co_await runWithRetries(Host, Session, Run);
    }
  }
  if (!Answer.m_ErrorCode.empty())
    abandonAtInstance(Host, Transaction);
  if (EndsTransaction) {
    Session.m_State.m_Transaction = TransactionState::None;
    Transaction = {};
  } else if (!Answer.m_ErrorCode.empty()) {
    Session.m_State.m_Transaction = TransactionState::Failed;
  }
  co_return Answer;
}

Awaitable<SessionAnswer> runSingleStatement(LineHost &Host, CallerSession &Session,
                                            const Statement &Stmt,
                                            const Permission &CallerPermission) {
  if (!passOperation(Host, CallerPermission.m_Customer))
    co_return refuseByThrottle(Host, CallerPermission.m_Route);
  StatementRun Run;
  Run.m_Statement = &Stmt;
  Run.m_Route = &CallerPermission.m_Route;
  Run.m_Customer = CallerPermission.m_Customer;
  Run.m_IsWrite = isWrite(Session.m_State, Stmt);
  // A message may have no room for the position that the log of a replica has to contain.
  Run.m_IsPrimaryOnly =
      needsPrimary(CallerPermission.m_Route, Run.m_IsWrite, false) ||
      Stmt.m_Id.size() + Stmt.m_Text.size() + MaxAddedBytes > platform::MaxMessageBytes;
  Run.m_StalenessBaseAt = Run.m_StatementArrivedAt = bootNow();
  co_return co_await runWithRetries(Host, Session, Run);
}

// Whether the host's message for a statement would exceed the limit of the protocol, as a prepared
// statement has another name on pooled connections.
bool exceedsMessageLimit(const SessionState &State, const Statement &Stmt) {
  if (Stmt.m_Id.size() + Stmt.m_Text.size() + MaxAddedBytes <= platform::MaxMessageBytes)
    return false;
  std::string Text = Stmt.m_Text;
  if (Stmt.m_Kind == StatementKind::Set)
    Text = platform::formatSet(Stmt.m_Name, Stmt.m_Value);
  else if (Stmt.m_Kind == StatementKind::Prepare)
    Text = platform::formatPrepare(makePreparedName(Stmt.m_Value), Stmt.m_Value);
  else if (Stmt.m_Kind == StatementKind::Execute &&
           State.m_PreparedStatements.contains(Stmt.m_Name))
    Text = formatForInstance(State, Stmt);
  return platform::formatQuery(Stmt.m_Id, Text).size() > platform::MaxMessageBytes;
}

// --- Memory ---

// Bytes of a session value or prepared statement; 0 if there is none of that name.
size_t entryBytes(const std::map<std::string, std::string> &Entries, const std::string &Name) {
  auto It = Entries.find(Name);
  return It == Entries.end() ? 0 : Name.size() + It->second.size() + EntryOverheadBytes;
}

size_t sumSessionState(const SessionState &State) {
  size_t Bytes = 0;
  for (const auto *Entries : {&State.m_Values, &State.m_PreparedStatements})
    for (const auto &[Name, Value] : *Entries)
      Bytes += Name.size() + Value.size() + EntryOverheadBytes;
  return Bytes;
}

// Counts what a statement holds while it runs, with its copies. Returns false if the host cannot
// hold it; the end of a transaction is always admitted.
bool fitsMemory(LineHost &Host, CallerSession &Session, const Statement &Stmt) {
  size_t Bytes = Stmt.m_Id.size() + Stmt.m_Text.size();
  for (const auto &[Name, Value] : Session.m_State.m_Values)
    Bytes += Name.size() + Value.size() + EntryOverheadBytes;
  if (Stmt.m_Kind == StatementKind::Execute)
    Bytes += entryBytes(Session.m_State.m_PreparedStatements, Stmt.m_Name);
  Bytes *= StatementCopies;
  ByteAccount &Account = Session.m_Transport.m_Account;
  bool EndsTransaction =
      Stmt.m_Kind == StatementKind::Commit || Stmt.m_Kind == StatementKind::Rollback;
  if (!EndsTransaction && !canHold(Host.m_ByteBudget, Account, Bytes))
    return false;
  setHeld(Host.m_ByteBudget, Account, HeldKind::Statement, Bytes);
  return true;
}

// Whether a session may hold the value or the prepared statement that a statement sets.
bool fitsSession(const LineHost &Host, const CallerSession &Session, const Statement &Stmt) {
  const SessionState &State = Session.m_State;
  if ((Stmt.m_Kind != StatementKind::Set && Stmt.m_Kind != StatementKind::Prepare) ||
      State.m_Transaction == TransactionState::Failed)
    return true;
  const auto &Entries =
      Stmt.m_Kind == StatementKind::Set ? State.m_Values : State.m_PreparedStatements;
  size_t Bytes = sumSessionState(State) - entryBytes(Entries, Stmt.m_Name) + Stmt.m_Name.size() +
                 Stmt.m_Value.size() + EntryOverheadBytes;
  return canHoldSession(Host.m_ByteBudget, Session.m_Transport.m_Account, Bytes);
}

void countSessionState(LineHost &Host, CallerSession &Session, const Statement &Stmt) {
  if (Stmt.m_Kind == StatementKind::Set || Stmt.m_Kind == StatementKind::Prepare ||
      Stmt.m_Kind == StatementKind::Deallocate)
    setHeld(Host.m_ByteBudget, Session.m_Transport.m_Account, HeldKind::Session,
            sumSessionState(Session.m_State));
}

// Refuses a statement that was not run. As any error, it fails an open transaction.
SessionAnswer refuseOverMemory(LineHost &Host, CallerSession &Session, std::string_view Code,
                               std::string_view Text) {
  if (Session.m_State.m_Transaction == TransactionState::Open) {
    abandonAtInstance(Host, Session.m_Transaction);
    Session.m_State.m_Transaction = TransactionState::Failed;
  }
  return refuse(Code, Text, Reason::OverMemory);
}

} // namespace

Awaitable<SessionAnswer> runStatement(LineHost &Host, CallerSession &Session,
                                      const Statement &Stmt) {
  bool WasOpen = Session.m_State.m_Transaction == TransactionState::Open;
  // A stopping host has rolled back the transaction, so READY may not say that it is open.
  if (WasOpen && !acceptsStatement(currentStopPhase(Host), StatementRole::InTransaction))
    co_return co_await runTransactionStatement(Host, Session, Stmt);
  if (exceedsMessageLimit(Session.m_State, Stmt))
    co_return refuse("MALFORMED", "the message to an instance would be too long",
                     Reason::BadRequest);
  if (!fitsMemory(Host, Session, Stmt))
    co_return refuseOverMemory(Host, Session, "BUSY", "the host is short of memory");
  if (!fitsSession(Host, Session, Stmt))
    co_return refuseOverMemory(Host, Session, "OVERLOAD",
                               "too many bytes of session values and prepared statements");
  if (auto LocalResult = runLocally(Session.m_State, Stmt)) {
    countSessionState(Host, Session, Stmt);
    SessionAnswer Answer;
    Answer.m_ErrorCode = LocalResult->m_Error;
    Answer.m_ErrorText = LocalResult->m_Text;
    if (!LocalResult->m_Error.empty())
      Answer.m_Reason = Reason::BadRequest;
    co_return Answer;
  }
  if (WasOpen)
    co_return co_await runTransactionStatement(Host, Session, Stmt);
  auto Authorization = checkPermission(Host, Session);
  if (auto *Rejection = std::get_if<SessionAnswer>(&Authorization))
    co_return *Rejection;
  const auto &CallerPermission = std::get<Permission>(Authorization);
  bool BeginsTransaction =
      Stmt.m_Kind == StatementKind::Begin || Stmt.m_Kind == StatementKind::BeginRead;
  auto Role = BeginsTransaction ? StatementRole::OpensTransaction : StatementRole::Single;
  if (!acceptsStatement(currentStopPhase(Host), Role))
    co_return refuseWhileStopping(Role);
  if (BeginsTransaction)
    co_return beginTransaction(Host, Session, Stmt, CallerPermission);
  co_return co_await runSingleStatement(Host, Session, Stmt, CallerPermission);
}

} // namespace quetzalpaddle
