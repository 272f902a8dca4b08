#include <utility>

#include "src/core/invariant.h"
#include "src/core/log.h"
#include "src/replication/detail/consensus.h"

namespace marigold::detail {

void Consensus::BecomeFollower() {
  if (this->state.role != ReplicaRole::kFollower) {
    this->election.Stop();
    this->leadership.Stop();
    this->election.ResetTimeout(this->state);
  }
  this->state.role = ReplicaRole::kFollower;
  if (this->state.leader) {
    LogEvent(LogLevel::kWarning, "leader_lost",
             {{"disk", this->state.disk.value()},
              {"leader", this->state.leader->value()},
              {"term", this->state.hard_state.term.value()}});
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
              {"term", this->state.hard_state.term.value()}});
  }
  this->election.Stop();
  this->has_deferred_campaign = false;
  this->election.OnLeaderKnown();
  this->verifier.OnLeaderFollowed();
  this->state.role = ReplicaRole::kFollower;
  this->state.leader = leader;
  this->state.last_leader_contact = this->state.now;
  this->election.ResetTimeout(this->state);
  return true;
}

void Consensus::BecomeLeader() {
  LogEvent(LogLevel::kInfo, "leader_elected",
           {{"disk", this->state.disk.value()},
            {"term", this->state.hard_state.term.value()}});
  const MonotonicTime election_started_at = this->election.phase_started_at();
  this->election.Stop();
  this->election.OnLeaderKnown();
  this->state.role = ReplicaRole::kLeader;
  this->state.leader = this->state.disk;
  this->leadership.Start(this->state, election_started_at);
}

void Consensus::StepDownIfRemoved() {
  if (this->state.role == ReplicaRole::kLeader &&
      this->leadership.MustStepDown(this->state)) {
    LogEvent(LogLevel::kInfo, "leader_resigned",
             {{"disk", this->state.disk.value()},
              {"term", this->state.hard_state.term.value()}});
    this->BecomeFollower();
  }
}

void Consensus::OnElectionTimeout() {
  this->BecomeFollower();
  // A member that its own log removes would step down as soon as it has
  // committed the removal. It therefore lets the others campaign first.
  const bool defers_campaign =
      !this->state.is_voter() &&
      !std::exchange(this->has_deferred_campaign, true);
  if (defers_campaign || !this->CanCampaign()) {
    this->election.ResetTimeout(this->state);
    return;
  }
  this->state.role = ReplicaRole::kCandidate;
  this->election.StartPreVote(this->state);
  this->AdvanceElection();
}

void Consensus::AdvanceElection() {
  if (!this->election.is_won(this->state)) {
    return;
  }
  if (this->election.phase() == Election::Phase::kPreVote) {
    this->election.StartVote(this->state);
  } else {
    this->BecomeLeader();
  }
}

bool Consensus::CanCampaign() const {
  const ReplicaLog& log = this->state.log;
  const Membership* previous_membership = log.previous_membership();
  // A member that its own log removes may be the only one that has that entry.
  // Then only this member can be elected and commit the entry.
  const bool is_being_removed =
      log.membership().position.index > this->state.commit_index &&
      previous_membership != nullptr &&
      previous_membership->IsVoter(this->state.disk);
  return (this->state.is_voter() || is_being_removed) &&
         this->CanVoteFor(this->state.log.last_position());
}

bool Consensus::CanVoteFor(LogPosition candidate) const {
  return !this->state.boot_unconfirmed &&
         candidate >= this->state.log.last_position() &&
         candidate >= this->verifier.min_candidate_position();
}

}  // namespace marigold::detail
