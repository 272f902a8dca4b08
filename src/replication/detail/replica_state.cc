#include "src/replication/detail/replica_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/core/invariant.h"

namespace marigold::detail {

namespace {

// Returns true for messages that promise nothing about the disk of the sender.
bool NeedsNoFlush(const ReplicaBody& body) {
  return std::holds_alternative<AppendRequest>(body) ||
         std::holds_alternative<SnapshotChunk>(body) ||
         std::holds_alternative<PreVoteRequest>(body) ||
         std::holds_alternative<PreVoteReply>(body) ||
         std::holds_alternative<BootRequest>(body);
}

}  // namespace

ReplicaState::ReplicaState(ReplicaSettings replica_settings,
                           DiskId own_disk,
                           HardState stored,
                           ReplicaLog loaded_log,
                           std::uint64_t seed,
                           MonotonicTime opened_at)
    : settings(std::move(replica_settings)),
      disk(std::move(own_disk)),
      hard_state(std::move(stored)),
      boot_table(this->hard_state.known_boots),
      log(std::move(loaded_log)),
      random(seed),
      now(opened_at),
      last_leader_contact(opened_at),
      commit_index(this->log.snapshot_index()) {}

void ReplicaState::CountBoot() {
  ++this->hard_state.boot_count;
  this->hard_state_dirty = true;
  this->boot = {this->disk, this->hard_state.boot_count, this->random.Next()};
  this->boot_table.Update(this->boot);
}

void ReplicaState::AdoptTerm(Term term) {
  if (term <= this->hard_state.term) {
    return;
  }
  this->hard_state.term = term;
  this->hard_state.voted_for.reset();
  this->hard_state_dirty = true;
}

void ReplicaState::VoteFor(const DiskId& candidate) {
  this->hard_state.voted_for = candidate;
  this->hard_state_dirty = true;
}

void ReplicaState::AdvanceCommit(LogIndex index) {
  CheckInvariant(Invariant::kListNeverReverts, index <= this->log.last_index(),
                 "a commit index lies after the end of the log");
  this->commit_index =
      std::max(this->commit_index, std::min(index, this->log.last_index()));
}

void ReplicaState::Send(const DiskId& to, ReplicaBody body) {
  auto& queue =
      NeedsNoFlush(body) ? this->ready_messages : this->messages_awaiting_flush;
  ReplicaMessage message;
  message.from = this->disk;
  message.to = to;
  message.term = this->hard_state.term;
  message.boot_count = this->boot.count;
  message.boot_nonce = this->boot.nonce;
  message.boot_unconfirmed = this->boot_unconfirmed;
  message.body = std::move(body);
  queue.push_back(std::move(message));
}

std::vector<ReplicaMessage> ReplicaState::TakeReadyMessages() {
  if (this->ready_messages.empty()) {
    return {};
  }
  const std::vector<BootRecord> records = this->boot_table.Records();
  const std::uint64_t digest = DigestOf(records);
  for (ReplicaMessage& message : this->ready_messages) {
    message.boots_digest = digest;
    const auto known = this->peer_boots_digests.find(message.to);
    if (known == this->peer_boots_digests.end() || known->second != digest) {
      message.boots = records;
    }
  }
  return std::exchange(this->ready_messages, {});
}

void ReplicaState::ReleaseMessages() {
  std::erase_if(this->messages_awaiting_flush,
                [this](const ReplicaMessage& message) {
                  return message.term < this->hard_state.term;
                });
  std::move(this->messages_awaiting_flush.begin(),
            this->messages_awaiting_flush.end(),
            std::back_inserter(this->ready_messages));
  this->messages_awaiting_flush.clear();
}

bool ReplicaState::hears_leader() const {
  return this->now - this->last_leader_contact <
         this->settings.election_timeout;
}

}  // namespace marigold::detail
