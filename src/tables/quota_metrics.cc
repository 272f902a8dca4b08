#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

#include "src/tables/quota_table.h"

namespace marigold {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily Gauge(const char* name, const char* help, double value) {
  ClientMetric metric;
  metric.gauge.value = value;
  return {name, help, MetricType::Gauge, {std::move(metric)}};
}

}  // namespace

std::string QuotaMetricsText(const QuotaTableSummary& summary) {
  MetricFamily decided{"marigold_quota_requests_total",
                       "Requests of customers with a quota by decision.",
                       MetricType::Counter,
                       {}};
  for (std::size_t i = 0; i < summary.decided.size(); ++i) {
    ClientMetric metric;
    metric.label = {
        {"decision", std::string(ToString(static_cast<QuotaVerdict>(i)))}};
    metric.counter.value = static_cast<double>(summary.decided[i]);
    decided.metric.push_back(std::move(metric));
  }
  const QuotaGateSummary& gate = summary.gate;
  return prometheus::TextSerializer().Serialize(
      {std::move(decided),
       Gauge("marigold_quota_customers", "Customers with a quota.",
             static_cast<double>(gate.customers)),
       Gauge("marigold_quota_limited_customers",
             "Customers with an admission ratio below 1.",
             static_cast<double>(gate.limited_customers)),
       Gauge("marigold_quota_lowest_ratio", "Lowest admission ratio.",
             gate.lowest_ratio.value()),
       Gauge("marigold_quota_state_age_seconds",
             "Age of the newest quota state, or -1 before the first one.",
             gate.state_age ? ToSeconds(*gate.state_age) : -1)});
}

}  // namespace marigold
