#ifndef SRC_POLICY_COMPACTION_SCHEDULE_H_
#define SRC_POLICY_COMPACTION_SCHEDULE_H_

#include <cstdint>

#include "src/core/random.h"

namespace marigold {

struct CompactionSettings {
  // The minimum number of entries applied between two snapshots.
  std::uint64_t entries = 8'192;
  // A snapshot is due after this many bytes of applied entries, whatever their
  // number. It bounds the memory and the disk space that the log takes.
  std::uint64_t bytes = 8 * 1024 * 1024;
};

// Decides when a member of a replicated group replaces its log by a snapshot.
//
// A snapshot is as large as the whole state, so none is due until as many bytes
// have been applied as the last one had. Both limits are raised by a random
// part of up to their own size, which differs between members. Without it, all
// members would write a snapshot after the same entry and stall at the same
// time, and the group would lose its leader.
class CompactionSchedule {
 public:
  CompactionSchedule(const CompactionSettings& compaction_settings,
                     std::uint64_t seed)
      : settings(compaction_settings), random(seed) {
    this->DrawLimits();
  }

  // Commands.

  // An entry with this many bytes was applied.
  void OnApplied(std::uint64_t bytes) {
    ++this->applied_entries;
    this->applied_bytes += bytes;
  }

  // A snapshot of this size covers all entries that were applied so far.
  void OnSnapshot(std::uint64_t bytes) {
    this->applied_entries = 0;
    this->applied_bytes = 0;
    this->snapshot_bytes = bytes;
    this->DrawLimits();
  }

  // Queries.

  bool IsDue() const {
    const bool has_enough_entries =
        this->applied_entries >= this->settings.entries + this->extra_entries;
    const bool has_enough_bytes =
        this->applied_bytes >= this->settings.bytes + this->extra_bytes;
    return (has_enough_entries || has_enough_bytes) &&
           this->applied_bytes >= this->snapshot_bytes;
  }

 private:
  void DrawLimits() {
    this->extra_entries = this->random.NextBelow(this->settings.entries);
    this->extra_bytes = this->random.NextBelow(this->settings.bytes);
  }

  CompactionSettings settings;
  SeededRandom random;
  std::uint64_t extra_entries = 0;
  std::uint64_t extra_bytes = 0;
  // Applied since the last snapshot.
  std::uint64_t applied_entries = 0;
  std::uint64_t applied_bytes = 0;
  std::uint64_t snapshot_bytes = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_COMPACTION_SCHEDULE_H_
