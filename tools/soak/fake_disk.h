#ifndef TOOLS_SOAK_FAKE_DISK_H_
#define TOOLS_SOAK_FAKE_DISK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "src/core/random.h"
#include "src/core/result.h"
#include "src/replication/storage.h"
#include "tools/soak/planted_bug.h"

namespace marigold {

// An in-memory disk of a replica. A crash keeps a random prefix of the writes
// since the last sync, which can tear an append. Satisfies `ReplicaStorage`.
class FakeDisk {
 public:
  FakeDisk(DiskId id, PlantedBug bug_to_plant);

  Result<StoredState> Load();
  Result<void> Append(const std::vector<LogEntry>& entries);
  Result<void> TruncateFrom(LogIndex index);
  Result<void> SaveHardState(const HardState& hard_state);
  Result<void> SaveSnapshot(const StateSnapshot& snapshot);
  Result<void> Sync();

  // Lets `writes` further writes or syncs succeed and makes all later ones
  // fail, as if the process had been killed during the next one.
  void CrashAfter(std::uint64_t writes);
  void DisarmCrash() { this->writes_until_crash.reset(); }

  // True if an armed crash has occurred.
  bool has_crashed() const { return this->has_crash_occurred; }

  // Applies a prefix of random length of the unsynced writes, drops the rest
  // and disarms the crash.
  void LoseUnsynced(SeededRandom& random);

  // Returns a copy of the durable content for `RestoreCopy`.
  StoredState Copy() const { return this->durable; }

  // Replaces the durable content by `copy` and drops the unsynced writes.
  void RestoreCopy(const StoredState& copy);

  const DiskId& id() const { return this->durable.disk; }

 private:
  using Write = std::function<void(StoredState&)>;

  // Counts one write towards an armed crash. Fails if the crash has occurred.
  Result<void> CountWrite();
  Result<void> AddWrite(Write write);

  StoredState durable;
  std::vector<Write> unsynced;
  std::optional<std::uint64_t> writes_until_crash;
  bool has_crash_occurred = false;
  PlantedBug planted_bug;
};

static_assert(ReplicaStorage<FakeDisk>);

}  // namespace marigold

#endif  // TOOLS_SOAK_FAKE_DISK_H_
