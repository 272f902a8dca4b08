#ifndef SRC_POLICY_FAN_OUT_FAN_OUT_COST_H_
#define SRC_POLICY_FAN_OUT_FAN_OUT_COST_H_

#include <cstddef>

#include "src/core/units.h"

namespace marigold {

// How fan-outs are answered.
enum class FanOutMode {
  // By this process alone or through aggregators, whichever is expected to be
  // faster.
  kAutomatic,
  // By this process alone.
  kDirect,
  // Through aggregators.
  kGroups,
};

struct FanOutSettings {
  FanOutMode mode = FanOutMode::kAutomatic;
  // The fraction of a core that this VM may use.
  Fraction processor_share{1};
};

// True if a fan-out over this number of shards should go through aggregators.
// In automatic mode, these have to answer it in half the time.
bool PrefersGroups(const FanOutSettings& settings, std::size_t shard_count);

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_FAN_OUT_COST_H_
