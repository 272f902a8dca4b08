#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include "tests/replication_group.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Restarts after which the group must be able to commit without an operator's
// action.
struct RestartRow {
  const char* name;
  std::size_t voters;
  // The number of voters that are lost permanently before the others restart.
  std::size_t lost_voters;
  std::size_t restarted_voters;
};

const RestartRow kRestartRows[] = {
    {"single voter", 1, 0, 1},
    {"one of three", 3, 0, 1},
    {"two of three", 3, 0, 2},
    {"whole group of three", 3, 0, 3},
    {"one lost, one restarted of three", 3, 1, 1},
    {"one lost, two restarted of three", 3, 1, 2},
    {"whole group of four", 4, 0, 4},
    {"one lost, three restarted of four", 4, 1, 3},
    {"two lost, three restarted of five", 5, 2, 3},
};

// Copies that a disk is restored from.
struct CopyRow {
  const char* name;
  // Boots of the disk between the copy and the restoration.
  std::size_t boots_since_copy;
  // True if all members restart together with the restored one.
  bool all_restart;
  // True if the boot count or the log of the copy is behind what the peers
  // know, so that they must detect the older copy.
  bool rolled_back;
};

const CopyRow kCopyRows[] = {
    {"same boot, leader stays", 0, false, true},
    {"same boot, all restart", 0, true, false},
    {"one boot ago, leader stays", 1, false, true},
    {"one boot ago, all restart", 1, true, true},
    {"three boots ago, all restart", 3, true, true},
};

std::size_t GrantedVotes(TestGroup& group,
                         const std::string& name,
                         const ReplicaMessage& request) {
  auto& replica = group.ReplicaOf(name);
  replica.TakeMessages();
  replica.Step(group.now, request);
  replica.Flush(group.now);
  std::size_t granted = 0;
  for (const ReplicaMessage& message : replica.TakeMessages()) {
    const auto* vote = std::get_if<VoteReply>(&message.body);
    const auto* pre_vote = std::get_if<PreVoteReply>(&message.body);
    granted += vote != nullptr && vote->granted ? 1 : 0;
    granted += pre_vote != nullptr && pre_vote->granted ? 1 : 0;
  }
  return granted;
}

ReplicaMessage VoteRequestOf(TestGroup& group,
                             const std::string& from,
                             const std::string& to,
                             Term term) {
  ReplicaMessage message;
  message.from = DiskId(from);
  message.to = DiskId(to);
  message.term = term;
  const HardState& hard_state =
      group.TestMemberOf(from).storage.durable.hard_state;
  message.boot_count = hard_state.boot_count;
  for (const BootRecord& record : hard_state.known_boots) {
    if (record.disk == message.from) {
      message.boot_nonce = record.nonce;
    }
  }
  message.body = VoteRequest{LogIndex(1000), term};
  return message;
}

}  // namespace

ParameterizedTestParameters(DiskIdentity, RestartedMembersRejoin) {
  return RowIndices(kRestartRows);
}

// Guards against a group that stays without a leader after a restart, because
// its intact voters cannot reach the quorum that confirms their boots.
ParameterizedTest(std::size_t* index, DiskIdentity, RestartedMembersRejoin) {
  const RestartRow& row = kRestartRows[*index];
  TestGroup group(row.voters);
  group.AwaitLeader();
  group.Commit("kept");
  for (std::size_t i = 0; i < row.lost_voters; ++i) {
    group.Crash(TestGroup::Name(i));
  }
  for (std::size_t i = row.lost_voters;
       i < row.lost_voters + row.restarted_voters; ++i) {
    group.Crash(TestGroup::Name(i));
    group.Start(TestGroup::Name(i));
  }
  group.Run(seconds(6));
  const bool actual = group.Commit("new");
  cr_assert(actual && group.HasApplied(group.Leader(), "kept"),
            "%s: expected a commit, actual %d", row.name, actual);
}

