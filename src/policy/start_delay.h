#ifndef SRC_POLICY_START_DELAY_H_
#define SRC_POLICY_START_DELAY_H_

#include <algorithm>

#include "src/core/units.h"

namespace marigold {

// When callers should come back to a process that does not know the routes yet.
struct StartDelay {
  // A process knows the routes at about this age, also where all VMs got power
  // back within 0.4 s.
  static constexpr Duration kUsualStart = std::chrono::milliseconds(550);
  static constexpr Duration kShortest = std::chrono::milliseconds(100);
  // Where it takes longer than usual, the end is not known.
  static constexpr Duration kOverdue = std::chrono::milliseconds(400);

  // `age` is the time since the start of the process.
  static constexpr Duration ComeBackAfter(Duration age) {
    if (age >= kUsualStart) {
      return kOverdue;
    }
    return std::max(kUsualStart - age, kShortest);
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_START_DELAY_H_
