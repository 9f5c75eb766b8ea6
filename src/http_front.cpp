// HTTP front end for callers: paths, headers and JSON bodies of the API.
//
// Index of this file:
// [SECTION] Statements
// [SECTION] Headers
// [SECTION] Paths
// [SECTION] Answers
// [SECTION] Front end
#include "http_front.h"

#include "log.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace quetzalpaddle {

namespace {

using Json = nlohmann::ordered_json;

// Limits the time that a request holds a slot. Callers that need more statements can use a
// transaction.
constexpr size_t MaxStatements = 128;
// Objects, lists and commas in a body. A statement has an object and up to five fields, so a valid
// body has at most 128 * 6 + 2.
constexpr size_t MaxBodyParts = MaxStatements * 8;
constexpr size_t MaxNameLength = 128;
constexpr size_t MaxKeyLength = 1024; // of a row's key, in bytes
constexpr uint32_t MaxScanLimit = 10000;
constexpr uint32_t DefaultScanLimit = 100;
constexpr size_t BodyHashSize = 8;
constexpr Millis MaxStatedAge = std::chrono::hours(24);

Refusal makeBadRequest(std::string Message) {
  return {400, Reason::BadRequest, std::move(Message)};
}

bool isValidName(std::string_view Text, size_t MaxLength) {
  return !Text.empty() && Text.size() <= MaxLength &&
         std::ranges::all_of(Text, [](unsigned char L) {
           return std::isalnum(L) != 0 || L == '.' || L == '-' || L == '_' || L == ':';
         });
}

//-----------------------------------------------------------------------------
// [SECTION] Statements
//-----------------------------------------------------------------------------

struct OpRule {
  std::string_view m_Name;
  instance::Op m_Op;
  bool m_IsWrite;
  bool m_TakesValue; // takes "value"
};
constexpr std::array<OpRule, 6> OpRules = {{
    {"get", instance::OP_GET, false, false},
    {"put", instance::OP_PUT, true, true},
    {"insert", instance::OP_INSERT, true, true},
    {"delete", instance::OP_DELETE, true, false},
    {"add", instance::OP_ADD, true, true},
    {"scan", instance::OP_SCAN, false, false},
}};

bool isInteger(std::string_view Text) {
  int64_t Value = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size();
}

// parseText(), parseValue(), parseLimit() and parseStatement() return an error message that
// continues "statement N", or an empty string.
std::string parseText(const Json &Object, const char *Field, std::string &Text) {
  auto Found = Object.find(Field);
  if (Found == Object.end())
    return std::string("lacks \"") + Field + "\"";
  if (!Found->is_string())
    return std::string("has a \"") + Field + "\" that is not a text";
  Text = Found->get<std::string>();
  return "";
}

std::string parseValue(const Json &Object, const OpRule &Rule, instance::Statement &Stmt) {
  if (!Rule.m_TakesValue)
    return Object.contains("value") ? "takes no \"value\"" : "";
  auto Found = Object.find("value");
  if (Rule.m_Op == instance::OP_ADD && Found != Object.end() && Found->is_number_integer()) {
    Stmt.set_value(Found->dump());
    return isInteger(Stmt.value()) ? "" : "has a \"value\" beyond 64 bits";
  }
  std::string Text;
  std::string Problem = parseText(Object, "value", Text);
  if (Problem.empty() && Rule.m_Op == instance::OP_ADD && !isInteger(Text))
    Problem = "has a \"value\" that is not a whole number";
  Stmt.set_value(std::move(Text));
  return Problem;
}

std::string parseLimit(const Json &Object, const OpRule &Rule, instance::Statement &Stmt) {
  auto Found = Object.find("limit");
  bool IsScan = Rule.m_Op == instance::OP_SCAN;
  if (Found == Object.end()) {
    Stmt.set_limit(IsScan ? DefaultScanLimit : 0);
    return "";
  }
  if (!IsScan)
    return "takes no \"limit\"";
  if (!Found->is_number_unsigned() || Found->get<uint64_t>() < 1 ||
      Found->get<uint64_t>() > MaxScanLimit)
    return "needs a \"limit\" from 1 to " + std::to_string(MaxScanLimit);
  Stmt.set_limit(Found->get<uint32_t>());
  return "";
}

std::string parseStatement(const Json &Object, bool IsReadOnly, instance::Statement &Stmt) {
  if (!Object.is_object())
    return "is not an object";
  constexpr std::array<std::string_view, 5> Known = {"op", "table", "key", "value", "limit"};
  for (const auto &[Name, Value] : Object.items())
    if (std::ranges::find(Known, Name) == Known.end())
      return "has an unknown field; known are op, table, key, value and limit";
  std::string Op;
  std::string Table;
  std::string Key;
  if (std::string Problem = parseText(Object, "op", Op); !Problem.empty())
    return Problem;
  auto Rule = std::ranges::find(OpRules, Op, &OpRule::m_Name);
  if (Rule == OpRules.end())
    return "has an unknown \"op\"; known are get, put, insert, delete, add and scan";
  if (IsReadOnly && Rule->m_IsWrite)
    return "writes; a read takes only get and scan";
  if (std::string Problem = parseText(Object, "table", Table); !Problem.empty())
    return Problem;
  if (std::string Problem = parseText(Object, "key", Key); !Problem.empty())
    return Problem;
  if (Table.empty() || Table.size() > MaxNameLength)
    return "needs a \"table\" of 1 to 128 bytes";
  if ((Key.empty() && Rule->m_Op != instance::OP_SCAN) || Key.size() > MaxKeyLength)
    return "needs a \"key\" of 1 to 1024 bytes";
  Stmt.set_op(Rule->m_Op);
  Stmt.set_table(Table);
  Stmt.set_key(Key);
  std::string Problem = parseValue(Object, *Rule, Stmt);
  return Problem.empty() ? parseLimit(Object, *Rule, Stmt) : Problem;
}

// Returns whether a body has more parts than a valid one. It is checked before the body is parsed,
// since the parsed form of "{}," takes about twenty times the memory of its text.
bool hasTooManyParts(std::string_view Body) {
  size_t PartCount = 0;
  bool IsInString = false;
  for (size_t Index = 0; Index < Body.size() && PartCount <= MaxBodyParts; ++Index) {
    char Byte = Body[Index];
    if (Byte == '"')
      IsInString = !IsInString;
    else if (IsInString)
      Index += Byte == '\\' ? 1 : 0;
    else
      PartCount += Byte == ',' || Byte == '{' || Byte == '[' ? 1 : 0;
  }
  return PartCount > MaxBodyParts;
}

std::optional<Refusal> parseStatements(const std::string &Body, bool IsReadOnly,
                                       CallerRequest &Req) {
  if (hasTooManyParts(Body))
    return makeBadRequest("the body has more parts than " + std::to_string(MaxStatements) +
                          " statements can have");
  Json Root;
  try {
    Root = Json::parse(Body);
  } catch (const Json::parse_error &Error) {
    return makeBadRequest("the body is not JSON, at byte " + std::to_string(Error.byte));
  } catch (const Json::out_of_range &) {
    return makeBadRequest("the body contains a number that is out of range");
  }
  if (!Root.is_object() || Root.size() != 1 || !Root.contains("statements") ||
      !Root["statements"].is_array())
    return makeBadRequest("the body must be {\"statements\": [...]}");
  const Json &List = Root["statements"];
  if (List.empty() || List.size() > MaxStatements)
    return makeBadRequest("a request has 1 to " + std::to_string(MaxStatements) + " statements");
  for (size_t Index = 0; Index < List.size(); ++Index) {
    instance::Statement Stmt;
    std::string Problem = parseStatement(List[Index], IsReadOnly, Stmt);
    if (!Problem.empty())
      return makeBadRequest("statement " + std::to_string(Index + 1) + " " + Problem);
    Req.m_Statements.push_back(std::move(Stmt));
  }
  return std::nullopt;
}

// Hashes the parsed statements instead of the JSON text, so that a repeated request is recognized
// even if it is formatted differently.
std::string hashBody(const CallerRequest &Req) {
  std::string Bytes = Req.m_Transaction + '\n';
  for (const instance::Statement &Stmt : Req.m_Statements) {
    Bytes += std::to_string(Stmt.op()) + ' ' + std::to_string(Stmt.limit());
    for (const std::string &Part : {Stmt.table(), Stmt.key(), Stmt.value()})
      Bytes += ' ' + std::to_string(Part.size()) + ':' + Part;
    Bytes += '\n';
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(), Digest.data());
  return {Digest.begin(), Digest.begin() + BodyHashSize};
}

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

void wipeText(std::string &Text) {
  OPENSSL_cleanse(Text.data(), Text.size());
  Text.clear();
}

// Overwrites the values of all headers, one of which contains the key, on every exit from the
// scope.
struct WipeGuard {
  HttpRequest &m_Input;
  explicit WipeGuard(HttpRequest &Input) : m_Input(Input) {}
  WipeGuard(const WipeGuard &) = delete;
  WipeGuard &operator=(const WipeGuard &) = delete;
  ~WipeGuard() {
    for (auto &Header : m_Input.m_Headers)
      wipeText(Header.second);
  }
};

// Refuses repeated headers: a proxy in front of this host could use another one of them than this
// host does.
std::optional<Refusal> checkRepeatedHeaders(const HttpRequest &Input) {
  for (std::string_view Name : {"Authorization", "Session-Token", "Request-Id", "Max-Age-Ms",
                                "Request-Timeout-Ms", "Content-Type"}) {
    auto Same = [Name](const auto &Header) {
      return boost::beast::iequals(Header.first, {Name.data(), Name.size()});
    };
    if (std::ranges::count_if(Input.m_Headers, Same) > 1)
      return makeBadRequest("the header " + std::string(Name) + " is given twice");
  }
  return std::nullopt;
}

std::optional<Refusal> parseMillis(const HttpRequest &Input, std::string_view Name, Millis MinValue,
                                   std::optional<Millis> &Value) {
  const std::string *Text = findHeader(Input, Name);
  if (!Text)
    return std::nullopt;
  uint32_t Number = 0;
  auto [End, Error] = std::from_chars(Text->data(), Text->data() + Text->size(), Number);
  if (Error != std::errc() || End != Text->data() + Text->size() || Millis(Number) < MinValue)
    return makeBadRequest("the header " + std::string(Name) + " must be a number of milliseconds");
  Value = Millis(Number);
  return std::nullopt;
}

std::optional<Refusal> parseKey(HttpRequest &Input, CallerRequest &Req) {
  constexpr std::string_view Scheme = "Bearer ";
  auto Found = std::ranges::find_if(Input.m_Headers, [](const auto &Header) {
    return boost::beast::iequals(Header.first, "Authorization");
  });
  if (Found == Input.m_Headers.end())
    return std::nullopt;
  std::string_view Text = Found->second;
  bool IsBearer =
      Text.size() > Scheme.size() &&
      boost::beast::iequals({Text.data(), Scheme.size()}, {Scheme.data(), Scheme.size()});
  if (!IsBearer)
    return Refusal{401, Reason::BadKey, "the header Authorization must be \"Bearer KEY\""};
  Req.m_KeyText = Text.substr(Scheme.size());
  return std::nullopt;
}

std::optional<Refusal> parseHeaders(HttpRequest &Input, const FrontSettings &Limits,
                                    CallerRequest &Req) {
  if (auto Problem = checkRepeatedHeaders(Input))
    return Problem;
  if (const std::string *Token = findHeader(Input, "Session-Token"))
    Req.m_Token = *Token;
  if (const std::string *Id = findHeader(Input, "Request-Id")) {
    if (!isValidName(*Id, MaxNameLength))
      return makeBadRequest("the header Request-Id must be 1 to 128 letters, digits, '.', '-', '_' "
                            "or ':'");
    Req.m_RequestId = *Id;
  }
  if (auto Problem = parseMillis(Input, "Max-Age-Ms", Millis(0), Req.m_MaxAge))
    return Problem;
  if (Req.m_MaxAge && (Req.m_Kind != RequestKind::Read || *Req.m_MaxAge > MaxStatedAge))
    return makeBadRequest("the header Max-Age-Ms is for reads, up to 24 hours");
  if (auto Problem = parseMillis(Input, "Request-Timeout-Ms", Millis(1), Req.m_Timeout))
    return Problem;
  Req.m_Timeout =
      std::min(Req.m_Timeout.value_or(Limits.m_RequestTimeout), Limits.m_MaxRequestTimeout);
  return parseKey(Input, Req);
}

//-----------------------------------------------------------------------------
// [SECTION] Paths
//-----------------------------------------------------------------------------

std::vector<std::string_view> splitPath(std::string_view Target) {
  std::vector<std::string_view> Parts;
  while (!Target.empty() && Target.front() == '/') {
    Target.remove_prefix(1);
    size_t End = std::min(Target.find('/'), Target.size());
    Parts.push_back(Target.substr(0, End));
    Target.remove_prefix(End);
  }
  return Parts;
}

struct PathRule {
  RequestKind m_Kind;
  std::string_view m_Method;
  std::string_view m_Collection;
  std::string_view m_Action; // last part of the path, may be empty
  bool m_HasId;              // the collection is followed by an id
  bool m_HasStatements;      // the body contains statements
};
constexpr std::array<PathRule, 7> PathRules = {{
    {RequestKind::Read, "POST", "read", "", false, true},
    {RequestKind::Write, "POST", "write", "", false, true},
    {RequestKind::Begin, "POST", "transactions", "", false, false},
    {RequestKind::Statement, "POST", "transactions", "statements", true, true},
    {RequestKind::Commit, "POST", "transactions", "commit", true, false},
    {RequestKind::Abort, "POST", "transactions", "abort", true, false},
    {RequestKind::Outcome, "GET", "requests", "", true, false},
}};

std::variant<PathRule, Refusal> parsePath(const HttpRequest &Input, CallerRequest &Req) {
  Refusal NotFound{404, Reason::BadRequest, "there is no such resource"};
  std::vector<std::string_view> Parts = splitPath(Input.m_Target);
  if (Parts.size() < 4 || Parts.size() > 6 || Parts[0] != "v1" || Parts[1] != "routes")
    return NotFound;
  if (!isValidName(Parts[2], MaxNameLength))
    return Refusal{404, Reason::NoRoute, "there is no such route"};
  std::string_view Action = Parts.size() == 6 ? Parts[5] : "";
  auto Found = std::ranges::find_if(PathRules, [&](const PathRule &Rule) {
    size_t Length = 4 + (Rule.m_HasId ? 1 : 0) + (Rule.m_Action.empty() ? 0 : 1);
    return Rule.m_Collection == Parts[3] && Rule.m_Action == Action && Length == Parts.size();
  });
  if (Found == PathRules.end())
    return NotFound;
  if (Input.m_Method != Found->m_Method)
    return Refusal{405, Reason::BadRequest,
                   "this resource takes " + std::string(Found->m_Method) + " only"};
  Req.m_Kind = Found->m_Kind;
  Req.m_Route = Parts[2];
  if (Found->m_HasId) {
    if (!isValidName(Parts[4], MaxNameLength))
      return NotFound;
    (Req.m_Kind == RequestKind::Outcome ? Req.m_RequestId : Req.m_Transaction) = Parts[4];
  }
  return *Found;
}

std::optional<Refusal> parseBody(const HttpRequest &Input, const PathRule &Rule,
                                 CallerRequest &Req) {
  if (!Rule.m_HasStatements) {
    if (Input.m_Body.empty() || Input.m_Body == "{}")
      return std::nullopt;
    return makeBadRequest("this request takes no body");
  }
  const std::string *Type = findHeader(Input, "Content-Type");
  std::string_view Media = Type ? *Type : std::string_view("application/json");
  Media = Media.substr(0, Media.find(';'));
  if (!boost::beast::iequals({Media.data(), Media.size()}, "application/json"))
    return Refusal{415, Reason::BadRequest, "the content must be application/json"};
  return parseStatements(Input.m_Body, Req.m_Kind == RequestKind::Read, Req);
}

} // namespace

