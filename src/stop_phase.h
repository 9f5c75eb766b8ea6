// Phases of a planned stop, and what a host still accepts in each of them. Free of I/O, threads and
// clock reads.
//
// A request that a stopping host accepts gets its answer before the process ends. One that could
// not is refused at once, with a code that promises that nothing of it is kept.
#pragma once

#include "statement.h"

namespace quetzalpaddle {

// In the order of their occurrence.
enum class StopPhase {
  Serving,            // no stop was requested
  Announcing,         // not ready any more; everything is accepted
  ClosingIdle,        // idle sessions are closed, new ones refused
  EndingTransactions, // open transactions are rolled back; single statements are accepted
  Answering,          // what is in progress gets its final answer; nothing is accepted
  Over,               // the process ends, whatever is left
};

// Times at which the phases begin. All are zero while no stop was requested.
struct StopPlan {
  TimePoint m_BegunAt{};
  TimePoint m_ClosingIdleAt{};
  TimePoint m_EndingTransactionsAt{};
  TimePoint m_AnsweringAt{};
  TimePoint m_OverAt{};
};

// Plans a stop. Limit: from the stop signal until the process is killed. An open transaction has
// the first half of it to end.
StopPlan planStop(TimePoint BegunAt, Millis Limit);

StopPhase stopPhase(const StopPlan &Plan, TimePoint Now);

// Returns the name of a phase for the log and the state dump, for example "closing_idle".
std::string_view stopPhaseName(StopPhase Phase);

// Returns when a session that is next checked at At has to be checked: a phase that ends its
// transaction or the session may begin before. The begin of ClosingIdle does not count, so that
// sessions are closed over the interval of the checks and their callers do not reconnect at once.
TimePoint nextSessionCheck(const StopPlan &Plan, TimePoint Now, TimePoint At);

// Returns the earlier of At and the time of the final answers.
TimePoint limitByFinalAnswers(const StopPlan &Plan, TimePoint At);

enum class StatementRole {
  Single,
  OpensTransaction,
  InTransaction, // commits included
};

// Whether a statement that arrives in a phase is passed on to an instance.
bool acceptsStatement(StopPhase Phase, StatementRole Role);

// Returns the error code for a statement that is not accepted.
std::string_view stopErrorCode(StatementRole Role);

// Whether a new session is accepted in a phase.
bool acceptsSession(StopPhase Phase);

struct SessionActivity {
  bool m_IsStatementRunning = false; // or its answer is being written
  bool m_HasRequest = false;         // a request has arrived that was not handled yet
  bool m_HasPartialRequest = false;  // the first part of one was read
  TransactionState m_Transaction = TransactionState::None;
};

// Whether a session is closed in a phase.
bool canCloseSession(StopPhase Phase, const SessionActivity &Activity);

} // namespace quetzalpaddle
