#ifndef TOOLS_LOAD_METRICS_H_
#define TOOLS_LOAD_METRICS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"
#include "src/core/units.h"

namespace marigold {

// One measured value of a run. The name of a duration or a rate ends with its
// unit, such as "p99_ms".
struct Metric {
  std::string name;
  double value = 0;
};

using Metrics = std::vector<Metric>;

// Returns the value of the first metric of this name, or nothing.
std::optional<double> FindMetric(const Metrics& metrics, std::string_view name);

// Returns the nearest-rank quantile: the smallest sample that at least the
// fraction `quantile` of the samples do not exceed. Returns zero without
// samples. `sorted` is in ascending order.
Duration Quantile(const std::vector<Duration>& sorted, double quantile);

// Formats a table of names and values for people.
std::string FormatTable(const Metrics& metrics);

// Formats a header line and one line NAME,VALUE for each metric.
std::string FormatCsv(const Metrics& metrics);

// Formats one JSON object with the names as keys.
std::string FormatJson(const Metrics& metrics);

// Parses the output of `FormatCsv`. Fails with `ParseError`.
Result<Metrics> ParseCsv(std::string_view text);

// Formats a table of the metrics that both runs have, with the ratio of the
// second value to the first.
std::string FormatComparison(const Metrics& first, const Metrics& second);

// A limit for a metric, such as "p99_ms<=340" or "coverage>=0.999". The limit
// itself is allowed.
struct Bound {
  std::string name;
  bool is_upper_limit = true;
  double limit = 0;
};

// Parses NAME<=NUMBER or NAME>=NUMBER. Returns nothing if `text` has another
// form.
std::optional<Bound> ParseBound(std::string_view text);

// Returns nothing if the bound holds, otherwise a text with the expected and
// the actual value. A metric that the run does not have counts as zero.
std::optional<std::string> CheckBound(const Bound& bound,
                                      const Metrics& metrics);

}  // namespace marigold

#endif  // TOOLS_LOAD_METRICS_H_
