#ifndef TOOLS_SOAK_SCENARIO_H_
#define TOOLS_SOAK_SCENARIO_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "tools/soak/planted_bug.h"

namespace marigold {

// The result of one seed of one scenario.
struct RunResult {
  // The kinds of faults that the run injected, separated by commas.
  std::string faults;
  std::vector<std::string> violations;
  // Amount of work done in the run. A run without any work verifies nothing.
  std::uint64_t accepted_edits = 0;
  std::uint64_t actions_run = 0;
  std::uint64_t searches = 0;
};

// A named set of faults that is injected in virtual time.
struct Scenario {
  std::string name;
  std::string summary;
  std::function<RunResult(std::uint64_t seed, PlantedBug planted_bug)> run;
};

const std::vector<Scenario>& Scenarios();

// Returns null for an unknown name.
const Scenario* FindScenario(std::string_view name);

}  // namespace marigold

#endif  // TOOLS_SOAK_SCENARIO_H_
