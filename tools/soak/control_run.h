#ifndef TOOLS_SOAK_CONTROL_RUN_H_
#define TOOLS_SOAK_CONTROL_RUN_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "tools/soak/control_faults.h"
#include "tools/soak/scenario.h"

namespace marigold {

// Runs the control group, its operators and entry VMs under the given faults,
// then without faults, and checks that all converge.
RunResult RunControlGroup(std::uint64_t seed,
                          PlantedBug planted_bug,
                          const std::vector<const ControlFault*>& faults);

// As `RunControlGroup`, with further actors that `add_actors` starts.
RunResult RunControlGroupWith(
    std::uint64_t seed,
    PlantedBug planted_bug,
    const std::vector<const ControlFault*>& faults,
    const std::function<void(ControlGroupSimulation&)>& add_actors);

// The kinds of faults that may happen together with any other.
std::vector<const ControlFault*> CombinableFaults();

// Runs two different kinds of faults that the seed picks.
RunResult RunFaultPair(std::uint64_t seed, PlantedBug planted_bug);

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_RUN_H_
