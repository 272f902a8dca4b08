#ifndef SRC_POLICY_SNAPSHOT_VIEW_H_
#define SRC_POLICY_SNAPSHOT_VIEW_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/core/ids.h"
#include "src/policy/search_types.h"

namespace marigold {

// The shards of one snapshot and the usable servers that hold them.
struct SnapshotView {
  SnapshotId snapshot;
  // The full shard set in ascending order.
  std::vector<ShardId> all_shards;
  // The shards that at least one usable server holds, in ascending order.
  std::vector<ShardId> served_shards;
  // The usable servers of each shard, in the order of `all_shards`.
  std::vector<std::vector<ServerIndex>> servers;
  // The lowest number of usable servers of any shard.
  std::uint32_t min_replicas = 0;

  // Returns the usable servers of a shard; empty if the shard is not in the
  // set.
  const std::vector<ServerIndex>& ServersOf(ShardId shard) const;
};

// All snapshots of a service, newest first. The list is shared and immutable,
// so that a search can keep it while the servers change.
using SnapshotList = std::shared_ptr<const std::vector<SnapshotView>>;

}  // namespace marigold

#endif  // SRC_POLICY_SNAPSHOT_VIEW_H_
