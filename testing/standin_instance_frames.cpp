#include "standin_instance_core.h"

namespace quetzalpaddle::instance_standin {

using instance::ClientFrame;
using instance::ServerFrame;

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

static void sendNow(Core &C, const SessionPtr &S, ServerFrame Frame) {
  if (!S->m_Reactor)
    return;
  if (C.m_Faults.cut_hosts()) { // the answer is lost, the connection stays open
    if (Frame.sequence() != 0)
      S->m_Reactor->StartRead(&S->m_RequestFrame);
    return;
  }
  if (Frame.sequence() != 0 && C.m_Faults.cross_answers() > 0) {
    C.m_Faults.set_cross_answers(C.m_Faults.cross_answers() - 1);
    Frame.set_sequence(Frame.sequence() + 1);
  }
  S->m_ReplyFrame = std::move(Frame);
  S->m_Reactor->StartWrite(&S->m_ReplyFrame);
}

static void sendAnswer(Core &C, const SessionPtr &S, ServerFrame Frame) {
  Frame.set_sequence(S->m_RequestFrame.sequence());
  Frame.set_term(C.m_Term);
  Frame.set_primary(isPrimary(C));
  Frame.set_primary_hint(C.m_Primary);
  toMessage(positionAt(C.m_Log, C.m_AppliedIndex), Frame.mutable_applied());
  if (C.m_Faults.answer_delay_ms() == 0) {
    sendNow(C, S, std::move(Frame));
    return;
  }
  postAfter(C, Millis(C.m_Faults.answer_delay_ms()),
            [&C, S, Frame = std::move(Frame)] { sendNow(C, S, Frame); });
}

static void refuse(Core &C, const SessionPtr &S, Code ErrorCode, const std::string &Message,
                   uint32_t Attempt = 0) {
  ServerFrame Frame;
  Frame.set_code(ErrorCode);
  Frame.set_message(Message);
  Frame.set_attempt(Attempt);
  sendAnswer(C, S, std::move(Frame));
}

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

void acceptSession(Core &C, const SessionPtr &S) {
  if (C.m_IsStopping) {
    endSession(C, S, {grpc::StatusCode::UNAVAILABLE, "stopping"});
    return;
  }
  C.m_Sessions.insert(S);
  if (C.m_Faults.cut_hosts())
    return; // no answer; ends when the host cancels the call
  if (C.m_ConnectionCount >= C.m_Options.m_ConnectionLimit) {
    endSession(C, S, {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many connections"});
    return;
  }
  ++C.m_ConnectionCount;
  S->m_IsCounted = true;
  Duration ConnectDelay = C.m_Faults.has_connect_ms() ? Millis(C.m_Faults.connect_ms())
                                                      : Millis(C.m_Options.m_ConnectDelay);
  auto SendGreeting = [&C, S] {
    S->m_RequestFrame.Clear(); // answered with sequence 0
    sendAnswer(C, S, {});
  };
  if (ConnectDelay == Duration::zero())
    SendGreeting();
  else
    postAfter(C, ConnectDelay, SendGreeting);
}

void endSession(Core &C, const SessionPtr &S, const grpc::Status &Status) {
  if (!S->m_Reactor)
    return;
  std::exchange(S->m_Reactor, nullptr)->Finish(Status);
  S->m_Transaction.reset();
  if (S->m_IsCounted)
    --C.m_ConnectionCount;
  C.m_Sessions.erase(S);
}

void handleAnswerSent(Core &C, const SessionPtr &S, bool Ok) {
  if (!S->m_Reactor)
    return;
  if (!Ok)
    endSession(C, S, {grpc::StatusCode::UNAVAILABLE, "the connection is closed"});
  else
    S->m_Reactor->StartRead(&S->m_RequestFrame);
}

//-----------------------------------------------------------------------------
// Slots
//-----------------------------------------------------------------------------

static void occupySlot(Core &C, SlotWaiter Waiter);

// Passes the slot on to the first waiter whose connection is open, or frees it.
static void releaseSlot(Core &C) {
  while (!C.m_SlotQueue.empty()) {
    SlotWaiter Next = std::move(C.m_SlotQueue.front());
    C.m_SlotQueue.pop_front();
    if (!Next.m_Session->m_Reactor)
      continue;
    postTask(C, [&C, Next = std::move(Next)] { occupySlot(C, Next); });
    return;
  }
  --C.m_BusySlotCount;
}

static void occupySlot(Core &C, SlotWaiter Waiter) {
  Duration StatementDuration = C.m_Faults.has_statement_ms()
                                   ? Duration(Millis(C.m_Faults.statement_ms()))
                                   : Duration(C.m_Options.m_StatementDuration);
  Duration Total = StatementDuration * Waiter.m_Statements;
  auto Complete = [&C, Waiter = std::move(Waiter)] {
    if (Waiter.m_Session->m_Reactor)
      Waiter.m_Run();
    releaseSlot(C);
  };
  if (Total == Duration::zero())
    Complete();
  else
    postAfter(C, Total, Complete);
}

static void runInSlot(Core &C, const SessionPtr &S, int Statements, Task Run) {
  SlotWaiter Waiter{S, static_cast<uint32_t>(std::max(Statements, 1)), std::move(Run)};
  if (C.m_BusySlotCount >= C.m_Options.m_SlotCount) {
    C.m_SlotQueue.push_back(std::move(Waiter));
    return;
  }
  ++C.m_BusySlotCount;
  occupySlot(C, std::move(Waiter));
}

//-----------------------------------------------------------------------------
// Commits and request ids
//-----------------------------------------------------------------------------

static bool hasRequestId(const instance::RequestId &Request) { return !Request.id().empty(); }

// Answers with the stored result of an entry once a majority holds it.
static void answerStoredResult(Core &C, const SessionPtr &S, uint64_t Index) {
  awaitCommit(C, Index, [&C, S, Index](bool IsCommitted) {
    if (!IsCommitted) {
      refuse(C, S, instance::OUTCOME_UNKNOWN, "no majority has stored the result in time");
      return;
    }
    const instance::LogEntry &Entry = C.m_Log.m_Entries[Index - 1];
    ServerFrame Frame;
    Frame.ParseFromString(Entry.result()); // contains rows only
    Frame.set_replayed(true);
    *Frame.mutable_position() = Entry.position();
    sendAnswer(C, S, std::move(Frame));
  });
}

// Answers a write whose request id is committed or whose attempt is ruled out. Returns whether it
// did.
static bool answerByRequestId(Core &C, const SessionPtr &S, const instance::RequestId &Request) {
  if (!hasRequestId(Request))
    return false;
  RequestState State = findRequest(C.m_Log, Request);
  if (State.m_CommittedIndex != 0) {
    const instance::LogEntry &Entry = C.m_Log.m_Entries[State.m_CommittedIndex - 1];
    bool MatchesAnyBody = Request.body_hash().empty(); // Resolve by a caller that knows only the id
    if (!MatchesAnyBody && Entry.request().body_hash() != Request.body_hash())
      refuse(C, S, instance::REQUEST_ID_REUSED, "the request id was used for another request");
    else
      answerStoredResult(C, S, State.m_CommittedIndex);
    return true;
  }
  if (State.m_RuledOutIndex == 0 || Request.attempt() > State.m_RuledOutAttempt)
    return false;
  refuse(C, S, instance::SUPERSEDED, "the attempt was ruled out", State.m_RuledOutAttempt);
  return true;
}

// Appends the writes of a transaction to the log and answers when a majority holds them.
static void commitBuffer(Core &C, const SessionPtr &S, const WriteBuffer &Buffer,
                         const instance::RequestId &Request, const ServerFrame &Result) {
  if (C.m_Faults.drop_before_commit() > 0) {
    C.m_Faults.set_drop_before_commit(C.m_Faults.drop_before_commit() - 1);
    endSession(C, S, {grpc::StatusCode::UNAVAILABLE, "connection dropped before the commit"});
    return;
  }
  instance::LogEntry Entry;
  for (const auto &[Key, New] : Buffer.m_Writes) {
    instance::Statement *Write = Entry.add_writes();
    Write->set_op(New ? instance::OP_PUT : instance::OP_DELETE);
    Write->set_table(Key.first);
    Write->set_key(Key.second);
    Write->set_value(New.value_or(""));
  }
  if (hasRequestId(Request)) {
    *Entry.mutable_request() = Request;
    Entry.set_result(Result.SerializeAsString());
  }
  Position EntryPosition{C.m_Term, lastIndex(C.m_Log) + 1};
  commitEntry(C, std::move(Entry), [&C, S, EntryPosition, Result](bool IsCommitted) {
    if (!IsCommitted) {
      refuse(C, S, instance::OUTCOME_UNKNOWN, "no majority has stored the entry in time");
      return;
    }
    if (C.m_Faults.drop_after_commit() > 0) {
      C.m_Faults.set_drop_after_commit(C.m_Faults.drop_after_commit() - 1);
      endSession(C, S, {grpc::StatusCode::UNAVAILABLE, "connection dropped after the commit"});
      return;
    }
    ServerFrame Frame = Result;
    toMessage(EntryPosition, Frame.mutable_position());
    sendAnswer(C, S, std::move(Frame));
  });
}

// Refuses a request if this is not the primary or has no majority in contact. Returns whether it
// did.
static bool refuseWithoutMajority(Core &C, const SessionPtr &S) {
  if (!isPrimary(C))
    refuse(C, S, instance::NOT_PRIMARY, "not the primary");
  else if (!hasMajority(C))
    refuse(C, S, instance::NO_MAJORITY, "no majority is in contact");
  else
    return false;
  return true;
}

//-----------------------------------------------------------------------------
// Frames
//-----------------------------------------------------------------------------

static void executeWrite(Core &C, const SessionPtr &S) {
  const instance::Execute &Request = S->m_RequestFrame.execute();
  if (!isPrimary(C)) {
    refuse(C, S, instance::NOT_PRIMARY, "not the primary");
    return;
  }
  if (answerByRequestId(C, S, Request.request()) || refuseWithoutMajority(C, S))
    return;
  // Statements read the end of the log, also entries that are not committed: the answer is sent
  // only after a majority holds everything that they have read.
  WriteBuffer Buffer;
  ServerFrame Result;
  for (const instance::Statement &Each : Request.statements()) {
    std::string Error =
        runStatement(C.m_Log, lastIndex(C.m_Log), Each, Buffer, Result.mutable_rows());
    if (!Error.empty()) {
      refuse(C, S, instance::STATEMENT_FAILED, Error);
      return;
    }
  }
  commitBuffer(C, S, Buffer, Request.request(), Result);
}

static void readNow(Core &C, const SessionPtr &S) {
  const instance::Execute &Request = S->m_RequestFrame.execute();
  WriteBuffer Buffer;
  ServerFrame Result;
  for (const instance::Statement &Each : Request.statements()) {
    std::string Error =
        runStatement(C.m_Log, C.m_AppliedIndex, Each, Buffer, Result.mutable_rows());
    if (Error.empty() && !Buffer.m_Writes.empty())
      Error = "write in a read-only request";
    if (!Error.empty()) {
      refuse(C, S, instance::STATEMENT_FAILED, Error);
      return;
    }
  }
  toMessage(positionAt(C.m_Log, C.m_AppliedIndex), Result.mutable_position());
  sendAnswer(C, S, std::move(Result));
}

static void executeRead(Core &C, const SessionPtr &S) {
  const instance::Execute &Request = S->m_RequestFrame.execute();
  if (Request.on_primary() && refuseWithoutMajority(C, S))
    return;
  if (Request.max_age_ms() == 0) {
    readNow(C, S);
    return;
  }
  awaitFreshness(C, Millis(Request.max_age_ms()), [&C, S](bool IsFresh) {
    if (IsFresh)
      readNow(C, S);
    else
      refuse(C, S, instance::TOO_OLD, "the data are older than max_age_ms");
  });
}

// Calls RunNext when the position is applied here; answers BEHIND if it is not within Timeout.
static void requirePosition(Core &C, const SessionPtr &S, Position P, Duration Timeout,
                            Task RunNext) {
  awaitPosition(C, P, Timeout, [&C, S, RunNext = std::move(RunNext)](bool IsApplied) {
    if (IsApplied)
      RunNext();
    else
      refuse(C, S, instance::BEHIND, "the position is not applied here");
  });
}

static void handleExecute(Core &C, const SessionPtr &S) {
  const instance::Execute &Request = S->m_RequestFrame.execute();
  int Statements = Request.statements_size();
  if (S->m_Transaction) {
    refuse(C, S, instance::BAD_FRAME, "a transaction is open already");
    return;
  }
  if (!Request.read_only()) {
    if (isPrimary(C))
      runInSlot(C, S, Statements, [&C, S] { executeWrite(C, S); });
    else
      refuse(C, S, instance::NOT_PRIMARY, "not the primary");
    return;
  }
  auto Read = [&C, S, Statements] { runInSlot(C, S, Statements, [&C, S] { executeRead(C, S); }); };
  if (!Request.on_primary()) {
    requirePosition(C, S, fromMessage(Request.min_position()), Millis(Request.wait_ms()), Read);
    return;
  }
  if (refuseWithoutMajority(C, S))
    return;
  // Until a majority holds an entry of its own term, a new primary does not know which writes its
  // predecessor acknowledged.
  awaitPosition(C, {C.m_Term, C.m_TermFirstIndex}, CommitTimeout, [&C, S, Read](bool IsApplied) {
    const instance::Execute &Pending = S->m_RequestFrame.execute();
    if (IsApplied)
      requirePosition(C, S, fromMessage(Pending.min_position()), Millis(Pending.wait_ms()), Read);
    else
      refuse(C, S, instance::NO_MAJORITY, "no majority holds an entry of the new term");
  });
}

static void handleBegin(Core &C, const SessionPtr &S) {
  const instance::Begin &Request = S->m_RequestFrame.begin();
  if (S->m_Transaction) {
    refuse(C, S, instance::BAD_FRAME, "a transaction is open already");
    return;
  }
  if (!Request.read_only() && refuseWithoutMajority(C, S))
    return;
  auto Open = [&C, S] {
    S->m_Transaction.emplace();
    S->m_Transaction->m_IsReadOnly = S->m_RequestFrame.begin().read_only();
    S->m_Transaction->m_Term = C.m_Term;
    ServerFrame Frame;
    toMessage(positionAt(C.m_Log, C.m_AppliedIndex), Frame.mutable_position());
    sendAnswer(C, S, std::move(Frame));
  };
  Position P = fromMessage(Request.min_position());
  if (Request.read_only()) {
    requirePosition(C, S, P, Duration::zero(), Open);
    return;
  }
  awaitPosition(C, {C.m_Term, C.m_TermFirstIndex}, CommitTimeout, [&C, S, P, Open](bool IsApplied) {
    if (IsApplied)
      requirePosition(C, S, P, Duration::zero(), Open);
    else
      refuse(C, S, instance::NO_MAJORITY, "no majority holds an entry of the new term");
  });
}

// Refuses a frame if no transaction is open or a change of term has aborted it. Returns whether it
// did.
static bool refuseWithoutTransaction(Core &C, const SessionPtr &S) {
  if (!S->m_Transaction) {
    refuse(C, S, instance::NO_TRANSACTION, "no transaction is open");
    return true;
  }
  if (S->m_Transaction->m_IsReadOnly || (isPrimary(C) && S->m_Transaction->m_Term == C.m_Term))
    return false;
  S->m_Transaction.reset();
  refuse(C, S, instance::TRANSACTION_ABORTED, "aborted by a change of term");
  return true;
}

static void runInTransaction(Core &C, const SessionPtr &S) {
  if (refuseWithoutTransaction(C, S))
    return;
  Transaction &Current = *S->m_Transaction;
  ServerFrame Result;
  for (const instance::Statement &Each : S->m_RequestFrame.run().statements()) {
    std::string Error =
        runStatement(C.m_Log, C.m_AppliedIndex, Each, Current.m_Buffer, Result.mutable_rows());
    if (Error.empty() && Current.m_IsReadOnly && !Current.m_Buffer.m_Writes.empty())
      Error = "write in a read-only transaction";
    if (!Error.empty()) {
      S->m_Transaction.reset();
      refuse(C, S, instance::STATEMENT_FAILED, Error);
      return;
    }
  }
  toMessage(positionAt(C.m_Log, C.m_AppliedIndex), Result.mutable_position());
  sendAnswer(C, S, std::move(Result));
}

static void handleCommit(Core &C, const SessionPtr &S) {
  // Valid without a transaction as well: a retried commit arrives on another connection.
  const instance::RequestId &Request = S->m_RequestFrame.commit().request();
  if (isPrimary(C) && answerByRequestId(C, S, Request)) {
    S->m_Transaction.reset();
    return;
  }
  if (refuseWithoutTransaction(C, S))
    return;
  Transaction Current = std::move(*S->m_Transaction);
  S->m_Transaction.reset();
  ServerFrame Result;
  if (Current.m_IsReadOnly || (Current.m_Buffer.m_Writes.empty() && !hasRequestId(Request))) {
    toMessage(positionAt(C.m_Log, C.m_AppliedIndex), Result.mutable_position());
    sendAnswer(C, S, std::move(Result));
    return;
  }
  if (refuseWithoutMajority(C, S))
    return;
  if (hasConflict(C.m_Log, Current.m_Buffer))
    refuse(C, S, instance::STATEMENT_FAILED, "conflict with a transaction that committed first");
  else
    commitBuffer(C, S, Current.m_Buffer, Request, Result);
}

static void handleResolve(Core &C, const SessionPtr &S) {
  const instance::RequestId &Request = S->m_RequestFrame.resolve().request();
  if (!hasRequestId(Request)) {
    refuse(C, S, instance::BAD_FRAME, "the request id is missing");
    return;
  }
  if (!isPrimary(C)) {
    refuse(C, S, instance::NOT_PRIMARY, "not the primary");
    return;
  }
  RequestState State = findRequest(C.m_Log, Request);
  if (State.m_CommittedIndex != 0) {
    answerByRequestId(C, S, Request);
    return;
  }
  auto Answer = [&C, S](uint32_t Attempt) {
    return [&C, S, Attempt](bool IsCommitted) {
      if (IsCommitted)
        refuse(C, S, instance::SUPERSEDED, "the request is not committed", Attempt);
      else
        refuse(C, S, instance::OUTCOME_UNKNOWN, "no majority has stored the entry in time");
    };
  };
  if (State.m_RuledOutIndex != 0 && State.m_RuledOutAttempt >= Request.attempt()) {
    awaitCommit(C, State.m_RuledOutIndex, Answer(State.m_RuledOutAttempt));
    return;
  }
  if (refuseWithoutMajority(C, S))
    return;
  instance::LogEntry Entry;
  *Entry.mutable_request() = Request;
  Entry.set_ruled_out(true);
  commitEntry(C, std::move(Entry), Answer(Request.attempt()));
}

void handleFrame(Core &C, const SessionPtr &S, bool Ok) {
  if (!S->m_Reactor)
    return;
  if (!Ok) {
    endSession(C, S, grpc::Status::OK);
    return;
  }
  if (C.m_IsStopping) { // as after a kill, frames that have arrived are not processed
    endSession(C, S, {grpc::StatusCode::UNAVAILABLE, "stopping"});
    return;
  }
  if (C.m_Faults.cut_hosts()) { // the frame is lost, the connection stays open
    S->m_Reactor->StartRead(&S->m_RequestFrame);
    return;
  }
  if (C.m_Options.m_OnFrame)
    C.m_Options.m_OnFrame(C.m_Options.m_Id, S->m_RequestFrame);
  switch (S->m_RequestFrame.body_case()) {
  case ClientFrame::kExecute:
    handleExecute(C, S);
    break;
  case ClientFrame::kBegin:
    handleBegin(C, S);
    break;
  case ClientFrame::kRun:
    if (!refuseWithoutTransaction(C, S))
      runInSlot(C, S, S->m_RequestFrame.run().statements_size(),
                [&C, S] { runInTransaction(C, S); });
    break;
  case ClientFrame::kCommit:
    handleCommit(C, S);
    break;
  case ClientFrame::kAbort:
    if (!refuseWithoutTransaction(C, S)) {
      S->m_Transaction.reset();
      sendAnswer(C, S, {});
    }
    break;
  case ClientFrame::kResolve:
    handleResolve(C, S);
    break;
  case ClientFrame::BODY_NOT_SET:
    refuse(C, S, instance::BAD_FRAME, "the frame has no body");
    break;
  }
}

} // namespace quetzalpaddle::instance_standin