std::variant<CallerRequest, Refusal> parseCallerRequest(HttpRequest Input,
                                                        const FrontSettings &Limits) {
  WipeGuard Wipe(Input);
  CallerRequest Req;
  Req.m_ConnectionId = Input.m_ConnectionId;
  auto Rule = parsePath(Input, Req);
  if (auto *Problem = std::get_if<Refusal>(&Rule))
    return *Problem;
  std::string PathId = Req.m_RequestId;
  std::optional<Refusal> Problem = parseHeaders(Input, Limits, Req);
  if (!Problem && !PathId.empty() && PathId != Req.m_RequestId)
    Problem = makeBadRequest("the header Request-Id differs from the path");
  if (!Problem)
    Problem = parseBody(Input, std::get<PathRule>(Rule), Req);
  if (Problem) {
    wipeText(Req.m_KeyText);
    return *Problem;
  }
  // An outcome request carries only the request id; the original body is not known here.
  if (Req.m_Kind != RequestKind::Outcome)
    Req.m_BodyHash = hashBody(Req);
  return Req;
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

unsigned chooseStatus(AnswerClass Class, Reason ReasonCode) {
  if (Class == AnswerClass::Done)
    return 200;
  if (Class == AnswerClass::Unknown)
    return 504;
  switch (ReasonCode) {
  case Reason::BadRequest:
  case Reason::BadToken:
    return 400;
  case Reason::NoKey:
  case Reason::BadKey:
  case Reason::KeyWithdrawn:
    return 401;
  case Reason::RouteDenied:
  case Reason::ReadOnlyRoute:
    return 403;
  case Reason::NoRoute:
  case Reason::NoTransaction:
    return 404;
  case Reason::StatementFailed:
  case Reason::RequestIdReused:
  case Reason::TransactionAborted:
    return 409;
  case Reason::TooLarge:
    return 413;
  case Reason::RateLimited:
    return 429;
  default:
    return 503;
  }
}

namespace {

std::string_view formatClass(AnswerClass Class) {
  switch (Class) {
  case AnswerClass::Done:
    return "done";
  case AnswerClass::NotRun:
    return "not_run";
  case AnswerClass::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace

namespace {

std::string formatJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Appends the member "rows". Formats one row at a time, since rows take most of a large answer and
// a tree of all of them would be another copy.
void appendRows(std::string &Text, const std::vector<instance::Row> &Rows) {
  size_t Bytes = 1024; // for the other members
  for (const instance::Row &Row : Rows)
    Bytes += Row.ByteSizeLong() + 64; // 64: names and punctuation
  Text.reserve(Text.size() + Bytes);
  Text += ",\"rows\":[";
  for (const instance::Row &Row : Rows) {
    Text += Text.back() == '[' ? "" : ",";
    Text += formatJson({{"table", Row.table()},
                        {"key", Row.key()},
                        {"value", Row.value()},
                        {"found", Row.found()}});
  }
  Text += "]";
}

// Rounds up, since the header has whole seconds and a caller that returns too early is refused
// again.
std::string formatRetryAfter(Millis Delay) {
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Delay);
  return std::to_string(std::max(Seconds, std::chrono::seconds(1)).count());
}

} // namespace

HttpResponse formatAnswer(const CallerAnswer &Answer) {
  Json Body = {{"class", formatClass(Answer.m_Class)}, {"reason", reasonName(Answer.m_Reason)}};
  auto AddText = [&Body](const char *Name, const std::string &Text) {
    if (!Text.empty())
      Body[Name] = Text;
  };
  AddText("message", Answer.m_Message);
  HttpResponse Output;
  Output.m_Body = formatJson(Body);
  Output.m_Body.pop_back(); // the closing brace
  Body = Json::object();
  if (Answer.m_Class == AnswerClass::Done) {
    appendRows(Output.m_Body, Answer.m_Rows);
    Body["replayed"] = Answer.m_IsReplayed;
    Body["replica"] = Answer.m_IsFromReplica;
  }
  AddText("request_id", Answer.m_RequestId);
  AddText("transaction", Answer.m_Transaction);
  AddText("instance", Answer.m_Instance);
  std::string End = Body.empty() ? "}" : formatJson(Body).replace(0, 1, ",");
  Output.m_Body.append(End).append("\n");
  Output.m_Status = chooseStatus(Answer.m_Class, Answer.m_Reason);
  Output.m_Tag = Answer.m_KeyId;
  if (!Answer.m_Token.empty())
    Output.m_Headers.emplace_back("Session-Token", Answer.m_Token);
  if (!Answer.m_RequestId.empty())
    Output.m_Headers.emplace_back("Request-Id", Answer.m_RequestId);
  if (Output.m_Status == 401)
    Output.m_Headers.emplace_back("WWW-Authenticate", "Bearer");
  if (Output.m_Status == 429 || Output.m_Status == 503)
    Output.m_Headers.emplace_back("Retry-After", formatRetryAfter(Answer.m_RetryAfter));
  return Output;
}

//-----------------------------------------------------------------------------
// [SECTION] Front end
//-----------------------------------------------------------------------------

struct HttpFront {
  std::shared_ptr<HttpServer> m_Server;
};

namespace {

HttpResponse formatRefusal(const std::shared_ptr<Metrics> &Counters, const Refusal &Rejection,
                           AnswerClass Class = AnswerClass::NotRun) {
  CallerAnswer Answer;
  Answer.m_Class = Class;
  Answer.m_Reason = Rejection.m_RefusalReason;
  Answer.m_Message = Rejection.m_Message;
  HttpResponse Output = formatAnswer(Answer);
  Output.m_Status = Rejection.m_Status;
  if (Counters)
    countAnswer(*Counters, "none", "none", Class, Rejection.m_RefusalReason, Duration::zero(),
                false);
  return Output;
}

HttpResponse makeErrorResponse(const std::shared_ptr<Metrics> &Counters, HttpError ErrorKind,
                               const std::string &Message) {
  switch (ErrorKind) {
  case HttpError::Malformed:
    return formatRefusal(Counters, {400, Reason::BadRequest, Message});
  case HttpError::HeaderTooLarge:
    return formatRefusal(Counters, {431, Reason::TooLarge, Message});
  case HttpError::BodyTooLarge:
    return formatRefusal(Counters, {413, Reason::TooLarge, Message});
  case HttpError::ReadTimeout:
    return formatRefusal(Counters, {408, Reason::BadRequest, Message});
  case HttpError::Overloaded:
    return formatRefusal(Counters, {503, Reason::Overloaded, Message});
  case HttpError::HandlerTimeout:
  case HttpError::AnswerDropped:
    break;
  }
  return formatRefusal(Counters, {504, Reason::OutcomeUnknown, Message}, AnswerClass::Unknown);
}

} // namespace

std::variant<std::shared_ptr<HttpFront>, std::string>
openHttpFront(const ListenSettings &Listen, const FrontSettings &Limits, RequestHandler Handler,
              const std::shared_ptr<Metrics> &Counters) {
  HttpService Service;
  Service.m_MakeErrorResponse = [Counters](HttpError ErrorKind, const std::string &Message) {
    return makeErrorResponse(Counters, ErrorKind, Message);
  };
  Service.m_ReportLimit = [Counters](std::string_view Limit, const std::string &Peer) {
    if (Counters)
      countEvent(*Counters, "http_" + std::string(Limit));
    logLine(LogLevel::Warning, "http_limit", {{"limit", std::string(Limit)}, {"peer", Peer}});
  };
  Service.m_HandleRequest = [Handler = std::move(Handler), Limits,
                             Counters](HttpRequest Input, std::function<void(HttpResponse)> Reply) {
    auto Parsed = parseCallerRequest(std::move(Input), Limits);
    if (auto *Rejection = std::get_if<Refusal>(&Parsed)) {
      Reply(formatRefusal(Counters, *Rejection));
      return;
    }
    Handler(std::move(std::get<CallerRequest>(Parsed)),
            [Reply = std::move(Reply)](const CallerAnswer &A) { Reply(formatAnswer(A)); });
  };
  auto Started = startHttpServer(Listen, Limits, std::move(Service));
  if (auto *Problem = std::get_if<std::string>(&Started))
    return *Problem;
  auto Front = std::make_shared<HttpFront>();
  Front->m_Server = std::get<std::shared_ptr<HttpServer>>(Started);
  return Front;
}

uint16_t getFrontPort(const HttpFront &Front) { return getServerPort(*Front.m_Server); }

void beginDrain(HttpFront &Front, Duration Notice) { drainServer(*Front.m_Server, Notice); }

size_t countOpenConnections(const HttpFront &Front) { return countConnections(*Front.m_Server); }

size_t countRequestsInProgress(const HttpFront &Front) { return countRequests(*Front.m_Server); }

size_t countBufferedBytes(const HttpFront &Front) { return countBufferedBytes(*Front.m_Server); }

void closeKeyConnections(HttpFront &Front, const std::string &KeyId) {
  closeTaggedConnections(*Front.m_Server, KeyId);
}

std::optional<std::string> reloadCertificates(HttpFront &Front) {
  return reloadServerCertificates(*Front.m_Server);
}

} // namespace quetzalpaddle
