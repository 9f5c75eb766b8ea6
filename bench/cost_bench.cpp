// Compares the proxy with a direct connection to the same stand-in instance in one run: added
// latency, lost throughput, and the time that each part of the path takes. Usage: cost_bench
// [REPORT.json]
//
// Every variant reads one row from the primary of the same group. Both sides block a thread for
// each call, and the whole system runs in one process, so that the figures include the caller.
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

constexpr int RoundCount = 5;
constexpr size_t ConnectionCount = 8;
constexpr Millis LatencyPhaseDuration{300};
constexpr Millis ThroughputPhaseDuration{300};
constexpr Millis CallTimeout{2000};

using Call = std::function<bool()>; // sends a request; returns whether the answer was as expected
using CallFactory = std::function<Call()>; // opens a connection; returns null on failure

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

// Lets the calling thread wait for an answer that arrives on another thread.
struct CallWaiter {
  std::binary_semaphore m_Completed{0};
  std::atomic<bool> m_HasSucceeded = false;
  void finish(bool HasSucceeded) {
    m_HasSucceeded = HasSucceeded;
    m_Completed.release();
  }
  bool wait() {
    m_Completed.acquire();
    return m_HasSucceeded;
  }
};

struct DirectConnection {
  std::shared_ptr<InstanceConnection> m_Connection;
  ~DirectConnection() {
    if (m_Connection)
      closeConnection(m_Connection);
  }
};

Call openDirectCall(const std::string &Address) {
  auto Owner = std::make_shared<DirectConnection>();
  auto Waiter = std::make_shared<CallWaiter>();
  Executor InlineExecutor = [](const std::function<void()> &Work) { Work(); };
  Owner->m_Connection =
      openConnection(Address, CallTimeout, InlineExecutor,
                     [Waiter](std::optional<LinkError> Error) { Waiter->finish(!Error); });
  if (!Waiter->wait())
    return nullptr;
  return [Owner, Waiter] {
    instance::ClientFrame Frame;
    instance::Execute &ExecuteBody = *Frame.mutable_execute();
    *ExecuteBody.add_statements() = makeStatement(instance::OP_GET, "orders", "row1");
    ExecuteBody.set_read_only(true);
    ExecuteBody.set_on_primary(true);
    sendFrame(Owner->m_Connection, std::move(Frame), CallTimeout,
              [Waiter](const std::variant<instance::ServerFrame, LinkError> &Answer) {
                const auto *Reply = std::get_if<instance::ServerFrame>(&Answer);
                Waiter->finish(Reply && Reply->code() == instance::OK);
              });
    return Waiter->wait();
  };
}

struct Socket {
  int m_Descriptor = -1;
  explicit Socket(uint16_t Port) {
    m_Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Enabled = 1;
    setsockopt(m_Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
    timeval ReceiveTimeout{2, 0};
    setsockopt(m_Descriptor, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout, sizeof(ReceiveTimeout));
    sockaddr_in Peer{};
    Peer.sin_family = AF_INET;
    Peer.sin_port = htons(Port);
    Peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_Descriptor, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) != 0) {
      close(m_Descriptor);
      m_Descriptor = -1;
    }
  }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket() {
    if (m_Descriptor >= 0)
      close(m_Descriptor);
  }
};

