#ifndef SRC_REPLICATION_DETAIL_SNAPSHOT_TRANSFER_H_
#define SRC_REPLICATION_DETAIL_SNAPSHOT_TRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "src/replication/messages.h"
#include "src/replication/types.h"

namespace marigold::detail {

// The transfer of one snapshot to one member, a chunk at a time. It continues
// from the position that the receiver reports. After a lost chunk or a restart
// on either side, only the data that the receiver lacks is sent again.
class SnapshotSender {
 public:
  explicit SnapshotSender(std::shared_ptr<const StateSnapshot> sent_snapshot);

  // Commands.

  // Returns the chunk to send in the request `sequence`, with at most
  // `max_bytes` of data. A chunk without data asks how much the receiver has.
  SnapshotChunk NextChunk(std::uint64_t sequence, std::size_t max_bytes);
  // Ignores a reply to a request that was sent before the last chunk with data.
  void OnReply(const SnapshotReply& reply);

  // Queries.

  bool awaits_reply() const { return this->is_awaiting_reply; }
  const StateSnapshot& snapshot() const { return *this->source; }

 private:
  std::shared_ptr<const StateSnapshot> source;
  std::uint64_t checksum;
  std::uint64_t offset = 0;
  // The sequence number of the last chunk with data.
  std::uint64_t last_data_sequence = 0;
  bool is_awaiting_reply = false;
};

// The snapshot that a member is receiving.
class SnapshotReceiver {
 public:
  // Adds the data of the chunk if it is the next one. Returns the snapshot once
  // it is complete and its checksum is right.
  std::optional<StateSnapshot> OnChunk(const SnapshotChunk& chunk);

  // The number of bytes received of the snapshot that the last chunk belongs
  // to.
  std::uint64_t received_bytes() const { return this->received_data.size(); }

 private:
  bool Continues(const SnapshotChunk& chunk) const;
  void Restart(const SnapshotChunk& chunk);

  LogIndex index;
  Term term;
  std::uint64_t total_bytes = 0;
  std::uint64_t checksum = 0;
  std::string received_data;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_SNAPSHOT_TRANSFER_H_
