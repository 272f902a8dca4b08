#ifndef SRC_CORE_LOG_H_
#define SRC_CORE_LOG_H_

#include <fmt/format.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace marigold {

// `kOff` is used only as a threshold, which drops every line.
enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

// "debug", "info", "warning", "error" or "off"; nothing for other text.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

// One key=value pair of a log line.
struct LogField {
  template <class T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

// Sets the level below which lines are dropped. The default is `kInfo`.
void SetLogLevel(LogLevel level);

// Sets the file descriptor for log lines. The default is standard error; server
// processes log to standard output.
void SetLogDescriptor(int descriptor);

// Writes one line of key=value pairs. Values with spaces, quotes or control
// characters are quoted and escaped. Never blocks: lines that the descriptor
// does not accept at once, or that exceed the limit on lines per second, are
// dropped. The next line that is written reports their number as lines_dropped.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace marigold

#endif  // SRC_CORE_LOG_H_
