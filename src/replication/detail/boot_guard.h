#ifndef SRC_REPLICATION_DETAIL_BOOT_GUARD_H_
#define SRC_REPLICATION_DETAIL_BOOT_GUARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "src/replication/detail/node_state.h"

namespace marigold::detail {

// Keeps a process start on probation until enough voters have confirmed it, in
// case its disk was restored from an older copy and lacks votes and entries
// that it once promised. docs/decisions/disk-identity.md gives the quorum and
// the reasons. Waits are counted in rounds, one a heartbeat interval, so that a
// process that was stopped does not skip them.
//
// A start also counts as hearing from a leader, and so votes for nobody for an
// election timeout. The guard ends that wait where no voter leads.
class BootGuard {
 public:
  explicit BootGuard(const NodeState& state);

  // Commands.

  // Asks the voters again and counts a round, when one is due.
  void Tick(NodeState& state);
  // Ends the probation if the confirmations suffice.
  void Conclude(NodeState& state);
  void OnReply(NodeState& state,
               const ReplicaMessage& message,
               const BootReply& reply);
  // This start may have granted a lease itself; what voters said before it did
  // no longer counts.
  void OnLeaderFollowed();
  // The process that was followed has ended, and its lease with it.
  void OnLeaderRestarted() { this->has_followed = false; }
  // A voter's start asked for a confirmation, and can answer now.
  void OnNotice(NodeState& state, const DiskId& disk) const;
  // The disk is lost for good: its VM has come back with another one. Nobody
  // waits for its confirmation.
  void OnDiskGone(NodeState& state, const DiskId& disk);
  // Any message from `disk` arrived.
  void OnHeard(const DiskId& disk);
  // A peer knows a start of this disk other than the present one and not
  // earlier. The disk never votes again; it goes on as a follower under a count
  // that the peers accept.
  void Refuse(NodeState& state, std::uint64_t known_count);
  // True once after this start may vote although it heard no leader give up.
  bool TakeEndedHold() { return std::exchange(this->hold_ended, false); }

  // Queries.

  // Nothing to wait for, if the guard has no more rounds.
  std::optional<MonotonicTime> next_round(const NodeState& state) const;
  // A candidate's log has to reach this to get a vote, besides the own log.
  LogPosition floor() const;

 private:
  // What one voter knew when it confirmed this start.
  struct Confirmation {
    Term term;
    LogPosition last;
    MembershipAt membership;
  };
  // The end of a voter's log, which this disk may have helped to commit.
  struct Floor {
    LogPosition last;
    std::uint32_t silent_rounds = 0;
  };

  bool AsksVoters(const NodeState& state) const;
  void AskVoters(NodeState& state) const;
  void CountRound(NodeState& state);
  // The latest that this member or a confirming voter has in its log.
  const Membership& LatestMembership(const NodeState& state) const;
  void CountConfirmation(NodeState& state,
                         const ReplicaMessage& message,
                         const BootReply& reply);
  void Confirm(NodeState& state, const std::vector<DiskId>& voters);
  void CountLeaderless(NodeState& state,
                       const DiskId& voter,
                       const BootReply& reply);
  // Ends the hold if no voter can have a lease.
  void EndHold(NodeState& state);

  // Of the disk as it was opened.
  LogPosition opened_last;
  Term opened_term;
  MonotonicTime round_due;
  std::uint32_t rounds = 0;
  std::map<DiskId, Confirmation> confirmations;
  std::map<DiskId, Floor> floors;
  std::set<DiskId> gone;
  // Voters that know this start and, when they answered, no leader. One that is
  // elected after that does not count what earlier starts of this disk said.
  std::set<DiskId> leaderless;
  // False once the hold has ended.
  bool hold_lasts = true;
  bool has_followed = false;
  bool hold_ended = false;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_BOOT_GUARD_H_
