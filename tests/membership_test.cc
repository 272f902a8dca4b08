#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <vector>

#include "src/replication/detail/membership_rules.h"
#include "tests/replication_group.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = MembershipChange::Kind;

// Settings for a group of three voters a, b and c, with a spare d that the
// tests may start and a learner e that does not run.
ReplicaSettings WithSpare() {
  ReplicaSettings settings;
  settings.replace_after = seconds(5);
  settings.initial_membership.members = {
      TestGroup::MakeMember("d", MemberRole::kSpare),
      TestGroup::MakeMember("e", MemberRole::kLearner)};
  return settings;
}

struct ChangeRow {
  Kind kind;
  const char* member;
  MemberRole role;
  ProposeStatus expected;
};

const ChangeRow kChangeRows[] = {
    {Kind::kAdd, "f", MemberRole::kLearner, ProposeStatus::kProposed},
    {Kind::kAdd, "f", MemberRole::kSpare, ProposeStatus::kProposed},
    {Kind::kAdd, "f", MemberRole::kVoter, ProposeStatus::kRefused},
    {Kind::kAdd, "a", MemberRole::kLearner, ProposeStatus::kRefused},
    {Kind::kAdd, "", MemberRole::kLearner, ProposeStatus::kRefused},
    {Kind::kRemove, "f", MemberRole::kLearner, ProposeStatus::kRefused},
    {Kind::kRemove, "e", MemberRole::kLearner, ProposeStatus::kProposed},
    {Kind::kRemove, "b", MemberRole::kLearner, ProposeStatus::kProposed},
    {Kind::kSetRole, "b", MemberRole::kVoter, ProposeStatus::kRefused},
    {Kind::kSetRole, "b", MemberRole::kSpare, ProposeStatus::kProposed},
    {Kind::kSetRole, "d", MemberRole::kVoter, ProposeStatus::kProposed},
    {Kind::kSetRole, "e", MemberRole::kVoter, ProposeStatus::kRefused},
    {Kind::kSetRole, "e", MemberRole::kSpare, ProposeStatus::kProposed},
};

struct ReplacementRow {
  std::size_t voters;
  std::vector<DiskId> lost;
  std::vector<DiskId> caught_up;
  // The disk whose role changes, or an empty string for no change.
  const char* member;
  MemberRole role;
  // The number of voters that the group should have, or 0 for no target.
  std::size_t target_voters = 0;
};

const ReplacementRow kReplacementRows[] = {
    {3, {}, {DiskId("x")}, "", MemberRole::kVoter},
    {3, {DiskId("b")}, {}, "", MemberRole::kVoter},
    {3, {DiskId("b")}, {DiskId("x")}, "x", MemberRole::kVoter},
    {4, {DiskId("b")}, {DiskId("x")}, "b", MemberRole::kSpare},
    {4, {DiskId("b")}, {}, "b", MemberRole::kSpare},
    {5, {DiskId("b"), DiskId("c")}, {DiskId("x")}, "x", MemberRole::kVoter},
    {3, {}, {DiskId("x")}, "x", MemberRole::kVoter, 5},
    {3, {}, {DiskId("x")}, "", MemberRole::kVoter, 3},
    {4, {}, {DiskId("x")}, "x", MemberRole::kVoter, 5},
    {3, {}, {}, "", MemberRole::kVoter, 5},
};

std::size_t RunningVoters(TestGroup& group) {
  const Membership& membership = group.ReplicaOf(group.Leader()).membership();
  std::size_t count = 0;
  for (const Member& member : membership.members) {
    if (member.role == MemberRole::kVoter &&
        group.TestMemberOf(member.disk.value()).replica) {
      ++count;
    }
  }
  return count;
}

}  // namespace

ParameterizedTestParameters(Membership, AllowsOnlySafeChanges) {
  return RowIndices(kChangeRows);
}

// Guards against a change that is never valid, and against the promotion of a
// member that lacks the log.
ParameterizedTest(std::size_t* index, Membership, AllowsOnlySafeChanges) {
  const ChangeRow& row = kChangeRows[*index];
  TestGroup group(3, WithSpare());
  group.Start("d");
  group.AwaitLeader();
  group.Run(seconds(1));
  const ProposeStatus actual =
      group.ChangeMember(row.kind, row.member, row.role);
  cr_assert_eq(actual, row.expected, "row %zu, %s: expected %d, actual %d",
               *index, row.member, static_cast<int>(row.expected),
               static_cast<int>(actual));
}

