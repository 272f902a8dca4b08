#include "tools/bench/deployment.h"

#include <algorithm>

namespace marigold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Shards, replicas, slots, connections, data centres and entry VMs are those of
// docs/design.md sections 1.5 and 1.6. The service times are assumptions.
//
// In the target deployment each searcher gets 6,107 sub-requests/s. The assumed
// service time of 10 ms is the harder case: a latency below 340 ms is harder to
// keep with it than with today's few slots and service times below 1 ms. With
// that load 102 slots are 60% busy. Each of the 1,400 entry VMs uses 3 of the
// 29 replicas of a shard, so 142 entry VMs share a server.
constexpr Deployment kDeployments[] = {
    {.name = "kompostera",
     .service = "lookup",
     .shards = 10,
     .replicas = 3,
     .slots = 3,
     .connection_limit = 65,
     .connect_time = milliseconds(6),
     .data_centres = 4,
     .cross_data_centre_delay = microseconds(500),
     .entry_vms = 16,
     .service_time = milliseconds(8),
     .preference = Preference::kTail,
     .deadline = seconds(1),
     .minimum_coverage = Fraction(0.9),
     .measured_time = seconds(900)},
    {.name = "hollabrunn",
     .service = "planner",
     .shards = 10,
     .replicas = 3,
     .slots = 2,
     .connection_limit = 55,
     .connect_time = milliseconds(6),
     .data_centres = 3,
     .cross_data_centre_delay = microseconds(1500),
     .entry_vms = 16,
     .service_time = milliseconds(12),
     .preference = Preference::kCoverage,
     .deadline = seconds(1),
     .minimum_coverage = Fraction(0),
     .measured_time = seconds(1800)},
    {.name = "target",
     .service = "lookup",
     .shards = 190,
     .replicas = 3,
     .slots = 102,
     .connection_limit = 284,
     .connect_time = milliseconds(6),
     .data_centres = 4,
     .cross_data_centre_delay = microseconds(1500),
     .entry_vms = 142,
     .service_time = milliseconds(10),
     .preference = Preference::kTail,
     .deadline = seconds(1),
     .minimum_coverage = Fraction(0.98),
     .measured_time = seconds(12)},
};

}  // namespace

std::span<const Deployment> Deployments() {
  return kDeployments;
}

const Deployment* FindDeployment(std::string_view name) {
  const auto* position =
      std::find_if(std::begin(kDeployments), std::end(kDeployments),
                   [name](const Deployment& row) { return row.name == name; });
  return position == std::end(kDeployments) ? nullptr : position;
}

}  // namespace marigold
