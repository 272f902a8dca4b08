#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include "tests/replication_group.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct AvailabilityRow {
  std::size_t voters;
  std::size_t crashed_voters;
  bool commits;
};

// Guards against a quorum that is smaller or larger than a majority of the
// voters.
const AvailabilityRow kAvailabilityRows[] = {
    {1, 0, true}, {2, 0, true},  {3, 0, true}, {3, 1, true},  {3, 2, false},
    {4, 1, true}, {4, 2, false}, {5, 2, true}, {5, 3, false},
};

// Faults by which a group loses its leader.
void CrashLeader(TestGroup& group, const std::string& name) {
  group.Crash(name);
}
void IsolateLeader(TestGroup& group, const std::string& name) {
  group.Isolate(name);
}
void FreezeLeader(TestGroup& group, const std::string& name) {
  group.Freeze(name);
}
void FailLeaderDisk(TestGroup& group, const std::string& name) {
  group.TestMemberOf(name).storage.fails_writes = true;
  group.Propose(name, "lost");
}
void CutLeaderOutbound(TestGroup& group, const std::string& name) {
  for (const auto& [disk, test_member] : group.test_members) {
    group.CutLink(name, disk.value());
  }
}
void CutLeaderInbound(TestGroup& group, const std::string& name) {
  for (const auto& [disk, test_member] : group.test_members) {
    group.CutLink(disk.value(), name);
  }
}

struct LossRow {
  const char* name;
  void (*lose)(TestGroup&, const std::string&);
};

const LossRow kLossRows[] = {
    {"crashed", CrashLeader},
    {"isolated", IsolateLeader},
    {"frozen", FreezeLeader},
    {"disk failed", FailLeaderDisk},
    {"sends nothing", CutLeaderOutbound},
    {"receives nothing", CutLeaderInbound},
};

}  // namespace

ParameterizedTestParameters(Replication, CommitsWithAMajorityOfVoters) {
  return RowIndices(kAvailabilityRows);
}

ParameterizedTest(std::size_t* index,
                  Replication,
                  CommitsWithAMajorityOfVoters) {
  const AvailabilityRow& row = kAvailabilityRows[*index];
  TestGroup group(row.voters);
  group.AwaitLeader();
  for (std::size_t i = 0; i < row.crashed_voters; ++i) {
    group.Crash(TestGroup::Name(i));
  }
  group.Run(seconds(4));
  const bool actual = group.Commit("x");
  cr_assert_eq(actual, row.commits,
               "%zu of %zu crashed: expected %d, actual %d", row.crashed_voters,
               row.voters, row.commits, actual);
}

ParameterizedTestParameters(Replication, LostLeaderIsReplacedWithinTwoSeconds) {
  return RowIndices(kLossRows);
}

// Guards against a group that stays without a leader after a single fault.
ParameterizedTest(std::size_t* index,
                  Replication,
                  LostLeaderIsReplacedWithinTwoSeconds) {
  const LossRow& row = kLossRows[*index];
  TestGroup group(3);
  const std::string old_leader = group.AwaitLeader();
  row.lose(group, old_leader);
  group.RunUntil(
      [&] {
        const std::string leader = group.Leader();
        return !leader.empty() && leader != old_leader;
      },
      seconds(2));
  const std::string actual = group.Leader();
  cr_assert(!actual.empty() && actual != old_leader,
            "%s: expected a leader other than %s, actual \"%s\"", row.name,
            old_leader.c_str(), actual.c_str());
}

ParameterizedTestParameters(Replication, LostLeaderNeitherReadsNorProposes) {
  return RowIndices(kLossRows);
}

// Guards against a stale read and an entry accepted without a quorum, both by a
// leader that the group has lost.
ParameterizedTest(std::size_t* index,
                  Replication,
                  LostLeaderNeitherReadsNorProposes) {
  const LossRow& row = kLossRows[*index];
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  if (row.lose == CrashLeader) {
    return;
  }
  row.lose(group, leader);
  group.Run(seconds(3));
  auto& replica = group.ReplicaOf(leader);
  const bool serves_reads = replica.ReadIndex(group.now).has_value();
  const LogIndex before = replica.last_index();
  const Proposal proposal = group.Propose(leader, "late");
  cr_assert(!serves_reads && proposal.status != ProposeStatus::kProposed &&
                replica.last_index() == before,
            "%s: expected no read and no entry, actual read %d, status %d",
            row.name, serves_reads, static_cast<int>(proposal.status));
}

ParameterizedTestParameters(Replication, CommittedEntrySurvivesLossOfLeader) {
  return RowIndices(kLossRows);
}

// Guards against a new leader that lacks an entry that was reported as
// committed, and against an old leader that keeps entries of its own.
ParameterizedTest(std::size_t* index,
                  Replication,
                  CommittedEntrySurvivesLossOfLeader) {
  const LossRow& row = kLossRows[*index];
  TestGroup group(3);
  const std::string old_leader = group.AwaitLeader();
  group.Commit("kept");
  row.lose(group, old_leader);
  group.Run(seconds(3));
  group.RestoreLinks();
  group.Thaw(old_leader);
  group.Crash(old_leader);
  group.TestMemberOf(old_leader).storage.fails_writes = false;
  group.Start(old_leader);
  group.Run(seconds(3));
  group.Commit("new");
  group.Run(seconds(1));
  for (const char* name : {"a", "b", "c"}) {
    cr_assert(group.HasApplied(name, "kept") && group.HasApplied(name, "new"),
              "%s: expected both entries on %s", row.name, name);
  }
}

