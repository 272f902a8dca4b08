#ifndef SRC_CORE_CLOCK_H_
#define SRC_CORE_CLOCK_H_

#include <concepts>

#include "src/core/units.h"

namespace marigold {

// Source of time for code outside `src/policy`. Code in `src/policy` gets the
// time as arguments.
template <class T>
concept Clock = requires(const T clock) {
  { clock.Now() } -> std::same_as<MonotonicTime>;
  { clock.WallNow() } -> std::same_as<WallTime>;
};

// The operating system's clocks.
class SystemClock {
 public:
  MonotonicTime Now() const;
  WallTime WallNow() const;
};

static_assert(Clock<SystemClock>);

}  // namespace marigold

#endif  // SRC_CORE_CLOCK_H_
