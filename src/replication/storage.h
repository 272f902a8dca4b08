#ifndef SRC_REPLICATION_STORAGE_H_
#define SRC_REPLICATION_STORAGE_H_

#include <concepts>
#include <optional>
#include <vector>

#include "src/core/result.h"
#include "src/replication/types.h"

namespace marigold {

// Everything that a disk holds, read once at the start.
struct StoredState {
  DiskId disk;
  HardState hard_state;
  std::optional<StateSnapshot> snapshot;
  // Consecutive entries after the snapshot.
  std::vector<LogEntry> entries;
};

// A replica's disk. Writes may be lost until `Sync` has returned success. After
// any failure the replica writes nothing more.
template <class T>
concept ReplicaStorage = requires(T& storage,
                                  const std::vector<LogEntry>& entries,
                                  const HardState& hard_state,
                                  const StateSnapshot& snapshot,
                                  LogIndex index) {
  // Fails with `ParseError` for damage and `IoError` for a failed call.
  { storage.Load() } -> std::same_as<Result<StoredState>>;
  { storage.Append(entries) } -> std::same_as<Result<void>>;
  // Drops the entries from `index` on.
  { storage.TruncateFrom(index) } -> std::same_as<Result<void>>;
  { storage.SaveHardState(hard_state) } -> std::same_as<Result<void>>;
  // Replaces the snapshot, durably before it returns, and drops the entries up
  // to its index.
  { storage.SaveSnapshot(snapshot) } -> std::same_as<Result<void>>;
  { storage.Sync() } -> std::same_as<Result<void>>;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_STORAGE_H_
