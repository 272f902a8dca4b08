#ifndef SRC_REPLICATION_DETAIL_LEADERSHIP_H_
#define SRC_REPLICATION_DETAIL_LEADERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/replication/detail/node_state.h"
#include "src/replication/detail/progress.h"
#include "src/replication/detail/snapshot_transfer.h"

namespace marigold::detail {

// A leader's work: it appends, replicates, counts acknowledgements and keeps
// the lease. Idle on every other member.
class Leadership {
 public:
  // Commands.

  // Begins to lead the current term with a no-op. `elected_from` is when the
  // ballot began; the voters count as heard from at that moment, which gives no
  // lease to read before a quorum has answered the no-op.
  void Start(NodeState& state, MonotonicTime elected_from);
  void Stop();
  // Appends an entry of the current term.
  Proposal Append(NodeState& state,
                  EntryKind kind,
                  WallTime wall,
                  std::string payload);
  // Appends a membership entry, which is in force from then on. Refused while
  // another is not committed, before this term has committed an entry, and if
  // the voters that answer could not commit it.
  Proposal ChangeMembership(NodeState& state,
                            WallTime wall,
                            const MembershipChange& change);
  // Makes the next change, if one is due, that puts a spare in the place of a
  // voter not heard from for `replace_after`.
  void ReplaceLostVoters(NodeState& state);
  // Sends one request to every other member.
  void Heartbeat(NodeState& state);
  // Sends the entries that members lack and have room for.
  void Replicate(NodeState& state);
  void OnAppendReply(NodeState& state,
                     const ReplicaMessage& message,
                     const AppendReply& reply);
  void OnSnapshotReply(NodeState& state,
                       const ReplicaMessage& message,
                       const SnapshotReply& reply);
  // A member's process started anew.
  void OnNewStart(const DiskId& disk);
  // Commits what a quorum has on its disks.
  void AdvanceCommit(NodeState& state);

  // Queries.

  MonotonicTime next_heartbeat() const { return this->heartbeat_due; }
  // True while no other member can have been elected.
  bool HasLease(const NodeState& state, MonotonicTime now) const;
  // True if no quorum answered within an election timeout.
  bool HasLostQuorum(const NodeState& state) const;
  // The last index that a member's disk acknowledged to this leader before its
  // present process start; 0 for none.
  LogIndex AcknowledgedByEarlierStarts(const DiskId& disk) const;
  // True if a committed membership leaves this leader no voter.
  bool HasResigned(const NodeState& state) const;
  // True once an entry of the current term is committed, and with it all
  // entries of earlier terms.
  bool HasCommitted(const NodeState& state) const;

 private:
  MonotonicTime QuorumContact(const NodeState& state, MonotonicTime now) const;
  void TrackMembers(NodeState& state, MonotonicTime contact);
  // After the commit of a membership, forgets the members that it removed.
  void SettleMembership(NodeState& state);
  bool Answers(const NodeState& state, const DiskId& disk) const;
  bool CanCommitUnder(const NodeState& state, const Membership& next) const;
  std::vector<DiskId> LostVoters(const NodeState& state) const;
  std::vector<DiskId> ReadySpares(const NodeState& state) const;
  // True for a member that answers and is within one append of the log's end.
  bool IsCaughtUp(const NodeState& state, const DiskId& disk) const;
  void SendEntries(NodeState& state, const DiskId& disk, Progress& progress);
  // Sends the entries after the member's next index, or starts a snapshot if
  // the entry before them is compacted.
  void SendAppend(NodeState& state,
                  const DiskId& disk,
                  Progress& progress,
                  std::vector<LogEntry> entries);
  void SendChunk(NodeState& state,
                 const DiskId& disk,
                 Progress& progress,
                 std::size_t most_bytes);
  void StartSnapshot(NodeState& state, const DiskId& disk, Progress& progress);
  void SendHeartbeat(NodeState& state, const DiskId& disk, Progress& progress);
  void OnRefused(NodeState& state,
                 const DiskId& disk,
                 Progress& progress,
                 LogPosition hint);

  ProgressMap members;
  std::map<DiskId, SnapshotSender> transfers;
  MonotonicTime heartbeat_due;
  std::uint64_t last_round = 0;
  // The index of the last membership that `SettleMembership` handled.
  LogIndex settled;
  // The lost voter whose place a spare has taken but who is still a voter.
  std::optional<DiskId> replaced;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_LEADERSHIP_H_
