#include "src/tables/forward_counters.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace marigold {

namespace {

prometheus::Family<prometheus::Counter>& Count(prometheus::Registry& registry,
                                               const std::string& name,
                                               const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

// In seconds, around the target latencies of today's routes.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{
    0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.35, 0.5, 1, 2};

}  // namespace

ForwardCounters::ForwardCounters()
    : registry(std::make_shared<prometheus::Registry>()),
      finished(Count(*registry,
                     "marigold_forwarded_total",
                     "Forwarded requests by how they ended.")),
      sends(Count(*registry,
                  "marigold_forward_sends_total",
                  "Sends to backend servers, first or repeated.")),
      failures(Count(*registry,
                     "marigold_forward_send_failures_total",
                     "Failed sends by cause.")),
      refusals(Count(*registry,
                     "marigold_forward_refusals_total",
                     "Requests refused before any send, by cause.")),
      partial(Count(*registry,
                    "marigold_forward_partial_total",
                    "Merged answers that lack shards.")
                  .Add({})),
      first_sends(sends.Add({{"kind", "first"}})),
      repeated_sends(sends.Add({{"kind", "repeated"}})),
      latencies(prometheus::BuildHistogram()
                    .Name("marigold_forward_seconds")
                    .Help("Time from a whole request to its answer.")
                    .Register(*registry)
                    .Add({}, kLatencyBounds)) {}

void ForwardCounters::OnFinished(std::string_view state, Duration latency) {
  this->finished.Add({{"state", std::string(state)}}).Increment();
  this->latencies.Observe(ToSeconds(latency));
}

void ForwardCounters::OnSend(bool is_repeated) {
  (is_repeated ? this->repeated_sends : this->first_sends).Increment();
}

void ForwardCounters::OnSendFailure(std::string_view failure) {
  this->failures.Add({{"cause", std::string(failure)}}).Increment();
}

void ForwardCounters::OnRefused(std::string_view reason) {
  this->refusals.Add({{"cause", std::string(reason)}}).Increment();
}

void ForwardCounters::OnPartialAnswer() {
  this->partial.Increment();
}

std::string ForwardCounters::Text() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, this->registry->Collect());
  return text.str();
}

}  // namespace marigold
