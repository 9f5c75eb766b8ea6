// Threads and life cycle of a host. A graceful shutdown has these phases: report draining, so
// that readiness is false and other hosts stop sending requests; after the notice, close idle
// connections and accept no new ones; wait until no request is in progress and no connection is
// open, or the drain limit has passed; release the rate slots; stop.
#include "serve.h"

#include "admin_front.h"
#include "host.h"
#include "http_front.h"
#include "operator.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/core.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

constexpr int LargeBufferBytes = 128 * 1024; // default of glibc
// The threads of gRPC receive answers in pieces below LargeBufferBytes. Each arena keeps what its
// threads have freed.
constexpr int MaxArenas = 4;
constexpr Millis TickInterval{10};
constexpr std::chrono::seconds GaugeInterval{1};

enum class Phase { Serving, Notice, Finishing, Releasing, Stopped };

} // namespace

struct RunningHost {
  // Shared so that calls that end after the host find it expired and drop their result.
  std::shared_ptr<asio::io_context> m_ControlIo = std::make_shared<asio::io_context>(1);
  asio::executor_work_guard<asio::io_context::executor_type> m_ControlWorkGuard{
      m_ControlIo->get_executor()};
  asio::steady_timer m_TickTimer{*m_ControlIo};
  Host m_Host;
  std::shared_ptr<HttpFront> m_Front;
  std::shared_ptr<AdminFront> m_Admin;
  std::shared_ptr<OperatorServer> m_Operators;
  Phase m_Phase = Phase::Serving;
  TimePoint m_PhaseStartedAt{};
  std::vector<std::function<void()>> m_OnDrained; // one for each call of drainHost()
  TimePoint m_GaugesUpdatedAt{};
  std::thread m_ControlThread;

  RunningHost() = default;
  RunningHost(const RunningHost &) = delete;
  RunningHost &operator=(const RunningHost &) = delete;
  ~RunningHost();
};

