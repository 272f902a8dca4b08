#include "src/core/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <utility>

#include "src/core/ranked_mutex.h"

namespace marigold {

namespace {

std::atomic<LogLevel> g_min_level{LogLevel::kInfo};
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

// Token bucket that limits the number of log lines per second. Warnings and
// errors have a limiter of their own, so that a high request rate does not
// suppress them.
class LineRateLimiter {
 public:
  bool TryAcquire(std::chrono::steady_clock::time_point now) {
    const double earned =
        std::chrono::duration<double>(now - this->refilled_at).count() *
        kLinesPerSecond;
    this->refilled_at = now;
    this->available_lines =
        std::min(this->available_lines + earned, kBurstLines);
    if (this->available_lines < 1) {
      return false;
    }
    this->available_lines -= 1;
    return true;
  }

 private:
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurstLines = 400;

  double available_lines = kBurstLines;
  std::chrono::steady_clock::time_point refilled_at =
      std::chrono::steady_clock::now();
};

// A pipe that is reported as writable accepts this many bytes without blocking.
constexpr std::size_t kMaxLineBytes = 4096;

int g_descriptor = STDERR_FILENO;
LineRateLimiter g_normal_limiter;
LineRateLimiter g_warning_limiter;
std::uint64_t g_dropped_lines = 0;

// Returns false if the descriptor does not accept all bytes at once. Requires
// that `g_mutex` is held.
bool TryWriteNonBlocking(std::string_view bytes) {
  pollfd poll_state{g_descriptor, POLLOUT, 0};
  if (::poll(&poll_state, 1, 0) != 1 || (poll_state.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(g_descriptor, bytes.data(), bytes.size()) ==
         static_cast<ssize_t>(bytes.size());
}

void WriteLine(LogLevel level, std::string line) {
  line.resize(std::min(line.size(), kMaxLineBytes - 64));
  const auto now = std::chrono::steady_clock::now();
  const RankedLock lock(g_mutex);
  LineRateLimiter& limiter =
      level >= LogLevel::kWarning ? g_warning_limiter : g_normal_limiter;
  if (!limiter.TryAcquire(now)) {
    ++g_dropped_lines;
    return;
  }
  if (g_dropped_lines > 0) {
    fmt::format_to(std::back_inserter(line), " lines_dropped={}",
                   g_dropped_lines);
  }
  line += '\n';
  if (TryWriteNonBlocking(line)) {
    g_dropped_lines = 0;
  } else {
    ++g_dropped_lines;
  }
}

}  // namespace

void SetLogDescriptor(int descriptor) {
  const RankedLock lock(g_mutex);
  g_descriptor = descriptor;
}

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
  g_min_level = level;
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (level < g_min_level) {
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
  WriteLine(level, std::move(line));
}

}  // namespace marigold
