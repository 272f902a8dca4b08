#ifndef TOOLS_SOAK_CONTROL_RUN_H_
#define TOOLS_SOAK_CONTROL_RUN_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "tools/soak/control_faults.h"
#include "tools/soak/scenario.h"

namespace marigold {

// Runs the control group, its operators and its entry VMs under the given
// faults and then without faults. Checks that the group has a leader and that
// all entry VMs have the accepted lists at the end.
RunResult RunControlGroup(std::uint64_t seed,
                          PlantedBug planted_bug,
                          const std::vector<const ControlFault*>& faults);

// Does the same with additional actors, which `add_actors` starts.
RunResult RunControlGroupWith(
    std::uint64_t seed,
    PlantedBug planted_bug,
    const std::vector<const ControlFault*>& faults,
    const std::function<void(ControlGroupSimulation&)>& add_actors);

// Returns the kinds of faults that may be injected together with any other.
std::vector<const ControlFault*> CombinableFaults();

// Runs the control group under two different kinds of faults, which the seed
// selects.
RunResult RunFaultPair(std::uint64_t seed, PlantedBug planted_bug);

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_RUN_H_
