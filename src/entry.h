// Handles callers' requests: authorization, admission by rate, routing, forwarding, retries and
// answers.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

enum class RequestKind { Read, Write, Begin, Statement, Commit, Abort, Outcome };

// A caller's request after parsing.
struct CallerRequest {
  RequestKind m_Kind = RequestKind::Read;
  std::string m_Route;
  std::string m_KeyText;   // key in plain text; overwritten after the check
  std::string m_Token;     // session token; empty if the caller sent none
  std::string m_RequestId; // if empty, one is generated for a write
  std::string m_Transaction;
  std::vector<instance::Statement> m_Statements;
  std::string m_BodyHash;         // hash of transaction and statements, 8 bytes
  std::optional<Millis> m_MaxAge; // maximum data age that the caller accepts for a read
  std::optional<Millis> m_Timeout;
  uint64_t m_ConnectionId = 0; // of the caller's connection to the HTTP server
};

struct CallerAnswer {
  AnswerClass m_Class = AnswerClass::NotRun;
  Reason m_Reason = Reason::None;
  std::string m_Message;
  std::vector<instance::Row> m_Rows;
  std::string m_Token; // new session token
  std::string m_RequestId;
  std::string m_Transaction;    // id of the transaction that Begin opened
  std::string m_Instance;       // instance that answered
  std::string m_KeyId;          // key whose withdrawal closes the caller's connection
  Millis m_RetryAfter{0};       // when the caller should ask again; 0: not known
  bool m_IsReplayed = false;    // stored result of an earlier request with this id
  bool m_IsFromReplica = false; // served by a replica
};

// Handles a request; may be called from any thread. Callback is called once, on the control thread.
void handleRequest(Host &ThisHost, CallerRequest Request,
                   std::function<void(CallerAnswer)> Callback);

// Returns the number of requests without an answer. A graceful shutdown waits until it is 0.
size_t countUnanswered(const Host &ThisHost);

} // namespace quetzalpaddle
