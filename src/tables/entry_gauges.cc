#include "src/tables/entry_gauges.h"

#include <sys/resource.h>

#include <array>
#include <map>
#include <string>
#include <utility>

#include "src/core/invariant.h"

namespace marigold {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

struct Sample {
  std::string label_value;
  double value = 0;
};

void AppendFamily(const std::string& name,
                  const std::string& help,
                  MetricType type,
                  const std::string& label_name,
                  const std::vector<Sample>& samples,
                  std::vector<MetricFamily>& families) {
  MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  for (const Sample& sample : samples) {
    ClientMetric& metric = family.metric.emplace_back();
    if (!label_name.empty()) {
      metric.label.push_back({label_name, sample.label_value});
    }
    (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) =
        sample.value;
  }
  families.push_back(std::move(family));
}

void AppendGauge(const std::string& name,
                 const std::string& help,
                 double value,
                 std::vector<MetricFamily>& families) {
  AppendFamily(name, help, MetricType::Gauge, "", {{"", value}}, families);
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void AppendServers(const EntryState& state,
                   std::vector<MetricFamily>& families) {
  std::map<std::string, double> count_by_state;
  ConnectionPoolCounts totals;
  for (const ServerSummary& server : state.servers) {
    ++count_by_state[std::string(ToString(server.view.state))];
    totals.connecting += server.connections.connecting;
    totals.idle += server.connections.idle;
    totals.busy += server.connections.busy;
    totals.abandoned += server.connections.abandoned;
    totals.waiting += server.connections.waiting;
  }
  std::vector<Sample> servers;
  servers.reserve(count_by_state.size());
  for (const auto& [name, count] : count_by_state) {
    servers.push_back({name, count});
  }
  AppendFamily("marigold_backend_servers",
               "Backend servers that this process knows, by state.",
               MetricType::Gauge, "state", servers, families);
  AppendFamily("marigold_backend_connections",
               "Connections to backend servers, by use.", MetricType::Gauge,
               "use",
               {{"connecting", static_cast<double>(totals.connecting)},
                {"idle", static_cast<double>(totals.idle)},
                {"busy", static_cast<double>(totals.busy)},
                {"abandoned", static_cast<double>(totals.abandoned)}},
               families);
  AppendGauge("marigold_attempts_waiting",
              "Attempts that wait for a connection.", totals.waiting, families);
}

void AppendViolations(std::vector<MetricFamily>& families) {
  const auto counts = InvariantViolations();
  std::vector<Sample> samples;
  samples.reserve(kInvariantCount);
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    samples.push_back({std::string(ToString(static_cast<Invariant>(i))),
                       static_cast<double>(counts[i])});
  }
  AppendFamily(
      "marigold_invariant_violations_total",
      "Violations of what must always hold; any is a fault of this program.",
      MetricType::Counter, "invariant", samples, families);
}

}  // namespace

void AppendGauges(const EntryState& state,
                  std::vector<MetricFamily>& families) {
  AppendServers(state, families);
  AppendViolations(families);
  AppendGauge("marigold_requests_in_flight",
              "Callers' requests without an answer yet.",
              static_cast<double>(state.requests_in_flight), families);
  AppendGauge("marigold_actions_open",
              "Actions whose outcome is not recorded yet.",
              static_cast<double>(state.open_actions), families);
  AppendGauge("marigold_caller_connections", "Open connections of callers.",
              static_cast<double>(state.caller_connections), families);
  AppendGauge("marigold_admission_running", "Requests that were let in.",
              state.admission_running, families);
  AppendGauge("marigold_admission_waiting", "Requests that wait for capacity.",
              state.admission_waiting, families);
  AppendGauge("marigold_lists_index",
              "Log index of the newest list edit in force here.",
              static_cast<double>(state.lists_index.value()), families);
  AppendGauge("marigold_lists_age_seconds",
              "Time since the lists in force here changed.",
              ToSeconds(state.lists_age), families);
  AppendGauge(
      "marigold_lists_confirmed_age_seconds",
      "Time since a control VM confirmed that the lists are the newest.",
      ToSeconds(state.lists_confirmed_age), families);
  AppendFamily("marigold_processor_seconds_total",
               "Processor time of this process, user and system.",
               MetricType::Counter, "", {{"", ProcessorSeconds()}}, families);
}

void AppendExtraLoad(double primary_attempts,
                     double other_attempts,
                     std::vector<MetricFamily>& families) {
  AppendGauge("marigold_extra_load_ratio",
              "Retries, hedges and trials over first attempts since the start.",
              primary_attempts > 0 ? other_attempts / primary_attempts : 0,
              families);
}

}  // namespace marigold
