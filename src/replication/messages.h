#ifndef SRC_REPLICATION_MESSAGES_H_
#define SRC_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/replication/types.h"

namespace marigold {

// Asks whether the receiver would vote for the sender; changes no state.
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
  // Echoed; a later start of the same candidate does not take the vote.
  std::uint64_t candidate_nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->granted, this->candidate_nonce);
  }
};

// Entries after `previous_index`, or none as a heartbeat.
struct AppendRequest {
  LogIndex previous_index;
  Term previous_term;
  LogIndex commit_index;
  // Echoed; shows the leader which of its rounds a quorum has answered.
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
  // Accepted: the last index that matches. Refused: where to try next, and the
  // term of the receiver's entry there.
  LogIndex match_index;
  Term match_term;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->sequence, this->accepted, this->match_index,
            this->match_term);
  }
};

// One piece of a snapshot, for a follower whose next entry was compacted.
struct SnapshotChunk {
  LogIndex index;
  Term snapshot_term;
  Membership membership;
  WallTime proposed_at;
  // Of the whole image's data.
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
  // Bytes received so far.
  std::uint64_t received_bytes = 0;
  bool installed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->sequence, this->received_bytes, this->installed);
  }
};

// Asks the receiver to confirm the sender's process start.
struct BootRequest {
  template <class Archive>
  void serialize(Archive&) {}
};

// What the sender knows that the receiver's disk has to live up to.
struct BootReply {
  // The highest that the sender has seen of the receiver's disk, this start
  // included.
  std::uint64_t known_boot_count = 0;
  bool accepted = false;
  // Echoed.
  std::uint64_t boot_nonce = 0;
  // The end of the sender's log.
  LogPosition last_position;
  // The latest membership in the sender's log, and its entry.
  Membership membership;
  LogPosition membership_position;
  // The last index that earlier starts of the receiver's disk have acknowledged
  // to the sender as the leader of that term; index 0 for none.
  LogPosition acknowledged;
  // True if the sender neither leads nor knows a leader.
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
  // The sender's process start.
  std::uint64_t boot_count = 0;
  std::uint64_t boot_nonce = 0;
  // The sender's start is not confirmed: it follows but does not count.
  bool boot_unconfirmed = false;
  // Over the latest starts that the sender knows of all members, which follow
  // unless the receiver's last digest was the same. A receiver thereby discards
  // what an earlier start of a member promised before it counts the sender's
  // own promise.
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
