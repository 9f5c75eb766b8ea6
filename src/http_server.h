// HTTP/1.1 server with limits, TLS, pipelining and draining. It is independent of routes and
// customers: the HttpService passed at start produces the responses.
#pragma once

#include "settings.h"

#include <memory>

namespace quetzalpaddle {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string m_Method;
  std::string m_Target;
  HttpHeaders m_Headers; // in the order and spelling received
  std::string m_Body;
  uint64_t m_ConnectionId = 0; // unique within the server
};

struct HttpResponse {
  unsigned m_Status = 200;
  std::string m_ContentType = "application/json";
  HttpHeaders m_Headers;
  std::string m_Body;
  std::string m_Tag; // attached to the connection if not empty; see closeTaggedConnections()
};

// Errors that the server answers itself, with HttpService::m_MakeErrorResponse.
enum class HttpError {
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  ReadTimeout,    // header or body did not arrive in time
  Overloaded,     // too many connections or requests in progress
  HandlerTimeout, // no answer within the maximum request timeout; the request may have run
  AnswerDropped,  // the answer does not fit into the byte budget; the request may have run
};

struct HttpService {
  // Handles a request on a traffic thread. Calls Reply once, from any thread.
  std::function<void(HttpRequest, std::function<void(HttpResponse)> Reply)> m_HandleRequest;
  std::function<HttpResponse(HttpError, const std::string &Message)> m_MakeErrorResponse;
  // Reports that a limit refused a request or closed a connection. May be null. Called on a traffic
  // thread or on the thread that replies.
  std::function<void(std::string_view Limit, const std::string &Peer)> m_ReportLimit;
};

struct HttpServer; // releasing it stops it; must not be released on a traffic thread

// Starts a server. Returns an error message on failure, such as a port in use.
std::variant<std::shared_ptr<HttpServer>, std::string>
startHttpServer(const ListenSettings &Listen, const FrontSettings &Limits, HttpService Service);

// Returns the port that the server listens on; the system chooses it if ListenSettings::m_Port is
// 0.
uint16_t getServerPort(const HttpServer &Server);

// Starts draining: answers carry "Connection: close" from now on. After Notice no connection is
// accepted and idle connections are closed.
void drainServer(HttpServer &Server, Duration Notice);

size_t countConnections(const HttpServer &Server);
size_t countRequests(const HttpServer &Server); // in progress
size_t countBufferedBytes(const HttpServer &Server);

// Closes the connections on which an answer had this tag, each after its answer in progress. An
// answer with this tag to a request that is in progress now closes its connection too.
void closeTaggedConnections(HttpServer &Server, const std::string &Tag);

// Reloads the certificate files, for new connections. Returns an error message on failure; the old
// certificates then stay in use.
std::optional<std::string> reloadServerCertificates(HttpServer &Server);

// Returns the value of a header, or null if it is missing. Names are compared case-insensitively.
const std::string *findHeader(const HttpRequest &Input, std::string_view Name);

} // namespace quetzalpaddle
