#include "instance_client.h"
#include "standin_instance.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace quetzalpaddle;
using instance::ServerFrame;

namespace {

// Only a test that is about to fail waits this long.
constexpr std::chrono::seconds CallTimeout{15};

const Executor RunInline = [](const std::function<void()> &Run) { Run(); };

using Instances = std::vector<std::shared_ptr<StandinInstance>>;
using FrameResult = std::variant<ServerFrame, LinkError>;

Instances startThreeInstances() { return startGroup({}, 3); }

template <class FaultSetter>
void setFault(const std::shared_ptr<StandinInstance> &I, FaultSetter SetFields) {
  standin::FaultRequest Request;
  SetFields(Request);
  setFaults(*I, Request);
}

void setFrozen(const std::shared_ptr<StandinInstance> &I, bool IsFrozen) {
  setFault(I, [&](auto &F) { F.set_freeze(IsFrozen); });
}

struct OpenResult {
  std::shared_ptr<InstanceConnection> m_Connection;
  std::optional<LinkError> m_Error;
};

OpenResult tryConnect(const std::string &Address, Duration Timeout = CallTimeout) {
  auto Done = std::make_shared<std::promise<std::optional<LinkError>>>();
  auto Connection =
      openConnection(Address, Timeout, RunInline,
                     [Done](std::optional<LinkError> Error) { Done->set_value(Error); });
  return {Connection, Done->get_future().get()};
}

std::shared_ptr<InstanceConnection> connectTo(const std::shared_ptr<StandinInstance> &I) {
  OpenResult Result = tryConnect(instanceAddress(*I));
  cr_assert(!Result.m_Error.has_value(), "connection refused");
  return Result.m_Connection;
}

std::future<FrameResult> sendAsync(const std::shared_ptr<InstanceConnection> &Connection,
                                   const instance::ClientFrame &Frame,
                                   Duration Timeout = CallTimeout) {
  auto Done = std::make_shared<std::promise<FrameResult>>();
  sendFrame(Connection, Frame, Timeout, [Done](const FrameResult &R) { Done->set_value(R); });
  return Done->get_future();
}

ServerFrame sendAndWait(const std::shared_ptr<InstanceConnection> &Connection,
                        const instance::ClientFrame &Frame) {
  FrameResult Result = sendAsync(Connection, Frame).get();
  cr_assert(std::holds_alternative<ServerFrame>(Result), "no answer: error %d",
            static_cast<int>(std::get<LinkError>(Result)));
  return std::get<ServerFrame>(Result);
}

void addStatement(google::protobuf::RepeatedPtrField<instance::Statement> *To, instance::Op Op,
                  const std::string &Key, const std::string &Value) {
  instance::Statement *S = To->Add();
  S->set_op(Op);
  S->set_table("t");
  S->set_key(Key);
  S->set_value(Value);
}

void setRequest(instance::RequestId *Request, const std::string &Id, uint32_t Attempt,
                const std::string &Hash = "h") {
  Request->set_customer("acme");
  Request->set_id(Id);
  Request->set_body_hash(Hash);
  Request->set_attempt(Attempt);
}

instance::ClientFrame makeWrite(instance::Op Op, const std::string &Key, const std::string &Value,
                                const std::string &Id = "", uint32_t Attempt = 1,
                                const std::string &Hash = "h") {
  instance::ClientFrame Frame;
  addStatement(Frame.mutable_execute()->mutable_statements(), Op, Key, Value);
  if (!Id.empty())
    setRequest(Frame.mutable_execute()->mutable_request(), Id, Attempt, Hash);
  return Frame;
}

instance::ClientFrame makeRead(const std::string &Key) {
  instance::ClientFrame Frame;
  Frame.mutable_execute()->set_read_only(true);
  addStatement(Frame.mutable_execute()->mutable_statements(), instance::OP_GET, Key, "");
  return Frame;
}

instance::ClientFrame makeRun(instance::Op Op, const std::string &Key, const std::string &Value) {
  instance::ClientFrame Frame;
  addStatement(Frame.mutable_run()->mutable_statements(), Op, Key, Value);
  return Frame;
}

instance::ClientFrame makeBegin() {
  instance::ClientFrame Frame;
  Frame.mutable_begin();
  return Frame;
}

instance::ClientFrame makeCommit(const std::string &Id = "", uint32_t Attempt = 1) {
  instance::ClientFrame Frame;
  Frame.mutable_commit();
  if (!Id.empty())
    setRequest(Frame.mutable_commit()->mutable_request(), Id, Attempt);
  return Frame;
}

instance::ClientFrame makeResolve(const std::string &Id, uint32_t Attempt) {
  instance::ClientFrame Frame;
  setRequest(Frame.mutable_resolve()->mutable_request(), Id, Attempt);
  return Frame;
}

template <class Reply, class Start> std::variant<Reply, LinkError> callAndWait(Start StartCall) {
  auto Done = std::make_shared<std::promise<std::variant<Reply, LinkError>>>();
  StartCall([Done](const std::variant<Reply, LinkError> &R) { Done->set_value(R); });
  return Done->get_future().get();
}

instance::StatusReply getStatus(const std::shared_ptr<StandinInstance> &I) {
  return std::get<instance::StatusReply>(callAndWait<instance::StatusReply>(
      [&](auto Done) { requestStatus(instanceAddress(*I), CallTimeout, RunInline, Done); }));
}

instance::FenceReply fence(const std::shared_ptr<StandinInstance> &I, uint64_t Term,
                           const std::string &Proposer) {
  instance::FenceRequest Request;
  Request.set_term(Term);
  Request.set_proposer(Proposer);
  return std::get<instance::FenceReply>(callAndWait<instance::FenceReply>(
      [&](auto Done) { sendFence(instanceAddress(*I), Request, CallTimeout, RunInline, Done); }));
}

bool promote(const std::shared_ptr<StandinInstance> &I, uint64_t Term,
             const std::string &Proposer) {
  instance::PromoteRequest Request;
  Request.set_term(Term);
  Request.set_proposer(Proposer);
  return std::get<instance::PromoteReply>(callAndWait<instance::PromoteReply>([&](auto Done) {
           sendPromote(instanceAddress(*I), Request, CallTimeout, RunInline, Done);
         }))
      .promoted();
}

bool follow(const std::shared_ptr<StandinInstance> &I, uint64_t Term,
            const std::shared_ptr<StandinInstance> &Primary) {
  instance::FollowRequest Request;
  Request.set_term(Term);
  Request.set_primary(instanceId(*Primary));
  Request.set_primary_address(instanceAddress(*Primary));
  return std::get<instance::FollowReply>(callAndWait<instance::FollowReply>([&](auto Done) {
           sendFollow(instanceAddress(*I), Request, CallTimeout, RunInline, Done);
         }))
      .accepted();
}

template <class Condition> bool waitUntil(Condition IsMet) {
  TimePoint Deadline = Clock::now() + CallTimeout;
  while (!IsMet()) {
    if (Clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(Millis(10));
  }
  return true;
}

Position appliedPosition(const std::shared_ptr<StandinInstance> &I) {
  instance::StatusReply Reply = getStatus(I);
  return {Reply.applied().term(), Reply.applied().index()};
}

Position toPosition(const ServerFrame &Frame) {
  return {Frame.position().term(), Frame.position().index()};
}

// Promotes the second or the third instance in term 2, with the other one as the second member of
// the majority.
void promoteReplica(const Instances &Members) {
  instance::FenceReply SecondReply = fence(Members[1], 2, "host-a");
  instance::FenceReply ThirdReply = fence(Members[2], 2, "host-a");
  cr_assert(SecondReply.granted() && ThirdReply.granted());
  // Only the longer log may be promoted.
  if (SecondReply.last().index() < ThirdReply.last().index()) {
    cr_assert(promote(Members[2], 2, "host-a") && follow(Members[1], 2, Members[2]));
    return;
  }
  cr_assert(promote(Members[1], 2, "host-a") && follow(Members[2], 2, Members[1]));
}

std::shared_ptr<StandinInstance> findPrimaryOfTerm(const Instances &Members, uint64_t Term) {
  for (const auto &I : Members) {
    instance::StatusReply Reply = getStatus(I);
    if (Reply.primary() && Reply.term() == Term)
      return I;
  }
  return nullptr;
}

} // namespace

// Guards against a replica that answers before it has the session's position, or that shows
// entries before its replay lag has passed.
Test(instance, readsWaitForTheirPosition) {
  Instances Members = startThreeInstances();
  setFault(Members[1], [](auto &F) { F.set_replay_lag_ms(600000); });
  ServerFrame WriteReply =
      sendAndWait(connectTo(Members[0]), makeWrite(instance::OP_PUT, "k", "v"));
  cr_assert_eq(WriteReply.code(), instance::OK, "%s", WriteReply.message().c_str());

  instance::ClientFrame Read = makeRead("k");
  *Read.mutable_execute()->mutable_min_position() = WriteReply.position();
  cr_assert_eq(sendAndWait(connectTo(Members[1]), Read).code(), instance::BEHIND);

  Read.mutable_execute()->set_wait_ms(10000);
  ServerFrame Answer = sendAndWait(connectTo(Members[2]), Read);
  cr_assert_eq(Answer.code(), instance::OK);
  cr_assert_eq(Answer.rows(0).value(), "v");
  cr_assert(toPosition(Answer) >= toPosition(WriteReply));

  auto PendingRead = sendAsync(connectTo(Members[1]), Read);
  setFault(Members[1], [](auto &F) { F.set_replay_lag_ms(0); });
  cr_assert_eq(std::get<ServerFrame>(PendingRead.get()).rows(0).value(), "v");
}

// Guards against stale data that is served as fresh, and against a receive lag that is taken for a
// lost primary.
Test(instance, dataAgeIsBoundedWhileContactContinues) {
  Instances Members = startThreeInstances();
  cr_assert(waitUntil([&] { return getStatus(Members[1]).data_age_ms() < 5000; }));
  setFault(Members[1], [](auto &F) { F.set_receive_lag_ms(600000); });
  cr_assert_eq(sendAndWait(connectTo(Members[0]), makeWrite(instance::OP_PUT, "k", "v")).code(),
               instance::OK);
  cr_assert(waitUntil([&] { return getStatus(Members[1]).data_age_ms() > 1000; }));
  instance::ClientFrame Read = makeRead("k");
  Read.mutable_execute()->set_max_age_ms(1000);
  cr_assert_eq(sendAndWait(connectTo(Members[1]), Read).code(), instance::TOO_OLD);
  Read.mutable_execute()->set_max_age_ms(60000);
  cr_assert_eq(sendAndWait(connectTo(Members[2]), Read).code(), instance::OK);
  cr_assert(waitUntil([&] { return getStatus(Members[1]).contact_age_ms() < 400; }));

  // The primary asks for a confirmation of its role rather than refuse what only it can answer.
  Read.mutable_execute()->set_max_age_ms(20);
  auto Connection = connectTo(Members[0]);
  cr_assert(waitUntil([&] { return sendAndWait(Connection, Read).code() == instance::OK; }));
}

// Guards against an acknowledgement by a primary that has been replaced, and against an
// acknowledged write that is lost in the promotion.
Test(instance, replacedPrimaryAcknowledgesNoWrite) {
  Instances Members = startThreeInstances();
  auto OldConnection = connectTo(Members[0]);
  cr_assert_eq(sendAndWait(OldConnection, makeWrite(instance::OP_PUT, "a", "1")).code(),
               instance::OK);
  setFrozen(Members[0], true);
  auto LateWrite = sendAsync(OldConnection, makeWrite(instance::OP_PUT, "late", "1", "late"));
  promoteReplica(Members);
  std::shared_ptr<StandinInstance> NewPrimary = findPrimaryOfTerm({Members[1], Members[2]}, 2);
  cr_assert(NewPrimary != nullptr);
  ServerFrame WriteReply =
      sendAndWait(connectTo(NewPrimary), makeWrite(instance::OP_PUT, "b", "2"));
  cr_assert_eq(WriteReply.code(), instance::OK, "%s", WriteReply.message().c_str());
  cr_assert_eq(WriteReply.term(), 2);

  setFrozen(Members[0], false);
  FrameResult Result = LateWrite.get();
  cr_assert(std::holds_alternative<ServerFrame>(Result));
  cr_assert_neq(std::get<ServerFrame>(Result).code(), instance::OK);
  // The replaced primary finds the new one by itself and discards the entries that only it holds.
  cr_assert(waitUntil([&] { return appliedPosition(Members[0]) >= toPosition(WriteReply); }));
  cr_assert_eq(sendAndWait(OldConnection, makeWrite(instance::OP_PUT, "c", "3")).code(),
               instance::NOT_PRIMARY);
  standin::DumpReply Dump = dumpInstance(*Members[0]);
  cr_assert_eq(Dump.rows_size(), 2);
  cr_assert_eq(Dump.rows(0).key(), "a");
  cr_assert_eq(Dump.rows(1).key(), "b");
}

// Guards against two primaries of one term, and against a fenced primary that continues to write.
Test(instance, termIsGrantedOnce) {
  Instances Members = startThreeInstances();
  cr_assert(fence(Members[0], 2, "host-a").granted());
  cr_assert(fence(Members[0], 2, "host-a").granted(), "repeated by the same proposer");
  cr_assert_not(fence(Members[0], 2, "host-b").granted());
  cr_assert_not(fence(Members[0], 1, "host-a").granted());
  cr_assert_not(promote(Members[0], 2, "host-b"));
  cr_assert_not(promote(Members[0], 3, "host-a"));
  cr_assert_eq(sendAndWait(connectTo(Members[0]), makeWrite(instance::OP_PUT, "k", "v")).code(),
               instance::NOT_PRIMARY);
  cr_assert_not(getStatus(Members[0]).primary());
}

// Guards against a promotion that is granted by an instance which has lost its data in a restart.
Test(instance, restartedInstanceGrantsNothingBeforeItHasCaughtUp) {
  Instances Members = startThreeInstances();
  StandinOptions Options;
  Options.m_Id = instanceId(*Members[2]);
  Options.m_GroupSize = 3;
  Options.m_IsRestarted = true;
  Members.pop_back();
  ServerFrame WriteReply =
      sendAndWait(connectTo(Members[0]), makeWrite(instance::OP_PUT, "k", "v"));
  cr_assert_eq(WriteReply.code(), instance::OK);
  Members.push_back(startInstance(Options));
  cr_assert(Members[2] != nullptr);
  cr_assert_not(fence(Members[2], 2, "host-a").granted());
  setPeers(*Members[2], {{instanceId(*Members[0]), instanceAddress(*Members[0])}});
  cr_assert(waitUntil([&] { return appliedPosition(Members[2]) >= toPosition(WriteReply); }));
  cr_assert(fence(Members[2], 2, "host-a").granted());
}

// Guards against a request that runs twice when it is retried at another primary.
Test(instance, requestIdTakesEffectOnceAcrossPromotion) {
  Instances Members = startThreeInstances();
  setFault(Members[0], [](auto &F) { F.set_drop_after_commit(1); });
  FrameResult LostResult =
      sendAsync(connectTo(Members[0]), makeWrite(instance::OP_ADD, "n", "5", "r1")).get();
  cr_assert(std::holds_alternative<LinkError>(LostResult));
  cr_assert_eq(std::get<LinkError>(LostResult), LinkError::Closed);

  setFrozen(Members[0], true);
  promoteReplica(Members);
  auto Connection = connectTo(findPrimaryOfTerm({Members[1], Members[2]}, 2));
  ServerFrame RepeatReply = sendAndWait(Connection, makeWrite(instance::OP_ADD, "n", "5", "r1"));
  cr_assert_eq(RepeatReply.code(), instance::OK, "%s", RepeatReply.message().c_str());
  cr_assert(RepeatReply.replayed());
  cr_assert_eq(RepeatReply.rows(0).value(), "5");
  cr_assert_eq(RepeatReply.position().term(), 1);
  cr_assert_eq(
      sendAndWait(Connection, makeWrite(instance::OP_ADD, "n", "6", "r1", 1, "other")).code(),
      instance::REQUEST_ID_REUSED);
  ServerFrame ResolveReply = sendAndWait(Connection, makeResolve("r1", 1));
  cr_assert(ResolveReply.code() == instance::OK && ResolveReply.replayed());
  cr_assert_eq(dumpInstance(*findPrimaryOfTerm({Members[1], Members[2]}, 2)).duplicate_commits(),
               0);
}

// Guards against a commit that takes effect after its request was reported as not run.
Test(instance, resolveSupersedesLateAttempt) {
  Instances Members = startThreeInstances();
  auto Writer = connectTo(Members[0]);
  auto OtherConnection = connectTo(Members[0]);
  cr_assert_eq(sendAndWait(Writer, makeBegin()).code(), instance::OK);
  cr_assert_eq(sendAndWait(Writer, makeRun(instance::OP_ADD, "n", "1")).code(), instance::OK);
  ServerFrame ResolveReply = sendAndWait(OtherConnection, makeResolve("r1", 1));
  cr_assert_eq(ResolveReply.code(), instance::SUPERSEDED);
  cr_assert_eq(ResolveReply.attempt(), 1);
  ServerFrame LateReply = sendAndWait(Writer, makeCommit("r1", 1));
  cr_assert_eq(LateReply.code(), instance::SUPERSEDED);
  cr_assert_eq(LateReply.attempt(), 1);
  cr_assert_eq(sendAndWait(Writer, makeCommit()).code(), instance::NO_TRANSACTION);
  cr_assert_eq(sendAndWait(OtherConnection, makeWrite(instance::OP_ADD, "n", "1", "r1", 2)).code(),
               instance::OK);
  cr_assert(sendAndWait(Writer, makeCommit("r1", 2)).replayed(),
            "a repeated commit without transaction");
  standin::DumpReply Dump = dumpInstance(*Members[0]);
  cr_assert_eq(Dump.rows(0).value(), "1");
  cr_assert_eq(Dump.committed_requests_size(), 1);
}

// Guards against an answer that reaches the caller of another frame.
Test(instance, crossedAnswerIsNotDelivered) {
  Instances Members = startThreeInstances();
  auto Connection = connectTo(Members[0]);
  setFault(Members[0], [](auto &F) { F.set_cross_answers(1); });
  FrameResult CrossedResult = sendAsync(Connection, makeRead("k")).get();
  cr_assert(std::holds_alternative<LinkError>(CrossedResult));
  cr_assert_eq(std::get<LinkError>(CrossedResult), LinkError::Mismatch);
  FrameResult NextResult = sendAsync(Connection, makeRead("k")).get();
  cr_assert_eq(std::get<LinkError>(NextResult), LinkError::Unreachable, "the connection is closed");
  cr_assert_eq(sendAndWait(connectTo(Members[0]), makeRead("k")).code(), instance::OK);
}

// Guards against a frame that is refused or lost when it is sent from the handler of the previous
// answer, which may run before the completion of the previous write is reported.
Test(instance, nextFrameMayBeSentFromTheHandler) {
  Instances Members = startGroup({}, 1);
  auto Connection = connectTo(Members[0]);
  std::promise<uint32_t> LastCount;
  uint32_t SentCount = 0;
  FrameHandler HandleFrame = [&](const FrameResult &R) {
    if (std::holds_alternative<LinkError>(R) || ++SentCount == 2000)
      LastCount.set_value(SentCount);
    else
      sendFrame(Connection, makeRead("k"), CallTimeout, HandleFrame);
  };
  sendFrame(Connection, makeRead("k"), CallTimeout, HandleFrame);
  cr_assert_eq(LastCount.get_future().get(), 2000);
}

// Guards against connections beyond the limit, and against closed ones that are still counted.
Test(instance, connectionLimitHolds) {
  StandinOptions Options;
  Options.m_ConnectionLimit = 2;
  Instances Members = startGroup(Options, 1);
  auto FirstConnection = connectTo(Members[0]);
  auto SecondConnection = connectTo(Members[0]);
  OpenResult ThirdResult = tryConnect(instanceAddress(*Members[0]));
  cr_assert(ThirdResult.m_Error == LinkError::Unreachable);
  closeConnection(FirstConnection);
  cr_assert(
      waitUntil([&] { return !tryConnect(instanceAddress(*Members[0])).m_Error.has_value(); }));
  cr_assert_eq(sendAndWait(SecondConnection, makeRead("k")).code(), instance::OK);
}

// Guards against writes seen by other connections before the commit, and against lost updates.
Test(instance, transactionsAreIsolated) {
  Instances Members = startThreeInstances();
  auto ConnectionA = connectTo(Members[0]);
  auto ConnectionB = connectTo(Members[0]);
  cr_assert_eq(sendAndWait(ConnectionA, makeWrite(instance::OP_PUT, "n", "1")).code(),
               instance::OK);
  cr_assert_eq(sendAndWait(ConnectionA, makeBegin()).code(), instance::OK);
  cr_assert_eq(sendAndWait(ConnectionB, makeBegin()).code(), instance::OK);
  cr_assert_eq(sendAndWait(ConnectionA, makeRun(instance::OP_ADD, "n", "10")).rows(0).value(),
               "11");
  cr_assert_eq(sendAndWait(ConnectionB, makeRun(instance::OP_GET, "n", "")).rows(0).value(), "1");
  cr_assert_eq(sendAndWait(ConnectionB, makeRun(instance::OP_ADD, "n", "100")).rows(0).value(),
               "101");
  cr_assert_eq(sendAndWait(ConnectionA, makeCommit()).code(), instance::OK);
  cr_assert_eq(sendAndWait(ConnectionB, makeCommit()).code(), instance::STATEMENT_FAILED);

  cr_assert_eq(sendAndWait(ConnectionA, makeBegin()).code(), instance::OK);
  cr_assert_eq(sendAndWait(ConnectionA, makeRun(instance::OP_PUT, "n", "99")).code(), instance::OK);
  closeConnection(ConnectionA); // aborts the transaction
  cr_assert(waitUntil([&] { return getStatus(Members[0]).connections() == 1; }));
  cr_assert_eq(sendAndWait(ConnectionB, makeRead("n")).rows(0).value(), "11");
}

// Guards against an acknowledgement without a majority, and against the answer "not run" for a
// write that was logged.
Test(instance, writesNeedMajority) {
  Instances Members = startThreeInstances();
  auto Connection = connectTo(Members[0]);
  cr_assert_eq(sendAndWait(Connection, makeWrite(instance::OP_PUT, "a", "1")).code(), instance::OK);
  setFault(Members[0], [](auto &F) { F.set_cut_peers(true); });
  uint64_t LastIndex = 0;
  cr_assert(waitUntil([&] {
    LastIndex = getStatus(Members[0]).last().index();
    return sendAndWait(Connection, makeWrite(instance::OP_PUT, "b", "2")).code() ==
           instance::NO_MAJORITY;
  }));
  cr_assert_eq(getStatus(Members[0]).last().index(), LastIndex,
               "nothing is logged when the answer is not run");
  cr_assert_eq(sendAndWait(Connection, makeRead("a")).rows(0).value(), "1",
               "reads must still work");
  setFault(Members[0], [](auto &F) { F.set_cut_peers(false); });
  cr_assert(waitUntil([&] {
    return sendAndWait(Connection, makeWrite(instance::OP_PUT, "c", "3")).code() == instance::OK;
  }));
}

// Guards against an unreachable instance that is confused with one that may have run the request.
Test(instance, failuresAreDistinguished) {
  Instances Members = startThreeInstances();
  auto Connection = connectTo(Members[0]);
  std::string Address = instanceAddress(*Members[0]);
  setFault(Members[0], [](auto &F) { F.set_cut_hosts(true); });
  FrameResult CutResult = sendAsync(Connection, makeRead("k"), Millis(200)).get();
  cr_assert_eq(std::get<LinkError>(CutResult), LinkError::TimedOut);
  cr_assert(tryConnect(Address, Millis(200)).m_Error == LinkError::TimedOut);
  setFault(Members[0], [](auto &F) { F.set_cut_hosts(false); });

  Connection = connectTo(Members[0]);
  setFrozen(Members[0], true);
  auto PendingRead = sendAsync(Connection, makeRead("k"));
  auto StatusPromise =
      std::make_shared<std::promise<std::variant<instance::StatusReply, LinkError>>>();
  requestStatus(Address, CallTimeout, RunInline,
                [StatusPromise](const auto &R) { StatusPromise->set_value(R); });
  std::this_thread::sleep_for(Millis(100)); // lets the call reach the instance
  cr_assert_eq(dumpInstance(*Members[0]).duplicate_commits(), 0,
               "a dump works while the instance is frozen");
  Members.clear();
  FrameResult ReadResult = PendingRead.get();
  cr_assert(std::holds_alternative<LinkError>(ReadResult));
  cr_assert_eq(std::get<LinkError>(ReadResult), LinkError::Closed);
  auto StatusResult = StatusPromise->get_future().get();
  cr_assert(std::holds_alternative<LinkError>(StatusResult));
  cr_assert_eq(std::get<LinkError>(StatusResult), LinkError::Closed);

  cr_assert(tryConnect(Address).m_Error == LinkError::Unreachable);
  auto RefusedStatus = callAndWait<instance::StatusReply>(
      [&](auto Done) { requestStatus(Address, CallTimeout, RunInline, Done); });
  cr_assert_eq(std::get<LinkError>(RefusedStatus), LinkError::Unreachable);
}
