#ifndef TOOLS_STANDIN_TOPOLOGY_H_
#define TOOLS_STANDIN_TOPOLOGY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/server_view.h"

namespace marigold {

// The size of one service of a deployment. docs/design.md section 1.5 explains
// the sizes.
struct ServiceShape {
  ServiceId service;
  // The number of instances, which is also the number of shards at the start. A
  // service that is not sharded has one, which every searcher holds.
  std::uint32_t instances = 1;
  // The number of searchers of each instance.
  std::uint32_t replicas = 1;
  // The number of requests that a searcher runs at the same time.
  std::uint32_t slots = 1;
  // The maximum number of open connections of a searcher.
  std::uint32_t connection_limit = 1;
  // The time until a new connection serves its first request.
  Duration connect_time{};
};

// The services and the data centres of one simulated installation.
struct Deployment {
  std::string name;
  std::vector<DataCentreId> data_centres;
  std::vector<ServiceShape> services;
};

// One searcher and its position in its service.
struct SearcherPlace {
  ServerRecord record;
  ServiceShape shape;
  // From 0 to below `shape.instances`.
  std::uint32_t instance = 0;
};

// The listening addresses of searchers. `prefix` is the first two bytes of
// their IPv4 addresses.
struct AddressPlan {
  std::string prefix = "127.1";
  std::uint16_t port = 7000;
};

// Returns the names that `FindDeployment` accepts.
std::vector<std::string> DeploymentNames();

// Returns nothing if the name is unknown.
std::optional<Deployment> FindDeployment(std::string_view name);

// Removes all other services from `deployment`, or none if `names` is empty.
// Returns false and changes nothing if a name is unknown.
bool KeepServices(const std::vector<std::string>& names,
                  Deployment& deployment);

// Returns all searchers of a deployment, each with its own address. The
// replicas of an instance are in different data centres if there are enough of
// them.
std::vector<SearcherPlace> PlaceSearchers(const Deployment& deployment,
                                          const AddressPlan& plan);

// Returns the shards that instance number `instance` of `instances` holds if
// the service has `shards` shards, in ascending order. This is empty if there
// are more instances than shards and none is left for the instance.
std::vector<ShardId> ShardsOfInstance(std::uint32_t instance,
                                      std::uint32_t instances,
                                      std::uint64_t shards);

}  // namespace marigold

#endif  // TOOLS_STANDIN_TOPOLOGY_H_
