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
  this->Observe(now);
  if (message.to != this->state.disk || message.from == this->state.disk) {
    return;
  }
  if (this->state.storage_failed) {
    // Only tells callers whom to ask.
    if (HoldsOneOf<AppendRequest>(message.body)) {
      this->state.leader = message.from;
    }
    return;
  }
  if (!this->AdmitStart(message)) {
    return;
  }
  this->guard.OnHeard(message.from);
  if (this->AdmitTerm(message)) {
    std::visit([&](const auto& body) { this->On(message, body); },
               message.body);
  }
}

bool Consensus::AdmitTerm(const ReplicaMessage& message) {
  const ReplicaBody& body = message.body;
  if (HoldsOneOf<PreVoteRequest, BootNotice, BootReply>(body)) {
    return true;
  }
  const Term term = this->state.hard.term;
  if (message.term < term) {
    this->AnswerStale(message);
    return HoldsOneOf<PreVoteReply>(body);
  }
  if (message.term == term) {
    return true;
  }
  const bool from_leader = HoldsOneOf<AppendRequest, SnapshotChunk>(body);
  if (HoldsOneOf<VoteRequest>(body)) {
    const bool leads = this->state.role == ReplicaRole::kLeader &&
                       this->leadership.HasLease(this->state, this->state.now);
    if (leads || this->state.hears_leader()) {
      return false;
    }
  } else if (!from_leader &&
             this->state.membership().Find(message.from) == nullptr) {
    // A removed member does not move the group to its term.
    return false;
  }
  this->BecomeFollower();
  this->state.AdoptTerm(message.term);
  return true;
}

void Consensus::AnswerStale(const ReplicaMessage& message) {
  const DiskId& to = message.from;
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    this->state.Send(to, AppendReply{append->round, false, {}, {}});
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
    this->state.Send(to, SnapshotReply{chunk->index, chunk->round, 0, false});
  } else if (HoldsOneOf<VoteRequest>(message.body)) {
    this->state.Send(to, VoteReply{false, message.boot_nonce});
  }
}

void Consensus::On(const ReplicaMessage& message,
                   const PreVoteRequest& request) {
  const bool granted =
      this->state.role != ReplicaRole::kLeader && !this->state.hears_leader() &&
      request.next_term > this->state.hard.term &&
      this->CanVoteFor({request.last_term, request.last_index});
  this->state.Send(message.from, PreVoteReply{request.next_term, granted});
}

void Consensus::On(const ReplicaMessage& message, const PreVoteReply& reply) {
  this->election.OnPreVoteReply(this->state, message, reply);
  this->ConcludeBallot();
}

void Consensus::On(const ReplicaMessage& message, const VoteRequest& request) {
  const auto& vote = this->state.hard.voted_for;
  const bool granted =
      !this->state.hears_leader() && (!vote || *vote == message.from) &&
      this->CanVoteFor({request.last_term, request.last_index});
  if (granted) {
    this->state.VoteFor(message.from);
    this->election.Rearm(this->state);
  }
  this->state.Send(message.from, VoteReply{granted, message.boot_nonce});
}

void Consensus::On(const ReplicaMessage& message, const VoteReply& reply) {
  this->election.OnVoteReply(this->state, message, reply);
  this->ConcludeBallot();
}

void Consensus::On(const ReplicaMessage& message,
                   const AppendRequest& request) {
  if (this->FollowLeader(message.from)) {
    this->follower.OnAppend(this->state, message, request);
  }
}

void Consensus::On(const ReplicaMessage& message, const AppendReply& reply) {
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.OnAppendReply(this->state, message, reply);
    this->ResignIfRemoved();
  }
}

void Consensus::On(const ReplicaMessage& message, const SnapshotChunk& chunk) {
  if (this->FollowLeader(message.from)) {
    this->follower.OnChunk(this->state, message, chunk);
  }
}

void Consensus::On(const ReplicaMessage& message, const SnapshotReply& reply) {
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.OnSnapshotReply(this->state, message, reply);
    this->ResignIfRemoved();
  }
}

void Consensus::On(const ReplicaMessage& message,
                   const BootNotice& /*notice*/) {
  this->AnswerNotice(message, true);
  this->guard.OnNotice(this->state, message.from);
}

void Consensus::On(const ReplicaMessage& message, const BootReply& reply) {
  const Term before = this->state.hard.term;
  this->guard.OnReply(this->state, message, reply);
  this->SettleGuard(before);
}

}  // namespace marigold::detail
