#include "src/core/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>

#include "src/core/ranked_mutex.h"

namespace marigold {

namespace {

std::atomic<LogLevel> g_level{LogLevel::kInfo};
RankedMutex<LockRank::kLog> g_mutex;

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
    case LogLevel::kOff:
      break;
  }
  return "unknown";
}

bool IsPlain(char c) {
  return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f';
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (char c : value) {
    if (static_cast<unsigned char>(c) < 0x80 && !IsPlain(c)) {
      return true;
    }
  }
  return false;
}

void AppendQuoted(std::string_view value, std::string& line) {
  line += '"';
  for (char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (static_cast<unsigned char>(c) < 0x20 || c == '\x7f') {
      fmt::format_to(std::back_inserter(line), "\\x{:02x}",
                     static_cast<unsigned char>(c));
    } else {
      line += c;
    }
  }
  line += '"';
}

void AppendValue(std::string_view value, std::string& line) {
  if (NeedsQuotes(value)) {
    AppendQuoted(value, line);
  } else {
    line += value;
  }
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError,
        LogLevel::kOff}) {
    if (NameOf(level) == name) {
      return level;
    }
  }
  return std::nullopt;
}

void SetLogLevel(LogLevel level) {
  g_level = level;
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (level < g_level) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  std::string line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  millis, NameOf(level), event);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), " {}=", field.key);
    AppendValue(field.value, line);
  }
  line += '\n';
  const RankedLock lock(g_mutex);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace marigold
