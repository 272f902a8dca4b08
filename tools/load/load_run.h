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
  // The number of requests with the same key for each action.
  std::uint32_t action_sends = 2;
};

struct LoadReport {
  Metrics metrics;
  // The first violations, one line each. The metric "violations" counts all of
  // them.
  std::vector<std::string> violations;
};

// Send the load and check every response. Both block until all requests have
// ended, and count it as a violation if some do not end in time. `RunActions`
// compares the outcomes with the stand-in's record of executions, so
// `targets.standin` has to be set. If the record can't be read, this counts as
// a violation.
LoadReport RunSearches(WorkerPool& pool, const LoadRunSettings& settings);
LoadReport RunActions(WorkerPool& pool, const LoadRunSettings& settings);

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_RUN_H_
