// Statements and answers on one connection to an instance.
#pragma once

#include "line_host.h"

#include "platform/line_codec.h"

namespace quetzalpaddle {

// An answer up to its ready message.
struct InstanceAnswer {
  std::vector<std::string> m_Rows;
  std::string m_Digest;
  std::string m_ErrorCode; // empty on success
  std::string m_ErrorText;
  platform::ReadyMessage m_Ready;
};

// A reply to another host that no instance has answered.
line::RunReply makeFailureReply(line::RunReply::Outcome Outcome, Reason RejectionReason);

// Reads up to the next ready message; nothing if the connection ended before.
Awaitable<std::optional<InstanceAnswer>>
readAnswer(const std::shared_ptr<LinePoolConnection> &Connection);

// Sends statements of the host's own and reads their answers. Returns whether all succeeded.
Awaitable<bool> runHostStatements(const std::shared_ptr<LinePoolConnection> &Connection,
                                  const std::vector<std::string> &Texts);

// Gives the connection what the session has established, opens the transaction that the request
// opens, and runs its statement. Has no time limit of its own.
Awaitable<line::RunReply> runOnConnection(const std::shared_ptr<LinePoolConnection> &Connection,
                                          const line::RunRequest &Request);

} // namespace quetzalpaddle
