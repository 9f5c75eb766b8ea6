// Statements of callers and the state of their sessions: values, prepared statements and
// transactions. Decides what a pooled connection needs before it can run a session's statement.
// Without sockets, threads or clocks.
#pragma once

#include "answer.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalpaddle {

enum class StatementKind {
  Begin,     // opens a transaction
  BeginRead, // opens a transaction that only reads
  Commit,
  Rollback,
  Read,
  Write,
  Set,        // a session value
  Prepare,    // names a statement for the session
  Execute,    // runs a prepared statement
  Deallocate, // forgets a prepared statement
  Unknown,    // not in the language
};

struct Statement {
  std::string m_Id; // the caller's, unique for one execution
  StatementKind m_Kind = StatementKind::Unknown;
  std::string m_Text;   // as received
  std::string m_Name;   // of the value or prepared statement
  std::string m_Value;  // SET: the value; PREPARE: kind and shape, such as "READ 1f"
  std::string m_Suffix; // EXECUTE: what follows the name
};

enum class TransactionState { None, Open, Failed };

// What a caller has established on its session. Survives a change of the pooled connection.
struct SessionState {
  std::map<std::string, std::string> m_Values;
  std::map<std::string, std::string> m_Prepared; // name -> kind and shape
  TransactionState m_Transaction = TransactionState::None;
};

// What a pooled connection holds.
struct ConnectionSetupState {
  std::map<std::string, std::string> m_Values;
  std::set<std::string> m_Prepared; // by preparedName()
};

// Statements to run on a connection before a session's own.
struct ConnectionSetup {
  bool m_Reset = false; // drop all values and prepared statements first
  std::vector<std::pair<std::string, std::string>> m_Set;
  std::optional<std::pair<std::string, std::string>> m_Prepare; // name, kind and shape
};

// The name of a prepared statement on pooled connections. It depends on kind and shape only, so
// that sessions whose names collide share a connection.
std::string preparedName(const std::string &Shape);

// Plans how a connection gets the session's values and one prepared statement (empty = none).
ConnectionSetup planConnectionSetup(const ConnectionSetupState &Content,
                                    const std::map<std::string, std::string> &Values,
                                    const std::string &Name, const std::string &Shape);

// Records that a preparation was carried out.
void applyConnectionSetup(ConnectionSetupState &Content, const ConnectionSetup &Plan);

// Number of statements that a connection needs before it can run a session's statement.
size_t countSetupStatements(const ConnectionSetup &Plan);

// What the host answers on its own, without an instance.
struct LocalAnswer {
  std::string m_Error; // empty = success
  std::string m_Text;
};

// Runs a statement that only concerns the session. Nothing if an instance has to run it.
std::optional<LocalAnswer> runLocally(SessionState &Session, const Statement &Stmt);

// Whether the statement may change data: then an unknown outcome must not be followed by a retry.
bool isWrite(const SessionState &Session, const Statement &Stmt);

// The text for the instance: prepared names replaced by those of pooled connections.
std::string formatForInstance(const SessionState &Session, const Statement &Stmt);

} // namespace quetzalpaddle
