// Threads and life cycle of a host. A graceful shutdown goes through these phases: report draining
// (readiness false, other hosts stop sending), after the notice close idle connections and refuse
// new ones, wait until nothing is in progress, give the rate slots back, stop.
#include "serve.h"

#include "admin_front.h"
#include "host.h"
#include "http_front.h"
#include "operator.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <thread>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

constexpr Millis TickInterval{10};
constexpr std::chrono::seconds GaugeInterval{1};

enum class Phase { Serving, Notice, Finishing, Releasing, Stopped };

} // namespace

struct RunningHost {
  // Calls in progress may end after the host; they find the context gone and drop their result.
  std::shared_ptr<asio::io_context> m_Control = std::make_shared<asio::io_context>(1);
  asio::executor_work_guard<asio::io_context::executor_type> m_Work{m_Control->get_executor()};
  asio::steady_timer m_Tick{*m_Control};
  Host m_Host;
  std::shared_ptr<HttpFront> m_Front;
  std::shared_ptr<AdminFront> m_Admin;
  std::shared_ptr<OperatorServer> m_Operators;
  Phase m_Phase = Phase::Serving;
  TimePoint m_PhaseSince{};
  std::function<void()> m_Drained;
  TimePoint m_GaugesAt{};
  std::thread m_Thread;

  RunningHost() = default;
  RunningHost(const RunningHost &) = delete;
  RunningHost &operator=(const RunningHost &) = delete;
  ~RunningHost();
};

namespace {

void enterPhase(RunningHost &Running, Phase Next, TimePoint Now) {
  Running.m_Phase = Next;
  Running.m_PhaseSince = Now;
}

void tickDrain(RunningHost &Running, TimePoint Now) {
  Host &H = Running.m_Host;
  Duration InPhase = Now - Running.m_PhaseSince;
  switch (Running.m_Phase) {
  case Phase::Serving:
  case Phase::Releasing:
  case Phase::Stopped:
    return;
  case Phase::Notice:
    if (InPhase < H.m_Settings.m_Drain.m_Notice)
      return;
    enterPhase(Running, Phase::Finishing, Now);
    return;
  case Phase::Finishing: {
    bool Idle = countInProgress(H) == 0 && countUnanswered(H) == 0 &&
                openConnections(*Running.m_Front) == 0;
    if (!Idle && InPhase < H.m_Settings.m_Drain.m_Limit)
      return;
    enterPhase(Running, Phase::Releasing, Now);
    releaseSlots(H, [&Running] {
      enterPhase(Running, Phase::Stopped, Clock::now());
      logLine(LogLevel::Info, "drained", {});
      Running.m_Drained();
    });
    return;
  }
  }
}

void updateGauges(const Host &H) {
  Metrics &M = *H.m_Metrics;
  setGauge(M, "config_revision", "", static_cast<double>(H.m_Config.m_Revision));
  setGauge(M, "requests_in_progress", "", countInProgress(H));
  setGauge(M, "rate_lease_valid", "", H.m_Rate.m_IsLeaseValid ? 1 : 0);
  for (const auto &[Name, View] : H.m_Views) {
    setGauge(M, "group_term", Name, static_cast<double>(View.m_Term));
    setGauge(M, "group_has_primary", Name, View.m_Primary.empty() ? 0 : 1);
    auto Primary = View.m_Instances.find(View.m_Primary);
    if (Primary == View.m_Instances.end())
      continue;
    uint64_t End = Primary->second.m_AppliedPosition.m_Index;
    for (const auto &[Id, I] : View.m_Instances)
      setGauge(M, "replica_lag_entries", Id,
               End > I.m_AppliedPosition.m_Index
                   ? static_cast<double>(End - I.m_AppliedPosition.m_Index)
                   : 0);
  }
}

void tickGauges(RunningHost &Running, TimePoint Now) {
  if (Now - Running.m_GaugesAt < GaugeInterval)
    return;
  Running.m_GaugesAt = Now;
  updateGauges(Running.m_Host);
}

void scheduleTick(RunningHost &Running) {
  Running.m_Tick.expires_after(TickInterval);
  Running.m_Tick.async_wait([&Running](boost::system::error_code Failed) {
    if (Failed)
      return;
    TimePoint Now = Clock::now();
    tickSync(Running.m_Host, Now);
    tickMonitor(Running.m_Host, Now);
    tickDispatch(Running.m_Host, Now);
    tickDrain(Running, Now);
    tickGauges(Running, Now);
    scheduleTick(Running);
  });
}

PeerService makePeerService(Host &H) {
  PeerService Service;
  Service.m_Exchange = [&H](const peer::ExchangeRequest &Request,
                            const PeerReply<peer::ExchangeReply> &Reply) {
    Reply(handleExchange(H, Request));
  };
  Service.m_Forward = [&H](const peer::ForwardRequest &Request,
                           PeerReply<peer::ForwardReply> Reply) {
    dispatchRequest(H, Request, std::move(Reply));
  };
  Service.m_AcquireTokens = [&H](const peer::AcquireTokensRequest &Request,
                                 const PeerReply<peer::AcquireTokensReply> &Reply) {
    Reply(handleAcquire(H, Request));
  };
  Service.m_GetConfig = [&H](const peer::GetConfigRequest &Request,
                             const PeerReply<peer::GetConfigReply> &Reply) {
    Reply(handleGetConfig(H, Request));
  };
  return Service;
}

std::string dumpState(const Host &H) {
  using nlohmann::json;
  json Dump = {
      {"host", H.m_Settings.m_Host},
      {"data_centre", H.m_Settings.m_DataCentre},
      {"incarnation", H.m_Incarnation},
      {"draining", H.m_Draining},
      {"uptime_s",
       std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - H.m_StartedAt).count()}};
  Dump["entry"] = json::parse(dumpEntry(H));
  Dump["dispatch"] = json::parse(dumpDispatch(H));
  Dump["monitor"] = json::parse(dumpMonitor(H));
  Dump["sync"] = json::parse(dumpSync(H));
  return Dump.dump(2);
}

