// The invariants of docs/design.md under each fault of testing/faults.cpp and under pairs of them.
// One test per fault, so that a failing one runs alone: matrix_test --filter matrix/NAME, with the
// seed in MATRIX_SEED.
#include "faults.h"

#include <criterion/criterion.h>
#include <fmt/core.h>

#include <algorithm>
#include <ranges>

using namespace quetzalpaddle;

namespace {

uint64_t readSeed() {
  const char *Text = std::getenv("MATRIX_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

void expectNothingWrong(const std::vector<const Fault *> &Faults, uint64_t Seed) {
  std::string Names;
  for (const Fault *Each : Faults)
    Names += fmt::format(" {}", Each->m_Name);
  std::vector<std::string> Found = runFaults(Faults, Seed);
  for (const std::string &Problem : Found | std::views::take(5))
    fmt::print(stderr, "faults:{}: {}\n", Names, Problem);
  cr_assert(Found.empty(), "faults:%s, MATRIX_SEED=%llu: %zu problems, first: %s", Names.c_str(),
            static_cast<unsigned long long>(readSeed()), Found.size(), Found[0].c_str());
}

void runRow(std::string_view Name) {
  const auto &All = listFaults();
  auto Row = std::ranges::find(All, Name, &Fault::m_Name);
  cr_assert(Row != All.end());
  expectNothingWrong({&*Row}, readSeed() * 100 + static_cast<uint64_t>(Row - All.begin()));
}

// Two faults at once; pairs that exclude each other are passed over.
void runPair(uint64_t Number) {
  uint64_t Seed = readSeed() * 100 + 50 + Number;
  Random Rng(Seed);
  const auto &All = listFaults();
  while (true) {
    const Fault &A = All[Rng() % All.size()];
    const Fault &B = All[Rng() % All.size()];
    if (&A == &B || A.m_Name == "hostStopped" || B.m_Name == "hostStopped" ||
        (A.m_StopsPlatform && (B.m_NeedsPlatform || B.m_StopsPlatform)) ||
        (B.m_StopsPlatform && A.m_NeedsPlatform) ||
        (A.m_Duration > std::chrono::seconds(5) && B.m_Duration > std::chrono::seconds(5)))
      continue;
    expectNothingWrong({&A, &B}, Seed);
    return;
  }
}

} // namespace

// Guards against a caller who uses another customer's transaction, session or key.
Test(matrix, customersApart, .timeout = 120) {
  SystemOptions Options;
  Options.m_Customers = {{"acme", 100000, 10000}, {"small", 10000, 1000}};
  auto S = startSystem(Options);
  cr_assert(S);
  CallerRequest Request;
  Request.m_Kind = RequestKind::Begin;
  Request.m_Route = "g1";
  Request.m_KeyText = S->m_Keys["acme"];
  CallerAnswer Begun = callHost(*S, 0, Request);
  cr_assert(Begun.m_Class == AnswerClass::Done);
  Request.m_Transaction = Begun.m_Transaction;
  Request.m_Statements = {makeStatement(instance::OP_PUT, "pairs", "a", "1")};
  Request.m_RequestId = "one";
  for (RequestKind Kind : {RequestKind::Statement, RequestKind::Abort, RequestKind::Commit}) {
    Request.m_Kind = Kind;
    Request.m_KeyText = S->m_Keys["small"];
    CallerAnswer Foreign = callHost(*S, 1, Request);
    cr_assert(Foreign.m_Class == AnswerClass::NotRun, "customer small used acme's transaction");
  }
  Request.m_KeyText = S->m_Keys["acme"];
  cr_assert(callHost(*S, 1, Request).m_Class == AnswerClass::Done, "the owner cannot commit");
  Request.m_Kind = RequestKind::Read;
  Request.m_Statements = {makeStatement(instance::OP_GET, "pairs", "a")};
  Request.m_KeyText = S->m_Keys["small"];
  Request.m_Token = Begun.m_Token;
  cr_assert(callHost(*S, 1, Request).m_Reason == Reason::BadToken, "acme's token was accepted");
  Request.m_Token.clear();
  Request.m_KeyText.back() ^= 1;
  cr_assert(callHost(*S, 1, Request).m_Reason == Reason::BadKey, "a forged key was accepted");
}

// Each row guards against a broken invariant while its fault lasts and after it is healed.
#define ROW(NAME)                                                                                  \
  Test(matrix, NAME, .timeout = 120) { runRow(#NAME); }

ROW(primaryKilled)
ROW(primaryFrozen)
ROW(primaryCutOff)
ROW(primaryCutFromReplicas)
ROW(primaryCutFromHosts)
ROW(replicasBehind)
ROW(answersLate)
ROW(answersCrossed)
ROW(droppedBeforeCommit)
ROW(droppedAfterCommit)
ROW(hostKilled)
ROW(hostRestarted)
ROW(hostStopped)
ROW(platformDown)
ROW(platformSlow)
ROW(platformAnswersLost)
ROW(hostStartedWithoutPlatform)
ROW(keyWithdrawn)
ROW(keyWithdrawnWhileCut)
ROW(instanceLeaving)
ROW(operatorsRace)
ROW(configConflicts)

#define PAIR(NUMBER)                                                                               \
  Test(matrix, pair##NUMBER, .timeout = 120) { runPair(NUMBER); }

PAIR(1)
PAIR(2)
PAIR(3)
PAIR(4)
PAIR(5)
PAIR(6)
