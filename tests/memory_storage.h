#ifndef TESTS_MEMORY_STORAGE_H_
#define TESTS_MEMORY_STORAGE_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "src/core/result.h"
#include "src/replication/storage.h"

namespace marigold {

// A disk in memory that loses unsynced writes when its process ends.
class MemoryStorage {
 public:
  explicit MemoryStorage(DiskId disk) { this->durable.disk = std::move(disk); }

  Result<StoredState> Load() {
    this->current = this->durable;
    return this->current;
  }
  Result<void> Append(const std::vector<LogEntry>& entries) {
    auto& log = this->current.entries;
    log.insert(log.end(), entries.begin(), entries.end());
    return this->WriteResult();
  }
  Result<void> TruncateFrom(LogIndex index) {
    std::erase_if(this->current.entries,
                  [&](const LogEntry& entry) { return entry.index >= index; });
    return this->WriteResult();
  }
  Result<void> SaveHardState(const HardState& hard_state) {
    this->current.hard_state = hard_state;
    return this->WriteResult();
  }
  Result<void> SaveSnapshot(const StateSnapshot& snapshot) {
    for (StoredState* state : {&this->current, &this->durable}) {
      state->snapshot = snapshot;
      std::erase_if(state->entries, [&](const LogEntry& entry) {
        return entry.index <= snapshot.index;
      });
    }
    return this->WriteResult();
  }
  Result<void> Sync() {
    ++this->sync_count;
    if (!this->fails_writes) {
      this->durable = this->current;
    }
    return this->WriteResult();
  }

  // The content that a crash leaves.
  StoredState durable;
  // The content with all writes, synced or not.
  StoredState current;
  bool fails_writes = false;
  std::size_t sync_count = 0;

 private:
  Result<void> WriteResult() const {
    if (this->fails_writes) {
      return boost::leaf::new_error(IoError{"fdatasync", "memory", 5});
    }
    return {};
  }
};

static_assert(ReplicaStorage<MemoryStorage>);

}  // namespace marigold

#endif  // TESTS_MEMORY_STORAGE_H_
