#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

#include "src/core/invariant.h"
#include "src/core/log.h"
#include "src/core/random.h"
#include "src/replication/replica.h"
#include "tests/memory_storage.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Replica "a" of the voters "a" to "e". The test sends the messages of its
// peers. The disk of "a" holds two entries of term 1.
class ReplicaUnderTest {
 public:
  ReplicaUnderTest() : storage(DiskId("a")), random(7) {
    SetViolationReaction(ViolationReaction::kAbort);
    SetLogLevel(LogLevel::kError);
    ReplicaSettings settings;
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      settings.initial_membership.members.push_back(
          {DiskId(name), VmId(name), {}, MemberRole::kVoter});
    }
    this->storage.durable.hard_state.term = Term(1);
    this->storage.durable.entries = {
        {Term(1), LogIndex(1), EntryKind::kCommand, {}, "one"},
        {Term(1), LogIndex(2), EntryKind::kCommand, {}, "two"}};
    this->replica.emplace(Replica<MemoryStorage, SeededRandom>::Open(
                              settings, this->storage, this->random, this->now)
                              .value());
  }

  // Delivers a message from the boot `boot_count` of the peer.
  void Receive(const char* from,
               Term term,
               ReplicaBody body,
               std::vector<BootRecord> boots = {},
               std::uint64_t boot_count = 1) {
    ReplicaMessage message;
    message.from = DiskId(from);
    message.to = DiskId("a");
    message.term = term;
    message.boot_count = boot_count;
    message.boot_nonce = 1;
    message.boots = std::move(boots);
    message.body = std::move(body);
    this->replica->Step(this->now, message);
    this->FlushAndCollect();
  }
  // Flushes and collects the messages to be sent.
  void FlushAndCollect() {
    this->CollectMessages();
    this->replica->Flush(this->now);
    this->CollectMessages();
  }
  void CollectMessages() {
    for (ReplicaMessage& message : this->replica->TakeMessages()) {
      this->sent.push_back(std::move(message));
    }
  }
  void Advance(Duration duration) {
    this->now += duration;
    this->replica->Tick(this->now);
    this->FlushAndCollect();
  }
  // Returns the boot nonce of "a", which its messages contain.
  std::uint64_t BootNonce() {
    this->Advance(milliseconds(100));
    return this->sent.back().boot_nonce;
  }
  // The peers b, c and d confirm the boot of "a" and report this term and last
  // position.
  void ConfirmBoot(Term term, LogPosition last_position) {
    const std::uint64_t nonce = this->BootNonce();
    for (const char* name : {"b", "c", "d"}) {
      this->Receive(name, term,
                    BootReply{1, true, nonce, last_position, {}, {}, {}});
    }
  }
  // Runs until "a" has won the pre-vote and asks for votes.
  void Campaign() {
    while (this->replica->role() != ReplicaRole::kCandidate) {
      this->Advance(milliseconds(50));
    }
    const Term next = Next(this->replica->term());
    for (const char* name : {"b", "c"}) {
      this->Receive(name, this->replica->term(), PreVoteReply{next, true});
    }
  }
  void BecomeLeader() {
    this->ConfirmBoot(Term(1), {});
    this->Campaign();
    const std::uint64_t nonce = this->sent.back().boot_nonce;
    for (const char* name : {"b", "c"}) {
      this->Receive(name, this->replica->term(), VoteReply{true, nonce});
    }
    cr_assert_eq(this->replica->role(), ReplicaRole::kLeader);
  }
  void AcceptAppend(const char* from,
                    std::uint64_t match,
                    std::vector<BootRecord> boots = {}) {
    this->Receive(from, this->replica->term(),
                  AppendReply{0, true, LogIndex(match), {}}, std::move(boots));
  }
  // The number of votes and pre-votes that "a" has granted.
  std::size_t GrantedVotes() const {
    std::size_t count = 0;
    for (const ReplicaMessage& message : this->sent) {
      const auto* vote = std::get_if<VoteReply>(&message.body);
      const auto* pre_vote = std::get_if<PreVoteReply>(&message.body);
      count += vote != nullptr && vote->granted ? 1 : 0;
      count += pre_vote != nullptr && pre_vote->granted ? 1 : 0;
    }
    return count;
  }

  MemoryStorage storage;
  SeededRandom random;
  MonotonicTime now{seconds(100)};
  std::optional<Replica<MemoryStorage, SeededRandom>> replica;
  std::vector<ReplicaMessage> sent;
};

