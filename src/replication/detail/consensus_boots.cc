#include <utility>
#include <variant>

#include "src/replication/detail/consensus.h"

namespace marigold::detail {

bool Consensus::AdmitStart(const ReplicaMessage& message) {
  const BootRecord start{message.from, message.boot_count, message.boot_nonce};
  const BootRecord* known = this->state.boots.Find(message.from);
  const bool is_notice = std::holds_alternative<BootNotice>(message.body);
  if (known != nullptr && *known != start && known->count >= start.count) {
    // A disk that was restored may repeat a start that it has forgotten. The
    // records go out again with the next message, so that it learns of it.
    this->state.peer_digests.erase(message.from);
    if (is_notice) {
      this->AnswerNotice(message, false);
    }
    return false;
  }
  if (is_notice || this->state.membership().Find(message.from) != nullptr) {
    this->LearnBoot(start);
  }
  // What the sender knows has to be learnt before its promise is counted.
  for (const BootRecord& record : message.boots) {
    this->LearnBoot(record);
  }
  this->state.peer_digests[message.from] = message.boots_digest;
  return true;
}

void Consensus::OnDiskGone(MonotonicTime now, const DiskId& disk) {
  this->Observe(now);
  const Term before = this->state.hard.term;
  this->guard.OnDiskGone(this->state, disk);
  this->SettleGuard(before);
}

void Consensus::LearnBoot(const BootRecord& record) {
  if (record.disk == this->state.disk) {
    if (record != this->state.boot && record.count >= this->state.boot.count) {
      this->guard.Refuse(this->state, record.count);
      this->SettleGuard(this->state.hard.term);
    }
    return;
  }
  if (this->state.boots.Learn(record)) {
    this->state.hard_dirty = true;
    this->leadership.OnNewStart(record.disk);
    this->election.OnNewStart(record.disk);
    if (this->state.leader == record.disk) {
      this->guard.OnLeaderRestarted();
      this->BecomeFollower();
    }
  }
}

void Consensus::AnswerNotice(const ReplicaMessage& message, bool accepted) {
  // A refused disk lacks what it once knew of the others.
  if (this->state.hard.refused) {
    return;
  }
  BootReply reply;
  reply.known_boot_count = this->state.boots.Find(message.from)->count;
  reply.accepted = accepted;
  reply.boot_nonce = message.boot_nonce;
  reply.last = this->state.log.last_position();
  reply.membership = this->state.membership();
  reply.membership_position = this->state.log.membership().position;
  reply.acknowledged = {
      this->state.hard.term,
      this->leadership.AcknowledgedByEarlierStarts(message.from)};
  reply.leaderless =
      this->state.role != ReplicaRole::kLeader && !this->state.leader;
  this->state.Send(message.from, std::move(reply));
}

void Consensus::SettleGuard(Term before) {
  const bool leads_or_stands = this->state.role != ReplicaRole::kFollower;
  if (this->state.hard.term != before ||
      (this->state.probationary && leads_or_stands)) {
    this->BecomeFollower();
  }
  if (this->guard.TakeEndedHold()) {
    this->election.StandSoon(this->state);
  }
}

}  // namespace marigold::detail
