// Command line client of the operator service.
#include "ctl.h"

#include "language.h"
#include "operator.grpc.pb.h"
#include "operator.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <getopt.h>
#include <grpcpp/grpcpp.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace quetzalpaddle {

namespace {

using operators::RunReply;

constexpr int ExitAccepted = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUncertain = 2;
constexpr int ExitUsage = 64;
// A statement without a reply is retried with the same operation id, so that it takes effect at
// most once.
constexpr int MaxAttempts = 3;
constexpr std::chrono::milliseconds RetryDelay{300};

constexpr const char *Usage =
    R"(Usage: quetzalpaddle ctl [OPTION]... [STATEMENT]
Runs a statement, the statements of a file, or statements entered at a prompt.
"quetzalpaddle ctl where" asks a host of the line protocol; see "ctl where --help".

  -a, --address=IP:PORT      operator listener of any host
                             (default: $QUETZALPADDLE_OPERATOR_ADDRESS)
  -s, --secret-file=FILE     file that contains the operator secret
                             (default: $QUETZALPADDLE_OPERATOR_SECRET_FILE)
  -c, --authority-file=FILE  PEM of the CA of the hosts' certificates
  -p, --plain-text           disable TLS
  -f, --file=FILE            run the statements in FILE, one per line; # starts a comment; - reads
                             standard input; stops at the first that is not accepted
  -o, --output=FORMAT        table (default), json or quiet
  -q, --quiet                same as --output=quiet
  -t, --timeout=SECONDS      timeout of one attempt (default: 10)
  -i, --operation-id=ID      repeat an earlier change whose outcome was uncertain
  -g, --grammar              print the grammar of statements and exit
  -h, --help                 print this help and exit

Exit status: 0 accepted, 1 refused, 2 not reached or uncertain, 64 usage error.
)";

enum class OutputFormat { Table, Json, Quiet };

struct CtlOptions {
  std::string m_Address;
  std::string m_SecretFile;
  std::string m_AuthorityFile;
  bool m_IsPlainText = false;
  std::optional<std::string> m_File;
  OutputFormat m_Format = OutputFormat::Table;
  int m_TimeoutSeconds = 10;
  std::string m_OperationId;
  std::string m_Statement;
  std::optional<int> m_ExitStatus; // set if the program ends without running a statement
};

struct CtlSession {
  CtlOptions m_Options;
  std::string m_Secret;
  std::unique_ptr<operators::Operator::Stub> m_Stub;
};

//--- Options ---

std::string readEnvironment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

int failUsage(const std::string &Message) {
  std::cerr << "quetzalpaddle ctl: " << Message << "\nTry --help.\n";
  return ExitUsage;
}

bool parseFormat(std::string_view Name, OutputFormat &Format) {
  if (Name == "table")
    Format = OutputFormat::Table;
  else if (Name == "json")
    Format = OutputFormat::Json;
  else if (Name == "quiet")
    Format = OutputFormat::Quiet;
  else
    return false;
  return true;
}

// Applies one option. Returns the exit status if the program ends because of it.
std::optional<int> applyOption(int Letter, CtlOptions &Options) {
  switch (Letter) {
  case 'a':
    Options.m_Address = optarg;
    return std::nullopt;
  case 's':
    Options.m_SecretFile = optarg;
    return std::nullopt;
  case 'c':
    Options.m_AuthorityFile = optarg;
    return std::nullopt;
  case 'p':
    Options.m_IsPlainText = true;
    return std::nullopt;
  case 'f':
    Options.m_File = optarg;
    return std::nullopt;
  case 'o':
    if (parseFormat(optarg, Options.m_Format))
      return std::nullopt;
    return failUsage("--output must be table, json or quiet");
  case 'q':
    Options.m_Format = OutputFormat::Quiet;
    return std::nullopt;
  case 't':
    Options.m_TimeoutSeconds = std::atoi(optarg);
    if (Options.m_TimeoutSeconds >= 1 && Options.m_TimeoutSeconds <= 600)
      return std::nullopt;
    return failUsage("--timeout must be from 1 to 600 seconds");
  case 'i':
    Options.m_OperationId = optarg;
    return std::nullopt;
  case 'g':
    std::cout << describeGrammar();
    return ExitAccepted;
  case 'h':
    std::cout << Usage;
    return ExitAccepted;
  default:
    return failUsage("unknown option or missing value");
  }
}

