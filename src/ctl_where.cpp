// Command line client of /where at the admin address of an entry host for the line protocol.
#include "ctl.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <getopt.h>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

namespace quetzalpaddle {

namespace {

namespace http = boost::beast::http;
using Json = nlohmann::json;

constexpr int ExitRefused = 1;
constexpr int ExitNotReached = 2;
constexpr int ExitUsage = 64;
constexpr std::chrono::seconds Timeout{10};

constexpr const char *Usage = R"(Usage: quetzalpaddle ctl where [OPTION]... DATABASE read|write
Asks a host of the line protocol where a statement would be sent now and why. Nothing is sent to any
instance, and nothing changes.

  -a, --address=IP:PORT     admin address of the host (default: $QUETZALPADDLE_ADMIN_ADDRESS)
  -P, --position=TERM.INDEX position of the session's last commit, for read-your-writes routes
  -u, --customer=NAME       customer whose rate is checked
  -j, --json                print the host's answer
  -h, --help                print this help and exit

Exit status: 0 answered, 1 refused by the host, 2 not reached, 64 usage error.
)";

struct WhereOptions {
  std::string m_Address;
  std::string m_Query;
  bool m_IsJson = false;
  std::optional<int> m_ExitStatus; // set if the program ends without a request
};

std::string encodePercent(std::string_view Text) {
  std::string Result;
  for (unsigned char Byte : Text)
    Result += std::isalnum(Byte) || Byte == '-' || Byte == '.' || Byte == '_'
                  ? std::string(1, static_cast<char>(Byte))
                  : fmt::format("%{:02X}", Byte);
  return Result;
}

int failUsage(const std::string &Message) {
  std::cerr << "quetzalpaddle ctl where: " << Message << "\nTry --help.\n";
  return ExitUsage;
}

WhereOptions parseOptions(int Count, char **Arguments) {
  static const std::array<option, 6> LongOptions = {{
      {"address", required_argument, nullptr, 'a'},
      {"position", required_argument, nullptr, 'P'},
      {"customer", required_argument, nullptr, 'u'},
      {"json", no_argument, nullptr, 'j'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  WhereOptions Options;
  if (const char *Address = std::getenv("QUETZALPADDLE_ADMIN_ADDRESS"))
    Options.m_Address = Address;
  optind = 0; // resets getopt
  int Letter = 0;
  while ((Letter = getopt_long(Count, Arguments, "a:P:u:jh", LongOptions.data(), nullptr)) != -1) {
    if (Letter == 'a')
      Options.m_Address = optarg;
    else if (Letter == 'P')
      Options.m_Query += "&position=" + encodePercent(optarg);
    else if (Letter == 'u')
      Options.m_Query += "&customer=" + encodePercent(optarg);
    else if (Letter == 'j')
      Options.m_IsJson = true;
    else {
      if (Letter == 'h')
        std::cout << Usage;
      Options.m_ExitStatus = Letter == 'h' ? 0 : failUsage("unknown option or missing value");
      return Options;
    }
  }
  if (Options.m_Address.find(':') == std::string::npos)
    Options.m_ExitStatus = failUsage("--address=IP:PORT is missing");
  else if (Count - optind != 2)
    Options.m_ExitStatus = failUsage("a database and read or write are needed");
  else
    Options.m_Query = "database=" + encodePercent(Arguments[optind]) +
                      "&verb=" + encodePercent(Arguments[optind + 1]) + Options.m_Query;
  return Options;
}

// Returns nothing if the host gives no complete answer.
std::optional<http::response<http::string_body>> requestWhere(const WhereOptions &Options) {
  boost::asio::ip::tcp::iostream Stream;
  Stream.expires_after(Timeout);
  size_t Colon = Options.m_Address.rfind(':');
  Stream.connect(Options.m_Address.substr(0, Colon), Options.m_Address.substr(Colon + 1));
  Stream << "GET /where?" << Options.m_Query << " HTTP/1.1\r\nHost: " << Options.m_Address
         << "\r\nConnection: close\r\n\r\n"
         << std::flush;
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  http::response_parser<http::string_body> Parser;
  Parser.eager(true);
  boost::system::error_code Error;
  Parser.put(boost::asio::buffer(Text), Error);
  if (Error || !Parser.is_done())
    return std::nullopt;
  return Parser.release();
}

std::string formatMs(const Json &Value) {
  return Value.is_null() ? "-" : fmt::format("{:.1f}", Value.get<double>());
}

std::string textOf(const Json &Value) {
  return Value.is_null() ? "none" : Value.get<std::string>();
}

std::string describeCandidate(const Json &Entry) {
  if (Entry.at("excluded") != "none")
    return "excluded: " + textOf(Entry.at("excluded"));
  return Entry.at("share").get<double>() > 0 ? "chosen" : "not chosen: its cost is higher";
}

void printText(const Json &Answer) {
  const Json &Route = Answer.at("route");
  fmt::print("{} of {} at {}: route {}, group {}, {}, priority {}\n", textOf(Answer.at("verb")),
             textOf(Answer.at("database")), textOf(Answer.at("host")), textOf(Route.at("name")),
             textOf(Route.at("group")), textOf(Route.at("kind")),
             Route.at("priority").get<uint32_t>());
  fmt::print("instance {}, dispatcher {}, required position {}{}\n", textOf(Answer.at("instance")),
             textOf(Answer.at("dispatcher")), textOf(Answer.at("required_position")),
             Answer.at("confirms_primary").get<bool>() ? ", has to confirm that it is primary"
                                                       : "");
  if (Answer.at("no_instance") != "none")
    fmt::print("no instance: {}\n", textOf(Answer.at("no_instance")));
  if (const Json &Rate = Answer.at("rate"); !Rate.is_null())
    fmt::print("rate of {}: {}, level {}, refused by this host {:.0f} %\n",
               textOf(Rate.at("customer")), Rate.at("admits").get<bool>() ? "admitted" : "refused",
               formatMs(Rate.at("level")), 100 * Rate.at("refused_here_share").get<double>());
  if (const Json &Queue = Answer.at("queue"); !Queue.is_null())
    fmt::print("queue: {}, {} queued, {} running, {} slots, wait {} ms\n",
               Queue.at("refusal") == "none" ? "accepted" : textOf(Queue.at("refusal")),
               Queue.at("queued").get<uint32_t>(), Queue.at("running").get<uint32_t>(),
               Queue.at("slots").get<uint32_t>(), formatMs(Queue.at("wait_ms")));
  fmt::print("{:<16} {:<12} {:<8} {:>6} {:>8} {:>8} {:>8} {:>8}  {}\n", "instance", "data centre",
             "role", "share", "wait ms", "age ms", "own ms", "penalty", "result");
  for (const Json &Entry : Answer.at("candidates"))
    fmt::print("{:<16} {:<12} {:<8} {:>5.0f}% {:>8} {:>8} {:>8} {:>8}  {}\n",
               textOf(Entry.at("instance")), textOf(Entry.at("data_centre")),
               Entry.at("primary").get<bool>() ? "primary" : "replica",
               100 * Entry.at("share").get<double>(), formatMs(Entry.at("wait_ms")),
               formatMs(Entry.at("wait_age_ms")), formatMs(Entry.at("own_wait_ms")),
               formatMs(Entry.at("penalty_ms")), describeCandidate(Entry));
}

} // namespace

int runCtlWhere(int argc, char **argv) { // NOLINT(readability-identifier-naming)
  WhereOptions Options = parseOptions(argc, argv);
  if (Options.m_ExitStatus)
    return *Options.m_ExitStatus;
  auto Response = requestWhere(Options);
  if (!Response) {
    std::cerr << "not reached: " << Options.m_Address << "\n";
    return ExitNotReached;
  }
  if (Response->result() != http::status::ok) {
    std::cerr << "refused: " << Response->body();
    return ExitRefused;
  }
  Json Answer = Json::parse(Response->body(), nullptr, false);
  if (Options.m_IsJson) {
    std::cout << Response->body();
    return 0;
  }
  try {
    printText(Answer);
  } catch (const Json::exception &) {
    std::cerr << "not understood: the host runs another version\n";
    return ExitNotReached;
  }
  return 0;
}

} // namespace quetzalpaddle
