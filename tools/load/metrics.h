#ifndef TOOLS_LOAD_METRICS_H_
#define TOOLS_LOAD_METRICS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"
#include "src/core/units.h"

namespace marigold {

// One figure of a run; the name ends with its unit, such as "p99_ms".
struct Metric {
  std::string name;
  double value = 0;
};

using Metrics = std::vector<Metric>;

std::optional<double> FindMetric(const Metrics& metrics, std::string_view name);

// The latency that `quantile` of the samples do not exceed; zero without
// samples. `sorted` is in ascending order.
Duration Quantile(const std::vector<Duration>& sorted, double quantile);

// A table for people.
std::string FormatTable(const Metrics& metrics);

// Lines of NAME,VALUE with a head line.
std::string FormatCsv(const Metrics& metrics);

// One JSON object.
std::string FormatJson(const Metrics& metrics);

// Reads what `FormatCsv` wrote. Fails with `ParseError`.
Result<Metrics> ParseCsv(std::string_view text);

// A table of both runs and the ratio of the second to the first.
std::string FormatComparison(const Metrics& first, const Metrics& second);

// A bound on a metric, such as "p99_ms<=340" or "coverage>=0.999".
struct Bound {
  std::string name;
  bool is_upper_limit = true;
  double limit = 0;
};

// Nothing unless `text` is NAME<=NUMBER or NAME>=NUMBER.
std::optional<Bound> ParseBound(std::string_view text);

// What was expected and seen if the bound does not hold. A metric that the run
// does not have counts as zero.
std::optional<std::string> CheckBound(const Bound& bound,
                                      const Metrics& metrics);

}  // namespace marigold

#endif  // TOOLS_LOAD_METRICS_H_