std::optional<int> checkOptions(const CtlOptions &Options) {
  if (Options.m_Address.empty())
    return failUsage("--address is missing");
  if (Options.m_SecretFile.empty())
    return failUsage("--secret-file is missing");
  if (Options.m_File && !Options.m_Statement.empty())
    return failUsage("a statement and --file are mutually exclusive");
  if (!Options.m_OperationId.empty() && Options.m_Statement.empty())
    return failUsage("--operation-id requires a statement as argument");
  return std::nullopt;
}

CtlOptions parseOptions(int Count, char **Arguments) {
  static const std::array<option, 11> KnownOptions = {{
      {"address", required_argument, nullptr, 'a'},
      {"secret-file", required_argument, nullptr, 's'},
      {"authority-file", required_argument, nullptr, 'c'},
      {"plain-text", no_argument, nullptr, 'p'},
      {"file", required_argument, nullptr, 'f'},
      {"output", required_argument, nullptr, 'o'},
      {"quiet", no_argument, nullptr, 'q'},
      {"timeout", required_argument, nullptr, 't'},
      {"operation-id", required_argument, nullptr, 'i'},
      {"grammar", no_argument, nullptr, 'g'},
      {"help", no_argument, nullptr, 'h'},
  }};
  std::vector<option> LongOptions(KnownOptions.begin(), KnownOptions.end());
  LongOptions.push_back({nullptr, 0, nullptr, 0});
  CtlOptions Options;
  Options.m_Address = readEnvironment("QUETZALPADDLE_OPERATOR_ADDRESS");
  Options.m_SecretFile = readEnvironment("QUETZALPADDLE_OPERATOR_SECRET_FILE");
  optind = 0; // resets getopt, since tests call this several times
  for (int Letter = 0; Letter != -1 && !Options.m_ExitStatus;) {
    Letter = getopt_long(Count, Arguments, "a:s:c:pf:o:qt:i:gh", LongOptions.data(), nullptr);
    if (Letter != -1)
      Options.m_ExitStatus = applyOption(Letter, Options);
  }
  if (Options.m_ExitStatus)
    return Options;
  for (int Index = optind; Index < Count; ++Index)
    Options.m_Statement += (Index == optind ? "" : " ") + std::string(Arguments[Index]);
  Options.m_ExitStatus = checkOptions(Options);
  return Options;
}

//--- Output ---

std::string_view formatOutcome(operators::Outcome Outcome) {
  switch (Outcome) {
  case operators::ACCEPTED:
    return "accepted";
  case operators::REFUSED:
    return "refused";
  default:
    return "uncertain";
  }
}

void printTable(const RunReply &Reply) {
  std::vector<size_t> Widths;
  for (const std::string &Column : Reply.columns())
    Widths.push_back(Column.size());
  for (const auto &Row : Reply.rows())
    for (int Index = 0; Index < std::min(Row.cells_size(), Reply.columns_size()); ++Index)
      Widths[Index] = std::max(Widths[Index], Row.cells(Index).size());
  auto PrintRow = [&](const auto &Cells) {
    std::string Line;
    for (int Index = 0; Index < std::min(Cells.size(), Reply.columns_size()); ++Index)
      Line += fmt::format("{:<{}}  ", Cells.Get(Index), Widths[Index]);
    Line.resize(Line.find_last_not_of(' ') + 1);
    std::cout << Line << "\n";
  };
  PrintRow(Reply.columns());
  for (const auto &Row : Reply.rows())
    PrintRow(Row.cells());
}

