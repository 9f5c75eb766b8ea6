// Entry of requests: checks, admission, choice of instance and dispatcher, retries, answers.
#pragma once

#include "peer.h"

namespace quetzalpaddle {

struct Host;

enum class RequestKind { Read, Write, Begin, Statement, Commit, Abort, Outcome };

// A caller's request after parsing; the HTTP front makes it.
struct CallerRequest {
  RequestKind m_Kind = RequestKind::Read;
  std::string m_Route;
  std::string m_KeyText;   // as it came; wiped once it was checked
  std::string m_Token;     // session token; empty if none came
  std::string m_RequestId; // empty: one is made for writes
  std::string m_Transaction;
  std::vector<instance::Statement> m_Statements;
  std::string m_BodyHash;         // of the statements, 8 bytes
  std::optional<Millis> m_MaxAge; // stated age
  std::optional<Millis> m_Timeout;
  uint64_t m_ConnectionId = 0; // of the front; closed by the front when its key ends
};

struct CallerAnswer {
  AnswerClass m_Class = AnswerClass::NotRun;
  Reason m_Reason = Reason::None;
  std::string m_Message;
  std::vector<instance::Row> m_Rows;
  std::string m_Token; // new session token
  std::string m_RequestId;
  std::string m_Transaction;    // of Begin
  std::string m_Instance;       // that answered
  std::string m_KeyId;          // the front remembers it for its connection
  bool m_IsReplayed = false;    // stored result of an earlier request with this id
  bool m_IsFromReplica = false; // served by a replica
};

// Takes a request from any thread. Callback is called once, on the control thread.
void handleRequest(Host &ThisHost, CallerRequest Request,
                   std::function<void(CallerAnswer)> Callback);

// Requests that have not been answered yet; a graceful shutdown waits until it is 0.
size_t countUnanswered(const Host &ThisHost);

} // namespace quetzalpaddle
