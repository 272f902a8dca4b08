#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include "tests/replication_group.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Restarts that must come back by themselves.
struct RestartRow {
  const char* name;
  std::size_t voters;
  // Lost for good before the others restart.
  std::size_t lost;
  std::size_t restarted;
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

// When the copy that a disk is restored from was taken.
struct CopyRow {
  const char* name;
  // Process starts between the copy and the restoration.
  std::size_t starts_after;
  // All members restart together with the restored one.
  bool all_restart;
  // The disk proves to be older: its count or its log is behind.
  bool refused;
};

const CopyRow kCopyRows[] = {
    {"same start, leader stays", 0, false, true},
    {"same start, all restart", 0, true, false},
    {"one start ago, leader stays", 1, false, true},
    {"one start ago, all restart", 1, true, true},
    {"three starts ago, all restart", 3, true, true},
};

std::size_t Granted(TestGroup& group,
                    const std::string& name,
                    const ReplicaMessage& request) {
  auto& replica = group.Of(name);
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
  const HardState& hard = group.At(from).storage.durable.hard_state;
  message.boot_count = hard.boot_count;
  for (const BootRecord& record : hard.seen_boots) {
    if (record.disk == message.from) {
      message.boot_nonce = record.nonce;
    }
  }
  message.body = VoteRequest{LogIndex(1000), term};
  return message;
}

}  // namespace

ParameterizedTestParameters(DiskIdentity, RestartsComeBack) {
  return RowIndices(kRestartRows);
}

// Guards against a confirmation quorum that honest restarts can't reach.
ParameterizedTest(std::size_t* index, DiskIdentity, RestartsComeBack) {
  const RestartRow& row = kRestartRows[*index];
  TestGroup group(row.voters);
  group.Elect();
  group.Commit("kept");
  for (std::size_t i = 0; i < row.lost; ++i) {
    group.Crash(TestGroup::Name(i));
  }
  for (std::size_t i = row.lost; i < row.lost + row.restarted; ++i) {
    group.Crash(TestGroup::Name(i));
    group.Start(TestGroup::Name(i));
  }
  group.Run(seconds(6));
  const bool actual = group.Commit("new");
  cr_assert(actual && group.Has(group.Leader(), "kept"),
            "%s: expected a commit, actual %d", row.name, actual);
}

