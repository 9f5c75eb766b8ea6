// Sessions of callers: checks of route, key and rate, choice of an instance, retries, and
// transactions.
//
// A statement is retried only if it cannot have taken effect: it was not sent, the instance
// reported that it did not run it, or it only reads. A write or a commit whose answer is lost is
// reported as in doubt. A transaction is bound to one connection from its first statement on. Its
// begin is answered by the host alone, so that a caller that pauses after it occupies no
// connection.
#include "line_host.h"

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
// A session without a statement for this long is closed.
constexpr std::chrono::minutes SessionIdleTimeout{10};
// How long an open transaction may continue after its key was withdrawn.
constexpr Millis WithdrawnKeyGracePeriod{1500};
// Further sessions are refused. Each session uses about 10 KB and a file descriptor.
constexpr size_t MaxSessions = 2000;

// The host's answer to a statement.
struct CallerAnswer {
  std::vector<std::string> m_Rows;
  std::string m_Digest;
  std::string m_ErrorCode; // empty = success
  std::string m_ErrorText;
  Reason m_Reason = Reason::None; // for logs and metrics
  std::string m_DecisionInputs;   // data behind the decision, with ages; for logs
};

// Counts one more until the end of its scope, also if an error ends it.
struct CountGuard {
  explicit CountGuard(size_t &Count) : m_Count(Count) { ++m_Count; }
  ~CountGuard() { --m_Count; }
  CountGuard(const CountGuard &) = delete;
  CountGuard &operator=(const CountGuard &) = delete;
  size_t &m_Count;
};

struct SessionTransaction {
  bool m_IsBegun = false; // the caller has begun it
  bool m_IsOpen = false;  // open at an instance
  bool m_HasWritten = false;
  bool m_IsReadOnly = false;
  std::string m_BeginId;
  TimePoint m_BegunAt{};
  LineRoute m_Route; // at the time of its begin
  std::string m_Customer;
  std::string m_Instance;
  std::string m_Dispatcher;
  uint64_t m_TransactionId = 0;
};

struct CallerSession {
  explicit CallerSession(Tcp::socket Socket) : m_Transport(std::move(Socket)) {}
  LineConnection m_Transport;
  std::string m_Database;
  std::string m_Key;
  SessionState m_State;
  SessionTransaction m_Transaction;
  std::string m_CommitGroup;               // group that m_CommitPosition belongs to
  Position m_CommitPosition;               // position of the session's last commit
  std::optional<Position> m_ShownPosition; // position last sent to the caller
};

CallerAnswer refuse(std::string_view Code, std::string_view Text, Reason AnswerReason) {
  CallerAnswer Answer;
  Answer.m_ErrorCode = Code;
  Answer.m_ErrorText = Text;
  Answer.m_Reason = AnswerReason;
  return Answer;
}

// --- Authorization ---

// What an authorized caller may use.
struct Permission {
  LineRoute m_Route;
  std::string m_Customer;
};

std::variant<Permission, CallerAnswer> checkPermission(const LineHost &Host,
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
  return Permission{Route->second, IsKnownKey ? Key->second : "-"};
}

// --- Choice of an instance ---

// The instance chosen for an attempt, and conditions that it has to meet.
struct Target {
  std::string m_Instance;
  bool m_HasToConfirmPrimary = false;    // refuses the statement unless it is primary
  std::optional<Position> m_MinPosition; // position that its log has to contain
};

bool needsPrimary(const LineRoute &Route, bool IsWrite, bool IsReadWriteTransaction) {
  return IsWrite || IsReadWriteTransaction || Route.m_Kind == RouteKind::Primary;
}

