#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "src/policy/fan_out/fan_out_cost.h"
#include "src/policy/fan_out/shard_groups.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// Shards whose replicas stand in three consecutive data centres of a ring.
std::vector<PlannedDataCentre> RingPlacement(std::size_t shard_count,
                                             std::size_t data_centre_count) {
  std::vector<PlannedDataCentre> result;
  for (std::size_t i = 0; i < data_centre_count; ++i) {
    PlannedDataCentre data_centre;
    data_centre.services.data_centre = DataCentreId("dc" + std::to_string(i));
    data_centre.services.is_available.resize(shard_count);
    data_centre.is_askable = true;
    data_centre.rank = i;
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
      const std::size_t distance =
          (i + data_centre_count - shard % data_centre_count) %
          data_centre_count;
      if (distance < 3) {
        data_centre.services.is_available[shard] = true;
        ++data_centre.services.listed_count;
      }
    }
    result.push_back(data_centre);
  }
  return result;
}

std::vector<ServiceId> Shards(std::size_t count) {
  std::vector<ServiceId> shards;
  for (std::size_t i = 0; i < count; ++i) {
    shards.emplace_back("shard-" + std::to_string(i));
  }
  return shards;
}

struct PlanRow {
  std::size_t shards;
  std::size_t data_centres;
  // The number of the data centre that is not askable; none if negative.
  int unreachable;
  std::size_t expected_data_centres;
  std::size_t max_groups;
};

const PlanRow kPlanRows[] = {
    // The own data centre and the one opposite cover all shards.
    {90, 6, -1, 2, 10},
    // Without the own data centre, its neighbours take its part.
    {90, 6, 0, 2, 10},
    {36, 4, -1, 2, 7},
    {10, 3, -1, 1, 4},
    {190, 19, -1, 7, 30},
};

}  // namespace

ParameterizedTestParameters(ShardGroups, PlanCoversEachShardOnceInFewGroups) {
  return RowIndices(kPlanRows);
}

// Guards against a shard that no group or two groups contain, and against plans
// that send many small queries or prefer a remote data centre.
ParameterizedTest(std::size_t* index,
                  ShardGroups,
                  PlanCoversEachShardOnceInFewGroups) {
  const PlanRow& row = kPlanRows[*index];
  auto data_centres = RingPlacement(row.shards, row.data_centres);
  if (row.unreachable >= 0) {
    data_centres[static_cast<std::size_t>(row.unreachable)].is_askable = false;
  }
  const auto groups =
      PlanGroups(Shards(row.shards), std::vector<bool>(row.shards, true),
                 DataCentreId("dc0"), data_centres);
  std::vector<int> covered(row.shards);
  std::set<std::string> used;
  for (const ShardGroup& group : groups) {
    cr_assert(group.data_centre.has_value(), "row %zu: a group without one",
              *index);
    used.insert(group.data_centre->value());
    for (const ShardPosition shard : group.shards) {
      ++covered[shard];
    }
  }
  cr_assert(std::all_of(covered.begin(), covered.end(),
                        [](int count) { return count == 1; }),
            "row %zu: a shard is not covered once", *index);
  cr_assert_eq(used.size(), row.expected_data_centres,
               "row %zu: actual %zu data centres", *index, used.size());
  cr_assert_leq(groups.size(), row.max_groups, "row %zu: actual %zu groups",
                *index, groups.size());
  cr_assert_eq(used.contains("dc0"), row.unreachable != 0,
               "row %zu: the own data centre is not preferred", *index);
}

// Guards against roots that ask different aggregators for a shard, so that many
// VMs hold connections to its servers.
Test(ShardGroups, RootsInOneDataCentreAndOthersAgreeOnTheGroups) {
  const auto shards = Shards(90);
  const auto data_centres = RingPlacement(90, 6);
  const std::vector<bool> all(90, true);
  std::set<std::uint64_t> keys;
  for (const char* home : {"dc0", "dc3"}) {
    for (const ShardGroup& group :
         PlanGroups(shards, all, DataCentreId(home), data_centres)) {
      keys.insert(group.key.value());
    }
  }
  cr_assert_eq(keys.size(), std::size_t{10}, "actual %zu", keys.size());
}

// Guards against shards that are forgotten because no aggregator can be asked
// for them.
Test(ShardGroups, ShardsWithoutAnAskableDataCentreFormAGroupOfTheirOwn) {
  auto data_centres = RingPlacement(10, 6);
  for (PlannedDataCentre& data_centre : data_centres) {
    data_centre.is_askable = false;
  }
  const auto groups = PlanGroups(Shards(10), std::vector<bool>(10, true),
                                 DataCentreId("dc0"), data_centres);
  cr_assert_eq(groups.size(), std::size_t{1}, "actual %zu", groups.size());
  cr_assert(!groups[0].data_centre.has_value());
  cr_assert_eq(groups[0].shards.size(), std::size_t{10}, "actual %zu",
               groups[0].shards.size());
}

namespace {

struct CostRow {
  FanOutMode mode;
  std::size_t shards;
  double processor_share;
  bool expected;
};

const CostRow kCostRows[] = {
    // One server, small fan-outs, and a medium one on a whole core.
    {FanOutMode::kAutomatic, 1, 0.1, false},
    {FanOutMode::kAutomatic, 10, 0.17, false},
    {FanOutMode::kAutomatic, 15, 0.17, false},
    {FanOutMode::kAutomatic, 36, 1, false},
    // Slow VMs, and a large fan-out on a whole core.
    {FanOutMode::kAutomatic, 36, 0.084, true},
    {FanOutMode::kAutomatic, 90, 0.12, true},
    {FanOutMode::kAutomatic, 190, 1, true},
    // Set by the operator.
    {FanOutMode::kDirect, 90, 0.12, false},
    {FanOutMode::kGroups, 2, 1, true},
};

}  // namespace

ParameterizedTestParameters(FanOutCost, PrefersGroupsIfTheySaveTime) {
  return RowIndices(kCostRows);
}

// Guards against a second level where sends of the own VM answer sooner, and
// against a long sequence of sends on a slow VM.
ParameterizedTest(std::size_t* index, FanOutCost, PrefersGroupsIfTheySaveTime) {
  const CostRow& row = kCostRows[*index];
  const bool actual =
      PrefersGroups({row.mode, Fraction(row.processor_share)}, row.shards);
  cr_assert_eq(actual, row.expected, "row %zu", *index);
}

}  // namespace marigold