void fillHost(RunningHost &Running, const Settings &S) {
  Host &H = Running.m_Host;
  std::weak_ptr<asio::io_context> Control = Running.m_Control;
  H.m_Settings = S;
  H.m_Run = [Control](std::function<void()> Work) {
    if (auto Io = Control.lock())
      asio::post(*Io, std::move(Work));
  };
  H.m_RunAfter = [Io = Running.m_Control.get()](Duration Delay, std::function<void()> Work) {
    auto Timer = std::make_shared<asio::steady_timer>(*Io, Delay);
    Timer->async_wait([Timer, Work = std::move(Work)](boost::system::error_code Failed) {
      if (!Failed)
        Work();
    });
  };
  H.m_Rng.seed((static_cast<uint64_t>(std::random_device{}()) << 32) ^ std::random_device{}());
  // Microseconds since the epoch: rises from one start of a host to the next.
  H.m_Incarnation = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
  H.m_StartedAt = Clock::now();
  H.m_Members.m_Self = S.m_Host;
  H.m_Members.m_DataCentre = S.m_DataCentre;
  HostView Self;
  Self.m_Id = S.m_Host;
  Self.m_DataCentre = S.m_DataCentre;
  Self.m_Address = fmt::format("{}:{}", S.m_Peers.m_Address, S.m_Peers.m_Port);
  Self.m_Incarnation = H.m_Incarnation;
  H.m_Members.m_Hosts[S.m_Host] = Self;
  H.m_Rate.m_Host = S.m_Host;
  H.m_Rate.m_DataCentre = S.m_DataCentre;
  H.m_Metrics = openMetrics();
  H.m_Entry = makeEntryState();
  H.m_Dispatch = makeDispatchState();
  H.m_Monitor = makeMonitorState();
  H.m_Sync = makeSyncState();
  H.m_Links = openPeerLinks(S.m_Peers, S.m_PeerSecret, H.m_Run);
  H.m_Platform = openPlatform(S.m_Platform, S.m_Host, S.m_Sync.m_PlatformTimeout, H.m_Run);
}

} // namespace

void inspectHost(RunningHost &Running, const std::function<void(Host &)> &Look) {
  std::promise<void> Looked;
  asio::post(*Running.m_Control, [&] {
    Look(Running.m_Host);
    Looked.set_value();
  });
  Looked.get_future().wait();
}

