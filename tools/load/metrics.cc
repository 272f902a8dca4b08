#include "tools/load/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iterator>

#include "src/core/settings_values.h"

namespace marigold {

namespace {

constexpr std::string_view kCsvHeader = "metric,value";

}  // namespace

std::optional<double> FindMetric(const Metrics& metrics,
                                 std::string_view name) {
  for (const Metric& metric : metrics) {
    if (metric.name == name) {
      return metric.value;
    }
  }
  return std::nullopt;
}

Duration Quantile(const std::vector<Duration>& sorted, double quantile) {
  if (sorted.empty()) {
    return {};
  }
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  const auto position = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(position, sorted.size() - 1)];
}

std::string FormatTable(const Metrics& metrics) {
  std::string text;
  for (const Metric& metric : metrics) {
    fmt::format_to(std::back_inserter(text), "{:<48} {:>14.6g}\n", metric.name,
                   metric.value);
  }
  return text;
}

std::string FormatCsv(const Metrics& metrics) {
  std::string text = fmt::format("{}\n", kCsvHeader);
  for (const Metric& metric : metrics) {
    fmt::format_to(std::back_inserter(text), "{},{}\n", metric.name,
                   metric.value);
  }
  return text;
}

std::string FormatJson(const Metrics& metrics) {
  boost::json::object object;
  for (const Metric& metric : metrics) {
    object[metric.name] = metric.value;
  }
  return boost::json::serialize(object) + "\n";
}

Result<Metrics> ParseCsv(std::string_view text) {
  Metrics metrics;
  bool is_header = true;
  for (const std::string& line : Split(text, '\n')) {
    if (is_header) {
      is_header = false;
      if (line != kCsvHeader) {
        return boost::leaf::new_error(
            ParseError{"", 0, std::string(kCsvHeader)});
      }
      continue;
    }
    const std::size_t comma = line.rfind(',');
    const auto value =
        comma == std::string::npos
            ? std::nullopt
            : ParseDecimalNumber(std::string_view(line).substr(comma + 1));
    if (!value) {
      return boost::leaf::new_error(ParseError{line, {}, "NAME,NUMBER"});
    }
    metrics.push_back({line.substr(0, comma), *value});
  }
  return metrics;
}

std::string FormatComparison(const Metrics& first, const Metrics& second) {
  std::string text = fmt::format("{:<48} {:>14} {:>14} {:>9}\n", "metric",
                                 "first", "second", "ratio");
  for (const Metric& metric : first) {
    const auto other = FindMetric(second, metric.name);
    if (!other) {
      continue;
    }
    const std::string ratio =
        metric.value == 0 ? "-" : fmt::format("{:.3f}", *other / metric.value);
    fmt::format_to(std::back_inserter(text),
                   "{:<48} {:>14.6g} {:>14.6g} {:>9}\n", metric.name,
                   metric.value, *other, ratio);
  }
  return text;
}

std::optional<Bound> ParseBound(std::string_view text) {
  for (const std::string_view comparison : {"<=", ">="}) {
    const std::size_t at = text.find(comparison);
    if (at == std::string_view::npos || at == 0) {
      continue;
    }
    const auto limit = ParseDecimalNumber(text.substr(at + comparison.size()));
    if (limit) {
      return Bound{std::string(text.substr(0, at)), comparison == "<=", *limit};
    }
  }
  return std::nullopt;
}

std::optional<std::string> CheckBound(const Bound& bound,
                                      const Metrics& metrics) {
  const double actual = FindMetric(metrics, bound.name).value_or(0);
  const bool holds =
      bound.is_upper_limit ? actual <= bound.limit : actual >= bound.limit;
  if (holds) {
    return std::nullopt;
  }
  return fmt::format("expected {} {} {}, actual {}", bound.name,
                     bound.is_upper_limit ? "<=" : ">=", bound.limit, actual);
}

}  // namespace marigold
