#ifndef SRC_REPLICATION_DETAIL_LEADERSHIP_H_
#define SRC_REPLICATION_DETAIL_LEADERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/replication/detail/progress.h"
#include "src/replication/detail/replica_state.h"
#include "src/replication/detail/snapshot_transfer.h"

namespace marigold::detail {

// The work of a leader: appends and replicates entries, counts acknowledgements
// and keeps the lease. It does nothing on the other members.
class Leadership {
 public:
  // Commands.

  // Starts to lead the current term with a no-op entry. The voters count as
  // heard from at `election_started_at`. This alone does not permit reads,
  // which also require that a quorum has acknowledged the no-op.
  void Start(ReplicaState& state, MonotonicTime election_started_at);
  void Stop();
  // Appends an entry of the current term.
  Proposal Append(ReplicaState& state,
                  EntryKind kind,
                  WallTime wall,
                  std::string payload);
  // Appends a membership entry, which is in force from then on. The change is
  // refused while another change is not committed, before an entry of this term
  // is committed, if it is not allowed, if the responsive voters are no quorum
  // of the new membership, and if a member to be promoted to voter has not
  // caught up.
  Proposal ChangeMembership(ReplicaState& state,
                            WallTime wall,
                            const MembershipChange& change);
  // Proposes the next change, if one is due, that replaces a voter not heard
  // from for `replace_after` by a spare, or that promotes a spare to reach
  // `target_voters`.
  void ReplaceLostVoters(ReplicaState& state);
  // Sends one request to every other member.
  void Heartbeat(ReplicaState& state);
  // Sends each member the entries that it lacks, until its window of in-flight
  // requests is full.
  void Replicate(ReplicaState& state);
  void OnAppendReply(ReplicaState& state,
                     const ReplicaMessage& message,
                     const AppendReply& reply);
  void OnSnapshotReply(ReplicaState& state,
                       const ReplicaMessage& message,
                       const SnapshotReply& reply);
  // To be called when a member's process has restarted.
  void OnMemberRestart(const DiskId& disk);
  // Commits the entries that a quorum has saved on its disks.
  void AdvanceCommit(ReplicaState& state);

  // Queries.

  MonotonicTime next_heartbeat() const { return this->heartbeat_due; }
  // True while no other member can have been elected.
  bool HasLease(const ReplicaState& state, MonotonicTime now) const;
  // True if no quorum has answered for so long that this leader has to step
  // down.
  bool HasLostQuorum(const ReplicaState& state) const;
  // Returns the last index that earlier boots of a member's disk have
  // acknowledged to this leader, or 0 if there is none.
  LogIndex AcknowledgedByEarlierBoots(const DiskId& disk) const;
  // True if this leader is no longer a voter in a committed membership.
  bool MustStepDown(const ReplicaState& state) const;
  // Returns the spares not heard from for `replace_after`, the longest silent
  // one first.
  std::vector<DiskId> SilentSpares(const ReplicaState& state,
                                   MonotonicTime now) const;
  // True once an entry of the current term is committed, and all entries of
  // earlier terms with it.
  bool HasCommittedInTerm(const ReplicaState& state) const;

 private:
  MonotonicTime LastQuorumContact(const ReplicaState& state,
                                  MonotonicTime now) const;
  void TrackMembers(ReplicaState& state, MonotonicTime last_contact);
  // Once the latest membership is committed, stops tracking the members that it
  // has removed.
  void FinishMembershipChange(ReplicaState& state);
  bool IsResponsive(const ReplicaState& state, const DiskId& disk) const;
  bool CanCommitUnder(const ReplicaState& state, const Membership& next) const;
  std::vector<DiskId> LostVoters(const ReplicaState& state) const;
  std::vector<DiskId> CaughtUpSpares(const ReplicaState& state) const;
  // True for a responsive member whose log is at most one append request
  // behind.
  bool IsCaughtUp(const ReplicaState& state, const DiskId& disk) const;
  void SendEntries(ReplicaState& state, const DiskId& disk, Progress& progress);
  // Sends the entries, which start at the member's next index. Starts a
  // snapshot transfer instead if the entry before them is compacted.
  void SendAppend(ReplicaState& state,
                  const DiskId& disk,
                  Progress& progress,
                  std::vector<LogEntry> entries);
  void SendChunk(ReplicaState& state,
                 const DiskId& disk,
                 Progress& progress,
                 std::size_t max_bytes);
  void StartSnapshot(ReplicaState& state,
                     const DiskId& disk,
                     Progress& progress);
  void SendHeartbeat(ReplicaState& state,
                     const DiskId& disk,
                     Progress& progress);
  void OnAppendRejected(ReplicaState& state,
                        const DiskId& disk,
                        Progress& progress,
                        LogPosition hint);

  ProgressMap progress_by_disk;
  std::map<DiskId, SnapshotSender> transfers;
  MonotonicTime heartbeat_due;
  std::uint64_t last_sequence = 0;
  // The index of the last membership entry that `FinishMembershipChange` has
  // handled.
  LogIndex finished_membership_index;
  // The lost voter that a promoted spare has replaced but that is still a
  // voter.
  std::optional<DiskId> replaced_voter;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_LEADERSHIP_H_
