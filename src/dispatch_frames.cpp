#include "dispatch_frames.h"

namespace quetzalpaddle {

using peer::Kind;

namespace {

// Returns whether the request commits, so that it may have taken effect without an answer.
bool isCommitting(Kind ReqKind) { return ReqKind == Kind::WRITE || ReqKind == Kind::COMMIT; }

peer::ForwardReply makeReply(peer::AnswerClass Class, Reason ReasonCode, std::string Message = {}) {
  peer::ForwardReply Reply;
  Reply.set_class_(Class);
  Reply.set_reason(static_cast<uint32_t>(ReasonCode));
  Reply.set_message(std::move(Message));
  return Reply;
}

void setRequestId(instance::RequestId *To, const peer::ForwardRequest &Request) {
  *To = Request.request();
  To->set_customer(Request.customer()); // the authorized customer overrides the one in the id
}

Reason mapReason(instance::Code Code) {
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
  default: // unknown code, of a newer protocol version
    return Reason::Internal;
  }
}

// Returns the class of an instance's answer. KnownTerm is that of makeFrameReply().
peer::AnswerClass classifyAnswer(Kind ReqKind, const instance::ServerFrame &Frame,
                                 uint64_t KnownTerm) {
  bool CanCommit = isCommitting(ReqKind) || ReqKind == Kind::RESOLVE;
  bool IsReplaced = Frame.term() < KnownTerm;
  switch (Frame.code()) {
  case instance::OK:
    return CanCommit && IsReplaced ? peer::UNKNOWN : peer::DONE;
  case instance::SUPERSEDED: // after RESOLVE: a replicated marker now rules the attempt out
    return ReqKind == Kind::RESOLVE && IsReplaced ? peer::UNKNOWN : peer::NOT_RUN;
  case instance::REQUEST_ID_REUSED:
    return peer::NOT_RUN;
  case instance::OUTCOME_UNKNOWN:
    return peer::UNKNOWN;
  default:
    if (ReqKind == Kind::RESOLVE || (CanCommit && mapReason(Frame.code()) == Reason::Internal))
      return peer::UNKNOWN;
    return peer::NOT_RUN;
  }
}

} // namespace

bool isNewWork(Kind ReqKind) {
  return ReqKind == Kind::READ || ReqKind == Kind::WRITE || ReqKind == Kind::BEGIN;
}

bool isInTransaction(Kind ReqKind) {
  return ReqKind == Kind::STATEMENT || ReqKind == Kind::COMMIT || ReqKind == Kind::ABORT;
}

peer::ForwardReply makeRefusal(Kind ReqKind, Reason ReasonCode, std::string Message) {
  return makeReply(ReqKind == Kind::RESOLVE ? peer::UNKNOWN : peer::NOT_RUN, ReasonCode,
                   std::move(Message));
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

peer::ForwardReply makeLinkReply(Kind ReqKind, LinkError Error) {
  if (ReqKind == Kind::ABORT) // the instance aborts the transaction when its connection ends
    return makeReply(peer::DONE, Reason::None);
  if (Error == LinkError::Unreachable)
    return makeRefusal(ReqKind, isInTransaction(ReqKind) ? Reason::TransactionAborted
                                                         : Reason::InstanceUnavailable);
  if (isCommitting(ReqKind) || ReqKind == Kind::RESOLVE)
    return makeReply(peer::UNKNOWN, Reason::OutcomeUnknown);
  return makeRefusal(ReqKind, ReqKind == Kind::READ ? Reason::InstanceUnavailable
                                                    : Reason::TransactionAborted);
}

peer::ForwardReply makeFrameReply(Kind ReqKind, const std::string &Instance,
                                  instance::ServerFrame &Frame, uint64_t KnownTerm) {
  peer::AnswerClass Class = classifyAnswer(ReqKind, Frame, KnownTerm);
  Reason ReasonCode = mapReason(Frame.code());
  if (Class == peer::UNKNOWN &&
      (ReasonCode == Reason::None || ReasonCode == Reason::TransactionAborted))
    ReasonCode = Reason::OutcomeUnknown; // acknowledged by a replaced primary
  peer::ForwardReply Reply = makeReply(Class, ReasonCode, Frame.message());
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

ConnectionAction decideConnectionAction(Kind ReqKind, instance::Code Code) {
  using enum ConnectionAction;
  switch (Code) {
  case instance::OK:
    return ReqKind == Kind::BEGIN || ReqKind == Kind::STATEMENT ? KeepPinned : Release;
  case instance::STATEMENT_FAILED:
  case instance::SUPERSEDED:
  case instance::NO_TRANSACTION:
  case instance::TRANSACTION_ABORTED:
    return ReqKind == Kind::BEGIN ? Close : Release;
  case instance::NOT_PRIMARY:
  case instance::BEHIND:
  case instance::TOO_OLD:
  case instance::NO_MAJORITY:
  case instance::REQUEST_ID_REUSED:
    return isInTransaction(ReqKind) ? Close : Release;
  default:
    return Close;
  }
}

} // namespace quetzalpaddle
