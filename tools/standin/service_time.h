#ifndef TOOLS_STANDIN_SERVICE_TIME_H_
#define TOOLS_STANDIN_SERVICE_TIME_H_

#include "src/core/random.h"
#include "src/core/units.h"

namespace marigold {

// The distribution of the time that a searcher works on a search: lognormal,
// with a fraction of stragglers, and longer after a start.
struct ServiceTimeSettings {
  Duration median = std::chrono::milliseconds(2);
  // Standard deviation of the logarithm of the service time.
  double spread = 0.3;
  Fraction straggler_share;
  // The service time of a straggler is multiplied by this.
  double straggler_factor = 10;
  // The factor right after the start of a server. It decreases linearly to 1
  // within `cold_time`.
  double cold_factor = 3;
  Duration cold_time{};
};

// Draws the service time of one search. `since_start` is the time since the
// start of the server.
Duration DrawServiceTime(const ServiceTimeSettings& settings,
                         Duration since_start,
                         SeededRandom& random);

}  // namespace marigold

#endif  // TOOLS_STANDIN_SERVICE_TIME_H_