// Sends a request and reads one response, whose end its Content-Length gives. Returns whether the
// status is 200; false on a socket error or timeout.
bool callHttp(const Socket &Connection, const std::string &Request) {
  if (send(Connection.m_Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(Request.size()))
    return false;
  std::string Response;
  std::array<char, 4096> Buffer{};
  while (true) {
    ssize_t Received = recv(Connection.m_Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Received <= 0)
      return false;
    Response.append(Buffer.data(), static_cast<size_t>(Received));
    size_t HeaderEnd = Response.find("\r\n\r\n");
    if (HeaderEnd == std::string::npos)
      continue;
    size_t LengthHeader = Response.find("Content-Length: ");
    if (LengthHeader == std::string::npos || LengthHeader > HeaderEnd)
      return false;
    if (Response.size() >= HeaderEnd + 4 + std::stoul(Response.substr(LengthHeader + 16)))
      return Response.starts_with("HTTP/1.1 200");
  }
}

std::string makeHttpRequest(const std::string &Key) {
  std::string Body = R"({"statements":[{"op":"get","table":"orders","key":"row1"}]})";
  return fmt::format("POST /v1/routes/g1/read HTTP/1.1\r\nHost: proxy\r\nContent-Type: "
                     "application/json\r\nAuthorization: Bearer {}\r\nContent-Length: "
                     "{}\r\n\r\n{}",
                     Key, Body.size(), Body);
}

Call openHttpCall(uint16_t Port, const std::string &Key) {
  auto Connection = std::make_shared<Socket>(Port);
  if (Connection->m_Descriptor < 0)
    return nullptr;
  return [Connection, Request = makeHttpRequest(Key)] { return callHttp(*Connection, Request); };
}

// Passes the request to the host directly, without HTTP.
Call makeInProcessCall(Host &H, const std::string &Key) {
  auto Waiter = std::make_shared<CallWaiter>();
  return [Waiter, &H, Key] {
    CallerRequest Request;
    Request.m_Kind = RequestKind::Read;
    Request.m_Route = "g1";
    Request.m_KeyText = Key;
    Request.m_Statements = {makeStatement(instance::OP_GET, "orders", "row1")};
    handleRequest(H, std::move(Request), [Waiter](const CallerAnswer &Answer) {
      Waiter->finish(Answer.m_Class == AnswerClass::Done);
    });
    return Waiter->wait();
  };
}

// A round trip to the control thread without any work there: two switches between threads.
Call makeThreadRoundTrip(Host &H) {
  auto Waiter = std::make_shared<CallWaiter>();
  return [Waiter, &H] {
    H.m_Run([Waiter] { Waiter->finish(true); });
    return Waiter->wait();
  };
}

//-----------------------------------------------------------------------------
// Measurement
//-----------------------------------------------------------------------------

double readCpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto ToSeconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) + static_cast<double>(Time.tv_usec) * 1e-6;
  };
  return ToSeconds(Usage.ru_utime) + ToSeconds(Usage.ru_stime);
}

struct Round {
  double m_MedianUs = 0;
  double m_P99Us = 0;
  double m_CallsPerSecond = 0; // with ConnectionCount connections
  double m_CpuUsPerCall = 0;   // of the whole process, with ConnectionCount connections
  uint64_t m_FailedCount = 0;
};

struct Variant {
  std::string m_Name;
  CallFactory m_OpenCall;
  std::vector<Round> m_Rounds;
};

void measureLatency(const Variant &Measured, Round &Result) {
  Call RunCall = Measured.m_OpenCall();
  std::vector<double> LatenciesUs;
  for (int WarmUpCall = 0; RunCall && WarmUpCall < 50; ++WarmUpCall)
    RunCall();
  auto StartedAt = Clock::now();
  while (RunCall && Clock::now() - StartedAt < LatencyPhaseDuration) {
    auto SentAt = Clock::now();
    Result.m_FailedCount += RunCall() ? 0 : 1;
    LatenciesUs.push_back(secondsSince(SentAt) * 1e6);
  }
  if (LatenciesUs.empty()) {
    ++Result.m_FailedCount;
    return;
  }
  std::ranges::sort(LatenciesUs);
  Result.m_MedianUs = LatenciesUs[LatenciesUs.size() / 2];
  Result.m_P99Us = LatenciesUs[LatenciesUs.size() * 99 / 100];
}

