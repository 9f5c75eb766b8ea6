// Structured, rate-limited log as key=value or JSON lines. Writing never blocks: a line is dropped
// and counted if the output cannot take it at once.
#pragma once

#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quetzalpaddle {

enum class LogLevel { Info, Warning, Error };

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

void configureLog(const std::string &Host, bool Json, std::FILE *Output = stderr);

// Writes one line. Lines beyond 20 per second and event are dropped. The next written line reports
// in the field left_out how many lines of its event were over this limit, plus how many lines of
// any event the output could not take. The counts are lost if that line cannot be written either.
// Thread-safe.
void logLine(LogLevel Level, std::string_view Event, const LogFields &Fields);

} // namespace quetzalpaddle
