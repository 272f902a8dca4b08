#ifndef TOOLS_BENCH_FIGURES_H_
#define TOOLS_BENCH_FIGURES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// What a run of the benchmark measured.
struct Figures {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  // Mean over all searches that were not refused by admission.
  double coverage = 1;
  // The same over searches that began after the loss of servers was listed.
  double coverage_known = 1;
  // Hedged requests, retries and trials over primary sub-requests.
  double extra_load = 0;
  double hedges = 0;
  double retries = 0;
  double trials = 0;
  std::uint64_t searches = 0;
  std::uint64_t restarts = 0;
  // Searches without an answer, other than those refused by admission.
  std::uint64_t failed = 0;
  std::uint64_t refusals = 0;
  // The longest time from arrival to a refusal.
  double refusal_ms = 0;
  // Of the customers other than the first: the lowest share of offered searches
  // that were answered, and the 99th percentile.
  double fairness = 1;
  double others_p99_ms = 0;
  // Of the work that the servers could do during bursts, the part that they did
  // for shards that were covered; 0 without bursts.
  double goodput = 0;
  double burst_busy = 0;
  std::uint64_t connects = 0;
};

// Name and value of every figure, in the order of printing.
std::vector<std::pair<std::string, std::string>> ToNameValuePairs(
    const Figures& figures);

// Gathers what the figures are made of.
class FigureRecorder {
 public:
  // Commands.

  void OnAttempt(AttemptKind kind);

  void OnOffer(std::size_t customer);

  // A search that began after `searches_after_listing` if `is_loss_listed`.
  void OnSearch(std::size_t customer,
                Duration latency,
                Fraction coverage,
                bool is_loss_listed);
  void OnFailedSearch(bool is_loss_listed);
  void OnRefusal(Duration wait_time);
  // Attempts that a server refused count as work for nobody.
  void OnBurstAttempt() { ++this->burst_attempts; }
  void OnBurstAttemptRefused() { --this->burst_attempts; }
  void OnBurstCoverage(std::size_t shards) {
    this->burst_covered_shards += shards;
  }

  // Queries.

  // `burst_busy` is the share of busy slots during bursts.
  Figures Compute(double burst_busy) const;

 private:
  struct Customer {
    std::uint64_t offered = 0;
    std::vector<Duration> latencies;
  };

  std::array<std::uint64_t, 4> attempts{};
  std::vector<Customer> customers;
  double coverage_sum = 0;
  double coverage_sum_after_listing = 0;
  std::uint64_t searches_after_listing = 0;
  std::uint64_t failed = 0;
  std::uint64_t refusals = 0;
  Duration longest_refusal_wait{};
  std::uint64_t burst_attempts = 0;
  std::uint64_t burst_covered_shards = 0;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_FIGURES_H_