void measureThroughput(const Variant &Measured, Round &Result) {
  std::vector<Call> Calls;
  for (size_t Index = 0; Index < ConnectionCount; ++Index)
    if (Call NewCall = Measured.m_OpenCall())
      Calls.push_back(NewCall);
  std::atomic<bool> IsStopping = false;
  std::atomic<bool> IsCounting = false;
  std::atomic<uint64_t> DoneCount = 0;
  std::atomic<uint64_t> FailedCount = 0;
  std::vector<std::thread> Threads;
  Threads.reserve(Calls.size());
  for (const Call &RunCall : Calls)
    Threads.emplace_back([&, RunCall] {
      while (!IsStopping) {
        bool HasSucceeded = RunCall();
        if (IsCounting)
          ++(HasSucceeded ? DoneCount : FailedCount);
      }
    });
  std::this_thread::sleep_for(Millis(50));
  IsCounting = true;
  double CpuBefore = readCpuSeconds();
  auto StartedAt = Clock::now();
  std::this_thread::sleep_for(ThroughputPhaseDuration);
  IsCounting = false;
  double ElapsedSeconds = secondsSince(StartedAt);
  double CpuSeconds = readCpuSeconds() - CpuBefore;
  IsStopping = true;
  std::ranges::for_each(Threads, &std::thread::join);
  Result.m_CallsPerSecond = static_cast<double>(DoneCount) / ElapsedSeconds;
  Result.m_CpuUsPerCall = DoneCount == 0 ? 0 : CpuSeconds * 1e6 / static_cast<double>(DoneCount);
  Result.m_FailedCount += FailedCount + (ConnectionCount - Calls.size());
}

template <class Function> std::vector<double> collect(const Variant &Measured, Function GetValue) {
  std::vector<double> Values;
  for (size_t RoundIndex = 0; RoundIndex < Measured.m_Rounds.size(); ++RoundIndex)
    Values.push_back(GetValue(RoundIndex));
  return Values;
}

nlohmann::json reportVariant(const Variant &Measured, const Variant &Direct) {
  auto Latency = collect(
      Measured, [&](size_t RoundIndex) { return Measured.m_Rounds[RoundIndex].m_MedianUs; });
  auto P99 =
      collect(Measured, [&](size_t RoundIndex) { return Measured.m_Rounds[RoundIndex].m_P99Us; });
  auto Rate = collect(
      Measured, [&](size_t RoundIndex) { return Measured.m_Rounds[RoundIndex].m_CallsPerSecond; });
  auto CpuTime = collect(
      Measured, [&](size_t RoundIndex) { return Measured.m_Rounds[RoundIndex].m_CpuUsPerCall; });
  auto Added = collect(Measured, [&](size_t RoundIndex) {
    return Measured.m_Rounds[RoundIndex].m_MedianUs - Direct.m_Rounds[RoundIndex].m_MedianUs;
  });
  auto AddedP99 = collect(Measured, [&](size_t RoundIndex) {
    return Measured.m_Rounds[RoundIndex].m_P99Us - Direct.m_Rounds[RoundIndex].m_P99Us;
  });
  auto Ratio = collect(Measured, [&](size_t RoundIndex) {
    return Measured.m_Rounds[RoundIndex].m_CallsPerSecond /
           std::max(1.0, Direct.m_Rounds[RoundIndex].m_CallsPerSecond);
  });
  uint64_t FailedCount = 0;
  for (const Round &R : Measured.m_Rounds)
    FailedCount += R.m_FailedCount;
  auto [MinRatio, MaxRatio] = std::ranges::minmax(Ratio);
  auto [MinAdded, MaxAdded] = std::ranges::minmax(Added);
  fmt::print("{:<28} p50 {:>7.1f} us  p99 {:>7.1f}  added p50 {:>7.1f} ({:.1f} to {:.1f})  p99 "
             "{:>7.1f}  {:>7.0f}/s  of direct {:.2f} ({:.2f} to {:.2f})  cpu {:>6.1f} us  failed "
             "{}\n",
             Measured.m_Name, computeMedian(Latency), computeMedian(P99), computeMedian(Added),
             MinAdded, MaxAdded, computeMedian(AddedP99), computeMedian(Rate), computeMedian(Ratio),
             MinRatio, MaxRatio, computeMedian(CpuTime), FailedCount);
  return {{"name", Measured.m_Name},  {"p50_us", Latency},        {"p99_us", P99},
          {"added_p50_us", Added},    {"added_p99_us", AddedP99}, {"per_second", Rate},
          {"ratio_to_direct", Ratio}, {"cpu_us", CpuTime},        {"failed", FailedCount}};
}

