#include "language.h"

#include <criterion/criterion.h>

using namespace quetzalpaddle;

namespace {

template <class T> T parseAs(const std::string &Text) {
  auto ParseResult = parseStatement(Text);
  if (auto *Error = std::get_if<SyntaxError>(&ParseResult))
    cr_log_error("%s: %zu: expected %s", Text.c_str(), Error->m_Position,
                 Error->m_ExpectedText.c_str());
  cr_assert(std::holds_alternative<OperatorStatement>(ParseResult));
  auto *Statement = std::get_if<T>(&std::get<OperatorStatement>(ParseResult));
  cr_assert(Statement != nullptr, "%s is another kind of statement", Text.c_str());
  return *Statement;
}

void expectError(const std::string &Text, size_t Position, const std::string &ExpectedText) {
  auto ParseResult = parseStatement(Text);
  cr_assert(std::holds_alternative<SyntaxError>(ParseResult), "%s was accepted", Text.c_str());
  const auto &Error = std::get<SyntaxError>(ParseResult);
  cr_assert(Error.m_Position == Position, "%s: position %zu", Text.c_str(), Error.m_Position);
  cr_assert(Error.m_ExpectedText.find(ExpectedText) != std::string::npos, "%s: expected %s",
            Text.c_str(), Error.m_ExpectedText.c_str());
}

} // namespace

// Guards against a show statement that is parsed as another topic.
Test(language, showStatements) {
  cr_assert(parseAs<ShowStatement>("show customers").m_Topic == ShowTopic::Customers);
  cr_assert(parseAs<ShowStatement>("  show\tlimits \n").m_Topic == ShowTopic::Limits);
  cr_assert(parseAs<ShowStatement>("show promotions").m_Topic == ShowTopic::Promotions);
}

// Guards against a value that ends up in another field, or an expected version that is lost.
Test(language, changeStatements) {
  auto CreatedCustomer = parseAs<PutCustomer>("create customer acme rate 12.5 burst 40");
  cr_assert(CreatedCustomer.m_Customer.m_Id == "acme" && CreatedCustomer.m_Customer.m_Rate == 12.5);
  cr_assert(CreatedCustomer.m_Customer.m_Burst == 40 && CreatedCustomer.m_ExpectedVersion == 0);
  cr_assert(parseAs<PutCustomer>("set customer acme rate 1 burst 2 expect 77").m_ExpectedVersion ==
            77);
  auto RemovedRoute = parseAs<RemoveObject>("remove route r1 expect 3");
  cr_assert(RemovedRoute.m_Kind == ObjectKind::Route && RemovedRoute.m_Id == "r1" &&
            RemovedRoute.m_ExpectedVersion == 3);
  auto CreatedKey = parseAs<CreateKey>("create key k1 for acme");
  cr_assert(CreatedKey.m_Id == "k1" && CreatedKey.m_Customer == "acme");
  auto WithdrawnKey = parseAs<WithdrawKey>("withdraw key k1 expect 9");
  cr_assert(WithdrawnKey.m_Id == "k1" && WithdrawnKey.m_ExpectedVersion == 9);
  auto LeavingInstance = parseAs<LeaveInstance>("leave instance i1 group g1 expect 4");
  cr_assert(LeavingInstance.m_Id == "i1" && LeavingInstance.m_Group == "g1" &&
            LeavingInstance.m_ExpectedVersion == 4);
  cr_assert(parseAs<PromoteGroup>("promote group g1").m_RequestedInstance.empty());
  cr_assert(parseAs<PromoteGroup>("promote group g1 to i2").m_RequestedInstance == "i2");
  cr_assert(parseAs<DrainHost>("drain host h1").m_Id == "h1");
}

// Guards against optional parts that are assumed when absent or lost when present.
Test(language, routeStatements) {
  Route PlainRoute = parseAs<PutRoute>("create route r group g").m_Route;
  cr_assert(PlainRoute.m_AllowedCustomers.empty() && !PlainRoute.m_IsPublic &&
            !PlainRoute.m_IsReadOnly);
  auto FullRoute = parseAs<PutRoute>("set route r group g customers a,b open read-only expect 5");
  cr_assert(FullRoute.m_Route.m_AllowedCustomers == (std::set<std::string>{"a", "b"}));
  cr_assert(FullRoute.m_Route.m_IsPublic && FullRoute.m_Route.m_IsReadOnly &&
            FullRoute.m_ExpectedVersion == 5);
  auto ClosedRoute = parseAs<PutRoute>("set route open group read-only read-only expect 5");
  cr_assert(!ClosedRoute.m_Route.m_IsPublic && ClosedRoute.m_Route.m_IsReadOnly,
            "names that are also keywords");
}

// Guards against mixing up the values of a group's instances.
Test(language, groupStatements) {
  auto CreatedGroup = parseAs<PutGroup>(
      "create group g instance z address 127.0.0.1:1 data_centre d1 slots 5 connections 65 "
      "instance a address [::1]:2 data_centre d2 slots 3 connections 75");
  cr_assert(CreatedGroup.m_Group.m_Instances.size() == 2);
  const Instance &FirstInstance = CreatedGroup.m_Group.m_Instances[0];
  const Instance &SecondInstance = CreatedGroup.m_Group.m_Instances[1];
  cr_assert(FirstInstance.m_Id == "z" && FirstInstance.m_Address == "127.0.0.1:1" &&
            FirstInstance.m_DataCentre == "d1");
  cr_assert(FirstInstance.m_SlotCount == 5 && FirstInstance.m_ConnectionLimit == 65 &&
            !FirstInstance.m_IsLeaving);
  cr_assert(SecondInstance.m_Id == "a" && SecondInstance.m_SlotCount == 3 &&
            SecondInstance.m_DataCentre == "d2");
}

// Guards against a syntax error with a wrong position or an incomplete list of what is expected
// there.
Test(language, errorsReportTheirPosition) {
  expectError("", 0, "'show'");
  expectError("", 0, "'withdraw'");
  expectError("display customers", 0, "'create'");
  expectError("show", 4, "'customers'");
  expectError("show  cats", 6, "'routes'");
  expectError("create customer acme rate 5 brust 6", 28, "'burst'");
  expectError("create customer acme rate -5 burst 6", 26, "a number above 0");
  expectError("create customer acme rate nan burst 6", 26, "a number above 0");
  expectError("create customer ac/me rate 5 burst 6", 16, "a name");
  expectError("create customer acme rate 5 burst 6 expect 4", 36, "the end");
  expectError("set customer acme rate 5 burst 6", 32, "'expect'");
  expectError("set customer acme rate 5 burst 6 expect 0", 40, "a version above 0");
  expectError("create route r group g customers a,,b", 33, "names separated by commas");
  expectError("set route r group g", 19, "'customers'");
  expectError("set route r group g", 19, "'expect'");
  expectError("create group g instance i address localhost:5", 34, "IP:PORT");
  expectError("create group g instance i address 127.0.0.1:0", 34, "IP:PORT");
  expectError(std::string(5000, 'x'), 0, "'show'");
}

// Guards against a printed grammar that omits statements.
Test(language, grammarIsPrinted) {
  std::string Text = describeGrammar();
  cr_assert(Text.find("promote group") != std::string::npos);
  cr_assert(Text.find("show limits") != std::string::npos);
}
