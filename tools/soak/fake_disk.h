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

// A replica's disk in memory. Writes since the last sync are lost, kept or torn
// by a crash, as the random source says. Satisfies `ReplicaStorage`.
class FakeDisk {
 public:
  FakeDisk(DiskId id, PlantedBug bug_to_plant);

  Result<StoredState> Load();
  Result<void> Append(const std::vector<LogEntry>& entries);
  Result<void> TruncateFrom(LogIndex index);
  Result<void> SaveHardState(const HardState& hard_state);
  Result<void> SaveSnapshot(const StateSnapshot& snapshot);
  Result<void> Sync();

  // Makes the `writes`-th write from now on fail, as a process that is killed
  // in the middle of it would leave it.
  void CrashAfter(std::uint64_t writes);
  void DisarmCrash() { this->writes_until_crash.reset(); }

  // True once an armed crash has happened.
  bool has_crashed() const { return this->crashed; }

  // What a crash leaves: a prefix of the unsynced writes, of random length.
  void LoseUnsynced(SeededRandom& random);

  // What the disk holds durably, for a later restore.
  StoredState Copy() const { return this->durable; }

  // Replaces the content by an older copy.
  void RestoreCopy(const StoredState& copy);

  const DiskId& id() const { return this->durable.disk; }

 private:
  using Write = std::function<void(StoredState&)>;

  // Counts down an armed crash; fails once it has happened.
  Result<void> CountWrite();
  Result<void> AddWrite(Write write);

  StoredState durable;
  std::vector<Write> unsynced;
  std::optional<std::uint64_t> writes_until_crash;
  bool crashed = false;
  PlantedBug planted_bug;
};

static_assert(ReplicaStorage<FakeDisk>);

}  // namespace marigold

#endif  // TOOLS_SOAK_FAKE_DISK_H_
