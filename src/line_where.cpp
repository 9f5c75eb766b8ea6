// Answers /where at the admin address.
#include "line_where.h"

#include "explain.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace quetzalpaddle {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

std::optional<std::string> decodePercent(std::string_view Text) {
  std::string Result;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Result += Text[Index];
      continue;
    }
    unsigned Value = 0;
    std::string_view Digits = Text.substr(std::min(Index + 1, Text.size()), 2);
    auto [End, Error] = std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value, 16);
    if (Digits.size() != 2 || Error != std::errc() || End != Digits.data() + 2)
      return std::nullopt;
    Result += static_cast<char>(Value);
    Index += 2;
  }
  return Result;
}

// Parses TERM.INDEX.
std::optional<Position> parsePosition(std::string_view Text) {
  Position Result;
  const char *End = Text.data() + Text.size();
  auto [Dot, TermError] = std::from_chars(Text.data(), End, Result.m_Term);
  if (TermError != std::errc() || Dot == End || *Dot != '.')
    return std::nullopt;
  auto [Last, IndexError] = std::from_chars(Dot + 1, End, Result.m_Index);
  return IndexError == std::errc() && Last == End ? std::optional(Result) : std::nullopt;
}

std::string_view kindName(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Primary:
    return "primary";
  case RouteKind::BoundedStaleness:
    return "bounded_staleness";
  case RouteKind::ReadYourWrites:
    return "read_your_writes";
  }
  return "unknown";
}

Json formatPosition(const std::optional<Position> &Value) {
  return Value ? Json(std::to_string(Value->m_Term) + "." + std::to_string(Value->m_Index))
               : Json(nullptr);
}

double toMs(Duration Time) { return std::chrono::duration<double, std::milli>(Time).count(); }

Json formatCandidate(const CandidateExplanation &Candidate) {
  return {
      {"instance", Candidate.m_Instance},
      {"data_centre", Candidate.m_DataCentre},
      {"primary", Candidate.m_IsPrimary},
      {"share", Candidate.m_Share},
      {"excluded", exclusionName(Candidate.m_Exclusion)},
      {"back_off_ms", toMs(Candidate.m_BackOff)},
      {"wait_ms", toMs(Candidate.m_ReportedWait)},
      {"wait_age_ms", Candidate.m_ReportAge ? Json(toMs(*Candidate.m_ReportAge)) : Json(nullptr)},
      {"own_wait_ms", toMs(Candidate.m_OwnWait)},
      {"penalty_ms", toMs(Candidate.m_Penalty)}};
}

Json formatRate(const LineHost &Host, const std::string &Customer, TimePoint Now) {
  if (Customer.empty())
    return nullptr;
  auto Usage = Host.m_Usage.m_Customers.find(Customer);
  bool IsLimited = Usage != Host.m_Usage.m_Customers.end();
  auto Throttle = Host.m_Throttle.m_Customers.find(Customer);
  bool IsThrottled = Throttle != Host.m_Throttle.m_Customers.end();
  return {{"customer", Customer},
          {"admits", wouldAdmitRequest(Host.m_Usage, Customer, Now)},
          {"level", IsLimited ? Json(Usage->second.m_Tokens) : Json(nullptr)},
          {"refused_here_share",
           IsThrottled ? throttleProbability(Throttle->second, ThrottleSettings{}) : 0}};
}

Json formatDispatch(LineHost &Host, const WhereQuery &Query, const LineRoute &Route,
                    const std::string &Instance) {
  line::RunRequest Request;
  Request.set_group(Route.m_Group);
  Request.set_instance(Instance);
  Request.set_customer(Query.m_Customer);
  Request.set_priority(Route.m_Priority);
  Request.set_wait_ms(static_cast<uint32_t>(Route.m_Timeout.count()));
  Request.set_goal_ms(static_cast<uint32_t>(std::max(Route.m_TargetLatency, Millis(1)).count()));
  Request.set_write(Query.m_IsWrite);
  DispatchExplanation Result = explainDispatch(Host, Request);
  return {{"refusal", reasonName(Result.m_Refusal)},
          {"displaces", Result.m_Displaces},
          {"queued", Result.m_QueuedCount},
          {"running", Result.m_RunningCount},
          {"slots", Result.m_SlotCount},
          {"wait_ms", toMs(Result.m_ExpectedWait)}};
}

HttpResponse makeError(unsigned Status, std::string Message) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_ContentType = "text/plain; charset=utf-8";
  Response.m_Body = std::move(Message) + "\n";
  return Response;
}

