#ifndef SRC_REPLICATION_DETAIL_CONSENSUS_H_
#define SRC_REPLICATION_DETAIL_CONSENSUS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/result.h"
#include "src/replication/detail/boot_guard.h"
#include "src/replication/detail/election.h"
#include "src/replication/detail/follower.h"
#include "src/replication/detail/leadership.h"
#include "src/replication/detail/node_state.h"
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
  void OnSyncTook(Duration time) { this->state.sync_time = time; }
  // A member's disk is lost for good.
  void OnDiskGone(MonotonicTime now, const DiskId& disk);
  std::vector<ReplicaMessage> TakeMessages();
  std::vector<Committed> TakeCommitted();

  // The storage holds the image, which `MakeImage` returned.
  void OnCompacted(std::shared_ptr<const SnapshotImage> image);
  // The storage holds all of `Writes`.
  void OnFlushed(MonotonicTime now);
  void OnStorageFailed();

  // Queries.

  bool has_writes() const { return this->state.has_writes(); }
  PendingWrites Writes() const;
  // An image after `index`, or null if that is not given out, not saved or
  // already compacted.
  std::shared_ptr<const SnapshotImage> MakeImage(LogIndex index,
                                                 std::string data) const;
  MonotonicTime NextTick() const;
  std::optional<LogIndex> ReadIndex(MonotonicTime now) const;
  const NodeState& node() const { return this->state; }

 private:
  explicit Consensus(NodeState node_state);

  void Observe(MonotonicTime now);
  // False for a message of a start that is not the sender's latest.
  bool AdmitStart(const ReplicaMessage& message);
  void LearnBoot(const BootRecord& record);
  void AnswerNotice(const ReplicaMessage& message, bool accepted);
  // Gives up a role that the guard's last input has ended by a later term than
  // `before` or by probation.
  void SettleGuard(Term before);
  // True if the message may have an effect; adopts its term.
  bool AdmitTerm(const ReplicaMessage& message);
  // Why nothing can be proposed here, or `kProposed`.
  ProposeStatus CheckProposer() const;
  void ResignIfRemoved();
  void BecomeFollower();
  void BecomeLeader();
  void OnElectionTimeout();
  void ConcludeBallot();
  // False if this member leads the term itself, which can't be.
  bool FollowLeader(const DiskId& leader);
  bool CanStand() const;
  bool CanVoteFor(LogPosition candidate) const;
  void AnswerStale(const ReplicaMessage& message);

  void On(const ReplicaMessage& message, const PreVoteRequest& request);
  void On(const ReplicaMessage& message, const PreVoteReply& reply);
  void On(const ReplicaMessage& message, const VoteRequest& request);
  void On(const ReplicaMessage& message, const VoteReply& reply);
  void On(const ReplicaMessage& message, const AppendRequest& request);
  void On(const ReplicaMessage& message, const AppendReply& reply);
  void On(const ReplicaMessage& message, const SnapshotChunk& chunk);
  void On(const ReplicaMessage& message, const SnapshotReply& reply);
  void On(const ReplicaMessage& message, const BootNotice& notice);
  void On(const ReplicaMessage& message, const BootReply& reply);

  NodeState state;
  BootGuard guard;
  Election election;
  Leadership leadership;
  Follower follower;
  // An election timeout has passed without a leader since the last one was
  // followed.
  bool has_given_way = false;
  // The last index that `TakeCommitted` gave out.
  LogIndex given;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_CONSENSUS_H_
