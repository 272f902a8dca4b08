#ifndef SRC_REPLICATION_DETAIL_ELECTION_H_
#define SRC_REPLICATION_DETAIL_ELECTION_H_

#include <cstdint>
#include <set>

#include "src/replication/detail/node_state.h"

namespace marigold::detail {

// A member's way to leadership: the election timeout, the pre-vote and the
// vote. Counts one ballot at a time.
class Election {
 public:
  enum class Phase { kNone, kPreVote, kVote };

  // Commands.

  // Waits for a leader anew.
  void Rearm(NodeState& state);
  // Stands before long, each voter in a slot of its own: all are about to grant
  // a vote.
  void StandSoon(NodeState& state);
  // Ends the ballot.
  void Stop();
  // Some member leads; ballots begin anew with the shortest wait.
  void OnLeaderKnown() { this->lost_ballots = 0; }
  // Asks the other voters whether they would vote for this member.
  void StartPreVote(NodeState& state);
  // Begins a term as its candidate. The own vote counts once it is saved.
  void StartVote(NodeState& state);
  void OnPreVoteReply(const NodeState& state,
                      const ReplicaMessage& message,
                      const PreVoteReply& reply);
  void OnVoteReply(const NodeState& state,
                   const ReplicaMessage& message,
                   const VoteReply& reply);
  void OnOwnVoteSaved(const NodeState& state);
  // A voter's process started anew, so that its vote no longer counts.
  void OnNewStart(const DiskId& disk) { this->granted.erase(disk); }

  // Queries.

  MonotonicTime deadline() const { return this->due; }
  Phase phase() const { return this->step; }
  // When the ballot began.
  MonotonicTime started_at() const { return this->start; }
  bool is_won(const NodeState& state) const;

 private:
  void Begin(NodeState& state, Phase new_phase);

  Phase step = Phase::kNone;
  MonotonicTime due;
  MonotonicTime start;
  std::set<DiskId> granted;
  // Votes that this member asked for since it knew a leader.
  std::uint32_t lost_ballots = 0;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_ELECTION_H_
