#ifndef SRC_NET_CONTROL_COUNTED_STORAGE_H_
#define SRC_NET_CONTROL_COUNTED_STORAGE_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "src/core/clock.h"
#include "src/replication/storage.h"

namespace marigold {

// Counts since the process started.
struct StorageCounters {
  std::atomic<std::uint64_t> syncs = 0;
  // Total duration of the syncs, in microseconds.
  std::atomic<std::uint64_t> sync_micros = 0;
  // Entries appended to the log, and the bytes of their payloads.
  std::atomic<std::uint64_t> entries = 0;
  std::atomic<std::uint64_t> entry_bytes = 0;
  std::atomic<std::uint64_t> snapshots = 0;
};

// Forwards calls to another storage and counts them. It reads the stored state
// from the disk only once, for `Peek` and the following `Load` together.
template <ReplicaStorage Storage>
class CountedStorage {
 public:
  CountedStorage(Storage inner_storage, StorageCounters& storage_counters)
      : inner(std::move(inner_storage)), counters(storage_counters) {}

  // Returns the stored state without consuming it, so that it can be examined
  // before a replica is opened. The pointer is valid until `Load` is called.
  Result<const StoredState*> Peek() {
    if (!this->loaded_state) {
      BOOST_LEAF_ASSIGN(this->loaded_state, this->inner.Load());
    }
    return &*this->loaded_state;
  }

  Result<StoredState> Load() {
    BOOST_LEAF_CHECK(this->Peek());
    return std::move(*std::exchange(this->loaded_state, std::nullopt));
  }

  Result<void> Append(const std::vector<LogEntry>& entries) {
    this->counters.entries += entries.size();
    for (const LogEntry& entry : entries) {
      this->counters.entry_bytes += entry.payload.size();
    }
    return this->inner.Append(entries);
  }

  Result<void> TruncateFrom(LogIndex index) {
    return this->inner.TruncateFrom(index);
  }

  Result<void> SaveHardState(const HardState& hard_state) {
    return this->inner.SaveHardState(hard_state);
  }

  Result<void> SaveSnapshot(const StateSnapshot& snapshot) {
    ++this->counters.snapshots;
    return this->inner.SaveSnapshot(snapshot);
  }

  // Restores the storage after a failed write. The state has to be loaded
  // again.
  Result<void> Repair() {
    this->loaded_state.reset();
    return this->inner.Repair();
  }

  Result<void> Sync() {
    const SystemClock clock;
    const MonotonicTime began_at = clock.Now();
    auto result = this->inner.Sync();
    const Duration duration = clock.Now() - began_at;
    ++this->counters.syncs;
    this->counters.sync_micros += static_cast<std::uint64_t>(duration.count());
    return result;
  }

 private:
  Storage inner;
  StorageCounters& counters;
  std::optional<StoredState> loaded_state;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_COUNTED_STORAGE_H_
