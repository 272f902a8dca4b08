#include "src/tables/entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <cstddef>

#include "src/tables/entry_gauges.h"

namespace marigold {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

constexpr std::size_t kRequestKindCount = 2;
constexpr std::size_t kAttemptKindCount = 4;
constexpr std::size_t kFailureCount =
    static_cast<std::size_t>(AttemptFailure::kBadReply) + 1;

// Bucket bounds in seconds.
const Histogram::BucketBoundaries kLatencyBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1,
    0.15,  0.2,   0.25,  0.34, 0.5,  0.75,  1,    2,     5};

// Bucket bounds as fractions of all shards.
const Histogram::BucketBoundaries kCoverageBuckets = {
    0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999};

Family<Counter>& AddCounterFamily(prometheus::Registry& registry,
                                  const std::string& name,
                                  const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram>& AddHistogramFamily(prometheus::Registry& registry,
                                      const std::string& name,
                                      const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

// Adds one counter for each value of an enum, with the text of the value as its
// label.
template <class Enum, std::size_t kCount>
std::array<Counter*, kCount> AddCounterForEachValue(Family<Counter>& family,
                                                    const std::string& label) {
  std::array<Counter*, kCount> counters{};
  for (std::size_t i = 0; i < kCount; ++i) {
    const std::string text(ToString(static_cast<Enum>(i)));
    counters[i] = &family.Add({{label, text}});
  }
  return counters;
}

template <class Enum>
std::size_t IndexOf(Enum value) {
  return static_cast<std::size_t>(value);
}

}  // namespace

std::string_view ToString(RequestKind kind) {
  return kind == RequestKind::kSearch ? "search" : "action";
}

struct EntryMetrics::Impl {
  Impl() {
    auto& durations = AddHistogramFamily(
        this->registry, "marigold_request_duration_seconds",
        "Time from the arrival of a caller's request to its answer.");
    for (std::size_t i = 0; i < kRequestKindCount; ++i) {
      const std::string kind(ToString(static_cast<RequestKind>(i)));
      this->request_seconds[i] =
          &durations.Add({{"kind", kind}}, kLatencyBuckets);
    }
  }

  void Count(RequestKind kind,
             std::string_view verdict,
             std::string_view reason,
             Duration latency) {
    this->requests
        .Add({{"kind", std::string(ToString(kind))},
              {"verdict", std::string(verdict)},
              {"reason", std::string(reason)}})
        .Increment();
    this->request_seconds[IndexOf(kind)]->Observe(ToSeconds(latency));
  }

  prometheus::Registry registry;
  Family<Counter>& requests = AddCounterFamily(
      registry,
      "marigold_requests_total",
      "Callers' requests by verdict and reason; reason ok is an answer.");
  std::array<Histogram*, kRequestKindCount> request_seconds{};
  Histogram& coverage =
      AddHistogramFamily(
          registry,
          "marigold_search_coverage_ratio",
          "Covered shards over all shards of each search answer.")
          .Add({}, kCoverageBuckets);
  Family<Counter>& attempts = AddCounterFamily(
      registry,
      "marigold_attempts_total",
      "Requests handed to the pools of backend servers, by kind.");
  std::array<Counter*, kAttemptKindCount> attempts_by_kind =
      AddCounterForEachValue<AttemptKind, kAttemptKindCount>(attempts, "kind");
  Counter& action_attempts = attempts.Add({{"kind", "action"}});
  std::array<Counter*, kFailureCount> failures =
      AddCounterForEachValue<AttemptFailure, kFailureCount>(
          AddCounterFamily(registry,
                           "marigold_attempt_failures_total",
                           "Attempts that ended without a reply, by reason."),
          "reason");
  Counter& cancelled =
      AddCounterFamily(registry,
                       "marigold_attempts_cancelled_total",
                       "Attempts that were cancelled before their outcome.")
          .Add({});
  Histogram& attempt_seconds =
      AddHistogramFamily(registry,
                         "marigold_attempt_duration_seconds",
                         "Time from an attempt's dispatch to its reply.")
          .Add({}, kLatencyBuckets);
};

EntryMetrics::EntryMetrics() : impl(std::make_unique<Impl>()) {}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::OnAnswer(RequestKind kind, Duration latency) {
  this->impl->Count(kind, ToString(Execution::kRan), "ok", latency);
}

void EntryMetrics::OnRefusal(RequestKind kind,
                             const Refusal& refusal,
                             Duration latency) {
  this->impl->Count(kind, ToString(refusal.execution), ToString(refusal.reason),
                    latency);
}

void EntryMetrics::OnCoverage(Fraction coverage) {
  this->impl->coverage.Observe(coverage.value());
}

void EntryMetrics::OnSearchAttempt(AttemptKind kind) {
  this->impl->attempts_by_kind[IndexOf(kind)]->Increment();
}

void EntryMetrics::OnActionAttempt() {
  this->impl->action_attempts.Increment();
}

void EntryMetrics::OnAttemptReply(Duration latency) {
  this->impl->attempt_seconds.Observe(ToSeconds(latency));
}

void EntryMetrics::OnAttemptFailure(AttemptFailure failure) {
  this->impl->failures[IndexOf(failure)]->Increment();
}

void EntryMetrics::OnAttemptCancelled() {
  this->impl->cancelled.Increment();
}

std::string EntryMetrics::Render(const EntryState& state) const {
  std::vector<prometheus::MetricFamily> families =
      this->impl->registry.Collect();
  const auto& kinds = this->impl->attempts_by_kind;
  AppendGauges(state, families);
  AppendExtraLoad(kinds[IndexOf(AttemptKind::kPrimary)]->Value(),
                  kinds[IndexOf(AttemptKind::kRetry)]->Value() +
                      kinds[IndexOf(AttemptKind::kHedge)]->Value() +
                      kinds[IndexOf(AttemptKind::kTrial)]->Value(),
                  families);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace marigold
