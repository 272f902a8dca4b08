#ifndef SRC_REPLICATION_DETAIL_CONSENSUS_H_
#define SRC_REPLICATION_DETAIL_CONSENSUS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/result.h"
#include "src/replication/detail/boot_verifier.h"
#include "src/replication/detail/election.h"
#include "src/replication/detail/follower.h"
#include "src/replication/detail/leadership.h"
#include "src/replication/detail/replica_state.h"
#include "src/replication/storage.h"

namespace marigold::detail {

// The changes that a flush has to write, in this order.
struct PendingWrites {
  LogWrites log;
  std::optional<HardState> hard_state;
};

// Makes the decisions of one replica. It does no I/O: `Replica` passes its
// writes to the storage and reports the outcome.
class Consensus {
 public:
  // Records a boot in the hard state, which is then pending to be written.
  // Fails with `ParseError` if a setting is invalid or the stored log is
  // inconsistent.
  static Result<std::unique_ptr<Consensus>> Create(ReplicaSettings settings,
                                                   StoredState stored,
                                                   std::uint64_t seed,
                                                   MonotonicTime now);

  // Commands.

  void Tick(MonotonicTime now);
  void Step(MonotonicTime now, const ReplicaMessage& message);
  Proposal Propose(MonotonicTime now, WallTime wall, std::string payload);
  Proposal ProposeMembership(MonotonicTime now,
                             WallTime wall,
                             const MembershipChange& change);
  void RecordSyncDuration(Duration duration) {
    this->state.last_sync_duration = duration;
  }
  // To be called when a member's disk is permanently lost.
  void OnDiskLost(MonotonicTime now, const DiskId& disk);
  std::vector<ReplicaMessage> TakeMessages();
  std::vector<CommittedItem> TakeCommitted();

  // To be called once the storage has saved `snapshot`, which `MakeSnapshot`
  // returned.
  void OnCompacted(std::shared_ptr<const StateSnapshot> snapshot);
  // To be called once the storage has saved all that `Writes` returned.
  void OnFlushed(MonotonicTime now);
  void OnStorageFailed();

  // Queries.

  bool has_writes() const { return this->state.has_writes(); }
  PendingWrites Writes() const;
  // Returns a snapshot of the state after `index`, or null if that entry is not
  // delivered, not saved or already compacted.
  std::shared_ptr<const StateSnapshot> MakeSnapshot(LogIndex index,
                                                    std::string data) const;
  MonotonicTime NextTick() const;
  std::optional<LogIndex> ReadIndex(MonotonicTime now) const;
  std::vector<DiskId> SilentSpares(MonotonicTime now) const;
  const ReplicaState& replica_state() const { return this->state; }

 private:
  explicit Consensus(ReplicaState initial_state);

  void AdvanceClock(MonotonicTime now);
  // Records the boots in the message. Returns false if the message is not from
  // the sender's latest boot and has to be ignored.
  bool AcceptSenderBoot(const ReplicaMessage& message);
  void RecordBoot(const BootRecord& record);
  void AnswerBootRequest(const ReplicaMessage& message, bool accepted);
  // To be called after each call of the verifier that may change the state.
  // Becomes a follower if the term is no longer `term_before` or if this boot
  // is not confirmed. Schedules an election soon if the verifier has ended the
  // lease wait early.
  void ApplyVerifierOutcome(Term term_before);
  // Adopts a later term of the message. Returns false if the message has to be
  // ignored.
  bool AcceptTerm(const ReplicaMessage& message);
  // Returns why this member cannot propose, or `kProposed` if it can.
  ProposeStatus CheckProposer() const;
  void StepDownIfRemoved();
  void BecomeFollower();
  void BecomeLeader();
  void OnElectionTimeout();
  // Starts the next step of the election if this member has won the current
  // one.
  void AdvanceElection();
  // Returns false if this member leads the same term, which would violate an
  // invariant.
  bool FollowLeader(const DiskId& leader);
  bool CanCampaign() const;
  bool CanVoteFor(LogPosition candidate) const;
  void ReplyToStaleTerm(const ReplicaMessage& message);

  void Handle(const ReplicaMessage& message, const PreVoteRequest& request);
  void Handle(const ReplicaMessage& message, const PreVoteReply& reply);
  void Handle(const ReplicaMessage& message, const VoteRequest& request);
  void Handle(const ReplicaMessage& message, const VoteReply& reply);
  void Handle(const ReplicaMessage& message, const AppendRequest& request);
  void Handle(const ReplicaMessage& message, const AppendReply& reply);
  void Handle(const ReplicaMessage& message, const SnapshotChunk& chunk);
  void Handle(const ReplicaMessage& message, const SnapshotReply& reply);
  void Handle(const ReplicaMessage& message, const BootRequest& request);
  void Handle(const ReplicaMessage& message, const BootReply& reply);

  ReplicaState state;
  BootVerifier verifier;
  Election election;
  Leadership leadership;
  Follower follower;
  // True if this member is not a voter and has let an election timeout pass
  // without a campaign since it last followed a leader.
  bool has_deferred_campaign = false;
  // The last index that `TakeCommitted` has returned.
  LogIndex delivered_index;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_CONSENSUS_H_
