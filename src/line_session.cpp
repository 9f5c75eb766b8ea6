// Callers' sessions: checks of route, key and rate, the choice of an instance, retries, and
// transactions.
//
// A statement is sent again only if it cannot have taken effect: it was not sent, the instance said
// that it did not run it, or it reads. A write or a commit whose answer is lost is reported as in
// doubt. A transaction is bound to one connection from its first statement on; before that, begin
// is answered here, so that a caller's pause after it holds nothing.
#include "line_host.h"

#include "platform/line_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

using line::RunReply;
using line::RunRequest;

// Attempts of one statement at instances.
constexpr int MaxTries = 4;
// Between attempts while no primary is known, or every instance is busy.
constexpr Millis RetryPause{20};
// A session without a statement for this long is closed.
constexpr std::chrono::minutes SessionIdle{10};
// How long a transaction may go on after its key was withdrawn.
constexpr Millis WithdrawnGrace{1500};
// New sessions beyond this are refused; each takes some 10 KB and a descriptor.
constexpr size_t MaxSessions = 2000;

// What the host answers a statement with.
struct CallerAnswer {
  std::vector<std::string> m_Rows;
  std::string m_Digest;
  std::string m_Error; // code; empty = success
  std::string m_Text;
  Reason m_Why = Reason::None; // for logs and metrics
  std::string m_Inputs;        // what decided it, with ages, for logs
};

struct SessionTransaction {
  bool m_Begun = false;  // by the caller
  bool m_Opened = false; // at an instance
  bool m_Wrote = false;
  bool m_ReadOnly = false;
  std::string m_BeginId;
  TimePoint m_BegunAt{};
  LineRoute m_Route; // as of its begin
  std::string m_Customer;
  std::string m_Instance;
  std::string m_Dispatcher;
  uint64_t m_Number = 0;
};

struct CallerSession {
  explicit CallerSession(Tcp::socket Socket) : m_Line(std::move(Socket)) {}
  LineConnection m_Line;
  std::string m_Database;
  std::string m_Key;
  SessionState m_State;
  SessionTransaction m_Transaction;
  std::string m_Group;            // that m_Position belongs to
  Position m_Position;            // of the session's last commit
  std::optional<Position> m_Last; // shown to the caller
};

CallerAnswer refuse(std::string_view Code, std::string_view Text, Reason Why) {
  CallerAnswer Answer;
  Answer.m_Error = Code;
  Answer.m_Text = Text;
  Answer.m_Why = Why;
  return Answer;
}

// --- Who the caller is ---

struct Permission {
  LineRoute m_Route;
  std::string m_Customer;
};

std::variant<Permission, CallerAnswer> checkCaller(const LineHost &Host, const CallerSession &S) {
  if (!Host.m_Config)
    return refuse("BUSY", "no configuration yet", Reason::Internal);
  auto Route = Host.m_Config->m_Routes.find(S.m_Database);
  if (Route == Host.m_Config->m_Routes.end())
    return refuse("NODATABASE", "no such database", Reason::NoRoute);
  auto Key = Host.m_Config->m_Keys.find(S.m_Key);
  bool Known = Key != Host.m_Config->m_Keys.end();
  if (!Known && !Route->second.m_IsAuthExempt)
    return refuse("UNAUTH", "unknown key", Reason::BadKey);
  return Permission{Route->second, Known ? Key->second : "-"};
}

// --- Choice of an instance ---

struct Target {
  std::string m_Instance;
  bool m_Led = false;              // has to prove that it is primary
  std::optional<Position> m_After; // position its log has to hold
};

bool needsPrimary(const LineRoute &Route, bool Write, bool PlainTransaction) {
  return Write || PlainTransaction || Route.m_Kind == RouteKind::Primary;
}