ParameterizedTestParameters(Membership, ReplacementPromotesBeforeItDemotes) {
  return RowIndices(kReplacementRows);
}

// Guards against a replacement of a lost voter during which the group tolerates
// fewer losses than before.
ParameterizedTest(std::size_t* index,
                  Membership,
                  ReplacementPromotesBeforeItDemotes) {
  const ReplacementRow& row = kReplacementRows[*index];
  Membership membership;
  for (std::size_t i = 0; i < row.voters; ++i) {
    membership.members.push_back(
        TestGroup::MakeMember(TestGroup::Name(i), MemberRole::kVoter));
  }
  membership.members.push_back(TestGroup::MakeMember("x", MemberRole::kSpare));
  const auto change = detail::PlanMembershipChange(
      membership, row.lost, row.caught_up, row.target_voters);
  const std::string actual = change ? change->member.disk.value() : "";
  cr_assert(
      actual == row.member && (!change || change->member.role == row.role),
      "row %zu: expected \"%s\", actual \"%s\"", *index, row.member,
      actual.c_str());
}

// Guards against a group that admits no newcomer after some replacements,
// because the VMs that were replaced are still members, and then loses its
// quorum although enough VMs run.
Test(Membership, ManyReplacementsInARowKeepTheGroup) {
  constexpr int kReplacements = 30;
  ReplicaSettings settings;
  settings.replace_after = seconds(5);
  settings.target_voters = 3;
  TestGroup group(3, settings);
  group.AwaitLeader();
  std::vector<std::string> running = {"a", "b", "c"};
  for (int i = 0; i < kReplacements; ++i) {
    // The new VM starts, asks to join until it is a member, and the VM that it
    // replaces goes.
    const std::string name = "new-" + std::to_string(i);
    Member newcomer = TestGroup::MakeMember(name, MemberRole::kSpare);
    newcomer.address.port = static_cast<std::uint16_t>(100 + i);
    group.Start(name);
    const auto is_member = [&] {
      return group.ReplicaOf(group.AwaitLeader())
                 .membership()
                 .Find(newcomer.disk) != nullptr;
    };
    for (int tries = 0; tries < 100 && !is_member(); ++tries) {
      group.Admit(newcomer);
      group.Run(milliseconds(100));
    }
    cr_assert(is_member(), "replacement %d: expected the VM to be a member", i);
    group.Run(seconds(2));
    group.Crash(running.front());
    running.erase(running.begin());
    running.push_back(name);
    group.Run(seconds(12));
    cr_assert_eq(RunningVoters(group), 3U,
                 "replacement %d: expected 3 running voters, actual %zu", i,
                 RunningVoters(group));
  }
}

// Guards against two uncommitted changes at once, whose quorums need not
// overlap.
Test(Membership, RefusesASecondChangeBeforeTheFirstCommits) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  auto& replica = group.ReplicaOf(leader);
  const MembershipChange first{Kind::kAdd,
                               TestGroup::MakeMember("x", MemberRole::kSpare)};
  const MembershipChange second{Kind::kAdd,
                                TestGroup::MakeMember("y", MemberRole::kSpare)};
  const auto first_proposal =
      replica.ProposeMembership(group.now, WallTime(), first);
  const auto second_proposal =
      replica.ProposeMembership(group.now, WallTime(), second);
  cr_assert(first_proposal.status == ProposeStatus::kProposed &&
                second_proposal.status == ProposeStatus::kRefused,
            "expected proposed and refused, actual %d and %d",
            static_cast<int>(first_proposal.status),
            static_cast<int>(second_proposal.status));
}

// Guards against a new leader that changes the membership while a change of an
// earlier term may still commit, since the quorums of the two need not overlap.
Test(Membership, RefusesAChangeBeforeTheTermHasCommitted) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  group.Crash(leader);
  std::string next;
  group.RunUntil(
      [&] {
        for (const auto& [disk, test_member] : group.test_members) {
          if (test_member->replica &&
              test_member->replica->role() == ReplicaRole::kLeader) {
            next = disk.value();
          }
        }
        return !next.empty();
      },
      seconds(5));
  const auto actual = group.ReplicaOf(next).ProposeMembership(
      group.now, WallTime(),
      {Kind::kAdd, TestGroup::MakeMember("x", MemberRole::kSpare)});
  cr_assert_eq(actual.status, ProposeStatus::kRefused,
               "expected refused, actual %d", static_cast<int>(actual.status));
}

