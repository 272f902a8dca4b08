#include "src/replication/detail/snapshot_transfer.h"

#include <algorithm>
#include <utility>

#include "src/core/log.h"
#include "src/replication/detail/checksum.h"

namespace marigold::detail {

SnapshotSender::SnapshotSender(
    std::shared_ptr<const StateSnapshot> sent_snapshot)
    : source(std::move(sent_snapshot)),
      checksum(Checksum(this->source->data)) {}

SnapshotChunk SnapshotSender::NextChunk(std::uint64_t sequence,
                                        std::size_t max_bytes) {
  if (max_bytes > 0) {
    this->last_data_sequence = sequence;
    this->is_awaiting_reply = true;
  }
  SnapshotChunk chunk;
  chunk.index = this->source->index;
  chunk.snapshot_term = this->source->term;
  chunk.membership = this->source->membership;
  chunk.proposed_at = this->source->proposed_at;
  chunk.checksum = this->checksum;
  chunk.offset = this->offset;
  chunk.total_bytes = this->source->data.size();
  chunk.sequence = sequence;
  chunk.data = this->source->data.substr(this->offset, max_bytes);
  return chunk;
}

void SnapshotSender::OnReply(const SnapshotReply& reply) {
  if (reply.index != this->source->index ||
      reply.sequence < this->last_data_sequence) {
    return;
  }
  this->offset =
      std::min<std::uint64_t>(reply.received_bytes, this->source->data.size());
  this->is_awaiting_reply = false;
}

std::optional<StateSnapshot> SnapshotReceiver::OnChunk(
    const SnapshotChunk& chunk) {
  if (!this->Continues(chunk)) {
    this->Restart(chunk);
  }
  if (chunk.offset == this->received_data.size() &&
      chunk.data.size() <= this->total_bytes - this->received_data.size()) {
    this->received_data += chunk.data;
  }
  if (this->received_data.size() < this->total_bytes) {
    return std::nullopt;
  }
  if (Checksum(this->received_data) != this->checksum) {
    LogEvent(LogLevel::kError, "snapshot_checksum_wrong",
             {{"index", this->index.value()}});
    this->Restart(chunk);
    return std::nullopt;
  }
  return StateSnapshot{chunk.index, chunk.snapshot_term, chunk.membership,
                       chunk.proposed_at,
                       std::exchange(this->received_data, "")};
}

bool SnapshotReceiver::Continues(const SnapshotChunk& chunk) const {
  return this->index == chunk.index && this->term == chunk.snapshot_term &&
         this->total_bytes == chunk.total_bytes &&
         this->checksum == chunk.checksum;
}

void SnapshotReceiver::Restart(const SnapshotChunk& chunk) {
  this->index = chunk.index;
  this->term = chunk.snapshot_term;
  this->total_bytes = chunk.total_bytes;
  this->checksum = chunk.checksum;
  this->received_data.clear();
}

}  // namespace marigold::detail
