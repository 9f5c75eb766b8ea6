// Callers' front end: HTTP/1.1 with JSON, to requests of entry.h and back. docs/OPERATIONS.md
// describes the API.
#pragma once

#include "entry.h"
#include "http_server.h"
#include "metrics.h"

namespace quetzalpaddle {

// Takes a request; the answer comes once, from any thread. In a host this is handleRequest().
using RequestHandler = std::function<void(CallerRequest, std::function<void(CallerAnswer)>)>;

struct HttpFront; // stops when released; not to be released on a traffic thread

// Returns the front or what went wrong, such as a port in use. Metrics may be null.
std::variant<std::shared_ptr<HttpFront>, std::string>
openHttpFront(const ListenSettings &Listen, const FrontSettings &Limits, RequestHandler Handler,
              const std::shared_ptr<Metrics> &Counters);

// The same for a host; sets ThisHost.m_OnKeyEnded. The host releases the front before itself.
std::variant<std::shared_ptr<HttpFront>, std::string> startHttpFront(Host &ThisHost,
                                                                     const Settings &S);

uint16_t getFrontPort(const HttpFront &Front);

// Answers carry "Connection: close" from now on. After Notice no connection is accepted and idle
// ones are closed.
void beginDrain(HttpFront &Front, Duration Notice);

size_t countOpenConnections(const HttpFront &Front);
size_t countRequestsInProgress(const HttpFront &Front);

// Closes the connections of a key that has ended, after the answer in progress.
void closeKeyConnections(HttpFront &Front, const std::string &KeyId);

// Loads the certificates again, for new connections; returns what went wrong.
std::optional<std::string> reloadCertificates(HttpFront &Front);

// A request that was refused before it reached a handler.
struct Refusal {
  unsigned m_Status = 400;
  Reason m_RejectionReason = Reason::BadRequest;
  std::string m_Message;
};

// Parses a request of the API. Never puts the key into a message; wipes the input's copy of it.
std::variant<CallerRequest, Refusal> parseCallerRequest(HttpRequest Input,
                                                        const FrontSettings &Limits);

// Returns the HTTP status that goes with an answer; the body is what counts.
unsigned chooseStatus(AnswerClass Class, Reason ReasonCode);

HttpResponse formatAnswer(const CallerAnswer &Answer);

} // namespace quetzalpaddle