// ArrivedAt: of the statement, or of its transaction's begin. Nothing if no instance qualifies.
std::optional<Target> chooseTarget(const LineHost &Host, const CallerSession &S,
                                   const LineRoute &Route, bool PrimaryOnly, bool Write,
                                   TimePoint ArrivedAt, const std::set<std::string> &Tried) {
  auto Found = Host.m_Groups.find(Route.m_Group);
  if (Found == Host.m_Groups.end())
    return std::nullopt;
  const LineGroup &Group = Found->second;
  TimePoint Now = bootNow();
  if (!PrimaryOnly) {
    auto After = positionSince(Group.m_History, ArrivedAt - Route.m_MaxStaleness);
    bool OwnCommits = Route.m_Kind == RouteKind::ReadYourWrites && S.m_Group == Group.m_Name;
    if (After && OwnCommits)
      After = std::max(*After, S.m_Position);
    ReadRequirements Wish{Host.m_Settings.m_DataCentre, After, &Tried};
    std::string Reader = After ? chooseReadInstance(Group, Wish, Now) : std::string();
    if (!Reader.empty())
      return Target{Reader, false, After};
  }
  if (!hasPrimary(Group, Now))
    return std::nullopt;
  return Target{Group.m_Primary, !Write, std::nullopt};
}

// --- One attempt at an instance ---

void fillSession(RunRequest &Request, const CallerSession &S, const Statement &What) {
  for (const auto &[Name, Value] : S.m_State.m_Values) {
    line::SessionValue &Told = *Request.add_values();
    Told.set_name(Name);
    Told.set_value(Value);
  }
  if (What.m_Kind == StatementKind::Execute) {
    const std::string &Shape = S.m_State.m_PreparedStatements.at(What.m_Name);
    Request.set_prepared_name(preparedName(Shape));
    Request.set_prepared_shape(Shape);
  }
  Request.set_statement_id(What.m_Id);
  Request.set_text(formatForInstance(S.m_State, What));
}

void setAfter(RunRequest &Request, const Target &To) {
  if (!To.m_After)
    return;
  Request.mutable_after()->set_term(To.m_After->m_Term);
  Request.mutable_after()->set_index(To.m_After->m_Index);
}

// Refusals by the dispatcher that say nothing against the instance.
bool isDispatcherChoice(Reason Why) {
  return Why == Reason::QueueFull || Why == Reason::QueueTimeout || Why == Reason::NoMajority;
}

// Takes over what an answer tells of the instance and its group.
void learnFromReply(LineHost &Host, const std::string &Instance, const RunReply &Reply,
                    TimePoint SentAt) {
  LineGroup *Group = findGroupOf(Host, Instance);
  LineInstance *I = findInstance(Host, Instance);
  if (!Group || !I)
    return;
  TimePoint Now = bootNow();
  I->m_ExpectedWait = std::chrono::microseconds(Reply.wait_us());
  Position At{Reply.position().term(), Reply.position().index()};
  if (Reply.outcome() != RunReply::ANSWERED) {
    if (!isDispatcherChoice(static_cast<Reason>(Reply.refusal())))
      noteFailure(*I, Now);
    return;
  }
  if (Reply.error_code() == "LAGGING")
    noteLagging(*I, Now);
  else if (Reply.error_code() == "READONLY")
    noteNotPrimary(*Group, Instance, Now);
  else if (Reply.error_code() == "BUSY" || Reply.error_code() == "FAILED")
    noteFailure(*I, Now);
  else
    noteSuccess(*I, At, Now);
  if (Reply.leads() && At != Position{})
    addConfirmedPosition(Group->m_History, {At, SentAt}, Now);
}

Awaitable<RunReply> runOnce(LineHost &Host, RunRequest Request, std::string &Dispatcher) {
  std::string Instance = Request.instance();
  TimePoint SentAt = bootNow();
  if (LineInstance *I = findInstance(Host, Instance))
    ++I->m_OutstandingCount;
  RunReply Reply = co_await runAtDispatcher(Host, std::move(Request), Dispatcher);
  if (LineInstance *I = findInstance(Host, Instance); I && I->m_OutstandingCount > 0)
    --I->m_OutstandingCount;
  learnFromReply(Host, Instance, Reply, SentAt);
  co_return Reply;
}

