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

// Stable text for metric names, such as "not_sent".
std::string_view ToString(ExchangeFailure failure);

// The outcomes of a run, shared by all workers.
class LoadTally {
 public:
  LoadTally(const std::vector<CustomerWeight>& run_customers,
            Duration deadline_limit);

  // Commands.

  // `latency` counts from the intended send time, `since_sent` from the actual
  // one. Outcomes of the warm-up are checked and not measured.
  void OnResponse(const LoadRequest& request,
                  const CheckOutcome& outcome,
                  Duration latency,
                  Duration since_sent,
                  bool is_warmup);
  void OnFailure(const LoadRequest& request, ExchangeFailure failure);
  void OnViolation(const RequestId& request, const Violation& violation);

  // Queries.

  // Figures of the run; rates are over `measured`.
  Metrics Summary(Duration measured) const;

  // The first violations, each in one line.
  std::vector<std::string> Violations() const;

  std::uint64_t violation_count() const;
  // Requests that have ended.
  std::uint64_t ended() const;
  // Shards of all answers: the sub-requests that they need at least.
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
