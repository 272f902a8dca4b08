#ifndef TOOLS_BENCH_SERVICE_TIMES_H_
#define TOOLS_BENCH_SERVICE_TIMES_H_

#include <cstdint>
#include <vector>

#include "src/core/random.h"
#include "src/core/units.h"

namespace marigold {

// Draws random service times from a lognormal distribution. A fraction of them
// are stragglers, which take 20 times as long.
class ServiceTimes {
 public:
  ServiceTimes(Duration mean, Fraction straggler_fraction);

  Duration Draw(SeededRandom& random) const;

  // Mean of the service times, including stragglers.
  Duration Mean() const;

 private:
  // Equally likely service times in microseconds.
  std::vector<std::int64_t> service_times;
  Fraction stragglers;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_SERVICE_TIMES_H_
