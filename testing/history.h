// Recorder and checker of histories of concurrent runs. A run records what callers asked and were
// answered; checkHistory() reports every departure from what must always hold. Each rule reports
// only what the history proves, so that a report is never a false alarm.
//
// Workload rules: a write is an ADD of 1 to a counter row together with an INSERT of a row whose
// key is the request id; both in one transaction. The counter then tells the order of the writes,
// and the inserted row tells whether the write took effect.
#pragma once

#include "quetzalpaddle.h"

#include <mutex>

namespace quetzalpaddle {

enum class HistoryKind { Add, Read, PairWrite, PairRead };

struct HistoryEvent {
  HistoryKind m_Kind = HistoryKind::Read;
  uint64_t m_Session = 0;
  std::string m_Customer;
  std::string m_KeyId;
  std::string m_Host;             // that answered
  std::string m_RequestId;        // of writes
  std::string m_Row;              // counter row asked for
  std::string m_AnsweredRow;      // row named in the answer
  int64_t m_Value = 0;            // counter in the answer; PairWrite, PairRead: first value
  int64_t m_SecondValue = 0;      // PairWrite, PairRead: second value
  bool m_HasSessionToken = false; // a read with the session's token
  AnswerClass m_Class = AnswerClass::NotRun;
  Reason m_Reason = Reason::None; // of a refusal
  Position m_Position;            // of the answer
  TimePoint m_InvokedAt{};
  TimePoint m_AnsweredAt{};
};

struct KeyWithdrawal {
  std::string m_KeyId;
  TimePoint m_AcceptedAt{};
};

struct RevisionObservation {
  std::string m_Host;
  std::string m_Object;
  uint64_t m_Revision = 0;
  TimePoint m_ObservedAt{};
};

struct RateLimit {
  double m_Rate = 0;
  double m_Burst = 0;
};

// What the database holds at the end.
struct FinalState {
  std::map<std::string, int64_t> m_Counters;      // by counter row
  std::map<std::string, uint32_t> m_EffectCounts; // how often each request id took effect
};

struct History {
  std::mutex m_Lock;
  std::vector<HistoryEvent> m_Events;
  std::vector<KeyWithdrawal> m_Withdrawals;
  std::vector<RevisionObservation> m_Revisions; // in the order observed
  std::map<std::string, RateLimit> m_Limits;
};

// Thread-safe.
void recordEvent(History &H, HistoryEvent Event);

enum class Rule {
  SessionOrder,     // read-your-writes, and a session's reads never go back
  LostWrite,        // an acknowledged write is missing at the end
  DoubledWrite,     // a request id took effect more than once, or a counter is too high
  FalseNotRun,      // "not run", but it took effect
  MixedTransaction, // a pair written together was read apart
  WrongAnswer,      // an answer to another request
  LateKeyUse,       // a withdrawn key was still served
  OverRate,         // more accepted than rate * t + burst
  RevisionReverted, // a host, restarted or not, went back to an older revision of an object
};

std::string_view ruleName(Rule R);

struct Violation {
  Rule m_Rule{};
  std::string m_Description;
};

// Withdrawals are in force after KeyGrace.
std::vector<Violation> checkHistory(const History &H, const FinalState &End, Duration KeyGrace);

} // namespace quetzalpaddle
