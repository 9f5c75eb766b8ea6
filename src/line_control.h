// Statements with which a host asks instances for their status and tells them to stop or to start
// receiving.
#pragma once

#include "line_host.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzalpaddle {

// The answer to a status, suspend or resume statement.
struct ControlAnswer {
  bool m_IsReachable = false; // it answered, possibly only that it is busy
  // Its address refuses connections or closes them without a greeting, or another instance has it.
  bool m_HasEnded = false;
  std::optional<LineStatus> m_Status;
};

// Runs a status, suspend or resume statement on a new connection.
Awaitable<ControlAnswer> runControlStatement(LineHost &Host, std::string Address, std::string Group,
                                             std::string Instance, std::string Text);

// Runs the same statement at several instances concurrently. Returns the answers by instance.
Awaitable<std::map<std::string, ControlAnswer>>
runControlStatements(LineHost &Host, std::string Group, std::set<std::string> Instances,
                     std::string Text);

// Keeps the answers that show a status.
std::map<std::string, LineStatus>
collectStatuses(const std::map<std::string, ControlAnswer> &Answers);

// Keeps the statuses of the replicas that confirm to be suspended up to a term.
std::map<std::string, LineStatus>
collectSuspended(const std::map<std::string, ControlAnswer> &Answers, uint64_t Term);

// Lists replicas for logs: id, term and number of the position received, and the term up to which
// it is suspended.
std::string describeReplicas(const std::map<std::string, LineStatus> &Replicas);

// Lists replicas that gave no answer for logs, with the time since they left the list.
std::string describeMissing(const LineGroup &Group, const std::set<std::string> &Ids);

} // namespace quetzalpaddle
