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

// The relation of the load that a server reports to its true load.
enum class ReportMode {
  // The true load.
  kTrue,
  // Always zero.
  kZero,
  // Always the full load.
  kHigh,
  // The full load minus the true load.
  kInverse,
};

// Returns "true", "zero", "high" and "inverse", in this order.
std::vector<std::string> ReportModeNames();

// Returns nothing if the name is unknown.
std::optional<ReportMode> ParseReportMode(std::string_view name);

struct LoadReportSettings {
  ReportMode mode = ReportMode::kTrue;
  // Reports show the load of this long ago.
  Duration lag{};
};

// Stores the recent load of one server and derives its load reports from it.
// The load is the number of requests in service and in the queue.
class LoadHistory {
 public:
  // `full` is the load at which the server refuses further requests.
  explicit LoadHistory(std::uint32_t full) : full_load(full) {}

  // Commands.

  // Records a change of the load. `now` must not decrease from call to call.
  // Samples older than `retention` are removed, except the newest of them,
  // which still holds at the start of that period.
  void Record(MonotonicTime now, std::uint32_t load, Duration retention);

  // Queries.

  // Returns the load that the server reports at `now`. It is zero before the
  // first sample.
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
