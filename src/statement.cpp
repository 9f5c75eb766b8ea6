// Session values and prepared statements on pooled connections.
//
// A pooled connection serves many sessions, so it may hold values that the current session never
// set. The protocol can only drop all values at once, so such a connection is reset. Prepared
// statements are dropped by a reset only: those of other sessions do no harm, because their names
// depend on kind and shape and callers' names are translated.
#include "statement.h"

#include <algorithm>

namespace quetzalpaddle {

std::string preparedName(const std::string &Shape) {
  std::string Name = "q_" + Shape;
  std::ranges::replace(Name, ' ', '_');
  return Name;
}

ConnectionSetup planConnectionSetup(const ConnectionSetupState &Content,
                                    const std::map<std::string, std::string> &Values,
                                    const std::string &Name, const std::string &Shape) {
  ConnectionSetup Plan;
  Plan.m_Reset = std::ranges::any_of(
      Content.m_Values, [&](const auto &Held) { return !Values.contains(Held.first); });
  for (const auto &[Key, Value] : Values) {
    auto Held = Content.m_Values.find(Key);
    if (Plan.m_Reset || Held == Content.m_Values.end() || Held->second != Value)
      Plan.m_Set.emplace_back(Key, Value);
  }
  if (!Name.empty() && (Plan.m_Reset || !Content.m_Prepared.contains(Name)))
    Plan.m_Prepare.emplace(Name, Shape);
  return Plan;
}

void applyConnectionSetup(ConnectionSetupState &Content, const ConnectionSetup &Plan) {
  if (Plan.m_Reset)
    Content = {};
  for (const auto &[Key, Value] : Plan.m_Set)
    Content.m_Values[Key] = Value;
  if (Plan.m_Prepare)
    Content.m_Prepared.insert(Plan.m_Prepare->first);
}

size_t countSetupStatements(const ConnectionSetup &Plan) {
  return (Plan.m_Reset ? 1 : 0) + Plan.m_Set.size() + (Plan.m_Prepare ? 1 : 0);
}

std::optional<LocalAnswer> runLocally(SessionState &Session, const Statement &Stmt) {
  bool EndsTransaction =
      Stmt.m_Kind == StatementKind::Commit || Stmt.m_Kind == StatementKind::Rollback;
  if (Session.m_Transaction == TransactionState::Failed) {
    if (!EndsTransaction)
      return LocalAnswer{"MALFORMED", "the transaction has failed; end it first"};
    Session.m_Transaction = TransactionState::None;
    if (Stmt.m_Kind == StatementKind::Commit)
      return LocalAnswer{"ABORTED", "the transaction had failed and was rolled back"};
    return LocalAnswer{};
  }
  bool InTransaction = Session.m_Transaction == TransactionState::Open;
  switch (Stmt.m_Kind) {
  case StatementKind::Unknown:
    return LocalAnswer{"MALFORMED", "not a statement"};
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    if (InTransaction)
      return LocalAnswer{"MALFORMED", "a transaction is open already"};
    return std::nullopt;
  case StatementKind::Commit:
  case StatementKind::Rollback:
    if (!InTransaction)
      return LocalAnswer{"MALFORMED", "no transaction is open"};
    return std::nullopt;
  case StatementKind::Set:
    Session.m_Values[Stmt.m_Name] = Stmt.m_Value;
    return LocalAnswer{};
  case StatementKind::Prepare:
    Session.m_Prepared[Stmt.m_Name] = Stmt.m_Value;
    return LocalAnswer{};
  case StatementKind::Deallocate:
    if (Session.m_Prepared.erase(Stmt.m_Name) == 0)
      return LocalAnswer{"NOSTMT", "no prepared statement has this name"};
    return LocalAnswer{};
  case StatementKind::Execute:
    if (!Session.m_Prepared.contains(Stmt.m_Name))
      return LocalAnswer{"NOSTMT", "no prepared statement has this name"};
    return std::nullopt;
  case StatementKind::Read:
  case StatementKind::Write:
    return std::nullopt;
  }
  return std::nullopt;
}

bool isWrite(const SessionState &Session, const Statement &Stmt) {
  if (Stmt.m_Kind == StatementKind::Write)
    return true;
  if (Stmt.m_Kind != StatementKind::Execute)
    return false;
  auto Found = Session.m_Prepared.find(Stmt.m_Name);
  return Found != Session.m_Prepared.end() && Found->second.starts_with("WRITE");
}

std::string formatForInstance(const SessionState &Session, const Statement &Stmt) {
  if (Stmt.m_Kind != StatementKind::Execute)
    return Stmt.m_Text;
  return "EXECUTE " + preparedName(Session.m_Prepared.at(Stmt.m_Name)) + Stmt.m_Suffix;
}

} // namespace quetzalpaddle
