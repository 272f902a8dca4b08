#include "tools/load/arrivals.h"

#include <cmath>

namespace marigold {

Duration PoissonArrivals::Next() {
  this->seconds +=
      -std::log(1 - this->random.NextDouble()) / this->rate.value();
  return FromSeconds(this->seconds);
}

}  // namespace marigold
