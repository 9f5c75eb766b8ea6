// A running host: threads, listeners, start and graceful shutdown. Several can run in one process,
// which the tests use.
#pragma once

#include "settings.h"

#include <functional>
#include <memory>

namespace quetzalpaddle {

struct Host;
struct RunningHost; // stops at once when released

// Opens all listeners and starts the threads. Returns what went wrong otherwise, in one line.
std::variant<std::shared_ptr<RunningHost>, std::string> startHost(const Settings &HostSettings);

// Runs a function on the control thread and waits for it.
void runOnControlThread(RunningHost &Runtime, const std::function<void(Host &)> &Function);

// Starts a graceful shutdown. Callback is called once, on the control thread, when no request is in
// progress or the limit has passed.
void drainHost(RunningHost &Runtime, std::function<void()> Callback);

// All control state as JSON text.
std::string dumpHost(RunningHost &Runtime);

// Reads certificates again.
void reloadHostCertificates(RunningHost &Runtime);

// The daemon: runs until SIGTERM or SIGINT has drained the host. SIGHUP reloads certificates,
// SIGUSR1 writes the state dump to standard error. Returns the exit status.
int runServe(const Settings &HostSettings);

} // namespace quetzalpaddle
