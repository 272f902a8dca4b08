#include "src/policy/fan_out/fan_out_cost.h"

#include "src/policy/fan_out/shard_groups.h"

namespace marigold {

namespace {

// The processor time of a send to a server or to another entry VM, with its
// reply (docs/CAPACITY.md).
constexpr Duration kProcessorTimePerSend = std::chrono::microseconds(100);

// The round trip between two VMs.
constexpr Duration kHopTime = std::chrono::milliseconds(4);

// The second level must save at least this share of the time, because it adds
// VMs that can fail.
constexpr double kMinSaving = 0.5;

}  // namespace

bool PrefersGroups(const FanOutSettings& settings, std::size_t shard_count) {
  if (settings.mode != FanOutMode::kAutomatic) {
    return settings.mode == FanOutMode::kGroups;
  }
  const std::size_t group_size = GroupSize(shard_count);
  const std::size_t group_count = (shard_count + group_size - 1) / group_size;
  const double time_per_send =
      static_cast<double>(kProcessorTimePerSend.count()) /
      settings.processor_share.value();
  const double direct_time = time_per_send * static_cast<double>(shard_count);
  const double grouped_time =
      time_per_send * static_cast<double>(group_count + group_size) +
      static_cast<double>(kHopTime.count());
  return grouped_time <= (1 - kMinSaving) * direct_time;
}

}  // namespace marigold
