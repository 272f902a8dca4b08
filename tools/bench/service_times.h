#ifndef TOOLS_BENCH_SERVICE_TIMES_H_
#define TOOLS_BENCH_SERVICE_TIMES_H_

#include <cstdint>
#include <vector>

#include "src/core/random.h"
#include "src/core/units.h"

namespace marigold {

// Random service times: lognormal, of which a part are stragglers.
class ServiceTimes {
 public:
  ServiceTimes(Duration mean, Fraction straggler_fraction);

  Duration Draw(SeededRandom& random) const;

  // Stragglers included.
  Duration Mean() const;

 private:
  // Equally likely values in microseconds.
  std::vector<std::int64_t> table;
  Fraction stragglers;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_SERVICE_TIMES_H_
