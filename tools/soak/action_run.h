#ifndef TOOLS_SOAK_ACTION_RUN_H_
#define TOOLS_SOAK_ACTION_RUN_H_

#include <cstdint>

#include "tools/soak/scenario.h"

namespace marigold {

// Runs paid actions, each sent several times through several entry VMs, while
// entry VMs restart, backend servers refuse and lose connections, and one kind
// of fault that the seed picks hits the control group.
RunResult RunActions(std::uint64_t seed, PlantedBug planted_bug);

}  // namespace marigold

#endif  // TOOLS_SOAK_ACTION_RUN_H_
