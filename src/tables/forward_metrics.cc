#include "src/tables/forward_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace marigold {

namespace {

prometheus::Family<prometheus::Counter>& AddCounterFamily(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& AddGauge(prometheus::Registry& registry,
                            const std::string& name,
                            const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

// Bucket bounds in seconds, which cover the target latencies of the routes in
// use.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{
    0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.35, 0.5, 1, 2};

}  // namespace

ForwardMetrics::ForwardMetrics()
    : registry(std::make_shared<prometheus::Registry>()),
      finished(AddCounterFamily(*registry,
                                "marigold_forwarded_total",
                                "Forwarded requests by how they ended.")),
      sends(AddCounterFamily(*registry,
                             "marigold_forward_sends_total",
                             "Sends to backend servers, first or repeated.")),
      failures(AddCounterFamily(*registry,
                                "marigold_forward_send_failures_total",
                                "Failed sends by cause.")),
      refusals(AddCounterFamily(*registry,
                                "marigold_forward_refusals_total",
                                "Requests refused before any send, by cause.")),
      congestions(AddCounterFamily(
          *registry,
          "marigold_forward_congestion_total",
          "Ended requests whose backend servers were short of capacity.")),
      admission_running(
          AddGauge(*registry,
                   "marigold_forward_admission_running",
                   "Requests that the admission counts as running.")),
      admission_waiting(AddGauge(*registry,
                                 "marigold_forward_admission_waiting",
                                 "Requests that wait for capacity.")),
      admission_capacity(AddGauge(*registry,
                                  "marigold_forward_admission_capacity",
                                  "Requests that may run at the same time.")),
      group_queries(AddCounterFamily(
          *registry,
          "marigold_group_queries_total",
          "Queries for groups of shards: sent to another entry VM, run here "
          "for "
          "a request of this VM, served for another one, refused, lost with "
          "their connection, or without a report in time.")),
      server_notices(AddCounterFamily(
          *registry,
          "marigold_server_notices_total",
          "Replies in which a backend server said that it is leaving, asked "
          "for a pause, or stated a pause that can't be read.")),
      lists_confirmed_age(
          prometheus::BuildGauge()
              .Name("marigold_lists_confirmed_age_seconds")
              .Help("Time since a control VM confirmed that the lists are the "
                    "newest.")
              .Register(*registry)
              .Add({})),
      evacuated(prometheus::BuildGauge()
                    .Name("marigold_evacuated_data_centres")
                    .Help("Data centres whose backend servers get no requests.")
                    .Register(*registry)
                    .Add({})),
      cold_servers(
          prometheus::BuildGauge()
              .Name("marigold_cold_servers")
              .Help("Backend servers that are held back as possibly cold.")
              .Register(*registry)
              .Add({})),
      cold_sends(AddCounterFamily(*registry,
                                  "marigold_cold_sends_total",
                                  "Sends to servers that are held back as "
                                  "possibly cold.")
                     .Add({})),
      partial(AddCounterFamily(*registry,
                               "marigold_forward_partial_total",
                               "Merged answers that lack shards.")
                  .Add({})),
      first_sends(sends.Add({{"kind", "first"}})),
      repeated_sends(sends.Add({{"kind", "repeated"}})),
      latencies(prometheus::BuildHistogram()
                    .Name("marigold_forward_seconds")
                    .Help("Time from a whole request to its answer.")
                    .Register(*registry)
                    .Add({}, kLatencyBuckets)) {}

void ForwardMetrics::OnFinished(std::string_view state, Duration latency) {
  this->finished.Add({{"state", std::string(state)}}).Increment();
  this->latencies.Observe(ToSeconds(latency));
}

void ForwardMetrics::OnSend(bool is_repeated) {
  (is_repeated ? this->repeated_sends : this->first_sends).Increment();
}

void ForwardMetrics::OnSendFailure(std::string_view failure) {
  this->failures.Add({{"cause", std::string(failure)}}).Increment();
}

void ForwardMetrics::OnRefused(std::string_view reason) {
  this->refusals.Add({{"cause", std::string(reason)}}).Increment();
}

void ForwardMetrics::OnCongestion(std::string_view degree) {
  this->congestions.Add({{"degree", std::string(degree)}}).Increment();
}

void ForwardMetrics::SetAdmission(const AdmissionStatus& status) {
  this->admission_running.Set(status.running);
  this->admission_waiting.Set(status.waiting);
  this->admission_capacity.Set(status.capacity);
}

void ForwardMetrics::SetListsConfirmedAge(Duration age) {
  this->lists_confirmed_age.Set(ToSeconds(age));
}

void ForwardMetrics::SetEvacuated(std::size_t data_centres) {
  this->evacuated.Set(static_cast<double>(data_centres));
}

void ForwardMetrics::OnColdServers(std::size_t held_back, std::uint64_t sends) {
  this->cold_servers.Set(static_cast<double>(held_back));
  this->cold_sends.Increment(static_cast<double>(sends));
}

void ForwardMetrics::OnGroupQuery(std::string_view event) {
  this->group_queries.Add({{"event", std::string(event)}}).Increment();
}

void ForwardMetrics::OnPartialAnswer() {
  this->partial.Increment();
}

void ForwardMetrics::OnServerNotice(std::string_view kind) {
  this->server_notices.Add({{"kind", std::string(kind)}}).Increment();
}

std::string ForwardMetrics::Render() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, this->registry->Collect());
  return text.str();
}

}  // namespace marigold
