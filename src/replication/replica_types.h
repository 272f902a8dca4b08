#ifndef SRC_REPLICATION_REPLICA_TYPES_H_
#define SRC_REPLICATION_REPLICA_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "src/replication/types.h"

namespace marigold {

struct ReplicaSettings {
  VmId vm;
  // The membership of a new group. It is ignored if the disk already has a
  // membership.
  Membership initial_membership;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  // A replica that hears from no leader starts an election after a random time
  // between one and two election timeouts.
  Duration election_timeout = std::chrono::milliseconds(500);
  // The maximum number of entries in one append request.
  std::size_t append_entries = 512;
  std::size_t snapshot_chunk_bytes = 256 * 1024;
  // A spare that has caught up replaces a voter that the leader has not heard
  // from for this long. Zero turns the replacement off.
  Duration replace_after = std::chrono::seconds(30);
  // Spares are promoted until the group has this many voters. Zero turns the
  // promotion off.
  std::size_t target_voters = 0;
};

enum class ReplicaRole : std::uint8_t { kFollower, kCandidate, kLeader };

enum class ProposeStatus : std::uint8_t {
  kProposed,
  // This replica does not lead. Nothing was appended.
  kNotLeader,
  // The leader has not heard from a quorum within its lease. Nothing was
  // appended.
  kNoQuorum,
  // The disk has failed. Nothing was appended.
  kStorageFailed,
  // A membership change is in progress, the change is not allowed, or the
  // payload is larger than 3 MiB. Nothing was appended.
  kRefused,
};

struct Proposal {
  ProposeStatus status = ProposeStatus::kNotLeader;
  // The index that the entry has if it commits in `term`.
  LogIndex index;
  Term term;
};

// Either a committed entry or a snapshot that replaces the state machine's
// whole state.
struct CommittedItem {
  std::optional<StateSnapshot> snapshot;
  std::optional<LogEntry> entry;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_REPLICA_TYPES_H_
