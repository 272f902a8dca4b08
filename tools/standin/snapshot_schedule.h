#ifndef TOOLS_STANDIN_SNAPSHOT_SCHEDULE_H_
#define TOOLS_STANDIN_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"

namespace marigold {

// A snapshot of a service and the number of shards that it is cut into.
struct SnapshotLayout {
  SnapshotId snapshot;
  std::uint64_t shards = 1;

  bool operator==(const SnapshotLayout&) const = default;
};

// The snapshots of one service in the order of their publication.
class SnapshotSchedule {
 public:
  // Begins with snapshot 1, which every server holds from the start.
  explicit SnapshotSchedule(std::uint64_t shards);

  // Commands.

  // Publishes the next snapshot with the same number of shards.
  void Advance(MonotonicTime now);

  // Publishes the next snapshot with another number of shards.
  void Repartition(MonotonicTime now, std::uint64_t shards);

  // Queries.

  // The last two snapshots, oldest first, of a server that takes each one
  // `delay` after its publication.
  std::vector<SnapshotLayout> HeldSnapshots(MonotonicTime now,
                                            Duration delay) const;

  SnapshotLayout newest() const { return this->published.back().layout; }

 private:
  struct Published {
    SnapshotLayout layout;
    MonotonicTime at;
  };

  std::vector<Published> published;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_SNAPSHOT_SCHEDULE_H_
