#include "tools/bench/service_times.h"

#include <cmath>
#include <numbers>
#include <numeric>

namespace marigold {

namespace {

constexpr std::size_t kTableSize = 8192;
// Standard deviation of the logarithm of the service time. It gives a 99th
// percentile of 2.8 times the mean.
constexpr double kSigma = 0.5;
constexpr std::int64_t kStragglerFactor = 20;
constexpr std::uint64_t kTableSeed = 1;

}  // namespace

ServiceTimes::ServiceTimes(Duration mean, Fraction straggler_fraction)
    : stragglers(straggler_fraction) {
  SeededRandom random(kTableSeed);
  this->service_times.reserve(kTableSize);
  const double scale =
      static_cast<double>(mean.count()) * std::exp(-kSigma * kSigma / 2);
  for (std::size_t i = 0; i < kTableSize; ++i) {
    const double radius = std::sqrt(-2 * std::log(1 - random.NextDouble()));
    const double angle = 2 * std::numbers::pi * random.NextDouble();
    const double normal = radius * std::cos(angle);
    this->service_times.push_back(
        static_cast<std::int64_t>(scale * std::exp(kSigma * normal)));
  }
}

Duration ServiceTimes::Mean() const {
  const double sum = static_cast<double>(std::accumulate(
      this->service_times.begin(), this->service_times.end(), std::int64_t{0}));
  const double mean_factor =
      1 + this->stragglers.value() * (kStragglerFactor - 1);
  return Duration(static_cast<std::int64_t>(
      sum * mean_factor / static_cast<double>(this->service_times.size())));
}

Duration ServiceTimes::Draw(SeededRandom& random) const {
  const std::int64_t time =
      this->service_times[random.NextBelow(this->service_times.size())];
  const bool is_straggler = this->stragglers.value() > 0 &&
                            random.NextDouble() < this->stragglers.value();
  return Duration(is_straggler ? time * kStragglerFactor : time);
}

}  // namespace marigold
