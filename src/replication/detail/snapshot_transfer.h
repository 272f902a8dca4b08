#ifndef SRC_REPLICATION_DETAIL_SNAPSHOT_TRANSFER_H_
#define SRC_REPLICATION_DETAIL_SNAPSHOT_TRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "src/replication/messages.h"
#include "src/replication/types.h"

namespace marigold::detail {

// One image on its way to one member, a chunk at a time. It goes on from where
// the receiver says it is, so a lost chunk or a restart on either side costs no
// more than what the receiver lost.
class SnapshotSender {
 public:
  explicit SnapshotSender(std::shared_ptr<const StateSnapshot> sent_snapshot);

  // Commands.

  // The chunk to send under `sequence`, with at most `max_bytes` of data.
  // Without data, it asks how far the receiver is.
  SnapshotChunk NextChunk(std::uint64_t sequence, std::size_t max_bytes);
  // A reply to a round before the last chunk with data changes nothing.
  void OnReply(const SnapshotReply& reply);

  // Queries.

  bool awaits_reply() const { return this->waiting; }
  const StateSnapshot& snapshot() const { return *this->source; }

 private:
  std::shared_ptr<const StateSnapshot> source;
  std::uint64_t checksum;
  std::uint64_t offset = 0;
  std::uint64_t data_sequence = 0;
  bool waiting = false;
};

// The image that a member is receiving.
class SnapshotReceiver {
 public:
  // Takes the chunk if it is the next one. Returns the image once it is
  // complete and its checksum is right.
  std::optional<StateSnapshot> OnChunk(const SnapshotChunk& chunk);

  // Bytes received of the image that the last chunk belongs to.
  std::uint64_t received_bytes() const { return this->data.size(); }

 private:
  bool Continues(const SnapshotChunk& chunk) const;
  void Restart(const SnapshotChunk& chunk);

  LogIndex index;
  Term term;
  std::uint64_t total_bytes = 0;
  std::uint64_t checksum = 0;
  std::string data;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_SNAPSHOT_TRANSFER_H_