std::string dumpHost(RunningHost &Running) {
  std::string Text;
  inspectHost(Running, [&Text](const Host &H) { Text = dumpState(H); });
  return Text;
}

void drainHost(RunningHost &Running, std::function<void()> Done) {
  asio::post(*Running.m_Control, [&Running, Done = std::move(Done)]() mutable {
    if (Running.m_Phase != Phase::Serving)
      return;
    logLine(LogLevel::Info, "draining", {});
    Running.m_Host.m_Draining = true;
    Running.m_Drained = std::move(Done);
    beginDrain(*Running.m_Front, Running.m_Host.m_Settings.m_Drain.m_Notice);
    enterPhase(Running, Phase::Notice, Clock::now());
  });
}

void reloadHost(RunningHost &Running) {
  std::optional<std::string> Failed = reloadCertificates(*Running.m_Front);
  logLine(Failed ? LogLevel::Error : LogLevel::Info, "certificates_reloaded",
          {{"error", Failed.value_or("")}});
}

// The listeners go first, so that nothing new is posted; then the control thread.
RunningHost::~RunningHost() {
  m_Operators.reset();
  m_Admin.reset();
  m_Front.reset();
  m_Host.m_PeerServer.reset();
  m_Work.reset();
  m_Control->stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

std::variant<std::shared_ptr<RunningHost>, std::string> startHost(const Settings &S) {
  auto Running = std::make_shared<RunningHost>();
  fillHost(*Running, S);
  Host &H = Running->m_Host;

  auto Peers = startPeerServer(S.m_Peers, S.m_PeerSecret, H.m_Run, makePeerService(H));
  if (const auto *Failed = std::get_if<std::string>(&Peers))
    return *Failed;
  H.m_PeerServer = std::get<0>(Peers);

  auto Front = startHttpFront(H, S);
  if (const auto *Failed = std::get_if<std::string>(&Front))
    return *Failed;
  Running->m_Front = std::get<0>(Front);

  AdminFunctions Functions;
  Functions.m_Dump = [&H] { return dumpState(H); };
  Functions.m_Ready = [&H] { return !H.m_Draining && H.m_Config.m_Revision > 0; };
  auto Admin = startAdminFront(S.m_Metrics, H.m_Run, H.m_Metrics, Functions);
  if (const auto *Failed = std::get_if<std::string>(&Admin))
    return *Failed;
  Running->m_Admin = std::get<0>(Admin);

  auto Operators = startOperators(H, S);
  if (const auto *Failed = std::get_if<std::string>(&Operators))
    return *Failed;
  Running->m_Operators = std::get<0>(Operators);

  H.m_BeginDrain = [Running = Running.get()] { drainHost(*Running, [] {}); };
  asio::post(*Running->m_Control, [Running = Running.get()] {
    startSync(Running->m_Host);
    scheduleTick(*Running);
  });
  Running->m_Thread = std::thread([Running = Running.get()] { Running->m_Control->run(); });
  return Running;
}

int runServe(const Settings &S) {
  configureLog(S.m_Host, S.m_LogJson);
  asio::io_context Signals{1};
  asio::signal_set Set(Signals, SIGTERM, SIGINT, SIGHUP);
  Set.add(SIGUSR1);
  auto Started = startHost(S);
  if (const auto *Failed = std::get_if<std::string>(&Started)) {
    fmt::print(stderr, "quetzalpaddle: {}\n", *Failed);
    return 1;
  }
  auto Running = std::get<0>(Started);
  // An operator's order ends the process the same way as the signal.
  inspectHost(*Running, [](Host &H) { H.m_BeginDrain = [] { std::raise(SIGTERM); }; });
  logLine(LogLevel::Info, "started", {{"data_centre", S.m_DataCentre}});
  std::function<void()> Wait = [&] {
    Set.async_wait([&](boost::system::error_code Failed, int Signal) {
      if (Failed)
        return;
      if (Signal == SIGHUP)
        reloadHost(*Running);
      else if (Signal == SIGUSR1)
        fmt::print(stderr, "{}\n", dumpHost(*Running));
      else
        drainHost(*Running, [&Signals] { Signals.stop(); });
      Wait();
    });
  };
  Wait();
  Signals.run();
  return 0;
}

} // namespace quetzalpaddle
