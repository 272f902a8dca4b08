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

// Results of one run of the benchmark. Ratios have no unit.
struct Figures {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  // Mean coverage of all searches that admission did not refuse.
  double coverage = 1;
  // Mean coverage of the searches that arrived after the platform's list showed
  // the loss of servers.
  double coverage_known = 1;
  // Ratio of hedged requests, retries and trials to primary sub-requests.
  double extra_load = 0;
  double hedges = 0;
  double retries = 0;
  double trials = 0;
  std::uint64_t searches = 0;
  std::uint64_t restarts = 0;
  // Searches without an answer, not counting those refused by admission.
  std::uint64_t failed = 0;
  std::uint64_t refusals = 0;
  // Longest time from the arrival of a search to its refusal.
  double refusal_ms = 0;
  // Of all customers except the first: the lowest share of a customer's offered
  // searches that were answered, and the 99th percentile of the latency.
  double fairness = 1;
  double others_p99_ms = 0;
  // Share of the servers' capacity during bursts that was spent on shards
  // covered by an answer, and share that was busy. Both are 0 without bursts.
  double goodput = 0;
  double burst_busy = 0;
  std::uint64_t connects = 0;
};

// Returns the name and the value of each figure in the order of printing.
std::vector<std::pair<std::string, std::string>> ToNameValuePairs(
    const Figures& figures);

// Records the events of a run, from which it computes the figures.
class FigureRecorder {
 public:
  // Commands.

  void OnAttempt(AttemptKind kind);

  void OnOffer(std::size_t customer);

  // Records an answered search. `is_loss_listed` is true if the search arrived
  // after the platform's list showed the loss of servers.
  void OnSearch(std::size_t customer,
                Duration latency,
                Fraction coverage,
                bool is_loss_listed);
  void OnFailedSearch(bool is_loss_listed);
  void OnRefusal(Duration wait_time);
  // Attempts that a server refused do not count as work.
  void OnBurstAttempt() { ++this->burst_attempts; }
  void OnBurstAttemptRefused() { --this->burst_attempts; }
  void OnBurstCoverage(std::size_t shards) {
    this->burst_covered_shards += shards;
  }

  // Queries.

  // Computes the figures. `burst_busy` is the share of busy slots during
  // bursts.
  Figures Compute(double burst_busy) const;

 private:
  struct Customer {
    std::uint64_t offered = 0;
    std::vector<Duration> latencies;
  };

  std::array<std::uint64_t, 4> attempts_by_kind{};
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
