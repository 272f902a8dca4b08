#ifndef SRC_POLICY_SERVICE_TRAFFIC_H_
#define SRC_POLICY_SERVICE_TRAFFIC_H_

#include <optional>
#include <string_view>

#include "src/core/units.h"
#include "src/policy/latency_digest.h"
#include "src/policy/token_budget.h"

namespace marigold {

struct TrafficSettings {
  // The maximum ratio of hedged requests to primary sub-requests.
  Fraction hedge_share{0.04};
  double max_hedge_tokens = 30;
  // The maximum ratio of retries to primary sub-requests.
  Fraction retry_share{0.1};
  double max_retry_tokens = 400;
  // No hedged request is sent within this time after a server shed load.
  Duration hedge_pause_after_shed = std::chrono::milliseconds(500);
};

// The degree of congestion of the backend servers of a service.
enum class Congestion {
  kNone,
  // Requests wait for slots. More requests would lengthen the latency tail of
  // all requests.
  kQueueing,
  // The number of requests that run has to be reduced.
  kOverload,
};

// Stable text for logs and metrics, such as "queueing".
std::string_view ToString(Congestion congestion);

// Tracks what one entry process observes of the sub-requests of one service,
// and holds the token budgets for hedged requests and retries.
class ServiceTraffic {
 public:
  explicit ServiceTraffic(const TrafficSettings& traffic_settings);

  // Commands.

  // A primary sub-request was sent, which adds tokens to the budgets.
  void OnPrimary();

  // An attempt took this long to reply, or was cancelled after this time.
  void OnAttemptLatency(Duration latency);

  // A shard was covered, or given up, this long after its first attempt.
  void OnShardLatency(Duration latency);

  // An attempt ended with a reply or a failure. Cancelled attempts are not
  // reported.
  void OnOutcome(MonotonicTime now, bool was_shed);

  // A server reported its load, in requests per slot. Reports with less trust
  // have less weight.
  void OnReportedLoad(double load, Fraction trust);

  // Spends a token for one hedged request. Returns false if there is none, or
  // while servers are overloaded or shed load.
  bool TryHedge(MonotonicTime now);
  // Returns the token of a hedged request that was not sent.
  void ReturnHedge();

  // Spends `cost` tokens for retries. Returns false if there are fewer.
  bool TryRetry(double cost);
  // Returns the tokens of retries that were not sent.
  void ReturnRetry(double cost);

  // Queries.

  // True if a server shed load less than
  // `TrafficSettings::hedge_pause_after_shed` ago.
  bool IsShedding(MonotonicTime now) const;

  Congestion congestion() const;

  // The mean of the recent load reports, in requests per slot.
  double load_per_slot() const { return this->mean_load; }

  // The mean share of busy slots according to the recent load reports.
  Fraction busy_share() const { return Fraction(this->mean_busy_share); }

  // The approximate median latency of the last hundred attempts. Empty while
  // there are too few samples.
  std::optional<Duration> typical_latency() const {
    return this->attempt_latencies.samples() >= kMinSamplesForMedian
               ? this->median_latency
               : std::nullopt;
  }

  const LatencyDigest& attempt_digest() const {
    return this->attempt_latencies;
  }
  const LatencyDigest& shard_digest() const { return this->shard_latencies; }
  double hedge_tokens() const { return this->hedge_token_budget.available(); }
  double retry_tokens() const { return this->retry_token_budget.available(); }

 private:
  static constexpr std::uint32_t kMinSamplesForMedian = 64;

  TrafficSettings settings;
  LatencyDigest attempt_latencies;
  LatencyDigest shard_latencies;
  TokenBudget hedge_token_budget;
  TokenBudget retry_token_budget;
  std::optional<Duration> median_latency;
  std::optional<MonotonicTime> last_shed;
  // The share of the recent attempts that were shed.
  double shed_share = 0;
  // The mean requests per slot according to the recent reports.
  double mean_load = 0;
  double mean_busy_share = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVICE_TRAFFIC_H_
