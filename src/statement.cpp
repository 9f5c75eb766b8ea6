// Session values and prepared statements on pooled connections.
//
// A pooled connection serves many sessions, so it may hold values that the current session never
// set. The protocol can only drop all values at once, so such a connection is reset. Prepared
// statements are dropped by a reset only: those of other sessions do no harm, because callers'
// names are translated to a hash of kind and shape. A connection that holds another shape under
// that name is reset.
#include "statement.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace quetzalpaddle {

std::string makePreparedName(const std::string &Shape) {
  return fmt::format("q_{:016x}", XXH3_64bits(Shape.data(), Shape.size()));
}

ConnectionSetup planConnectionSetup(const ConnectionSetupState &SetupState,
                                    const std::map<std::string, std::string> &Values,
                                    const std::string &Name, const std::string &Shape) {
  ConnectionSetup Plan;
  Plan.m_NeedsReset = SetupState.m_IsForgotten ||
                      std::ranges::any_of(SetupState.m_Values, [&](const auto &HeldValue) {
                        return !Values.contains(HeldValue.first);
                      });
  auto HeldStatement = SetupState.m_PreparedStatements.find(Name);
  bool IsPrepared = HeldStatement != SetupState.m_PreparedStatements.end();
  Plan.m_NeedsReset = Plan.m_NeedsReset || (IsPrepared && HeldStatement->second != Shape);
  for (const auto &[Key, Value] : Values) {
    auto HeldValue = SetupState.m_Values.find(Key);
    if (Plan.m_NeedsReset || HeldValue == SetupState.m_Values.end() || HeldValue->second != Value)
      Plan.m_ValuesToSet.emplace_back(Key, Value);
  }
  if (!Name.empty() && (Plan.m_NeedsReset || !IsPrepared))
    Plan.m_StatementToPrepare.emplace(Name, Shape);
  return Plan;
}

void applyConnectionSetup(ConnectionSetupState &SetupState, const ConnectionSetup &Plan) {
  if (Plan.m_NeedsReset)
    SetupState = {};
  for (const auto &[Key, Value] : Plan.m_ValuesToSet)
    SetupState.m_Values[Key] = Value;
  if (Plan.m_StatementToPrepare)
    SetupState.m_PreparedStatements.insert_or_assign(Plan.m_StatementToPrepare->first,
                                                     Plan.m_StatementToPrepare->second);
  size_t Bytes = 0;
  for (const auto *Entries : {&SetupState.m_Values, &SetupState.m_PreparedStatements})
    for (const auto &[Name, Text] : *Entries)
      Bytes += Name.size() + Text.size();
  if (Bytes <= MaxSetupBytes)
    return;
  SetupState = {};
  SetupState.m_IsForgotten = true;
}

size_t countSetupStatements(const ConnectionSetup &Plan) {
  return (Plan.m_NeedsReset ? 1 : 0) + Plan.m_ValuesToSet.size() +
         (Plan.m_StatementToPrepare ? 1 : 0);
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
    Session.m_PreparedStatements[Stmt.m_Name] = Stmt.m_Value;
    return LocalAnswer{};
  case StatementKind::Deallocate:
    if (Session.m_PreparedStatements.erase(Stmt.m_Name) == 0)
      return LocalAnswer{"NOSTMT", "no prepared statement has this name"};
    return LocalAnswer{};
  case StatementKind::Execute:
    if (!Session.m_PreparedStatements.contains(Stmt.m_Name))
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
  auto It = Session.m_PreparedStatements.find(Stmt.m_Name);
  return It != Session.m_PreparedStatements.end() && It->second.starts_with("WRITE");
}

std::string formatForInstance(const SessionState &Session, const Statement &Stmt) {
  if (Stmt.m_Kind != StatementKind::Execute)
    return Stmt.m_Text;
  return Stmt.m_Prefix + makePreparedName(Session.m_PreparedStatements.at(Stmt.m_Name)) +
         Stmt.m_Suffix;
}

} // namespace quetzalpaddle
