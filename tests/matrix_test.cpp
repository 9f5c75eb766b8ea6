// Checks the invariants of docs/design.md under each fault of testing/faults.cpp and under pairs of
// them. There is one test per fault, so that a failing one can be run alone: matrix_test --filter
// matrix/NAME, with the seed in MATRIX_SEED.
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

void expectNoProblems(const std::vector<const Fault *> &Faults, uint64_t Seed) {
  std::string Names;
  for (const Fault *Each : Faults)
    Names += fmt::format(" {}", Each->m_Name);
  std::vector<std::string> Problems = runFaults(Faults, Seed);
  for (const std::string &Problem : Problems | std::views::take(5))
    fmt::print(stderr, "faults:{}: {}\n", Names, Problem);
  cr_assert(Problems.empty(), "faults:%s, MATRIX_SEED=%llu: %zu problems, first: %s", Names.c_str(),
            static_cast<unsigned long long>(readSeed()), Problems.size(), Problems[0].c_str());
}

void runSingleFault(std::string_view Name) {
  const auto &AllFaults = listFaults();
  auto Match = std::ranges::find(AllFaults, Name, &Fault::m_Name);
  cr_assert(Match != AllFaults.end());
  expectNoProblems({&*Match}, readSeed() * 100 + static_cast<uint64_t>(Match - AllFaults.begin()));
}

// Runs two random faults at once; pairs that exclude each other are skipped.
void runPair(uint64_t PairNumber) {
  uint64_t Seed = readSeed() * 100 + 50 + PairNumber;
  Random Rng(Seed);
  const auto &AllFaults = listFaults();
  while (true) {
    const Fault &FirstFault = AllFaults[Rng() % AllFaults.size()];
    const Fault &SecondFault = AllFaults[Rng() % AllFaults.size()];
    if (&FirstFault == &SecondFault || FirstFault.m_Name == "hostStopped" ||
        SecondFault.m_Name == "hostStopped" ||
        (FirstFault.m_StopsPlatform &&
         (SecondFault.m_NeedsPlatform || SecondFault.m_StopsPlatform)) ||
        (SecondFault.m_StopsPlatform && FirstFault.m_NeedsPlatform) ||
        (FirstFault.m_Duration > std::chrono::seconds(5) &&
         SecondFault.m_Duration > std::chrono::seconds(5)))
      continue;
    expectNoProblems({&FirstFault, &SecondFault}, Seed);
    return;
  }
}

} // namespace

// Guards against a caller who uses another customer's transaction, session or key.
Test(matrix, customersApart, .timeout = 120) {
  SystemOptions Options;
  Options.m_Customers = {{"acme", 100000, 10000}, {"small", 10000, 1000}};
  auto System = startSystem(Options);
  cr_assert(System);
  CallerRequest Request;
  Request.m_Kind = RequestKind::Begin;
  Request.m_Route = "g1";
  Request.m_KeyText = System->m_Keys["acme"];
  CallerAnswer BeginAnswer = callHost(*System, 0, Request);
  cr_assert(BeginAnswer.m_Class == AnswerClass::Done);
  Request.m_Transaction = BeginAnswer.m_Transaction;
  Request.m_Statements = {makeStatement(instance::OP_PUT, "pairs", "a", "1")};
  Request.m_RequestId = "one";
  for (RequestKind Kind : {RequestKind::Statement, RequestKind::Abort, RequestKind::Commit}) {
    Request.m_Kind = Kind;
    Request.m_KeyText = System->m_Keys["small"];
    CallerAnswer ForeignAnswer = callHost(*System, 1, Request);
    cr_assert(ForeignAnswer.m_Class == AnswerClass::NotRun,
              "customer small used acme's transaction");
  }
  Request.m_KeyText = System->m_Keys["acme"];
  cr_assert(callHost(*System, 1, Request).m_Class == AnswerClass::Done, "the owner cannot commit");
  Request.m_Kind = RequestKind::Read;
  Request.m_Statements = {makeStatement(instance::OP_GET, "pairs", "a")};
  Request.m_KeyText = System->m_Keys["small"];
  Request.m_Token = BeginAnswer.m_Token;
  cr_assert(callHost(*System, 1, Request).m_Reason == Reason::BadToken,
            "acme's token was accepted");
  Request.m_Token.clear();
  Request.m_KeyText.back() ^= 1;
  cr_assert(callHost(*System, 1, Request).m_Reason == Reason::BadKey, "a forged key was accepted");
}

// Each test guards against an invariant that is broken while its fault lasts or after it is healed.
#define FAULT_TEST(NAME)                                                                           \
  Test(matrix, NAME, .timeout = 120) { runSingleFault(#NAME); }

FAULT_TEST(primaryKilled)
FAULT_TEST(primaryFrozen)
FAULT_TEST(primaryCutOff)
FAULT_TEST(primaryCutFromReplicas)
FAULT_TEST(primaryCutFromHosts)
FAULT_TEST(replicasBehind)
FAULT_TEST(answersLate)
FAULT_TEST(answersCrossed)
FAULT_TEST(droppedBeforeCommit)
FAULT_TEST(droppedAfterCommit)
FAULT_TEST(hostKilled)
FAULT_TEST(hostRestarted)
FAULT_TEST(hostStopped)
FAULT_TEST(platformDown)
FAULT_TEST(platformSlow)
FAULT_TEST(platformAnswersLost)
FAULT_TEST(hostStartedWithoutPlatform)
FAULT_TEST(keyWithdrawn)
FAULT_TEST(keyWithdrawnWhileCut)
FAULT_TEST(instanceLeaving)
FAULT_TEST(operatorsRace)
FAULT_TEST(configConflicts)

#define PAIR_TEST(NUMBER)                                                                          \
  Test(matrix, pair##NUMBER, .timeout = 120) { runPair(NUMBER); }

PAIR_TEST(1)
PAIR_TEST(2)
PAIR_TEST(3)
PAIR_TEST(4)
PAIR_TEST(5)
PAIR_TEST(6)
