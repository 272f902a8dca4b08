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

// One replica, "a" of the voters "a" to "e", whose peers are played by the
// test. Its disk holds two entries of term 1.
class LoneReplica {
 public:
  LoneReplica() : storage(DiskId("a")), random(7) {
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

  // Delivers a message of the peer's given start.
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
    this->Exchange();
  }
  // Flushes and keeps the messages given out.
  void Exchange() {
    this->Collect();
    this->replica->Flush(this->now);
    this->Collect();
  }
  void Collect() {
    for (ReplicaMessage& message : this->replica->TakeMessages()) {
      this->sent.push_back(std::move(message));
    }
  }
  void Advance(Duration duration) {
    this->now += duration;
    this->replica->Tick(this->now);
    this->Exchange();
  }
  // The start of "a", as its messages give it.
  std::uint64_t Nonce() {
    this->Advance(milliseconds(100));
    return this->sent.back().boot_nonce;
  }
  // Peers b, c and d confirm the start, with this term and end of log.
  void Confirm(Term term, LogPosition last) {
    const std::uint64_t nonce = this->Nonce();
    for (const char* name : {"b", "c", "d"}) {
      this->Receive(name, term, BootReply{1, true, nonce, last, {}, {}, {}});
    }
  }
  // Runs until "a" asks for votes.
  void Stand() {
    while (this->replica->role() != ReplicaRole::kCandidate) {
      this->Advance(milliseconds(50));
    }
    const Term next = Next(this->replica->term());
    for (const char* name : {"b", "c"}) {
      this->Receive(name, this->replica->term(), PreVoteReply{next, true});
    }
  }
  void Lead() {
    this->Confirm(Term(1), {});
    this->Stand();
    const std::uint64_t nonce = this->sent.back().boot_nonce;
    for (const char* name : {"b", "c"}) {
      this->Receive(name, this->replica->term(), VoteReply{true, nonce});
    }
    cr_assert_eq(this->replica->role(), ReplicaRole::kLeader);
  }
  void Accept(const char* from,
              std::uint64_t match,
              std::vector<BootRecord> boots = {}) {
    this->Receive(from, this->replica->term(),
                  AppendReply{0, true, LogIndex(match), {}}, std::move(boots));
  }
  // Votes and pre-votes given out.
  std::size_t Granted() const {
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

// A vote is asked for after the peers confirmed the start and, where it says
// so, right after a leader was heard.
struct VoteRow {
  const char* name;
  Term confirmed_term;
  LogPosition confirmed_last;
  bool hears_leader;
  Term term;
  LogPosition last;
  bool granted;
};

const LogPosition kOwnLast{Term(1), LogIndex(2)};

const VoteRow kVoteRows[] = {
    {"log as long", Term(1), {}, false, Term(2), kOwnLast, true},
    {"log shorter", Term(1), {}, false, Term(2), {Term(1), LogIndex(1)}, false},
    {"log longer", Term(1), {}, false, Term(2), {Term(1), LogIndex(9)}, true},
    {"last term higher",
     Term(1),
     {},
     false,
     Term(3),
     {Term(2), LogIndex(1)},
     true},
    {"leader heard", Term(1), {}, true, Term(2), kOwnLast, false},
    {"own term, perhaps voted in",
     Term(1),
     {},
     false,
     Term(1),
     kOwnLast,
     false},
    {"term that peers know", Term(7), {}, false, Term(7), kOwnLast, false},
    {"term after that", Term(7), {}, false, Term(8), kOwnLast, true},
    {"log behind a peer's",
     Term(1),
     {Term(1), LogIndex(3)},
     false,
     Term(2),
     kOwnLast,
     false},
    {"log as long as a peer's",
     Term(1),
     {Term(1), LogIndex(3)},
     false,
     Term(2),
     {Term(1), LogIndex(3)},
     true},
};

// What a leader has been told when it may commit its no-op at index 3.
struct CommitRow {
  const char* name;
  void (*acknowledge)(LoneReplica& lone);
  std::uint64_t commit;
};

const BootRecord kRestartedB{DiskId("b"), 2, 1};

const CommitRow kCommitRows[] = {
    {"two acknowledgements",
     [](LoneReplica& lone) {
       lone.Accept("b", 3);
       lone.Accept("c", 3);
     },
     3},
    {"one acknowledgement", [](LoneReplica& lone) { lone.Accept("b", 3); }, 0},
    {"entries of an earlier term only",
     [](LoneReplica& lone) {
       lone.Accept("b", 2);
       lone.Accept("c", 2);
       lone.Accept("d", 2);
       lone.Accept("e", 2);
     },
     0},
    {"one of a start that another peer knows to have ended",
     [](LoneReplica& lone) {
       lone.Accept("b", 3);
       lone.Accept("c", 3, {kRestartedB});
     },
     0},
    {"one of a start before the one that now has less",
     [](LoneReplica& lone) {
       lone.Accept("b", 3);
       lone.Receive("b", lone.replica->term(),
                    AppendReply{0, true, LogIndex(2), {}}, {}, 2);
       lone.Accept("c", 3);
     },
     0},
    {"one of an earlier start, late",
     [](LoneReplica& lone) {
       lone.Accept("c", 3, {kRestartedB});
       lone.Accept("b", 3);
     },
     0},
};

}  // namespace

ParameterizedTestParameters(ReplicaMessages, VotesOnlyWhereNothingIsLost) {
  return RowIndices(kVoteRows);
}

// Guards against a second vote in a term, a vote for a log without a committed
// entry, and a vote that breaks a leader's lease.
ParameterizedTest(std::size_t* index,
                  ReplicaMessages,
                  VotesOnlyWhereNothingIsLost) {
  const VoteRow& row = kVoteRows[*index];
  LoneReplica lone;
  lone.Confirm(row.confirmed_term, row.confirmed_last);
  lone.now += seconds(1);
  if (row.hears_leader) {
    lone.Receive("e", Term(1), AppendRequest{LogIndex(2), Term(1), {}, 1, {}});
    lone.now += milliseconds(499);
  }
  const Term term = lone.replica->term();
  lone.Receive("b", term,
               PreVoteRequest{row.term, row.last.index, row.last.term});
  const std::size_t pre_votes = lone.Granted();
  lone.Receive("b", row.term, VoteRequest{row.last.index, row.last.term});
  const std::size_t votes = lone.Granted() - pre_votes;
  cr_assert(pre_votes == (row.granted ? 1 : 0) &&
                votes == (row.granted ? 1 : 0) &&
                (!row.hears_leader || lone.replica->term() == term),
            "%s: expected granted %d, actual pre-votes %zu, votes %zu",
            row.name, row.granted, pre_votes, votes);
}

ParameterizedTestParameters(ReplicaMessages, CommitsWhatAQuorumHas) {
  return RowIndices(kCommitRows);
}

// Guards against a commit that a later leader can undo.
ParameterizedTest(std::size_t* index, ReplicaMessages, CommitsWhatAQuorumHas) {
  const CommitRow& row = kCommitRows[*index];
  LoneReplica lone;
  lone.Lead();
  row.acknowledge(lone);
  const std::uint64_t actual = lone.replica->commit_index().value();
  cr_assert_eq(actual, row.commit, "%s: expected commit %lu, actual %lu",
               row.name, row.commit, actual);
}

// Guards against a leader that counts an entry which its disk lacks.
Test(ReplicaMessages, LeaderCountsItselfOnlyAfterItsSync) {
  LoneReplica lone;
  lone.Lead();
  // The no-op at index 3 is saved, the proposal at index 4 is not.
  lone.replica->Propose(lone.now, WallTime(), "x");
  for (const char* name : {"b", "c"}) {
    ReplicaMessage message;
    message.from = DiskId(name);
    message.to = DiskId("a");
    message.term = lone.replica->term();
    message.boot_count = 1;
    message.boot_nonce = 1;
    message.body = AppendReply{0, true, LogIndex(4), {}};
    lone.replica->Step(lone.now, message);
  }
  const std::uint64_t before = lone.replica->commit_index().value();
  lone.replica->Flush(lone.now);
  const std::uint64_t after = lone.replica->commit_index().value();
  cr_assert(before == 3 && after == 4,
            "expected commits 3 and 4, actual %lu and %lu", before, after);
}

// Guards against a leader elected with the vote of a start that has ended.
Test(ReplicaMessages, VoteOfAnEndedStartDoesNotElect) {
  LoneReplica lone;
  lone.Confirm(Term(1), {});
  lone.Stand();
  const std::uint64_t nonce = lone.sent.back().boot_nonce;
  lone.Receive("b", lone.replica->term(), VoteReply{true, nonce});
  lone.Receive("c", lone.replica->term(), VoteReply{true, nonce},
               {kRestartedB});
  cr_assert_eq(lone.replica->role(), ReplicaRole::kCandidate,
               "expected a candidate, actual role %d",
               static_cast<int>(lone.replica->role()));
}

// Guards against votes given to a candidate's earlier start.
Test(ReplicaMessages, VoteForAnEarlierStartDoesNotElect) {
  LoneReplica lone;
  lone.Confirm(Term(1), {});
  lone.Stand();
  lone.Receive("b", lone.replica->term(), VoteReply{true, 99});
  lone.Receive("c", lone.replica->term(), VoteReply{true, 99});
  cr_assert_eq(lone.replica->role(), ReplicaRole::kCandidate,
               "expected a candidate, actual role %d",
               static_cast<int>(lone.replica->role()));
}

// Guards against a message that is given out before the promise in it is saved.
Test(ReplicaMessages, NoVoteLeavesWithoutASync) {
  LoneReplica lone;
  lone.Confirm(Term(1), {});
  lone.now += seconds(1);
  lone.storage.failing = true;
  lone.Receive("b", Term(2), VoteRequest{LogIndex(2), Term(1)});
  cr_assert(lone.Granted() == 0 && lone.replica->storage_failed(),
            "expected no vote, actual %zu", lone.Granted());
}

}  // namespace marigold
