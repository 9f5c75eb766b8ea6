#include "settings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <regex>

using namespace quetzalpaddle;

namespace {

using Errors = std::vector<SettingsError>;

// Returns the printed example with the matches of a pattern replaced.
std::string changeExample(const std::string &Pattern, const std::string &Replacement) {
  std::string Text = formatDefaultSettings();
  std::string ChangedText = std::regex_replace(Text, std::regex(Pattern), Replacement);
  cr_assert(ChangedText != Text, "%s is not in the example", Pattern.c_str());
  return ChangedText;
}

Errors parseErrors(const std::string &Text) {
  auto ParseResult = parseSettings(Text, "test.json");
  return std::holds_alternative<Errors>(ParseResult) ? std::get<Errors>(ParseResult) : Errors{};
}

void expectError(const std::string &Text, const std::string &Field,
                 const std::string &MessagePart) {
  Errors FoundErrors = parseErrors(Text);
  bool IsReported = std::ranges::any_of(FoundErrors, [&](const SettingsError &Error) {
    return Error.m_Field == Field && Error.m_Message.find(MessagePart) != std::string::npos;
  });
  cr_assert(IsReported, "%s: %s is not among %zu errors", Field.c_str(), MessagePart.c_str(),
            FoundErrors.size());
}

} // namespace

// Guards against an example that does not parse or that shows other values than the defaults.
Test(settings, exampleParsesToDefaults) {
  auto ParseResult = parseSettings(formatDefaultSettings(), "example");
  for (const SettingsError &Error : parseErrors(formatDefaultSettings()))
    cr_log_error("%u %s %s", Error.m_Line, Error.m_Field.c_str(), Error.m_Message.c_str());
  cr_assert(std::holds_alternative<Settings>(ParseResult));
  const auto &Example = std::get<Settings>(ParseResult);
  Settings Defaults;
  cr_assert(Example.m_Front.m_MaxHeaderBytes == Defaults.m_Front.m_MaxHeaderBytes);
  cr_assert(Example.m_Rate.m_LeaseDuration == Defaults.m_Rate.m_LeaseDuration);
  cr_assert(Example.m_Rate.m_DriftMargin == Defaults.m_Rate.m_DriftMargin);
  cr_assert(Example.m_Failover.m_SuspectTimeout == Defaults.m_Failover.m_SuspectTimeout);
  cr_assert(Example.m_Sync.m_CutOffLimit == Defaults.m_Sync.m_CutOffLimit);
  cr_assert(Example.m_PlatformAddresses.size() == 1);
}

// Guards against a report that stops at the first error, or that states the wrong line.
Test(settings, allErrorsAreReportedWithLines) {
  std::string Text = "{\n"
                     "  // a comment\n"
                     "  \"host\": \"host 1\",\n"
                     "  \"front\": {\n"
                     "    \"idle_timeout\": \"60\",\n"
                     "    \"max_body_bytes\": 5,\n"
                     "    \"max_connections\": 0 },\n"
                     "  \"log_json\": \"yes\",\n"
                     "  \"metrics\": {\"port\": 70000}\n"
                     "}\n";
  Errors FoundErrors = parseErrors(Text);
  auto FindLine = [&](const std::string &Field) {
    auto Match = std::ranges::find(FoundErrors, Field, &SettingsError::m_Field);
    return Match == FoundErrors.end() ? -1 : static_cast<int>(Match->m_Line);
  };
  cr_assert(FindLine("host") == 3);
  cr_assert(FindLine("front.idle_timeout") == 5);
  cr_assert(FindLine("front.max_body_bytes") == 6);
  cr_assert(FindLine("front.max_connections") == 7);
  cr_assert(FindLine("log_json") == 8);
  cr_assert(FindLine("metrics.port") == 9);
  cr_assert(FindLine("data_centre") == 0, "a missing field has no line");
  cr_assert(FindLine("token_secret") == 0);
  cr_assert(std::ranges::all_of(
      FoundErrors, [](const SettingsError &Error) { return Error.m_File == "test.json"; }));
}

// Guards against a syntax error that is reported without its line and column.
Test(settings, syntaxErrorHasLine) {
  Errors FoundErrors = parseErrors("{\n  \"host\": \"a\"\n  \"data_centre\": \"b\"\n}\n");
  cr_assert(FoundErrors.size() == 1);
  cr_assert(FoundErrors[0].m_Line == 3);
  cr_assert(FoundErrors[0].m_Message.find("column") != std::string::npos);
  cr_assert(parseErrors("").size() == 1);
  cr_assert(parseErrors("[]").size() == 1);
  cr_assert(parseErrors(std::string(1000, '[')).size() == 1);
  expectError("{\"host\": \"a\", \"host\": \"b\"}", "host", "given twice");
}

// Guards against values with a wrong unit, out of range or of the wrong type.
Test(settings, wrongValuesAreErrors) {
  expectError(changeExample("\"16KiB\"", "\"16KB\""), "front.max_header_size", "size");
  expectError(changeExample("\"16KiB\"", "\"0B\""), "front.max_header_size", "from 1KiB");
  expectError(changeExample("\"400ms\"", "\"-1ms\""), "failover.suspect_after", "duration");
  expectError(changeExample("\"400ms\"", "400"), "failover.suspect_after", "must be a string");
  expectError(changeExample("\"12min\"", "\"60500ms\""), "rate.share_lease", "whole seconds");
  expectError(changeExample("\"127.0.0.1:7600\"", "\"localhost:7600\""), "platform", "IP:port");
  expectError(changeExample("\"budget_share\": [0-9.]+", "\"budget_share\": 1.5"),
              "pool.budget_share", "from 0.01 to 1");
  expectError(changeExample("\"peer_secret\": \"[^\"]*\"", "\"peer_secret\": \"short\""),
              "peer_secret", "at least 16");
  expectError(changeExample("\"log_json\"", "\"logJson\""), "logJson", "not a known field");
}

// Guards against settings that are valid one by one but contradict each other.
Test(settings, contradictionsAreErrors) {
  expectError(changeExample("\"probe_interval\": \"50ms\"", "\"probe_interval\": \"500ms\""),
              "failover.suspect_after", "below failover.probe_interval");
  expectError(changeExample("7401", "7400"), "peers.port", "same as callers.port");
  expectError(changeExample("\"key_file\": \"[^\"]*\"", "\"key_file\": \"\""), "callers.key_file",
              "needed for TLS");
  expectError(changeExample("\"plain_text\": false", "\"plain_text\": true"), "callers.plain_text",
              "contradicts");
  expectError(changeExample("\"lease_renewal\": \"1min\"", "\"lease_renewal\": \"7min\""),
              "rate.lease_renewal", "half");
  expectError(changeExample("\"max_total\": 512", "\"max_total\": 8"), "queue.max_per_customer",
              "over queue.max_total");
  cr_assert(parseErrors(changeExample("\"16KiB\"", "\"512KiB\"")).empty(),
            "a header limit above the body limit is no contradiction");
}
