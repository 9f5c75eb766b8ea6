// Exchanges statements and answers on one connection to an instance.
#pragma once

#include "line_host.h"

#include "platform/line_codec.h"

namespace quetzalpaddle {

// An answer of an instance, up to and including its ready message.
struct InstanceAnswer {
  std::vector<std::string> m_Rows;
  std::string m_Digest;
  std::string m_ErrorCode; // empty on success
  std::string m_ErrorText;
  platform::ReadyMessage m_Ready;
};

// Makes a reply to a request that no instance has answered.
line::RunReply makeFailureReply(line::RunReply::Outcome Outcome, Reason RefusalReason);

// Reads messages up to the next ready message. Returns nothing if the connection ends before it or
// a message is invalid.
Awaitable<std::optional<InstanceAnswer>>
readAnswer(const std::shared_ptr<LinePoolConnection> &Connection);

// Sends statements on behalf of the host itself and reads their answers. Returns whether all of
// them succeeded.
Awaitable<bool> runHostStatements(const std::shared_ptr<LinePoolConnection> &Connection,
                                  const std::vector<std::string> &Texts);

// Applies the session's values and prepared statement to the connection, opens a transaction if the
// request asks for one, and runs the request's statement. The caller has to limit the time.
Awaitable<line::RunReply> runOnConnection(const std::shared_ptr<LinePoolConnection> &Connection,
                                          const line::RunRequest &Request);

} // namespace quetzalpaddle
