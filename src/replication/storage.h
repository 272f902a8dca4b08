#ifndef SRC_REPLICATION_STORAGE_H_
#define SRC_REPLICATION_STORAGE_H_

#include <concepts>
#include <optional>
#include <vector>

#include "src/core/result.h"
#include "src/replication/types.h"

namespace marigold {

// The complete content of the disk, which is read once when the replica opens.
struct StoredState {
  DiskId disk;
  HardState hard_state;
  std::optional<StateSnapshot> snapshot;
  // Consecutive entries, of which the first follows the snapshot.
  std::vector<LogEntry> entries;
};

// The disk of a replica. A write may be lost until `Sync` has succeeded. After
// any failure, the replica writes nothing more. The storage has to be repaired
// and another replica opened on it.
template <class T>
concept ReplicaStorage = requires(T& storage,
                                  const std::vector<LogEntry>& entries,
                                  const HardState& hard_state,
                                  const StateSnapshot& snapshot,
                                  LogIndex index) {
  // Fails with `ParseError` if the content is damaged and with `IoError` if a
  // system call fails.
  { storage.Load() } -> std::same_as<Result<StoredState>>;
  { storage.Append(entries) } -> std::same_as<Result<void>>;
  // Removes the entries from `index` on.
  { storage.TruncateFrom(index) } -> std::same_as<Result<void>>;
  { storage.SaveHardState(hard_state) } -> std::same_as<Result<void>>;
  // Replaces the snapshot and removes the entries up to its index. The snapshot
  // is durable when the call returns.
  { storage.SaveSnapshot(snapshot) } -> std::same_as<Result<void>>;
  { storage.Sync() } -> std::same_as<Result<void>>;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_STORAGE_H_
