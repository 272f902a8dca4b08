#ifndef TOOLS_STANDIN_PLATFORM_TABLE_H_
#define TOOLS_STANDIN_PLATFORM_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "tools/standin/platform_view.h"
#include "tools/standin/snapshot_schedule.h"
#include "tools/standin/topology.h"

namespace marigold {

// What all searchers share: the platform's VM list and the snapshots of every
// service.
class PlatformTable {
 public:
  explicit PlatformTable(const std::vector<SearcherPlace>& places);

  // Commands.

  void SetPresence(MonotonicTime now,
                   const BackendServerId& server,
                   Presence presence);
  void SetListLag(Duration lag);

  // Publishes the next snapshot of a service, cut into `shards` shards if that
  // is given. Gives the snapshot, or nothing for an unknown service.
  std::optional<SnapshotLayout> Publish(MonotonicTime now,
                                        const ServiceId& service,
                                        std::optional<std::uint64_t> shards);

  // Queries.

  PlatformVmList ListAt(MonotonicTime now) const;

  // Oldest first; at least one.
  std::vector<SnapshotLayout> HeldSnapshots(MonotonicTime now,
                                            const ServiceId& service,
                                            Duration delay) const;

  std::map<ServiceId, SnapshotLayout> NewestSnapshots() const;

 private:
  mutable RankedMutex<LockRank::kStandinPlatform> mutex;
  PlatformView view;
  std::map<ServiceId, SnapshotSchedule> schedules;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_PLATFORM_TABLE_H_
