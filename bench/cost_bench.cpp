// The proxy's own cost against a direct connection to the same stand-in instance, in one run: added
// latency, throughput lost, and what each part of the way takes. Usage: cost_bench [REPORT.json]
//
// Every variant reads one row at the primary of the same group. Both sides block a thread for each
// call, and all processes of the system share one process, so that the figures include the caller.
#include "host.h"
#include "http_front.h"
#include "measure.h"
#include "system.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <ranges>
#include <semaphore>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace quetzalpaddle {

namespace {

constexpr int Rounds = 5;
constexpr size_t Connections = 8;
constexpr Millis LatencyPhase{300};
constexpr Millis ThroughputPhase{300};
constexpr Millis CallTimeout{2000};

using Call = std::function<bool()>;     // one request; whether it was answered as expected
using MakeCall = std::function<Call()>; // one connection

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

// Waits on the calling thread for an answer from another one.
struct Waiter {
  std::binary_semaphore m_Ready{0};
  std::atomic<bool> m_Good = false;
  void finish(bool Good) {
    m_Good = Good;
    m_Ready.release();
  }
  bool wait() {
    m_Ready.acquire();
    return m_Good;
  }
};

struct DirectConnection {
  std::shared_ptr<InstanceConnection> m_Connection;
  ~DirectConnection() {
    if (m_Connection)
      closeConnection(m_Connection);
  }
};

Call makeDirect(const std::string &Address) {
  auto Mine = std::make_shared<DirectConnection>();
  auto W = std::make_shared<Waiter>();
  Executor Inline = [](const std::function<void()> &Work) { Work(); };
  Mine->m_Connection = openConnection(Address, CallTimeout, Inline,
                                      [W](std::optional<LinkError> Failed) { W->finish(!Failed); });
  if (!W->wait())
    return nullptr;
  return [Mine, W] {
    instance::ClientFrame Frame;
    instance::Execute &Body = *Frame.mutable_execute();
    *Body.add_statements() = makeStatement(instance::OP_GET, "orders", "row1");
    Body.set_read_only(true);
    Body.set_on_primary(true);
    sendFrame(Mine->m_Connection, std::move(Frame), CallTimeout,
              [W](const std::variant<instance::ServerFrame, LinkError> &Answer) {
                const auto *Got = std::get_if<instance::ServerFrame>(&Answer);
                W->finish(Got && Got->code() == instance::OK);
              });
    return W->wait();
  };
}

struct Socket {
  int m_Handle = -1;
  explicit Socket(uint16_t Port) {
    m_Handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(m_Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    timeval Limit{2, 0};
    setsockopt(m_Handle, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_Handle, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
      close(m_Handle);
      m_Handle = -1;
    }
  }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket() {
    if (m_Handle >= 0)
      close(m_Handle);
  }
};

// Sends a request and reads one response by its Content-Length. Returns whether it is a 200.
bool callHttp(const Socket &S, const std::string &Request) {
  if (send(S.m_Handle, Request.data(), Request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(Request.size()))
    return false;
  std::string Text;
  std::array<char, 4096> Part{};
  while (true) {
    ssize_t Got = recv(S.m_Handle, Part.data(), Part.size(), 0);
    if (Got <= 0)
      return false;
    Text.append(Part.data(), static_cast<size_t>(Got));
    size_t End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      continue;
    size_t Length = Text.find("Content-Length: ");
    if (Length == std::string::npos || Length > End)
      return false;
    if (Text.size() >= End + 4 + std::stoul(Text.substr(Length + 16)))
      return Text.starts_with("HTTP/1.1 200");
  }
}

std::string makeHttpRequest(const std::string &Key) {
  std::string Body = R"({"statements":[{"op":"get","table":"orders","key":"row1"}]})";
  return fmt::format("POST /v1/routes/g1/read HTTP/1.1\r\nHost: proxy\r\nContent-Type: "
                     "application/json\r\nAuthorization: Bearer {}\r\nContent-Length: "
                     "{}\r\n\r\n{}",
                     Key, Body.size(), Body);
}

Call makeHttp(uint16_t Port, const std::string &Key) {
  auto S = std::make_shared<Socket>(Port);
  if (S->m_Handle < 0)
    return nullptr;
  return [S, Request = makeHttpRequest(Key)] { return callHttp(*S, Request); };
}

// Leaves HTTP out: the request goes straight to the host.
Call makeInProcess(Host &H, const std::string &Key) {
  auto W = std::make_shared<Waiter>();
  return [W, &H, Key] {
    CallerRequest Request;
    Request.m_Kind = RequestKind::Read;
    Request.m_Route = "g1";
    Request.m_KeyText = Key;
    Request.m_Statements = {makeStatement(instance::OP_GET, "orders", "row1")};
    handleRequest(H, std::move(Request),
                  [W](const CallerAnswer &A) { W->finish(A.m_Class == AnswerClass::Done); });
    return W->wait();
  };
}

// To the control thread and back, without any work there: two hand-overs between threads.
Call makeHandOver(Host &H) {
  auto W = std::make_shared<Waiter>();
  return [W, &H] {
    H.m_Run([W] { W->finish(true); });
    return W->wait();
  };
}

//-----------------------------------------------------------------------------
// Measurement
//-----------------------------------------------------------------------------

double usedProcessor() {
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  auto Seconds = [](const timeval &T) {
    return static_cast<double>(T.tv_sec) + static_cast<double>(T.tv_usec) * 1e-6;
  };
  return Seconds(Used.ru_utime) + Seconds(Used.ru_stime);
}

struct Round {
  double m_Median = 0; // microseconds
  double m_P99 = 0;
  double m_PerSecond = 0; // at Connections connections
  double m_Processor = 0; // microseconds of the whole process per call, at Connections
  uint64_t m_Failed = 0;
};

struct Variant {
  std::string m_Name;
  MakeCall m_Make;
  std::vector<Round> m_Rounds;
};

void measureLatency(const Variant &V, Round &Out) {
  Call Run = V.m_Make();
  std::vector<double> Times;
  for (int Warm = 0; Run && Warm < 50; ++Warm)
    Run();
  auto Start = Clock::now();
  while (Run && Clock::now() - Start < LatencyPhase) {
    auto Sent = Clock::now();
    Out.m_Failed += Run() ? 0 : 1;
    Times.push_back(secondsSince(Sent) * 1e6);
  }
  if (Times.empty()) {
    ++Out.m_Failed;
    return;
  }
  std::ranges::sort(Times);
  Out.m_Median = Times[Times.size() / 2];
  Out.m_P99 = Times[Times.size() * 99 / 100];
}

void measureThroughput(const Variant &V, Round &Out) {
  std::vector<Call> Calls;
  for (size_t At = 0; At < Connections; ++At)
    if (Call Made = V.m_Make())
      Calls.push_back(Made);
  std::atomic<bool> Stop = false;
  std::atomic<bool> Counting = false;
  std::atomic<uint64_t> Done = 0;
  std::atomic<uint64_t> Failed = 0;
  std::vector<std::thread> Threads;
  Threads.reserve(Calls.size());
  for (const Call &Run : Calls)
    Threads.emplace_back([&, Run] {
      while (!Stop) {
        bool Good = Run();
        if (Counting)
          ++(Good ? Done : Failed);
      }
    });
  std::this_thread::sleep_for(Millis(50));
  Counting = true;
  double Before = usedProcessor();
  auto Start = Clock::now();
  std::this_thread::sleep_for(ThroughputPhase);
  Counting = false;
  double Passed = secondsSince(Start);
  double Used = usedProcessor() - Before;
  Stop = true;
  std::ranges::for_each(Threads, &std::thread::join);
  Out.m_PerSecond = static_cast<double>(Done) / Passed;
  Out.m_Processor = Done == 0 ? 0 : Used * 1e6 / static_cast<double>(Done);
  Out.m_Failed += Failed + (Connections - Calls.size());
}

template <class Function> std::vector<double> collect(const Variant &V, Function Take) {
  std::vector<double> Values;
  for (size_t At = 0; At < V.m_Rounds.size(); ++At)
    Values.push_back(Take(At));
  return Values;
}

nlohmann::json reportVariant(const Variant &V, const Variant &Direct) {
  auto Latency = collect(V, [&](size_t At) { return V.m_Rounds[At].m_Median; });
  auto P99 = collect(V, [&](size_t At) { return V.m_Rounds[At].m_P99; });
  auto Rate = collect(V, [&](size_t At) { return V.m_Rounds[At].m_PerSecond; });
  auto Processor = collect(V, [&](size_t At) { return V.m_Rounds[At].m_Processor; });
  auto Added =
      collect(V, [&](size_t At) { return V.m_Rounds[At].m_Median - Direct.m_Rounds[At].m_Median; });
  auto AddedP99 =
      collect(V, [&](size_t At) { return V.m_Rounds[At].m_P99 - Direct.m_Rounds[At].m_P99; });
  auto Ratio = collect(V, [&](size_t At) {
    return V.m_Rounds[At].m_PerSecond / std::max(1.0, Direct.m_Rounds[At].m_PerSecond);
  });
  uint64_t Failed = 0;
  for (const Round &R : V.m_Rounds)
    Failed += R.m_Failed;
  auto [Least, Most] = std::ranges::minmax(Ratio);
  auto [AddedLeast, AddedMost] = std::ranges::minmax(Added);
  fmt::print("{:<28} p50 {:>7.1f} us  p99 {:>7.1f}  added p50 {:>7.1f} ({:.1f} to {:.1f})  p99 "
             "{:>7.1f}  {:>7.0f}/s  of direct {:.2f} ({:.2f} to {:.2f})  cpu {:>6.1f} us  failed "
             "{}\n",
             V.m_Name, takeMedian(Latency), takeMedian(P99), takeMedian(Added), AddedLeast,
             AddedMost, takeMedian(AddedP99), takeMedian(Rate), takeMedian(Ratio), Least, Most,
             takeMedian(Processor), Failed);
  return {{"name", V.m_Name},         {"p50_us", Latency},        {"p99_us", P99},
          {"added_p50_us", Added},    {"added_p99_us", AddedP99}, {"per_second", Rate},
          {"ratio_to_direct", Ratio}, {"cpu_us", Processor},      {"failed", Failed}};
}

//-----------------------------------------------------------------------------
// Systems
//-----------------------------------------------------------------------------

struct Hosts {
  Host *m_Dispatcher = nullptr;
  Host *m_Other = nullptr;
  std::string m_Address; // of the primary
};

bool findHosts(TestSystem &S, Hosts &Found) {
  std::string Primary = findPrimary(S, "g1");
  for (TestHost &Each : S.m_Hosts)
    runOnControlThread(*Each.m_Running, [&](Host &H) {
      const Instance *I = findInstance(H, "g1", Primary);
      if (!I)
        return;
      Found.m_Address = I->m_Address;
      bool Own = chooseDispatcher(H.m_Members, *I, {}, Clock::now(), H.m_Settings.m_Membership) ==
                 H.m_Settings.m_HostId;
      (Own ? Found.m_Dispatcher : Found.m_Other) = &H;
    });
  return Found.m_Dispatcher && Found.m_Other;
}

std::unique_ptr<TestSystem> startBenchSystem(std::chrono::microseconds Statement) {
  SystemOptions Options;
  Options.m_DataCentres = 1;
  Options.m_HostsPerDataCentre = 2;
  // As many slots as connections, so that the queue for slots is not what is measured.
  Options.m_Instance.m_Slots = 2 * Connections;
  Options.m_Instance.m_Connections = 130;
  Options.m_Instance.m_Statement = Statement;
  Options.m_Customers = {{"acme", 1000000, 500000}};
  return startSystem(Options);
}

nlohmann::json measureSystem(std::chrono::microseconds Statement) {
  auto S = startBenchSystem(Statement);
  Hosts Found;
  if (!S || !findHosts(*S, Found)) {
    fmt::print(stderr, "the system did not start\n");
    return nullptr;
  }
  std::string Key = S->m_Keys.at("acme");
  auto Settled = [&] {
    return callHost(*S, 0,
                    [&] {
                      CallerRequest R;
                      R.m_Route = "g1";
                      R.m_KeyText = Key;
                      R.m_Statements = {makeStatement(instance::OP_GET, "orders", "row1")};
                      return R;
                    }())
               .m_Class == AnswerClass::Done;
  };
  waitUntil(Settled, std::chrono::seconds(5));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  auto HttpPort = [](const Host *H) { return H->m_Settings.m_Callers.m_Port; };
  // A front of its own whose handler answers at once: HTTP and JSON without the rest.
  ListenSettings Listen;
  Listen.m_IsPlainText = true;
  auto Empty = openHttpFront(
      Listen, {},
      [](const CallerRequest &, const std::function<void(CallerAnswer)> &Done) {
        CallerAnswer Answer;
        Answer.m_Class = AnswerClass::Done;
        Done(Answer);
      },
      nullptr);
  if (!std::holds_alternative<std::shared_ptr<HttpFront>>(Empty))
    return nullptr;
  uint16_t EmptyPort = getFrontPort(*std::get<0>(Empty));
  std::vector<Variant> Variants{
      {"direct", [&] { return makeDirect(Found.m_Address); }, {}},
      {"dispatcher, HTTP", [&] { return makeHttp(HttpPort(Found.m_Dispatcher), Key); }, {}},
      {"forwarded, HTTP", [&] { return makeHttp(HttpPort(Found.m_Other), Key); }, {}},
      {"dispatcher, without HTTP", [&] { return makeInProcess(*Found.m_Dispatcher, Key); }, {}},
      {"forwarded, without HTTP", [&] { return makeInProcess(*Found.m_Other, Key); }, {}},
      {"hand-over there and back", [&] { return makeHandOver(*Found.m_Dispatcher); }, {}},
      {"HTTP alone", [&] { return makeHttp(EmptyPort, Key); }, {}},
  };
  for (int At = 0; At < Rounds; ++At)
    for (Variant &V : Variants) {
      Round &R = V.m_Rounds.emplace_back();
      measureLatency(V, R);
      measureThroughput(V, R);
    }
  fmt::print("statement takes {} us in the instance, {} connections, {} rounds\n",
             Statement.count(), Connections, Rounds);
  nlohmann::json Report{{"statement_us", Statement.count()}, {"variants", nlohmann::json::array()}};
  for (const Variant &V : Variants)
    Report["variants"].push_back(reportVariant(V, Variants[0]));
  return Report;
}

// Heap bytes per idle connection of a caller that has made one request.
nlohmann::json measureConnections() {
  auto S = startBenchSystem(std::chrono::microseconds(0));
  if (!S)
    return nullptr;
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::string Request = makeHttpRequest(S->m_Keys.at("acme"));
  std::vector<std::unique_ptr<Socket>> Open;
  std::vector<Sample> Samples;
  double Base = allocatedBytes();
  for (size_t Size : {250, 500, 1000, 2000}) {
    while (Open.size() < Size) {
      Open.push_back(std::make_unique<Socket>(S->m_Hosts[0].m_Settings.m_Callers.m_Port));
      if (!callHttp(*Open.back(), Request))
        return nullptr;
    }
    Samples.push_back({static_cast<double>(Size), allocatedBytes() - Base});
  }
  Fit Line = fitLine(Samples);
  fmt::print("heap per caller's connection: {:.0f} bytes, residual {:.1f}%\n", Line.m_Slope,
             Line.m_Residual * 100);
  return {{"bytes_per_connection", Line.m_Slope}, {"residual", Line.m_Residual}};
}

} // namespace

} // namespace quetzalpaddle

int main(int Count, char **Arguments) {
  using namespace quetzalpaddle;
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  Files.rlim_cur = std::min<rlim_t>(Files.rlim_max, 8192);
  setrlimit(RLIMIT_NOFILE, &Files);
  nlohmann::json Report{{"load_before", loadAverage()}, {"systems", nlohmann::json::array()}};
  fmt::print("load average {:.1f}\n", loadAverage());
  for (int Micros : {0, 1000})
    Report["systems"].push_back(measureSystem(std::chrono::microseconds(Micros)));
  Report["connections"] = measureConnections();
  Report["load_after"] = loadAverage();
  fmt::print("load average {:.1f}\n", loadAverage());
  writeJson(Report, Count > 1 ? Arguments[1] : "cost.json");
  return 0;
}
