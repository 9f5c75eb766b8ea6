#include "admin_front.h"
#include "http_front.h"

#include <arpa/inet.h>
#include <atomic>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace quetzalpaddle;

namespace {

using Done = std::function<void(CallerAnswer)>;
using std::chrono::milliseconds;

// Stands for a host: keeps requests until the test answers them, or answers at once by echoing.
struct FakeHost {
  std::mutex m_Lock;
  std::vector<std::pair<CallerRequest, Done>> m_Held;
  std::atomic<bool> m_Hold{false};

  RequestHandler makeHandler() {
    return [this](CallerRequest Request, const Done &Reply) {
      if (!m_Hold)
        return Reply(echo(Request));
      std::lock_guard Guard(m_Lock);
      m_Held.emplace_back(std::move(Request), Reply);
    };
  }
  // The answer names its request, so that a crossed answer shows.
  static CallerAnswer echo(const CallerRequest &Request) {
    CallerAnswer Answer;
    Answer.m_Class = AnswerClass::Done;
    Answer.m_RequestId = Request.m_RequestId;
    Answer.m_Transaction = Request.m_Transaction;
    Answer.m_Token = Request.m_Token;
    Answer.m_KeyId = Request.m_KeyText.substr(0, 2);
    for (const auto &S : Request.m_Statements) {
      instance::Row Row;
      Row.set_key(S.key());
      Row.set_value(S.value());
      Answer.m_Rows.push_back(Row);
    }
    return Answer;
  }
  size_t countHeld() {
    std::lock_guard Guard(m_Lock);
    return m_Held.size();
  }
  void answer(size_t At) {
    std::pair<CallerRequest, Done> Taken;
    {
      std::lock_guard Guard(m_Lock);
      Taken = m_Held.at(At);
    }
    Taken.second(echo(Taken.first));
  }
};

// Waits up to 5 s for a condition.
template <class Condition> bool waitFor(Condition Met) {
  for (int Try = 0; Try < 500; ++Try) {
    if (Met())
      return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return Met();
}

// A caller on a loopback socket.
struct Client {
  int m_Socket = -1;
  std::string m_Read;
  explicit Client(uint16_t Port) : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval Limit{5, 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    if (connect(m_Socket, reinterpret_cast<sockaddr *>(&To), sizeof To) != 0) {
      close(m_Socket);
      m_Socket = -1;
    }
  }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  ~Client() {
    if (m_Socket >= 0)
      close(m_Socket);
  }
  void sendText(std::string_view Text) const {
    while (!Text.empty()) {
      ssize_t Sent = send(m_Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return;
      Text.remove_prefix(Sent);
    }
  }
  bool readMore() {
    std::array<char, 4096> Part{};
    ssize_t Got = recv(m_Socket, Part.data(), Part.size(), 0);
    if (Got > 0)
      m_Read.append(Part.data(), Got);
    return Got > 0;
  }
  bool isClosed() {
    while (readMore())
      continue;
    char Byte = 0;
    return recv(m_Socket, &Byte, 1, MSG_DONTWAIT) == 0 || errno == ECONNRESET;
  }
  // Reads one answer, header and body; empty if the connection ends before it is complete.
  std::string readAnswer() {
    size_t End = 0;
    while ((End = m_Read.find("\r\n\r\n")) == std::string::npos)
      if (!readMore())
        return "";
    size_t At = m_Read.find("Content-Length: ");
    size_t Length = End + 4 + std::stoul(m_Read.substr(At + 16));
    while (m_Read.size() < Length)
      if (!readMore())
        return "";
    std::string Answer = m_Read.substr(0, Length);
    m_Read.erase(0, Length);
    return Answer;
  }
  std::string ask(std::string_view Text) {
    sendText(Text);
    return readAnswer();
  }
};

struct Fixture {
  FakeHost m_Fake;
  FrontSettings m_Limits;
  std::shared_ptr<HttpFront> m_Front;
  std::shared_ptr<Metrics> m_Metrics = openMetrics();
  explicit Fixture(const FrontSettings &Limits = {}) : m_Limits(Limits) {
    ListenSettings Listen;
    Listen.m_IsPlainText = true;
    auto Opened = openHttpFront(Listen, m_Limits, m_Fake.makeHandler(), m_Metrics);
    cr_assert(std::holds_alternative<std::shared_ptr<HttpFront>>(Opened));
    m_Front = std::get<std::shared_ptr<HttpFront>>(Opened);
  }
  uint16_t port() const { return getFrontPort(*m_Front); }
};

std::string makeRequest(const std::string &Path, const std::string &Body,
                        const std::string &Headers = "", const std::string &Method = "POST") {
  return Method + " /v1/routes/orders/" + Path + " HTTP/1.1\r\nHost: h\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string makeGet(const std::string &Key, const std::string &Headers = "") {
  return makeRequest("read", R"({"statements":[{"op":"get","table":"t","key":")" + Key + "\"}]}",
                     Headers);
}

bool has(const std::string &Text, const std::string &Part) {
  bool Found = Text.find(Part) != std::string::npos;
  if (!Found)
    cr_log_error("'%s' is not in: %s", Part.c_str(), Text.c_str());
  return Found;
}

// Every refusal must say that nothing was run, and why.
void expectRefusal(const std::string &Answer, int Status, const std::string &Reason) {
  cr_assert(has(Answer, "HTTP/1.1 " + std::to_string(Status)));
  cr_assert(has(Answer, R"("class":"not_run")"));
  cr_assert(has(Answer, "\"reason\":\"" + Reason + "\""));
}

} // namespace

// Guards against answers to pipelined requests in another order, or a request that is lost.
Test(http, pipelinedRequestsAreAnsweredInOrder) {
  Fixture F;
  Client C(F.port());
  std::string All;
  for (int At = 0; At < 50; ++At)
    All += makeGet("k" + std::to_string(At), "Request-Id: r" + std::to_string(At) + "\r\n");
  C.sendText(All);
  for (int At = 0; At < 50; ++At) {
    std::string Answer = C.readAnswer();
    cr_assert(has(Answer, "HTTP/1.1 200"));
    cr_assert(has(Answer, "\"key\":\"k" + std::to_string(At) + "\""));
    cr_assert(has(Answer, "\"request_id\":\"r" + std::to_string(At) + "\""));
  }
}

// Guards against an answer that reaches another caller when answers come in another order than the
// requests, or twice.
Test(http, crossedAnswersReachTheirOwnCaller) {
  Fixture F;
  F.m_Fake.m_Hold = true;
  std::vector<std::unique_ptr<Client>> Clients;
  for (size_t At = 0; At < 8; ++At) {
    Clients.push_back(std::make_unique<Client>(F.port()));
    Clients.back()->sendText(makeGet("key" + std::to_string(At)));
    cr_assert(waitFor([&] { return F.m_Fake.countHeld() == At + 1; }));
  }
  for (size_t At = 8; At-- > 0;) {
    F.m_Fake.answer(At);
    F.m_Fake.answer(At);
  }
  for (size_t At = 0; At < 8; ++At)
    cr_assert(has(Clients[At]->readAnswer(), "\"key\":\"key" + std::to_string(At) + "\""));
  F.m_Fake.m_Hold = false;
  for (size_t At = 0; At < 8; ++At)
    cr_assert(has(Clients[At]->ask(makeGet("next")), "\"key\":\"next\""));
}

// Guards against an answer that comes after the caller has gone, or after the front was released.
Test(http, lateAnswersHurtNobody) {
  auto F = std::make_unique<Fixture>();
  F->m_Fake.m_Hold = true;
  Client(F->port()).sendText(makeGet("gone"));
  Client Other(F->port());
  Other.sendText(makeGet("other"));
  cr_assert(waitFor([&] { return F->m_Fake.countHeld() == 2; }));
  F->m_Fake.answer(0);
  F->m_Front.reset();
  F->m_Fake.answer(1);
}

// Guards against a request that reaches the handler with other content than the caller sent.
Test(http, requestIsParsedInFull) {
  Fixture F;
  F.m_Fake.m_Hold = true;
  Client C(F.port());
  C.sendText(makeRequest(
      "write",
      R"({"statements":[{"op":"add","table":"t","key":"k","value":-5},)"
      R"({"op":"scan","table":"t","key":"","limit":7},{"op":"put","table":"t","key":"a","value":"v"}]})",
      "Authorization: Bearer qp_k1_secret\r\nSession-Token: tok\r\nRequest-Id: id:1\r\n"
      "Request-Timeout-Ms: 1500\r\nContent-Type: application/json; charset=utf-8\r\n"));
  cr_assert(waitFor([&] { return F.m_Fake.countHeld() == 1; }));
  const CallerRequest &R = F.m_Fake.m_Held[0].first;
  cr_assert(R.m_Kind == RequestKind::Write && R.m_Route == "orders");
  cr_assert(R.m_KeyText == "qp_k1_secret" && R.m_Token == "tok" && R.m_RequestId == "id:1");
  cr_assert(R.m_Timeout == milliseconds(1500) && !R.m_MaxAge && R.m_BodyHash.size() == 8);
  cr_assert(R.m_Statements.size() == 3 && R.m_Statements[0].value() == "-5");
  cr_assert(R.m_Statements[0].op() == instance::OP_ADD && R.m_Statements[1].limit() == 7);
  F.m_Fake.answer(0);
  std::string Answer = C.readAnswer();
  cr_assert(has(Answer, "Session-Token: tok"));
  cr_assert(Answer.find("secret") == std::string::npos, "the key came back");
}

// Guards against two requests that differ and count as the same, or the other way round.
Test(http, bodyHashFollowsTheStatements) {
  auto HashOf = [](const std::string &Body) {
    HttpRequest Input{"POST", "/v1/routes/r/write", {}, Body, 0};
    return std::get<CallerRequest>(parseCallerRequest(Input, {})).m_BodyHash;
  };
  std::string First = HashOf(R"({"statements":[{"op":"put","table":"t","key":"k","value":"1"}]})");
  std::string Spelled =
      HashOf(R"({ "statements": [{"value":"1","key":"k","table":"t","op":"put"}] })");
  std::string Other = HashOf(R"({"statements":[{"op":"put","table":"t","key":"k1","value":""}]})");
  cr_assert(First == Spelled && First != Other);
}

// Guards against paths that lead to another kind of request than stated.
Test(http, transactionPaths) {
  Fixture F;
  F.m_Fake.m_Hold = true;
  const std::vector<std::pair<std::string, RequestKind>> Paths = {
      {makeRequest("transactions", ""), RequestKind::Begin},
      {makeRequest("transactions/T1/statements",
                   R"({"statements":[{"op":"delete","table":"t","key":"k"}]})"),
       RequestKind::Statement},
      {makeRequest("transactions/T1/commit", ""), RequestKind::Commit},
      {makeRequest("transactions/T1/abort", ""), RequestKind::Abort},
      {makeRequest("requests/R1", "", "", "GET"), RequestKind::Outcome}};
  Client C(F.port());
  for (size_t At = 0; At < Paths.size(); ++At) {
    C.sendText(Paths[At].first);
    cr_assert(waitFor([&] { return F.m_Fake.countHeld() == At + 1; }));
    cr_assert(F.m_Fake.m_Held[At].first.m_Kind == Paths[At].second);
    F.m_Fake.answer(At);
    cr_assert(has(C.readAnswer(), "HTTP/1.1 200"));
  }
  cr_assert(F.m_Fake.m_Held[2].first.m_Transaction == "T1");
  cr_assert(F.m_Fake.m_Held[4].first.m_RequestId == "R1");
  cr_assert(F.m_Fake.m_Held[4].first.m_BodyHash.empty(), "the body is not known");
}

// Guards against malformed input that gets through, ends the connection without an answer, or is
// answered without a class and a reason.
Test(http, malformedInputIsRefused) {
  Fixture F;
  Client C(F.port());
  auto Body = [](const std::string &Statement) {
    return makeRequest("write", "{\"statements\":[" + Statement + "]}");
  };
  const std::vector<std::string> Bad = {
      makeRequest("write", "{\"statements\":["),
      makeRequest("write", "[]"),
      makeRequest("write", "{\"statements\":[]}"),
      makeRequest("write", R"({"statements":[{"op":"get","table":"t","key":"k"}],"more":1})"),
      makeRequest("write", std::string(100000, '[')),
      Body("5"),
      Body(R"({"op":"drop","table":"t","key":"k"})"),
      Body(R"({"op":"put","table":"t","key":"k"})"),
      Body(R"({"op":"put","table":"t","key":"k","value":7})"),
      Body(R"({"op":"put","table":"","key":"k","value":"v"})"),
      Body(R"({"op":"get","table":"t","key":"k","value":"v"})"),
      Body(R"({"op":"get","table":"t","key":"k","limit":1})"),
      Body(R"({"op":"scan","table":"t","key":"k","limit":0})"),
      Body(R"({"op":"add","table":"t","key":"k","value":"1x"})"),
      Body(R"({"op":"add","table":"t","key":"k","value":99999999999999999999})"),
      Body(R"({"op":"get","table":"t","key":"k","colour":"red"})"),
      Body("{\"op\":\"get\",\"table\":\"t\",\"key\":\"\xff\xfe\"}"),
      makeRequest("read", R"({"statements":[{"op":"put","table":"t","key":"k","value":"v"}]})"),
      makeGet("k", "Max-Age-Ms: soon\r\n"),
      makeGet("k", "Request-Timeout-Ms: 0\r\n"),
      makeGet("k", "Request-Id: a b\r\n"),
      makeGet("k", "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n"),
      makeRequest("transactions", "", "Max-Age-Ms: 5\r\n"),
      makeRequest("transactions", "x"),
  };
  for (const std::string &Request : Bad)
    expectRefusal(C.ask(Request), 400, "bad_request");
  expectRefusal(C.ask(makeGet("k", "Content-Type: text/plain\r\n")), 415, "bad_request");
  expectRefusal(C.ask(makeGet("k", "Authorization: Basic abc\r\n")), 401, "bad_key");
  expectRefusal(C.ask(makeRequest("read", "", "", "DELETE")), 405, "bad_request");
  expectRefusal(C.ask(makeRequest("delete", "")), 404, "bad_request");
  cr_assert(has(C.ask(makeGet("k")), "HTTP/1.1 200"), "the connection must still work");
  expectRefusal(C.ask("NOT HTTP\r\n\r\n"), 400, "bad_request");
  cr_assert(C.isClosed());
  cr_assert(has(formatMetrics(*F.m_Metrics), "bad_request"));
}

// Guards against requests over the limits that are read in full or break the connection before the
// answer has arrived.
Test(http, oversizedRequestsAreRefused) {
  FrontSettings Limits;
  Limits.m_MaxHeaderBytes = 2048;
  Limits.m_MaxBodyBytes = 4096;
  Fixture F(Limits);
  Client Header(F.port());
  expectRefusal(Header.ask(makeGet("k", "X: " + std::string(200000, 'x') + "\r\n")), 431,
                "too_large");
  cr_assert(Header.isClosed());
  Client Length(F.port());
  expectRefusal(Length.ask(makeRequest("read", std::string(500000, ' '))), 413, "too_large");
  Client Chunked(F.port());
  std::string Chunks =
      "POST /v1/routes/r/read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int At = 0; At < 20; ++At)
    Chunks += "400\r\n" + std::string(1024, ' ') + "\r\n";
  expectRefusal(Chunked.ask(Chunks), 413, "too_large");
  Client Fits(F.port());
  cr_assert(has(Fits.ask(makeGet("k")), "HTTP/1.1 200"));
}

// Guards against slow callers that hold a connection, and against idle ones that are told a fault.
Test(http, slowAndIdleCallersAreCutOff) {
  FrontSettings Limits;
  Limits.m_HeaderTimeout = milliseconds(300);
  Limits.m_IdleTimeout = milliseconds(600);
  Fixture F(Limits);
  Client Slow(F.port());
  auto Begin = Clock::now();
  std::thread Drip([&] {
    for (int At = 0; At < 10; ++At) {
      Slow.sendText(At == 0 ? "POST /v1/routes/r/read HTTP/1.1\r\n" : "X: y\r\n");
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  std::string Answer = Slow.readAnswer();
  auto Took = Clock::now() - Begin;
  Drip.join();
  expectRefusal(Answer, 408, "bad_request");
  cr_assert(Took >= milliseconds(250) && Took < milliseconds(900), "header time was not kept");
  Client Body(F.port());
  expectRefusal(
      Body.ask("POST /v1/routes/r/read HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{"), 408,
      "bad_request");
  Client Idle(F.port());
  cr_assert(Idle.isClosed());
  cr_assert(Idle.m_Read.empty());
}

// Guards against limits on connections and requests in progress that are not kept or not given
// back.
Test(http, connectionsAndRequestsAreBounded) {
  FrontSettings Limits;
  Limits.m_MaxConnections = 3;
  Limits.m_MaxInProgress = 1;
  Fixture F(Limits);
  F.m_Fake.m_Hold = true;
  Client First(F.port());
  First.sendText(makeGet("first"));
  cr_assert(waitFor([&] { return F.m_Fake.countHeld() == 1; }));
  {
    Client Second(F.port());
    expectRefusal(Second.ask(makeGet("second")), 503, "overloaded");
    Client Third(F.port());
    cr_assert(waitFor([&] { return countOpenConnections(*F.m_Front) == 3; }));
    Client Fourth(F.port());
    expectRefusal(Fourth.readAnswer(), 503, "overloaded");
  }
  F.m_Fake.answer(0);
  cr_assert(has(First.readAnswer(), "first"));
  F.m_Fake.m_Hold = false;
  cr_assert(waitFor([&] { return countOpenConnections(*F.m_Front) == 1; }));
  Client Next(F.port());
  cr_assert(has(Next.ask(makeGet("next")), "HTTP/1.1 200"));
}

// Guards against connections of a withdrawn key that stay open, also when the key ends while its
// first answer is on the way, and against other keys' connections being closed.
Test(http, connectionsOfAnEndedKeyAreClosed) {
  Fixture F;
  Client Idle(F.port());
  Client Other(F.port());
  Client Running(F.port());
  cr_assert(has(Idle.ask(makeGet("a", "Authorization: Bearer k1xx\r\n")), "HTTP/1.1 200"));
  cr_assert(has(Other.ask(makeGet("b", "Authorization: Bearer k2xx\r\n")), "HTTP/1.1 200"));
  F.m_Fake.m_Hold = true;
  Running.sendText(makeGet("c", "Authorization: Bearer k1xx\r\n") + makeGet("d"));
  cr_assert(waitFor([&] { return F.m_Fake.countHeld() == 1; }));
  closeKeyConnections(*F.m_Front, "k1");
  cr_assert(Idle.isClosed());
  F.m_Fake.answer(0);
  std::string Answer = Running.readAnswer();
  cr_assert(has(Answer, "\"key\":\"c\"") && has(Answer, "Connection: close"));
  cr_assert(Running.isClosed() && F.m_Fake.countHeld() == 1);
  F.m_Fake.m_Hold = false;
  cr_assert(has(Other.ask(makeGet("e")), "HTTP/1.1 200"));
}

// Guards against a drain that interrupts a request, keeps idle connections, or accepts new ones.
Test(http, drainFinishesRequestsAndClosesTheRest) {
  Fixture F;
  F.m_Fake.m_Hold = true;
  Client Busy(F.port());
  Client Idle(F.port());
  Busy.sendText(makeGet("busy"));
  cr_assert(waitFor([&] { return F.m_Fake.countHeld() == 1; }));
  beginDrain(*F.m_Front, milliseconds(200));
  Client Noticed(F.port());
  Noticed.sendText(makeGet("noticed"));
  cr_assert(waitFor([&] { return F.m_Fake.countHeld() == 2; }), "accepted until the notice ends");
  cr_assert(Idle.isClosed());
  cr_assert(Client(F.port()).m_Socket < 0, "accepted after the notice");
  cr_assert(countRequestsInProgress(*F.m_Front) == 2);
  F.m_Fake.answer(0);
  F.m_Fake.answer(1);
  cr_assert(has(Busy.readAnswer(), "Connection: close"));
  cr_assert(has(Noticed.readAnswer(), "Connection: close"));
  cr_assert(waitFor([&] { return countOpenConnections(*F.m_Front) == 0; }));
}

// Guards against a status that contradicts the class.
Test(http, statusFollowsTheClass) {
  for (uint32_t At = 0; At < static_cast<uint32_t>(Reason::Count); ++At) {
    auto Why = static_cast<Reason>(At);
    cr_assert(chooseStatus(AnswerClass::Done, Why) == 200);
    cr_assert(chooseStatus(AnswerClass::Unknown, Why) == 504);
    unsigned Status = chooseStatus(AnswerClass::NotRun, Why);
    cr_assert(Status >= 400 && Status != 504);
  }
}

// Guards against an admin listener that reports a stuck host as healthy or lacks a resource.
Test(http, adminListener) {
  ListenSettings Listen;
  Listen.m_IsPlainText = true;
  std::atomic<bool> Stuck{false};
  auto Counters = openMetrics();
  countEvent(*Counters, "tested");
  auto Started =
      startAdminFront(Listen,
                      [&](const std::function<void()> &Work) {
                        if (!Stuck)
                          Work();
                      },
                      Counters, {[] { return false; }, [] { return std::string("{\"dump\":1}"); }});
  auto Front = std::get<std::shared_ptr<AdminFront>>(Started);
  Client C(getAdminPort(*Front));
  auto Get = [&](const std::string &Path) {
    return C.ask("GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  };
  cr_assert(has(Get("/metrics"), "event=\"tested\""));
  cr_assert(has(Get("/health"), "200"));
  cr_assert(has(Get("/ready"), "503"));
  cr_assert(has(Get("/dump"), "{\"dump\":1}"));
  cr_assert(has(Get("/other"), "404"));
}
