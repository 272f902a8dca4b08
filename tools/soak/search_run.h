#ifndef TOOLS_SOAK_SEARCH_RUN_H_
#define TOOLS_SOAK_SEARCH_RUN_H_

#include <cstdint>

#include "tools/soak/scenario.h"

namespace marigold {

// Runs searches with the production handler while servers load new snapshots,
// shards are repartitioned, and servers crash, drain, leave, shed requests,
// lose connections and answer late.
RunResult RunSearches(std::uint64_t seed, PlantedBug planted_bug);

}  // namespace marigold

#endif  // TOOLS_SOAK_SEARCH_RUN_H_
