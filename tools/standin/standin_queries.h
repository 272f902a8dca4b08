#ifndef TOOLS_STANDIN_STANDIN_QUERIES_H_
#define TOOLS_STANDIN_STANDIN_QUERIES_H_

#include <string>

#include "src/core/units.h"
#include "tools/standin/standin_system.h"

namespace marigold {

// Returns the VM list as the platform shows it at `now`.
PlatformVmList ReadVms(MonotonicTime now, const StandinSystem& system);

// Returns the body of `GET /v1/actions`: every execution of an action.
std::string ReadActions(const StandinSystem& system);

// Returns the body of `GET /v1/servers`: location, state and counters of every
// server.
std::string ReadServers(MonotonicTime now, const StandinSystem& system);

// Returns the body of `GET /v1/counters`: the sums of the servers' counters,
// over all servers and for each service.
std::string ReadCounters(const StandinSystem& system);

// Returns the body of `GET /v1/snapshots`: the newest snapshot of every
// service.
std::string ReadSnapshots(const StandinSystem& system);

}  // namespace marigold

#endif  // TOOLS_STANDIN_STANDIN_QUERIES_H_
