// Settings, start, ticks and graceful shutdown of an entry host for the statement protocol.
#include "line_host.h"

#include "admin_front.h"
#include "platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iterator>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

// Deadlines, queues and links are looked at this often.
constexpr Millis TickInterval{20};
constexpr Millis IdleTickInterval{50}; // while nothing is queued or in progress
// Datagrams to the hubs, or from them to their leaves.
constexpr Millis GossipInterval{200};
// Hubs are chosen anew this often.
constexpr Millis HubInterval{100};
// Gauges on the metrics address are renewed this often; they are read every 5 s or so.
constexpr Millis GaugeInterval{2500};
// Between looks at connections to instances that others dispatch to.
constexpr Millis RetireInterval{500};
// The load balancer takes a host out after two failed probes, a second apart.
constexpr Millis DrainNotice{2200};
// Before the process is killed at the stop limit.
constexpr Millis ExitMargin{700};
// Part of the tolerance of rates that is used on purpose; the rest is for late reports.
constexpr double HeadroomPart = 0.6;
// Longest start without the other hosts' news before callers are accepted.
constexpr Millis StartGrace{300};

// --- Settings ---

using Json = nlohmann::json;

struct SettingsReader {
  const Json &m_Root;
  std::vector<std::string> m_Errors;
  std::set<std::string> m_Known; // fields read so far

  template <class Value> void read(const char *Name, Value &Target) {
    m_Known.insert(Name);
    if (!m_Root.contains(Name)) {
      m_Errors.push_back(fmt::format("{}: missing", Name));
      return;
    }
    try {
      Target = m_Root[Name].get<Value>();
    } catch (const Json::exception &Error) {
      m_Errors.push_back(fmt::format("{}: {}", Name, Error.what()));
    }
  }

  void readTime(const char *Name, double MillisPerUnit, Millis &Target) {
    double Value = 0;
    size_t Errors = m_Errors.size();
    read(Name, Value);
    if (m_Errors.size() == Errors)
      Target = Millis(static_cast<int64_t>(Value * MillisPerUnit));
    if (m_Errors.size() == Errors && Target <= Millis(0))
      m_Errors.push_back(fmt::format("{}: has to be more than 0", Name));
  }

  // A field that no setting has is most likely misspelt.
  void refuseUnknown() {
    for (const auto &[Name, Value] : m_Root.items())
      if (!m_Known.contains(Name))
        m_Errors.push_back(fmt::format("{}: no such setting", Name));
  }

  void readAddress(const char *Name, std::string &Target) {
    size_t Errors = m_Errors.size();
    read(Name, Target);
    if (m_Errors.size() == Errors && !parseEndpoint(Target))
      m_Errors.push_back(fmt::format("{}: '{}' is not IP:port", Name, Target));
  }
};

} // namespace

std::variant<EntrySettings, std::vector<std::string>> parseEntrySettings(const std::string &Text) {
  Json Root;
  try {
    Root = Json::parse(Text, nullptr, true, true);
  } catch (const Json::exception &Error) {
    return std::vector<std::string>{Error.what()};
  }
  if (!Root.is_object())
    return std::vector<std::string>{"not an object"};
  EntrySettings S;
  SettingsReader Reader{Root, {}, {}};
  Reader.read("host", S.m_Host);
  Reader.read("data_centre", S.m_DataCentre);
  Reader.readAddress("callers", S.m_Callers);
  Reader.readAddress("admin", S.m_Admin);
  Reader.read("peer_address", S.m_PeerAddress);
  std::vector<uint16_t> Ports;
  Reader.read("peer_ports", Ports);
  if (Ports.empty())
    Reader.m_Errors.emplace_back("peer_ports: needs a first port");
  else
    S.m_PeerPort = Ports.front();
  Reader.read("seeds", S.m_Seeds);
  Reader.readAddress("store", S.m_Store);
  Reader.readAddress("promotions", S.m_Promotions);
  Reader.readTime("stop_limit_s", 1000, S.m_StopLimit);
  Reader.readTime("leaving_limit_ms", 1, S.m_LeavingLimit);
  Reader.read("rate_tolerance", S.m_RateTolerance);
  if (S.m_RateTolerance < 0 || S.m_RateTolerance > 1)
    Reader.m_Errors.emplace_back("rate_tolerance: has to be from 0 to 1");
  Reader.read("cores", S.m_Cores);
  if (S.m_Cores <= 0)
    Reader.m_Errors.emplace_back("cores: has to be more than 0");
  Reader.refuseUnknown();
  if (!Reader.m_Errors.empty())
    return Reader.m_Errors;
  return S;
}

