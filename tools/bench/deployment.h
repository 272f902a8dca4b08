#ifndef TOOLS_BENCH_DEPLOYMENT_H_
#define TOOLS_BENCH_DEPLOYMENT_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// The parameters of one deployment in the benchmark, which simulates the
// service with the widest fan-out and one of its entry VMs.
struct Deployment {
  std::string_view name;
  std::string_view service;
  std::uint32_t shards = 1;
  // Number of replicas of each shard that one entry VM uses.
  std::uint32_t replicas = 1;
  std::uint32_t slots = 1;
  std::uint32_t connection_limit = 1;
  Duration connect_time{};
  std::uint32_t data_centres = 1;
  // One-way network delay between two data centres, in addition to the delay
  // within one.
  Duration cross_data_centre_delay{};
  // Number of entry VMs that share each backend server.
  std::uint32_t entry_vms = 1;
  // Mean time that a sub-request occupies a slot on a warmed-up server.
  Duration service_time{};
  Preference preference = Preference::kCoverage;
  Duration deadline{};
  Fraction minimum_coverage;
  // Virtual time after the warm-up during which the benchmark measures.
  Duration measured_time{};
};

std::span<const Deployment> Deployments();

// Returns null for an unknown name.
const Deployment* FindDeployment(std::string_view name);

}  // namespace marigold

#endif  // TOOLS_BENCH_DEPLOYMENT_H_