HttpResponse explainQuery(LineHost &Host, const WhereQuery &Query, const LineRoute &Route,
                          const LineGroup &Group) {
  TimePoint Now = bootNow();
  TargetQuery Choice;
  Choice.m_Route = &Route;
  Choice.m_IsWrite = Query.m_IsWrite;
  Choice.m_IsPrimaryOnly = needsPrimary(Route, Query.m_IsWrite, false);
  Choice.m_ArrivedAt = Now;
  Choice.m_HasCommitted = Query.m_Position.has_value();
  Choice.m_CommitPosition = Query.m_Position;
  Choice.m_DataCentre = Host.m_Settings.m_DataCentre;
  TargetExplanation Result = explainTarget(Group, Choice, Now);
  std::string Instance = Result.m_Target ? Result.m_Target->m_Instance : "";
  const LineInstance *Target = findInstance(Host, Instance);
  std::string Dispatcher = Target ? findDispatcher(Host, *Target, {}, Now) : "";
  bool IsLocal = !Dispatcher.empty() && Dispatcher == Host.m_Members.m_Self;
  Json Candidates = Json::array();
  for (const CandidateExplanation &Candidate : Result.m_Candidates)
    Candidates.push_back(formatCandidate(Candidate));
  Json Output = {{"host", Host.m_Settings.m_Host},
                 {"stop_phase", stopPhaseName(currentStopPhase(Host))},
                 {"database", Query.m_Database},
                 {"verb", Query.m_IsWrite ? "write" : "read"},
                 {"route",
                  {{"name", Route.m_Name},
                   {"group", Route.m_Group},
                   {"kind", kindName(Route.m_Kind)},
                   {"max_staleness_ms", Route.m_MaxStaleness.count()},
                   {"priority", Route.m_Priority}}},
                 {"required_position", formatPosition(Result.m_MinPosition)},
                 {"instance", Instance.empty() ? Json(nullptr) : Json(Instance)},
                 {"confirms_primary", Result.m_Target && Result.m_Target->m_HasToConfirmPrimary},
                 {"no_instance", noTargetName(Result.m_NoTarget)},
                 {"candidates", std::move(Candidates)},
                 {"dispatcher", Dispatcher.empty() ? Json(nullptr) : Json(Dispatcher)},
                 {"rate", formatRate(Host, Query.m_Customer, Now)},
                 {"queue", IsLocal ? formatDispatch(Host, Query, Route, Instance) : Json(nullptr)}};
  HttpResponse Response;
  Response.m_Body = Output.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return Response;
}

} // namespace

std::variant<WhereQuery, std::string> parseWhereQuery(std::string_view Text) {
  WhereQuery Result;
  std::map<std::string, std::string> Values;
  while (!Text.empty()) {
    std::string_view Part = Text.substr(0, Text.find('&'));
    Text.remove_prefix(std::min(Part.size() + 1, Text.size()));
    size_t Equals = Part.find('=');
    std::string Name(Part.substr(0, Equals));
    if (Name != "database" && Name != "verb" && Name != "position" && Name != "customer")
      return "known parameters are database, verb, position and customer";
    auto Value = decodePercent(Equals == std::string_view::npos ? "" : Part.substr(Equals + 1));
    if (!Value || Value->empty())
      return "the value of " + Name + " is empty or malformed";
    if (!Values.emplace(Name, *Value).second)
      return Name + " is given twice";
  }
  if (!Values.contains("database") || !Values.contains("verb"))
    return "database and verb are needed";
  if (Values["verb"] != "read" && Values["verb"] != "write")
    return "verb must be read or write";
  if (Values.contains("position")) {
    Result.m_Position = parsePosition(Values["position"]);
    if (!Result.m_Position)
      return "position must be TERM.INDEX";
  }
  Result.m_Database = Values["database"];
  Result.m_IsWrite = Values["verb"] == "write";
  Result.m_Customer = Values["customer"];
  return Result;
}

HttpResponse answerWhere(LineHost &Host, std::string_view Query) {
  auto Parsed = parseWhereQuery(Query);
  if (auto *Problem = std::get_if<std::string>(&Parsed))
    return makeError(BadRequest, *Problem);
  const auto &Where = std::get<WhereQuery>(Parsed);
  if (!canUseConfig(Host, bootNow()))
    return makeError(Unavailable, "no configuration yet");
  auto Route = Host.m_Config->m_Routes.find(Where.m_Database);
  if (Route == Host.m_Config->m_Routes.end())
    return makeError(NotFound, "no such database");
  if (!Where.m_Customer.empty() && !Host.m_Config->m_Customers.contains(Where.m_Customer))
    return makeError(NotFound, "no such customer");
  auto Group = Host.m_Groups.find(Route->second.m_Group);
  if (Group == Host.m_Groups.end())
    return makeError(NotFound, "no instance of the group of the route is known");
  return explainQuery(Host, Where, Route->second, Group->second);
}

} // namespace quetzalpaddle
