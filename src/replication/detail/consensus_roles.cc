#include <utility>

#include "src/core/invariant.h"
#include "src/core/log.h"
#include "src/replication/detail/consensus.h"

namespace marigold::detail {

void Consensus::BecomeFollower() {
  if (this->state.role != ReplicaRole::kFollower) {
    this->election.Stop();
    this->leadership.Stop();
    this->election.Rearm(this->state);
  }
  this->state.role = ReplicaRole::kFollower;
  if (this->state.leader) {
    LogEvent(LogLevel::kWarning, "leader_lost",
             {{"disk", this->state.disk.value()},
              {"leader", this->state.leader->value()},
              {"term", this->state.hard.term.value()}});
  }
  this->state.leader.reset();
}

bool Consensus::FollowLeader(const DiskId& leader) {
  const bool leads = this->state.role == ReplicaRole::kLeader;
  CheckInvariant(Invariant::kListNeverReverts, !leads,
                 "two members lead the same term");
  if (leads) {
    return false;
  }
  if (this->state.leader != leader) {
    LogEvent(LogLevel::kInfo, "leader_followed",
             {{"disk", this->state.disk.value()},
              {"leader", leader.value()},
              {"term", this->state.hard.term.value()}});
  }
  this->election.Stop();
  this->has_given_way = false;
  this->election.OnLeaderKnown();
  this->guard.OnLeaderFollowed();
  this->state.role = ReplicaRole::kFollower;
  this->state.leader = leader;
  this->state.leader_contact = this->state.now;
  this->election.Rearm(this->state);
  return true;
}

void Consensus::BecomeLeader() {
  LogEvent(LogLevel::kInfo, "leader_elected",
           {{"disk", this->state.disk.value()},
            {"term", this->state.hard.term.value()}});
  const MonotonicTime elected_from = this->election.started_at();
  this->election.Stop();
  this->election.OnLeaderKnown();
  this->state.role = ReplicaRole::kLeader;
  this->state.leader = this->state.disk;
  this->leadership.Start(this->state, elected_from);
}

void Consensus::ResignIfRemoved() {
  if (this->state.role == ReplicaRole::kLeader &&
      this->leadership.HasResigned(this->state)) {
    LogEvent(LogLevel::kInfo, "leader_resigned",
             {{"disk", this->state.disk.value()},
              {"term", this->state.hard.term.value()}});
    this->BecomeFollower();
  }
}

void Consensus::OnElectionTimeout() {
  this->BecomeFollower();
  // A member that its log removes would resign as soon as it has committed
  // that; it lets others stand first.
  const bool gives_way =
      !this->state.is_voter() && !std::exchange(this->has_given_way, true);
  if (gives_way || !this->CanStand()) {
    this->election.Rearm(this->state);
    return;
  }
  this->state.role = ReplicaRole::kCandidate;
  this->election.StartPreVote(this->state);
  this->ConcludeBallot();
}

void Consensus::ConcludeBallot() {
  if (!this->election.is_won(this->state)) {
    return;
  }
  if (this->election.phase() == Election::Phase::kPreVote) {
    this->election.StartVote(this->state);
  } else {
    this->BecomeLeader();
  }
}

bool Consensus::CanStand() const {
  const LogView& log = this->state.log;
  const Membership* previous = log.previous_membership();
  // A member that its log removes may be the only one that has the entry, and
  // then it alone can be elected and commit it.
  const bool leaves = log.membership().position.index > this->state.commit &&
                      previous != nullptr &&
                      previous->IsVoter(this->state.disk);
  return (this->state.is_voter() || leaves) &&
         this->CanVoteFor(this->state.log.last_position());
}

bool Consensus::CanVoteFor(LogPosition candidate) const {
  return !this->state.probationary &&
         candidate >= this->state.log.last_position() &&
         candidate >= this->guard.floor();
}

}  // namespace marigold::detail
