#ifndef TOOLS_BENCH_SIMULATION_H_
#define TOOLS_BENCH_SIMULATION_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "src/core/units.h"
#include "tools/bench/deployment.h"
#include "tools/bench/fault.h"
#include "tools/bench/figures.h"

namespace marigold {

struct BenchRun {
  const Deployment* deployment = nullptr;
  std::string_view policy;
  FaultSet faults;
  // Ratio of the offered work to the capacity of all servers.
  Fraction load;
  std::uint64_t seed = 1;
};

std::vector<std::string_view> PolicyNames();

// Runs one benchmark in virtual time. `run.policy` must be one of
// `PolicyNames`.
Figures RunBench(const BenchRun& run);

}  // namespace marigold

#endif  // TOOLS_BENCH_SIMULATION_H_