// A vote request that arrives after the peers have confirmed the boot and, with
// `hears_leader`, right after a message from a leader.
struct VoteRow {
  const char* name;
  Term confirmed_term;
  LogPosition confirmed_last_position;
  bool hears_leader;
  Term term;
  LogPosition last_position;
  bool granted;
};

const LogPosition kOwnLastPosition{Term(1), LogIndex(2)};

const VoteRow kVoteRows[] = {
    {"log of equal length",
     Term(1),
     {},
     false,
     Term(2),
     kOwnLastPosition,
     true},
    {"log shorter", Term(1), {}, false, Term(2), {Term(1), LogIndex(1)}, false},
    {"log longer", Term(1), {}, false, Term(2), {Term(1), LogIndex(9)}, true},
    {"last term higher",
     Term(1),
     {},
     false,
     Term(3),
     {Term(2), LogIndex(1)},
     true},
    {"leader heard recently",
     Term(1),
     {},
     true,
     Term(2),
     kOwnLastPosition,
     false},
    {"current term, in which an earlier boot may have voted",
     Term(1),
     {},
     false,
     Term(1),
     kOwnLastPosition,
     false},
    {"current term of the peers",
     Term(7),
     {},
     false,
     Term(7),
     kOwnLastPosition,
     false},
    {"term after that of the peers",
     Term(7),
     {},
     false,
     Term(8),
     kOwnLastPosition,
     true},
    {"log shorter than that of a peer",
     Term(1),
     {Term(1), LogIndex(3)},
     false,
     Term(2),
     kOwnLastPosition,
     false},
    {"log as long as that of a peer",
     Term(1),
     {Term(1), LogIndex(3)},
     false,
     Term(2),
     {Term(1), LogIndex(3)},
     true},
};

// The acknowledgements that a leader receives, and the commit index that
// follows from them. The no-op of the leader has index 3.
struct CommitRow {
  const char* name;
  void (*acknowledge)(ReplicaUnderTest& under_test);
  std::uint64_t commit_index;
};

const BootRecord kLaterBootOfB{DiskId("b"), 2, 1};

const CommitRow kCommitRows[] = {
    {"two acknowledgements",
     [](ReplicaUnderTest& under_test) {
       under_test.AcceptAppend("b", 3);
       under_test.AcceptAppend("c", 3);
     },
     3},
    {"one acknowledgement",
     [](ReplicaUnderTest& under_test) { under_test.AcceptAppend("b", 3); }, 0},
    {"entries of an earlier term only",
     [](ReplicaUnderTest& under_test) {
       under_test.AcceptAppend("b", 2);
       under_test.AcceptAppend("c", 2);
       under_test.AcceptAppend("d", 2);
       under_test.AcceptAppend("e", 2);
     },
     0},
    {"one from a boot that has ended, as another peer reports",
     [](ReplicaUnderTest& under_test) {
       under_test.AcceptAppend("b", 3);
       under_test.AcceptAppend("c", 3, {kLaterBootOfB});
     },
     0},
    {"one from an earlier boot, whose entries a later boot lacks",
     [](ReplicaUnderTest& under_test) {
       under_test.AcceptAppend("b", 3);
       under_test.Receive("b", under_test.replica->term(),
                          AppendReply{0, true, LogIndex(2), {}}, {}, 2);
       under_test.AcceptAppend("c", 3);
     },
     0},
    {"one from an earlier boot that arrives late",
     [](ReplicaUnderTest& under_test) {
       under_test.AcceptAppend("c", 3, {kLaterBootOfB});
       under_test.AcceptAppend("b", 3);
     },
     0},
};

}  // namespace

ParameterizedTestParameters(ReplicaMessages, GrantsOnlySafeVotes) {
  return RowIndices(kVoteRows);
}

// Guards against a second vote in one term, a vote for a candidate that lacks a
// committed entry, and a vote during the lease of a leader.
ParameterizedTest(std::size_t* index, ReplicaMessages, GrantsOnlySafeVotes) {
  const VoteRow& row = kVoteRows[*index];
  ReplicaUnderTest under_test;
  under_test.ConfirmBoot(row.confirmed_term, row.confirmed_last_position);
  under_test.now += seconds(1);
  if (row.hears_leader) {
    under_test.Receive("e", Term(1),
                       AppendRequest{LogIndex(2), Term(1), {}, 1, {}});
    under_test.now += milliseconds(499);
  }
  const Term term = under_test.replica->term();
  under_test.Receive("b", term,
                     PreVoteRequest{row.term, row.last_position.index,
                                    row.last_position.term});
  const std::size_t pre_votes = under_test.GrantedVotes();
  under_test.Receive(
      "b", row.term,
      VoteRequest{row.last_position.index, row.last_position.term});
  const std::size_t votes = under_test.GrantedVotes() - pre_votes;
  cr_assert(pre_votes == (row.granted ? 1 : 0) &&
                votes == (row.granted ? 1 : 0) &&
                (!row.hears_leader || under_test.replica->term() == term),
            "%s: expected granted %d, actual pre-votes %zu, votes %zu",
            row.name, row.granted, pre_votes, votes);
}