// Guards against two seconds without a leader after a power loss, in which the
// restarted voters wait for a disk that can't answer any more.
Test(DiskIdentity, RestartedVotersDoNotWaitForADiskThatIsGone) {
  TestGroup group(3);
  group.Elect();
  group.Commit("kept");
  group.Crash("a");
  for (const char* name : {"b", "c"}) {
    group.Crash(name);
    group.Start(name);
    group.Of(name).OnDiskGone(group.now, DiskId("a"));
  }
  group.Run(milliseconds(1'400));
  const std::string leader = group.Leader();
  cr_assert(!leader.empty() && group.Has(leader, "kept"),
            "expected a leader, actual \"%s\"", leader.c_str());
}

ParameterizedTestParameters(DiskIdentity, RestoredDiskLosesNoCommittedEntry) {
  return RowIndices(kCopyRows);
}

// Guards against a committed entry that is lost because one of the two disks
// that held it forgot it. The third voter never had it.
ParameterizedTest(std::size_t* index,
                  DiskIdentity,
                  RestoredDiskLosesNoCommittedEntry) {
  const CopyRow& row = kCopyRows[*index];
  TestGroup group(3);
  const std::string leader = group.Elect();
  const std::string restored = group.Follower(0);
  const std::string behind = group.Follower(1);
  group.Run(seconds(1));
  const StoredState copy = group.At(restored).storage.durable;
  for (std::size_t i = 0; i < row.starts_after; ++i) {
    group.Crash(restored);
    group.Start(restored);
    group.Run(seconds(1));
  }
  group.Isolate(behind);
  group.Commit("kept");
  if (row.all_restart) {
    for (const std::string& name : {leader, behind}) {
      group.Crash(name);
      group.Start(name);
    }
  }
  group.Restore(restored, copy);
  group.Heal();
  group.Run(seconds(5));
  const std::string next = group.Elect();
  const bool refused = group.At(restored).storage.durable.hard_state.refused;
  cr_assert(group.Has(next, "kept") && refused == row.refused,
            "%s: expected the entry and refused %d, actual entry %d, refused "
            "%d",
            row.name, row.refused, group.Has(next, "kept"), refused);
}

// Guards against two leaders of one term, elected with one voter's two votes.
Test(DiskIdentity, RestoredDiskDoesNotVoteTwiceInATerm) {
  TestGroup group(3);
  const StoredState copy = group.At("a").storage.durable;
  const std::string leader = group.Elect();
  const Term term = group.Of(leader).term();
  const std::string other = group.Follower(leader == "a" ? 0 : 1);
  group.Restore("a", copy);
  group.RunUntil([&] { return !group.Of("a").is_probationary(); }, seconds(5));
  group.now += seconds(1);
  const std::size_t actual =
      Granted(group, "a", VoteRequestOf(group, other, "a", term));
  cr_assert_eq(actual, 0, "expected no vote in term %lu, actual %zu",
               term.value(), actual);
}

// Guards against a vote or a counted acknowledgement from an unconfirmed start.
Test(DiskIdentity, UnconfirmedStartGrantsNothing) {
  TestGroup group(3);
  group.Elect();
  group.Isolate("a");
  group.Crash("a");
  group.Start("a");
  group.Run(seconds(10));
  const std::size_t actual =
      Granted(group, "a", VoteRequestOf(group, "b", "a", Term(50)));
  cr_assert(actual == 0 && group.Of("a").is_probationary(),
            "expected probation and no vote, actual %zu", actual);
}

// Guards against a VM that comes back with an empty disk and votes like the
// member that it was.
Test(DiskIdentity, EmptyDiskIsNobodysVoter) {
  TestGroup group(3);
  group.Elect();
  group.Crash("a");
  group.Start("new");
  group.Run(seconds(3));
  const std::size_t actual =
      Granted(group, "new", VoteRequestOf(group, "b", "new", Term(50)));
  cr_assert(actual == 0 && group.Of("new").is_probationary() &&
                group.Of("new").membership().members.empty(),
            "expected no vote and no membership, actual %zu votes", actual);
}

// Guards against a member that stays useless after it joins with a new disk.
Test(DiskIdentity, EmptyDiskJoinsAsALearnerAndIsPromoted) {
  TestGroup group(3);
  group.Elect();
  group.Commit("kept");
  group.Start("new");
  group.Change(MembershipChange::Kind::kAdd, "new", MemberRole::kLearner);
  group.Run(seconds(1));
  group.Change(MembershipChange::Kind::kSetRole, "new", MemberRole::kVoter);
  const std::size_t actual = group.Of(group.Leader()).membership().VoterCount();
  cr_assert(actual == 4 && group.Has("new", "kept"),
            "expected 4 voters, actual %zu", actual);
}

// Guards against a group whose voters all refuse to vote because they wait for
// the log of one that is lost.
Test(DiskIdentity, LostVoterWithTheLongestLogBlocksNobody) {
  TestGroup group(3);
  const std::string leader = group.Elect();
  const std::string first = group.Follower(0);
  const std::string second = group.Follower(1);
  group.Isolate(leader);
  group.Propose(leader, "uncommitted");
  group.Run(milliseconds(50));
  for (const std::string& name : {leader, first, second}) {
    group.Crash(name);
    group.Start(name);
  }
  group.Heal();
  group.RunUntil([&] { return !group.Of(first).is_probationary(); },
                 seconds(1));
  group.Crash(leader);
  group.Run(seconds(6));
  const bool actual = group.Commit("new");
  cr_assert(actual, "expected a commit, actual %d", actual);
}

// Guards against taking what the present start has acknowledged, while it waits
// for a confirmation, for what an earlier one has forgotten.
Test(DiskIdentity, AcknowledgementsOnProbationAreNoRefusal) {
  TestGroup group(3);
  group.Elect();
  group.Commit("kept");
  const std::string restarted = group.Follower(0);
  const std::string silent = group.Follower(1);
  group.Crash(restarted);
  group.Cut(silent, restarted);
  group.Start(restarted);
  group.Commit("more");
  group.Run(seconds(1));
  group.Heal();
  group.Run(seconds(1));
  const bool refused = group.At(restarted).storage.durable.hard_state.refused;
  const bool on_probation = group.Of(restarted).is_probationary();
  cr_assert(!refused && !on_probation,
            "expected a confirmed start, actual refused %d, on probation %d",
            refused, on_probation);
}

// Guards against a refused disk that goes back to a copy of its refused state
// and then stays behind the leader that it hears.
Test(DiskIdentity, DiskRestoredAfterItsRefusalCatchesUp) {
  TestGroup group(3);
  group.Elect();
  const std::string restored = group.Follower();
  const StoredState oldest = group.At(restored).storage.durable;
  group.Commit("before");
  group.Restore(restored, oldest);
  group.Run(seconds(2));
  const StoredState refused = group.At(restored).storage.durable;
  cr_assert(refused.hard_state.refused, "expected a refused disk");
  group.Commit("between");
  group.Crash(restored);
  group.Start(restored);
  group.Run(seconds(2));
  group.Commit("after");

  group.Restore(restored, refused);
  const bool caught_up =
      group.RunUntil([&] { return group.Has(restored, "after"); }, seconds(5));

  cr_assert(caught_up, "expected all entries within 5 s, actual last index %lu",
            group.At(restored).applied_index.value());
}

// Guards against a start that follows a leader and then votes within the lease
// that it has granted, because of answers that came before.
Test(DiskIdentity, StartThatFollowsALeaderKeepsItsPromise) {
  TestGroup group(3);
  const std::string leader = group.Elect();
  const std::string other = group.Follower(0);
  const std::string started = group.Follower(1);
  group.Crash(started);
  group.Start(started);
  group.RunUntil([&] { return !group.Of(started).is_probationary(); },
                 seconds(1));
  group.Run(milliseconds(100));
  const Term later(group.Of(started).term().value() + 1);
  BootReply reply;
  reply.accepted = true;
  reply.leaderless = true;
  reply.boot_nonce = VoteRequestOf(group, started, other, Term(1)).boot_nonce;
  ReplicaMessage message = VoteRequestOf(group, leader, started, Term(1));
  message.body = reply;
  group.Of(started).Step(group.now, message);
  // Ends the term of the leader that it follows.
  message = VoteRequestOf(group, other, started, later);
  message.body = AppendReply{1, false, {}, {}};
  group.Of(started).Step(group.now, message);
  message.body = reply;
  group.Of(started).Step(group.now, message);

  const std::size_t actual =
      Granted(group, started, VoteRequestOf(group, other, started, later));

  cr_assert_eq(actual, 0, "expected no vote, actual %zu", actual);
}

}  // namespace marigold
