#ifndef TOOLS_STANDIN_SNAPSHOT_SCHEDULE_H_
#define TOOLS_STANDIN_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"

namespace marigold {

// A snapshot of a service and the number of its shards.
struct SnapshotLayout {
  SnapshotId snapshot;
  std::uint64_t shards = 1;

  bool operator==(const SnapshotLayout&) const = default;
};

// The snapshots of one service, in the order of their publication. Takes no
// lock: the caller synchronises access.
class SnapshotSchedule {
 public:
  // Starts with snapshot 1, which every server holds from the start.
  explicit SnapshotSchedule(std::uint64_t shards);

  // Commands.

  // Publishes the next snapshot with the same number of shards.
  void Advance(MonotonicTime now);

  // Publishes the next snapshot with another number of shards.
  void Repartition(MonotonicTime now, std::uint64_t shards);

  // Queries.

  // Returns the snapshots that a server holds at `now` if it loads each one
  // `delay` after its publication and keeps the last two. Returns one or two,
  // oldest first.
  std::vector<SnapshotLayout> HeldSnapshots(MonotonicTime now,
                                            Duration delay) const;

  SnapshotLayout newest() const { return this->published.back().layout; }

 private:
  struct Published {
    SnapshotLayout layout;
    MonotonicTime published_at;
  };

  std::vector<Published> published;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_SNAPSHOT_SCHEDULE_H_
