#ifndef SRC_NET_LISTING_FLEET_MONITOR_H_
#define SRC_NET_LISTING_FLEET_MONITOR_H_

#include <memory>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/backends/backend_client.h"
#include "src/net/worker_pool.h"
#include "src/policy/status_schedule.h"
#include "src/tables/server_table.h"

namespace marigold {

struct FleetMonitorSettings {
  Endpoint platform;
  // Between two reads of the platform's VM list.
  Duration list_interval = std::chrono::seconds(1);
  StatusScheduleSettings status;
};

// Keeps the server table up to date from the platform's VM list and from the
// backend servers' own status, and tells the pools which servers they serve. A
// server that can't be reached is looked for by its pool.
class FleetMonitor {
 public:
  FleetMonitor(WorkerPool& worker_pool,
               BackendClient& backend_client,
               ServerTable& server_table,
               FleetMonitorSettings monitor_settings);
  ~FleetMonitor();

  FleetMonitor(const FleetMonitor&) = delete;
  FleetMonitor& operator=(const FleetMonitor&) = delete;

  void Start();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_LISTING_FLEET_MONITOR_H_
