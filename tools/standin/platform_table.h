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

// The state that all searchers share: the platform's VM list and the snapshots
// of every service. Safe to use from several threads.
class PlatformTable {
 public:
  explicit PlatformTable(const std::vector<SearcherPlace>& places);

  // Commands.

  // Changes the VM list, which shows the change after its lag. Ignores unknown
  // servers.
  void SetPresence(MonotonicTime now,
                   const BackendServerId& server,
                   Presence presence);

  // Sets the time after which the VM list shows a change.
  void SetListLag(Duration lag);

  // Publishes the next snapshot of a service and returns it. It has `shards`
  // shards, or as many as the last one if `shards` is absent. Returns nothing
  // if the service is unknown.
  std::optional<SnapshotLayout> Publish(MonotonicTime now,
                                        const ServiceId& service,
                                        std::optional<std::uint64_t> shards);

  // Queries.

  // Returns the VM list as the platform shows it at `now`.
  PlatformVmList ListAt(MonotonicTime now) const;

  // Returns the snapshots that a server holds if it loads each one `delay`
  // after its publication: one or two, oldest first. The service has to be
  // known.
  std::vector<SnapshotLayout> HeldSnapshots(MonotonicTime now,
                                            const ServiceId& service,
                                            Duration delay) const;

  // Returns the newest published snapshot of every service.
  std::map<ServiceId, SnapshotLayout> NewestSnapshots() const;

 private:
  mutable RankedMutex<LockRank::kStandinPlatform> mutex;
  PlatformView view;
  std::map<ServiceId, SnapshotSchedule> schedules;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_PLATFORM_TABLE_H_