// Guards against a group without a leader, or with a leader that is not a
// member, after the leader was removed.
Test(Membership, LeaderThatRemovesItselfStepsDown) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  group.Commit("kept");
  group.ChangeMember(Kind::kRemove, leader, MemberRole::kVoter);
  group.Run(seconds(2));
  const std::string actual = group.AwaitLeader();
  cr_assert(actual != leader && group.HasApplied(actual, "kept") &&
                group.ReplicaOf(actual).membership().VoterCount() == 2,
            "expected another leader of 2 voters, actual \"%s\" of %zu",
            actual.c_str(), group.ReplicaOf(actual).membership().VoterCount());
}

// Guards against a group that cannot elect a leader. Only the leader that
// removed itself has the removal entry, and the log of the other member is
// shorter.
Test(Membership, LeaderWhoseRemovalIsNotCommittedIsElectedAgain) {
  TestGroup group(2);
  const std::string leader = group.AwaitLeader();
  const std::string other = group.Follower();
  group.CutLink(leader, other);
  group.ChangeMember(Kind::kRemove, leader, MemberRole::kVoter);
  group.Crash(leader);
  group.RestoreLinks();
  group.Start(leader);
  group.Run(seconds(5));
  const std::string actual = group.Leader();
  cr_assert(actual == other, "expected leader %s, actual \"%s\"", other.c_str(),
            actual.c_str());
}

// Guards against a removed member that has not heard of its removal and deposes
// the leader by its elections.
Test(Membership, RemovedMemberDoesNotDeposeLeader) {
  TestGroup group(4);
  const std::string leader = group.AwaitLeader();
  const std::string removed = group.Follower();
  const Term term = group.ReplicaOf(leader).term();
  group.Isolate(removed);
  group.Run(seconds(2));
  group.ChangeMember(Kind::kRemove, removed, MemberRole::kVoter);
  group.RestoreLinks();
  group.Run(seconds(10));
  cr_assert(group.Leader() == leader && group.ReplicaOf(leader).term() == term,
            "expected leader %s in term %lu, actual \"%s\" in term %lu",
            leader.c_str(), term.value(), group.Leader().c_str(),
            group.ReplicaOf(leader).term().value());
}

// Guards against a replacement after which the group still tolerates no second
// loss. After a second loss, no entry may be missing, and the group must still
// commit.
Test(Membership, SpareReplacesALostVoter) {
  TestGroup group(3, WithSpare());
  group.Start("d");
  const std::string leader = group.AwaitLeader();
  group.Commit("before");
  const std::string lost = group.Follower(0);
  group.Crash(lost);
  std::size_t min_surplus_voters = 3;
  const bool replaced = group.RunUntil(
      [&] {
        const Membership& membership = group.ReplicaOf(leader).membership();
        min_surplus_voters = std::min(
            min_surplus_voters, RunningVoters(group) - membership.QuorumSize());
        return !membership.IsVoter(DiskId(lost));
      },
      seconds(10));
  group.Commit("after");
  group.Crash(leader);
  const std::string next = group.AwaitLeader();
  cr_assert(
      replaced && min_surplus_voters == 0 && group.HasApplied(next, "before") &&
          group.HasApplied(next, "after") && group.Commit("last"),
      "expected a replacement, both entries and a commit; actual replaced %d, "
      "fewest surplus voters %zu, leader %s",
      replaced, min_surplus_voters, next.c_str());
}

// Guards against spares that replace healthy voters, because the process of the
// leader was stopped for longer than `replace_after` and heard from nobody
// meanwhile.
Test(Membership, FrozenLeaderReplacesNoVoter) {
  TestGroup group(3, WithSpare());
  group.Start("d");
  const std::string leader = group.AwaitLeader();
  group.Freeze(leader);
  group.Run(seconds(4));
  group.now += seconds(60);
  group.Thaw(leader);
  group.Run(seconds(3));
  const std::string actual_leader = group.AwaitLeader();
  const Membership& actual = group.ReplicaOf(actual_leader).membership();
  cr_assert(actual.IsVoter(DiskId("a")) && actual.IsVoter(DiskId("b")) &&
                actual.IsVoter(DiskId("c")),
            "expected voters a, b and c, actual %zu voters",
            actual.VoterCount());
}

}  // namespace marigold
