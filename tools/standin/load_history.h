#ifndef TOOLS_STANDIN_LOAD_HISTORY_H_
#define TOOLS_STANDIN_LOAD_HISTORY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/units.h"

namespace marigold {

// What a server says of its load.
enum class ReportMode {
  kTrue,
  // Always idle.
  kZero,
  // Always full.
  kHigh,
  // Busy when idle and idle when busy.
  kInverse,
};

// "true", "zero", "high" and "inverse", in this order.
std::vector<std::string> ReportModeNames();

// Nothing for an unknown name.
std::optional<ReportMode> ParseReportMode(std::string_view name);

struct LoadReportSettings {
  ReportMode mode = ReportMode::kTrue;
  // Reports give the load as it was this long ago.
  Duration lag{};
};

// The recent load of one server, from which its reports are made.
class LoadHistory {
 public:
  // `full` is the load at which the server takes no more.
  explicit LoadHistory(std::uint32_t full) : full_load(full) {}

  // Commands.

  // Notes a change. `now` never falls. Changes older than `retention` before
  // `now` are forgotten, except the last of them.
  void Record(MonotonicTime now, std::uint32_t load, Duration retention);

  // Queries.

  std::uint32_t Report(MonotonicTime now,
                       const LoadReportSettings& settings) const;

 private:
  struct Sample {
    MonotonicTime at;
    std::uint32_t load = 0;
  };

  std::uint32_t LoadAt(MonotonicTime at) const;

  std::uint32_t full_load;
  std::deque<Sample> samples;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_LOAD_HISTORY_H_