// Chooses an instance for an attempt. ArrivedAt: arrival of the statement, or of its transaction's
// begin. Returns nothing if no instance qualifies.
std::optional<Target> chooseTarget(const LineHost &Host, const CallerSession &Session,
                                   const LineRoute &Route, bool PrimaryOnly, bool IsWrite,
                                   TimePoint ArrivedAt,
                                   const std::set<std::string> &TriedInstances) {
  auto It = Host.m_Groups.find(Route.m_Group);
  if (It == Host.m_Groups.end())
    return std::nullopt;
  const LineGroup &Group = It->second;
  TimePoint Now = bootNow();
  if (!PrimaryOnly) {
    auto MinPosition = lowestPositionSince(Group.m_History, ArrivedAt - Route.m_MaxStaleness);
    bool IncludesOwnCommits =
        Route.m_Kind == RouteKind::ReadYourWrites && Session.m_CommitGroup == Group.m_Name;
    if (MinPosition && IncludesOwnCommits)
      MinPosition = std::max(*MinPosition, Session.m_CommitPosition);
    LineReadRequirements Requirements{Host.m_Settings.m_DataCentre, MinPosition, &TriedInstances};
    std::string ReadInstance =
        MinPosition ? chooseReadInstance(Group, Requirements, Now) : std::string();
    if (!ReadInstance.empty())
      return Target{ReadInstance, false, MinPosition};
  }
  if (!hasPrimary(Group, Now))
    return std::nullopt;
  return Target{Group.m_Primary, !IsWrite, std::nullopt};
}

// --- A single attempt ---

void fillStatement(RunRequest &Request, const CallerSession &Session, const Statement &Stmt) {
  for (const auto &[Name, Value] : Session.m_State.m_Values) {
    line::SessionValue &Entry = *Request.add_values();
    Entry.set_name(Name);
    Entry.set_value(Value);
  }
  if (Stmt.m_Kind == StatementKind::Execute) {
    const std::string &Shape = Session.m_State.m_PreparedStatements.at(Stmt.m_Name);
    Request.set_prepared_name(makePreparedName(Shape));
    Request.set_prepared_shape(Shape);
  }
  Request.set_statement_id(Stmt.m_Id);
  Request.set_text(formatForInstance(Session.m_State, Stmt));
}

void setMinPosition(RunRequest &Request, const Target &ChosenTarget) {
  if (!ChosenTarget.m_MinPosition)
    return;
  Request.mutable_after()->set_term(ChosenTarget.m_MinPosition->m_Term);
  Request.mutable_after()->set_index(ChosenTarget.m_MinPosition->m_Index);
}

// Returns whether a refusal was the dispatcher's own, which is no failure of the instance.
bool isDispatcherRefusal(Reason RefusalReason) {
  return RefusalReason == Reason::QueueFull || RefusalReason == Reason::QueueTimeout ||
         RefusalReason == Reason::NoMajority;
}

