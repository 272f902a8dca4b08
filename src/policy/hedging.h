#ifndef SRC_POLICY_HEDGING_H_
#define SRC_POLICY_HEDGING_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>

#include "src/core/units.h"
#include "src/policy/service_traffic.h"

namespace marigold {

// Decides how long a sub-request may be without a reply until a hedged request
// is sent to another replica. The hedge budget of the service decides whether
// the hedged request may be sent.
template <class T>
concept HedgePolicy = requires(const T& policy, const ServiceTraffic& traffic) {
  // The time from an attempt to the next one; empty if nothing is hedged.
  { policy.Delay(traffic) } -> std::same_as<std::optional<Duration>>;
  // The maximum number of hedged requests for one shard in one search.
  { policy.MaxPerShard() } -> std::same_as<std::uint32_t>;
};

// Sends no hedged requests. This is the baseline for the other policies.
class NoHedge {
 public:
  std::optional<Duration> Delay(const ServiceTraffic& /*traffic*/) const {
    return std::nullopt;
  }

  std::uint32_t MaxPerShard() const { return 0; }
};

// Hedges after a constant delay.
class FixedDelayHedge {
 public:
  explicit FixedDelayHedge(Duration hedge_delay) : delay(hedge_delay) {}

  std::optional<Duration> Delay(const ServiceTraffic& /*traffic*/) const {
    return this->delay;
  }

  std::uint32_t MaxPerShard() const { return 1; }

 private:
  Duration delay;
};

// Hedges after a percentile of the service's recent latencies, so that the
// share of hedged sub-requests stays the same when the service gets slower. The
// percentile is lower when the tail is heavy, because a second attempt that
// takes the median latency then replies well before the first one.
class PercentileHedge {
 public:
  std::optional<Duration> Delay(const ServiceTraffic& traffic) const {
    const LatencyDigest& attempts = traffic.attempt_digest();
    const std::optional<Duration> light_tail_delay =
        attempts.Quantile(kLightTailQuantile);
    if (!light_tail_delay) {
      return std::nullopt;
    }
    const Duration heavy_tail_delay =
        std::max(*attempts.Quantile(kHeavyTailQuantile),
                 *attempts.Quantile(kMedian) * kMedianFactorNumerator /
                     kMedianFactorDenominator);
    return std::max(std::min(*light_tail_delay, heavy_tail_delay), kMinDelay);
  }

  // The second hedged request covers the case that the first one is a straggler
  // too. With 190 shards and one straggler in 100 attempts, this happens in 1
  // of 50 searches.
  std::uint32_t MaxPerShard() const { return 2; }

 private:
  // Hedging at this percentile adds 1.25% load. The limit for a service without
  // stragglers is 2%, of which retries and trials need a part.
  static constexpr Fraction kLightTailQuantile{0.9875};
  // For a service with stragglers, 3.5% additional load is acceptable.
  static constexpr Fraction kHeavyTailQuantile{0.965};
  // For a heavy tail, the delay is at least 3.5 times the median latency. With
  // 3 times the median, an ordinary queue at 80% load is taken for stragglers.
  static constexpr Fraction kMedian{0.5};
  static constexpr int kMedianFactorNumerator = 7;
  static constexpr int kMedianFactorDenominator = 2;
  // With a shorter delay, scheduling noise alone would cause hedged requests.
  static constexpr Duration kMinDelay = std::chrono::milliseconds(1);
};

}  // namespace marigold

#endif  // SRC_POLICY_HEDGING_H_
