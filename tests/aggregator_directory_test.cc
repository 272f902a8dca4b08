#include "src/policy/fan_out/aggregator_directory.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "src/policy/fan_out/aggregator_registry.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};

Aggregator MakeAggregator(int number, const std::string& data_centre = "dc") {
  return {VmId("vm-" + std::to_string(number)),
          DataCentreId(data_centre),
          {"127.0.9.1", static_cast<std::uint16_t>(7000 + number)}};
}

AggregatorUpdate FullSet(int count) {
  AggregatorUpdate update;
  update.is_full = true;
  for (int i = 0; i < count; ++i) {
    update.added.push_back(MakeAggregator(i));
  }
  return update;
}

ShardGroup Group(std::uint64_t key) {
  return {GroupKey(key), DataCentreId("dc"), 5, {0, 1, 2}};
}

AggregatorDirectory MakeDirectory(const std::string& root, int count) {
  AggregatorDirectory directory(VmId(root), DataCentreId("dc"));
  directory.Apply(FullSet(count));
  return directory;
}

void ReportFrom(AggregatorDirectory& directory,
                AggregatorIndex index,
                MonotonicTime now,
                std::uint32_t calls_in_progress) {
  directory.OnReport(now, index, RouteName("r"), milliseconds(10),
                     calls_in_progress);
}

}  // namespace

// Guards against queries for one group that are spread over all VMs, so that
// each of them keeps connections to the group's servers.
Test(AggregatorDirectory, AllRootsAskTheSameFewVmsForAGroup) {
  std::set<std::string> asked;
  for (int root = 0; root < 100; ++root) {
    auto directory = MakeDirectory("root-" + std::to_string(root), 50);
    const auto chosen = directory.Choose(kStart, Group(1), {});
    cr_assert(chosen.has_value());
    asked.insert(directory.At(*chosen).vm.value());
  }
  cr_assert_eq(asked.size(), std::size_t{3}, "actual %zu", asked.size());
}

// Guards against one VM that takes all groups of its data centre.
Test(AggregatorDirectory, GroupsAreSpreadOverTheVms) {
  auto directory = MakeDirectory("root", 50);
  std::set<std::string> asked;
  for (std::uint64_t group = 0; group < 20; ++group) {
    asked.insert(directory.At(*directory.Choose(kStart, Group(group * 977), {}))
                     .vm.value());
  }
  cr_assert_geq(asked.size(), std::size_t{12}, "actual %zu", asked.size());
}

// Guards against a root that asks itself over the network.
Test(AggregatorDirectory, OwnVmIsNoCandidate) {
  auto directory = MakeDirectory("vm-0", 2);
  cr_assert_eq(directory.size(), std::size_t{1}, "actual %zu",
               directory.size());
}