std::optional<EntrySettings> readEntrySettings(const std::string &File) {
  std::ifstream Stream(File);
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  if (Text.empty()) {
    fmt::print(stderr, "{}: cannot be read\n", File);
    return std::nullopt;
  }
  auto Parsed = parseEntrySettings(Text);
  if (auto *S = std::get_if<EntrySettings>(&Parsed))
    return *S;
  for (const std::string &Error : std::get<std::vector<std::string>>(Parsed))
    fmt::print(stderr, "{}: {}\n", File, Error);
  return std::nullopt;
}

namespace {

// --- State dump and gauges ---

void publishGauges(LineHost &Host, TimePoint Now) {
  auto Seconds = [&](TimePoint At) {
    return At == TimePoint{} ? -1 : std::chrono::duration<double>(Now - At).count();
  };
  Metrics &M = *Host.m_Metrics;
  setGauge(M, "sessions", "", static_cast<double>(Host.m_Sessions));
  setGauge(M, "config_version", "",
           Host.m_Config ? static_cast<double>(Host.m_Config->m_Version) : 0);
  setGauge(M, "config_age_seconds", "", Seconds(Host.m_Config ? Host.m_ConfigAt : TimePoint{}));
  setGauge(M, "store_answer_age_seconds", "", Seconds(Host.m_Store.m_AnsweredAt));
  for (const auto &[Name, Group] : Host.m_Groups) {
    auto Newest = newestProof(Group.m_History);
    setGauge(M, "proof_age_seconds", Name, Seconds(Newest ? Newest->m_At : TimePoint{}));
  }
  for (const auto &[Id, D] : Host.m_Dispatches) {
    setGauge(M, "instance_connections", Id, D.m_Open);
    setGauge(M, "instance_queue", Id, D.m_Queue.m_QueuedCount);
  }
  for (const auto &[Name, T] : Host.m_Takeovers)
    setGauge(M, "promotion_token", Name, static_cast<double>(T.m_Duty.m_Token));
}

std::string dumpState(const LineHost &Host) {
  TimePoint Now = bootNow();
  auto Age = [&](TimePoint At) { return std::chrono::duration_cast<Millis>(Now - At).count(); };
  Json Dump = {{"host", Host.m_Settings.m_Host},
               {"draining", Host.m_Draining},
               {"sessions", Host.m_Sessions},
               {"config_version", Host.m_Config ? Host.m_Config->m_Version : 0},
               {"config_age_ms", Host.m_Config ? Age(Host.m_ConfigAt) : -1},
               {"store_reachable", Host.m_Store.m_Reachable}};
  for (const auto &[Name, Group] : Host.m_Groups) {
    Json &Told = Dump["groups"][Name];
    auto Newest = newestProof(Group.m_History);
    Told = {{"primary", Group.m_Primary},
            {"generation", Group.m_Generation},
            {"proof_age_ms", Newest ? Age(Newest->m_At) : -1}};
    for (const auto &[Id, I] : Group.m_Instances)
      Told["instances"][Id] = {{"address", I.m_Address},
                               {"listed", I.m_Listed},
                               {"leaving", I.m_Leaving},
                               {"outstanding", I.m_Outstanding}};
  }
  for (const auto &[Id, View] : Host.m_Members.m_Hosts)
    Dump["hosts"][Id] = {{"address", View.m_Address}, {"heard_ms", Age(View.m_LastSeenAt)}};
  for (const auto &[Id, D] : Host.m_Dispatches)
    Dump["dispatches"][Id] = {{"open", D.m_Open},
                              {"idle", D.m_Idle.size()},
                              {"queued", D.m_Queue.m_QueuedCount},
                              {"running", D.m_Queue.m_RunningCount},
                              {"unreachable", D.m_Unreachable}};
  for (const auto &[Name, T] : Host.m_Takeovers)
    Dump["takeovers"][Name] = {{"token", T.m_Duty.m_Token}, {"why", T.m_Why}};
  for (const auto &[Name, Use] : Host.m_Usage.m_Customers)
    Dump["customers"][Name] = {{"level", Use.m_Level}, {"admitted", Use.m_Admitted}};
  return Dump.dump();
}

// --- Life cycle ---

bool isReady(const LineHost &Host) {
  return Host.m_Config && !Host.m_Draining && Host.m_Store.m_InstancesRevision != 0 &&
         bootNow() - Host.m_StartedAt > StartGrace;
}

void refreshHubs(LineHost &Host, TimePoint Now) {
  std::map<std::string, size_t> Instances;
  for (const auto &[Name, Group] : Host.m_Groups)
    for (const auto &[Id, I] : Group.m_Instances)
      Instances[I.m_DataCentre] += I.m_Listed ? 1 : 0;
  HubRoles Next =
      assignHubs(Host.m_Members, Instances, Now, Host.m_MembershipSettings, Host.m_HubSettings);
  const HubRoles &Last = Host.m_Roles;
  if (Next.m_IsHub != Last.m_IsHub || Next.m_Isolated != Last.m_Isolated ||
      Next.m_Home != Last.m_Home)
    logLine(LogLevel::Info, "hub_duty",
            {{"hub", Next.m_IsHub ? "yes" : "no"},
             {"isolated", Next.m_Isolated ? "yes" : "no"},
             {"home", Next.m_Home},
             {"hubs", std::to_string(Next.m_Hubs.size())}});
  Host.m_Roles = std::move(Next);
}

// Work that needs to be looked at soon.
bool hasQueues(const LineHost &Host) {
  return std::ranges::any_of(Host.m_Dispatches, [](const auto &Entry) {
    return Entry.second.m_Queue.m_QueuedCount > 0 || !Entry.second.m_Running.empty();
  });
}

// Whether an interval has passed since Last, which then is Now.
bool isDue(TimePoint &Last, Millis Interval, TimePoint Now) {
  if (Now - Last < Interval)
    return false;
  Last = Now;
  return true;
}

Awaitable<void> runTicks(LineHost &Host) {
  asio::steady_timer Timer(Host.m_Io);
  TimePoint GossipedAt{};
  TimePoint HubsAt{};
  TimePoint RetiredAt{};
  TimePoint GaugesAt{};
  for (;;) {
    Timer.expires_after(hasQueues(Host) ? TickInterval : IdleTickInterval);
    co_await Timer.async_wait(AsTuple);
    TimePoint Now = bootNow();
    runDeadlines(Host.m_Watchdog, Now);
    tickDispatches(Host, Now);
    if (isDue(HubsAt, HubInterval, Now))
      refreshHubs(Host, Now);
    if (isDue(RetiredAt, RetireInterval, Now))
      retireDispatches(Host, Now);
    if (isDue(GaugesAt, GaugeInterval, Now))
      publishGauges(Host, Now);
    if (isDue(GossipedAt, GossipInterval, Now)) {
      closeSilentLinks(Host, Now);
      sendGossip(Host, Now);
    }
  }
}

// Reports draining, waits until the load balancer sends no new callers, closes idle sessions, waits
// for what is in progress, and stops.
Awaitable<void> drain(LineHost &Host) {
  Host.m_Draining = true;
  Host.m_DrainingSince = bootNow();
  TimePoint Until = Host.m_DrainingSince + Host.m_Settings.m_StopLimit - ExitMargin;
  logLine(LogLevel::Info, "stop_begun", {{"sessions", std::to_string(Host.m_Sessions)}});
  sendGossip(Host, bootNow());
  co_await sleepFor(Host.m_Io, DrainNotice);
  Host.m_Stopping = true;
  auto InProgress = [&] {
    return Host.m_Sessions > 0 || !Host.m_Transactions.empty() ||
           std::ranges::any_of(Host.m_Dispatches, [](const auto &Entry) {
             return Entry.second.m_Queue.m_RunningCount > 0;
           });
  };
  while (bootNow() < Until && InProgress())
    co_await sleepFor(Host.m_Io, TickInterval);
  logLine(LogLevel::Info, "stopped", {{"sessions", std::to_string(Host.m_Sessions)}});
  Host.m_Io.stop();
}

Awaitable<void> handleSignals(LineHost &Host, std::string File) {
  asio::signal_set Signals(Host.m_Io, SIGTERM, SIGINT, SIGHUP);
  for (;;) {
    auto [Error, Number] = co_await Signals.async_wait(AsTuple);
    if (Error)
      co_return;
    if (Number != SIGHUP) {
      if (!Host.m_Draining)
        asio::co_spawn(Host.m_Io, drain(Host), asio::detached);
      continue;
    }
    auto Next = readEntrySettings(File);
    logLine(LogLevel::Info, "settings_reloaded", {{"valid", Next ? "yes" : "no"}});
    if (Next) { // addresses stay those of the start
      Host.m_Settings.m_StopLimit = Next->m_StopLimit;
      Host.m_Settings.m_Seeds = Next->m_Seeds;
    }
  }
}

void addSelf(LineHost &Host) {
  Host.m_Members.m_Self = Host.m_Settings.m_Host;
  Host.m_Members.m_DataCentre = Host.m_Settings.m_DataCentre;
  HostView &Self = Host.m_Members.m_Hosts[Host.m_Settings.m_Host];
  Self.m_Id = Host.m_Settings.m_Host;
  Self.m_DataCentre = Host.m_Settings.m_DataCentre;
  Self.m_Address = fmt::format("{}:{}", Host.m_Settings.m_PeerAddress, Host.m_Settings.m_PeerPort);
  Self.m_Incarnation = Host.m_Incarnation;
  Self.m_Weight = Host.m_Settings.m_Cores;
}

} // namespace

