#ifndef TOOLS_LOAD_ARRIVALS_H_
#define TOOLS_LOAD_ARRIVALS_H_

#include <cstdint>

#include "src/core/random.h"
#include "src/core/units.h"

namespace marigold {

// Generates the arrival times of a Poisson process, which models callers that
// do not wait for each other.
class PoissonArrivals {
 public:
  PoissonArrivals(RatePerSecond arrival_rate, std::uint64_t seed)
      : rate(arrival_rate), random(seed) {}

  // Returns the next arrival time, relative to the start. Times never decrease.
  Duration Next();

 private:
  RatePerSecond rate;
  SeededRandom random;
  // The last arrival time, relative to the start.
  double seconds = 0;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_ARRIVALS_H_
