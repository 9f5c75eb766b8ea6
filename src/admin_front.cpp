// HTTP listener for metrics, health, readiness and the state dump.
#include "admin_front.h"

#include "log.h"

namespace quetzalpaddle {

struct AdminFront {
  std::shared_ptr<HttpServer> m_Server;
};

namespace {

HttpResponse formatText(unsigned Status, std::string Text) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_ContentType = "text/plain; charset=utf-8";
  Response.m_Body = std::move(Text);
  return Response;
}

HttpResponse formatDump(std::string Json) {
  HttpResponse Response;
  Response.m_Body = std::move(Json);
  return Response;
}

// Limits for a few scrapers and operators. A control thread that hangs is reported as unhealthy
// after the 2 s timeout plus the grace of the HTTP server.
FrontSettings makeLimits() {
  FrontSettings Limits;
  Limits.m_MaxBodyBytes = 1024;
  Limits.m_MaxConnections = 64;
  Limits.m_MaxInProgress = 16;
  // Less than the reserve of callers, so that the port answers when they have used their part.
  Limits.m_ReservedDescriptors = 16;
  // The largest answer always fits; see docs/design/http-limits.md.
  Limits.m_MaxBufferedBytes = 8 * 1024 * 1024;
  Limits.m_WriteTimeout = Millis(5000);
  Limits.m_TrafficThreadCount = 1;
  Limits.m_MaxRequestTimeout = Millis(2000);
  return Limits;
}

HttpResponse makeErrorResponse(HttpError ErrorKind, const std::string &Message) {
  if (ErrorKind == HttpError::HandlerTimeout)
    return formatText(503, "unhealthy: the control thread does not respond\n");
  bool IsOverload = ErrorKind == HttpError::Overloaded || ErrorKind == HttpError::AnswerDropped;
  return formatText(IsOverload ? 503 : 400, Message + "\n");
}

} // namespace

std::variant<std::shared_ptr<AdminFront>, std::string>
startAdminFront(const ListenSettings &Listen, Executor Run, std::shared_ptr<Metrics> Counters,
                AdminCallbacks Functions) {
  HttpService Service;
  Service.m_MakeErrorResponse = makeErrorResponse;
  Service.m_ReportLimit = [Counters](std::string_view Limit, const std::string &Peer) {
    countEvent(*Counters, "admin_" + std::string(Limit));
    logLine(LogLevel::Warning, "admin_limit", {{"limit", std::string(Limit)}, {"peer", Peer}});
  };
  Service.m_HandleRequest = [Run = std::move(Run), Counters = std::move(Counters),
                             Functions = std::move(Functions)](
                                const HttpRequest &Request,
                                const std::function<void(HttpResponse)> &Reply) {
    if (Request.m_Method != "GET")
      Reply(formatText(405, "only GET\n"));
    else if (Request.m_Target == "/metrics")
      Reply(formatText(200, formatMetrics(*Counters)));
    else if (Request.m_Target == "/health")
      Run([Reply] { Reply(formatText(200, "healthy\n")); });
    else if (Request.m_Target == "/ready")
      Run([Reply, Ready = Functions.m_IsReady] {
        bool IsReady = Ready();
        Reply(formatText(IsReady ? 200 : 503, IsReady ? "ready\n" : "not ready\n"));
      });
    else if (Request.m_Target == "/dump")
      Run([Reply, Dump = Functions.m_Dump] { Reply(formatDump(Dump())); });
    else if (Functions.m_Where && Request.m_Target.starts_with("/where?"))
      Run([Reply, Where = Functions.m_Where,
           Query = Request.m_Target.substr(std::string_view("/where?").size())] {
        Reply(Where(Query));
      });
    else
      Reply(formatText(404, Functions.m_Where ? "known are /metrics, /health, /ready, /dump and "
                                                "/where?database=NAME&verb=read\n"
                                              : "known are /metrics, /health, /ready and /dump\n"));
  };
  auto Started = startHttpServer(Listen, makeLimits(), std::move(Service));
  if (auto *Failure = std::get_if<std::string>(&Started))
    return *Failure;
  auto Front = std::make_shared<AdminFront>();
  Front->m_Server = std::get<std::shared_ptr<HttpServer>>(Started);
  return Front;
}

uint16_t getAdminPort(const AdminFront &Front) { return getServerPort(*Front.m_Server); }

} // namespace quetzalpaddle
