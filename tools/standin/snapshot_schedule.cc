#include "tools/standin/snapshot_schedule.h"

#include <algorithm>

namespace marigold {

namespace {

constexpr std::size_t kHeldSnapshots = 2;

}  // namespace

SnapshotSchedule::SnapshotSchedule(std::uint64_t shards) {
  this->published.push_back({{SnapshotId(1), shards}, MonotonicTime::min()});
}

void SnapshotSchedule::Advance(MonotonicTime now) {
  this->Repartition(now, this->newest().shards);
}

void SnapshotSchedule::Repartition(MonotonicTime now, std::uint64_t shards) {
  this->published.push_back({{Next(this->newest().snapshot), shards}, now});
}

std::vector<SnapshotLayout> SnapshotSchedule::HeldSnapshots(
    MonotonicTime now,
    Duration delay) const {
  // Starts at the newest, because only the end of a long schedule is needed.
  std::vector<SnapshotLayout> held;
  for (auto item = this->published.rbegin();
       item != this->published.rend() && held.size() < kHeldSnapshots; ++item) {
    if (item->published_at <= now - delay) {
      held.push_back(item->layout);
    }
  }
  std::reverse(held.begin(), held.end());
  return held;
}

}  // namespace marigold
