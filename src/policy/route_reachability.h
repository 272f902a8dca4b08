#ifndef SRC_POLICY_ROUTE_REACHABILITY_H_
#define SRC_POLICY_ROUTE_REACHABILITY_H_

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/routes.h"

namespace marigold {

// True if the table has a fan-out route whose minimum coverage cannot be
// reached because too few of its shards have an answering server. A shard whose
// servers are all in evacuated data centres counts as reachable: no entry VM
// can query it, so that sending callers elsewhere would not help them.
bool HasUnservableRoute(const BackendDirectory& directory,
                        MonotonicTime now,
                        const RouteTable& table);

}  // namespace marigold

#endif  // SRC_POLICY_ROUTE_REACHABILITY_H_