// Updates the state of an instance and its group from a reply.
void updateFromReply(LineHost &Host, const std::string &Instance, const RunReply &Reply,
                     TimePoint SentAt) {
  LineGroup *Group = findGroupOf(Host, Instance);
  LineInstance *InstanceState = findInstance(Host, Instance);
  if (!Group || !InstanceState)
    return;
  TimePoint Now = bootNow();
  InstanceState->m_ExpectedWait = std::chrono::microseconds(Reply.wait_us());
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
  else if (Reply.error_code() == "BUSY" || Reply.error_code() == "FAILED")
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

CallerAnswer makeCallerAnswer(RunReply &Reply) {
  CallerAnswer Answer;
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
  // A primary without replicas does not recover within a few attempts.
  if (Reply.outcome() == RunReply::NOT_SENT)
    return Reply.refusal() != static_cast<uint32_t>(Reason::NoMajority);
  if (Reply.outcome() == RunReply::LOST)
    return !IsWrite;
  const std::string &Code = Reply.error_code();
  bool WasNotRun = Code == "BUSY" || Code == "LAGGING" || Code == "READONLY" || Code == "NOSTMT" ||
                   Code == "OVERLOAD" || Code == "WRONGNODE";
  return WasNotRun || (!IsWrite && (Code == "FAILED" || Code == "TIMEOUT"));
}

// --- Single statements and first statements of a transaction ---

struct StatementRun {
  const Statement *m_Statement = nullptr;
  const LineRoute *m_Route = nullptr;
  std::string m_Customer;
  bool m_IsWrite = false;
  bool m_IsPrimaryOnly = false;
  SessionTransaction *m_Transaction = nullptr; // to be opened; null for a single statement
  TimePoint m_StalenessBaseAt{};               // start of the staleness limit
  TimePoint m_StatementArrivedAt{}; // arrival from the caller; start of the latency target
};

RunRequest makeRequest(LineHost &Host, const CallerSession &Session, const StatementRun &Run,
                       const Target &ChosenTarget, TimePoint Deadline) {
  RunRequest Request;
  TimePoint Now = bootNow();
  Millis RemainingTime =
      std::chrono::duration_cast<Millis>(std::max(Deadline - Now, Duration::zero()));
  Request.set_group(Run.m_Route->m_Group);
  Request.set_instance(ChosenTarget.m_Instance);
  Request.set_customer(Run.m_Customer);
  Request.set_priority(Run.m_Route->m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(RemainingTime.count()));
  Request.set_run_ms(static_cast<uint32_t>(Run.m_Route->m_Timeout.count()));
  Request.set_write(Run.m_IsWrite);
  auto RemainingLatencyTarget = std::chrono::duration_cast<Millis>(Run.m_StatementArrivedAt - Now) +
                                Run.m_Route->m_TargetLatency;
  // At least 1: 0 means that there is no latency target.
  Request.set_goal_ms(static_cast<uint32_t>(std::max(RemainingLatencyTarget, Millis(1)).count()));
  fillStatement(Request, Session, *Run.m_Statement);
  setMinPosition(Request, ChosenTarget);
  if (SessionTransaction *Transaction = Run.m_Transaction) {
    Transaction->m_TransactionId = Host.m_NextId++;
    Request.set_mode(RunRequest::OPEN);
    Request.set_transaction(Transaction->m_TransactionId);
    // A read-only transaction that has to see the newest data is opened as a read-write one, which
    // an instance that is no longer primary refuses.
    Request.set_read_only(Transaction->m_IsReadOnly && !ChosenTarget.m_HasToConfirmPrimary);
    Request.set_begin_id(Transaction->m_IsReadOnly && ChosenTarget.m_HasToConfirmPrimary
                             ? std::string(platform::HostStatementId)
                             : Transaction->m_BeginId);
    Request.set_write(false);
  } else if (ChosenTarget.m_HasToConfirmPrimary) {
    Request.set_mode(RunRequest::SINGLE_LED);
  }
  return Request;
}

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

// Refuses a request over the customer's rate. Adds the state of the rate for logs.
CallerAnswer refuseOverRate(const LineHost &Host, const std::string &Customer) {
  CallerAnswer Answer = refuse("OVERLOAD", "over the rate", Reason::RateLimited);
  auto It = Host.m_Usage.m_Customers.find(Customer);
  if (It != Host.m_Usage.m_Customers.end())
    Answer.m_DecisionInputs =
        fmt::format("customer {} rate {:.1f} burst {:.1f} level {:.1f} offered {:.1f}", Customer,
                    It->second.m_Rate, It->second.m_Burst, It->second.m_Tokens,
                    offeredRate(It->second, bootNow()));
  return Answer;
}

CallerAnswer makeFailureAnswer(const StatementRun &Run, const RunReply &Reply) {
  auto RefusalReason = static_cast<Reason>(Reply.refusal());
  bool IsSingle = !Run.m_Transaction;
  if (Reply.outcome() == RunReply::LOST) {
    if (IsSingle && Run.m_IsWrite)
      return refuse("INDOUBT", "no answer; the write may have taken effect",
                    Reason::OutcomeUnknown);
    return refuse(IsSingle ? "TIMEOUT" : "ABORTED", "no answer from the instance",
                  Reason::InstanceUnavailable);
  }
  if (Reply.outcome() == RunReply::ANSWERED)
    return refuse(Reply.error_code(), Reply.error_text(), Reason::StatementFailed);
  return refuse("BUSY", reasonName(RefusalReason), RefusalReason);
}

// Asks the dispatcher to roll back a transaction that is open at an instance, without waiting.
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

Awaitable<CallerAnswer> runWithRetries(LineHost &Host, CallerSession &Session,
                                       const StatementRun &Run) {
  TimePoint Deadline = bootNow() + Run.m_Route->m_Timeout;
  std::set<std::string> TriedInstances;
  CallerAnswer LastFailure = refuse("BUSY", "no instance can serve this now", Reason::NoPrimary);
  for (int Attempt = 1; Attempt <= MaxAttempts && bootNow() < Deadline;) {
    auto ChosenTarget = chooseTarget(Host, Session, *Run.m_Route, Run.m_IsPrimaryOnly,
                                     Run.m_IsWrite, Run.m_StalenessBaseAt, TriedInstances);
    if (!ChosenTarget) {
      if (!expectsPrimary(Host.m_Groups[Run.m_Route->m_Group], bootNow()))
        break;
      TriedInstances.clear();
      co_await sleepFor(Host.m_Io, RetryDelay);
      continue;
    }
    RunRequest Request = makeRequest(Host, Session, Run, *ChosenTarget, Deadline);
    std::string Dispatcher;
    RunReply Reply = co_await runAttempt(Host, std::move(Request), Dispatcher);
    SessionTransaction *Transaction = Run.m_Transaction;
    if (Transaction && Reply.outcome() == RunReply::ANSWERED && Reply.state() != "I") {
      Transaction->m_IsOpen = true;
      Transaction->m_Instance = ChosenTarget->m_Instance;
      Transaction->m_Dispatcher = Dispatcher;
    }
    if (Reply.outcome() == RunReply::ANSWERED && Reply.error_code().empty()) {
      Session.m_ShownPosition = Position{Reply.position().term(), Reply.position().index()};
      if (Run.m_IsWrite && !Transaction) {
        Session.m_CommitGroup = Run.m_Route->m_Group;
        Session.m_CommitPosition = *Session.m_ShownPosition;
      }
      co_return makeCallerAnswer(Reply);
    }
    LastFailure = makeFailureAnswer(Run, Reply);
    LastFailure.m_DecisionInputs = describeAttempt(Host, *ChosenTarget, Dispatcher, Attempt);
    if (!canRetry(Reply, Run.m_IsWrite && !Transaction))
      co_return LastFailure;
    if (Transaction)
      abandonAtInstance(Host, *Transaction);
    logRetry(Host, *Run.m_Statement, ChosenTarget->m_Instance, Reply, Attempt++);
    TriedInstances.insert(ChosenTarget->m_Instance);
    if (ChosenTarget->m_Instance == Host.m_Groups[Run.m_Route->m_Group].m_Primary)
      co_await sleepFor(Host.m_Io, RetryDelay);
  }
  co_return LastFailure;
}

// --- Statements of an open transaction ---

RunRequest makeTransactionRequest(const CallerSession &Session,
                                  const SessionTransaction &Transaction, const Statement &Stmt) {
  RunRequest Request;
  Request.set_mode(Stmt.m_Kind == StatementKind::Commit ? RunRequest::END : RunRequest::NEXT);
  Request.set_group(Transaction.m_Route.m_Group);
  Request.set_instance(Transaction.m_Instance);
  Request.set_customer(Transaction.m_Customer);
  Request.set_transaction(Transaction.m_TransactionId);
  Request.set_priority(Transaction.m_Route.m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(Transaction.m_Route.m_Timeout.count()));
  Request.set_run_ms(static_cast<uint32_t>(Transaction.m_Route.m_Timeout.count()));
  Request.set_write(Stmt.m_Kind == StatementKind::Commit && Transaction.m_HasWritten);
  fillStatement(Request, Session, Stmt);
  return Request;
}

Awaitable<CallerAnswer> runInTransaction(LineHost &Host, CallerSession &Session,
                                         const Statement &Stmt) {
  SessionTransaction &Transaction = Session.m_Transaction;
  bool IsCommit = Stmt.m_Kind == StatementKind::Commit;
  std::string Dispatcher = Transaction.m_Dispatcher;
  RunReply Reply =
      co_await runAttempt(Host, makeTransactionRequest(Session, Transaction, Stmt), Dispatcher);
  bool HasAnswer = Reply.outcome() == RunReply::ANSWERED;
  if (HasAnswer && Reply.error_code().empty()) {
    Session.m_ShownPosition = Position{Reply.position().term(), Reply.position().index()};
    if (IsCommit && Transaction.m_HasWritten) {
      Session.m_CommitGroup = Transaction.m_Route.m_Group;
      Session.m_CommitPosition = *Session.m_ShownPosition;
    }
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

CallerAnswer beginTransaction(LineHost &Host, CallerSession &Session, const Statement &Stmt,
                              const Permission &CallerPermission) {
  if (!admitCustomerRequest(Host.m_Usage, CallerPermission.m_Customer, bootNow()))
    return refuseOverRate(Host, CallerPermission.m_Customer);
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

bool isKeyWithdrawn(const LineHost &Host, const CallerSession &Session) {
  auto It = Host.m_WithdrawnKeys.find(Session.m_Key);
  return It != Host.m_WithdrawnKeys.end() && bootNow() - It->second > WithdrawnKeyGracePeriod;
}

Awaitable<CallerAnswer> runTransactionStatement(LineHost &Host, CallerSession &Session,
                                                const Statement &Stmt) {
  SessionTransaction &Transaction = Session.m_Transaction;
  bool EndsTransaction =
      Stmt.m_Kind == StatementKind::Commit || Stmt.m_Kind == StatementKind::Rollback;
  CallerAnswer Answer;
  if (Stmt.m_Kind == StatementKind::Rollback) {
    abandonAtInstance(Host, Transaction);
  } else if (isKeyWithdrawn(Host, Session)) {
    abandonAtInstance(Host, Transaction);
    Answer = refuse("UNAUTH", "the key was withdrawn", Reason::KeyWithdrawn);
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
      Run.m_StatementArrivedAt = bootNow();
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

Awaitable<CallerAnswer> runSingleStatement(LineHost &Host, CallerSession &Session,
                                           const Statement &Stmt,
                                           const Permission &CallerPermission) {
  if (!admitCustomerRequest(Host.m_Usage, CallerPermission.m_Customer, bootNow()))
    co_return refuseOverRate(Host, CallerPermission.m_Customer);
  StatementRun Run;
  Run.m_Statement = &Stmt;
  Run.m_Route = &CallerPermission.m_Route;
  Run.m_Customer = CallerPermission.m_Customer;
  Run.m_IsWrite = isWrite(Session.m_State, Stmt);
  Run.m_IsPrimaryOnly = needsPrimary(CallerPermission.m_Route, Run.m_IsWrite, false);
  Run.m_StalenessBaseAt = Run.m_StatementArrivedAt = bootNow();
  CallerAnswer Answer = co_await runWithRetries(Host, Session, Run);
  if (Answer.m_ErrorCode == "BUSY")
    refundCustomerRequest(Host.m_Usage, CallerPermission.m_Customer);
  co_return Answer;
}

Awaitable<CallerAnswer> runStatement(LineHost &Host, CallerSession &Session,
                                     const Statement &Stmt) {
  bool WasOpen = Session.m_State.m_Transaction == TransactionState::Open;
  if (auto LocalResult = runLocally(Session.m_State, Stmt)) {
    CallerAnswer Answer;
    Answer.m_ErrorCode = LocalResult->m_Error;
    Answer.m_ErrorText = LocalResult->m_Text;
    if (!LocalResult->m_Error.empty())
      Answer.m_Reason = Reason::BadRequest;
    co_return Answer;
  }
  if (WasOpen)
    co_return co_await runTransactionStatement(Host, Session, Stmt);
  auto Authorization = checkPermission(Host, Session);
  if (auto *Rejection = std::get_if<CallerAnswer>(&Authorization))
    co_return *Rejection;
  const auto &CallerPermission = std::get<Permission>(Authorization);
  bool BeginsTransaction =
      Stmt.m_Kind == StatementKind::Begin || Stmt.m_Kind == StatementKind::BeginRead;
  if (BeginsTransaction)
    co_return beginTransaction(Host, Session, Stmt, CallerPermission);
  co_return co_await runSingleStatement(Host, Session, Stmt, CallerPermission);
}

// --- The session ---

AnswerClass classifyAnswer(const CallerAnswer &Answer) {
  if (Answer.m_ErrorCode.empty())
    return AnswerClass::Done;
  bool IsOutcomeUnknown = Answer.m_ErrorCode == "INDOUBT" || Answer.m_ErrorCode == "TIMEOUT" ||
                          Answer.m_ErrorCode == "FAILED";
  return IsOutcomeUnknown ? AnswerClass::Unknown : AnswerClass::NotRun;
}

void reportAnswer(LineHost &Host, const CallerSession &Session, const Statement &Stmt,
                  const CallerAnswer &Answer, Duration Elapsed) {
  countAnswer(*Host.m_Metrics, Session.m_Database, "", classifyAnswer(Answer), Answer.m_Reason,
              Elapsed, false);
  if (Answer.m_ErrorCode.empty())
    return;
  const SessionTransaction &Transaction = Session.m_Transaction;
  logLine(
      LogLevel::Info, "statement_failed",
      {{"id", Stmt.m_Id},
       {"verb", Stmt.m_Text.substr(0, Stmt.m_Text.find(' '))}, // without the caller's data
       {"database", Session.m_Database},
       {"code", Answer.m_ErrorCode},
       {"why", std::string(reasonName(Answer.m_Reason))},
       {"detail", Answer.m_ErrorText},
       {"took_ms",
        fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(Elapsed).count())},
       {"config", std::to_string(Host.m_Config ? Host.m_Config->m_Version : 0)},
       {"inputs", Answer.m_DecisionInputs},
       {"transaction",
        Transaction.m_IsBegun ? Transaction.m_Instance + " by " + Transaction.m_Dispatcher : ""}});
}

std::string formatAnswer(const CallerSession &Session, const CallerAnswer &Answer) {
  std::string Output;
  for (const std::string &Row : Answer.m_Rows)
    Output += platform::formatRow(Row);
  Output += Answer.m_ErrorCode.empty()
                ? platform::formatComplete(Answer.m_Digest)
                : platform::formatError(Answer.m_ErrorCode, Answer.m_ErrorText);
  Output += platform::formatReady(Session.m_State.m_Transaction, Session.m_ShownPosition);
  return Output;
}

// Reads the CONNECT message and answers it. Returns whether the session continues.
Awaitable<bool> connectCaller(LineHost &Host, CallerSession &Session) {
  auto Line = co_await readLine(Session.m_Transport, platform::MaxMessageBytes);
  if (!Line)
    co_return false;
  auto Message = platform::parseCallerMessage(*Line);
  auto *Connect = std::get_if<platform::ConnectMessage>(&Message);
  if (!Connect) {
    co_await writeText(Session.m_Transport,
                       platform::formatError("MALFORMED", "CONNECT comes first"));
    co_return false;
  }
  Session.m_Database = Connect->m_Database;
  Session.m_Key = Connect->m_Key;
  auto Authorization = checkPermission(Host, Session);
  if (auto *Rejection = std::get_if<CallerAnswer>(&Authorization)) {
    logLine(LogLevel::Info, "connect_refused",
            {{"database", Session.m_Database},
             {"code", Rejection->m_ErrorCode},
             {"config", std::to_string(Host.m_Config ? Host.m_Config->m_Version : 0)}});
    co_await writeText(Session.m_Transport,
                       platform::formatError(Rejection->m_ErrorCode, Rejection->m_ErrorText));
    co_return false;
  }
  co_return co_await writeText(Session.m_Transport,
                               platform::formatReady(TransactionState::None, std::nullopt));
}

// Reads the next message. Returns nothing if the session is over. An open transaction fails once it
// has been idle for the configured time.
Awaitable<std::optional<std::string>> readMessage(LineHost &Host, CallerSession &Session) {
  if (hasLine(Session.m_Transport))
    co_return co_await readLine(Session.m_Transport, platform::MaxMessageBytes);
  bool IsTransactionOpen = Session.m_State.m_Transaction == TransactionState::Open;
  std::optional<ScopedDeadline> IdleDeadline;
  if (IsTransactionOpen && Host.m_Config)
    IdleDeadline.emplace(
        Host.m_DeadlineQueue, bootNow() + Host.m_Config->m_TransactionIdleTimeout,
        [&Host, &Session] {
          logLine(LogLevel::Info, "transaction_idle", {{"database", Session.m_Database}});
          abandonAtInstance(Host, Session.m_Transaction);
          Session.m_State.m_Transaction = TransactionState::Failed;
        });
  else
    IdleDeadline.emplace(Host.m_DeadlineQueue, bootNow() + SessionIdleTimeout,
                         [&Session] { closeSocket(Session.m_Transport.m_Socket); });
  co_return co_await readLine(Session.m_Transport, platform::MaxMessageBytes);
}

// Whether bytes have arrived that were not read yet.
bool hasUnreadBytes(const CallerSession &Session) {
  boost::system::error_code Error; // a failed socket has nothing to read
  return Session.m_Transport.m_Socket.available(Error) > 0 && !Error;
}

bool isIdle(const CallerSession &Session) {
  return Session.m_State.m_Transaction == TransactionState::None && !hasLine(Session.m_Transport) &&
         !hasUnreadBytes(Session);
}

Awaitable<void> serveStatements(LineHost &Host, CallerSession &Session, bool &IsStatementRunning) {
  while (!(Host.m_IsStopping && isIdle(Session))) {
    auto Line = co_await readMessage(Host, Session);
    if (!Line) {
      // The read was cancelled because the host stops, and a request arrived just then.
      if (Host.m_IsStopping && hasUnreadBytes(Session))
        continue;
      if (Session.m_Transport.m_IsTooLong)
        co_await writeText(Session.m_Transport,
                           platform::formatError("MALFORMED", "message too long"));
      co_return;
    }
    auto Message = platform::parseCallerMessage(*Line);
    if (std::holds_alternative<platform::ReleaseMessage>(Message))
      co_return;
    auto *Stmt = std::get_if<Statement>(&Message);
    CallerAnswer Answer = refuse("MALFORMED", "not a message of a session", Reason::BadRequest);
    TimePoint StartedAt = bootNow();
    if (Stmt) {
      IsStatementRunning = true;
      CountGuard StatementGuard(Host.m_RunningStatementCount);
      Answer = co_await runStatement(Host, Session, *Stmt);
      reportAnswer(Host, Session, *Stmt, Answer, bootNow() - StartedAt);
    }
    bool IsWritten = co_await writeText(Session.m_Transport, formatAnswer(Session, Answer));
    IsStatementRunning = false;
    bool IsUnauthorized = Answer.m_Reason == Reason::BadKey || Answer.m_Reason == Reason::NoRoute ||
                          Answer.m_Reason == Reason::KeyWithdrawn;
    if (!IsWritten || IsUnauthorized)
      co_return;
  }
}

Awaitable<void> serveCaller(LineHost &Host, Tcp::socket Socket) {
  configureSocket(Socket);
  CallerSession Session(std::move(Socket));
  CountGuard SessionGuard(Host.m_SessionCount);
  bool IsStatementRunning = false;
  // Ends the session if it is idle while the host stops; the caller then connects to another host.
  // The read is cancelled and the socket not closed: a read that has a request already completes
  // with it, and the request is answered.
  std::optional<ScopedDeadline> NextCheck;
  std::function<void()> EndIfStopping = [&] {
    boost::system::error_code IgnoredError; // the socket may be closed already
    if (Host.m_IsStopping && !IsStatementRunning && isIdle(Session))
      Session.m_Transport.m_Socket.cancel(IgnoredError);
    NextCheck.emplace(Host.m_DeadlineQueue, bootNow() + Millis(500), EndIfStopping);
  };
  EndIfStopping();
  if (co_await connectCaller(Host, Session))
    co_await serveStatements(Host, Session, IsStatementRunning);
  abandonAtInstance(Host, Session.m_Transaction);
  closeSocket(Session.m_Transport.m_Socket);
}

} // namespace

Awaitable<void> acceptCallers(LineHost &Host, Tcp::acceptor &Acceptor) {
  for (;;) {
    auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
    if (Error) {
      co_await sleepFor(Host.m_Io, Millis(50)); // most likely out of file descriptors
      continue;
    }
    if (Host.m_SessionCount < MaxSessions)
      spawnTask(Host, "serve_caller", serveCaller(Host, std::move(Socket)));
    else
      logLine(LogLevel::Warning, "session_refused", {{"sessions", std::to_string(MaxSessions)}});
  }
}

} // namespace quetzalpaddle
