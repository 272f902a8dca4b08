#ifndef SRC_REPLICATION_MESSAGES_H_
#define SRC_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/replication/types.h"

namespace marigold {

// Asks whether the receiver would vote for the sender. It changes no state of
// the receiver.
struct PreVoteRequest {
  Term next_term;
  LogIndex last_index;
  Term last_term;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->next_term, this->last_index, this->last_term);
  }
};

struct PreVoteReply {
  Term next_term;
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->next_term, this->granted);
  }
};

struct VoteRequest {
  LogIndex last_index;
  Term last_term;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->last_index, this->last_term);
  }
};

struct VoteReply {
  bool granted = false;
  // Echoes the boot nonce of the request. A later boot of the candidate ignores
  // the vote.
  std::uint64_t candidate_nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->granted, this->candidate_nonce);
  }
};

// Carries the entries after `previous_index`, or none if it is a heartbeat.
struct AppendRequest {
  LogIndex previous_index;
  Term previous_term;
  LogIndex commit_index;
  // Echoed in the reply. It shows the leader which of its requests a quorum has
  // answered.
  std::uint64_t sequence = 0;
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->previous_index, this->previous_term, this->commit_index,
            this->sequence, this->entries);
  }
};

struct AppendReply {
  std::uint64_t sequence = 0;
  bool accepted = false;
  // If accepted, the last index at which the logs match. If rejected, the index
  // to try next, with the term of the receiver's entry there in `match_term`.
  LogIndex match_index;
  Term match_term;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sequence, this->accepted, this->match_index,
            this->match_term);
  }
};

// One chunk of a snapshot, for a follower whose next entry is compacted.
struct SnapshotChunk {
  LogIndex index;
  Term snapshot_term;
  Membership membership;
  WallTime proposed_at;
  // The checksum of the whole snapshot's data.
  std::uint64_t checksum = 0;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t sequence = 0;
  std::string data;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->snapshot_term, this->membership);
    detail::SerializeWallTime(archive, this->proposed_at);
    archive(this->checksum, this->offset, this->total_bytes, this->sequence,
            this->data);
  }
};

struct SnapshotReply {
  LogIndex index;
  std::uint64_t sequence = 0;
  // The number of data bytes received so far.
  std::uint64_t received_bytes = 0;
  bool installed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->sequence, this->received_bytes, this->installed);
  }
};

// Asks the receiver to confirm the sender's boot, which `ReplicaMessage`
// identifies.
struct BootRequest {
  template <class Archive>
  void serialize(Archive&) {}
};

// Answers a `BootRequest`. From it, the disk that asked can tell whether it has
// lost any promise that the replying member knows of.
struct BootReply {
  // The highest boot count of the asking disk that the replying member knows,
  // including the current boot.
  std::uint64_t known_boot_count = 0;
  // False if the replying member knows another boot of the disk with the same
  // or a higher count.
  bool accepted = false;
  // Echoes the nonce of the boot that asked.
  std::uint64_t boot_nonce = 0;
  // The last position in the replying member's log.
  LogPosition last_position;
  // The latest membership in the replying member's log, and the position of its
  // entry.
  Membership membership;
  LogPosition membership_position;
  // The last index that earlier boots of the asking disk have acknowledged to
  // the replying member as the leader of that term. The index is 0 if there is
  // none.
  LogPosition acknowledged;
  // True if the replying member neither leads nor knows a leader.
  bool knows_no_leader = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->known_boot_count, this->accepted, this->boot_nonce,
            this->last_position, this->membership, this->membership_position,
            this->acknowledged, this->knows_no_leader);
  }
};

using ReplicaBody = std::variant<PreVoteRequest,
                                 PreVoteReply,
                                 VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotChunk,
                                 SnapshotReply,
                                 BootRequest,
                                 BootReply>;

struct ReplicaMessage {
  DiskId from;
  DiskId to;
  // The sender's current term.
  Term term;
  // The count and the nonce of the sender's boot.
  std::uint64_t boot_count = 0;
  std::uint64_t boot_nonce = 0;
  // True while the sender's boot is not confirmed. The sender then follows the
  // leader, but its acknowledgements do not count.
  bool boot_unconfirmed = false;
  // A digest of the latest boots of all members that the sender knows. The
  // boots themselves are in `boots`, unless the receiver's last digest was the
  // same. They let the receiver discard the promises of a member's earlier
  // boots before it counts the promise in this message.
  std::uint64_t boots_digest = 0;
  std::vector<BootRecord> boots;
  ReplicaBody body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->to, this->term, this->boot_count,
            this->boot_nonce, this->boot_unconfirmed, this->boots_digest,
            this->boots, this->body);
  }
};

}  // namespace marigold

#endif  // SRC_REPLICATION_MESSAGES_H_
