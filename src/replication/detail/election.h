#ifndef SRC_REPLICATION_DETAIL_ELECTION_H_
#define SRC_REPLICATION_DETAIL_ELECTION_H_

#include <cstdint>
#include <set>

#include "src/replication/detail/replica_state.h"

namespace marigold::detail {

// Runs a member's elections, one at a time. An election consists of a pre-vote
// and a vote. Also keeps the time at which the next one is due.
class Election {
 public:
  enum class Phase { kNone, kPreVote, kVote };

  // Commands.

  // Restarts the election timeout, whose length is random.
  void ResetTimeout(ReplicaState& state);
  // Schedules an election after a short delay. To be called when all voters
  // will soon be able to grant votes. Each voter has a different delay, so that
  // they do not campaign at the same time.
  void CampaignSoon(ReplicaState& state);
  // Ends the current election.
  void Stop();
  // To be called when a leader is known. The next election starts with the
  // shortest wait again.
  void OnLeaderKnown() { this->elections_since_leader = 0; }
  // Asks the other voters whether they would vote for this member.
  void StartPreVote(ReplicaState& state);
  // Starts a new term as its candidate. This member's own vote counts once it
  // is saved.
  void StartVote(ReplicaState& state);
  void OnPreVoteReply(const ReplicaState& state,
                      const ReplicaMessage& message,
                      const PreVoteReply& reply);
  void OnVoteReply(const ReplicaState& state,
                   const ReplicaMessage& message,
                   const VoteReply& reply);
  void OnOwnVoteSaved(const ReplicaState& state);
  // To be called when a voter's process has restarted. Its vote no longer
  // counts.
  void OnMemberRestart(const DiskId& disk) { this->granted_by.erase(disk); }

  // Queries.

  MonotonicTime deadline() const { return this->timeout_at; }
  Phase phase() const { return this->current_phase; }
  // When the current phase began.
  MonotonicTime phase_started_at() const { return this->phase_start; }
  bool is_won(const ReplicaState& state) const;

 private:
  void StartPhase(ReplicaState& state, Phase new_phase);

  Phase current_phase = Phase::kNone;
  MonotonicTime timeout_at;
  MonotonicTime phase_start;
  // The voters that have granted a vote or pre-vote in the current phase.
  std::set<DiskId> granted_by;
  // The number of terms in which this member has asked for votes since it last
  // knew a leader.
  std::uint32_t elections_since_leader = 0;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_ELECTION_H_
