#include "settings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <regex>

using namespace quetzalpaddle;

namespace {

using Errors = std::vector<SettingsError>;

// The printed example with one part replaced.
std::string changeExample(const std::string &Pattern, const std::string &By) {
  std::string Text = formatDefaultSettings();
  std::string Changed = std::regex_replace(Text, std::regex(Pattern), By);
  cr_assert(Changed != Text, "%s is not in the example", Pattern.c_str());
  return Changed;
}

Errors parseErrors(const std::string &Text) {
  auto Parsed = parseSettings(Text, "test.json");
  return std::holds_alternative<Errors>(Parsed) ? std::get<Errors>(Parsed) : Errors{};
}

void expectError(const std::string &Text, const std::string &Field, const std::string &Part) {
  Errors Found = parseErrors(Text);
  bool Told = std::ranges::any_of(Found, [&](const SettingsError &E) {
    return E.m_Field == Field && E.m_Message.find(Part) != std::string::npos;
  });
  cr_assert(Told, "%s: %s is not among %zu errors", Field.c_str(), Part.c_str(), Found.size());
}

} // namespace

// Guards against an example that does not parse or that shows other values than the defaults.
Test(settings, exampleParsesToDefaults) {
  auto Parsed = parseSettings(formatDefaultSettings(), "example");
  for (const SettingsError &E : parseErrors(formatDefaultSettings()))
    cr_log_error("%u %s %s", E.m_Line, E.m_Field.c_str(), E.m_Message.c_str());
  cr_assert(std::holds_alternative<Settings>(Parsed));
  const auto &S = std::get<Settings>(Parsed);
  Settings Defaults;
  cr_assert(S.m_Front.m_MaxHeaderBytes == Defaults.m_Front.m_MaxHeaderBytes);
  cr_assert(S.m_Rate.m_LeaseDuration == Defaults.m_Rate.m_LeaseDuration);
  cr_assert(S.m_Rate.m_DriftMargin == Defaults.m_Rate.m_DriftMargin);
  cr_assert(S.m_Failover.m_SuspectTimeout == Defaults.m_Failover.m_SuspectTimeout);
  cr_assert(S.m_Sync.m_CutOffLimit == Defaults.m_Sync.m_CutOffLimit);
  cr_assert(S.m_PlatformAddresses.size() == 1);
}

// Guards against a report that stops at the first error, or that names the wrong line.
Test(settings, allErrorsAreListedWithLines) {
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
  Errors Found = parseErrors(Text);
  auto LineOf = [&](const std::string &Field) {
    auto At = std::ranges::find(Found, Field, &SettingsError::m_Field);
    return At == Found.end() ? -1 : static_cast<int>(At->m_Line);
  };
  cr_assert(LineOf("host") == 3);
  cr_assert(LineOf("front.idle_timeout") == 5);
  cr_assert(LineOf("front.max_body_bytes") == 6);
  cr_assert(LineOf("front.max_connections") == 7);
  cr_assert(LineOf("log_json") == 8);
  cr_assert(LineOf("metrics.port") == 9);
  cr_assert(LineOf("data_centre") == 0, "a missing field has no line");
  cr_assert(LineOf("token_secret") == 0);
  cr_assert(
      std::ranges::all_of(Found, [](const SettingsError &E) { return E.m_File == "test.json"; }));
}

// Guards against a syntax error without its place.
Test(settings, syntaxErrorHasLine) {
  Errors Found = parseErrors("{\n  \"host\": \"a\"\n  \"data_centre\": \"b\"\n}\n");
  cr_assert(Found.size() == 1);
  cr_assert(Found[0].m_Line == 3);
  cr_assert(Found[0].m_Message.find("column") != std::string::npos);
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

// Guards against settings that are right one by one and cannot work together.
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
            "a header limit over the body limit is no contradiction");
}