void printJson(const RunReply &Reply, const std::string &OperationId) {
  nlohmann::ordered_json Out = {{"outcome", formatOutcome(Reply.outcome())},
                                {"code", Reply.code()},
                                {"message", Reply.message()},
                                {"version", Reply.version()},
                                {"operation_id", OperationId}};
  if (Reply.code() == "syntax")
    Out["position"] = Reply.error_position();
  Out["rows"] = nlohmann::ordered_json::array();
  for (const auto &Row : Reply.rows()) {
    nlohmann::ordered_json Object = nlohmann::ordered_json::object();
    for (int Index = 0; Index < std::min(Row.cells_size(), Reply.columns_size()); ++Index)
      Object[Reply.columns(Index)] = Row.cells(Index);
    Out["rows"].push_back(std::move(Object));
  }
  std::cout << Out.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << "\n";
}

// Prints the cells separated by tabs, without a heading. For a new key, only its text is printed.
void printQuiet(const RunReply &Reply) {
  bool IsNewKey = Reply.columns_size() == 3 && Reply.columns(2) == "key";
  for (const auto &Row : Reply.rows())
    std::cout << (IsNewKey ? Row.cells(2) : fmt::format("{}", fmt::join(Row.cells(), "\t")))
              << "\n";
}

void printError(const RunReply &Reply, const std::string &Text, const std::string &OperationId) {
  if (Reply.code() == "syntax")
    std::cerr << Text << "\n" << std::string(Reply.error_position(), ' ') << "^\n";
  std::cerr << formatOutcome(Reply.outcome()) << ": " << Reply.code() << ": " << Reply.message()
            << "\n";
  if (Reply.outcome() == operators::UNCERTAIN)
    std::cerr << "repeat it with --operation-id=" << OperationId << "\n";
}

void printReply(const CtlSession &Session, const RunReply &Reply, const std::string &Text,
                const std::string &OperationId) {
  if (Session.m_Options.m_Format == OutputFormat::Json)
    return printJson(Reply, OperationId);
  if (Reply.outcome() != operators::ACCEPTED)
    return printError(Reply, Text, OperationId);
  if (Session.m_Options.m_Format == OutputFormat::Quiet)
    return printQuiet(Reply);
  if (Reply.columns_size() > 0)
    printTable(Reply);
  if (!Reply.message().empty())
    std::cout << Reply.code() << ": " << Reply.message()
              << (Reply.version() > 0 ? fmt::format(" (version {})", Reply.version()) : "") << "\n";
}

//--- Statements ---

std::string makeOperationId() {
  std::array<unsigned char, 16> Bytes{};
  RAND_bytes(Bytes.data(), Bytes.size());
  std::string Id = "ctl-";
  for (unsigned char Byte : Bytes)
    Id += fmt::format("{:02x}", Byte);
  return Id;
}

// Sends one statement, and retries it while its outcome is uncertain. Returns the last reply.
RunReply sendStatement(const CtlSession &Session, const std::string &Text, const std::string &Id) {
  operators::RunRequest Request;
  Request.set_text(Text);
  Request.set_operation_id(Id);
  Request.set_is_repeat(!Session.m_Options.m_OperationId.empty());
  RunReply LastReply = makeReply(operators::UNCERTAIN, "not_reached", "");
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::seconds(Session.m_Options.m_TimeoutSeconds));
    Context.AddMetadata(OperatorSecretKey, Session.m_Secret);
    RunReply Reply;
    grpc::Status Status = Session.m_Stub->Run(&Context, Request, &Reply);
    if (Status.error_code() == grpc::StatusCode::UNAUTHENTICATED && !Request.is_repeat())
      return makeReply(operators::REFUSED, "secret", Status.error_message());
    if (Status.ok() && Reply.outcome() != operators::UNCERTAIN)
      return Reply;
    LastReply = Status.ok()
                    ? Reply
                    : makeReply(operators::UNCERTAIN, "not_reached", Status.error_message());
    Request.set_is_repeat(true);
    std::this_thread::sleep_for(RetryDelay);
  }
  return LastReply;
}

