#ifndef SRC_POLICY_LATENCY_DIGEST_H_
#define SRC_POLICY_LATENCY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "src/core/units.h"

namespace marigold {

// Estimates quantiles of recent latencies in constant memory. Keeps two
// histograms whose buckets have a constant relative width. When the newer one
// is full, it replaces the older one, which is dropped. Quantiles are exact to
// one part in sixteen.
class LatencyDigest {
 public:
  // `samples_per_histogram` is the number of samples that fills a histogram.
  explicit LatencyDigest(std::uint32_t samples_per_histogram = 2048);

  // Commands.

  void Add(Duration latency);

  // Queries.

  // The latency below which the given fraction of the recent samples lies.
  // Returns nothing while there are too few samples.
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
