// The operators' query and command language: text to plain structs. docs/OPERATIONS.md describes
// the statements; the grammar is the table in language.cpp.
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

// Each change names the version that it expects to replace; 0 = the object must not exist.
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
struct LeaveInstance { // marks an instance as leaving
  std::string m_Id;
  std::string m_Group;
  uint64_t m_ExpectedVersion = 0; // of the group
};
struct PromoteGroup {
  std::string m_Group;
  std::string m_RequestedInstance; // empty: the best instance
};
struct DrainHost {
  std::string m_Id;
};

using OperatorStatement =
    std::variant<ShowStatement, PutCustomer, PutRoute, PutGroup, CreateKey, WithdrawKey,
                 RemoveObject, LeaveInstance, PromoteGroup, DrainHost>;

struct SyntaxError {
  size_t m_Position = 0;      // offset in the text
  std::string m_ExpectedText; // such as "'burst' or a version"
};

// Parses one statement.
std::variant<OperatorStatement, SyntaxError> parseStatement(std::string_view Text);

// Returns the grammar, one line for each form of statement.
std::string describeGrammar();

} // namespace quetzalpaddle
