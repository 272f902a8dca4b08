#include "src/policy/fan_out/fan_out_cost.h"

#include "src/policy/fan_out/shard_groups.h"

namespace marigold {

namespace {

// A burst of fewer sends says little about the time of one.
constexpr std::size_t kMinBurstSends = 4;
// The weight of the newest burst in the moving average.
constexpr double kBurstWeight = 0.1;

// The round trip between two VMs, with the encoding on both sides.
constexpr Duration kHopTime = std::chrono::milliseconds(4);
// The second level must save at least this share of the time, because it adds
// VMs that can fail.
constexpr double kMinSaving = 0.5;

// A send costs its VM about as much again when the reply arrives.
constexpr double kHandlingsPerSend = 2;

}  // namespace

void FanOutCost::AddBurst(std::size_t sends, Duration elapsed) {
  if (sends < kMinBurstSends) {
    return;
  }
  const double sample =
      static_cast<double>(elapsed.count()) / static_cast<double>(sends);
  const auto average = static_cast<double>(this->time_per_send.count());
  this->time_per_send = Duration(
      static_cast<Duration::rep>(average + kBurstWeight * (sample - average)));
}

bool FanOutCost::PrefersGroups(std::size_t shard_count) const {
  const std::size_t group_size = GroupSize(shard_count);
  const std::size_t group_count = (shard_count + group_size - 1) / group_size;
  const double handling_time =
      kHandlingsPerSend * static_cast<double>(this->time_per_send.count());
  const double direct_time = handling_time * static_cast<double>(shard_count);
  const double grouped_time =
      handling_time * static_cast<double>(group_count + group_size) +
      static_cast<double>(kHopTime.count());
  return grouped_time <= (1 - kMinSaving) * direct_time;
}

}  // namespace marigold