namespace {

enum class Observation { kSilentOnce, kSilentTwice, kLost, kBusy };

struct AvoidanceRow {
  Observation observation;
  // Whether the same VM is asked again after `wait`.
  Duration wait;
  bool expected;
};

const AvoidanceRow kAvoidanceRows[] = {
    // A single late report says little.
    {Observation::kSilentOnce, milliseconds(1), true},
    {Observation::kSilentTwice, milliseconds(1), false},
    {Observation::kSilentTwice, milliseconds(1'001), true},
    {Observation::kLost, milliseconds(1), false},
    {Observation::kLost, milliseconds(1'001), true},
    {Observation::kBusy, milliseconds(1), false},
    {Observation::kBusy, milliseconds(101), true},
};

}  // namespace

ParameterizedTestParameters(AggregatorDirectory, AvoidsVmsInTrouble) {
  return RowIndices(kAvoidanceRows);
}

// Guards against requests that are sent to a VM that is dead, silent or
// overloaded while another one is free, and against a VM that is never asked
// again.
ParameterizedTest(std::size_t* index, AggregatorDirectory, AvoidsVmsInTrouble) {
  const AvoidanceRow& row = kAvoidanceRows[*index];
  auto directory = MakeDirectory("root", 10);
  const auto first = *directory.Choose(kStart, Group(1), {});
  switch (row.observation) {
    case Observation::kSilentTwice:
      directory.OnSilent(kStart, first);
      [[fallthrough]];
    case Observation::kSilentOnce:
      directory.OnSilent(kStart, first);
      break;
    case Observation::kLost:
      directory.OnLost(kStart, first);
      break;
    case Observation::kBusy:
      ReportFrom(directory, first, kStart, 4);
      break;
  }
  const auto second = directory.Choose(kStart + row.wait, Group(1), {});
  cr_assert(second.has_value(), "row %zu", *index);
  cr_assert_eq(*second == first, row.expected, "row %zu", *index);
}

// Guards against refusals while all VMs of a data centre report much work.
Test(AggregatorDirectory, BusyVmIsAskedIfAllAreBusy) {
  auto directory = MakeDirectory("root", 2);
  ReportFrom(directory, AggregatorIndex(0), kStart, 9);
  ReportFrom(directory, AggregatorIndex(1), kStart, 9);
  cr_assert(directory.Choose(kStart, Group(1), {}).has_value());
}

// Guards against a VM that has left and is asked again after a restart of a
// control VM, which sends the whole set.
Test(AggregatorDirectory, FullSetReplacesTheEarlierOne) {
  auto directory = MakeDirectory("root", 10);
  directory.Apply(FullSet(4));
  cr_assert_eq(directory.size(), std::size_t{4}, "actual %zu",
               directory.size());
  AggregatorUpdate change;
  change.removed = {VmId("vm-0")};
  change.added = {MakeAggregator(9)};
  directory.Apply(change);
  cr_assert_eq(directory.size(), std::size_t{4}, "actual %zu",
               directory.size());
  for (std::uint64_t group = 0; group < 50; ++group) {
    const auto chosen = directory.Choose(kStart, Group(group), {});
    cr_assert(directory.At(*chosen).vm != VmId("vm-0"), "group %lu", group);
  }
}

// Guards against changes that leave the followers of a control VM with another
// set than the control VM has.
Test(AggregatorRegistry, DifferencesLeadToTheWholeSet) {
  AggregatorRegistry registry;
  const Endpoint other_control{"127.0.9.9", 7100};
  registry.Announce(AggregatorRegistry::StreamId(1), MakeAggregator(1));
  const auto first = registry.All();
  registry.ApplyPeerSet(kStart, other_control,
                        {MakeAggregator(2), MakeAggregator(3)});
  const auto second = registry.All();
  registry.Withdraw(AggregatorRegistry::StreamId(1));
  registry.ApplyPeerSet(kStart, other_control, {MakeAggregator(3, "moved")});
  const auto third = registry.All();
  cr_assert_eq(first.size(), std::size_t{1}, "actual %zu", first.size());
  cr_assert_eq(second.size(), std::size_t{3}, "actual %zu", second.size());
  cr_assert_eq(third.size(), std::size_t{1}, "actual %zu", third.size());
  const AggregatorUpdate change = DifferenceOf(second, third);
  cr_assert_eq(change.removed.size(), std::size_t{2}, "actual %zu",
               change.removed.size());
  cr_assert_eq(change.added.size(), std::size_t{1}, "actual %zu",
               change.added.size());
}

// Guards against entry VMs that stay known for ever after their control VM has
// stopped, and against a VM that is lost while it changes its control VM.
Test(AggregatorRegistry, SetOfAStoppedControlVmExpires) {
  AggregatorRegistry registry;
  registry.ApplyPeerSet(kStart, {"127.0.9.9", 7100},
                        {MakeAggregator(1), MakeAggregator(2)});
  registry.Announce(AggregatorRegistry::StreamId(1), MakeAggregator(2));
  registry.DropExpired(kStart + AggregatorRegistry::kPeerSetLifetime);
  cr_assert_eq(registry.All().size(), std::size_t{2}, "actual %zu",
               registry.All().size());
  registry.DropExpired(kStart + AggregatorRegistry::kPeerSetLifetime +
                       milliseconds(1));
  cr_assert_eq(registry.All().size(), std::size_t{1}, "actual %zu",
               registry.All().size());
}

}  // namespace marigold
