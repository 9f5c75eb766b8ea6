// HTTP listener for operators and monitoring: /metrics, /health, /ready, /dump, /where.
#pragma once

#include "http_server.h"
#include "instance_client.h"
#include "metrics.h"

namespace quetzalpaddle {

// Callbacks into the host, called on the control thread.
struct AdminCallbacks {
  std::function<bool()> m_IsReady;     // whether the load balancer may send callers here
  std::function<std::string()> m_Dump; // state dump as JSON text
  // Answers /where by its query string, without the question mark; null: there is no /where.
  std::function<HttpResponse(const std::string &)> m_Where = nullptr;
};

struct AdminFront; // releasing it stops it

// Starts the listener. Returns an error message on failure, such as a port in use. /health answers
// 200 if the control thread responds.
std::variant<std::shared_ptr<AdminFront>, std::string>
startAdminFront(const ListenSettings &Listen, Executor Run, std::shared_ptr<Metrics> Counters,
                AdminCallbacks Functions);

uint16_t getAdminPort(const AdminFront &Front);

} // namespace quetzalpaddle
