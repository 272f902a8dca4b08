#ifndef SRC_POLICY_SERVICE_TRAFFIC_H_
#define SRC_POLICY_SERVICE_TRAFFIC_H_

#include <optional>

#include "src/core/units.h"
#include "src/policy/latency_digest.h"
#include "src/policy/token_budget.h"

namespace marigold {

struct TrafficSettings {
  // Hedged requests over primary sub-requests.
  Fraction hedge_share{0.04};
  double max_hedge_tokens = 30;
  // Retries over primary sub-requests.
  Fraction retry_share{0.1};
  double max_retry_tokens = 400;
  // No hedged request is sent for this long after a server shed load.
  Duration shed_hold = std::chrono::milliseconds(500);
};

// How busy the backend servers of a service are.
enum class Congestion {
  kNone,
  // Requests wait for slots; more of them would lengthen everybody's tail.
  kQueueing,
  // Fewer requests should run.
  kOverload,
};

// What one entry process observed of one service's sub-requests, and the
// budgets for additional ones.
class ServiceTraffic {
 public:
  explicit ServiceTraffic(const TrafficSettings& traffic_settings);

  // Commands.

  // A primary sub-request was sent; the budgets earn.
  void OnPrimary();

  // An attempt took this long, or was given up after this long.
  void OnAttemptLatency(Duration latency);

  // A shard was covered this long after its first attempt.
  void OnShardLatency(Duration latency);

  // An attempt ended otherwise than by a cancellation.
  void OnOutcome(MonotonicTime now, bool was_shed);

  // A server reported so many requests for each of its slots. Reports that own
  // observations contradict count less.
  void OnReportedLoad(double load, Fraction trust);

  // Spends a token for one hedged request. False while servers are overloaded
  // or shed load.
  bool TryHedge(MonotonicTime now);
  void ReturnHedge();

  bool TryRetry(double cost);
  void ReturnRetry(double cost);

  // Queries.

  // Some server shed load a short time ago.
  bool IsShedding(MonotonicTime now) const;

  Congestion congestion() const;

  // Mean of the recent load reports, over the servers' slots.
  double load_per_slot() const { return this->mean_load; }

  // The mean share of busy slots, by the recent load reports.
  Fraction busy_share() const { return Fraction(this->mean_busy_share); }

  // About the median latency of the last hundred attempts. Nothing while there
  // are too few samples to tell.
  std::optional<Duration> typical_latency() const {
    return this->attempt_latencies.samples() >= kMinSamplesForMedian
               ? this->median
               : std::nullopt;
  }

  const LatencyDigest& attempt_digest() const {
    return this->attempt_latencies;
  }
  const LatencyDigest& shard_digest() const { return this->shard_latencies; }
  double hedge_tokens() const { return this->hedges.available(); }
  double retry_tokens() const { return this->retries.available(); }

 private:
  static constexpr std::uint32_t kMinSamplesForMedian = 64;

  TrafficSettings settings;
  LatencyDigest attempt_latencies;
  LatencyDigest shard_latencies;
  TokenBudget hedges;
  TokenBudget retries;
  std::optional<Duration> median;
  std::optional<MonotonicTime> last_shed;
  // Of the recent attempts.
  double shed_share = 0;
  // Mean of the recent reports.
  double mean_load = 0;
  double mean_busy_share = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVICE_TRAFFIC_H_
