// Runs of a whole system over loopback sockets under faults; each history is checked.
#include "system.h"

#include "host.h"

#include <criterion/criterion.h>

#include <future>
#include <thread>

using namespace quetzalpaddle;
using std::chrono::seconds;

namespace {

constexpr seconds KeyGrace{5};
constexpr seconds PromotionLimit{10};

CallerRequest makeWrite(const TestSystem &S, const std::string &Row, const std::string &Id) {
  CallerRequest Request;
  Request.m_Kind = RequestKind::Write;
  Request.m_Route = "g1";
  Request.m_KeyText = S.m_Keys.at("acme");
  Request.m_RequestId = Id;
  Request.m_Statements = {makeStatement(instance::OP_ADD, "counters", Row, "1")};
  return Request;
}

CallerRequest makeRead(const TestSystem &S, const std::string &Row, const std::string &Token) {
  CallerRequest Request;
  Request.m_Route = "g1";
  Request.m_KeyText = S.m_Keys.at("acme");
  Request.m_Token = Token;
  Request.m_Statements = {makeStatement(instance::OP_GET, "counters", Row)};
  return Request;
}

void expectNoViolation(const History &H, const FinalState &End) {
  std::vector<Violation> Found = checkHistory(H, End, KeyGrace);
  cr_assert(Found.empty(), "%zu violations, first: %s: %s", Found.size(),
            std::string(ruleName(Found[0].m_Rule)).c_str(), Found[0].m_What.c_str());
}

} // namespace

// Guards against a session that does not find its own write at another host while replicas lag.
Test(system, readsOwnWriteThroughEveryHostUnderReplicaLag, .timeout = 120) {
  auto S = startSystem({});
  cr_assert(S);
  standin::FaultRequest Lag;
  Lag.set_replay_lag_ms(300);
  for (auto &Standin : S->m_Groups["g1"])
    setFaults(*Standin, Lag);
  CallerAnswer Written = callHost(*S, 0, makeWrite(*S, "row", "w1"));
  cr_assert(Written.m_Class == AnswerClass::Done, "%s", Written.m_Message.c_str());
  for (size_t Number = 0; Number < S->m_Hosts.size(); ++Number) {
    CallerAnswer Read = callHost(*S, Number, makeRead(*S, "row", Written.m_Token));
    cr_assert(Read.m_Class == AnswerClass::Done, "%s", Read.m_Message.c_str());
    cr_assert_eq(Read.m_Rows.size(), 1);
    cr_assert(Read.m_Rows[0].value() == "1", "host %zu", Number);
  }
}

// Guards against lost, doubled or falsely refused writes when a primary fails under load.
Test(system, keepsItsPromisesWhenAPrimaryFreezes, .timeout = 120) {
  SystemOptions Options;
  Options.m_Instance.m_Connect = Millis(10);
  auto S = startSystem(Options);
  cr_assert(S);
  History H;
  auto W = startWorkload(*S, H, {});
  std::this_thread::sleep_for(Millis(500));
  std::string Old = findPrimary(*S, "g1");
  standin::FaultRequest Freeze;
  Freeze.set_freeze(true);
  setFaults(getInstance(*S, "g1", Old), Freeze);
  cr_assert(waitUntil([&] { return findPrimary(*S, "g1") != Old; }, PromotionLimit));
  std::this_thread::sleep_for(Millis(500));
  Freeze.set_freeze(false);
  setFaults(getInstance(*S, "g1", Old), Freeze);
  std::this_thread::sleep_for(Millis(500));
  stopWorkload(*W);
  expectNoViolation(H, readFinalState(*S, "g1"));
  cr_assert(H.m_Events.size() > 100, "only %zu events", H.m_Events.size());
}

// Guards against writes refused for lack of retries, or run twice, when a primary is killed.
Test(system, writesWaitForTheNextPrimaryAfterAKill, .timeout = 120) {
  constexpr int Writes = 60; // more than the retry budget, fewer than a customer may have queued
  auto S = startSystem({});
  cr_assert(S);
  // The hosts take their shares of the customer's rate after the start.
  cr_assert(waitUntil(
      [&] { return callHost(*S, 0, makeWrite(*S, "row", "first")).m_Class == AnswerClass::Done; },
      PromotionLimit));
  Host *Entry = nullptr;
  runOnControlThread(*S->m_Hosts[0].m_Running, [&](Host &H) { Entry = &H; });
  std::string Old = findPrimary(*S, "g1");
  std::erase_if(S->m_Groups["g1"], [&](const auto &I) { return instanceId(*I) == Old; });
  std::atomic<int> Answered = 0;
  std::array<std::atomic<int>, static_cast<size_t>(Reason::Count)> Refused{};
  for (int Number = 0; Number < Writes; ++Number) {
    handleRequest(*Entry, makeWrite(*S, "row", "w" + std::to_string(Number)),
                  [&](const CallerAnswer &Answer) {
                    if (Answer.m_Class != AnswerClass::Done)
                      ++Refused.at(static_cast<size_t>(Answer.m_Reason));
                    ++Answered;
                  });
    std::this_thread::sleep_for(Millis(5));
  }
  cr_assert(waitUntil([&] { return Answered == Writes; }, PromotionLimit));
  for (size_t Code = 0; Code < Refused.size(); ++Code)
    cr_assert_eq(Refused[Code], 0, "%d writes refused: %s", Refused[Code].load(),
                 std::string(reasonName(static_cast<Reason>(Code))).c_str());
  cr_assert_eq(readFinalState(*S, "g1").m_Counters["row"], Writes + 1);
}

// Guards against a planned stop that ends while a request is in progress: every host is drained in
// turn with a slow write at it.
Test(system, aPlannedStopWaitsForTheRequestInProgress, .timeout = 120) {
  SystemOptions Options;
  Options.m_Settings.m_Drain.m_NoticeDuration = Millis(50);
  auto S = startSystem(Options);
  cr_assert(S);
  standin::FaultRequest Slow;
  Slow.set_statement_ms(1000);
  for (auto &Standin : S->m_Groups["g1"])
    setFaults(*Standin, Slow);
  for (size_t Number = 0; Number < 2; ++Number) {
    std::future<CallerAnswer> Answer = std::async(std::launch::async, [&] {
      return callHost(*S, Number, makeWrite(*S, "row", "w" + std::to_string(Number)));
    });
    std::this_thread::sleep_for(Millis(200));
    std::promise<void> Drained;
    drainHost(*S->m_Hosts[Number].m_Running, [&Drained] { Drained.set_value(); });
    Drained.get_future().wait();
    killHost(*S, Number);
    CallerAnswer Given = Answer.get();
    cr_assert(Given.m_Class == AnswerClass::Done, "host %zu: %s", Number, Given.m_Message.c_str());
  }
}
