#ifndef SRC_POLICY_STARTUP_RETRY_H_
#define SRC_POLICY_STARTUP_RETRY_H_

#include <algorithm>

#include "src/core/units.h"

namespace marigold {

// The retry delay for callers of a process that does not know the routes yet.
struct StartupRetry {
  // The age at which a process usually knows the routes, even if all VMs were
  // powered on again within 0.4 s.
  static constexpr Duration kTypicalStartup = std::chrono::milliseconds(550);
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  // The retry delay from the age `kTypicalStartup` on, when the remaining time
  // is unknown.
  static constexpr Duration kOverdueRetryAfter = std::chrono::milliseconds(400);

  // Returns the delay after which a caller should retry. `age` is the time
  // since the start of the process.
  static constexpr Duration RetryAfter(Duration age) {
    if (age >= kTypicalStartup) {
      return kOverdueRetryAfter;
    }
    return std::max(kTypicalStartup - age, kMinRetryAfter);
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_STARTUP_RETRY_H_
