#ifndef SRC_POLICY_SNAPSHOT_VIEW_H_
#define SRC_POLICY_SNAPSHOT_VIEW_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/core/ids.h"
#include "src/policy/search_types.h"

namespace marigold {

// The shards of one snapshot and the usable servers that carry them.
struct SnapshotView {
  SnapshotId snapshot;
  // The full shard set in ascending order.
  std::vector<ShardId> all_shards;
  // Shards that some usable server carries, in ascending order.
  std::vector<ShardId> served_shards;
  // The usable servers of each shard, in the order of `all_shards`.
  std::vector<std::vector<ServerIndex>> servers;
  // Usable servers of the shard that has the fewest.
  std::uint32_t min_replicas = 0;

  // The usable servers of a shard; empty for one that is not in the set.
  const std::vector<ServerIndex>& ServersOf(ShardId shard) const;
};

// All snapshots of a service, newest first. Shared and never changed, so that a
// search can keep it while the servers change.
using SnapshotList = std::shared_ptr<const std::vector<SnapshotView>>;

}  // namespace marigold

#endif  // SRC_POLICY_SNAPSHOT_VIEW_H_
