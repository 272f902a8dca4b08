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
  // Time between the end of one read of the platform's VM list and the next
  // read.
  Duration list_interval = std::chrono::seconds(1);
  StatusScheduleSettings status;
};

// Keeps the server table up to date from the platform's VM list and from the
// status of the backend servers, and adds and removes the connection pools of
// servers. The pool of an unreachable server keeps trying to reconnect to it.
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
