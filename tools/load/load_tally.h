#ifndef TOOLS_LOAD_LOAD_TALLY_H_
#define TOOLS_LOAD_LOAD_TALLY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/net/http/http_client.h"
#include "tools/load/answer_check.h"
#include "tools/load/metrics.h"

namespace marigold {

// Returns a stable name for metrics, such as "not_sent".
std::string_view ToString(ExchangeFailure failure);

// Counts the outcomes of a run. Safe to use from several threads.
class LoadTally {
 public:
  LoadTally(const std::vector<CustomerWeight>& run_customers,
            Duration deadline_limit);

  // Commands.

  // Counts a checked response. `latency` is measured from the intended send
  // time and `since_sent` from the actual one. Answers of the warm-up are left
  // out of the latencies, the coverage and the number of answers.
  void OnResponse(const LoadRequest& request,
                  const CheckOutcome& outcome,
                  Duration latency,
                  Duration since_sent,
                  bool is_warmup);

  // Counts a request that ended without a response that can be checked.
  void OnFailure(const LoadRequest& request, ExchangeFailure failure);
  void OnViolation(const RequestId& request, const Violation& violation);

  // Queries.

  // Returns the metrics of the run. Rates are per second of `measured`, the
  // duration of the run without its warm-up.
  Metrics Summary(Duration measured) const;

  // Returns the first violations, one line each. At most five are kept.
  std::vector<std::string> Violations() const;

  // The number of all violations.
  std::uint64_t violation_count() const;
  // The number of requests that have ended.
  std::uint64_t ended() const;
  // The number of shards of all answers, which is the minimum number of
  // sub-requests that they need.
  std::uint64_t primary_sub_requests() const;

 private:
  struct CustomerTally {
    std::string name;
    std::vector<Duration> latencies;
    std::uint64_t answers = 0;
    std::uint64_t refusals = 0;
  };

  void OnAnswer(const LoadRequest& request,
                const CheckedAnswer& answer,
                Duration latency,
                Duration since_sent,
                bool is_warmup);
  void OnRefusal(const LoadRequest& request,
                 const CheckedRefusal& refusal,
                 Duration since_sent);
  void AddCoverage(Metrics& metrics) const;
  void AddLatencies(Metrics& metrics) const;
  void AddCustomers(Duration measured, Metrics& metrics) const;

  Duration deadline;
  mutable RankedMutex<LockRank::kLoadRun> mutex;
  std::vector<CustomerTally> customers;
  std::map<std::string, std::uint64_t> refusals;
  std::map<std::string, std::uint64_t> failures;
  std::vector<std::string> violations;
  std::uint64_t violations_seen = 0;
  std::uint64_t requests_ended = 0;
  std::uint64_t answers = 0;
  std::uint64_t full_answers = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t answer_shards = 0;
  double coverage_sum = 0;
  double lowest_coverage = 1;
  Duration slowest_did_not_run{};
  std::map<SnapshotId, std::uint64_t> snapshots;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_TALLY_H_
