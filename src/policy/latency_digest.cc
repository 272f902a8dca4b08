#include "src/policy/latency_digest.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace marigold {

namespace {

// The minimum number of samples. With fewer, a high quantile would depend on a
// single sample.
constexpr std::uint32_t kMinSamples = 64;
// The binary logarithm of `kSubBuckets`.
constexpr unsigned kSubBucketBits = 4;

}  // namespace

LatencyDigest::LatencyDigest(std::uint32_t samples_per_histogram)
    : histogram_capacity(std::clamp<std::uint32_t>(
          samples_per_histogram,
          kMinSamples,
          std::numeric_limits<std::uint16_t>::max())) {}

void LatencyDigest::Add(Duration latency) {
  if (this->newer_histogram.total >= this->histogram_capacity) {
    this->older_histogram = this->newer_histogram;
    this->newer_histogram = Histogram();
  }
  ++this->newer_histogram.counts[BucketOf(latency)];
  ++this->newer_histogram.total;
}

std::optional<Duration> LatencyDigest::Quantile(Fraction quantile) const {
  const std::uint32_t total = this->samples();
  if (total < kMinSamples) {
    return std::nullopt;
  }
  const double rank = quantile.value() * static_cast<double>(total);
  double count_below = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const double count = this->newer_histogram.counts[bucket] +
                         this->older_histogram.counts[bucket];
    if (count > 0 && count_below + count >= rank) {
      const Duration lower_edge = LowerEdge(bucket);
      const double width =
          static_cast<double>((LowerEdge(bucket + 1) - lower_edge).count());
      const double bucket_fraction =
          std::clamp((rank - count_below) / count, 0.0, 1.0);
      return lower_edge +
             Duration(static_cast<std::int64_t>(width * bucket_fraction));
    }
    count_below += count;
  }
  return LowerEdge(kBuckets);
}

std::uint32_t LatencyDigest::samples() const {
  return this->newer_histogram.total + this->older_histogram.total;
}

// Buckets are linear below 16 microseconds. Above, each power of two has 16
// buckets.
std::size_t LatencyDigest::BucketOf(Duration latency) {
  const auto value =
      static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
  if (value < kSubBuckets) {
    return static_cast<std::size_t>(value);
  }
  const auto shift =
      static_cast<unsigned>(std::bit_width(value)) - 1 - kSubBucketBits;
  const std::size_t bucket =
      (std::size_t{shift} + 1) * kSubBuckets + ((value >> shift) - kSubBuckets);
  return std::min(bucket, kBuckets - 1);
}

Duration LatencyDigest::LowerEdge(std::size_t bucket) {
  if (bucket < kSubBuckets) {
    return Duration(static_cast<std::int64_t>(bucket));
  }
  const std::size_t shift = bucket / kSubBuckets - 1;
  const std::size_t mantissa = bucket % kSubBuckets + kSubBuckets;
  return Duration(static_cast<std::int64_t>(mantissa << shift));
}

}  // namespace marigold
