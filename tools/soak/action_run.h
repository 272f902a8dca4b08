#ifndef TOOLS_SOAK_ACTION_RUN_H_
#define TOOLS_SOAK_ACTION_RUN_H_

#include <cstdint>

#include "tools/soak/scenario.h"

namespace marigold {

// Runs paid actions and resends each of them up to three times through random
// entry VMs. Meanwhile entry VMs restart, backend servers refuse actions and
// lose connections, and the control group is subject to one kind of fault,
// which the seed selects.
RunResult RunActions(std::uint64_t seed, PlantedBug planted_bug);

}  // namespace marigold

#endif  // TOOLS_SOAK_ACTION_RUN_H_
