#ifndef SRC_POLICY_HEDGING_H_
#define SRC_POLICY_HEDGING_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>

#include "src/core/units.h"
#include "src/policy/service_traffic.h"

namespace marigold {

// Decides when a sub-request is late enough for a second attempt elsewhere.
// Whether the second attempt is affordable is decided by the service's budget.
template <class T>
concept HedgePolicy = requires(const T& policy, const ServiceTraffic& traffic) {
  // Time from an attempt to the next one; nothing for no hedging.
  { policy.Delay(traffic) } -> std::same_as<std::optional<Duration>>;
  // Hedged requests of one shard in one search.
  { policy.MaxPerShard() } -> std::same_as<std::uint32_t>;
};

// The baseline that hedging has to beat.
class NoHedge {
 public:
  std::optional<Duration> Delay(const ServiceTraffic& /*traffic*/) const {
    return std::nullopt;
  }

  std::uint32_t MaxPerShard() const { return 0; }
};

// A delay that is set once: the simpler form of hedging.
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

// The delay follows a percentile of the service's recent latencies, so that the
// share of hedged sub-requests stays the same when the service gets slower. The
// percentile is lower when the tail is heavy: a second attempt that takes the
// median then arrives well before the first one.
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

  // The second one covers the case that the first is a straggler too: with 190
  // shards and one straggler in 100 attempts that is 1 search in 50.
  std::uint32_t MaxPerShard() const { return 2; }

 private:
  // Hedging at this percentile costs 1.25% additional load. A service without
  // stragglers may cost 2%, of which retries and trials need a part.
  static constexpr Fraction kLightTailQuantile{0.9875};
  // With stragglers 3.5% are affordable.
  static constexpr Fraction kHeavyTailQuantile{0.965};
  // An attempt is worth hedging early after 3.5 times the median. With 3 times
  // the median an ordinary queue at 80% load is taken for stragglers.
  static constexpr Fraction kMedian{0.5};
  static constexpr int kMedianFactorNumerator = 7;
  static constexpr int kMedianFactorDenominator = 2;
  // Shorter delays would hedge on scheduling noise.
  static constexpr Duration kMinDelay = std::chrono::milliseconds(1);
};

}  // namespace marigold

#endif  // SRC_POLICY_HEDGING_H_
