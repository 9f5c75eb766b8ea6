// Each check function examines the whole history for one or more rules.
#include "history.h"

#include <fmt/core.h>

#include <algorithm>
#include <ranges>

namespace quetzalpaddle {

namespace {

using Violations = std::vector<Violation>;

bool isWrite(const HistoryEvent &Event) {
  return Event.m_Kind == HistoryKind::Add || Event.m_Kind == HistoryKind::PairWrite;
}

bool isDone(const HistoryEvent &Event) { return Event.m_Class == AnswerClass::Done; }

// A session sends a request only after the answer to the previous one, so sorting its events by
// time gives their order.
void checkSessions(const History &H, Violations &Found) {
  std::map<std::pair<uint64_t, std::string>, std::vector<const HistoryEvent *>> BySession;
  for (const HistoryEvent &Event : H.m_Events)
    if (isDone(Event) && (Event.m_Kind == HistoryKind::Add || Event.m_HasSessionToken))
      BySession[{Event.m_Session, Event.m_Row}].push_back(&Event);
  for (auto &[Session, Events] : BySession) {
    std::ranges::sort(Events, {}, &HistoryEvent::m_InvokedAt);
    int64_t LastValue = 0;
    for (const HistoryEvent *Event : Events) {
      if (Event->m_Value < LastValue)
        Found.push_back(
            {Rule::SessionOrder,
             fmt::format("session {} row {}: read {}, then {} at host {}", Session.first,
                         Session.second, LastValue, Event->m_Value, Event->m_Host)});
      LastValue = std::max(LastValue, Event->m_Value);
    }
  }
}

std::string describeAnswers(const History &H, const std::string &Id) {
  std::string Text;
  for (const HistoryEvent &Event : H.m_Events)
    if (Event.m_RequestId == Id)
      Text += fmt::format(" {}: {} at {}", static_cast<int>(Event.m_Class),
                          reasonName(Event.m_Reason), Event.m_Host);
  return Text;
}

void checkWrites(const History &H, const FinalState &End, Violations &Found) {
  // A request id may be sent more than once, and "not run" refers to a single call: an earlier call
  // with an unknown outcome, for example at a host that was killed, may still have taken effect.
  std::map<std::string, AnswerClass> Classes;
  for (const HistoryEvent &Event : H.m_Events | std::views::filter(isWrite)) {
    auto [Entry, IsNew] = Classes.emplace(Event.m_RequestId, Event.m_Class);
    if (!IsNew && Entry->second != AnswerClass::Done && Event.m_Class != AnswerClass::NotRun)
      Entry->second = Event.m_Class;
  }
  for (const auto &[Id, Class] : Classes) {
    auto Effects = End.m_EffectCounts.find(Id);
    uint32_t Count = Effects == End.m_EffectCounts.end() ? 0 : Effects->second;
    if (Class == AnswerClass::Done && Count == 0)
      Found.push_back({Rule::LostWrite,
                       fmt::format("request {} was acknowledged, but did not take effect", Id)});
    if (Class == AnswerClass::NotRun && Count > 0)
      Found.push_back(
          {Rule::FalseNotRun, fmt::format("request {} was answered as not run, but took effect;{}",
                                          Id, describeAnswers(H, Id))});
  }
  for (const auto &[Id, Count] : End.m_EffectCounts)
    if (Count > 1)
      Found.push_back(
          {Rule::DoubledWrite, fmt::format("request {} took effect {} times", Id, Count)});
}

// A counter's final value is the number of requests that added to it.
void checkCounters(const History &H, const FinalState &End, Violations &Found) {
  std::map<std::string, std::set<std::string>> EffectiveRequests;
  for (const HistoryEvent &Event : H.m_Events)
    if (Event.m_Kind == HistoryKind::Add && End.m_EffectCounts.contains(Event.m_RequestId))
      EffectiveRequests[Event.m_Row].insert(Event.m_RequestId);
  for (const auto &[Row, Value] : End.m_Counters) {
    auto Expected = static_cast<int64_t>(EffectiveRequests[Row].size());
    if (Value != Expected)
      Found.push_back(
          {Value > Expected ? Rule::DoubledWrite : Rule::LostWrite,
           fmt::format("row {} has value {}, but {} requests took effect", Row, Value, Expected)});
  }
}

void checkAnswers(const History &H, Violations &Found) {
  for (const HistoryEvent &Event : H.m_Events | std::views::filter(isDone)) {
    if (Event.m_AnsweredRow != Event.m_Row)
      Found.push_back({Rule::WrongAnswer, fmt::format("requested row {}, answered with row {}",
                                                      Event.m_Row, Event.m_AnsweredRow)});
    if (Event.m_Kind == HistoryKind::PairRead && Event.m_Value != Event.m_SecondValue)
      Found.push_back(
          {Rule::MixedTransaction, fmt::format("pair {} was read with values {} and {}",
                                               Event.m_Row, Event.m_Value, Event.m_SecondValue)});
  }
}

void checkKeys(const History &H, Duration KeyGrace, Violations &Found) {
  for (const KeyWithdrawal &Withdrawal : H.m_Withdrawals)
    for (const HistoryEvent &Event : H.m_Events)
      if (isDone(Event) && Event.m_KeyId == Withdrawal.m_KeyId &&
          Event.m_InvokedAt > Withdrawal.m_AcceptedAt + KeyGrace)
        Found.push_back({Rule::LateKeyUse, fmt::format("withdrawn key {} was accepted by host {}",
                                                       Withdrawal.m_KeyId, Event.m_Host)});
}

// A request that was invoked and answered within a time window was accepted within it. Counts the
// requests of each window, which starts with an invocation and ends with an answer; reports only
// the customer's first violation.
void checkRate(const std::string &Customer, const RateLimit &Limit,
               std::vector<const HistoryEvent *> Events, Violations &Found) {
  std::ranges::sort(Events, {}, &HistoryEvent::m_AnsweredAt);
  for (const HistoryEvent *First : Events) {
    uint32_t Count = 0;
    for (const HistoryEvent *Event : Events) {
      if (Event->m_InvokedAt < First->m_InvokedAt)
        continue;
      ++Count;
      double Seconds =
          std::chrono::duration<double>(Event->m_AnsweredAt - First->m_InvokedAt).count();
      if (Count > Limit.m_Rate * Seconds + Limit.m_Burst + 1e-6) {
        Found.push_back(
            {Rule::OverRate, fmt::format("customer {}: {} requests accepted in {:.3f} s", Customer,
                                         Count, Seconds)});
        return;
      }
    }
  }
}

void checkRates(const History &H, Violations &Found) {
  std::map<std::string, std::vector<const HistoryEvent *>> ByCustomer;
  for (const HistoryEvent &Event : H.m_Events)
    // A commit consumes no rate token: its transaction was admitted when it began.
    if (Event.m_Class != AnswerClass::NotRun && Event.m_Kind != HistoryKind::PairWrite)
      ByCustomer[Event.m_Customer].push_back(&Event);
  for (auto &[Customer, Events] : ByCustomer)
    if (auto Limit = H.m_Limits.find(Customer); Limit != H.m_Limits.end())
      checkRate(Customer, Limit->second, std::move(Events), Found);
}

void checkRevisions(const History &H, Violations &Found) {
  std::map<std::pair<std::string, std::string>, uint64_t> Highest;
  for (const RevisionObservation &Observation : H.m_Revisions) {
    uint64_t &HighestRevision = Highest[{Observation.m_Host, Observation.m_Object}];
    if (Observation.m_Revision < HighestRevision)
      Found.push_back({Rule::RevisionReverted,
                       fmt::format("host {} object {}: revision {} after {}", Observation.m_Host,
                                   Observation.m_Object, Observation.m_Revision, HighestRevision)});
    HighestRevision = std::max(HighestRevision, Observation.m_Revision);
  }
}

} // namespace

void recordEvent(History &H, HistoryEvent Event) {
  std::scoped_lock Locked(H.m_Lock);
  H.m_Events.push_back(std::move(Event));
}

std::string_view ruleName(Rule R) {
  constexpr std::array<std::string_view, 9> Names = {
      "session_order", "lost_write",   "doubled_write", "false_not_run",    "mixed_transaction",
      "wrong_answer",  "late_key_use", "over_rate",     "revision_reverted"};
  return Names.at(static_cast<size_t>(R));
}

std::vector<Violation> checkHistory(const History &H, const FinalState &End, Duration KeyGrace) {
  Violations Found;
  checkSessions(H, Found);
  checkWrites(H, End, Found);
  checkCounters(H, End, Found);
  checkAnswers(H, Found);
  checkKeys(H, KeyGrace, Found);
  checkRates(H, Found);
  checkRevisions(H, Found);
  return Found;
}

} // namespace quetzalpaddle
