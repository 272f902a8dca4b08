#include <utility>
#include <variant>

#include "src/replication/detail/consensus.h"

namespace marigold::detail {

bool Consensus::AcceptSenderBoot(const ReplicaMessage& message) {
  const BootRecord sender_boot{message.from, message.boot_count,
                               message.boot_nonce};
  const BootRecord* known = this->state.boot_table.Find(message.from);
  const bool is_boot_request =
      std::holds_alternative<BootRequest>(message.body);
  if (known != nullptr && *known != sender_boot &&
      known->count >= sender_boot.count) {
    // A disk that was restored from an older copy may reuse the count of an
    // earlier boot. The next message to it contains the known boots again, so
    // that it detects the older copy.
    this->state.peer_boots_digests.erase(message.from);
    if (is_boot_request) {
      this->AnswerBootRequest(message, false);
    }
    return false;
  }
  if (is_boot_request ||
      this->state.membership().Find(message.from) != nullptr) {
    this->RecordBoot(sender_boot);
  }
  // The boots that the sender knows must be recorded before the promise in its
  // message is counted.
  for (const BootRecord& record : message.boots) {
    this->RecordBoot(record);
  }
  this->state.peer_boots_digests[message.from] = message.boots_digest;
  return true;
}

void Consensus::OnDiskLost(MonotonicTime now, const DiskId& disk) {
  this->AdvanceClock(now);
  const Term term_before = this->state.hard_state.term;
  this->verifier.OnDiskLost(this->state, disk);
  this->ApplyVerifierOutcome(term_before);
}

void Consensus::RecordBoot(const BootRecord& record) {
  if (record.disk == this->state.disk) {
    if (record != this->state.boot && record.count >= this->state.boot.count) {
      this->verifier.MarkRolledBack(this->state, record.count);
      this->ApplyVerifierOutcome(this->state.hard_state.term);
    }
    return;
  }
  if (this->state.boot_table.Update(record)) {
    this->state.hard_state_dirty = true;
    this->leadership.OnMemberRestart(record.disk);
    this->election.OnMemberRestart(record.disk);
    if (this->state.leader == record.disk) {
      this->verifier.OnLeaderRestarted();
      this->BecomeFollower();
    }
  }
}

void Consensus::AnswerBootRequest(const ReplicaMessage& message,
                                  bool accepted) {
  // A rolled-back disk may have lost its records of the boots of other disks.
  if (this->state.hard_state.is_rolled_back) {
    return;
  }
  BootReply reply;
  reply.known_boot_count = this->state.boot_table.Find(message.from)->count;
  reply.accepted = accepted;
  reply.boot_nonce = message.boot_nonce;
  reply.last_position = this->state.log.last_position();
  reply.membership = this->state.membership();
  reply.membership_position = this->state.log.membership().position;
  reply.acknowledged = {
      this->state.hard_state.term,
      this->leadership.AcknowledgedByEarlierBoots(message.from)};
  reply.knows_no_leader =
      this->state.role != ReplicaRole::kLeader && !this->state.leader;
  this->state.Send(message.from, std::move(reply));
}

void Consensus::ApplyVerifierOutcome(Term term_before) {
  const bool leads_or_campaigns = this->state.role != ReplicaRole::kFollower;
  if (this->state.hard_state.term != term_before ||
      (this->state.boot_unconfirmed && leads_or_campaigns)) {
    this->BecomeFollower();
  }
  if (this->verifier.TakeLeaseWaitEnded()) {
    this->election.CampaignSoon(this->state);
  }
}

}  // namespace marigold::detail
