#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/replication_group.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SlowDiskRow {
  Duration sync_duration;
  std::size_t voters;
};

// Guards against a group that elects no leader on slow disks, because elections
// end before the votes are saved, or because leaders step down before their
// first entry is saved.
const SlowDiskRow kSlowDiskRows[] = {
    {milliseconds(20), 3},  {milliseconds(100), 3}, {milliseconds(100), 5},
    {milliseconds(300), 3}, {milliseconds(300), 5}, {milliseconds(500), 3},
    {milliseconds(500), 5},
};

struct ReelectionRow {
  std::size_t voters;
  std::size_t leader_losses;
};

// Guards against a member that waits longer before each election because it
// counts elections that it has won.
const ReelectionRow kReelectionRows[] = {{2, 10}, {3, 10}, {5, 10}};

struct FullRestartRow {
  std::size_t voters;
  // The time between the starts of two members.
  Duration start_interval;
};

// Guards against a group that waits for the lease of a leader that is gone,
// although all its members have restarted.
const FullRestartRow kFullRestartRows[] = {
    {1, milliseconds(0)},   {3, milliseconds(0)}, {3, milliseconds(40)},
    {3, milliseconds(200)}, {5, milliseconds(0)}, {5, milliseconds(90)},
};

struct LeaseRow {
  const char* name;
  std::size_t voters;
  // Whether the links between the leader and the restarted voter work. The
  // links between the leader and the candidate are always cut.
  bool restarted_hears_leader;
  bool leader_hears_restarted;
};

// Guards against two leaders with a lease at once. A restarted voter elects
// another leader while the lease that its earlier boot extended still runs.
const LeaseRow kLeaseRows[] = {
    {"both links work", 3, true, true},
    {"only the link from the leader works", 3, true, false},
    {"only the link to the leader works", 3, false, true},
    {"no link works", 3, false, false},
    {"both links work", 5, true, true},
    {"no link works", 5, false, false},
};

std::size_t LeaseCount(TestGroup& group) {
  std::size_t leases = 0;
  for (const auto& [disk, test_member] : group.test_members) {
    leases += test_member->replica && test_member->replica->ReadIndex(group.now)
                  ? 1
                  : 0;
  }
  return leases;
}

}  // namespace

ParameterizedTestParameters(Election, FullRestartElectsWithoutLeaseWait) {
  return RowIndices(kFullRestartRows);
}

ParameterizedTest(std::size_t* index,
                  Election,
                  FullRestartElectsWithoutLeaseWait) {
  const FullRestartRow& row = kFullRestartRows[*index];
  TestGroup group(row.voters);
  group.AwaitLeader();
  for (std::size_t i = 0; i < row.voters; ++i) {
    group.Crash(TestGroup::Name(i));
  }
  for (std::size_t i = 0; i < row.voters; ++i) {
    group.Run(row.start_interval);
    group.Start(TestGroup::Name(i));
  }
  const Duration limit = group.settings.election_timeout / 2;
  const bool elected =
      group.RunUntil([&] { return !group.Leader().empty(); }, limit);
  cr_assert(elected, "%zu voters: no leader in half an election timeout",
            row.voters);
}

ParameterizedTestParameters(Election, RestartedVoterHonoursGrantedLease) {
  return RowIndices(kLeaseRows);
}

ParameterizedTest(std::size_t* index,
                  Election,
                  RestartedVoterHonoursGrantedLease) {
  const LeaseRow& row = kLeaseRows[*index];
  TestGroup group(row.voters);
  const std::string leader = group.AwaitLeader();
  const std::string candidate = group.Follower(0);
  group.CutLink(leader, candidate);
  group.CutLink(candidate, leader);
  group.Run(group.settings.election_timeout * 3);
  std::vector<std::string> others;
  for (std::size_t i = 1; i + 1 < row.voters; ++i) {
    others.push_back(group.Follower(i));
  }
  for (const std::string& restarted : others) {
    if (!row.restarted_hears_leader) {
      group.CutLink(leader, restarted);
    }
    if (!row.leader_hears_restarted) {
      group.CutLink(restarted, leader);
    }
    group.Crash(restarted);
    group.Start(restarted);
  }
  std::size_t max_leases = 0;
  group.RunUntil(
      [&] {
        max_leases = std::max(max_leases, LeaseCount(group));
        return false;
      },
      group.settings.election_timeout * 2);
  cr_assert_leq(max_leases, 1,
                "%s: expected at most 1 lease at a time, actual %zu", row.name,
                max_leases);
}

ParameterizedTestParameters(Election, ElectsALeaderOnSlowDisks) {
  return RowIndices(kSlowDiskRows);
}

ParameterizedTest(std::size_t* index, Election, ElectsALeaderOnSlowDisks) {
  const SlowDiskRow& row = kSlowDiskRows[*index];
  TestGroup group(row.voters);
  group.sync_duration = row.sync_duration;

  const bool elected = group.RunUntil(
      [&] {
        for (const auto& [disk, test_member] : group.test_members) {
          if (!test_member->applied_index.value()) {
            return false;
          }
        }
        return true;
      },
      seconds(20));

  cr_assert(
      elected, "%zu voters with syncs of %lld ms: no entry in 20 s", row.voters,
      static_cast<long long>(
          std::chrono::duration_cast<milliseconds>(row.sync_duration).count()));
}

ParameterizedTestParameters(Election, RepeatedLeaderLossesDoNotDelayElection) {
  return RowIndices(kReelectionRows);
}

ParameterizedTest(std::size_t* index,
                  Election,
                  RepeatedLeaderLossesDoNotDelayElection) {
  const ReelectionRow& row = kReelectionRows[*index];
  TestGroup group(row.voters);
  for (std::size_t i = 0; i < row.leader_losses; ++i) {
    const std::string leader = group.AwaitLeader();
    std::vector<std::string> followers;
    for (std::size_t j = 0; j + 1 < row.voters; ++j) {
      followers.push_back(group.Follower(j));
    }
    for (const std::string& follower : followers) {
      group.Crash(follower);
    }
    // Only the old leader has this entry, so it is elected again once the
    // others can reach it.
    group.Propose(leader, "entry " + std::to_string(i));
    // This is long enough for an election in which no other voter answers.
    group.Run(seconds(2));
    for (const std::string& follower : followers) {
      group.Start(follower);
    }
    const bool elected =
        group.RunUntil([&] { return !group.Leader().empty(); }, seconds(2));
    cr_assert(elected, "%zu voters: no leader in 2 s after loss %zu",
              row.voters, i + 1);
  }
}

}  // namespace marigold
