// Small HTTP listener for the people who run a host: /metrics, /health, /ready, /dump.
#pragma once

#include "http_server.h"
#include "instance_client.h"
#include "metrics.h"

namespace quetzalpaddle {

// Called on the control thread.
struct AdminFunctions {
  std::function<bool()> m_IsReady;     // whether the load balancer may send callers here
  std::function<std::string()> m_Dump; // state of the host, as JSON
};

struct AdminFront; // stops when released

// Returns the listener or what went wrong. /health answers 200 if the control thread responds.
std::variant<std::shared_ptr<AdminFront>, std::string>
startAdminFront(const ListenSettings &Listen, Executor Run, std::shared_ptr<Metrics> Counters,
                AdminFunctions Functions);

uint16_t getAdminPort(const AdminFront &Front);

} // namespace quetzalpaddle
