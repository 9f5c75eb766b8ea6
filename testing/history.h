// Recorder and checker for histories of concurrent runs. A run records the requests of callers and
// their answers; checkHistory() reports every violation of an invariant. A rule reports only what
// the history proves, so that there are no false positives.
//
// Requirements on the workload: a write consists of an ADD of 1 to a counter row and an INSERT of a
// row whose key is the request id, both in one transaction. The counter gives the order of the
// writes, and the inserted row shows whether the write took effect.
#pragma once

#include "quetzalpaddle.h"

#include <mutex>

namespace quetzalpaddle {

enum class HistoryKind { Add, Read, PairWrite, PairRead };

// One request of a session and its answer.
struct HistoryEvent {
  HistoryKind m_Kind = HistoryKind::Read;
  uint64_t m_Session = 0;
  std::string m_Customer;
  std::string m_KeyId;
  std::string m_Host;             // that received the request
  std::string m_RequestId;        // writes only
  std::string m_Row;              // requested counter row or pair
  std::string m_AnsweredRow;      // row in the answer
  int64_t m_Value = 0;            // counter in the answer; pairs: first value
  int64_t m_SecondValue = 0;      // pairs: second value
  bool m_HasSessionToken = false; // read that carries the session's token
  AnswerClass m_Class = AnswerClass::NotRun;
  Reason m_Reason = Reason::None; // of a rejection
  Position m_Position;            // log position of the answer
  TimePoint m_InvokedAt{};
  TimePoint m_AnsweredAt{};
};

// Withdrawal of a key, with the time at which it was accepted.
struct KeyWithdrawal {
  std::string m_KeyId;
  TimePoint m_AcceptedAt{};
};

// Revision of a configuration object that a host was seen to have.
struct RevisionObservation {
  std::string m_Host;
  std::string m_Object;
  uint64_t m_Revision = 0;
  TimePoint m_ObservedAt{};
};

struct RateLimit {
  double m_Rate = 0;  // requests per second
  double m_Burst = 0; // requests
};

// Contents of the database at the end of a run.
struct FinalState {
  std::map<std::string, int64_t> m_Counters;      // by counter row
  std::map<std::string, uint32_t> m_EffectCounts; // by request id: how often it took effect
};

struct History {
  std::mutex m_Lock;
  std::vector<HistoryEvent> m_Events;
  std::vector<KeyWithdrawal> m_Withdrawals;
  std::vector<RevisionObservation> m_Revisions; // in the order of observation
  std::map<std::string, RateLimit> m_Limits;
};

// Appends an event. Thread-safe.
void recordEvent(History &H, HistoryEvent Event);

enum class Rule {
  SessionOrder,     // read-your-writes and monotonic reads within a session
  LostWrite,        // an acknowledged write is missing at the end
  DoubledWrite,     // a request id took effect more than once, or a counter is too high
  FalseNotRun,      // a write was answered as not run, but took effect
  MixedTransaction, // the values of a pair, written in one transaction, differ in a read
  WrongAnswer,      // the answer belongs to another request
  LateKeyUse,       // a withdrawn key was accepted after the grace period
  OverRate,         // more requests accepted than rate * t + burst
  RevisionReverted, // a host went back to an older revision of an object, also by a restart
};

// Returns the name of a rule for reports.
std::string_view ruleName(Rule R);

struct Violation {
  Rule m_Rule{};
  std::string m_Description;
};

// Checks all rules and returns the violations. A withdrawn key may be accepted until KeyGrace after
// its withdrawal.
std::vector<Violation> checkHistory(const History &H, const FinalState &End, Duration KeyGrace);

} // namespace quetzalpaddle
