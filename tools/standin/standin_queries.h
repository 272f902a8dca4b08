#ifndef TOOLS_STANDIN_STANDIN_QUERIES_H_
#define TOOLS_STANDIN_STANDIN_QUERIES_H_

#include <string>

#include "src/core/units.h"
#include "tools/standin/standin_system.h"

namespace marigold {

// The platform's VM list as it shows now.
PlatformVmList ReadVms(MonotonicTime now, const StandinSystem& system);

// The body of `GET /v1/actions`: every execution of an action.
std::string ReadActions(const StandinSystem& system);

// The body of `GET /v1/servers`: place, state and counters of every server.
std::string ReadServers(MonotonicTime now, const StandinSystem& system);

// The body of `GET /v1/counters`: the sums of the servers' counters, in all and
// by service.
std::string ReadCounters(const StandinSystem& system);

// The body of `GET /v1/snapshots`: the newest snapshot of every service.
std::string ReadSnapshots(const StandinSystem& system);

}  // namespace marigold

#endif  // TOOLS_STANDIN_STANDIN_QUERIES_H_
