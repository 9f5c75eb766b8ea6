// HTTP front end for callers: translates HTTP/1.1 with JSON bodies to the requests of entry.h and
// back. docs/OPERATIONS.md describes the API.
#pragma once

#include "entry.h"
#include "http_server.h"
#include "metrics.h"

namespace quetzalpaddle {

// Handles a request and calls back once with the answer, from any thread. A host passes
// handleRequest().
using RequestHandler = std::function<void(CallerRequest, std::function<void(CallerAnswer)>)>;

struct HttpFront; // releasing it stops it; must not be released on a traffic thread

// Starts the front end. Returns an error message on failure, such as a port in use. Counters may be
// null.
std::variant<std::shared_ptr<HttpFront>, std::string>
openHttpFront(const ListenSettings &Listen, const FrontSettings &Limits, RequestHandler Handler,
              const std::shared_ptr<Metrics> &Counters);

// Starts the front end of a host and sets ThisHost.m_OnKeyInvalidated. The host must outlive the
// result.
std::variant<std::shared_ptr<HttpFront>, std::string> startHttpFront(Host &ThisHost,
                                                                     const Settings &S);

uint16_t getFrontPort(const HttpFront &Front);

// Starts draining: answers carry "Connection: close" from now on. After Notice no connection is
// accepted and idle connections are closed.
void beginDrain(HttpFront &Front, Duration Notice);

size_t countOpenConnections(const HttpFront &Front);
size_t countRequestsInProgress(const HttpFront &Front);
size_t countBufferedBytes(const HttpFront &Front);

// Closes the connections that a withdrawn key has used, each after its answer in progress.
void closeKeyConnections(HttpFront &Front, const std::string &KeyId);

// Reloads the certificates, for new connections. Returns an error message on failure; the old
// certificates then stay in use.
std::optional<std::string> reloadCertificates(HttpFront &Front);

// Error answer for a request that was refused before it reached the handler.
struct Refusal {
  unsigned m_Status = 400;
  Reason m_RefusalReason = Reason::BadRequest;
  std::string m_Message;
};

// Parses a request of the API. Error messages never contain the key; the values of all headers, one
// of which contains the key, are overwritten.
std::variant<CallerRequest, Refusal> parseCallerRequest(HttpRequest Input,
                                                        const FrontSettings &Limits);

// Returns the HTTP status code of an answer. Callers decide by class and reason in the body.
unsigned chooseStatus(AnswerClass Class, Reason ReasonCode);

HttpResponse formatAnswer(const CallerAnswer &Answer);

} // namespace quetzalpaddle
