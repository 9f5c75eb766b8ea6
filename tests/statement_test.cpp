// Session values and prepared statements on pooled connections, and what is answered locally.
#include "statement.h"

#include "property.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

Statement make(StatementKind Kind, const std::string &Name = "", const std::string &Value = "") {
  Statement S;
  S.m_Kind = Kind;
  S.m_Name = Name;
  S.m_Value = Value;
  return S;
}

} // namespace

Test(statement, same_content_needs_nothing) {
  ConnectionSetupState Content;
  std::map<std::string, std::string> Values = {{"zone", "1"}, {"user", "x"}};
  ConnectionSetup Plan = planConnectionSetup(Content, Values, "q_READ_f1", "READ f1");
  cr_assert_eq(countSetupStatements(Plan), 3);
  applyConnectionSetup(Content, Plan);
  cr_assert_eq(countSetupStatements(planConnectionSetup(Content, Values, "q_READ_f1", "READ f1")),
               0);
}

// A value that another session left behind must not be seen by this one.
Test(statement, foreign_value_resets_the_connection) {
  ConnectionSetupState Content;
  applyConnectionSetup(Content,
                       planConnectionSetup(Content, {{"zone", "1"}}, "q_READ_f1", "READ f1"));
  ConnectionSetup Plan = planConnectionSetup(Content, {}, "q_READ_f1", "READ f1");
  cr_assert(Plan.m_NeedsReset);
  cr_assert(Plan.m_StatementToPrepare.has_value(), "a reset drops prepared statements too");
  applyConnectionSetup(Content, Plan);
  cr_assert(Content.m_Values.empty());
}

// After any sequence of sessions, a connection holds exactly the values of the last one.
Test(statement, values_are_those_of_the_session) {
  bool Held = checkProperty(
      "values of the session", 7, 300, [](const std::vector<std::map<char, char>> &Sessions) {
        ConnectionSetupState Content;
        for (const auto &Session : Sessions) {
          std::map<std::string, std::string> Values;
          for (auto [Name, Value] : Session)
            Values[std::string(1, Name)] = std::string(1, Value);
          applyConnectionSetup(Content, planConnectionSetup(Content, Values, "", ""));
          RC_ASSERT(Content.m_Values == Values);
        }
      });
  cr_assert(Held);
}

// Two callers use one name for different statements.
Test(statement, colliding_names_are_told_apart) {
  SessionState A;
  SessionState B;
  runLocally(A, make(StatementKind::Prepare, "s1", "READ f1"));
  runLocally(B, make(StatementKind::Prepare, "s1", "WRITE f1"));
  Statement Run = make(StatementKind::Execute, "s1");
  Run.m_Suffix = " item";
  cr_assert_neq(formatForInstance(A, Run), formatForInstance(B, Run));
  cr_assert_not(isWrite(A, Run));
  cr_assert(isWrite(B, Run));
}

Test(statement, unknown_name_is_refused_here) {
  SessionState S;
  auto Answer = runLocally(S, make(StatementKind::Execute, "s1"));
  cr_assert(Answer && Answer->m_Error == "NOSTMT");
}

Test(statement, failed_transaction_takes_only_its_end) {
  SessionState S;
  S.m_Transaction = TransactionState::Failed;
  cr_assert_eq(runLocally(S, make(StatementKind::Read))->m_Error, "MALFORMED");
  cr_assert_eq(runLocally(S, make(StatementKind::Commit))->m_Error, "ABORTED");
  cr_assert(S.m_Transaction == TransactionState::None);
  S.m_Transaction = TransactionState::Failed;
  cr_assert(runLocally(S, make(StatementKind::Rollback))->m_Error.empty());
}
