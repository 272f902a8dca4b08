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

// Keeps a process start on probation until enough voters have confirmed it, in
// case its disk was restored from an older copy and lacks votes and entries
// that it once promised. docs/decisions/disk-identity.md gives the quorum and
// the reasons. Waits are counted in rounds, one a heartbeat interval, so that a
// process that was stopped does not skip them.
//
// A start also counts as hearing from a leader, and so votes for nobody for an
// election timeout. The guard ends that wait where no voter leads.
class BootVerifier {
 public:
  explicit BootVerifier(const ReplicaState& state);

  // Commands.

  // Asks the voters again and counts a round, when one is due.
  void Tick(ReplicaState& state);
  // Ends the probation if the confirmations suffice.
  void ConfirmIfQuorum(ReplicaState& state);
  void OnReply(ReplicaState& state,
               const ReplicaMessage& message,
               const BootReply& reply);
  // This start may have granted a lease itself; what voters said before it did
  // no longer counts.
  void OnLeaderFollowed();
  // The process that was followed has ended, and its lease with it.
  void OnLeaderRestarted() { this->has_followed_leader = false; }
  // A voter's start asked for a confirmation, and can answer now.
  void OnBootRequest(ReplicaState& state, const DiskId& disk) const;
  // The disk is lost for good: its VM has come back with another one. Nobody
  // waits for its confirmation.
  void OnDiskLost(ReplicaState& state, const DiskId& disk);
  // Any message from `disk` arrived.
  void OnMessageFrom(const DiskId& disk);
  // A peer knows a start of this disk other than the present one and not
  // earlier. The disk never votes again; it goes on as a follower under a count
  // that the peers accept.
  void MarkRolledBack(ReplicaState& state, std::uint64_t known_count);
  // True once after this start may vote although it heard no leader give up.
  bool TakeLeaseWaitEnded() {
    return std::exchange(this->lease_wait_ended, false);
  }

  // Queries.

  // Nothing to wait for, if the guard has no more rounds.
  std::optional<MonotonicTime> next_round(const ReplicaState& state) const;
  // A candidate's log has to reach this to get a vote, besides the own log.
  LogPosition min_candidate_position() const;

 private:
  // What one voter knew when it confirmed this start.
  struct Confirmation {
    Term term;
    LogPosition last_position;
    LoggedMembership membership;
  };
  // The end of a voter's log, which this disk may have helped to commit.
  struct CandidateBound {
    LogPosition last_position;
    std::uint32_t silent_rounds = 0;
  };

  bool IsAskingVoters(const ReplicaState& state) const;
  void SendBootRequests(ReplicaState& state) const;
  void CountRound(ReplicaState& state);
  // The latest that this member or a confirming voter has in its log.
  const Membership& LatestMembership(const ReplicaState& state) const;
  void CountConfirmation(ReplicaState& state,
                         const ReplicaMessage& message,
                         const BootReply& reply);
  void Confirm(ReplicaState& state, const std::vector<DiskId>& voters);
  void UpdateLeaderlessVoters(ReplicaState& state,
                              const DiskId& voter,
                              const BootReply& reply);
  // Ends the hold if no voter can have a lease.
  void EndLeaseWaitIfSafe(ReplicaState& state);

  // Of the disk as it was opened.
  LogPosition opened_last_position;
  Term opened_term;
  MonotonicTime round_due;
  std::uint32_t rounds = 0;
  std::map<DiskId, Confirmation> confirmations;
  std::map<DiskId, CandidateBound> candidate_bounds;
  std::set<DiskId> lost_disks;
  // Voters that know this start and, when they answered, no leader. One that is
  // elected after that does not count what earlier starts of this disk said.
  std::set<DiskId> leaderless_voters;
  // False once the hold has ended.
  bool lease_wait_active = true;
  bool has_followed_leader = false;
  bool lease_wait_ended = false;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_BOOT_VERIFIER_H_
