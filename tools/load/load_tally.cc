#include "tools/load/load_tally.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace marigold {

namespace {

constexpr std::size_t kMaxViolationLines = 5;

struct QuantileRow {
  std::string_view name;
  double quantile;
};

constexpr auto kQuantileRows = std::to_array<QuantileRow>({
    {"p50_ms", 0.5},
    {"p90_ms", 0.9},
    {"p99_ms", 0.99},
    {"p999_ms", 0.999},
    {"max_ms", 1},
});

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

void AddQuantiles(std::string_view prefix,
                  std::vector<Duration> samples,
                  Metrics& metrics) {
  std::sort(samples.begin(), samples.end());
  for (const QuantileRow& row : kQuantileRows) {
    metrics.push_back({fmt::format("{}{}", prefix, row.name),
                       ToMilliseconds(Quantile(samples, row.quantile))});
  }
}

}  // namespace

std::string_view ToString(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotSent:
      return "not_sent";
    case ExchangeFailure::kLost:
      return "lost";
    case ExchangeFailure::kTimeout:
      return "timeout";
    case ExchangeFailure::kBadResponse:
      return "bad_response";
    case ExchangeFailure::kClosed:
      return "closed";
  }
  return "unknown";
}

LoadTally::LoadTally(const std::vector<CustomerWeight>& run_customers,
                     Duration deadline_limit)
    : deadline(deadline_limit) {
  for (const CustomerWeight& customer : run_customers) {
    this->customers.push_back({customer.customer.value(), {}, 0, 0});
  }
}

void LoadTally::OnResponse(const LoadRequest& request,
                           const CheckOutcome& outcome,
                           Duration latency,
                           Duration since_sent,
                           bool is_warmup) {
  if (const auto* violation = std::get_if<Violation>(&outcome)) {
    this->OnViolation(request.id, *violation);
  }
  const RankedLock lock(this->mutex);
  ++this->requests_ended;
  if (const auto* answer = std::get_if<CheckedAnswer>(&outcome)) {
    this->OnAnswer(request, *answer, latency, since_sent, is_warmup);
  } else if (const auto* refusal = std::get_if<CheckedRefusal>(&outcome)) {
    this->OnRefusal(request, *refusal, since_sent);
  }
}

void LoadTally::OnFailure(const LoadRequest& /*request*/,
                          ExchangeFailure failure) {
  const RankedLock lock(this->mutex);
  ++this->requests_ended;
  ++this->failures[std::string(ToString(failure))];
}

void LoadTally::OnViolation(const RequestId& request,
                            const Violation& violation) {
  const RankedLock lock(this->mutex);
  ++this->violations_seen;
  if (this->violations.size() < kMaxViolationLines) {
    this->violations.push_back(fmt::format("request {}: expected {}; actual {}",
                                           request.value(), violation.expected,
                                           violation.actual));
  }
}

void LoadTally::OnAnswer(const LoadRequest& request,
                         const CheckedAnswer& answer,
                         Duration latency,
                         Duration since_sent,
                         bool is_warmup) {
  this->answer_shards += answer.shard_count;
  ++this->snapshots[answer.snapshot];
  if (is_warmup) {
    return;
  }
  CustomerTally& customer = this->customers[request.customer_number];
  ++customer.answers;
  customer.latencies.push_back(latency);
  ++this->answers;
  const double coverage = answer.shard_count == 0
                              ? 1
                              : Share(answer.covered_count, answer.shard_count);
  this->full_answers += answer.covered_count == answer.shard_count ? 1 : 0;
  this->coverage_sum += coverage;
  this->lowest_coverage = std::min(this->lowest_coverage, coverage);
  this->late_answers += since_sent > this->deadline ? 1 : 0;
}

void LoadTally::OnRefusal(const LoadRequest& request,
                          const CheckedRefusal& refusal,
                          Duration since_sent) {
  ++this->customers[request.customer_number].refusals;
  ++this->refusals[fmt::format("{}.{}", refusal.verdict, refusal.reason)];
  if (refusal.verdict == "did_not_run") {
    this->slowest_did_not_run = std::max(this->slowest_did_not_run, since_sent);
  }
}

Metrics LoadTally::Summary(Duration measured) const {
  const RankedLock lock(this->mutex);
  Metrics metrics;
  const double seconds = std::max(ToSeconds(measured), 1e-6);
  metrics.push_back(
      {"requests_ended", static_cast<double>(this->requests_ended)});
  metrics.push_back({"answers", static_cast<double>(this->answers)});
  metrics.push_back(
      {"answers_per_s", static_cast<double>(this->answers) / seconds});
  this->AddLatencies(metrics);
  this->AddCoverage(metrics);
  std::uint64_t refused = 0;
  for (const auto& [name, count] : this->refusals) {
    refused += count;
    metrics.push_back({"refused." + name, static_cast<double>(count)});
  }
  metrics.push_back({"refused", static_cast<double>(refused)});
  metrics.push_back(
      {"slowest_did_not_run_ms", ToMilliseconds(this->slowest_did_not_run)});
  std::uint64_t failed = 0;
  for (const auto& [name, count] : this->failures) {
    failed += count;
    metrics.push_back({"failed." + name, static_cast<double>(count)});
  }
  metrics.push_back({"failed", static_cast<double>(failed)});
  this->AddCustomers(measured, metrics);
  return metrics;
}

void LoadTally::AddLatencies(Metrics& metrics) const {
  std::vector<Duration> all;
  for (const CustomerTally& customer : this->customers) {
    all.insert(all.end(), customer.latencies.begin(), customer.latencies.end());
  }
  AddQuantiles("", std::move(all), metrics);
  metrics.push_back(
      {"answers_after_deadline", static_cast<double>(this->late_answers)});
}

void LoadTally::AddCoverage(Metrics& metrics) const {
  const double count = std::max<double>(static_cast<double>(this->answers), 1);
  metrics.push_back({"coverage", this->coverage_sum / count});
  metrics.push_back({"lowest_coverage", this->lowest_coverage});
  metrics.push_back(
      {"full_coverage_share", Share(this->full_answers, this->answers)});
  metrics.push_back(
      {"snapshots_seen", static_cast<double>(this->snapshots.size())});
}

void LoadTally::AddCustomers(Duration measured, Metrics& metrics) const {
  if (this->customers.size() < 2) {
    return;
  }
  const double seconds = std::max(ToSeconds(measured), 1e-6);
  for (const CustomerTally& customer : this->customers) {
    const std::string prefix = "customer." + customer.name + ".";
    metrics.push_back({prefix + "answers_per_s",
                       static_cast<double>(customer.answers) / seconds});
    metrics.push_back(
        {prefix + "refused", static_cast<double>(customer.refusals)});
    AddQuantiles(prefix, customer.latencies, metrics);
  }
}

std::vector<std::string> LoadTally::Violations() const {
  const RankedLock lock(this->mutex);
  return this->violations;
}

std::uint64_t LoadTally::violation_count() const {
  const RankedLock lock(this->mutex);
  return this->violations_seen;
}

std::uint64_t LoadTally::ended() const {
  const RankedLock lock(this->mutex);
  return this->requests_ended;
}

std::uint64_t LoadTally::primary_sub_requests() const {
  const RankedLock lock(this->mutex);
  return this->answer_shards;
}

}  // namespace marigold