void logRetry(LineHost &Host, const Statement &What, const std::string &Instance,
              const RunReply &Reply, int Try) {
  auto Why = static_cast<Reason>(Reply.refusal());
  countRetry(*Host.m_Metrics, Why);
  logLine(LogLevel::Info, "statement_retried",
          {{"id", What.m_Id},
           {"instance", Instance},
           {"outcome", std::to_string(Reply.outcome())},
           {"code", Reply.error_code()},
           {"why", std::string(reasonName(Why))},
           {"try", std::to_string(Try)}});
}

CallerAnswer takeAnswer(RunReply &Reply) {
  CallerAnswer Answer;
  for (std::string &Row : *Reply.mutable_rows())
    Answer.m_Rows.push_back(std::move(Row));
  Answer.m_Digest = Reply.digest();
  Answer.m_Error = Reply.error_code();
  Answer.m_Text = Reply.error_text();
  if (!Answer.m_Error.empty())
    Answer.m_Why = Reason::StatementFailed;
  return Answer;
}

// The instance says that it has not run the statement, or the statement only reads.
bool mayRunAgain(const RunReply &Reply, bool Write) {
  // A primary without replicas does not recover within a few tries.
  if (Reply.outcome() == RunReply::NOT_SENT)
    return Reply.refusal() != static_cast<uint32_t>(Reason::NoMajority);
  if (Reply.outcome() == RunReply::LOST)
    return !Write;
  const std::string &Code = Reply.error_code();
  bool NotRun = Code == "BUSY" || Code == "LAGGING" || Code == "READONLY" || Code == "NOSTMT" ||
                Code == "OVERLOAD" || Code == "WRONGNODE";
  return NotRun || (!Write && (Code == "FAILED" || Code == "TIMEOUT"));
}

// --- Statements that run at an instance for the first time ---

struct FirstRun {
  const Statement *m_What = nullptr;
  const LineRoute *m_Route = nullptr;
  std::string m_Customer;
  bool m_Write = false;
  bool m_PrimaryOnly = false;
  SessionTransaction *m_Transaction = nullptr; // to be opened; null: a single statement
  TimePoint m_ArrivedAt{};                     // for staleness
  TimePoint m_ReceivedAt{};                    // from the caller; its goal counts from here
};

RunRequest makeRequest(LineHost &Host, const CallerSession &S, const FirstRun &Run,
                       const Target &To, TimePoint Deadline) {
  RunRequest Request;
  TimePoint Now = bootNow();
  Millis Left = std::chrono::duration_cast<Millis>(std::max(Deadline - Now, Duration::zero()));
  Request.set_group(Run.m_Route->m_Group);
  Request.set_instance(To.m_Instance);
  Request.set_customer(Run.m_Customer);
  Request.set_priority(Run.m_Route->m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(Left.count()));
  Request.set_run_ms(static_cast<uint32_t>(Run.m_Route->m_Timeout.count()));
  Request.set_write(Run.m_Write);
  auto Goal =
      std::chrono::duration_cast<Millis>(Run.m_ReceivedAt - Now) + Run.m_Route->m_TargetLatency;
  Request.set_goal_ms(static_cast<uint32_t>(std::max(Goal, Millis(1)).count())); // 0 = no goal
  fillSession(Request, S, *Run.m_What);
  setAfter(Request, To);
  if (SessionTransaction *T = Run.m_Transaction) {
    T->m_Number = Host.m_NextNumber++;
    Request.set_mode(RunRequest::OPEN);
    Request.set_transaction(T->m_Number);
    // A transaction that only reads, but has to see the newest data, is opened as a plain one: a
    // primary that has lost its lead then refuses it.
    Request.set_read_only(T->m_ReadOnly && !To.m_Led);
    Request.set_begin_id(T->m_ReadOnly && To.m_Led ? std::string(platform::OwnStatementId)
                                                   : T->m_BeginId);
    Request.set_write(false);
  } else if (To.m_Led) {
    Request.set_mode(RunRequest::SINGLE_LED);
  }
  return Request;
}

