// Statements of callers and the state of their sessions: values, prepared statements and
// transactions. Plans the setup of a pooled connection for a session's statement. Free of I/O,
// threads and clock reads.
#pragma once

#include "answer.h"

#include <map>
#include <optional>
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
  Set,        // sets a session value
  Prepare,    // gives a statement a name for the session
  Execute,    // runs a prepared statement
  Deallocate, // removes a prepared statement
  Unknown,    // none of the above, or with wrong arguments
};

struct Statement {
  std::string m_Id; // chosen by the caller, unique for each execution
  StatementKind m_Kind = StatementKind::Unknown;
  std::string m_Text;   // as received
  std::string m_Name;   // of the session value or prepared statement
  std::string m_Value;  // SET: the value; PREPARE: kind and shape, such as "READ 1f"
  std::string m_Prefix; // EXECUTE: the text before the name
  std::string m_Suffix; // EXECUTE: a space and the arguments
};

enum class TransactionState { None, Open, Failed };

// State of a caller's session. It outlives the pooled connections that run its statements.
struct SessionState {
  std::map<std::string, std::string> m_Values;
  std::map<std::string, std::string> m_PreparedStatements; // name -> kind and shape
  TransactionState m_Transaction = TransactionState::None;
};

// Values and prepared statements that a pooled connection holds.
struct ConnectionSetupState {
  std::map<std::string, std::string> m_Values;
  std::map<std::string, std::string> m_PreparedStatements; // makePreparedName() -> kind and shape
  bool m_IsForgotten = false; // it may hold others; a reset comes before the next statement
};

// Statements to run on a connection before a session's statement.
struct ConnectionSetup {
  bool m_NeedsReset = false; // drop all values and prepared statements first
  std::vector<std::pair<std::string, std::string>> m_ValuesToSet;
  std::optional<std::pair<std::string, std::string>> m_StatementToPrepare; // name, kind and shape
};

// Returns the name of a prepared statement on pooled connections, a hash. It depends on kind and
// shape only, so that sessions that use one name for different statements can share a connection.
// Kinds and shapes with the same hash are told apart by planConnectionSetup().
std::string makePreparedName(const std::string &Shape);

// Plans the setup of a connection for the session's values and one prepared statement. Name: from
// makePreparedName(); empty: no prepared statement.
ConnectionSetup planConnectionSetup(const ConnectionSetupState &SetupState,
                                    const std::map<std::string, std::string> &Values,
                                    const std::string &Name, const std::string &Shape);

// Records that a setup has been carried out. A connection that then holds more than MaxSetupBytes
// is marked as forgotten, so that the host keeps no large values of a session that has gone on.
constexpr size_t MaxSetupBytes = size_t(64) << 10;
void applyConnectionSetup(ConnectionSetupState &SetupState, const ConnectionSetup &Plan);

// Returns the number of statements in a setup.
size_t countSetupStatements(const ConnectionSetup &Plan);

// Answer of the host itself to a statement that needs no instance.
struct LocalAnswer {
  std::string m_Error; // error code; empty: success
  std::string m_Text;
};

// Runs a statement that affects only the session, or refuses one that is invalid in its state.
// Returns nothing if an instance has to run the statement.
std::optional<LocalAnswer> runLocally(SessionState &Session, const Statement &Stmt);

// Whether the statement may change data. If it may, it must not be retried after an unknown
// outcome.
bool isWrite(const SessionState &Session, const Statement &Stmt);

// Returns the text for the instance, with the name of a prepared statement replaced by its name on
// pooled connections. An EXECUTE has to name a prepared statement of the session.
std::string formatForInstance(const SessionState &Session, const Statement &Stmt);

} // namespace quetzalpaddle
