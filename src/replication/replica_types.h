#ifndef SRC_REPLICATION_REPLICA_TYPES_H_
#define SRC_REPLICATION_REPLICA_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "src/replication/types.h"

namespace marigold {

struct ReplicaSettings {
  VmId vm;
  // The first membership; used only if the disk holds none.
  Membership initial_membership;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  // An election starts after this and up to twice this without a leader.
  Duration election_timeout = std::chrono::milliseconds(500);
  // Entries in one append.
  std::size_t append_entries = 512;
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  // A voter not heard from for this long is replaced by a spare, if the leader
  // has one that has caught up. Zero turns it off.
  Duration replace_after = std::chrono::seconds(30);
  // Spares are promoted until the group has this many voters; 0 for none.
  std::size_t target_voters = 0;
};

enum class ReplicaRole : std::uint8_t { kFollower, kCandidate, kLeader };

enum class ProposeStatus : std::uint8_t {
  kProposed,
  // Another member leads, or none; nothing was appended.
  kNotLeader,
  // The leader has not heard from a quorum lately; nothing was appended.
  kNoQuorum,
  // The disk failed; nothing was appended.
  kStorageFailed,
  // A membership change is in progress, or the change is not allowed, or the
  // payload is larger than 3 MiB; nothing was appended.
  kRefused,
};

struct Proposal {
  ProposeStatus status = ProposeStatus::kNotLeader;
  // Where the entry will be if it commits under `term`.
  LogIndex index;
  Term term;
};

// A committed entry, or a snapshot that replaces the state machine's state.
struct CommittedItem {
  std::optional<StateSnapshot> snapshot;
  std::optional<LogEntry> entry;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_REPLICA_TYPES_H_