//-----------------------------------------------------------------------------
// Systems
//-----------------------------------------------------------------------------

struct MeasuredHosts {
  Host *m_Dispatcher = nullptr; // dispatches to the primary of group g1
  Host *m_Forwarder = nullptr;  // forwards requests to the dispatcher
  std::string m_PrimaryAddress;
};

bool findMeasuredHosts(TestSystem &System, MeasuredHosts &Result) {
  std::string Primary = findPrimary(System, "g1");
  for (TestHost &Each : System.m_Hosts)
    runOnControlThread(*Each.m_Running, [&](Host &H) {
      const Instance *PrimaryInstance = findInstance(H, "g1", Primary);
      if (!PrimaryInstance)
        return;
      Result.m_PrimaryAddress = PrimaryInstance->m_Address;
      bool IsDispatcher = chooseDispatcher(H.m_Members, *PrimaryInstance, {}, Clock::now(),
                                           H.m_Settings.m_Membership) == H.m_Settings.m_HostId;
      (IsDispatcher ? Result.m_Dispatcher : Result.m_Forwarder) = &H;
    });
  return Result.m_Dispatcher && Result.m_Forwarder;
}

std::unique_ptr<TestSystem> startBenchSystem(std::chrono::microseconds StatementTime) {
  SystemOptions Options;
  Options.m_DataCentres = 1;
  Options.m_HostsPerDataCentre = 2;
  // More slots than connections, so that no request waits for a slot.
  Options.m_InstanceOptions.m_SlotCount = 2 * ConnectionCount;
  Options.m_InstanceOptions.m_ConnectionLimit = 130;
  Options.m_InstanceOptions.m_StatementDuration = StatementTime;
  Options.m_Customers = {{"acme", 1000000, 500000}};
  return startSystem(Options);
}

