// Operators' service (proto/operator.proto): listener, changes, queries.
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

// gRPC metadata that carries the operator secret. A caller's key gives no access.
constexpr const char *OperatorSecretKey = "operator-secret";

struct OperatorServer; // stops when released

// Starts the listener. Handler is called through Run and replies once, from any thread. Returns the
// server or what went wrong, such as a port in use.
std::variant<std::shared_ptr<OperatorServer>, std::string>
startOperatorServer(const ListenSettings &Listen, const std::string &Secret, Executor Run,
                    OperatorHandler Handler);

uint16_t operatorPort(const OperatorServer &Server);

// The same for a host, with runOperatorStatement().
std::variant<std::shared_ptr<OperatorServer>, std::string> startOperatorService(Host &H,
                                                                                const Settings &S);

// Runs one statement. Control thread only; OnDone is called once, now or later.
void runOperatorStatement(Host &H, const operators::RunRequest &Request, OperatorCallback OnDone);

// Answers a query from this host's state.
operators::RunReply showTopic(const Host &H, ShowTopic Topic);

struct ChangeContext {
  std::shared_ptr<PlatformClient> m_Platform;
  const ConfigState *m_Config = nullptr; // used only during the call
  std::string m_KeyPepper;
};

// Carries out a change as conditional updates of platform objects. An update whose answer is lost
// is sent again: the operation id inside the object tells whether it has taken effect.
void runChange(const ChangeContext &Context, const OperatorStatement &Statement,
               const std::string &OperationId, bool IsRepeat, OperatorCallback OnDone);

operators::RunReply makeReply(operators::Outcome Outcome, const std::string &Code,
                              const std::string &Message);

} // namespace quetzalpaddle