// What an attempt rested on: instance, dispatcher and the age of the newest proof.
std::string describeAttempt(LineHost &Host, const Target &To, const std::string &Dispatcher,
                            int Try) {
  const LineGroup *Group = findGroupOf(Host, To.m_Instance);
  auto Newest = Group ? newestConfirmedPosition(Group->m_History) : std::nullopt;
  return fmt::format("instance {} by {} try {} primary {} generation {} proof_age_ms {}",
                     To.m_Instance, Dispatcher, Try, Group ? Group->m_Primary : "",
                     Group ? Group->m_Generation : 0,
                     Newest ? (bootNow() - Newest->m_SentAt) / Millis(1) : -1);
}

// The state of a customer's rate when a request was refused.
CallerAnswer refuseByRate(const LineHost &Host, const std::string &Customer) {
  CallerAnswer Answer = refuse("OVERLOAD", "over the rate", Reason::RateLimited);
  auto Found = Host.m_Usage.m_Customers.find(Customer);
  if (Found != Host.m_Usage.m_Customers.end())
    Answer.m_Inputs =
        fmt::format("customer {} rate {:.1f} burst {:.1f} level {:.1f} offered {:.1f}", Customer,
                    Found->second.m_Rate, Found->second.m_Burst, Found->second.m_Tokens,
                    offeredRate(Found->second, bootNow()));
  return Answer;
}

CallerAnswer failedAnswer(const FirstRun &Run, const RunReply &Reply) {
  auto Why = static_cast<Reason>(Reply.refusal());
  bool Single = !Run.m_Transaction;
  if (Reply.outcome() == RunReply::LOST) {
    if (Single && Run.m_Write)
      return refuse("INDOUBT", "no answer; the write may have taken effect",
                    Reason::OutcomeUnknown);
    return refuse(Single ? "TIMEOUT" : "ABORTED", "no answer from the instance",
                  Reason::InstanceUnavailable);
  }
  if (Reply.outcome() == RunReply::ANSWERED)
    return refuse(Reply.error_code(), Reply.error_text(), Reason::StatementFailed);
  return refuse("BUSY", reasonName(Why), Why);
}

void abandonAtInstance(LineHost &Host, SessionTransaction &T) {
  if (!T.m_Opened)
    return;
  T.m_Opened = false;
  RunRequest Request;
  Request.set_mode(RunRequest::ABANDON);
  Request.set_instance(T.m_Instance);
  Request.set_transaction(T.m_Number);
  auto Send = [](LineHost &H, RunRequest R, std::string Dispatcher) -> Awaitable<void> {
    co_await runAtDispatcher(H, std::move(R), Dispatcher);
  };
  asio::co_spawn(Host.m_Io, Send(Host, std::move(Request), T.m_Dispatcher), asio::detached);
}

Awaitable<CallerAnswer> runFirst(LineHost &Host, CallerSession &S, const FirstRun &Run) {
  TimePoint Deadline = bootNow() + Run.m_Route->m_Timeout;
  std::set<std::string> Tried;
  CallerAnswer Last = refuse("BUSY", "no instance can serve this now", Reason::NoPrimary);
  for (int Try = 1; Try <= MaxTries && bootNow() < Deadline;) {
    auto To =
        chooseTarget(Host, S, *Run.m_Route, Run.m_PrimaryOnly, Run.m_Write, Run.m_ArrivedAt, Tried);
    if (!To) {
      if (!expectsPrimary(Host.m_Groups[Run.m_Route->m_Group], bootNow()))
        break;
      Tried.clear();
      co_await sleepFor(Host.m_Io, RetryPause);
      continue;
    }
    RunRequest Request = makeRequest(Host, S, Run, *To, Deadline);
    std::string Dispatcher;
    RunReply Reply = co_await runOnce(Host, std::move(Request), Dispatcher);
    SessionTransaction *T = Run.m_Transaction;
    if (T && Reply.outcome() == RunReply::ANSWERED && Reply.state() != "I") {
      T->m_Opened = true;
      T->m_Instance = To->m_Instance;
      T->m_Dispatcher = Dispatcher;
    }
    if (Reply.outcome() == RunReply::ANSWERED && Reply.error_code().empty()) {
      S.m_Last = Position{Reply.position().term(), Reply.position().index()};
      if (Run.m_Write && !T) {
        S.m_Group = Run.m_Route->m_Group;
        S.m_Position = *S.m_Last;
      }
      co_return takeAnswer(Reply);
    }
    Last = failedAnswer(Run, Reply);
    Last.m_Inputs = describeAttempt(Host, *To, Dispatcher, Try);
    if (!mayRunAgain(Reply, Run.m_Write && !T))
      co_return Last;
    if (T)
      abandonAtInstance(Host, *T);
    logRetry(Host, *Run.m_What, To->m_Instance, Reply, Try++);
    Tried.insert(To->m_Instance);
    if (To->m_Instance == Host.m_Groups[Run.m_Route->m_Group].m_Primary)
      co_await sleepFor(Host.m_Io, RetryPause);
  }
  co_return Last;
}

