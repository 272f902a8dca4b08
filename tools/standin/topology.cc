#include "tools/standin/topology.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace marigold {

namespace {

struct ServiceRow {
  std::string_view deployment;
  std::string_view service;
  std::uint32_t instances;
  std::uint32_t replicas;
  std::uint32_t slots;
  std::uint32_t connection_limit;
  std::uint32_t connect_ms;
};

// "target-slice" has the shards to which one query of the target size in two
// years fans out.
constexpr auto kServiceRows = std::to_array<ServiceRow>({
    {"kompostera", "lookup", 10, 3, 3, 65, 6},
    {"kompostera", "billing", 15, 3, 3, 65, 6},
    {"kompostera", "renewal", 1, 10, 4, 230, 1},
    {"kompostera", "route", 1, 5, 4, 230, 1},
    {"hollabrunn", "planner", 10, 3, 2, 55, 6},
    {"hollabrunn", "portal", 15, 3, 2, 55, 6},
    {"hollabrunn", "collection", 1, 5, 6, 100, 1},
    {"hollabrunn", "invoicing", 1, 3, 6, 100, 1},
    {"small", "lookup", 4, 3, 3, 65, 6},
    {"small", "invoicing", 1, 3, 6, 100, 1},
    {"target-slice", "lookup", 190, 3, 3, 65, 6},
});

struct DeploymentRow {
  std::string_view name;
  std::string_view data_centre_prefix;
  std::uint32_t data_centres;
};

constexpr auto kDeploymentRows = std::to_array<DeploymentRow>({
    {"kompostera", "sk-central-", 4},
    {"hollabrunn", "weinviertel-", 3},
    {"small", "dc", 3},
    {"target-slice", "dc", 3},
});

// Last bytes 0 and 255 are not used, because such addresses look like network
// and broadcast addresses.
constexpr std::size_t kHostsPerThirdByte = 250;

Endpoint EndpointOf(const AddressPlan& plan, std::size_t number) {
  return {fmt::format("{}.{}.{}", plan.prefix, number / kHostsPerThirdByte,
                      number % kHostsPerThirdByte + 1),
          plan.port};
}

}  // namespace

std::vector<std::string> DeploymentNames() {
  std::vector<std::string> names;
  names.reserve(kDeploymentRows.size());
  for (const DeploymentRow& row : kDeploymentRows) {
    names.emplace_back(row.name);
  }
  return names;
}

std::optional<Deployment> FindDeployment(std::string_view name) {
  const auto* row = std::find_if(
      kDeploymentRows.begin(), kDeploymentRows.end(),
      [name](const DeploymentRow& item) { return item.name == name; });
  if (row == kDeploymentRows.end()) {
    return std::nullopt;
  }
  Deployment deployment;
  deployment.name = std::string(name);
  for (std::uint32_t i = 1; i <= row->data_centres; ++i) {
    deployment.data_centres.emplace_back(
        fmt::format("{}{}", row->data_centre_prefix, i));
  }
  for (const ServiceRow& service : kServiceRows) {
    if (service.deployment == name) {
      deployment.services.push_back(
          {ServiceId(std::string(service.service)), service.instances,
           service.replicas, service.slots, service.connection_limit,
           std::chrono::milliseconds(service.connect_ms)});
    }
  }
  return deployment;
}

bool KeepServices(const std::vector<std::string>& names,
                  Deployment& deployment) {
  if (names.empty()) {
    return true;
  }
  std::vector<ServiceShape> kept_services;
  for (const std::string& name : names) {
    const auto found =
        std::find_if(deployment.services.begin(), deployment.services.end(),
                     [&](const ServiceShape& shape) {
                       return shape.service.value() == name;
                     });
    if (found == deployment.services.end()) {
      return false;
    }
    kept_services.push_back(*found);
  }
  deployment.services = std::move(kept_services);
  return true;
}

std::vector<SearcherPlace> PlaceSearchers(const Deployment& deployment,
                                          const AddressPlan& plan) {
  std::vector<SearcherPlace> places;
  const std::size_t data_centre_count = deployment.data_centres.size();
  for (const ServiceShape& shape : deployment.services) {
    for (std::uint32_t instance = 0; instance < shape.instances; ++instance) {
      for (std::uint32_t replica = 0; replica < shape.replicas; ++replica) {
        SearcherPlace place;
        place.shape = shape;
        place.instance = instance;
        place.record.server = BackendServerId(
            fmt::format("{}-{}-{}", shape.service.value(), instance, replica));
        place.record.endpoint = EndpointOf(plan, places.size());
        place.record.service = shape.service;
        place.record.data_centre =
            deployment.data_centres[(instance + replica) % data_centre_count];
        places.push_back(std::move(place));
      }
    }
  }
  return places;
}

std::vector<ShardId> ShardsOfInstance(std::uint32_t instance,
                                      std::uint32_t instances,
                                      std::uint64_t shards) {
  std::vector<ShardId> shards_held;
  for (std::uint64_t shard = instance; shard < shards; shard += instances) {
    shards_held.emplace_back(shard);
  }
  return shards_held;
}

}  // namespace marigold
