#include "instance_client.h"
#include "standin_instance.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace quetzalpaddle;
using instance::ServerFrame;

namespace {

// Generous: only a test that is about to fail waits that long.
constexpr std::chrono::seconds Limit{15};

const Executor Inline = [](const std::function<void()> &Run) { Run(); };

using Instances = std::vector<std::shared_ptr<StandinInstance>>;
using FrameResult = std::variant<ServerFrame, LinkError>;

Instances startThree() { return startGroup({}, 3); }

template <class Change> void setFault(const std::shared_ptr<StandinInstance> &I, Change Set) {
  standin::FaultRequest Request;
  Set(Request);
  setFaults(*I, Request);
}

void freeze(const std::shared_ptr<StandinInstance> &I, bool On) {
  setFault(I, [&](auto &F) { F.set_freeze(On); });
}

struct Opened {
  std::shared_ptr<InstanceConnection> m_Connection;
  std::optional<LinkError> m_Error;
};

Opened tryOpen(const std::string &Address, Duration Timeout = Limit) {
  auto Done = std::make_shared<std::promise<std::optional<LinkError>>>();
  auto Connection = openConnection(Address, Timeout, Inline,
                                   [Done](std::optional<LinkError> E) { Done->set_value(E); });
  return {Connection, Done->get_future().get()};
}

std::shared_ptr<InstanceConnection> open(const std::shared_ptr<StandinInstance> &I) {
  Opened Result = tryOpen(instanceAddress(*I));
  cr_assert(!Result.m_Error.has_value(), "connection refused");
  return Result.m_Connection;
}

std::future<FrameResult> sendLater(const std::shared_ptr<InstanceConnection> &Connection,
                                   const instance::ClientFrame &Frame, Duration Timeout = Limit) {
  auto Done = std::make_shared<std::promise<FrameResult>>();
  sendFrame(Connection, Frame, Timeout, [Done](const FrameResult &R) { Done->set_value(R); });
  return Done->get_future();
}

ServerFrame send(const std::shared_ptr<InstanceConnection> &Connection,
                 const instance::ClientFrame &Frame) {
  FrameResult Result = sendLater(Connection, Frame).get();
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

template <class Reply, class Start> std::variant<Reply, LinkError> call(Start Begin) {
  auto Done = std::make_shared<std::promise<std::variant<Reply, LinkError>>>();
  Begin([Done](const std::variant<Reply, LinkError> &R) { Done->set_value(R); });
  return Done->get_future().get();
}

instance::StatusReply status(const std::shared_ptr<StandinInstance> &I) {
  return std::get<instance::StatusReply>(call<instance::StatusReply>(
      [&](auto Done) { requestStatus(instanceAddress(*I), Limit, Inline, Done); }));
}

instance::FenceReply fence(const std::shared_ptr<StandinInstance> &I, uint64_t Term,
                           const std::string &Proposer) {
  instance::FenceRequest Request;
  Request.set_term(Term);
  Request.set_proposer(Proposer);
  return std::get<instance::FenceReply>(call<instance::FenceReply>(
      [&](auto Done) { sendFence(instanceAddress(*I), Request, Limit, Inline, Done); }));
}

bool promote(const std::shared_ptr<StandinInstance> &I, uint64_t Term,
             const std::string &Proposer) {
  instance::PromoteRequest Request;
  Request.set_term(Term);
  Request.set_proposer(Proposer);
  return std::get<instance::PromoteReply>(call<instance::PromoteReply>([&](auto Done) {
           sendPromote(instanceAddress(*I), Request, Limit, Inline, Done);
         }))
      .promoted();
}

bool follow(const std::shared_ptr<StandinInstance> &I, uint64_t Term,
            const std::shared_ptr<StandinInstance> &Primary) {
  instance::FollowRequest Request;
  Request.set_term(Term);
  Request.set_primary(instanceId(*Primary));
  Request.set_primary_address(instanceAddress(*Primary));
  return std::get<instance::FollowReply>(call<instance::FollowReply>([&](auto Done) {
           sendFollow(instanceAddress(*I), Request, Limit, Inline, Done);
         }))
      .accepted();
}

template <class Condition> bool waitUntil(Condition Holds) {
  TimePoint End = Clock::now() + Limit;
  while (!Holds()) {
    if (Clock::now() > End)
      return false;
    std::this_thread::sleep_for(Millis(10));
  }
  return true;
}

Position shown(const std::shared_ptr<StandinInstance> &I) {
  instance::StatusReply Reply = status(I);
  return {Reply.applied().term(), Reply.applied().index()};
}

Position positionOf(const ServerFrame &Frame) {
  return {Frame.position().term(), Frame.position().index()};
}

// Promotes the second instance in term 2, with the third as the other half of the majority.
void promoteSecond(const Instances &G) {
  instance::FenceReply Second = fence(G[1], 2, "host-a");
  instance::FenceReply Third = fence(G[2], 2, "host-a");
  cr_assert(Second.granted() && Third.granted());
  if (Second.last().index() < Third.last().index()) { // only the longer log may be promoted
    cr_assert(promote(G[2], 2, "host-a") && follow(G[1], 2, G[2]));
    return;
  }
  cr_assert(promote(G[1], 2, "host-a") && follow(G[2], 2, G[1]));
}

std::shared_ptr<StandinInstance> primaryOf(const Instances &G, uint64_t Term) {
  for (const auto &I : G) {
    instance::StatusReply Reply = status(I);
    if (Reply.primary() && Reply.term() == Term)
      return I;
  }
  return nullptr;
}

} // namespace

// Guards against a replica that answers before it has the session's position, or that shows
// entries before its replay lag has passed.
Test(instance, readsWaitForTheirPosition) {
  Instances G = startThree();
  setFault(G[1], [](auto &F) { F.set_replay_lag_ms(600000); });
  ServerFrame Written = send(open(G[0]), makeWrite(instance::OP_PUT, "k", "v"));
  cr_assert_eq(Written.code(), instance::OK, "%s", Written.message().c_str());

  instance::ClientFrame Read = makeRead("k");
  *Read.mutable_execute()->mutable_min_position() = Written.position();
  cr_assert_eq(send(open(G[1]), Read).code(), instance::BEHIND);

  Read.mutable_execute()->set_wait_ms(10000);
  ServerFrame Answer = send(open(G[2]), Read);
  cr_assert_eq(Answer.code(), instance::OK);
  cr_assert_eq(Answer.rows(0).value(), "v");
  cr_assert(positionOf(Answer) >= positionOf(Written));

  auto Waiting = sendLater(open(G[1]), Read);
  setFault(G[1], [](auto &F) { F.set_replay_lag_ms(0); });
  cr_assert_eq(std::get<ServerFrame>(Waiting.get()).rows(0).value(), "v");
}

// Guards against stale data passed off as fresh, and against a lag in receiving that is taken for
// a lost primary.
Test(instance, ageOfDataIsBoundedWhileContactGoesOn) {
  Instances G = startThree();
  cr_assert(waitUntil([&] { return status(G[1]).data_age_ms() < 5000; }));
  setFault(G[1], [](auto &F) { F.set_receive_lag_ms(600000); });
  cr_assert_eq(send(open(G[0]), makeWrite(instance::OP_PUT, "k", "v")).code(), instance::OK);
  cr_assert(waitUntil([&] { return status(G[1]).data_age_ms() > 1000; }));
  instance::ClientFrame Read = makeRead("k");
  Read.mutable_execute()->set_max_age_ms(1000);
  cr_assert_eq(send(open(G[1]), Read).code(), instance::TOO_OLD);
  Read.mutable_execute()->set_max_age_ms(60000);
  cr_assert_eq(send(open(G[2]), Read).code(), instance::OK);
  cr_assert(waitUntil([&] { return status(G[1]).contact_age_ms() < 400; }));

  // The primary has itself confirmed rather than refuse what only it can answer.
  Read.mutable_execute()->set_max_age_ms(20);
  auto Connection = open(G[0]);
  cr_assert(waitUntil([&] { return send(Connection, Read).code() == instance::OK; }));
}

// Guards against an acknowledgement by a primary that has been replaced, and against losing an
// acknowledged write in the change.
Test(instance, replacedPrimaryAcknowledgesNothing) {
  Instances G = startThree();
  auto Old = open(G[0]);
  cr_assert_eq(send(Old, makeWrite(instance::OP_PUT, "a", "1")).code(), instance::OK);
  freeze(G[0], true);
  auto Late = sendLater(Old, makeWrite(instance::OP_PUT, "late", "1", "late"));
  promoteSecond(G);
  std::shared_ptr<StandinInstance> New = primaryOf({G[1], G[2]}, 2);
  cr_assert(New != nullptr);
  ServerFrame Written = send(open(New), makeWrite(instance::OP_PUT, "b", "2"));
  cr_assert_eq(Written.code(), instance::OK, "%s", Written.message().c_str());
  cr_assert_eq(Written.term(), 2);

  freeze(G[0], false);
  FrameResult Result = Late.get();
  cr_assert(std::holds_alternative<ServerFrame>(Result));
  cr_assert_neq(std::get<ServerFrame>(Result).code(), instance::OK);
  // It finds the new primary by itself and gives up what only it holds.
  cr_assert(waitUntil([&] { return shown(G[0]) >= positionOf(Written); }));
  cr_assert_eq(send(Old, makeWrite(instance::OP_PUT, "c", "3")).code(), instance::NOT_PRIMARY);
  standin::DumpReply Dump = dumpInstance(*G[0]);
  cr_assert_eq(Dump.rows_size(), 2);
  cr_assert_eq(Dump.rows(0).key(), "a");
  cr_assert_eq(Dump.rows(1).key(), "b");
}

// Guards against two primaries of one term, and against a fenced primary that goes on writing.
Test(instance, termIsGrantedOnce) {
  Instances G = startThree();
  cr_assert(fence(G[0], 2, "host-a").granted());
  cr_assert(fence(G[0], 2, "host-a").granted(), "repeated by the same proposer");
  cr_assert_not(fence(G[0], 2, "host-b").granted());
  cr_assert_not(fence(G[0], 1, "host-a").granted());
  cr_assert_not(promote(G[0], 2, "host-b"));
  cr_assert_not(promote(G[0], 3, "host-a"));
  cr_assert_eq(send(open(G[0]), makeWrite(instance::OP_PUT, "k", "v")).code(),
               instance::NOT_PRIMARY);
  cr_assert_not(status(G[0]).primary());
}

// Guards against a promotion decided by an instance that has lost its data in a restart.
Test(instance, restartedInstanceGrantsNothingBeforeItHasCaughtUp) {
  Instances G = startThree();
  StandinOptions Options;
  Options.m_Id = instanceId(*G[2]);
  Options.m_GroupSize = 3;
  Options.m_IsRestarted = true;
  G.pop_back();
  ServerFrame Written = send(open(G[0]), makeWrite(instance::OP_PUT, "k", "v"));
  cr_assert_eq(Written.code(), instance::OK);
  G.push_back(startInstance(Options));
  cr_assert(G[2] != nullptr);
  cr_assert_not(fence(G[2], 2, "host-a").granted());
  setPeers(*G[2], {{instanceId(*G[0]), instanceAddress(*G[0])}});
  cr_assert(waitUntil([&] { return shown(G[2]) >= positionOf(Written); }));
  cr_assert(fence(G[2], 2, "host-a").granted());
}

// Guards against a request that runs twice when it is repeated at another primary.
Test(instance, requestIdTakesEffectOnceAcrossPromotion) {
  Instances G = startThree();
  setFault(G[0], [](auto &F) { F.set_drop_after_commit(1); });
  FrameResult Lost = sendLater(open(G[0]), makeWrite(instance::OP_ADD, "n", "5", "r1")).get();
  cr_assert(std::holds_alternative<LinkError>(Lost));
  cr_assert_eq(std::get<LinkError>(Lost), LinkError::Closed);

  freeze(G[0], true);
  promoteSecond(G);
  auto Connection = open(primaryOf({G[1], G[2]}, 2));
  ServerFrame Again = send(Connection, makeWrite(instance::OP_ADD, "n", "5", "r1"));
  cr_assert_eq(Again.code(), instance::OK, "%s", Again.message().c_str());
  cr_assert(Again.replayed());
  cr_assert_eq(Again.rows(0).value(), "5");
  cr_assert_eq(Again.position().term(), 1);
  cr_assert_eq(send(Connection, makeWrite(instance::OP_ADD, "n", "6", "r1", 1, "other")).code(),
               instance::REQUEST_ID_REUSED);
  ServerFrame Resolved = send(Connection, makeResolve("r1", 1));
  cr_assert(Resolved.code() == instance::OK && Resolved.replayed());
  cr_assert_eq(dumpInstance(*primaryOf({G[1], G[2]}, 2)).duplicate_commits(), 0);
}

// Guards against a commit that takes effect after its request was reported as not run.
Test(instance, resolveRulesOutLateAttempt) {
  Instances G = startThree();
  auto Writer = open(G[0]);
  auto Other = open(G[0]);
  cr_assert_eq(send(Writer, makeBegin()).code(), instance::OK);
  cr_assert_eq(send(Writer, makeRun(instance::OP_ADD, "n", "1")).code(), instance::OK);
  ServerFrame Resolved = send(Other, makeResolve("r1", 1));
  cr_assert_eq(Resolved.code(), instance::SUPERSEDED);
  cr_assert_eq(Resolved.attempt(), 1);
  ServerFrame Late = send(Writer, makeCommit("r1", 1));
  cr_assert_eq(Late.code(), instance::SUPERSEDED);
  cr_assert_eq(Late.attempt(), 1);
  cr_assert_eq(send(Writer, makeCommit()).code(), instance::NO_TRANSACTION);
  cr_assert_eq(send(Other, makeWrite(instance::OP_ADD, "n", "1", "r1", 2)).code(), instance::OK);
  cr_assert(send(Writer, makeCommit("r1", 2)).replayed(), "a repeated commit without transaction");
  standin::DumpReply Dump = dumpInstance(*G[0]);
  cr_assert_eq(Dump.rows(0).value(), "1");
  cr_assert_eq(Dump.committed_requests_size(), 1);
}

// Guards against an answer that reaches the caller of another frame.
Test(instance, crossedAnswerIsNotDelivered) {
  Instances G = startThree();
  auto Connection = open(G[0]);
  setFault(G[0], [](auto &F) { F.set_cross_answers(1); });
  FrameResult Crossed = sendLater(Connection, makeRead("k")).get();
  cr_assert(std::holds_alternative<LinkError>(Crossed));
  cr_assert_eq(std::get<LinkError>(Crossed), LinkError::Mismatch);
  FrameResult After = sendLater(Connection, makeRead("k")).get();
  cr_assert_eq(std::get<LinkError>(After), LinkError::Unreachable, "the connection is closed");
  cr_assert_eq(send(open(G[0]), makeRead("k")).code(), instance::OK);
}

// Guards against a frame refused or lost when it is sent from the handler of the last answer, which
// may run before the end of the last write is reported.
Test(instance, nextFrameMayFollowAtOnce) {
  Instances G = startGroup({}, 1);
  auto Connection = open(G[0]);
  std::promise<uint32_t> Done;
  uint32_t Sent = 0;
  FrameHandler Next = [&](const FrameResult &R) {
    if (std::holds_alternative<LinkError>(R) || ++Sent == 2000)
      Done.set_value(Sent);
    else
      sendFrame(Connection, makeRead("k"), Limit, Next);
  };
  sendFrame(Connection, makeRead("k"), Limit, Next);
  cr_assert_eq(Done.get_future().get(), 2000);
}

// Guards against connections beyond the limit, and against places that are never given back.
Test(instance, connectionLimitHolds) {
  StandinOptions Options;
  Options.m_ConnectionLimit = 2;
  Instances G = startGroup(Options, 1);
  auto First = open(G[0]);
  auto Second = open(G[0]);
  Opened Third = tryOpen(instanceAddress(*G[0]));
  cr_assert(Third.m_Error == LinkError::Unreachable);
  closeConnection(First);
  cr_assert(waitUntil([&] { return !tryOpen(instanceAddress(*G[0])).m_Error.has_value(); }));
  cr_assert_eq(send(Second, makeRead("k")).code(), instance::OK);
}

// Guards against writes seen by other connections before the commit, and against lost updates.
Test(instance, transactionsAreIsolated) {
  Instances G = startThree();
  auto A = open(G[0]);
  auto B = open(G[0]);
  cr_assert_eq(send(A, makeWrite(instance::OP_PUT, "n", "1")).code(), instance::OK);
  cr_assert_eq(send(A, makeBegin()).code(), instance::OK);
  cr_assert_eq(send(B, makeBegin()).code(), instance::OK);
  cr_assert_eq(send(A, makeRun(instance::OP_ADD, "n", "10")).rows(0).value(), "11");
  cr_assert_eq(send(B, makeRun(instance::OP_GET, "n", "")).rows(0).value(), "1");
  cr_assert_eq(send(B, makeRun(instance::OP_ADD, "n", "100")).rows(0).value(), "101");
  cr_assert_eq(send(A, makeCommit()).code(), instance::OK);
  cr_assert_eq(send(B, makeCommit()).code(), instance::STATEMENT_FAILED);

  cr_assert_eq(send(A, makeBegin()).code(), instance::OK);
  cr_assert_eq(send(A, makeRun(instance::OP_PUT, "n", "99")).code(), instance::OK);
  closeConnection(A); // aborts
  cr_assert(waitUntil([&] { return status(G[0]).connections() == 1; }));
  cr_assert_eq(send(B, makeRead("n")).rows(0).value(), "11");
}

// Guards against an acknowledgement without a majority, and against "not run" after logging.
Test(instance, writesNeedMajority) {
  Instances G = startThree();
  auto Connection = open(G[0]);
  cr_assert_eq(send(Connection, makeWrite(instance::OP_PUT, "a", "1")).code(), instance::OK);
  setFault(G[0], [](auto &F) { F.set_cut_peers(true); });
  uint64_t Last = 0;
  cr_assert(waitUntil([&] {
    Last = status(G[0]).last().index();
    return send(Connection, makeWrite(instance::OP_PUT, "b", "2")).code() == instance::NO_MAJORITY;
  }));
  cr_assert_eq(status(G[0]).last().index(), Last, "nothing is logged when the answer is not run");
  cr_assert_eq(send(Connection, makeRead("a")).rows(0).value(), "1", "reads go on");
  setFault(G[0], [](auto &F) { F.set_cut_peers(false); });
  cr_assert(waitUntil([&] {
    return send(Connection, makeWrite(instance::OP_PUT, "c", "3")).code() == instance::OK;
  }));
}

// Guards against an unreachable instance that is confused with one that may have run the request.
Test(instance, failuresAreToldApart) {
  Instances G = startThree();
  auto Connection = open(G[0]);
  std::string Address = instanceAddress(*G[0]);
  setFault(G[0], [](auto &F) { F.set_cut_hosts(true); });
  FrameResult Cut = sendLater(Connection, makeRead("k"), Millis(200)).get();
  cr_assert_eq(std::get<LinkError>(Cut), LinkError::TimedOut);
  cr_assert(tryOpen(Address, Millis(200)).m_Error == LinkError::TimedOut);
  setFault(G[0], [](auto &F) { F.set_cut_hosts(false); });

  Connection = open(G[0]);
  freeze(G[0], true);
  auto Sent = sendLater(Connection, makeRead("k"));
  auto Asked = std::make_shared<std::promise<std::variant<instance::StatusReply, LinkError>>>();
  requestStatus(Address, Limit, Inline, [Asked](const auto &R) { Asked->set_value(R); });
  std::this_thread::sleep_for(Millis(100)); // lets the call reach the instance
  cr_assert_eq(dumpInstance(*G[0]).duplicate_commits(), 0, "works while frozen");
  G.clear();
  FrameResult Ended = Sent.get();
  cr_assert(std::holds_alternative<LinkError>(Ended));
  cr_assert_eq(std::get<LinkError>(Ended), LinkError::Closed);
  auto Answer = Asked->get_future().get();
  cr_assert(std::holds_alternative<LinkError>(Answer));
  cr_assert_eq(std::get<LinkError>(Answer), LinkError::Closed);

  cr_assert(tryOpen(Address).m_Error == LinkError::Unreachable);
  auto Refused =
      call<instance::StatusReply>([&](auto Done) { requestStatus(Address, Limit, Inline, Done); });
  cr_assert_eq(std::get<LinkError>(Refused), LinkError::Unreachable);
}
