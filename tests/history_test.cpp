// Each rule of the history checker must report a history that breaks it, and only that rule.
#include "history.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace quetzalpaddle;
using std::chrono::seconds;

namespace {

HistoryEvent makeEvent(HistoryKind Kind, int At, const std::string &RequestId, int64_t Value) {
  HistoryEvent Event;
  Event.m_Kind = Kind;
  Event.m_Session = 1;
  Event.m_Customer = "acme";
  Event.m_KeyId = "k1";
  Event.m_RequestId = RequestId;
  Event.m_Row = Event.m_AnsweredRow = "row";
  Event.m_Value = Event.m_SecondValue = Value;
  Event.m_HasSessionToken = true;
  Event.m_Class = AnswerClass::Done;
  Event.m_InvokedAt = TimePoint(seconds(At));
  Event.m_AnsweredAt = TimePoint(seconds(At) + Millis(1));
  return Event;
}

// One write, read back, for good.
struct Run {
  History m_History;
  FinalState m_End;
  Run() {
    m_History.m_Events = {makeEvent(HistoryKind::Add, 1, "w1", 1),
                          makeEvent(HistoryKind::Read, 2, "", 1)};
    m_History.m_Limits["acme"] = {1, 2};
    m_End.m_Counters["row"] = 1;
    m_End.m_EffectCounts["w1"] = 1;
  }
  std::vector<Violation> check() const { return checkHistory(m_History, m_End, seconds(5)); }
};

void expectOnly(const Run &R, Rule Broken) {
  std::vector<Violation> Found = R.check();
  cr_assert(!Found.empty(), "not reported");
  cr_assert(std::ranges::all_of(Found, [&](const Violation &V) { return V.m_Rule == Broken; }),
            "%s", Found[0].m_Description.c_str());
}

} // namespace

Test(history, acceptsAGoodRun) { cr_assert(Run().check().empty()); }

Test(history, reportsAReadThatMissesTheSessionsWrite) {
  Run R;
  R.m_History.m_Events[1].m_Value = 0;
  expectOnly(R, Rule::SessionOrder);
}

Test(history, reportsALostWrite) {
  Run R;
  R.m_End.m_EffectCounts.clear();
  R.m_End.m_Counters["row"] = 0;
  expectOnly(R, Rule::LostWrite);
}

Test(history, reportsADoubledRequest) {
  Run R;
  R.m_End.m_EffectCounts["w1"] = 2;
  expectOnly(R, Rule::DoubledWrite);
}

Test(history, reportsADoubledEffect) {
  Run R;
  R.m_End.m_Counters["row"] = 2;
  expectOnly(R, Rule::DoubledWrite);
}

Test(history, reportsAFalseNotRun) {
  Run R;
  R.m_History.m_Events[0].m_Class = AnswerClass::NotRun;
  expectOnly(R, Rule::FalseNotRun);
}

Test(history, reportsAMixedTransaction) {
  Run R;
  HistoryEvent Pair = makeEvent(HistoryKind::PairRead, 3, "", 1);
  Pair.m_HasSessionToken = false;
  Pair.m_SecondValue = 2;
  R.m_History.m_Events.push_back(Pair);
  expectOnly(R, Rule::MixedTransaction);
}

Test(history, reportsAnAnswerToAnotherRequest) {
  Run R;
  R.m_History.m_Events[1].m_AnsweredRow = "other";
  expectOnly(R, Rule::WrongAnswer);
}

Test(history, reportsUseOfAWithdrawnKeyAfterTheGrace) {
  Run R;
  R.m_History.m_Withdrawals.push_back({"k1", TimePoint(Millis(-3500))});
  expectOnly(R, Rule::LateKeyUse);
  R.m_History.m_Withdrawals[0].m_AcceptedAt = TimePoint(Millis(-2500));
  cr_assert(R.check().empty(), "use within the grace is allowed");
}

Test(history, reportsMoreThanRateAndBurst) {
  Run R;
  for (int I = 0; I < 2; ++I)
    R.m_History.m_Events.push_back(makeEvent(HistoryKind::Read, 2, "", 1));
  expectOnly(R, Rule::OverRate);
}

// A host that starts again must not serve an older configuration than before its restart.
Test(history, reportsARevisionThatGoesDown) {
  Run R;
  R.m_History.m_Revisions = {{"h1", "config/customer/acme", 5, {}},
                             {"h2", "config/customer/acme", 4, {}},
                             {"h1", "config/customer/acme", 7, {}}};
  cr_assert(R.check().empty(), "hosts may differ, each may only go up");
  R.m_History.m_Revisions.push_back({"h1", "config/customer/acme", 6, {}});
  expectOnly(R, Rule::RevisionReverted);
}
