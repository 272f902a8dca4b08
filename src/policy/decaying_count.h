#ifndef SRC_POLICY_DECAYING_COUNT_H_
#define SRC_POLICY_DECAYING_COUNT_H_

#include <cmath>
#include <numbers>

#include "src/core/units.h"

namespace marigold {

// Counts events with exponential decay. The weight of an event halves every
// four seconds, unless another half-life is given.
class DecayingCount {
 public:
  static constexpr Duration kDefaultHalfLife = std::chrono::seconds(4);

  DecayingCount() = default;
  explicit DecayingCount(Duration count_half_life)
      : half_life(count_half_life) {}

  // Commands.

  void Add(MonotonicTime now) {
    this->count = this->ValueAt(now) + 1;
    this->updated_at = now;
  }

  // Queries.

  // The sum of the weights of all events.
  double ValueAt(MonotonicTime now) const {
    const double half_lives =
        static_cast<double>((now - this->updated_at).count()) /
        static_cast<double>(this->half_life.count());
    return this->count * std::exp2(-half_lives);
  }

  // The average rate of the last seconds, in which recent events have more
  // weight.
  RatePerSecond RateAt(MonotonicTime now) const {
    return RatePerSecond(this->ValueAt(now) / MeanSeconds(this->half_life));
  }

  // The sum of the weights at a constant rate of 1 per second.
  static constexpr double MeanSeconds(Duration half_life) {
    return ToSeconds(half_life) / std::numbers::ln2;
  }

 private:
  Duration half_life = kDefaultHalfLife;
  double count = 0;
  MonotonicTime updated_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_DECAYING_COUNT_H_
