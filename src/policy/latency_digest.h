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
// is full, it replaces the older one. The relative error of a quantile is at
// most 1/16.
class LatencyDigest {
 public:
  // A histogram is full when it has `samples_per_histogram` samples.
  explicit LatencyDigest(std::uint32_t samples_per_histogram = 2048);

  // Commands.

  void Add(Duration latency);

  // Queries.

  // Returns the latency below which the given fraction of the recent samples
  // lies, or nothing while there are too few samples.
  std::optional<Duration> Quantile(Fraction quantile) const;

  // The number of samples in both histograms.
  std::uint32_t samples() const;

 private:
  // The number of buckets for each power of two.
  static constexpr std::size_t kSubBuckets = 16;
  // Covers latencies of up to 2^32 microseconds.
  static constexpr std::size_t kBuckets = 30 * kSubBuckets;

  struct Histogram {
    std::array<std::uint16_t, kBuckets> counts{};
    std::uint32_t total = 0;
  };

  static std::size_t BucketOf(Duration latency);
  // The lowest latency that belongs to the bucket.
  static Duration LowerEdge(std::size_t bucket);

  std::uint32_t histogram_capacity;
  Histogram newer_histogram;
  Histogram older_histogram;
};

}  // namespace marigold

#endif  // SRC_POLICY_LATENCY_DIGEST_H_
