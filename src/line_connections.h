// Pool of connections to an instance that this host dispatches to.
#pragma once

#include "line_exchange.h"

namespace quetzalpaddle {

void closeConnection(InstanceDispatch &Dispatch,
                     const std::shared_ptr<LinePoolConnection> &Connection, ConnectionClose Cause);
void closeIdleConnections(InstanceDispatch &Dispatch, ConnectionClose Cause);

// Removes a connection from the idle ones.
std::shared_ptr<LinePoolConnection>
removeIdle(InstanceDispatch &Dispatch,
           std::list<std::shared_ptr<LinePoolConnection>>::iterator ConnectionIt);

// Record that the instance cannot be reached, which closes its idle connections, or that it can.
void markUnreachable(const std::string &Instance, InstanceDispatch &Dispatch,
                     std::string_view FailureReason);
void markReachable(const std::string &Instance, InstanceDispatch &Dispatch);

// Opens a connection. Returns null if the instance refuses it or gives no answer in time.
Awaitable<std::shared_ptr<LinePoolConnection>>
openConnection(LineHost &Host, std::string Instance, std::string Group, std::string Customer);

// Takes an idle connection or opens a new one. Returns null if neither is possible.
Awaitable<std::shared_ptr<LinePoolConnection>> takeConnection(LineHost &Host,
                                                              const line::RunRequest &Request);

// Returns a connection to the idle ones, or closes it if it cannot be used again.
void releaseConnection(InstanceDispatch &Dispatch,
                       const std::shared_ptr<LinePoolConnection> &Connection, bool IsReusable);

} // namespace quetzalpaddle
