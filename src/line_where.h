// Dry run of a statement for operators: where it would go now and why. Sends nothing and changes no
// state.
#pragma once

#include "admin_front.h"
#include "line_host.h"

namespace quetzalpaddle {

struct WhereQuery {
  std::string m_Database;
  bool m_IsWrite = false;
  std::optional<Position> m_Position; // of the session's last commit
  std::string m_Customer;             // empty: the rate is not checked
};

// Parses the query string of /where. Returns an error message on failure.
std::variant<WhereQuery, std::string> parseWhereQuery(std::string_view Text);

// Answers /where. Query: what follows the question mark.
HttpResponse answerWhere(LineHost &Host, std::string_view Query);

// What the dispatcher of an instance would do with a statement now.
struct DispatchExplanation {
  Reason m_Refusal = Reason::None; // by the first check that refuses it; the rate is not checked
  bool m_Displaces = false;        // another request would be removed from the full queue
  uint32_t m_QueuedCount = 0;
  uint32_t m_RunningCount = 0;
  uint32_t m_SlotCount = 0; // that may be used now
  Duration m_ExpectedWait{};
};

// Defined in line_dispatch.cpp, with the checks that it shares with statements. For an instance
// that this host dispatches to.
DispatchExplanation explainDispatch(LineHost &Host, const line::RunRequest &Request);

} // namespace quetzalpaddle
