#ifndef SRC_POLICY_DECAYING_COUNT_H_
#define SRC_POLICY_DECAYING_COUNT_H_

#include <cmath>

#include "src/core/units.h"

namespace marigold {

// Counts events with exponential decay. The weight of an event halves every
// four seconds.
class DecayingCount {
 public:
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
        static_cast<double>(kHalfLife.count());
    return this->count * std::exp2(-half_lives);
  }

 private:
  static constexpr Duration kHalfLife = std::chrono::seconds(4);

  double count = 0;
  MonotonicTime updated_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_DECAYING_COUNT_H_
