// Sessions of callers, shared by the statements (line_session.cpp) and the life cycle of a session
// (line_caller.cpp).
#pragma once

#include "line_host.h"

#include <variant>

namespace quetzalpaddle {

// The host's answer to a statement.
struct SessionAnswer {
  std::vector<std::string> m_Rows;
  std::string m_Digest;
  std::string m_ErrorCode; // empty = success
  std::string m_ErrorText;
  Reason m_Reason = Reason::None; // for logs and metrics
  std::string m_DecisionInputs;   // data behind the decision, with ages; for logs
};

struct SessionTransaction {
  bool m_IsBegun = false; // the caller has begun it
  bool m_IsOpen = false;  // open at an instance
  bool m_HasWritten = false;
  bool m_IsReadOnly = false;
  std::string m_BeginId;
  TimePoint m_BegunAt{};
  LineRoute m_Route; // at the time of its begin
  std::string m_Customer;
  std::string m_Instance;
  std::string m_Dispatcher;
  uint64_t m_TransactionId = 0;
};

struct CallerSession {
  explicit CallerSession(Tcp::socket Socket) : m_Transport(std::move(Socket)) {}
  LineConnection m_Transport;
  std::string m_Database;
  std::string m_Key;
  SessionState m_State;
  SessionTransaction m_Transaction;
  // Position of the session's last commit to each group, as its route may have been moved; nothing
  // if its answer showed none.
  std::map<std::string, std::optional<Position>> m_Commits;
  std::optional<Position> m_ShownPosition; // position last sent to the caller
};

// What an authorized caller may use.
struct Permission {
  LineRoute m_Route;
  std::string m_Customer;
};

// --- line_session.cpp ---

SessionAnswer refuse(std::string_view Code, std::string_view Text, Reason AnswerReason);

// Checks that the session's caller may use its database now.
std::variant<Permission, SessionAnswer> checkPermission(const LineHost &Host,
                                                        const CallerSession &Session);

// Asks the dispatcher to roll back a transaction that is open at an instance, without waiting.
void abandonAtInstance(LineHost &Host, SessionTransaction &Transaction);

// Runs a statement of the session and returns the answer to the caller.
Awaitable<SessionAnswer> runStatement(LineHost &Host, CallerSession &Session,
                                      const Statement &Stmt);

} // namespace quetzalpaddle
