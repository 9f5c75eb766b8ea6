// Each rule of the history checker must report a history that breaks it, and only that rule.
#include "history.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace quetzalpaddle;
using std::chrono::seconds;

namespace {

HistoryEvent makeEvent(HistoryKind Kind, int AtSeconds, const std::string &RequestId,
                       int64_t Value) {
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
  Event.m_InvokedAt = TimePoint(seconds(AtSeconds));
  Event.m_AnsweredAt = TimePoint(seconds(AtSeconds) + Millis(1));
  return Event;
}

// A valid run: one write, its read, and the write in the final state.
struct SampleRun {
  History m_History;
  FinalState m_FinalState;
  SampleRun() {
    m_History.m_Events = {makeEvent(HistoryKind::Add, 1, "w1", 1),
                          makeEvent(HistoryKind::Read, 2, "", 1)};
    m_History.m_Limits["acme"] = {1, 2};
    m_FinalState.m_Counters["row"] = 1;
    m_FinalState.m_EffectCounts["w1"] = 1;
  }
  std::vector<Violation> check() const { return checkHistory(m_History, m_FinalState, seconds(5)); }
};

void expectOnlyRule(const SampleRun &Sample, Rule Expected) {
  std::vector<Violation> Violations = Sample.check();
  cr_assert(!Violations.empty(), "not reported");
  cr_assert(
      std::ranges::all_of(Violations, [&](const Violation &V) { return V.m_Rule == Expected; }),
      "%s", Violations[0].m_Description.c_str());
}

} // namespace

Test(history, acceptsAValidRun) { cr_assert(SampleRun().check().empty()); }

Test(history, reportsAReadThatMissesTheSessionsWrite) {
  SampleRun Sample;
  Sample.m_History.m_Events[1].m_Value = 0;
  expectOnlyRule(Sample, Rule::SessionOrder);
}

Test(history, reportsALostWrite) {
  SampleRun Sample;
  Sample.m_FinalState.m_EffectCounts.clear();
  Sample.m_FinalState.m_Counters["row"] = 0;
  expectOnlyRule(Sample, Rule::LostWrite);
}

Test(history, reportsADoubledRequest) {
  SampleRun Sample;
  Sample.m_FinalState.m_EffectCounts["w1"] = 2;
  expectOnlyRule(Sample, Rule::DoubledWrite);
}

Test(history, reportsADoubledEffect) {
  SampleRun Sample;
  Sample.m_FinalState.m_Counters["row"] = 2;
  expectOnlyRule(Sample, Rule::DoubledWrite);
}

Test(history, reportsAFalseNotRun) {
  SampleRun Sample;
  Sample.m_History.m_Events[0].m_Class = AnswerClass::NotRun;
  expectOnlyRule(Sample, Rule::FalseNotRun);
}

Test(history, reportsAMixedTransaction) {
  SampleRun Sample;
  HistoryEvent Pair = makeEvent(HistoryKind::PairRead, 3, "", 1);
  Pair.m_HasSessionToken = false;
  Pair.m_SecondValue = 2;
  Sample.m_History.m_Events.push_back(Pair);
  expectOnlyRule(Sample, Rule::MixedTransaction);
}

Test(history, reportsAnAnswerToAnotherRequest) {
  SampleRun Sample;
  Sample.m_History.m_Events[1].m_AnsweredRow = "other";
  expectOnlyRule(Sample, Rule::WrongAnswer);
}

Test(history, reportsUseOfAWithdrawnKeyAfterTheGrace) {
  SampleRun Sample;
  Sample.m_History.m_Withdrawals.push_back({"k1", TimePoint(Millis(-3500))});
  expectOnlyRule(Sample, Rule::LateKeyUse);
  Sample.m_History.m_Withdrawals[0].m_AcceptedAt = TimePoint(Millis(-2500));
  cr_assert(Sample.check().empty(), "use within the grace period is allowed");
}

Test(history, reportsMoreThanRateAndBurst) {
  SampleRun Sample;
  for (int Index = 0; Index < 2; ++Index)
    Sample.m_History.m_Events.push_back(makeEvent(HistoryKind::Read, 2, "", 1));
  expectOnlyRule(Sample, Rule::OverRate);
}

// A host that restarts must not serve an older configuration than before.
Test(history, reportsARevisionThatGoesDown) {
  SampleRun Sample;
  Sample.m_History.m_Revisions = {{"h1", "config/customer/acme", 5, {}},
                                  {"h2", "config/customer/acme", 4, {}},
                                  {"h1", "config/customer/acme", 7, {}}};
  cr_assert(Sample.check().empty(), "hosts may differ, but no revision may decrease on one host");
  Sample.m_History.m_Revisions.push_back({"h1", "config/customer/acme", 6, {}});
  expectOnlyRule(Sample, Rule::RevisionReverted);
}