// --- Statements of an open transaction ---

RunRequest makeNext(const CallerSession &S, const SessionTransaction &T, const Statement &What) {
  RunRequest Request;
  Request.set_mode(What.m_Kind == StatementKind::Commit ? RunRequest::END : RunRequest::NEXT);
  Request.set_group(T.m_Route.m_Group);
  Request.set_instance(T.m_Instance);
  Request.set_customer(T.m_Customer);
  Request.set_transaction(T.m_Number);
  Request.set_priority(T.m_Route.m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(T.m_Route.m_Timeout.count()));
  Request.set_run_ms(static_cast<uint32_t>(T.m_Route.m_Timeout.count()));
  Request.set_write(What.m_Kind == StatementKind::Commit && T.m_Wrote);
  fillSession(Request, S, What);
  return Request;
}

Awaitable<CallerAnswer> runInTransaction(LineHost &Host, CallerSession &S, const Statement &What) {
  SessionTransaction &T = S.m_Transaction;
  bool Commit = What.m_Kind == StatementKind::Commit;
  std::string Dispatcher = T.m_Dispatcher;
  RunReply Reply = co_await runOnce(Host, makeNext(S, T, What), Dispatcher);
  bool Answered = Reply.outcome() == RunReply::ANSWERED;
  if (Answered && Reply.error_code().empty()) {
    S.m_Last = Position{Reply.position().term(), Reply.position().index()};
    if (Commit && T.m_Wrote) {
      S.m_Group = T.m_Route.m_Group;
      S.m_Position = *S.m_Last;
    }
    if (Commit)
      T.m_Opened = false;
    co_return takeAnswer(Reply);
  }
  if (Reply.outcome() == RunReply::LOST) {
    T.m_Opened = false;
    if (Commit && T.m_Wrote)
      co_return refuse("INDOUBT", "no answer; the commit may have taken effect",
                       Reason::OutcomeUnknown);
    co_return refuse("ABORTED", "no answer from the instance", Reason::TransactionAborted);
  }
  if (Answered && Commit && Reply.state() == "I")
    T.m_Opened = false;
  abandonAtInstance(Host, T);
  if (Answered && (Reply.error_code() == "READONLY" || Reply.error_code() == "BUSY"))
    co_return refuse(Reply.error_code(), Reply.error_text(), Reason::StatementFailed);
  if (Answered && !Commit)
    co_return refuse("ABORTED", Reply.error_code() + " " + Reply.error_text(),
                     Reason::StatementFailed);
  if (Answered && T.m_Wrote) // a commit that ran and failed promises nothing
    co_return refuse("INDOUBT", Reply.error_code() + " " + Reply.error_text(),
                     Reason::OutcomeUnknown);
  co_return refuse("ABORTED", reasonName(static_cast<Reason>(Reply.refusal())),
                   static_cast<Reason>(Reply.refusal()));
}

// --- Statements ---

