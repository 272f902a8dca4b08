#include "src/policy/snapshot_choice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace marigold {

namespace {

// The share of the highest `min_replicas` of all snapshots that a snapshot
// needs to be chosen. It is higher for a short latency tail, for which spare
// replicas matter more than fresh data.
double RequiredReplicaShare(Preference preference) {
  return preference == Preference::kTail ? 0.6 : 0.4;
}

// Returns the highest `min_replicas` of all snapshots.
std::uint32_t MaxMinReplicas(const std::vector<SnapshotView>& snapshots) {
  std::uint32_t max_replicas = 0;
  for (const SnapshotView& view : snapshots) {
    max_replicas = std::max(max_replicas, view.min_replicas);
  }
  return max_replicas;
}

}  // namespace

const SnapshotView* ChooseSnapshot(const std::vector<SnapshotView>& snapshots,
                                   Preference preference) {
  const std::uint32_t max_replicas = MaxMinReplicas(snapshots);
  const double required_replicas =
      std::ceil(RequiredReplicaShare(preference) * max_replicas);
  const SnapshotView* best = nullptr;
  for (const SnapshotView& view : snapshots) {
    if (max_replicas > 0 && view.min_replicas >= required_replicas) {
      return &view;
    }
    if (best == nullptr || ServedShare(view) > ServedShare(*best)) {
      best = &view;
    }
  }
  return best;
}

Fraction ServedShare(const SnapshotView& view) {
  if (view.all_shards.empty()) {
    return Fraction(0);
  }
  return Fraction(static_cast<double>(view.served_shards.size()) /
                  static_cast<double>(view.all_shards.size()));
}

}  // namespace marigold
