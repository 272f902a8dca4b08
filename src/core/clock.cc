#include "src/core/clock.h"

#include <chrono>
#include <ctime>

namespace marigold {

// `CLOCK_BOOTTIME` includes the time during which the VM was suspended, so that
// a lease expires during a suspension as well.
MonotonicTime SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime SystemClock::WallNow() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Duration>(since_epoch));
}

}  // namespace marigold
