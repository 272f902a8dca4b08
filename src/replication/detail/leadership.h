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

// A leader's work: it appends, replicates, counts acknowledgements and keeps
// the lease. Idle on every other member.
class Leadership {
 public:
  // Commands.

  // Begins to lead the current term with a no-op. `election_started_at` is when
  // the ballot began; the voters count as heard from at that moment, which
  // gives no lease to read before a quorum has answered the no-op.
  void Start(ReplicaState& state, MonotonicTime election_started_at);
  void Stop();
  // Appends an entry of the current term.
  Proposal Append(ReplicaState& state,
                  EntryKind kind,
                  WallTime wall,
                  std::string payload);
  // Appends a membership entry, which is in force from then on. Refused while
  // another is not committed, before this term has committed an entry, and if
  // the voters that answer could not commit it.
  Proposal ChangeMembership(ReplicaState& state,
                            WallTime wall,
                            const MembershipChange& change);
  // Makes the next change, if one is due, that puts a spare in the place of a
  // voter not heard from for `replace_after`.
  void ReplaceLostVoters(ReplicaState& state);
  // Sends one request to every other member.
  void Heartbeat(ReplicaState& state);
  // Sends the entries that members lack and have room for.
  void Replicate(ReplicaState& state);
  void OnAppendReply(ReplicaState& state,
                     const ReplicaMessage& message,
                     const AppendReply& reply);
  void OnSnapshotReply(ReplicaState& state,
                       const ReplicaMessage& message,
                       const SnapshotReply& reply);
  // A member's process started anew.
  void OnMemberRestart(const DiskId& disk);
  // Commits what a quorum has on its disks.
  void AdvanceCommit(ReplicaState& state);

  // Queries.

  MonotonicTime next_heartbeat() const { return this->heartbeat_due; }
  // True while no other member can have been elected.
  bool HasLease(const ReplicaState& state, MonotonicTime now) const;
  // True if no quorum answered within an election timeout.
  bool HasLostQuorum(const ReplicaState& state) const;
  // The last index that a member's disk acknowledged to this leader before its
  // present process start; 0 for none.
  LogIndex AcknowledgedByEarlierStarts(const DiskId& disk) const;
  // True if a committed membership leaves this leader no voter.
  bool MustResign(const ReplicaState& state) const;
  // True once an entry of the current term is committed, and with it all
  // entries of earlier terms.
  bool HasCommittedInTerm(const ReplicaState& state) const;

 private:
  MonotonicTime LastQuorumContact(const ReplicaState& state,
                                  MonotonicTime now) const;
  void TrackMembers(ReplicaState& state, MonotonicTime contact);
  // After the commit of a membership, forgets the members that it removed.
  void FinishMembershipChange(ReplicaState& state);
  bool IsResponsive(const ReplicaState& state, const DiskId& disk) const;
  bool CanCommitUnder(const ReplicaState& state, const Membership& next) const;
  std::vector<DiskId> LostVoters(const ReplicaState& state) const;
  std::vector<DiskId> CaughtUpSpares(const ReplicaState& state) const;
  // True for a member that answers and is within one append of the log's end.
  bool IsCaughtUp(const ReplicaState& state, const DiskId& disk) const;
  void SendEntries(ReplicaState& state, const DiskId& disk, Progress& progress);
  // Sends the entries after the member's next index, or starts a snapshot if
  // the entry before them is compacted.
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
  // The index of the last membership that `FinishMembershipChange` handled.
  LogIndex settled_membership_index;
  // The lost voter whose place a spare has taken but who is still a voter.
  std::optional<DiskId> replaced_voter;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_LEADERSHIP_H_
