// HTTP/1.1 server with limits, TLS, pipelining in order, and drain. Knows nothing of routes or
// customers; the service given at start makes the answers.
#pragma once

#include "settings.h"

#include <memory>

namespace quetzalpaddle {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string m_Method;
  std::string m_Target;
  HttpHeaders m_Headers; // in the order received, names as received
  std::string m_Body;
  uint64_t m_ConnectionId = 0; // number of the connection
};

struct HttpResponse {
  unsigned m_Status = 200;
  std::string m_ContentType = "application/json";
  HttpHeaders m_Headers;
  std::string m_Body;
  std::string m_Tag; // remembered for the connection; see closeTaggedConnections()
};

// What the server itself has to refuse.
enum class HttpError {
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  ReadTimeout,    // header or body did not arrive in time
  Overloaded,     // limit on connections or requests in progress
  HandlerTimeout, // the service did not answer within the longest deadline; the request may have
                  // run
};

struct HttpService {
  // Called on a traffic thread. Reply is called once, from any thread.
  std::function<void(HttpRequest, std::function<void(HttpResponse)> Reply)> m_HandleRequest;
  std::function<HttpResponse(HttpError, const std::string &Message)> m_MakeErrorResponse;
};

struct HttpServer; // stops when released; not to be released on a traffic thread

// Returns the server or what went wrong, such as a port in use.
std::variant<std::shared_ptr<HttpServer>, std::string>
startHttpServer(const ListenSettings &Listen, const FrontSettings &Limits, HttpService Service);

// Returns the port in use, of interest if the settings leave it to the system (0).
uint16_t getServerPort(const HttpServer &Server);

// Answers carry "Connection: close" from now on. After Notice no connection is accepted and idle
// connections are closed.
void drainServer(HttpServer &Server, Duration Notice);

size_t countConnections(const HttpServer &Server);
size_t countRequests(const HttpServer &Server); // in progress

// Closes the connections on which an answer had this tag, after the answer in progress. Answers
// with this tag that are still on their way close their connection too.
void closeTaggedConnections(HttpServer &Server, const std::string &Tag);

// Loads the certificate files again, for new connections. Returns what went wrong; then the old
// certificates stay in use.
std::optional<std::string> reloadServerCertificates(HttpServer &Server);

// Returns the value of a header, null if it is missing; names are compared without case.
const std::string *findHeader(const HttpRequest &Input, std::string_view Name);

} // namespace quetzalpaddle
