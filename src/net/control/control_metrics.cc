#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "src/core/invariant.h"
#include "src/net/control/control_http.h"

namespace marigold {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double kMicrosPerSecond = 1e6;

struct Sample {
  const char* name;
  const char* help;
  MetricType type;
  double value;
};

void SetValue(ClientMetric& metric, MetricType type, double value) {
  if (type == MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
}

MetricFamily ToFamily(const Sample& sample) {
  ClientMetric metric;
  SetValue(metric, sample.type, sample.value);
  return {sample.name, sample.help, sample.type, {std::move(metric)}};
}

MetricFamily InvariantViolationFamily() {
  MetricFamily family{"marigold_invariant_violations_total",
                      "Violations of an invariant.",
                      MetricType::Counter,
                      {}};
  const auto counts = InvariantViolations();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    ClientMetric metric;
    metric.label = {
        {"invariant", std::string(ToString(static_cast<Invariant>(i)))}};
    metric.counter.value = static_cast<double>(counts[i]);
    family.metric.push_back(std::move(metric));
  }
  return family;
}

std::vector<Sample> CounterSamples(const ControlCounters& counters) {
  const auto to_double = [](const std::atomic<std::uint64_t>& value) {
    return static_cast<double>(value.load());
  };
  constexpr MetricType kCounter = MetricType::Counter;
  return {
      {"marigold_control_commands_proposed_total",
       "Commands that entered the log here.", kCounter,
       to_double(counters.commands_proposed)},
      {"marigold_control_commands_applied_total",
       "Committed commands that were applied.", kCounter,
       to_double(counters.commands_applied)},
      {"marigold_control_refused_did_not_run_total",
       "Commands refused before they entered the log, or replaced in it.",
       kCounter, to_double(counters.refused_did_not_run)},
      {"marigold_control_refused_may_have_run_total",
       "Commands whose outcome was unknown when this VM stopped leading.",
       kCounter, to_double(counters.refused_may_have_run)},
      {"marigold_control_batches_total", "Batches of inputs.", kCounter,
       to_double(counters.batches)},
      {"marigold_control_log_syncs_total", "Syncs of the log.", kCounter,
       to_double(counters.storage.syncs)},
      {"marigold_control_log_sync_seconds_total", "Time that syncs took.",
       kCounter, to_double(counters.storage.sync_micros) / kMicrosPerSecond},
      {"marigold_control_log_entries_total", "Entries written to the log.",
       kCounter, to_double(counters.storage.entries)},
      {"marigold_control_log_payload_bytes_total",
       "Bytes of commands written to the log.", kCounter,
       to_double(counters.storage.entry_bytes)},
      {"marigold_control_snapshots_total", "Snapshots written.", kCounter,
       to_double(counters.storage.snapshots)},
      {"marigold_control_storage_failures_total",
       "Failed writes and failed attempts to take the disk into use again.",
       kCounter, to_double(counters.storage_failures)},
      {"marigold_control_storage_recoveries_total",
       "Times that the disk was taken into use again after a failure.",
       kCounter, to_double(counters.storage_recoveries)},
      {"marigold_control_peer_messages_sent_total",
       "Messages for other control VMs.", kCounter,
       to_double(counters.peer_messages_sent)},
      {"marigold_control_peer_messages_received_total",
       "Messages from other control VMs.", kCounter,
       to_double(counters.peer_messages_received)},
      {"marigold_control_snapshot_bytes", "Size of the last snapshot.",
       MetricType::Gauge, to_double(counters.snapshot_bytes)},
  };
}

std::vector<Sample> StatusSamples(const ControlStatus& status) {
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  constexpr MetricType kGauge = MetricType::Gauge;
  Duration max_time_behind{};
  for (const SubscriberStatus& subscriber : status.subscribers) {
    max_time_behind = std::max(max_time_behind, subscriber.time_behind);
  }
  return {
      {"marigold_control_leads", "1 on the leader.", kGauge,
       to_double(status.is_leader)},
      {"marigold_control_has_quorum", "1 in contact with a quorum.", kGauge,
       to_double(status.has_quorum)},
      {"marigold_control_storage_failed", "1 while the disk is not usable.",
       kGauge, to_double(status.storage_failed)},
      {"marigold_control_term", "Term of the group.", kGauge,
       to_double(status.term.value())},
      {"marigold_control_commit_index", "Last committed index known here.",
       kGauge, to_double(status.commit_index.value())},
      {"marigold_control_applied_index", "Last applied index.", kGauge,
       to_double(status.applied_index.value())},
      {"marigold_control_lists_index", "Index that last changed a list.",
       kGauge, to_double(status.lists_index.value())},
      {"marigold_control_ledger_entries", "Keys in the action ledger.", kGauge,
       to_double(status.ledger_entries)},
      {"marigold_control_evacuated_data_centres",
       "Data centres whose backend servers get no requests.", kGauge,
       to_double(status.evacuated.size())},
      {"marigold_control_entry_vms", "Entry VMs that follow this VM.", kGauge,
       to_double(status.subscribers.size())},
      {"marigold_control_entry_vm_behind_seconds",
       "Longest time that an entry VM has lacked the newest lists.", kGauge,
       ToSeconds(max_time_behind)},
  };
}

std::vector<Sample> QuotaSamples(
    const std::vector<QuotaCustomerStatus>& limited) {
  Fraction lowest_ratio(1);
  for (const QuotaCustomerStatus& customer : limited) {
    lowest_ratio = std::min(lowest_ratio, customer.ratio);
  }
  return {
      {"marigold_control_quota_limited_customers",
       "Customers with an admission ratio below 1; 0 unless this VM leads.",
       MetricType::Gauge, static_cast<double>(limited.size())},
      {"marigold_control_quota_lowest_ratio",
       "Lowest admission ratio; 1 unless this VM leads.", MetricType::Gauge,
       lowest_ratio.value()},
  };
}

}  // namespace

std::string ControlMetricsText(
    const ControlCounters& counters,
    const ControlStatus& status,
    const std::vector<QuotaCustomerStatus>& limited) {
  std::vector<MetricFamily> families;
  for (const Sample& sample : CounterSamples(counters)) {
    families.push_back(ToFamily(sample));
  }
  for (const Sample& sample : StatusSamples(status)) {
    families.push_back(ToFamily(sample));
  }
  for (const Sample& sample : QuotaSamples(limited)) {
    families.push_back(ToFamily(sample));
  }
  families.push_back(InvariantViolationFamily());
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace marigold
