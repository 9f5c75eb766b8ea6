// Runs the stand-in for the platform until SIGINT or SIGTERM.
#include "standin_platform.h"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <getopt.h>

using namespace quetzalpaddle;

namespace {

constexpr const char *Usage =
    "usage: standin_platform [OPTION]...\n"
    "  --address=IP         address to listen on (127.0.0.1)\n"
    "  --port=PORT          port to listen on (0: any free port)\n"
    "  --hosts-lag-ms=N     delay before a new host list takes effect (0)\n"
    "  --latency-ms=N       latency of each call (0)\n"
    "  --host=ID,DC,IP:PORT adds a host to the host list; may be repeated\n"
    "  --help               show this text\n";

std::optional<uint32_t> parseNumber(std::string_view Text, uint32_t MaxValue) {
  uint32_t Value = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() || Value > MaxValue)
    return std::nullopt;
  return Value;
}

// Parses ID,DATA_CENTRE,ADDRESS.
bool parseHost(std::string_view Text, standin::StandinHost &Host) {
  size_t First = Text.find(',');
  size_t Second = Text.find(',', First + 1);
  if (First == std::string_view::npos || Second == std::string_view::npos)
    return false;
  Host.set_host(std::string(Text.substr(0, First)));
  Host.set_data_centre(std::string(Text.substr(First + 1, Second - First - 1)));
  Host.set_peer_address(std::string(Text.substr(Second + 1)));
  return true;
}

struct CommandLine {
  PlatformOptions m_Options;
  standin::SetHostsRequest m_Hosts;
  bool m_Help = false;
};

// Returns nothing if the command line is invalid.
std::optional<CommandLine> parseOptions(int Count, char **Arguments) {
  constexpr uint32_t MaxMillis = 600000;
  const std::array<option, 7> LongOptions = {{{"address", required_argument, nullptr, 'a'},
                                              {"port", required_argument, nullptr, 'p'},
                                              {"hosts-lag-ms", required_argument, nullptr, 'g'},
                                              {"latency-ms", required_argument, nullptr, 'l'},
                                              {"host", required_argument, nullptr, 'o'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {}}};
  CommandLine Result;
  for (int Found = 0;
       (Found = getopt_long(Count, Arguments, "", LongOptions.data(), nullptr)) != -1;) {
    if (Found == '?')
      return std::nullopt;
    if (Found == 'h') {
      Result.m_Help = true;
      continue;
    }
    if (Found == 'a') {
      Result.m_Options.m_Address = optarg;
      continue;
    }
    if (Found == 'o') {
      if (!parseHost(optarg, *Result.m_Hosts.add_hosts()))
        return std::nullopt;
      continue;
    }
    std::optional<uint32_t> Number = parseNumber(optarg, Found == 'p' ? 65535 : MaxMillis);
    if (!Number)
      return std::nullopt;
    if (Found == 'p')
      Result.m_Options.m_Port = static_cast<uint16_t>(*Number);
    else if (Found == 'g')
      Result.m_Options.m_HostListDelay = Millis(*Number);
    else
      Result.m_Options.m_Latency = Millis(*Number);
  }
  if (optind != Count)
    return std::nullopt;
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  std::optional<CommandLine> Options = parseOptions(Count, Arguments);
  if (!Options) {
    fmt::print(stderr, "{}", Usage);
    return 2;
  }
  if (Options->m_Help) {
    fmt::print("{}", Usage);
    return 0;
  }
  // Blocked before any thread starts, so that only sigwait() receives them.
  sigset_t Stop;
  sigemptyset(&Stop);
  sigaddset(&Stop, SIGTERM);
  sigaddset(&Stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stop, nullptr);
  std::shared_ptr<StandinPlatform> Platform = startPlatform(Options->m_Options);
  if (!Platform) {
    fmt::print(stderr, "standin_platform: cannot listen on {}:{}\n", Options->m_Options.m_Address,
               Options->m_Options.m_Port);
    return 1;
  }
  setHostList(*Platform, Options->m_Hosts);
  fmt::print("listening on {}\n", platformAddress(*Platform));
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&Stop, &Signal);
  return 0;
}