namespace {

void enterPhase(RunningHost &Runtime, Phase Next, TimePoint Now) {
  Runtime.m_Phase = Next;
  Runtime.m_PhaseStartedAt = Now;
}

void tickDrain(RunningHost &Runtime, TimePoint Now) {
  Host &ThisHost = Runtime.m_Host;
  Duration PhaseAge = Now - Runtime.m_PhaseStartedAt;
  switch (Runtime.m_Phase) {
  case Phase::Serving:
  case Phase::Releasing:
  case Phase::Stopped:
    return;
  case Phase::Notice:
    if (PhaseAge < ThisHost.m_Settings.m_Drain.m_NoticeDuration)
      return;
    enterPhase(Runtime, Phase::Finishing, Now);
    return;
  case Phase::Finishing: {
    bool IsIdle = countInProgress(ThisHost) == 0 && countUnanswered(ThisHost) == 0 &&
                  countOpenConnections(*Runtime.m_Front) == 0;
    if (!IsIdle && PhaseAge < ThisHost.m_Settings.m_Drain.m_DrainTimeout)
      return;
    enterPhase(Runtime, Phase::Releasing, Now);
    releaseSlots(ThisHost, [&Runtime] {
      enterPhase(Runtime, Phase::Stopped, Clock::now());
      logLine(LogLevel::Info, "drained", {});
      for (const auto &Callback : std::exchange(Runtime.m_OnDrained, {}))
        Callback();
    });
    return;
  }
  }
}

void updateGauges(const Host &ThisHost) {
  Metrics &Counters = *ThisHost.m_Metrics;
  setGauge(Counters, "config_revision", "", static_cast<double>(ThisHost.m_Config.m_Revision));
  setGauge(Counters, "requests_in_progress", "", countInProgress(ThisHost));
  setGauge(Counters, "rate_lease_valid", "", ThisHost.m_Rate.m_IsLeaseValid ? 1 : 0);
  for (const auto &[Name, View] : ThisHost.m_Views) {
    setGauge(Counters, "group_term", Name, static_cast<double>(View.m_Term));
    setGauge(Counters, "group_has_primary", Name, View.m_Primary.empty() ? 0 : 1);
    auto Primary = View.m_Instances.find(View.m_Primary);
    if (Primary == View.m_Instances.end())
      continue;
    uint64_t End = Primary->second.m_AppliedPosition.m_Index;
    for (const auto &[Id, I] : View.m_Instances)
      setGauge(Counters, "replica_lag_entries", Id,
               End > I.m_AppliedPosition.m_Index
                   ? static_cast<double>(End - I.m_AppliedPosition.m_Index)
                   : 0);
  }
}

void tickGauges(RunningHost &Runtime, TimePoint Now) {
  if (Now - Runtime.m_GaugesUpdatedAt < GaugeInterval)
    return;
  Runtime.m_GaugesUpdatedAt = Now;
  updateGauges(Runtime.m_Host);
  setGauge(*Runtime.m_Host.m_Metrics, "http_buffered_bytes", "",
           static_cast<double>(countBufferedBytes(*Runtime.m_Front)));
}

void scheduleTick(RunningHost &Runtime) {
  Runtime.m_TickTimer.expires_after(TickInterval);
  Runtime.m_TickTimer.async_wait([&Runtime](boost::system::error_code Failure) {
    if (Failure)
      return;
    TimePoint Now = Clock::now();
    tickSync(Runtime.m_Host, Now);
    tickMonitor(Runtime.m_Host, Now);
    tickDispatch(Runtime.m_Host, Now);
    tickDrain(Runtime, Now);
    tickGauges(Runtime, Now);
    scheduleTick(Runtime);
  });
}

PeerService makePeerService(Host &ThisHost) {
  PeerService Service;
  Service.m_Exchange = [&ThisHost](const peer::ExchangeRequest &Request,
                                   const PeerReplyCallback<peer::ExchangeReply> &Reply) {
    Reply(handleExchange(ThisHost, Request));
  };
  Service.m_Forward = [&ThisHost](const peer::ForwardRequest &Request,
                                  PeerReplyCallback<peer::ForwardReply> Reply) {
    dispatchRequest(ThisHost, Request, std::move(Reply));
  };
  Service.m_AcquireTokens = [&ThisHost](const peer::AcquireTokensRequest &Request,
                                        const PeerReplyCallback<peer::AcquireTokensReply> &Reply) {
    Reply(handleAcquire(ThisHost, Request));
  };
  Service.m_GetConfig = [&ThisHost](const peer::GetConfigRequest &Request,
                                    const PeerReplyCallback<peer::GetConfigReply> &Reply) {
    Reply(handleGetConfig(ThisHost, Request));
  };
  return Service;
}

std::string dumpState(const Host &ThisHost) {
  using nlohmann::json;
  json Dump = {{"host", ThisHost.m_Settings.m_HostId},
               {"data_centre", ThisHost.m_Settings.m_DataCentre},
               {"incarnation", ThisHost.m_Incarnation},
               {"draining", ThisHost.m_IsDraining},
               {"uptime_s", std::chrono::duration_cast<std::chrono::seconds>(Clock::now() -
                                                                             ThisHost.m_StartedAt)
                                .count()}};
  Dump["entry"] = json::parse(dumpEntry(ThisHost));
  Dump["dispatch"] = json::parse(dumpDispatch(ThisHost));
  Dump["monitor"] = json::parse(dumpMonitor(ThisHost));
  Dump["sync"] = json::parse(dumpSync(ThisHost));
  return Dump.dump(2);
}

void initHost(RunningHost &Runtime, const Settings &HostSettings) {
  Host &ThisHost = Runtime.m_Host;
  std::weak_ptr<asio::io_context> Control = Runtime.m_ControlIo;
  ThisHost.m_Settings = HostSettings;
  ThisHost.m_Run = [Control](std::function<void()> Work) {
    if (auto Io = Control.lock())
      asio::post(*Io, std::move(Work));
  };
  ThisHost.m_RunAfter = [Io = Runtime.m_ControlIo.get()](Duration Delay,
                                                         std::function<void()> Work) {
    auto Timer = std::make_shared<asio::steady_timer>(*Io, Delay);
    Timer->async_wait([Timer, Work = std::move(Work)](boost::system::error_code Failure) {
      if (!Failure)
        Work();
    });
  };
  ThisHost.m_Rng.seed((static_cast<uint64_t>(std::random_device{}()) << 32) ^
                      std::random_device{}());
  // Microseconds since the epoch, so that it increases from one start of the host to the next.
  ThisHost.m_Incarnation =
      static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count());
  ThisHost.m_StartedAt = Clock::now();
  ThisHost.m_Members.m_Self = HostSettings.m_HostId;
  ThisHost.m_Members.m_DataCentre = HostSettings.m_DataCentre;
  HostView Self;
  Self.m_Id = HostSettings.m_HostId;
  Self.m_DataCentre = HostSettings.m_DataCentre;
  Self.m_Address =
      fmt::format("{}:{}", HostSettings.m_Peers.m_Address, HostSettings.m_Peers.m_Port);
  Self.m_Incarnation = ThisHost.m_Incarnation;
  ThisHost.m_Members.m_Hosts[HostSettings.m_HostId] = Self;
  ThisHost.m_Rate.m_Host = HostSettings.m_HostId;
  ThisHost.m_Rate.m_DataCentre = HostSettings.m_DataCentre;
  ThisHost.m_Metrics = openMetrics();
  ThisHost.m_Entry = makeEntryState();
  ThisHost.m_Dispatch = makeDispatchState();
  ThisHost.m_Monitor = makeMonitorState();
  ThisHost.m_Sync = makeSyncState();
  ThisHost.m_PeerLinks =
      openPeerLinks(HostSettings.m_Peers, HostSettings.m_PeerSecret, ThisHost.m_Run);
  ThisHost.m_Platform = openPlatform(HostSettings.m_PlatformAddresses, HostSettings.m_HostId,
                                     HostSettings.m_Sync.m_PlatformTimeout, ThisHost.m_Run);
}

} // namespace

