// Settings, startup, periodic work, state dump and graceful shutdown of an entry host for the line
// protocol.
#include "line_host.h"

#include "admin_front.h"
#include "line_budget.h"
#include "line_where.h"
#include "platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <csignal>
#include <fstream>
#include <iterator>

namespace quetzalpaddle {

namespace asio = boost::asio;

namespace {

// Interval of checks of deadlines and queues.
constexpr Millis TickInterval{20};
constexpr Millis IdleTickInterval{50}; // while no statement is queued or in progress
// Interval of updates to the hubs, and from them to their leaves.
constexpr Millis GossipInterval{200};
// Interval of the selection of hubs.
constexpr Millis HubSelectionInterval{100};
// Interval of updates to the gauges, which are scraped about every 5 s.
constexpr Millis GaugeInterval{2500};
// Interval of checks of the byte budget, in addition to those when it is exceeded.
constexpr Millis BudgetInterval{200};
// Interval of the check for idle connections to instances that other hosts dispatch to.
constexpr Millis RetireInterval{500};
// Fraction of the tolerance and slack of rates that is used as headroom; the rest covers late
// reports. Of a small customer's few tokens, some are out of reach at hosts without its requests.
constexpr double HeadroomShare = 0.3;
// After its start the host is not reported ready for this long, so that updates from other hosts
// can arrive first.
constexpr Millis StartupGracePeriod{300};
// Delay before a task that failed with an unexpected error starts again.
constexpr Millis TaskRestartDelay{100};

// Below these, a host could not serve callers at all. A message of the largest size needs more:
// about 64 MB of memory.
constexpr uint64_t MinMemoryMb = 32;
constexpr uint64_t MinDescriptors = 100;

// --- Settings ---

using Json = nlohmann::json;

// Upper bound of optional numbers, a day in milliseconds.
constexpr double MaxOptional = 86400000;

struct SettingsReader {
  const Json &m_Root;
  std::vector<std::string> m_Errors;
  std::set<std::string> m_KnownFields; // fields read so far

