// Runs the stand-in for one database instance until SIGINT or SIGTERM.
#include "standin_instance.h"

#include <charconv>
#include <csignal>
#include <fmt/core.h>
#include <getopt.h>
#include <optional>
#include <string_view>

using namespace quetzalpaddle;

static constexpr const char *Usage =
    "standin_instance --id ID --listen IP:PORT [--group NAME] [--peers ID=IP:PORT,...]\n"
    "  [--primary ID] [--restarted] [--slots N] [--connections N] [--connect-ms N]\n"
    "  [--statement-us N] [--replay-lag-ms N]\n"
    "--primary names the primary of term 1. --restarted joins a running group without data.\n";

static std::optional<uint32_t> parseNumber(std::string_view Text) {
  uint32_t Number = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

static bool parsePeers(std::string_view Text, std::map<std::string, std::string> &Peers) {
  while (!Text.empty()) {
    std::string_view Peer = Text.substr(0, Text.find(','));
    Text.remove_prefix(std::min(Text.size(), Peer.size() + 1));
    size_t Separator = Peer.find('=');
    if (Separator == 0 || Separator == std::string_view::npos)
      return false;
    Peers[std::string(Peer.substr(0, Separator))] = Peer.substr(Separator + 1);
  }
  return true;
}

struct CommandLine {
  StandinOptions m_Options;
  standin::FaultRequest m_Faults; // set at the start
};

// Returns nothing if the command line is invalid.
static std::optional<CommandLine> parseOptions(int Count, char **Arguments) {
  enum OptionId {
    Id = 1,
    Listen,
    Group,
    Peers,
    Primary,
    Restarted,
    Slots,
    Connections,
    Connect,
    StatementTime,
    ReplayLag
  };
  const option LongOptions[] = {
      {"id", required_argument, nullptr, Id},
      {"listen", required_argument, nullptr, Listen},
      {"group", required_argument, nullptr, Group},
      {"peers", required_argument, nullptr, Peers},
      {"primary", required_argument, nullptr, Primary},
      {"restarted", no_argument, nullptr, Restarted},
      {"slots", required_argument, nullptr, Slots},
      {"connections", required_argument, nullptr, Connections},
      {"connect-ms", required_argument, nullptr, Connect},
      {"statement-us", required_argument, nullptr, StatementTime},
      {"replay-lag-ms", required_argument, nullptr, ReplayLag},
      {nullptr, 0, nullptr, 0},
  };
  CommandLine Result;
  StandinOptions &Options = Result.m_Options;
  for (int Found = 0; (Found = getopt_long(Count, Arguments, "", LongOptions, nullptr)) != -1;) {
    if (Found == '?')
      return std::nullopt;
    std::optional<uint32_t> Number = Found >= Slots ? parseNumber(optarg) : std::optional(0U);
    if (!Number)
      return std::nullopt;
    switch (Found) {
    case Id:
      Options.m_Id = optarg;
      break;
    case Listen:
      Options.m_Address = optarg;
      break;
    case Group:
      Options.m_Group = optarg;
      break;
    case Peers:
      if (!parsePeers(optarg, Options.m_Peers))
        return std::nullopt;
      break;
    case Primary:
      Options.m_Primary = optarg;
      break;
    case Restarted:
      Options.m_IsRestarted = true;
      break;
    case Slots:
      Options.m_SlotCount = *Number;
      break;
    case Connections:
      Options.m_ConnectionLimit = *Number;
      break;
    case Connect:
      Options.m_ConnectDelay = std::chrono::milliseconds(*Number);
      break;
    case StatementTime:
      Options.m_StatementDuration = std::chrono::microseconds(*Number);
      break;
    case ReplayLag:
      Result.m_Faults.set_replay_lag_ms(*Number);
      break;
    default:
      return std::nullopt;
    }
  }
  Options.m_Peers.erase(Options.m_Id);
  if (optind != Count)
    return std::nullopt;
  return Result;
}

int main(int Count, char **Arguments) {
  std::optional<CommandLine> Options = parseOptions(Count, Arguments);
  if (!Options) {
    fmt::print(stderr, "{}", Usage);
    return 2;
  }
  // Blocked before any thread starts, so that only sigwait() receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::shared_ptr<StandinInstance> Instance = startInstance(Options->m_Options);
  if (!Instance) {
    fmt::print(stderr, "event=listen_failed address={}\n", Options->m_Options.m_Address);
    return 1;
  }
  setFaults(*Instance, Options->m_Faults);
  fmt::print(stderr, "event=started id={} address={}\n", instanceId(*Instance),
             instanceAddress(*Instance));
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