CallerAnswer beginHere(LineHost &Host, CallerSession &S, const Statement &What,
                       const Permission &Allowed) {
  if (!admitCustomerRequest(Host.m_Usage, Allowed.m_Customer, bootNow()))
    return refuseByRate(Host, Allowed.m_Customer);
  S.m_Transaction = {};
  SessionTransaction &T = S.m_Transaction;
  T.m_Begun = true;
  T.m_ReadOnly = What.m_Kind == StatementKind::BeginRead;
  T.m_BeginId = What.m_Id;
  T.m_BegunAt = bootNow();
  T.m_Route = Allowed.m_Route;
  T.m_Customer = Allowed.m_Customer;
  S.m_State.m_Transaction = TransactionState::Open;
  return {};
}

bool isWithdrawn(const LineHost &Host, const CallerSession &S) {
  auto Found = Host.m_WithdrawnKeys.find(S.m_Key);
  return Found != Host.m_WithdrawnKeys.end() && bootNow() - Found->second > WithdrawnGrace;
}

Awaitable<CallerAnswer> runTransactionStatement(LineHost &Host, CallerSession &S,
                                                const Statement &What) {
  SessionTransaction &T = S.m_Transaction;
  bool Ends = What.m_Kind == StatementKind::Commit || What.m_Kind == StatementKind::Rollback;
  CallerAnswer Answer;
  if (What.m_Kind == StatementKind::Rollback) {
    abandonAtInstance(Host, T);
  } else if (isWithdrawn(Host, S)) {
    abandonAtInstance(Host, T);
    Answer = refuse("UNAUTH", "the key was withdrawn", Reason::KeyWithdrawn);
  } else {
    bool Write = isWrite(S.m_State, What);
    T.m_Wrote = T.m_Wrote || Write;
    if (T.m_Opened) {
      Answer = co_await runInTransaction(Host, S, What);
    } else {
      FirstRun Run;
      Run.m_What = &What;
      Run.m_Route = &T.m_Route;
      Run.m_Customer = T.m_Customer;
      Run.m_Write = Write;
      Run.m_PrimaryOnly = needsPrimary(T.m_Route, Write, !T.m_ReadOnly);
      Run.m_Transaction = &T;
      Run.m_ArrivedAt = T.m_BegunAt;
      Run.m_ReceivedAt = bootNow();
      Answer = co_await runFirst(Host, S, Run);
    }
  }
  if (!Answer.m_Error.empty())
    abandonAtInstance(Host, T);
  if (Ends) {
    S.m_State.m_Transaction = TransactionState::None;
    T = {};
  } else if (!Answer.m_Error.empty()) {
    S.m_State.m_Transaction = TransactionState::Failed;
  }
  co_return Answer;
}

Awaitable<CallerAnswer> runSingle(LineHost &Host, CallerSession &S, const Statement &What,
                                  const Permission &Allowed) {
  if (!admitCustomerRequest(Host.m_Usage, Allowed.m_Customer, bootNow()))
    co_return refuseByRate(Host, Allowed.m_Customer);
  FirstRun Run;
  Run.m_What = &What;
  Run.m_Route = &Allowed.m_Route;
  Run.m_Customer = Allowed.m_Customer;
  Run.m_Write = isWrite(S.m_State, What);
  Run.m_PrimaryOnly = needsPrimary(Allowed.m_Route, Run.m_Write, false);
  Run.m_ArrivedAt = Run.m_ReceivedAt = bootNow();
  CallerAnswer Answer = co_await runFirst(Host, S, Run);
  if (Answer.m_Error == "BUSY")
    refundCustomerRequest(Host.m_Usage, Allowed.m_Customer);
  co_return Answer;
}

