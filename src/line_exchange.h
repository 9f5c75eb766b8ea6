// Exchanges statements and answers on one connection to an instance.
#pragma once

#include "line_host.h"

namespace quetzalpaddle {

// Makes a reply to a request that no instance has answered.
line::RunReply makeFailureReply(line::RunReply::Outcome Outcome, Reason RefusalReason);

// Returns whether a reply shows that the instance has not run the statement.
bool wasNotRun(const line::RunReply &Reply);

// Reads the answer to the statement that waits for one; answers that repeat earlier ones are
// skipped. Returns nothing if the connection ends before it, or an answer cannot be attributed.
Awaitable<std::optional<InstanceAnswer>>
readAnswer(const std::shared_ptr<LinePoolConnection> &Connection, ExpectedAnswer Expected);

// Sends statements on behalf of the host itself and reads their answers. State: of the transaction,
// after each of them. Returns whether all of them succeeded.
Awaitable<bool> runHostStatements(const std::shared_ptr<LinePoolConnection> &Connection,
                                  std::vector<std::string> Texts, TransactionState State);

// Whether a connection without a statement in progress is open and nothing is unread on it but
// answers that repeat earlier ones, which it drops.
bool dropRepeatedAnswers(LinePoolConnection &Connection);

// Reports the answers that arrived while the statement ran and that repeat earlier ones.
void reportRepeatedAnswers(LineHost &Host, LinePoolConnection &Connection,
                           const line::RunRequest &Request);

// Whether a part of an answer has been read.
bool hasPartialAnswer(const LinePoolConnection &Connection);

// Applies the session's values and prepared statement to the connection, opens a transaction if the
// request asks for one, and runs the request's statement. The caller has to limit the time.
Awaitable<line::RunReply> runOnConnection(const std::shared_ptr<LinePoolConnection> &Connection,
                                          const line::RunRequest &Request);

} // namespace quetzalpaddle
