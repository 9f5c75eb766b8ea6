// Parser of the operators' query and command language. docs/OPERATIONS.md describes the statements;
// the table in language.cpp defines the grammar.
#pragma once

#include "quetzalpaddle.h"

namespace quetzalpaddle {

enum class ShowTopic {
  Customers,
  Keys,
  Rates,
  Routes,
  Groups,
  Instances,
  Hosts,
  Config,
  Queues,
  Refusals,
  Promotions,
  Limits,
};

struct ShowStatement {
  ShowTopic m_Topic = ShowTopic::Customers;
};

// Changes of objects. m_ExpectedVersion is the version to be replaced; 0 if the object must not
// exist.
struct PutCustomer {
  Customer m_Customer;
  uint64_t m_ExpectedVersion = 0;
};
struct PutRoute {
  Route m_Route;
  uint64_t m_ExpectedVersion = 0;
};
struct PutGroup {
  Group m_Group;
  uint64_t m_ExpectedVersion = 0;
};
struct CreateKey {
  std::string m_Id;
  std::string m_Customer;
};
struct WithdrawKey {
  std::string m_Id;
  uint64_t m_ExpectedVersion = 0;
};
enum class ObjectKind { Customer, Route, Group };
struct RemoveObject {
  ObjectKind m_Kind = ObjectKind::Customer;
  std::string m_Id;
  uint64_t m_ExpectedVersion = 0;
};
struct LeaveInstance { // marks the instance for removal: it receives no new work
  std::string m_Id;
  std::string m_Group;
  uint64_t m_ExpectedVersion = 0; // of the group
};
struct PromoteGroup {
  std::string m_Group;
  std::string m_RequestedInstance; // empty for the instance with the most recent log
};
struct DrainHost {
  std::string m_Id;
};

using OperatorStatement =
    std::variant<ShowStatement, PutCustomer, PutRoute, PutGroup, CreateKey, WithdrawKey,
                 RemoveObject, LeaveInstance, PromoteGroup, DrainHost>;

struct SyntaxError {
  size_t m_Position = 0;      // byte offset in the text
  std::string m_ExpectedText; // for example "'burst' or a version"
};

// Parses one statement. Returns the first position where no form of statement matches and what is
// expected there, if the text is not a statement.
std::variant<OperatorStatement, SyntaxError> parseStatement(std::string_view Text);

// Returns the grammar, one line per form of statement.
std::string describeGrammar();

} // namespace quetzalpaddle