Awaitable<CallerAnswer> runStatement(LineHost &Host, CallerSession &S, const Statement &What) {
  bool WasOpen = S.m_State.m_Transaction == TransactionState::Open;
  if (auto Local = runLocally(S.m_State, What)) {
    CallerAnswer Answer;
    Answer.m_Error = Local->m_Error;
    Answer.m_Text = Local->m_Text;
    if (!Local->m_Error.empty())
      Answer.m_Why = Reason::BadRequest;
    co_return Answer;
  }
  if (WasOpen)
    co_return co_await runTransactionStatement(Host, S, What);
  auto Checked = checkCaller(Host, S);
  if (auto *Refused = std::get_if<CallerAnswer>(&Checked))
    co_return *Refused;
  const auto &Allowed = std::get<Permission>(Checked);
  bool Begins = What.m_Kind == StatementKind::Begin || What.m_Kind == StatementKind::BeginRead;
  if (Begins)
    co_return beginHere(Host, S, What, Allowed);
  co_return co_await runSingle(Host, S, What, Allowed);
}

// --- The session ---

AnswerClass classify(const CallerAnswer &Answer) {
  if (Answer.m_Error.empty())
    return AnswerClass::Done;
  bool Unknown =
      Answer.m_Error == "INDOUBT" || Answer.m_Error == "TIMEOUT" || Answer.m_Error == "FAILED";
  return Unknown ? AnswerClass::Unknown : AnswerClass::NotRun;
}

void report(LineHost &Host, const CallerSession &S, const Statement &What,
            const CallerAnswer &Answer, Duration Took) {
  countAnswer(*Host.m_Metrics, S.m_Database, "", classify(Answer), Answer.m_Why, Took, false);
  if (Answer.m_Error.empty())
    return;
  const SessionTransaction &T = S.m_Transaction;
  logLine(
      LogLevel::Info, "statement_failed",
      {{"id", What.m_Id},
       {"verb", What.m_Text.substr(0, What.m_Text.find(' '))}, // data of callers is not logged
       {"database", S.m_Database},
       {"code", Answer.m_Error},
       {"why", std::string(reasonName(Answer.m_Why))},
       {"detail", Answer.m_Text},
       {"took_ms", fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(Took).count())},
       {"config", std::to_string(Host.m_Config ? Host.m_Config->m_Version : 0)},
       {"inputs", Answer.m_Inputs},
       {"transaction", T.m_Begun ? T.m_Instance + " by " + T.m_Dispatcher : ""}});
}

std::string formatAnswer(const CallerSession &S, const CallerAnswer &Answer) {
  std::string Output;
  for (const std::string &Row : Answer.m_Rows)
    Output += platform::formatRow(Row);
  Output += Answer.m_Error.empty() ? platform::formatComplete(Answer.m_Digest)
                                   : platform::formatError(Answer.m_Error, Answer.m_Text);
  Output += platform::formatReady(S.m_State.m_Transaction, S.m_Last);
  return Output;
}

// Greets the caller. Returns whether the session goes on.
Awaitable<bool> connectCaller(LineHost &Host, CallerSession &S) {
  auto Line = co_await readLine(S.m_Line, platform::MaxMessageBytes);
  if (!Line)
    co_return false;
  auto Message = platform::parseCallerMessage(*Line);
  auto *Connect = std::get_if<platform::ConnectMessage>(&Message);
  if (!Connect) {
    co_await writeText(S.m_Line, platform::formatError("MALFORMED", "CONNECT comes first"));
    co_return false;
  }
  S.m_Database = Connect->m_Database;
  S.m_Key = Connect->m_Key;
  auto Checked = checkCaller(Host, S);
  if (auto *Refused = std::get_if<CallerAnswer>(&Checked)) {
    logLine(LogLevel::Info, "connect_refused",
            {{"database", S.m_Database},
             {"code", Refused->m_Error},
             {"config", std::to_string(Host.m_Config ? Host.m_Config->m_Version : 0)}});
    co_await writeText(S.m_Line, platform::formatError(Refused->m_Error, Refused->m_Text));
    co_return false;
  }
  co_return co_await writeText(S.m_Line,
                               platform::formatReady(TransactionState::None, std::nullopt));
}