  template <class Value> void read(const char *Name, Value &Target) {
    m_KnownFields.insert(Name);
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

  // Reads a setting that may be absent, a whole number that is at least Least.
  void readOptionalCount(const char *Name, uint64_t Least, uint64_t &Target) {
    m_KnownFields.insert(Name);
    if (!m_Root.contains(Name))
      return;
    const Json &Value = m_Root[Name];
    double Number = Value.is_number() ? Value.get<double>() : -1; // 112.0 is a whole number, too
    if (Number >= static_cast<double>(Least) && Number == std::floor(Number) && Number < 1e15)
      Target = static_cast<uint64_t>(Number);
    else
      m_Errors.push_back(fmt::format("{}: must be a whole number of at least {}", Name, Least));
  }

  // Reads a number that may be missing.
  void readOptional(const char *Name, double Min, double &Target) {
    m_KnownFields.insert(Name);
    if (!m_Root.contains(Name))
      return;
    size_t ErrorCount = m_Errors.size();
    read(Name, Target);
    bool IsInRange = Target >= Min && Target <= MaxOptional;
    if (m_Errors.size() == ErrorCount && !IsInRange)
      m_Errors.push_back(fmt::format("{}: must be between {} and {}", Name, Min, MaxOptional));
  }

  void readTime(const char *Name, double MillisPerUnit, Millis &Target) {
    double Value = 0;
    size_t ErrorCount = m_Errors.size();
    read(Name, Value);
    if (m_Errors.size() == ErrorCount)
      Target = Millis(static_cast<int64_t>(Value * MillisPerUnit));
    if (m_Errors.size() == ErrorCount && Target <= Millis(0))
      m_Errors.push_back(fmt::format("{}: must be greater than 0", Name));
  }

  // Reads a name. It is sent to the platform in a header, which a control character could end.
  void readName(const char *Name, std::string &Target) {
    size_t ErrorCount = m_Errors.size();
    read(Name, Target);
    bool IsUsable = !Target.empty() && std::ranges::all_of(Target, [](unsigned char Byte) {
      return Byte >= ' ' && Byte != 0x7f;
    });
    if (m_Errors.size() == ErrorCount && !IsUsable)
      m_Errors.push_back(fmt::format("{}: is empty or contains a control character", Name));
  }

  // An unknown field is most likely misspelt.
  void rejectUnknownFields() {
    for (const auto &[Name, Value] : m_Root.items())
      if (!m_KnownFields.contains(Name))
        m_Errors.push_back(fmt::format("{}: no such setting", Name));
  }

  void readAddress(const char *Name, std::string &Target) {
    size_t ErrorCount = m_Errors.size();
    read(Name, Target);
    if (m_Errors.size() == ErrorCount && !parseEndpoint(Target))
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
    return std::vector<std::string>{"the settings are not a JSON object"};
  EntrySettings Settings;
  SettingsReader Reader{Root, {}, {}};
  Reader.readName("host", Settings.m_Host);
  Reader.readName("data_centre", Settings.m_DataCentre);
  Reader.readAddress("callers", Settings.m_CallerAddress);
  Reader.readAddress("admin", Settings.m_AdminAddress);
  Reader.read("peer_address", Settings.m_PeerAddress);
  std::vector<uint16_t> Ports;
  Reader.read("peer_ports", Ports);
  if (Ports.empty())
    Reader.m_Errors.emplace_back("peer_ports: must contain at least one port");
  else
    Settings.m_PeerPort = Ports.front();
  Reader.read("seeds", Settings.m_SeedAddresses);
  Reader.readAddress("store", Settings.m_StoreAddress);
  Reader.readAddress("promotions", Settings.m_PromotionAddress);
  Reader.readTime("stop_limit_s", 1000, Settings.m_StopTimeout);
  Reader.readTime("leaving_limit_ms", 1, Settings.m_LeavingTimeout);
  Reader.read("rate_tolerance", Settings.m_RateTolerance);
  if (Settings.m_RateTolerance < 0 || Settings.m_RateTolerance > 1)
    Reader.m_Errors.emplace_back("rate_tolerance: must be between 0 and 1");
  Reader.read("cores", Settings.m_Cores);
  if (Settings.m_Cores <= 0)
    Reader.m_Errors.emplace_back("cores: must be greater than 0");
  Reader.readOptionalCount("memory_mb", MinMemoryMb, Settings.m_MemoryMb);
  Reader.readOptionalCount("max_descriptors", MinDescriptors, Settings.m_MaxDescriptors);
  double EvacuationMillis = 0;
  Reader.readOptional("evacuation_limit_ms", 0, EvacuationMillis);
  Settings.m_Evacuation.m_Timeout = Millis(static_cast<int64_t>(EvacuationMillis));
  Reader.readOptional("rate_slack", 0, Settings.m_RateSlack);
  Reader.readOptional("cold_excess", 1, Settings.m_Cold.m_Excess);
  Reader.readOptional("cold_slack", 0, Settings.m_Cold.m_Slack);
  Reader.rejectUnknownFields();
  if (!Reader.m_Errors.empty())
    return Reader.m_Errors;
  return Settings;
}

std::optional<EntrySettings> readEntrySettings(const std::string &File) {
  std::ifstream Stream(File);
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  if (Text.empty()) {
    fmt::print(stderr, "{}: the file cannot be read or is empty\n", File);
    return std::nullopt;
  }
  auto ParseResult = parseEntrySettings(Text);
  if (auto *Settings = std::get_if<EntrySettings>(&ParseResult))
    return *Settings;
  for (const std::string &Error : std::get<std::vector<std::string>>(ParseResult))
    fmt::print(stderr, "{}: {}\n", File, Error);
  return std::nullopt;
}

namespace {

// --- State dump and gauges ---

void publishGauges(LineHost &Host, TimePoint Now) {
  auto Seconds = [&](TimePoint At) {
    return At == TimePoint{} ? -1 : std::chrono::duration<double>(Now - At).count();
  };
  Metrics &HostMetrics = *Host.m_Metrics;
  setGauge(HostMetrics, "sessions", "", static_cast<double>(Host.m_SessionCount));
  setGauge(HostMetrics, "config_version", "",
           Host.m_Config ? static_cast<double>(Host.m_Config->m_Version) : 0);
  setGauge(HostMetrics, "config_age_seconds", "",
           Seconds(Host.m_Config ? Host.m_ConfigAppliedAt : TimePoint{}));
  setGauge(HostMetrics, "store_answer_age_seconds", "", Seconds(Host.m_Store.m_LastAnswerAt));
  for (const auto &[Name, Group] : Host.m_Groups) {
    auto NewestConfirmation = newestConfirmedPosition(Group.m_History);
    setGauge(HostMetrics, "proof_age_seconds", Name,
             Seconds(NewestConfirmation ? NewestConfirmation->m_SentAt : TimePoint{}));
  }
  for (const auto &[Id, Dispatch] : Host.m_Dispatches) {
    setGauge(HostMetrics, "instance_connections", Id, Dispatch.m_ConnectionCount);
    setGauge(HostMetrics, "instance_queue", Id, Dispatch.m_Queue.m_QueuedCount);
    setGauge(HostMetrics, "instance_limit", Id, Dispatch.m_Queue.m_SlotCount);
  }
  if (isEvacuationEnabled(Host))
    setGauge(HostMetrics, "evacuated_data_centres", "",
             static_cast<double>(Host.m_Evacuations.m_Evacuations.size()));
  constexpr std::array KindNames = {"update", "statement", "reply", "data"};
  for (size_t Kind = 0; Kind < KindNames.size(); ++Kind) {
    const SentBytes &Bytes = Host.m_SentBytes[Kind];
    setGauge(HostMetrics, "sent_bytes_near", KindNames[Kind],
             static_cast<double>(Bytes.m_ToOwnDataCentre));
    setGauge(HostMetrics, "sent_bytes_far", KindNames[Kind],
             static_cast<double>(Bytes.m_ToOtherDataCentres));
  }
  publishByteBudget(Host);
  for (const auto &[Name, State] : Host.m_Takeovers)
    setGauge(HostMetrics, "promotion_token", Name, static_cast<double>(State.m_Duty.m_Token));
}

std::string dumpState(const LineHost &Host) {
  TimePoint Now = bootNow();
  auto Age = [&](TimePoint At) { return std::chrono::duration_cast<Millis>(Now - At).count(); };
  Json Dump = {{"host", Host.m_Settings.m_Host},
               {"draining", Host.m_IsDraining},
               {"stop_phase", stopPhaseName(currentStopPhase(Host))},
               {"stop_ms", Host.m_IsDraining ? Age(Host.m_Stop.m_BegunAt) : -1},
               {"sessions", Host.m_SessionCount},
               {"statements", Host.m_RunningStatementCount},
               {"forwarded", Host.m_ForwardedStatementCount},
               {"transactions", Host.m_Transactions.size()},
               {"config_version", Host.m_Config ? Host.m_Config->m_Version : 0},
               {"config_age_ms", Host.m_Config ? Age(Host.m_ConfigAppliedAt) : -1},
               {"store_reachable", Host.m_Store.m_IsReachable}};
  for (const auto &[DataCentre, Entry] : Host.m_Evacuations.m_Evacuations)
    Dump["evacuated"][DataCentre] =
        stageName(stageAt(Host.m_Evacuations, DataCentre, Now, Host.m_Settings.m_Evacuation));
  for (const auto &[Name, Group] : Host.m_Groups) {
    Json &GroupDump = Dump["groups"][Name];
    auto NewestConfirmation = newestConfirmedPosition(Group.m_History);
    GroupDump = {{"primary", Group.m_Primary},
                 {"generation", Group.m_Generation},
                 {"proof_age_ms", NewestConfirmation ? Age(NewestConfirmation->m_SentAt) : -1}};
    for (const auto &[Id, Instance] : Group.m_Instances)
      GroupDump["instances"][Id] = {{"address", Instance.m_Address},
                                    {"listed", Instance.m_IsListed},
                                    {"leaving", Instance.m_IsLeaving},
                                    {"outstanding", Instance.m_OutstandingCount}};
  }
  for (const auto &[Id, View] : Host.m_Members.m_Hosts)
    Dump["hosts"][Id] = {{"address", View.m_Address}, {"heard_ms", Age(View.m_LastSeenAt)}};
  for (const auto &[Id, Dispatch] : Host.m_Dispatches)
    Dump["dispatches"][Id] = {{"open", Dispatch.m_ConnectionCount},
                              {"idle", Dispatch.m_IdleConnections.size()},
                              {"queued", Dispatch.m_Queue.m_QueuedCount},
                              {"running", Dispatch.m_Queue.m_RunningCount},
                              {"unreachable", Dispatch.m_IsUnreachable}};
  for (const auto &[Name, State] : Host.m_Takeovers)
    Dump["takeovers"][Name] = {{"token", State.m_Duty.m_Token}, {"why", State.m_LastReason}};
  for (const auto &[Name, Usage] : Host.m_Usage.m_Customers)
    Dump["customers"][Name] = {{"level", Usage.m_Tokens},
                               {"admitted", Usage.m_AdmittedCount},
                               {"withheld", withheldFraction(Usage)}};
  return Dump.dump();
}

// --- Life cycle ---

void noteTaskFailure(LineHost &Host, std::string_view Name, const std::string &Why) {
  logLine(LogLevel::Error, "task_failed", {{"task", std::string(Name)}, {"why", Why}});
  countEvent(*Host.m_Metrics, "task_failed");
}

bool isReady(const LineHost &Host) {
  return canUseConfig(Host, bootNow()) && !Host.m_IsDraining &&
         Host.m_Store.m_InstancesRevision != 0 && bootNow() - Host.m_StartedAt > StartupGracePeriod;
}

// Returns whether any statement is queued or in progress, which calls for short ticks.
bool hasPendingStatements(const LineHost &Host) {
  return std::ranges::any_of(Host.m_Dispatches, [](const auto &Entry) {
    return Entry.second.m_Queue.m_QueuedCount > 0 || !Entry.second.m_BusyConnections.empty();
  });
}

// Returns whether an interval has passed since LastAt, and if so sets LastAt to Now.
bool isDue(TimePoint &LastAt, Millis Interval, TimePoint Now) {
  if (Now - LastAt < Interval)
    return false;
  LastAt = Now;
  return true;
}

Awaitable<void> runTicks(LineHost &Host) {
  asio::steady_timer Timer(Host.m_Io);
  TimePoint LastGossipAt{};
  TimePoint LastHubSelectionAt{};
  TimePoint LastRetireAt{};
  TimePoint LastGaugeUpdateAt{};
  TimePoint LastBudgetCheckAt{};
  for (;;) {
    Timer.expires_after(hasPendingStatements(Host) ? TickInterval : IdleTickInterval);
    co_await Timer.async_wait(AsTuple);
    TimePoint Now = bootNow();
    runDeadlines(Host.m_DeadlineQueue, Now);
    tickEvacuations(Host, Now);
    tickDispatches(Host, Now);
    if (isDue(LastHubSelectionAt, HubSelectionInterval, Now))
      refreshHubs(Host, Now);
    if (isDue(LastRetireAt, RetireInterval, Now))
      retireDispatches(Host, Now);
    if (isDue(LastGaugeUpdateAt, GaugeInterval, Now))
      publishGauges(Host, Now);
    if (isDue(LastBudgetCheckAt, BudgetInterval, Now))
      enforceByteBudget(Host, Now);
    if (isDue(LastGossipAt, GossipInterval, Now)) {
      closeSilentLinks(Host, Now);
      sendGossip(Host, Now);
    }
  }
}

bool hasUnsentFrames(const LineHost &Host) {
  return std::ranges::any_of(Host.m_InboundLinks,
                             [](const auto &Entry) { return Entry.second->m_IsSending; }) ||
         std::ranges::any_of(Host.m_Links, [](const auto &Entry) {
           const auto &Connection = Entry.second.m_FrameConnection;
           return Connection && Connection->m_IsSending;
         });
}

bool hasWorkInProgress(const LineHost &Host) {
  return Host.m_SessionCount > 0 || !Host.m_Transactions.empty() ||
         Host.m_ForwardedStatementCount > 0 || hasUnsentFrames(Host) ||
         std::ranges::any_of(Host.m_Dispatches, [](const auto &Entry) {
           return Entry.second.m_Queue.m_RunningCount > 0 || !Entry.second.m_Waiters.empty();
         });
}

void logStop(const LineHost &Host, std::string_view Event, StopPhase Phase) {
  logLine(LogLevel::Info, Event,
          {{"phase", std::string(stopPhaseName(Phase))},
           {"sessions", std::to_string(Host.m_SessionCount)},
           {"statements", std::to_string(Host.m_RunningStatementCount)},
           {"forwarded", std::to_string(Host.m_ForwardedStatementCount)},
           {"transactions", std::to_string(Host.m_Transactions.size())}});
}

// Follows the phases of a planned stop, and stops the process once nothing is in progress. Sessions
// follow the phases themselves.
Awaitable<void> drain(LineHost &Host) {
  Host.m_IsDraining = true;
  Host.m_Stop = planStop(bootNow(), Host.m_Settings.m_StopTimeout);
  logStop(Host, "stop_begun", StopPhase::Announcing);
  sendGossip(Host, bootNow());
  co_await sleepFor(Host.m_Io, Host.m_Stop.m_ClosingIdleAt - bootNow());
  StopPhase LastPhase = StopPhase::Announcing;
  StopPhase Phase = currentStopPhase(Host);
  for (; Phase < StopPhase::Over && hasWorkInProgress(Host); Phase = currentStopPhase(Host)) {
    if (std::exchange(LastPhase, Phase) != Phase)
      logStop(Host, "stop_phase", Phase);
    carryOutStop(Host, Phase);
    co_await sleepFor(Host.m_Io, TickInterval);
  }
  logStop(Host, "stopped", Phase);
  Host.m_Io.stop();
}

Awaitable<void> handleSignals(LineHost &Host, std::string File) {
  asio::signal_set Signals(Host.m_Io, SIGTERM, SIGINT, SIGHUP);
  for (;;) {
    auto [Error, SignalNumber] = co_await Signals.async_wait(AsTuple);
    if (Error)
      co_return;
    if (SignalNumber != SIGHUP) {
      if (!Host.m_IsDraining)
        spawnTask(Host, "drain", drain(Host), [&Host] { Host.m_Io.stop(); });
      continue;
    }
    auto NewSettings = readEntrySettings(File);
    logLine(LogLevel::Info, "settings_reloaded", {{"valid", NewSettings ? "yes" : "no"}});
    if (NewSettings) { // addresses and all other settings need a restart
      Host.m_Settings.m_StopTimeout = NewSettings->m_StopTimeout;
      Host.m_Settings.m_SeedAddresses = NewSettings->m_SeedAddresses;
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

// Runs a task as long as the host. If an unexpected error ends it, it starts again.
Awaitable<void> repeatTask(LineHost &Host, std::string Name,
                           std::function<Awaitable<void>()> MakeTask) {
  for (bool HasFailed = true; HasFailed;) {
    try {
      Awaitable<void> Task = MakeTask();
      co_await std::move(Task);
      HasFailed = false;
    } catch (const std::exception &Error) {
      noteTaskFailure(Host, Name, Error.what());
    }
    if (HasFailed)
      co_await sleepFor(Host.m_Io, TaskRestartDelay);
  }
}

void startTask(LineHost &Host, std::string Name, std::function<Awaitable<void>()> MakeTask) {
  asio::co_spawn(Host.m_Io, repeatTask(Host, std::move(Name), std::move(MakeTask)), asio::detached);
}

// Runs the host's tasks and handlers. An exception that leaves a handler is logged.
void runUntilStopped(LineHost &Host) {
  while (!Host.m_Io.stopped()) {
    try {
      Host.m_Io.run();
    } catch (const std::exception &Error) {
      noteTaskFailure(Host, "handler", Error.what());
    }
  }
}

// Listens on an address. On failure it prints the error and returns nothing.
std::optional<Tcp::acceptor> openAcceptor(asio::io_context &Io, const std::string &Address) {
  try {
    return Tcp::acceptor(Io, parseEndpoint(Address).value());
  } catch (const std::exception &Error) {
    fmt::print(stderr, "cannot listen on {}: {}\n", Address, Error.what());
    return std::nullopt;
  }
}

} // namespace

void carryOutStop(LineHost &Host, StopPhase Phase) {
  if (Phase >= StopPhase::EndingTransactions)
    endAllTransactions(Host);
  if (Phase < StopPhase::Answering)
    return;
  giveUpStatements(Host);
  giveUpCalls(Host);
}

StopPhase currentStopPhase(const LineHost &Host) { return stopPhase(Host.m_Stop, bootNow()); }

void spawnTask(LineHost &Host, std::string_view Name, Awaitable<void> Task,
               std::function<void()> OnFailure) {
  asio::co_spawn(
      Host.m_Io, std::move(Task),
      [&Host, Name, OnFailure = std::move(OnFailure)](const std::exception_ptr &Failure) {
        if (!Failure)
          return;
        try {
          std::rethrow_exception(Failure);
        } catch (const std::exception &Error) {
          noteTaskFailure(Host, Name, Error.what());
        }
        if (OnFailure)
          OnFailure();
      });
}

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
  configureByteBudget(Host);
  // A part of each customer's rate is unused at hosts that receive none of its requests. The
  // headroom makes up for that.
  Host.m_Usage.m_Headroom = Settings->m_RateTolerance * HeadroomShare;
  Host.m_Usage.m_BurstSlack = Settings->m_RateSlack * HeadroomShare;
  Host.m_StoreClient =
      platform::openStoreClient(Io, Settings->m_StoreAddress, Settings->m_PromotionAddress);
  auto PeerEndpoint = parseEndpoint(Host.m_Members.m_Hosts[Settings->m_Host].m_Address);
  auto AdminEndpoint = parseEndpoint(Settings->m_AdminAddress);
  if (!PeerEndpoint || !AdminEndpoint) {
    fmt::print(stderr, "{}: peer_address or admin is not a valid address\n", SettingsFile);
    return 1;
  }
  Host.m_GossipSocket = std::make_shared<Udp::socket>(
      Io, Udp::endpoint(PeerEndpoint->address(), PeerEndpoint->port()));
  Host.m_GossipSocket->non_blocking(true);
  ListenSettings Admin;
  Admin.m_Address = AdminEndpoint->address().to_string();
  Admin.m_Port = AdminEndpoint->port();
  Admin.m_IsPlainText = true;
  AdminCallbacks Functions;
  Functions.m_IsReady = [&Host] { return isReady(Host); };
  Functions.m_Dump = [&Host] { return dumpState(Host); };
  Functions.m_Where = [&Host](const std::string &Query) { return answerWhere(Host, Query); };
  auto Front = startAdminFront(
      Admin, [&Io](std::function<void()> Run) { asio::post(Io, std::move(Run)); }, Host.m_Metrics,
      std::move(Functions));
  if (auto *StartError = std::get_if<std::string>(&Front)) {
    fmt::print(stderr, "cannot serve the admin address: {}\n", *StartError);
    return 1;
  }
  logLine(LogLevel::Info, "started",
          {{"dc", Settings->m_DataCentre},
           {"callers", Settings->m_CallerAddress},
           {"incarnation", std::to_string(Host.m_Incarnation)}});
  auto Callers = openAcceptor(Io, Settings->m_CallerAddress);
  auto Peers = openAcceptor(Io, Host.m_Members.m_Hosts[Settings->m_Host].m_Address);
  if (!Callers || !Peers)
    return 1;
  startTask(Host, "callers", [&] { return acceptCallers(Host, *Callers); });
  startTask(Host, "peers", [&] { return acceptPeers(Host, *Peers); });
  startTask(Host, "gossip", [&] { return receiveGossip(Host); });
  startTask(Host, "config", [&] { return syncConfig(Host); });
  startTask(Host, "instances", [&] { return syncInstances(Host); });
  if (isEvacuationEnabled(Host))
    startTask(Host, "evacuations", [&] { return syncEvacuations(Host); });
  startTask(Host, "registration", [&] { return registerHost(Host); });
  startTask(Host, "orders", [&] { return learnOrders(Host); });
  startTask(Host, "primaries", [&] { return watchPrimaries(Host); });
  startTask(Host, "ticks", [&] { return runTicks(Host); });
  startTask(Host, "signals", [&] { return handleSignals(Host, SettingsFile); });
  runUntilStopped(Host);
  std::_Exit(0); // skips destructors: suspended coroutines still refer to the host
}

} // namespace quetzalpaddle
