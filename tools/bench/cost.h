#ifndef TOOLS_BENCH_COST_H_
#define TOOLS_BENCH_COST_H_

#include <cstdint>

#include "tools/bench/deployment.h"

namespace marigold {

struct DecisionCost {
  std::uint64_t sub_requests = 0;
  // Time in nanoseconds that the decisions for one sub-request take: its share
  // of the start of the search, the dispatch, the reply and the merge.
  double ns_per_sub_request = 0;
  // Time in microseconds that all decisions of the slowest search take.
  double longest_search_us = 0;
};

// Measures the real time of searches that run without faults and without
// waiting for replies.
DecisionCost MeasureDecisionCost(const Deployment& deployment);

}  // namespace marigold

#endif  // TOOLS_BENCH_COST_H_
