#include "src/policy/fan_out/shard_groups.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "src/core/checksum.h"

namespace marigold {

namespace {

std::uint64_t KeyOf(std::span<const ServiceId> shards) {
  std::string names;
  for (const ServiceId& shard : shards) {
    names.append(shard.value()).push_back('\n');
  }
  return Checksum(names);
}

std::size_t CountCovered(const PlannedDataCentre& data_centre,
                         const std::vector<bool>& uncovered) {
  std::size_t covered = 0;
  for (std::size_t i = 0; i < uncovered.size(); ++i) {
    covered += uncovered[i] && data_centre.services.is_available[i] ? 1 : 0;
  }
  return covered;
}

// Returns the data centre for the next shards, or null if none covers any of
// them.
const PlannedDataCentre* ChooseDataCentre(
    std::span<const PlannedDataCentre> data_centres,
    const DataCentreId& preferred,
    const std::vector<bool>& uncovered) {
  const PlannedDataCentre* best = nullptr;
  std::size_t best_covered = 0;
  for (const PlannedDataCentre& data_centre : data_centres) {
    const std::size_t covered =
        data_centre.is_askable ? CountCovered(data_centre, uncovered) : 0;
    if (covered == 0) {
      continue;
    }
    if (data_centre.services.data_centre == preferred) {
      return &data_centre;
    }
    const bool is_better =
        best == nullptr || covered > best_covered ||
        (covered == best_covered && data_centre.rank < best->rank);
    if (is_better) {
      best = &data_centre;
      best_covered = covered;
    }
  }
  return best;
}

std::size_t RoundedQuotient(std::size_t dividend, std::size_t divisor) {
  return std::max<std::size_t>((dividend + divisor / 2) / divisor, 1);
}

// Appends the groups of one data centre, and marks their shards as covered. If
// the data centre gets only a part of its shards, neighbouring ranges are
// merged, so that the groups do not become small.
void AppendGroups(const PlannedDataCentre& data_centre,
                  std::uint64_t shards_key,
                  std::vector<bool>& uncovered,
                  std::vector<ShardGroup>& groups) {
  const std::size_t shard_count = uncovered.size();
  const std::size_t range_count = RoundedQuotient(
      data_centre.services.listed_count, GroupSize(shard_count));
  const std::size_t merged_count =
      std::min(RoundedQuotient(CountCovered(data_centre, uncovered),
                               GroupSize(shard_count)),
               range_count);
  std::map<std::size_t, std::vector<ShardPosition>> shards_by_merged_range;
  for (std::size_t i = 0; i < shard_count; ++i) {
    if (uncovered[i] && data_centre.services.is_available[i]) {
      uncovered[i] = false;
      const std::size_t range = i * range_count / shard_count;
      shards_by_merged_range[range * merged_count / range_count].push_back(
          static_cast<ShardPosition>(i));
    }
  }
  for (auto& [merged_range, positions] : shards_by_merged_range) {
    const std::size_t first_range = merged_range * range_count / merged_count;
    const std::string name = data_centre.services.data_centre.value() + '/' +
                             std::to_string(first_range);
    groups.push_back({GroupKey(shards_key ^ Checksum(name)),
                      data_centre.services.data_centre, range_count,
                      std::move(positions)});
  }
}

}  // namespace

std::size_t GroupSize(std::size_t shard_count) {
  return std::max<std::size_t>(static_cast<std::size_t>(std::lround(std::sqrt(
                                   static_cast<double>(shard_count)))),
                               1);
}

std::vector<ShardGroup> PlanGroups(
    std::span<const ServiceId> shards,
    const std::vector<bool>& wanted,
    const DataCentreId& preferred,
    std::span<const PlannedDataCentre> data_centres) {
  const std::uint64_t shards_key = KeyOf(shards);
  std::vector<bool> uncovered = wanted;
  std::vector<ShardGroup> groups;
  while (const PlannedDataCentre* chosen =
             ChooseDataCentre(data_centres, preferred, uncovered)) {
    AppendGroups(*chosen, shards_key, uncovered, groups);
  }
  ShardGroup rest;
  for (std::size_t i = 0; i < uncovered.size(); ++i) {
    if (uncovered[i]) {
      rest.shards.push_back(static_cast<ShardPosition>(i));
    }
  }
  if (!rest.shards.empty()) {
    groups.push_back(std::move(rest));
  }
  return groups;
}

}  // namespace marigold
