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

// What a flush has to write, in this order.
struct PendingWrites {
  LogWrites log;
  std::optional<HardState> hard_state;
};

// The decisions of one replica. It does no I/O: `Replica` carries its writes to
// the storage and reports how they ended.
class Consensus {
 public:
  // Counts a process start in the hard state, which is then due to be written.
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
  void RecordSyncDuration(Duration time) {
    this->state.last_sync_duration = time;
  }
  // A member's disk is lost for good.
  void OnDiskLost(MonotonicTime now, const DiskId& disk);
  std::vector<ReplicaMessage> TakeMessages();
  std::vector<CommittedItem> TakeCommitted();

  // The storage holds the image, which `MakeSnapshot` returned.
  void OnCompacted(std::shared_ptr<const StateSnapshot> snapshot);
  // The storage holds all of `Writes`.
  void OnFlushed(MonotonicTime now);
  void OnStorageFailed();

  // Queries.

  bool has_writes() const { return this->state.has_writes(); }
  PendingWrites Writes() const;
  // An image after `index`, or null if that is not given out, not saved or
  // already compacted.
  std::shared_ptr<const StateSnapshot> MakeSnapshot(LogIndex index,
                                                    std::string data) const;
  MonotonicTime NextTick() const;
  std::optional<LogIndex> ReadIndex(MonotonicTime now) const;
  const ReplicaState& replica_state() const { return this->state; }

 private:
  explicit Consensus(ReplicaState initial_state);

  void AdvanceClock(MonotonicTime now);
  // False for a message of a start that is not the sender's latest.
  bool AcceptSenderBoot(const ReplicaMessage& message);
  void RecordBoot(const BootRecord& record);
  void AnswerBootRequest(const ReplicaMessage& message, bool accepted);
  // Gives up a role that the guard's last input has ended by a later term than
  // `term_before` or by probation.
  void ApplyVerifierOutcome(Term term_before);
  // True if the message may have an effect; adopts its term.
  bool AcceptTerm(const ReplicaMessage& message);
  // Why nothing can be proposed here, or `kProposed`.
  ProposeStatus CheckProposer() const;
  void ResignIfRemoved();
  void BecomeFollower();
  void BecomeLeader();
  void OnElectionTimeout();
  void AdvanceElection();
  // False if this member leads the term itself, which can't be.
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
  // An election timeout has passed without a leader since the last one was
  // followed.
  bool has_deferred_campaign = false;
  // The last index that `TakeCommitted` gave out.
  LogIndex delivered_index;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_CONSENSUS_H_
