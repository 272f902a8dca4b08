#include "src/policy/snapshot_view.h"

#include <algorithm>

namespace marigold {

const std::vector<ServerIndex>& SnapshotView::ServersOf(ShardId shard) const {
  static const std::vector<ServerIndex> none;
  const auto position =
      std::lower_bound(this->all_shards.begin(), this->all_shards.end(), shard);
  if (position == this->all_shards.end() || *position != shard) {
    return none;
  }
  return this
      ->servers[static_cast<std::size_t>(position - this->all_shards.begin())];
}

}  // namespace marigold
