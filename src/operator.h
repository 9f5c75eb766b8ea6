// Operator service (proto/operator.proto): listener, changes and queries.
#pragma once

#include "instance_client.h"
#include "language.h"
#include "operator.pb.h"
#include "platform_client.h"
#include "settings.h"

namespace quetzalpaddle {

struct Host;

using OperatorCallback = std::function<void(operators::RunReply)>;
using OperatorHandler = std::function<void(operators::RunRequest, OperatorCallback)>;

// gRPC metadata key of the operator secret. A caller's key does not give access.
constexpr const char *OperatorSecretKey = "operator-secret";

struct OperatorServer; // destroying it stops the listener

// Starts the listener. Handler is called through Run and must reply exactly once, from any thread.
// Returns the server or an error message, for example if a file is unreadable or the port is in
// use.
std::variant<std::shared_ptr<OperatorServer>, std::string>
startOperatorServer(const ListenSettings &Listen, const std::string &Secret, Executor Run,
                    OperatorHandler Handler);

// Returns the TCP port that the server listens on.
uint16_t getOperatorPort(const OperatorServer &Server);

// Starts the operator listener of a host; statements are run by runOperatorStatement().
std::variant<std::shared_ptr<OperatorServer>, std::string> startOperatorService(Host &ThisHost,
                                                                                const Settings &S);

// Runs one statement. To be called from the control thread only. OnDone is called once, before or
// after this returns.
void runOperatorStatement(Host &ThisHost, const operators::RunRequest &Request,
                          OperatorCallback OnDone);

// Answers a SHOW statement from this host's state.
operators::RunReply showTopic(const Host &ThisHost, ShowTopic Topic);

struct ChangeContext {
  std::shared_ptr<PlatformClient> m_Platform;
  const ConfigState *m_Config = nullptr; // used only until runChange() returns
  std::string m_KeyPepper;
};

// Applies a change by conditional writes of platform objects. A write whose reply is lost is
// retried: the operation id stored in the object shows whether it has taken effect. IsRepeat shows
// that an earlier attempt with this operation id had an uncertain outcome.
void runChange(const ChangeContext &Context, const OperatorStatement &Statement,
               const std::string &OperationId, bool IsRepeat, OperatorCallback OnDone);

operators::RunReply makeReply(operators::Outcome Outcome, const std::string &Code,
                              const std::string &Message);

} // namespace quetzalpaddle
