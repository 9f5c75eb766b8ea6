// Command line: quetzalpaddle serve | ctl | check | version.
#include "ctl.h"
#include "line_host.h"
#include "serve.h"

#include <fmt/core.h>
#include <getopt.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace {

using namespace quetzalpaddle;

constexpr int ExitUsage = 64;

constexpr const char *Help = R"(quetzalpaddle: a database proxy with session consistency

  quetzalpaddle serve --config FILE      run an entry host
  quetzalpaddle entry [FILE]             run an entry host that serves the statement protocol;
                                         settings: FILE, or where QUETZALPADDLE_BOOT points
  quetzalpaddle ctl [OPTIONS] [TEXT]     query or control a running host; see ctl --help
  quetzalpaddle ctl where [OPTIONS] DATABASE read|write
                                         where a host of entry would send a statement now, and why
  quetzalpaddle check FILE               check a settings file of serve and list its errors
  quetzalpaddle check --entry FILE       the same for a settings file of entry
  quetzalpaddle check --print-defaults   print a commented settings file
  quetzalpaddle completion               print a bash completion script
  quetzalpaddle version                  print the version

Examples:
  quetzalpaddle check host.json && quetzalpaddle serve --config host.json
  quetzalpaddle ctl -a 127.0.0.1:7402 -s operator.secret -c authority.pem 'show groups'
)";

constexpr const char *Completion = R"(_quetzalpaddle() {
  local current=${COMP_WORDS[COMP_CWORD]}
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "serve entry ctl check completion version --help" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}
complete -F _quetzalpaddle quetzalpaddle
)";

std::optional<Settings> readSettings(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    fmt::print(stderr, "{}: cannot be read\n", File);
    return std::nullopt;
  }
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  auto Parsed = parseSettings(Text, File);
  if (auto *S = std::get_if<Settings>(&Parsed))
    return std::move(*S);
  for (const SettingsError &Error : std::get<std::vector<SettingsError>>(Parsed))
    fmt::print(stderr, "{}:{}: {}: {}\n", Error.m_File, Error.m_Line, Error.m_Field,
               Error.m_Message);
  return std::nullopt;
}

int runServeCommand(int Argc, char **Argv) {
  static const option Options[] = {{"config", required_argument, nullptr, 'c'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  std::string File;
  for (int Option = 0; (Option = getopt_long(Argc, Argv, "c:h", Options, nullptr)) != -1;) {
    if (Option == 'h') {
      fmt::print(
          "usage: quetzalpaddle serve --config FILE\n\n"
          "SIGTERM and SIGINT drain, SIGHUP reloads certificates, SIGUSR1 dumps the state.\n");
      return 0;
    }
    if (Option != 'c')
      return ExitUsage;
    File = optarg;
  }
  if (File.empty() || optind < Argc) {
    fmt::print(stderr, "usage: quetzalpaddle serve --config FILE\n");
    return ExitUsage;
  }
  std::optional<Settings> S = readSettings(File);
  return S ? runServe(*S) : 1;
}

int runEntryCommand(int Argc, char **Argv) {
  const char *BootFile = std::getenv("QUETZALPADDLE_BOOT");
  std::string File = Argc > 1 ? Argv[1] : BootFile ? BootFile : "";
  if (File.empty() || Argc > 2) {
    fmt::print(stderr, "usage: quetzalpaddle entry [FILE]\n");
    return ExitUsage;
  }
  return runEntry(File);
}

int runCheckCommand(int Argc, char **Argv) {
  static const option Options[] = {{"print-defaults", no_argument, nullptr, 'p'},
                                   {"entry", no_argument, nullptr, 'e'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  constexpr const char *Usage =
      "usage: quetzalpaddle check [--entry] FILE | check --print-defaults\n";
  bool IsEntry = false;
  for (int Option = 0; (Option = getopt_long(Argc, Argv, "peh", Options, nullptr)) != -1;) {
    if (Option == 'e') {
      IsEntry = true;
      continue;
    }
    if (Option == 'p') {
      fmt::print("{}", formatDefaultSettings());
      return 0;
    }
    if (Option == 'h') {
      fmt::print("{}", Usage);
      return 0;
    }
    return ExitUsage;
  }
  if (optind + 1 != Argc) {
    fmt::print(stderr, "{}", Usage);
    return ExitUsage;
  }
  bool IsValid = IsEntry ? readEntrySettings(Argv[optind]).has_value()
                         : readSettings(Argv[optind]).has_value();
  if (!IsValid)
    return 1;
  fmt::print("{}: no errors\n", Argv[optind]);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  std::string_view Command = Argc > 1 ? Argv[1] : "";
  if (Command == "serve")
    return runServeCommand(Argc - 1, Argv + 1);
  if (Command == "entry")
    return runEntryCommand(Argc - 1, Argv + 1);
  if (Command == "ctl")
    return runCtl(Argc - 1, Argv + 1);
  if (Command == "check")
    return runCheckCommand(Argc - 1, Argv + 1);
  if (Command == "completion") {
    fmt::print("{}", Completion);
    return 0;
  }
  if (Command == "version") {
    fmt::print("quetzalpaddle 0.1.0\n");
    return 0;
  }
  if (Command == "--help" || Command == "help") {
    fmt::print("{}", Help);
    return 0;
  }
  fmt::print(stderr, "{}", Help);
  return ExitUsage;
}