// Guards against a leader that syncs once for each proposal instead of once for
// each flush.
Test(Replication, SyncsOnceForProposalsOfOneFlush) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  const std::size_t before = group.TestMemberOf(leader).storage.sync_count;
  for (int i = 0; i < 64; ++i) {
    group.Propose(leader, "x");
  }
  group.Run(milliseconds(20));
  const std::size_t actual =
      group.TestMemberOf(leader).storage.sync_count - before;
  cr_assert_eq(actual, 1, "expected 1 sync, actual %zu", actual);
}

// Guards against a number of syncs that grows with the number of proposals.
// With 64 callers that wait for their commits, 10 proposals may take at most 1
// sync.
Test(Replication, SyncsAtMostOnceForTenProposalsOf64Callers) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  const auto syncs = [&] {
    std::size_t max_syncs = 0;
    for (const auto& [disk, test_member] : group.test_members) {
      max_syncs = std::max(max_syncs, test_member->storage.sync_count);
    }
    return max_syncs;
  };
  const std::size_t before = syncs();
  std::size_t proposed = 0;
  for (int step = 0; step < 2000; ++step) {
    while (proposed < group.TestMemberOf(leader).applied_payloads.size() + 64) {
      group.Propose(leader, "x");
      ++proposed;
    }
    group.Run(milliseconds(1));
  }
  const std::size_t actual = syncs() - before;
  cr_log_info("%zu proposals, %zu syncs on the busiest disk", proposed, actual);
  cr_assert(actual * 10 <= proposed,
            "expected at most 1 sync for 10 proposals, actual %zu for %zu",
            actual, proposed);
}

// Guards against a leader that counts its own acknowledgement before its own
// sync, so that a crash loses a committed entry.
Test(Replication, DeliversNothingBeforeFlush) {
  TestGroup group(1);
  const std::string leader = group.AwaitLeader();
  group.Propose(leader, "x");
  const std::size_t before = group.ReplicaOf(leader).TakeCommitted().size();
  group.ReplicaOf(leader).Flush(group.now);
  const std::size_t after = group.ReplicaOf(leader).TakeCommitted().size();
  cr_assert(before == 0 && after == 1,
            "expected 0 and 1 entries, actual %zu and %zu", before, after);
}

// Guards against a leader that serves reads under a lease that expired while
// its process was stopped. Replies that waited meanwhile must not extend the
// lease.
Test(Replication, ClockJumpEndsLease) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  group.Freeze(leader);
  group.RunUntil([&] { return !group.Leader().empty(); }, seconds(5));
  group.Thaw(leader);
  auto& replica = group.ReplicaOf(leader);
  for (const ReplicaMessage& message : group.in_flight_messages) {
    if (message.to == DiskId(leader) && message.term == replica.term()) {
      replica.Step(group.now, message);
    }
  }
  const bool serves_reads = replica.ReadIndex(group.now).has_value();
  const ProposeStatus status = group.Propose(leader, "late").status;
  cr_assert(!serves_reads && status == ProposeStatus::kNoQuorum,
            "expected no read and status %d, actual %d and %d",
            static_cast<int>(ProposeStatus::kNoQuorum), serves_reads,
            static_cast<int>(status));
}

// Guards against a member that deposes a healthy leader after its links were
// cut and restored.
Test(Replication, ReconnectedMemberDoesNotDeposeLeader) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  const Term term = group.ReplicaOf(leader).term();
  group.Isolate(group.Follower());
  group.Run(seconds(10));
  group.RestoreLinks();
  group.Run(seconds(3));
  cr_assert(group.Leader() == leader && group.ReplicaOf(leader).term() == term,
            "expected leader %s in term %lu, actual \"%s\" in term %lu",
            leader.c_str(), term.value(), group.Leader().c_str(),
            group.ReplicaOf(leader).term().value());
}

// Guards against proposal times that decrease because the wall clock of a new
// leader is behind that of the previous one.
Test(Replication, ProposalTimeNeverDecreases) {
  TestGroup group(3);
  const WallTime late(seconds(100));
  const std::string leader = group.AwaitLeader();
  group.ReplicaOf(leader).Propose(group.now, late, "late");
  group.Run(milliseconds(200));
  group.Compact(leader);
  group.Compact(group.Follower(0));
  group.Compact(group.Follower(1));
  group.Crash(leader);
  group.Run(seconds(3));
  const std::string next = group.AwaitLeader();
  group.ReplicaOf(next).Propose(group.now, WallTime(seconds(50)), "early");
  group.Run(milliseconds(200));
  const WallTime actual =
      group.TestMemberOf(next).storage.durable.entries.back().proposed_at;
  cr_assert(actual == late, "expected 100 s, actual %ld us",
            actual.time_since_epoch().count());
}

}  // namespace marigold