int runStatement(const CtlSession &Session, const std::string &Text) {
  std::string Id =
      Session.m_Options.m_OperationId.empty() ? makeOperationId() : Session.m_Options.m_OperationId;
  RunReply Reply = sendStatement(Session, Text, Id);
  printReply(Session, Reply, Text, Id);
  if (Reply.outcome() == operators::ACCEPTED)
    return ExitAccepted;
  return Reply.outcome() == operators::REFUSED ? ExitRefused : ExitUncertain;
}

// Removes a comment and surrounding white space.
std::string trimLine(std::string Line) {
  Line.resize(std::min(Line.find('#'), Line.size()));
  size_t Begin = Line.find_first_not_of(" \t\r");
  if (Begin == std::string::npos)
    return "";
  return Line.substr(Begin, Line.find_last_not_of(" \t\r") + 1 - Begin);
}

int runLines(const CtlSession &Session, std::istream &Input) {
  std::string Line;
  while (std::getline(Input, Line)) {
    std::string Text = trimLine(Line);
    if (Text.empty())
      continue;
    if (int Status = runStatement(Session, Text); Status != ExitAccepted)
      return Status;
  }
  return ExitAccepted;
}

// Returns the exit status of the last statement.
int runPrompt(const CtlSession &Session) {
  bool IsTerminal = isatty(STDIN_FILENO) == 1;
  int Status = ExitAccepted;
  std::string Line;
  while (true) {
    if (IsTerminal)
      std::cout << "quetzalpaddle> " << std::flush;
    if (!std::getline(std::cin, Line))
      break;
    std::string Text = trimLine(Line);
    if (Text == "quit" || Text == "exit")
      break;
    if (Text == "help")
      std::cout << describeGrammar();
    else if (!Text.empty())
      Status = runStatement(Session, Text);
  }
  return Status;
}

// Reads a file and removes trailing newlines. Returns nothing if the file cannot be read.
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::stringstream Text;
  Text << File.rdbuf();
  std::string Content = Text.str();
  Content.resize(Content.find_last_not_of("\r\n") + 1);
  return Content;
}

} // namespace

int runCtl(int argc, char **argv) { // NOLINT(readability-identifier-naming)
  if (argc > 1 && std::string_view(argv[1]) == "where")
    return runCtlWhere(argc - 1, argv + 1);
  CtlSession Session;
  Session.m_Options = parseOptions(argc, argv);
  if (Session.m_Options.m_ExitStatus)
    return *Session.m_Options.m_ExitStatus;
  std::optional<std::string> Secret = readFile(Session.m_Options.m_SecretFile);
  if (!Secret || Secret->empty())
    return failUsage("the secret file " + Session.m_Options.m_SecretFile +
                     " cannot be read or is empty");
  Session.m_Secret = std::move(*Secret);
  std::shared_ptr<grpc::ChannelCredentials> Credentials = grpc::InsecureChannelCredentials();
  if (!Session.m_Options.m_IsPlainText) {
    grpc::SslCredentialsOptions Tls;
    if (!Session.m_Options.m_AuthorityFile.empty()) {
      std::optional<std::string> Authority = readFile(Session.m_Options.m_AuthorityFile);
      if (!Authority)
        return failUsage("the file " + Session.m_Options.m_AuthorityFile + " cannot be read");
      Tls.pem_root_certs = *Authority;
    }
    Credentials = grpc::SslCredentials(Tls);
  }
  Session.m_Stub =
      operators::Operator::NewStub(grpc::CreateChannel(Session.m_Options.m_Address, Credentials));
  if (!Session.m_Options.m_Statement.empty())
    return runStatement(Session, Session.m_Options.m_Statement);
  if (!Session.m_Options.m_File)
    return runPrompt(Session);
  if (*Session.m_Options.m_File == "-")
    return runLines(Session, std::cin);
  std::ifstream Input(*Session.m_Options.m_File);
  if (!Input)
    return failUsage("the file " + *Session.m_Options.m_File + " cannot be read");
  return runLines(Session, Input);
}

} // namespace quetzalpaddle
