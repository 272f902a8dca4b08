#ifndef SRC_REPLICATION_DETAIL_BOOT_VERIFIER_H_
#define SRC_REPLICATION_DETAIL_BOOT_VERIFIER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "src/replication/detail/replica_state.h"

namespace marigold::detail {

// Prevents a boot from voting until enough voters have confirmed it. Its disk
// may have been restored from an older copy and may lack votes and entries that
// it once promised. docs/decisions/disk-identity.md gives the quorum and the
// reasons. Waiting times are counted in rounds of one heartbeat interval, so
// that a process that was stopped does not skip them.
//
// After a boot, a replica also grants no vote for one election timeout, because
// an earlier boot may have extended the lease of a leader just before that boot
// ended. The verifier ends this lease wait early if no voter can hold a lease.
class BootVerifier {
 public:
  explicit BootVerifier(const ReplicaState& state);

  // Commands.

  // If a round is due, starts it and asks the voters again.
  void Tick(ReplicaState& state);
  // Confirms the boot if enough voters have confirmed it.
  void ConfirmIfQuorum(ReplicaState& state);
  void OnReply(ReplicaState& state,
               const ReplicaMessage& message,
               const BootReply& reply);
  // To be called when a leader is followed. This boot may then have extended a
  // lease itself, so earlier answers of the voters no longer show that nobody
  // holds one.
  void OnLeaderFollowed();
  // To be called when the process of the followed leader has restarted, which
  // ends its lease.
  void OnLeaderRestarted() { this->has_followed_leader = false; }
  // To be called when the voter `disk` asks for a confirmation of its own boot,
  // which shows that it can answer requests. Sends it another boot request
  // unless it has already answered that it knows no leader.
  void OnBootRequest(ReplicaState& state, const DiskId& disk) const;
  // To be called when `disk` is permanently lost, because its VM has restarted
  // with another one. Its confirmation is no longer awaited.
  void OnDiskLost(ReplicaState& state, const DiskId& disk);
  // To be called for every message from `disk`.
  void OnMessageFrom(const DiskId& disk);
  // To be called if a peer knows another boot of this disk with the same or a
  // higher count, or a promise that the disk has lost. The disk never votes
  // again. It continues as a follower with a boot count that the peers accept.
  void MarkRolledBack(ReplicaState& state, std::uint64_t known_count);
  // Returns true once after the lease wait was ended early.
  bool TakeLeaseWaitEnded() {
    return std::exchange(this->lease_wait_ended, false);
  }

  // Queries.

  // Returns when the next round is due, or nothing if there are no more rounds.
  std::optional<MonotonicTime> next_round(const ReplicaState& state) const;
  // The position that a candidate's log must reach to get a vote. The end of
  // this member's own log is a second bound.
  LogPosition min_candidate_position() const;

 private:
  // The state of a voter when it confirmed this boot.
  struct Confirmation {
    Term term;
    LogPosition last_position;
    LoggedMembership membership;
  };
  // The end of a voter's log. This disk may have helped to commit the entries
  // up to there, so a candidate must have them.
  struct CandidateBound {
    LogPosition last_position;
    // Rounds since the last message of the voter.
    std::uint32_t silent_rounds = 0;
  };

  bool IsAskingVoters(const ReplicaState& state) const;
  void SendBootRequests(ReplicaState& state) const;
  void CountRound(ReplicaState& state);
  // Returns the latest membership in the log of this member or of a voter that
  // has confirmed this boot.
  const Membership& LatestMembership(const ReplicaState& state) const;
  void CountConfirmation(ReplicaState& state,
                         const ReplicaMessage& message,
                         const BootReply& reply);
  void Confirm(ReplicaState& state, const std::vector<DiskId>& voters);
  void UpdateLeaderlessVoters(ReplicaState& state,
                              const DiskId& voter,
                              const BootReply& reply);
  // Ends the lease wait if no voter can hold a lease.
  void EndLeaseWaitIfSafe(ReplicaState& state);

  // The last position and the term on the disk when it was opened.
  LogPosition opened_last_position;
  Term opened_term;
  MonotonicTime round_due;
  // Rounds since the disk was opened, or since its boot was confirmed.
  std::uint32_t rounds = 0;
  std::map<DiskId, Confirmation> confirmations;
  std::map<DiskId, CandidateBound> candidate_bounds;
  std::set<DiskId> lost_disks;
  // Voters that know this boot and have answered that they know no leader. If
  // one of them is elected later, it does not count the promises of earlier
  // boots of this disk.
  std::set<DiskId> leaderless_voters;
  // False once the lease wait has ended.
  bool lease_wait_active = true;
  bool has_followed_leader = false;
  bool lease_wait_ended = false;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_BOOT_VERIFIER_H_
