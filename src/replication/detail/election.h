#ifndef SRC_REPLICATION_DETAIL_ELECTION_H_
#define SRC_REPLICATION_DETAIL_ELECTION_H_

#include <cstdint>
#include <set>

#include "src/replication/detail/replica_state.h"

namespace marigold::detail {

// A member's way to leadership: the election timeout, the pre-vote and the
// vote. Counts one ballot at a time.
class Election {
 public:
  enum class Phase { kNone, kPreVote, kVote };

  // Commands.

  // Waits for a leader anew.
  void ResetTimeout(ReplicaState& state);
  // Stands before long, each voter in a slot of its own: all are about to grant
  // a vote.
  void CampaignSoon(ReplicaState& state);
  // Ends the ballot.
  void Stop();
  // Some member leads; ballots begin anew with the shortest wait.
  void OnLeaderKnown() { this->lost_elections = 0; }
  // Asks the other voters whether they would vote for this member.
  void StartPreVote(ReplicaState& state);
  // Begins a term as its candidate. The own vote counts once it is saved.
  void StartVote(ReplicaState& state);
  void OnPreVoteReply(const ReplicaState& state,
                      const ReplicaMessage& message,
                      const PreVoteReply& reply);
  void OnVoteReply(const ReplicaState& state,
                   const ReplicaMessage& message,
                   const VoteReply& reply);
  void OnOwnVoteSaved(const ReplicaState& state);
  // A voter's process started anew, so that its vote no longer counts.
  void OnMemberRestart(const DiskId& disk) { this->granted_by.erase(disk); }

  // Queries.

  MonotonicTime deadline() const { return this->timeout_at; }
  Phase phase() const { return this->current_phase; }
  // When the ballot began.
  MonotonicTime phase_started_at() const { return this->phase_start; }
  bool is_won(const ReplicaState& state) const;

 private:
  void StartPhase(ReplicaState& state, Phase new_phase);

  Phase current_phase = Phase::kNone;
  MonotonicTime timeout_at;
  MonotonicTime phase_start;
  std::set<DiskId> granted_by;
  // Votes that this member asked for since it knew a leader.
  std::uint32_t lost_elections = 0;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_ELECTION_H_