void runOnControlThread(RunningHost &Runtime, const std::function<void(Host &)> &Function) {
  std::promise<void> Completion;
  asio::post(*Runtime.m_ControlIo, [&] {
    Function(Runtime.m_Host);
    Completion.set_value();
  });
  Completion.get_future().wait();
}

std::string dumpHost(RunningHost &Runtime) {
  std::string Text;
  runOnControlThread(Runtime, [&Text](const Host &ThisHost) { Text = dumpState(ThisHost); });
  return Text;
}

void drainHost(RunningHost &Runtime, std::function<void()> Callback) {
  // Runs at once on the control thread, so that an operator whose drain was accepted sees a host
  // that is draining.
  asio::dispatch(*Runtime.m_ControlIo, [&Runtime, Callback = std::move(Callback)]() mutable {
    if (Runtime.m_Phase == Phase::Stopped) {
      Callback();
      return;
    }
    Runtime.m_OnDrained.push_back(std::move(Callback));
    if (Runtime.m_Phase != Phase::Serving)
      return;
    logLine(LogLevel::Info, "draining", {});
    Runtime.m_Host.m_IsDraining = true;
    beginDrain(*Runtime.m_Front, Runtime.m_Host.m_Settings.m_Drain.m_NoticeDuration);
    enterPhase(Runtime, Phase::Notice, Clock::now());
  });
}

void reloadHostCertificates(RunningHost &Runtime) {
  std::optional<std::string> Failure = reloadCertificates(*Runtime.m_Front);
  logLine(Failure ? LogLevel::Error : LogLevel::Info, "certificates_reloaded",
          {{"error", Failure.value_or("")}});
}

// Stops the control thread first: its ticks use the listeners. Work that these still post is
// dropped with the io_context, and none of them waits for the control thread.
RunningHost::~RunningHost() {
  m_ControlWorkGuard.reset();
  m_ControlIo->stop();
  if (m_ControlThread.joinable())
    m_ControlThread.join();
  m_Operators.reset();
  m_Admin.reset();
  m_Front.reset();
  m_Host.m_PeerServer.reset();
}

