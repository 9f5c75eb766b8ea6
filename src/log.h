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

// Writes one line. Lines beyond 20 per second and event are dropped; the next line of the event
// reports their number in the field left_out. Thread-safe.
void logLine(LogLevel Level, std::string_view Event, const LogFields &Fields);

} // namespace quetzalpaddle
