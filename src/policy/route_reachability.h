#ifndef SRC_POLICY_ROUTE_REACHABILITY_H_
#define SRC_POLICY_ROUTE_REACHABILITY_H_

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/routes.h"

namespace marigold {

// True if some fan-out route of the table has listed servers, of which too few
// can be reached for an answer.
bool HasUnservableRoute(const BackendDirectory& directory,
                        MonotonicTime now,
                        const RouteTable& table);

}  // namespace marigold

#endif  // SRC_POLICY_ROUTE_REACHABILITY_H_
