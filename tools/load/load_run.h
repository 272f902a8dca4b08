#ifndef TOOLS_LOAD_LOAD_RUN_H_
#define TOOLS_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/net/worker_pool.h"
#include "tools/load/balancer.h"
#include "tools/load/load_request.h"
#include "tools/load/load_runner.h"
#include "tools/load/metrics.h"
#include "tools/load/observers.h"

namespace marigold {

struct LoadRunSettings {
  BalancerSettings balancer;
  RequestPlan requests;
  LoadPace pace;
  ObservationTargets targets;
  // Requests for each action.
  std::uint32_t action_sends = 2;
};

struct LoadReport {
  Metrics metrics;
  std::vector<std::string> violations;
};

// Run a load and check every response. Both block until all requests have
// ended. Actions are judged by the stand-in's record, which has to be
// reachable.
LoadReport RunSearches(WorkerPool& pool, const LoadRunSettings& settings);
LoadReport RunActions(WorkerPool& pool, const LoadRunSettings& settings);

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_RUN_H_
