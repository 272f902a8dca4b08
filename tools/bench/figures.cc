#include "tools/bench/figures.h"

#include <fmt/format.h>

#include <algorithm>

namespace marigold {

namespace {

double QuantileMs(const std::vector<Duration>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return ToMilliseconds(sorted[std::min(rank, sorted.size() - 1)]);
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

std::vector<std::pair<std::string, std::string>> ToNameValuePairs(
    const Figures& figures) {
  const auto decimal = [](double value) {
    return fmt::format("{:.4f}", value);
  };
  const auto milliseconds = [](double value) {
    return fmt::format("{:.2f}", value);
  };
  const auto count = [](std::uint64_t value) {
    return fmt::format("{}", value);
  };
  return {
      {"p50_ms", milliseconds(figures.p50_ms)},
      {"p99_ms", milliseconds(figures.p99_ms)},
      {"p999_ms", milliseconds(figures.p999_ms)},
      {"coverage", fmt::format("{:.6f}", figures.coverage)},
      {"coverage_known", fmt::format("{:.6f}", figures.coverage_known)},
      {"extra_load", decimal(figures.extra_load)},
      {"hedges", decimal(figures.hedges)},
      {"retries", decimal(figures.retries)},
      {"trials", decimal(figures.trials)},
      {"refusals", count(figures.refusals)},
      {"refusal_ms", milliseconds(figures.refusal_ms)},
      {"fairness", decimal(figures.fairness)},
      {"others_p99_ms", milliseconds(figures.others_p99_ms)},
      {"goodput", decimal(figures.goodput)},
      {"burst_busy", decimal(figures.burst_busy)},
      {"searches", count(figures.searches)},
      {"failed", count(figures.failed)},
      {"connects", count(figures.connects)},
  };
}

void FigureRecorder::OnAttempt(AttemptKind kind) {
  ++this->attempts_by_kind[static_cast<std::size_t>(kind)];
}

void FigureRecorder::OnOffer(std::size_t customer) {
  if (customer >= this->customers.size()) {
    this->customers.resize(customer + 1);
  }
  ++this->customers[customer].offered;
}

void FigureRecorder::OnSearch(std::size_t customer,
                              Duration latency,
                              Fraction coverage,
                              bool is_loss_listed) {
  this->customers.at(customer).latencies.push_back(latency);
  this->coverage_sum += coverage.value();
  if (is_loss_listed) {
    ++this->searches_after_listing;
    this->coverage_sum_after_listing += coverage.value();
  }
}

void FigureRecorder::OnFailedSearch(bool is_loss_listed) {
  ++this->failed;
  this->searches_after_listing += is_loss_listed ? 1 : 0;
}

void FigureRecorder::OnRefusal(Duration wait_time) {
  ++this->refusals;
  this->longest_refusal_wait = std::max(this->longest_refusal_wait, wait_time);
}

Figures FigureRecorder::Compute(double burst_busy) const {
  Figures figures;
  std::vector<Duration> sorted;
  std::vector<Duration> others;
  for (std::size_t i = 0; i < this->customers.size(); ++i) {
    const Customer& customer = this->customers[i];
    const auto& latencies = customer.latencies;
    sorted.insert(sorted.end(), latencies.begin(), latencies.end());
    if (i > 0) {
      others.insert(others.end(), latencies.begin(), latencies.end());
      figures.fairness = std::min(figures.fairness,
                                  Ratio(static_cast<double>(latencies.size()),
                                        static_cast<double>(customer.offered)));
    }
  }
  std::sort(sorted.begin(), sorted.end());
  std::sort(others.begin(), others.end());
  const auto attempts_of = [this](AttemptKind kind) {
    return static_cast<double>(
        this->attempts_by_kind[static_cast<std::size_t>(kind)]);
  };
  const double primaries = attempts_of(AttemptKind::kPrimary);
  figures.p50_ms = QuantileMs(sorted, 0.5);
  figures.p99_ms = QuantileMs(sorted, 0.99);
  figures.p999_ms = QuantileMs(sorted, 0.999);
  figures.searches = sorted.size() + this->failed;
  figures.coverage =
      Ratio(this->coverage_sum, static_cast<double>(figures.searches));
  figures.coverage_known =
      Ratio(this->coverage_sum_after_listing,
            static_cast<double>(this->searches_after_listing));
  figures.hedges = Ratio(attempts_of(AttemptKind::kHedge), primaries);
  figures.retries = Ratio(attempts_of(AttemptKind::kRetry), primaries);
  figures.trials = Ratio(attempts_of(AttemptKind::kTrial), primaries);
  figures.extra_load = figures.hedges + figures.retries + figures.trials;
  figures.failed = this->failed;
  figures.refusals = this->refusals;
  figures.refusal_ms = ToMilliseconds(this->longest_refusal_wait);
  figures.others_p99_ms = QuantileMs(others, 0.99);
  figures.burst_busy = burst_busy;
  figures.goodput =
      burst_busy *
      std::min(Ratio(static_cast<double>(this->burst_covered_shards),
                     static_cast<double>(this->burst_attempts)),
               1.0);
  return figures;
}

}  // namespace marigold
