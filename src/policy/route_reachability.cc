#include "src/policy/route_reachability.h"

#include <algorithm>

namespace marigold {

namespace {

bool IsUnservable(const BackendDirectory& directory,
                  MonotonicTime now,
                  const FanOut& fan_out) {
  const auto reachable_count =
      std::count_if(fan_out.shards.begin(), fan_out.shards.end(),
                    [&](const ServiceId& shard) {
                      return directory.HasAnsweringServer(now, shard) ||
                             directory.IsWhollyEvacuated(shard);
                    });
  const auto shard_count = static_cast<double>(fan_out.shards.size());
  return static_cast<double>(reachable_count) <
         fan_out.minimum_coverage * shard_count;
}

}  // namespace

bool HasUnservableRoute(const BackendDirectory& directory,
                        MonotonicTime now,
                        const RouteTable& table) {
  return std::any_of(
      table.routes.begin(), table.routes.end(), [&](const Route& route) {
        return route.fan_out && IsUnservable(directory, now, *route.fan_out);
      });
}

}  // namespace marigold
