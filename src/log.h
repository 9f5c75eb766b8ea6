// Structured logs, key=value or JSON, rate-limited. Writing never blocks: a line that the reader of
// the output has no room for is left out and counted.
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

// Writes one line. At most 20 lines per second and event; the next line tells how many were left
// out. Thread-safe.
void logLine(LogLevel Level, std::string_view Event, const LogFields &Fields);

} // namespace quetzalpaddle
