#ifndef SRC_POLICY_STARTUP_RETRY_H_
#define SRC_POLICY_STARTUP_RETRY_H_

#include <algorithm>

#include "src/core/units.h"

namespace marigold {

// When callers should come back to a process that does not know the routes yet.
struct StartupRetry {
  // A process knows the routes at about this age, also where all VMs got power
  // back within 0.4 s.
  static constexpr Duration kTypicalStartup = std::chrono::milliseconds(550);
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  // Where it takes longer than usual, the end is not known.
  static constexpr Duration kOverdueRetryAfter = std::chrono::milliseconds(400);

  // `age` is the time since the start of the process.
  static constexpr Duration RetryAfter(Duration age) {
    if (age >= kTypicalStartup) {
      return kOverdueRetryAfter;
    }
    return std::max(kTypicalStartup - age, kMinRetryAfter);
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_STARTUP_RETRY_H_
