#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include "tests/replication_group.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An event while a member that is behind the compaction point receives the
// snapshot in chunks of 16 bytes.
struct SnapshotRow {
  const char* name;
  void (*disrupt)(TestGroup&,
                  const std::string& leader,
                  const std::string& lagging);
};

const SnapshotRow kSnapshotRows[] = {
    {"nothing", [](TestGroup&, const std::string&, const std::string&) {}},
    {"receiver restarts",
     [](TestGroup& group, const std::string&, const std::string& lagging) {
       group.Crash(lagging);
       group.Start(lagging);
     }},
    {"chunks are lost",
     [](TestGroup& group,
        const std::string& leader,
        const std::string& lagging) {
       group.CutLink(leader, lagging);
       group.Run(milliseconds(150));
       group.RestoreLinks();
     }},
    {"leader is lost",
     [](TestGroup& group, const std::string& leader, const std::string&) {
       group.Crash(leader);
       group.Run(seconds(2));
     }},
    {"leader compacts again",
     [](TestGroup& group, const std::string& leader, const std::string&) {
       group.CommitMany(5);
       group.Compact(leader);
     }},
};

// The difference between a member's log and the log of a new leader.
struct DivergenceRow {
  const char* name;
  // Uncommitted entries that only the isolated old leader has.
  std::size_t own_entries;
  // Entries that the others have committed meanwhile.
  std::size_t committed_entries;
};

const DivergenceRow kDivergenceRows[] = {
    {"missing entries only", 0, 700},
    {"uncommitted entries only", 700, 1},
    {"fewer uncommitted than missing entries", 5, 700},
    {"more uncommitted than missing entries", 700, 5},
};

}  // namespace

ParameterizedTestParameters(LogRepair, MemberBehindCompactionGetsSnapshot) {
  return RowIndices(kSnapshotRows);
}

// Guards against a snapshot transfer that does not continue after an
// interruption or installs wrong data.
ParameterizedTest(std::size_t* index,
                  LogRepair,
                  MemberBehindCompactionGetsSnapshot) {
  const SnapshotRow& row = kSnapshotRows[*index];
  ReplicaSettings settings;
  settings.snapshot_chunk_bytes = 16;
  TestGroup group(3, settings);
  const std::string leader = group.AwaitLeader();
  const std::string lagging = group.Follower();
  group.Isolate(lagging);
  group.CommitMany(100);
  for (const auto& [disk, test_member] : group.test_members) {
    if (disk.value() != lagging) {
      group.Compact(disk.value());
    }
  }
  group.RestoreLinks();
  group.Run(milliseconds(50));
  row.disrupt(group, leader, lagging);
  group.Run(seconds(3));
  group.AwaitLeader();
  group.Commit("after");
  group.Run(milliseconds(500));
  const auto& expected = group.TestMemberOf(group.Leader()).applied_payloads;
  const auto& actual = group.TestMemberOf(lagging).applied_payloads;
  cr_assert(expected == actual && group.HasApplied(lagging, "after"),
            "%s: expected %zu entries, actual %zu", row.name, expected.size(),
            actual.size());
}

ParameterizedTestParameters(LogRepair, DivergentLogIsRepairedInFewRounds) {
  return RowIndices(kDivergenceRows);
}

// Guards against a leader that moves back by one entry per request to find the
// last common entry, which takes minutes with a long log, and against
// uncommitted entries that are not removed.
ParameterizedTest(std::size_t* index,
                  LogRepair,
                  DivergentLogIsRepairedInFewRounds) {
  const DivergenceRow& row = kDivergenceRows[*index];
  TestGroup group(3);
  const std::string old_leader = group.AwaitLeader();
  group.Isolate(old_leader);
  for (std::size_t i = 0; i < row.own_entries; ++i) {
    group.Propose(old_leader, "own");
  }
  group.Run(seconds(3));
  const std::string leader = group.AwaitLeader();
  group.CommitMany(row.committed_entries);
  group.RestoreLinks();
  group.Run(milliseconds(150));
  const LogIndex expected = group.ReplicaOf(leader).last_index();
  const LogIndex actual = group.ReplicaOf(old_leader).last_index();
  cr_assert(expected == actual && !group.HasApplied(old_leader, "own"),
            "%s: expected last index %lu, actual %lu", row.name,
            expected.value(), actual.value());
}

// Guards against a leader that reads before the start of its log. The window of
// a slow member is full, and the entries to be sent next are compacted
// meanwhile.
Test(LogRepair, MemberGetsEntriesCompactedWhileWindowWasFull) {
  ReplicaSettings settings;
  settings.append_entries = 1;
  TestGroup group(3, settings);
  const std::string leader = group.AwaitLeader();
  const std::string slow = group.Follower();
  group.Freeze(slow);
  for (int i = 0; i < 100; ++i) {
    group.Propose(leader, "entry " + std::to_string(i));
    group.Run(milliseconds(1));
  }
  group.Run(milliseconds(50));
  group.Compact(leader);
  group.Thaw(slow);
  group.Run(seconds(1));
  const std::size_t actual = group.TestMemberOf(slow).applied_payloads.size();
  cr_assert_eq(actual, 100, "expected 100 entries, actual %zu", actual);
}

}  // namespace marigold
