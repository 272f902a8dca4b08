#ifndef TOOLS_BENCH_DEPLOYMENT_H_
#define TOOLS_BENCH_DEPLOYMENT_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// The sizes of one deployment as the benchmark runs it: the service with the
// widest fan-out, and one entry VM before it.
struct Deployment {
  std::string_view name;
  std::string_view service;
  std::uint32_t shards = 1;
  // Replicas of each shard that one entry VM uses.
  std::uint32_t replicas = 1;
  std::uint32_t slots = 1;
  std::uint32_t connection_limit = 1;
  Duration connect_time{};
  std::uint32_t data_centres = 1;
  // One way.
  Duration cross_data_centre_delay{};
  // Entry VMs that share each backend server.
  std::uint32_t entry_vms = 1;
  // Mean time in a slot on a warm server.
  Duration service_time{};
  Preference preference = Preference::kCoverage;
  Duration deadline{};
  Fraction minimum_coverage;
  // Virtual time that is measured, after the warm-up.
  Duration measured_time{};
};

std::span<const Deployment> Deployments();

// Null for an unknown name.
const Deployment* FindDeployment(std::string_view name);

}  // namespace marigold

#endif  // TOOLS_BENCH_DEPLOYMENT_H_