std::variant<std::shared_ptr<RunningHost>, std::string> startHost(const Settings &HostSettings) {
  auto Runtime = std::make_shared<RunningHost>();
  initHost(*Runtime, HostSettings);
  Host &ThisHost = Runtime->m_Host;

  auto Peers = startPeerServer(HostSettings.m_Peers, HostSettings.m_PeerSecret, ThisHost.m_Run,
                               makePeerService(ThisHost));
  if (const auto *Failure = std::get_if<std::string>(&Peers))
    return *Failure;
  ThisHost.m_PeerServer = std::get<0>(Peers);

  auto Front = startHttpFront(ThisHost, HostSettings);
  if (const auto *Failure = std::get_if<std::string>(&Front))
    return *Failure;
  Runtime->m_Front = std::get<0>(Front);

  AdminCallbacks Functions;
  Functions.m_Dump = [&ThisHost] { return dumpState(ThisHost); };
  Functions.m_IsReady = [&ThisHost] {
    return !ThisHost.m_IsDraining && ThisHost.m_Config.m_Revision > 0;
  };
  auto Admin =
      startAdminFront(HostSettings.m_MetricsListen, ThisHost.m_Run, ThisHost.m_Metrics, Functions);
  if (const auto *Failure = std::get_if<std::string>(&Admin))
    return *Failure;
  Runtime->m_Admin = std::get<0>(Admin);

  auto Operators = startOperatorService(ThisHost, HostSettings);
  if (const auto *Failure = std::get_if<std::string>(&Operators))
    return *Failure;
  Runtime->m_Operators = std::get<0>(Operators);

  ThisHost.m_BeginDrain = [Runtime = Runtime.get()] { drainHost(*Runtime, [] {}); };
  asio::post(*Runtime->m_ControlIo, [Runtime = Runtime.get()] {
    startSync(Runtime->m_Host);
    scheduleTick(*Runtime);
  });
  Runtime->m_ControlThread =
      std::thread([Runtime = Runtime.get()] { Runtime->m_ControlIo->run(); });
  return Runtime;
}

int runServe(const Settings &HostSettings) {
  // Without a fixed value, glibc raises the threshold to the largest buffer that was freed. Buffers
  // below it then leave holes in the heaps, and the memory of a crowd stays with the process.
  mallopt(M_MMAP_THRESHOLD, LargeBufferBytes);
  mallopt(M_ARENA_MAX, MaxArenas);
  configureLog(HostSettings.m_HostId, HostSettings.m_IsLogJson);
  asio::io_context SignalIo{1};
  asio::signal_set SignalSet(SignalIo, SIGTERM, SIGINT, SIGHUP);
  SignalSet.add(SIGUSR1);
  auto Started = startHost(HostSettings);
  if (const auto *Failure = std::get_if<std::string>(&Started)) {
    fmt::print(stderr, "quetzalpaddle: {}\n", *Failure);
    return 1;
  }
  auto Runtime = std::get<0>(Started);
  // A shutdown ordered by an operator ends the process in the same way as SIGTERM.
  runOnControlThread(*Runtime,
                     [](Host &ThisHost) { ThisHost.m_BeginDrain = [] { std::raise(SIGTERM); }; });
  logLine(LogLevel::Info, "started", {{"data_centre", HostSettings.m_DataCentre}});
  std::function<void()> WaitForSignal = [&] {
    SignalSet.async_wait([&](boost::system::error_code Failure, int Signal) {
      if (Failure)
        return;
      if (Signal == SIGHUP)
        reloadHostCertificates(*Runtime);
      else if (Signal == SIGUSR1)
        fmt::print(stderr, "{}\n", dumpHost(*Runtime));
      else
        drainHost(*Runtime, [&SignalIo] { SignalIo.stop(); });
      WaitForSignal();
    });
  };
  WaitForSignal();
  SignalIo.run();
  return 0;
}

} // namespace quetzalpaddle
