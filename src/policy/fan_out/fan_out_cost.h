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

// Decides from measured costs whether a fan-out is worth the second level.
// Not synchronised.
class FanOutCost {
 public:
  // Commands.

  // Records that this process began `sends` sends in `elapsed`.
  void AddBurst(std::size_t sends, Duration elapsed);

  // Queries.

  // True if a fan-out over this number of shards is expected to be answered
  // clearly sooner through aggregators than by sends of this process alone.
  bool PrefersGroups(std::size_t shard_count) const;

 private:
  // The time in which this VM begins one send or handles its reply.
  Duration time_per_send = std::chrono::microseconds(200);
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_FAN_OUT_COST_H_
