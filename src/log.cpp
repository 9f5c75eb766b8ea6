// Formats and writes log lines.
#include "log.h"

#include <algorithm>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <google/protobuf/stubs/logging.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <unistd.h>

namespace quetzalpaddle {

namespace {

// Limits the output of a repeated event, per event. The metrics have the complete counts.
constexpr uint32_t MaxLinesPerSecond = 20;

struct EventBudget {
  std::chrono::steady_clock::time_point m_WindowStart{};
  uint32_t m_LineCount = 0;
  uint64_t m_OmittedCount = 0;
};

struct LogState {
  std::mutex m_Lock;
  std::string m_Host;
  bool m_IsJson = false;
  std::FILE *m_Output = stderr;
  // Lines of any event that the output could not take since the last line written.
  uint64_t m_DroppedCount = 0;
  std::map<std::string, EventBudget, std::less<>> m_Budgets; // by event
};

LogState &getState() {
  static LogState State;
  return State;
}

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

// Counts a line of the event. Returns the number of lines dropped since the last one, or nothing if
// this line exceeds the limit and has to be dropped too.
std::optional<uint64_t> countLine(LogState &State, std::string_view Event) {
  auto Found = State.m_Budgets.find(Event);
  if (Found == State.m_Budgets.end())
    Found = State.m_Budgets.emplace(Event, EventBudget{}).first;
  EventBudget &Budget = Found->second;
  auto Now = std::chrono::steady_clock::now();
  if (Now - Budget.m_WindowStart >= std::chrono::seconds(1)) {
    Budget.m_WindowStart = Now;
    Budget.m_LineCount = 0;
  }
  if (++Budget.m_LineCount > MaxLinesPerSecond) {
    ++Budget.m_OmittedCount;
    return std::nullopt;
  }
  return std::exchange(Budget.m_OmittedCount, 0);
}

std::string formatTime() {
  auto Now = std::chrono::system_clock::now();
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now.time_since_epoch()) % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Now)), Milliseconds.count());
}

// Quotes a value that is empty or contains spaces, quotation marks, '=', backslashes, control or
// non-ASCII characters, so that it cannot be mistaken for another field or line.
std::string quoteValue(const std::string &Value) {
  bool IsPlain = !Value.empty() && std::all_of(Value.begin(), Value.end(), [](unsigned char Byte) {
    return Byte > ' ' && Byte < 0x7f && Byte != '"' && Byte != '=' && Byte != '\\';
  });
  if (IsPlain)
    return Value;
  return nlohmann::json(Value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

// Returns whether the output can be written to without blocking.
bool hasRoom(std::FILE *Output) {
  pollfd Poll{fileno(Output), POLLOUT, 0};
  return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

// Messages of the protobuf library, for example on a text that is not UTF-8. It would write each
// one to stderr, without a limit and waiting for the output.
void logProtobufMessage(google::protobuf::LogLevel Level, const char * /*File*/, int /*Line*/,
                        const std::string &Message) {
  bool IsError = Level >= google::protobuf::LOGLEVEL_ERROR;
  logLine(IsError ? LogLevel::Error : LogLevel::Warning, "protobuf", {{"message", Message}});
}

} // namespace

void configureLog(const std::string &Host, bool Json, std::FILE *Output) {
  google::protobuf::SetLogHandler(logProtobufMessage);
  LogState &State = getState();
  std::lock_guard Guard(State.m_Lock);
  State.m_Host = Host;
  State.m_IsJson = Json;
  State.m_Output = Output;
}

void logLine(LogLevel Level, std::string_view Event, const LogFields &Fields) {
  LogState &State = getState();
  std::lock_guard Guard(State.m_Lock);
  std::optional<uint64_t> OmittedCount = countLine(State, Event);
  if (!OmittedCount)
    return;
  if (State.m_DroppedCount > 0)
    OmittedCount = *OmittedCount + std::exchange(State.m_DroppedCount, 0);
  LogFields All = {{"time", formatTime()},
                   {"level", std::string(levelName(Level))},
                   {"host", State.m_Host},
                   {"event", std::string(Event)}};
  All.insert(All.end(), Fields.begin(), Fields.end());
  if (*OmittedCount > 0)
    All.emplace_back("left_out", std::to_string(*OmittedCount));
  std::string Line;
  if (State.m_IsJson) {
    nlohmann::ordered_json Object;
    for (const auto &[Name, Value] : All)
      Object[std::string(Name)] = Value;
    Line = Object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  } else {
    for (const auto &[Name, Value] : All)
      Line += fmt::format("{}{}={}", Line.empty() ? "" : " ", Name, quoteValue(Value));
  }
  Line += '\n';
  if (!hasRoom(State.m_Output)) {
    ++State.m_DroppedCount;
    return;
  }
  // Write each line with one system call, so that lines of several processes do not interleave.
  if (write(fileno(State.m_Output), Line.data(), Line.size()) < 0)
    ++State.m_DroppedCount;
}

} // namespace quetzalpaddle