nlohmann::json measureSystem(std::chrono::microseconds StatementTime) {
  auto System = startBenchSystem(StatementTime);
  MeasuredHosts Hosts;
  if (!System || !findMeasuredHosts(*System, Hosts)) {
    fmt::print(stderr, "the system did not start\n");
    return nullptr;
  }
  std::string Key = System->m_Keys.at("acme");
  auto IsServing = [&] {
    return callHost(*System, 0,
                    [&] {
                      CallerRequest CallRequest;
                      CallRequest.m_Route = "g1";
                      CallRequest.m_KeyText = Key;
                      CallRequest.m_Statements = {
                          makeStatement(instance::OP_GET, "orders", "row1")};
                      return CallRequest;
                    }())
               .m_Class == AnswerClass::Done;
  };
  waitUntil(IsServing, std::chrono::seconds(5));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  auto HttpPort = [](const Host *H) { return H->m_Settings.m_Callers.m_Port; };
  // A separate HTTP front whose handler answers at once, to measure HTTP and JSON alone.
  ListenSettings Listen;
  Listen.m_IsPlainText = true;
  auto BareFront = openHttpFront(
      Listen, {},
      [](const CallerRequest &, const std::function<void(CallerAnswer)> &Done) {
        CallerAnswer Answer;
        Answer.m_Class = AnswerClass::Done;
        Done(Answer);
      },
      nullptr);
  if (!std::holds_alternative<std::shared_ptr<HttpFront>>(BareFront))
    return nullptr;
  uint16_t BareFrontPort = getFrontPort(*std::get<0>(BareFront));
  std::vector<Variant> Variants{
      {"direct", [&] { return openDirectCall(Hosts.m_PrimaryAddress); }, {}},
      {"dispatcher, HTTP", [&] { return openHttpCall(HttpPort(Hosts.m_Dispatcher), Key); }, {}},
      {"forwarded, HTTP", [&] { return openHttpCall(HttpPort(Hosts.m_Forwarder), Key); }, {}},
      {"dispatcher, without HTTP", [&] { return makeInProcessCall(*Hosts.m_Dispatcher, Key); }, {}},
      {"forwarded, without HTTP", [&] { return makeInProcessCall(*Hosts.m_Forwarder, Key); }, {}},
      {"hand-over there and back", [&] { return makeThreadRoundTrip(*Hosts.m_Dispatcher); }, {}},
      {"HTTP alone", [&] { return openHttpCall(BareFrontPort, Key); }, {}},
  };
  for (int RoundIndex = 0; RoundIndex < RoundCount; ++RoundIndex)
    for (Variant &EachVariant : Variants) {
      Round &NewRound = EachVariant.m_Rounds.emplace_back();
      measureLatency(EachVariant, NewRound);
      measureThroughput(EachVariant, NewRound);
    }
  fmt::print("statement takes {} us in the instance, {} connections, {} rounds\n",
             StatementTime.count(), ConnectionCount, RoundCount);
  nlohmann::json Report{{"statement_us", StatementTime.count()},
                        {"variants", nlohmann::json::array()}};
  for (const Variant &EachVariant : Variants)
    Report["variants"].push_back(reportVariant(EachVariant, Variants[0]));
  return Report;
}

// Measures the heap bytes of an idle caller connection that has made one request.
nlohmann::json measureConnections() {
  auto System = startBenchSystem(std::chrono::microseconds(0));
  if (!System)
    return nullptr;
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::string Request = makeHttpRequest(System->m_Keys.at("acme"));
  std::vector<std::unique_ptr<Socket>> OpenSockets;
  std::vector<Sample> Samples;
  double BaseBytes = allocatedBytes();
  for (size_t Size : {250, 500, 1000, 2000}) {
    while (OpenSockets.size() < Size) {
      OpenSockets.push_back(
          std::make_unique<Socket>(System->m_Hosts[0].m_Settings.m_Callers.m_Port));
      if (!callHttp(*OpenSockets.back(), Request))
        return nullptr;
    }
    Samples.push_back({static_cast<double>(Size), allocatedBytes() - BaseBytes});
  }
  Fit LineFit = fitLine(Samples);
  fmt::print("heap per caller's connection: {:.0f} bytes, residual {:.1f}%\n", LineFit.m_Slope,
             LineFit.m_Residual * 100);
  return {{"bytes_per_connection", LineFit.m_Slope}, {"residual", LineFit.m_Residual}};
}

} // namespace

} // namespace quetzalpaddle

int main(int Count, char **Arguments) {
  using namespace quetzalpaddle;
  rlimit FileLimit{};
  getrlimit(RLIMIT_NOFILE, &FileLimit);
  FileLimit.rlim_cur = std::min<rlim_t>(FileLimit.rlim_max, 8192);
  setrlimit(RLIMIT_NOFILE, &FileLimit);
  nlohmann::json Report{{"load_before", loadAverage()}, {"systems", nlohmann::json::array()}};
  fmt::print("load average {:.1f}\n", loadAverage());
  for (int StatementMicros : {0, 1000})
    Report["systems"].push_back(measureSystem(std::chrono::microseconds(StatementMicros)));
  Report["connections"] = measureConnections();
  Report["load_after"] = loadAverage();
  fmt::print("load average {:.1f}\n", loadAverage());
  writeJson(Report, Count > 1 ? Arguments[1] : "cost.json");
  return 0;
}
