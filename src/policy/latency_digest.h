#ifndef SRC_POLICY_LATENCY_DIGEST_H_
#define SRC_POLICY_LATENCY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "src/core/units.h"

namespace marigold {

// The recent latencies of one service in fixed space. Two histograms with
// buckets of constant relative width take turns: when the newer one is full,
// the older one is dropped. Quantiles are exact to one part in sixteen.
class LatencyDigest {
 public:
  // `window` is the number of samples after which a histogram is full.
  explicit LatencyDigest(std::uint32_t window = 2048);

  // Commands.

  void Add(Duration latency);

  // Queries.

  // The latency below which `quantile` of the recent samples lie; nothing while
  // there are too few samples to tell.
  std::optional<Duration> Quantile(Fraction quantile) const;

  std::uint32_t samples() const;

 private:
  static constexpr std::size_t kSubBuckets = 16;
  // Covers latencies of up to 2^32 microseconds.
  static constexpr std::size_t kBuckets = 30 * kSubBuckets;

  struct Histogram {
    std::array<std::uint16_t, kBuckets> counts{};
    std::uint32_t total = 0;
  };

  static std::size_t BucketOf(Duration latency);
  static Duration LowerEdge(std::size_t bucket);

  std::uint32_t histogram_capacity;
  Histogram newer_histogram;
  Histogram older_histogram;
};

}  // namespace marigold

#endif  // SRC_POLICY_LATENCY_DIGEST_H_