// The next message; nothing if the session is over. An open transaction ends after its idle time.
Awaitable<std::optional<std::string>> nextMessage(LineHost &Host, CallerSession &S) {
  if (hasLine(S.m_Line))
    co_return co_await readLine(S.m_Line, platform::MaxMessageBytes);
  bool Open = S.m_State.m_Transaction == TransactionState::Open;
  std::optional<ScopedDeadline> Limit;
  if (Open && Host.m_Config)
    Limit.emplace(Host.m_Watchdog, bootNow() + Host.m_Config->m_TransactionIdleTimeout,
                  [&Host, &S] {
                    logLine(LogLevel::Info, "transaction_idle", {{"database", S.m_Database}});
                    abandonAtInstance(Host, S.m_Transaction);
                    S.m_State.m_Transaction = TransactionState::Failed;
                  });
  else
    Limit.emplace(Host.m_Watchdog, bootNow() + SessionIdle,
                  [&S] { closeSocket(S.m_Line.m_Socket); });
  co_return co_await readLine(S.m_Line, platform::MaxMessageBytes);
}

bool isIdle(const CallerSession &S) {
  return S.m_State.m_Transaction == TransactionState::None && !hasLine(S.m_Line);
}

Awaitable<void> serveStatements(LineHost &Host, CallerSession &S, bool &Busy) {
  while (!(Host.m_Stopping && isIdle(S))) {
    auto Line = co_await nextMessage(Host, S);
    if (!Line) {
      if (S.m_Line.m_Overlong)
        co_await writeText(S.m_Line, platform::formatError("MALFORMED", "message too long"));
      co_return;
    }
    auto Message = platform::parseCallerMessage(*Line);
    if (std::holds_alternative<platform::ReleaseMessage>(Message))
      co_return;
    auto *What = std::get_if<Statement>(&Message);
    CallerAnswer Answer = refuse("MALFORMED", "not a message of a session", Reason::BadRequest);
    TimePoint Started = bootNow();
    if (What) {
      Busy = true;
      ++Host.m_OperationsInProgress;
      Answer = co_await runStatement(Host, S, *What);
      --Host.m_OperationsInProgress;
      report(Host, S, *What, Answer, bootNow() - Started);
    }
    bool Written = co_await writeText(S.m_Line, formatAnswer(S, Answer));
    Busy = false;
    bool Banned = Answer.m_Why == Reason::BadKey || Answer.m_Why == Reason::NoRoute ||
                  Answer.m_Why == Reason::KeyWithdrawn;
    if (!Written || Banned)
      co_return;
  }
}

Awaitable<void> serveCaller(LineHost &Host, Tcp::socket Socket) {
  configureSocket(Socket);
  CallerSession S(std::move(Socket));
  ++Host.m_Sessions;
  bool Busy = false;
  // Sessions that rest when the host stops are closed; callers then connect to another host.
  auto Poll = std::make_shared<std::function<void()>>();
  uint64_t Deadline = 0;
  *Poll = [&, Again = std::weak_ptr(Poll)] {
    if (Host.m_Stopping && !Busy && isIdle(S))
      closeSocket(S.m_Line.m_Socket);
    else if (auto Next = Again.lock())
      Deadline = addDeadline(Host.m_Watchdog, bootNow() + Millis(500), *Next);
  };
  (*Poll)();
  if (co_await connectCaller(Host, S))
    co_await serveStatements(Host, S, Busy);
  cancelDeadline(Host.m_Watchdog, Deadline);
  abandonAtInstance(Host, S.m_Transaction);
  closeSocket(S.m_Line.m_Socket);
  --Host.m_Sessions;
}

} // namespace

Awaitable<void> acceptCallers(LineHost &Host) {
  auto Endpoint = parseEndpoint(Host.m_Settings.m_Callers);
  Tcp::acceptor Acceptor(Host.m_Io, *Endpoint);
  for (;;) {
    auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
    if (Error) {
      co_await sleepFor(Host.m_Io, Millis(50)); // out of descriptors, most likely
      continue;
    }
    if (Host.m_Sessions < MaxSessions)
      asio::co_spawn(Host.m_Io, serveCaller(Host, std::move(Socket)), asio::detached);
    else
      logLine(LogLevel::Warning, "session_refused", {{"sessions", std::to_string(MaxSessions)}});
  }
}

} // namespace quetzalpaddle
