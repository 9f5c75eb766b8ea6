// Requests to dispatchers for the statements of callers, and what is answered if they fail.
#pragma once

#include "explain.h"
#include "line_session.h"

namespace quetzalpaddle {

struct StatementRun {
  const Statement *m_Statement = nullptr;
  const LineRoute *m_Route = nullptr;
  std::string m_Customer;
  bool m_IsWrite = false;
  bool m_IsPrimaryOnly = false;
  SessionTransaction *m_Transaction = nullptr; // to be opened; null for a single statement
  TimePoint m_StalenessBaseAt{};               // start of the staleness limit
  TimePoint m_StatementArrivedAt{}; // arrival from the caller; start of the latency target
};

line::RunRequest makeRequest(LineHost &Host, const CallerSession &Session, const StatementRun &Run,
                             const Target &ChosenTarget, TimePoint Deadline);

// Makes the request for a statement of a transaction that is open at an instance.
line::RunRequest makeTransactionRequest(const CallerSession &Session,
                                        const SessionTransaction &Transaction,
                                        const Statement &Stmt);

SessionAnswer refuseOverRate(uint32_t RetryMs);

// Returns the answer for a statement that is not tried again.
SessionAnswer makeFailureAnswer(const StatementRun &Run, const line::RunReply &Reply);

} // namespace quetzalpaddle
