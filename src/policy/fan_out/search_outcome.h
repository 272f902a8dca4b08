#ifndef SRC_POLICY_FAN_OUT_SEARCH_OUTCOME_H_
#define SRC_POLICY_FAN_OUT_SEARCH_OUTCOME_H_

#include <cstddef>

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/forward_types.h"

namespace marigold {

// The targets of a request by their state.
struct TargetCounts {
  std::size_t total = 0;
  std::size_t answered = 0;
  // Targets that have not answered and that no send in progress can answer.
  std::size_t exhausted = 0;
};

// True if the minimum coverage can still be reached without `lost` of `total`
// targets.
bool CanReachCoverage(std::size_t total,
                      std::size_t lost,
                      double minimum_coverage);

// True if enough targets have an available server to reach the minimum
// coverage. Sends to the other targets would otherwise be useless.
bool HasReachableCoverage(const BackendDirectory& directory,
                          MonotonicTime now,
                          const ForwardPlan& plan);

// Returns how long a caller should wait whose request did not run at `now`:
// until enough targets for the minimum coverage have a server that is not
// paused, within fixed bounds.
Duration RetryDelay(const BackendDirectory& directory,
                    MonotonicTime now,
                    const ForwardPlan& plan);

// Returns how a request ends at `now`, or `kRunning` if it goes on.
// `may_have_run` states whether a server may have run it.
ForwardState DecideState(const ForwardPlan& plan,
                         const TargetCounts& counts,
                         MonotonicTime now,
                         bool may_have_run);

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_SEARCH_OUTCOME_H_
