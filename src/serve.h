// Runs a host: threads, listeners, start and graceful shutdown. The tests run several hosts in one
// process.
#pragma once

#include "settings.h"

#include <functional>
#include <memory>

namespace quetzalpaddle {

struct Host;
struct RunningHost; // releasing it stops the host at once, without a graceful shutdown

// Opens all listeners and starts the threads. Returns an error message of one line on failure, such
// as a port in use.
std::variant<std::shared_ptr<RunningHost>, std::string> startHost(const Settings &HostSettings);

// Runs a function on the control thread and waits until it returns.
void runOnControlThread(RunningHost &Runtime, const std::function<void(Host &)> &Function);

// Starts a graceful shutdown (drain). Callback is called once, on the control thread, when no
// request is in progress and no connection is open, or the drain limit has passed, and the rate
// slots are released. A call during a shutdown only adds its Callback; after it, Callback is called
// at once. On the control thread the host is draining when the call returns.
void drainHost(RunningHost &Runtime, std::function<void()> Callback);

// Returns the control state as JSON text.
std::string dumpHost(RunningHost &Runtime);

// Reloads the certificates of the callers' listener and logs the result.
void reloadHostCertificates(RunningHost &Runtime);

// Runs a host as a daemon until SIGTERM or SIGINT has shut it down gracefully. SIGHUP reloads
// certificates, SIGUSR1 writes the state dump to standard error. Returns the exit status: 0, or 1
// if the host could not start.
int runServe(const Settings &HostSettings);

} // namespace quetzalpaddle