// Guards against 2 s without a leader after a power loss, because the restarted
// voters wait for a disk that is lost and can no longer answer.
Test(DiskIdentity, RestartedVotersDoNotWaitForLostDisk) {
  TestGroup group(3);
  group.AwaitLeader();
  group.Commit("kept");
  group.Crash("a");
  for (const char* name : {"b", "c"}) {
    group.Crash(name);
    group.Start(name);
    group.ReplicaOf(name).OnDiskLost(group.now, DiskId("a"));
  }
  group.Run(milliseconds(1'400));
  const std::string leader = group.Leader();
  cr_assert(!leader.empty() && group.HasApplied(leader, "kept"),
            "expected a leader, actual \"%s\"", leader.c_str());
}

ParameterizedTestParameters(DiskIdentity, RestoredDiskLosesNoCommittedEntry) {
  return RowIndices(kCopyRows);
}

// Guards against the loss of a committed entry. One of the two disks that held
// the entry is restored from a copy without it, and the third voter never had
// it.
ParameterizedTest(std::size_t* index,
                  DiskIdentity,
                  RestoredDiskLosesNoCommittedEntry) {
  const CopyRow& row = kCopyRows[*index];
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  const std::string restored = group.Follower(0);
  const std::string lagging = group.Follower(1);
  group.Run(seconds(1));
  const StoredState copy = group.TestMemberOf(restored).storage.durable;
  for (std::size_t i = 0; i < row.boots_since_copy; ++i) {
    group.Crash(restored);
    group.Start(restored);
    group.Run(seconds(1));
  }
  group.Isolate(lagging);
  group.Commit("kept");
  if (row.all_restart) {
    for (const std::string& name : {leader, lagging}) {
      group.Crash(name);
      group.Start(name);
    }
  }
  group.RestoreDisk(restored, copy);
  group.RestoreLinks();
  group.Run(seconds(5));
  const std::string next = group.AwaitLeader();
  const bool rolled_back =
      group.TestMemberOf(restored).storage.durable.hard_state.is_rolled_back;
  cr_assert(
      group.HasApplied(next, "kept") && rolled_back == row.rolled_back,
      "%s: expected the entry and rolled back %d, actual entry %d, rolled "
      "back %d",
      row.name, row.rolled_back, group.HasApplied(next, "kept"), rolled_back);
}

// Guards against two leaders in one term. A voter grants a vote, its disk is
// restored from a copy without that vote, and it grants another one in the same
// term.
Test(DiskIdentity, RestoredDiskDoesNotVoteTwiceInATerm) {
  TestGroup group(3);
  const StoredState copy = group.TestMemberOf("a").storage.durable;
  const std::string leader = group.AwaitLeader();
  const Term term = group.ReplicaOf(leader).term();
  const std::string other = group.Follower(leader == "a" ? 0 : 1);
  group.RestoreDisk("a", copy);
  group.RunUntil([&] { return !group.ReplicaOf("a").is_boot_unconfirmed(); },
                 seconds(5));
  group.now += seconds(1);
  const std::size_t actual =
      GrantedVotes(group, "a", VoteRequestOf(group, other, "a", term));
  cr_assert_eq(actual, 0, "expected no vote in term %lu, actual %zu",
               term.value(), actual);
}

// Guards against a vote from a boot that no peer has confirmed. Its disk may
// lack votes and entries that it once promised.
Test(DiskIdentity, UnconfirmedBootGrantsNoVote) {
  TestGroup group(3);
  group.AwaitLeader();
  group.Isolate("a");
  group.Crash("a");
  group.Start("a");
  group.Run(seconds(10));
  const std::size_t actual =
      GrantedVotes(group, "a", VoteRequestOf(group, "b", "a", Term(50)));
  cr_assert(actual == 0 && group.ReplicaOf("a").is_boot_unconfirmed(),
            "expected an unconfirmed boot and no vote, actual %zu votes",
            actual);
}

// Guards against a VM that restarts with an empty disk and votes as the member
// that it was before, although it lacks the committed entries.
Test(DiskIdentity, EmptyDiskDoesNotVote) {
  TestGroup group(3);
  group.AwaitLeader();
  group.Crash("a");
  group.Start("new");
  group.Run(seconds(3));
  const std::size_t actual =
      GrantedVotes(group, "new", VoteRequestOf(group, "b", "new", Term(50)));
  cr_assert(actual == 0 && group.ReplicaOf("new").is_boot_unconfirmed() &&
                group.ReplicaOf("new").membership().members.empty(),
            "expected no vote and no membership, actual %zu votes", actual);
}

// Guards against a member that joins with a new disk and does not receive the
// log, or cannot be promoted to voter.
Test(DiskIdentity, EmptyDiskJoinsAsALearnerAndIsPromoted) {
  TestGroup group(3);
  group.AwaitLeader();
  group.Commit("kept");
  group.Start("new");
  group.ChangeMember(MembershipChange::Kind::kAdd, "new", MemberRole::kLearner);
  group.Run(seconds(1));
  group.ChangeMember(MembershipChange::Kind::kSetRole, "new",
                     MemberRole::kVoter);
  const std::size_t actual =
      group.ReplicaOf(group.Leader()).membership().VoterCount();
  cr_assert(actual == 4 && group.HasApplied("new", "kept"),
            "expected 4 voters, actual %zu", actual);
}

// Guards against a group that stays without a leader. Its voters grant no vote
// because they require a log as long as that of a voter that has confirmed
// their boots and is now lost.
Test(DiskIdentity, LostVoterWithLongestLogDoesNotBlockElection) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  const std::string first = group.Follower(0);
  const std::string second = group.Follower(1);
  group.Isolate(leader);
  group.Propose(leader, "uncommitted");
  group.Run(milliseconds(50));
  for (const std::string& name : {leader, first, second}) {
    group.Crash(name);
    group.Start(name);
  }
  group.RestoreLinks();
  group.RunUntil([&] { return !group.ReplicaOf(first).is_boot_unconfirmed(); },
                 seconds(1));
  group.Crash(leader);
  group.Run(seconds(6));
  const bool actual = group.Commit("new");
  cr_assert(actual, "expected a commit, actual %d", actual);
}

// Guards against an intact disk that is marked as rolled back. Its current boot
// acknowledges entries before it is confirmed, and these are taken for entries
// that an earlier boot acknowledged and the disk has lost.
Test(DiskIdentity, AcknowledgementsBeforeConfirmationAreNoRollback) {
  TestGroup group(3);
  group.AwaitLeader();
  group.Commit("kept");
  const std::string restarted = group.Follower(0);
  const std::string disconnected = group.Follower(1);
  group.Crash(restarted);
  group.CutLink(disconnected, restarted);
  group.Start(restarted);
  group.Commit("more");
  group.Run(seconds(1));
  group.RestoreLinks();
  group.Run(seconds(1));
  const bool rolled_back =
      group.TestMemberOf(restarted).storage.durable.hard_state.is_rolled_back;
  const bool boot_unconfirmed =
      group.ReplicaOf(restarted).is_boot_unconfirmed();
  cr_assert(!rolled_back && !boot_unconfirmed,
            "expected a confirmed boot, actual rolled back %d, unconfirmed %d",
            rolled_back, boot_unconfirmed);
}

// Guards against a member that never catches up with its leader. Its
// rolled-back disk is restored once more, from a copy that is marked as rolled
// back.
Test(DiskIdentity, DiskRestoredAfterRollbackDetectionCatchesUp) {
  TestGroup group(3);
  group.AwaitLeader();
  const std::string restored = group.Follower();
  const StoredState oldest_copy = group.TestMemberOf(restored).storage.durable;
  group.Commit("before");
  group.RestoreDisk(restored, oldest_copy);
  group.Run(seconds(2));
  const StoredState rolled_back_copy =
      group.TestMemberOf(restored).storage.durable;
  cr_assert(rolled_back_copy.hard_state.is_rolled_back,
            "expected a rolled-back disk");
  group.Commit("between");
  group.Crash(restored);
  group.Start(restored);
  group.Run(seconds(2));
  group.Commit("after");

  group.RestoreDisk(restored, rolled_back_copy);
  const bool caught_up = group.RunUntil(
      [&] { return group.HasApplied(restored, "after"); }, seconds(5));

  cr_assert(caught_up, "expected all entries within 5 s, actual last index %lu",
            group.TestMemberOf(restored).applied_index.value());
}

// Guards against two leaders with a lease at once. A restarted voter follows a
// leader and so extends its lease, but then votes for another candidate because
// earlier answers said that no voter has a leader.
Test(DiskIdentity, RestartedFollowerDoesNotVoteWithinLease) {
  TestGroup group(3);
  const std::string leader = group.AwaitLeader();
  const std::string other = group.Follower(0);
  const std::string restarted = group.Follower(1);
  group.Crash(restarted);
  group.Start(restarted);
  group.RunUntil(
      [&] { return !group.ReplicaOf(restarted).is_boot_unconfirmed(); },
      seconds(1));
  group.Run(milliseconds(100));
  const Term later_term(group.ReplicaOf(restarted).term().value() + 1);
  BootReply reply;
  reply.accepted = true;
  reply.knows_no_leader = true;
  reply.boot_nonce = VoteRequestOf(group, restarted, other, Term(1)).boot_nonce;
  ReplicaMessage message = VoteRequestOf(group, leader, restarted, Term(1));
  message.body = reply;
  group.ReplicaOf(restarted).Step(group.now, message);
  // The later term ends the term of the leader that the restarted voter
  // follows.
  message = VoteRequestOf(group, other, restarted, later_term);
  message.body = AppendReply{1, false, {}, {}};
  group.ReplicaOf(restarted).Step(group.now, message);
  message.body = reply;
  group.ReplicaOf(restarted).Step(group.now, message);

  const std::size_t actual = GrantedVotes(
      group, restarted, VoteRequestOf(group, other, restarted, later_term));

  cr_assert_eq(actual, 0, "expected no vote, actual %zu", actual);
}

}  // namespace marigold