int runEntry(const std::string &SettingsFile) {
  auto Settings = readEntrySettings(SettingsFile);
  if (!Settings)
    return 1;
  signal(SIGPIPE, SIG_IGN);
  configureLog(Settings->m_Host, false, stdout);
  asio::io_context Io(1);
  LineHost Host(Io, *Settings);
  Host.m_Incarnation = std::chrono::duration_cast<std::chrono::microseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  Host.m_Random.seed(Host.m_Incarnation ^ std::hash<std::string>{}(Settings->m_Host));
  addSelf(Host);
  // Some of each share lies idle where no request comes; part of the tolerance makes up for it.
  Host.m_Usage.m_Headroom = Settings->m_RateTolerance * HeadroomPart;
  Host.m_StoreClient = platform::openStoreClient(Io, Settings->m_Store, Settings->m_Promotions);
  auto PeerEndpoint = parseEndpoint(Host.m_Members.m_Hosts[Settings->m_Host].m_Address);
  auto AdminEndpoint = parseEndpoint(Settings->m_Admin);
  if (!PeerEndpoint || !AdminEndpoint) {
    fmt::print(stderr, "{}: peer_address or admin is not an address\n", SettingsFile);
    return 1;
  }
  Host.m_Datagrams = std::make_shared<Udp::socket>(
      Io, Udp::endpoint(PeerEndpoint->address(), PeerEndpoint->port()));
  Host.m_Datagrams->non_blocking(true);
  ListenSettings Admin;
  Admin.m_Address = AdminEndpoint->address().to_string();
  Admin.m_Port = AdminEndpoint->port();
  Admin.m_PlainText = true;
  AdminFunctions Functions;
  Functions.m_Ready = [&Host] { return isReady(Host); };
  Functions.m_Dump = [&Host] { return dumpState(Host); };
  auto Front = startAdminFront(
      Admin, [&Io](std::function<void()> Run) { asio::post(Io, std::move(Run)); }, Host.m_Metrics,
      std::move(Functions));
  if (auto *Wrong = std::get_if<std::string>(&Front)) {
    fmt::print(stderr, "admin: {}\n", *Wrong);
    return 1;
  }
  logLine(LogLevel::Info, "started",
          {{"dc", Settings->m_DataCentre},
           {"callers", Settings->m_Callers},
           {"incarnation", std::to_string(Host.m_Incarnation)}});
  auto Start = [&Io](Awaitable<void> Task) {
    asio::co_spawn(Io, std::move(Task), [](const std::exception_ptr &Failure) {
      if (Failure)
        std::rethrow_exception(Failure);
    });
  };
  Start(acceptCallers(Host));
  Start(acceptPeers(Host));
  Start(receiveGossip(Host));
  Start(syncConfig(Host));
  Start(syncInstances(Host));
  Start(registerHost(Host));
  Start(watchPrimaries(Host));
  Start(runTicks(Host));
  Start(handleSignals(Host, SettingsFile));
  Io.run();
  std::_Exit(0); // suspended coroutines hold references to the host: nothing is destroyed
}

} // namespace quetzalpaddle