ParameterizedTestParameters(ReplicaMessages, CommitsOnlyWhatAQuorumHas) {
  return RowIndices(kCommitRows);
}

// Guards against a commit that a later leader can revert.
ParameterizedTest(std::size_t* index,
                  ReplicaMessages,
                  CommitsOnlyWhatAQuorumHas) {
  const CommitRow& row = kCommitRows[*index];
  ReplicaUnderTest under_test;
  under_test.BecomeLeader();
  row.acknowledge(under_test);
  const std::uint64_t actual = under_test.replica->commit_index().value();
  cr_assert_eq(actual, row.commit_index, "%s: expected commit %lu, actual %lu",
               row.name, row.commit_index, actual);
}

// Guards against a leader that commits an entry by counting its own
// acknowledgement although its own disk does not have the entry yet.
Test(ReplicaMessages, LeaderCountsItselfOnlyAfterItsSync) {
  ReplicaUnderTest under_test;
  under_test.BecomeLeader();
  // The no-op at index 3 is saved, the proposal at index 4 is not.
  under_test.replica->Propose(under_test.now, WallTime(), "x");
  for (const char* name : {"b", "c"}) {
    ReplicaMessage message;
    message.from = DiskId(name);
    message.to = DiskId("a");
    message.term = under_test.replica->term();
    message.boot_count = 1;
    message.boot_nonce = 1;
    message.body = AppendReply{0, true, LogIndex(4), {}};
    under_test.replica->Step(under_test.now, message);
  }
  const std::uint64_t before = under_test.replica->commit_index().value();
  under_test.replica->Flush(under_test.now);
  const std::uint64_t after = under_test.replica->commit_index().value();
  cr_assert(before == 3 && after == 4,
            "expected commits 3 and 4, actual %lu and %lu", before, after);
}

// Guards against a leader that is elected by the vote of an earlier boot. The
// later boot may have lost that vote and grant another one.
Test(ReplicaMessages, VoteFromEarlierBootDoesNotElect) {
  ReplicaUnderTest under_test;
  under_test.ConfirmBoot(Term(1), {});
  under_test.Campaign();
  const std::uint64_t nonce = under_test.sent.back().boot_nonce;
  under_test.Receive("b", under_test.replica->term(), VoteReply{true, nonce});
  under_test.Receive("c", under_test.replica->term(), VoteReply{true, nonce},
                     {kLaterBootOfB});
  cr_assert_eq(under_test.replica->role(), ReplicaRole::kCandidate,
               "expected a candidate, actual role %d",
               static_cast<int>(under_test.replica->role()));
}

// Guards against a candidate that counts votes for its earlier boot.
Test(ReplicaMessages, VoteForEarlierBootDoesNotElect) {
  ReplicaUnderTest under_test;
  under_test.ConfirmBoot(Term(1), {});
  under_test.Campaign();
  under_test.Receive("b", under_test.replica->term(), VoteReply{true, 99});
  under_test.Receive("c", under_test.replica->term(), VoteReply{true, 99});
  cr_assert_eq(under_test.replica->role(), ReplicaRole::kCandidate,
               "expected a candidate, actual role %d",
               static_cast<int>(under_test.replica->role()));
}

// Guards against a vote that is sent before it is saved, so that the voter can
// vote again in the same term after a crash.
Test(ReplicaMessages, VoteIsNotSentBeforeSync) {
  ReplicaUnderTest under_test;
  under_test.ConfirmBoot(Term(1), {});
  under_test.now += seconds(1);
  under_test.storage.fails_writes = true;
  under_test.Receive("b", Term(2), VoteRequest{LogIndex(2), Term(1)});
  cr_assert(
      under_test.GrantedVotes() == 0 && under_test.replica->storage_failed(),
      "expected no vote, actual %zu", under_test.GrantedVotes());
}

}  // namespace marigold
