#ifndef SRC_POLICY_FAN_OUT_SHARD_GROUPS_H_
#define SRC_POLICY_FAN_OUT_SHARD_GROUPS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "src/core/ids.h"
#include "src/policy/backend_directory.h"
#include "src/policy/fan_out/fan_out_types.h"

namespace marigold {

// Shards that one aggregator queries at the servers of its own data centre.
struct ShardGroup {
  GroupKey key;
  // Absent if no aggregator can be asked for the shards.
  std::optional<DataCentreId> data_centre;
  // The number of groups into which the shards of the data centre are divided.
  std::size_t group_count = 1;
  std::vector<ShardPosition> shards;
};

// A data centre as the planner sees it.
struct PlannedDataCentre {
  DataCentreServices services;
  // True if aggregators there can be asked now.
  bool is_askable = false;
  // Data centres with a lower rank are preferred among those that cover equally
  // many shards.
  std::uint64_t rank = 0;
};

// Returns how many shards of a fan-out one aggregator should query. A fan-out
// has about as many groups as shards in a group, which minimises the number of
// messages that one VM handles in sequence.
std::size_t GroupSize(std::size_t shard_count);

// Divides shards into groups of one data centre each. A shard goes to a data
// centre where it has an available server: to `preferred` if possible, and
// otherwise to the data centre that covers most of the remaining shards, so
// that there are few groups and little traffic between data centres. The groups
// of a data centre are consecutive ranges of the fan-out's shards and do not
// depend on the root, so that all roots ask the same aggregators for a shard.
// `wanted` states by shard of the fan-out whether it is to be queried.
std::vector<ShardGroup> PlanGroups(
    std::span<const ServiceId> shards,
    const std::vector<bool>& wanted,
    const DataCentreId& preferred,
    std::span<const PlannedDataCentre> data_centres);

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_SHARD_GROUPS_H_
