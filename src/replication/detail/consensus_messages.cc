#include <variant>

#include "src/replication/detail/consensus.h"

namespace marigold::detail {

namespace {

template <class... Bodies>
bool HoldsOneOf(const ReplicaBody& body) {
  return (std::holds_alternative<Bodies>(body) || ...);
}

}  // namespace

void Consensus::Step(MonotonicTime now, const ReplicaMessage& message) {
  this->AdvanceClock(now);
  if (message.to != this->state.disk || message.from == this->state.disk) {
    return;
  }
  if (this->state.storage_failed) {
    // The leader is recorded only so that callers can be told which member to
    // ask.
    if (HoldsOneOf<AppendRequest>(message.body)) {
      this->state.leader = message.from;
    }
    return;
  }
  if (!this->AcceptSenderBoot(message)) {
    return;
  }
  this->verifier.OnMessageFrom(message.from);
  if (this->AcceptTerm(message)) {
    std::visit([&](const auto& body) { this->Handle(message, body); },
               message.body);
  }
}

bool Consensus::AcceptTerm(const ReplicaMessage& message) {
  const ReplicaBody& body = message.body;
  if (HoldsOneOf<PreVoteRequest, BootRequest, BootReply>(body)) {
    return true;
  }
  const Term term = this->state.hard_state.term;
  if (message.term < term) {
    this->ReplyToStaleTerm(message);
    return HoldsOneOf<PreVoteReply>(body);
  }
  if (message.term == term) {
    return true;
  }
  const bool is_from_leader = HoldsOneOf<AppendRequest, SnapshotChunk>(body);
  if (HoldsOneOf<VoteRequest>(body)) {
    const bool leads_with_lease =
        this->state.role == ReplicaRole::kLeader &&
        this->leadership.HasLease(this->state, this->state.now);
    if (leads_with_lease || this->state.hears_leader()) {
      return false;
    }
  } else if (!is_from_leader &&
             this->state.membership().Find(message.from) == nullptr) {
    // A removed member must not raise the term of the group.
    return false;
  }
  this->BecomeFollower();
  this->state.AdoptTerm(message.term);
  return true;
}

void Consensus::ReplyToStaleTerm(const ReplicaMessage& message) {
  const DiskId& to = message.from;
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    this->state.Send(to, AppendReply{append->sequence, false, {}, {}});
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
    this->state.Send(to,
                     SnapshotReply{chunk->index, chunk->sequence, 0, false});
  } else if (HoldsOneOf<VoteRequest>(message.body)) {
    this->state.Send(to, VoteReply{false, message.boot_nonce});
  }
}

void Consensus::Handle(const ReplicaMessage& message,
                       const PreVoteRequest& request) {
  const bool granted =
      this->state.role != ReplicaRole::kLeader && !this->state.hears_leader() &&
      request.next_term > this->state.hard_state.term &&
      this->CanVoteFor({request.last_term, request.last_index});
  this->state.Send(message.from, PreVoteReply{request.next_term, granted});
}

void Consensus::Handle(const ReplicaMessage& message,
                       const PreVoteReply& reply) {
  this->election.OnPreVoteReply(this->state, message, reply);
  this->AdvanceElection();
}

void Consensus::Handle(const ReplicaMessage& message,
                       const VoteRequest& request) {
  const auto& vote = this->state.hard_state.voted_for;
  const bool granted =
      !this->state.hears_leader() && (!vote || *vote == message.from) &&
      this->CanVoteFor({request.last_term, request.last_index});
  if (granted) {
    this->state.VoteFor(message.from);
    this->election.ResetTimeout(this->state);
  }
  this->state.Send(message.from, VoteReply{granted, message.boot_nonce});
}

void Consensus::Handle(const ReplicaMessage& message, const VoteReply& reply) {
  this->election.OnVoteReply(this->state, message, reply);
  this->AdvanceElection();
}

void Consensus::Handle(const ReplicaMessage& message,
                       const AppendRequest& request) {
  if (this->FollowLeader(message.from)) {
    this->follower.OnAppend(this->state, message, request);
  }
}

void Consensus::Handle(const ReplicaMessage& message,
                       const AppendReply& reply) {
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.OnAppendReply(this->state, message, reply);
    this->StepDownIfRemoved();
  }
}

void Consensus::Handle(const ReplicaMessage& message,
                       const SnapshotChunk& chunk) {
  if (this->FollowLeader(message.from)) {
    this->follower.OnChunk(this->state, message, chunk);
  }
}

void Consensus::Handle(const ReplicaMessage& message,
                       const SnapshotReply& reply) {
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.OnSnapshotReply(this->state, message, reply);
    this->StepDownIfRemoved();
  }
}

void Consensus::Handle(const ReplicaMessage& message,
                       const BootRequest& /*request*/) {
  this->AnswerBootRequest(message, true);
  this->verifier.OnBootRequest(this->state, message.from);
}

void Consensus::Handle(const ReplicaMessage& message, const BootReply& reply) {
  const Term term_before = this->state.hard_state.term;
  this->verifier.OnReply(this->state, message, reply);
  this->ApplyVerifierOutcome(term_before);
}

}  // namespace marigold::detail
