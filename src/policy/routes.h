#ifndef SRC_POLICY_ROUTES_H_
#define SRC_POLICY_ROUTES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/customers.h"

namespace marigold {

// One service of a route. `weight` is its share of the route's requests
// relative to the other services of the route.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->weight);
  }
};

// A query that is sent to one backend server of each shard. Each shard is a
// service of its own.
struct FanOut {
  std::vector<ServiceId> shards;
  // The maximum number of records in the merged answer. It contains the
  // greatest records of all shards.
  std::uint32_t top_records = 0;
  // The minimum fraction of the shards that must answer. If fewer answer, the
  // request fails.
  double minimum_coverage = 1;

  bool operator==(const FanOut&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shards, this->top_records, this->minimum_coverage);
  }
};

// Describes how to handle the requests whose host is `host` and whose path
// starts with `path_prefix`. The longest matching prefix wins.
struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;
  // True if a request may run more than once.
  bool is_idempotent = false;
  // The maximum duration of a request. A caller may ask for a shorter one.
  Duration time_limit{};
  // The latency that an answer should not exceed. A lower latency has no
  // further benefit.
  Duration target_latency{};
  // The maximum number of backend servers that may run one request. For a
  // fan-out this applies to each shard.
  std::uint32_t max_attempts = 1;
  // The priority of the route's requests. 0 is the highest.
  std::uint32_t priority = 0;
  // True if a request needs no API key.
  bool is_public = false;
  // The services of the route. Empty for a fan-out.
  std::vector<WeightedService> services;
  std::optional<FanOut> fan_out;

  bool operator==(const Route&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->host, this->path_prefix, this->is_idempotent,
            this->time_limit, this->target_latency, this->max_attempts,
            this->priority, this->is_public, this->services, this->fan_out);
  }
};

// A service that routes refer to.
struct RoutedService {
  ServiceId service;
  std::string health_path;
  // The number of connections that one backend server accepts from all callers
  // together, or 0 if it is unknown.
  std::uint32_t connection_limit = 0;
  // How long a backend server is cold after its start.
  Duration cold_time{};
  // The requests per second that a cold backend server can handle, from all
  // entry VMs together; 0 if there is no limit.
  RatePerSecond cold_rate{};

  bool operator==(const RoutedService&) const = default;

  template <class Archive>
  void save(Archive& archive) const {
    archive(this->service, this->health_path, this->connection_limit,
            this->cold_time, this->cold_rate.value());
  }

  template <class Archive>
  void load(Archive& archive) {
    double requests_per_second = 0;
    archive(this->service, this->health_path, this->connection_limit,
            this->cold_time, requests_per_second);
    this->cold_rate = RatePerSecond(requests_per_second);
  }
};

// Limits on the size of a caller's request, on the time to receive its header
// and on the idle time of its connection.
struct CallerLimits {
  std::uint64_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 256 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->header_bytes, this->body_bytes, this->header_timeout,
            this->idle_timeout);
  }
};

// All routes of one configuration version. A table always takes effect as a
// whole.
struct RouteTable {
  RouteVersion version;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // The customers, whose requests carry an API key. If absent, requests need no
  // key.
  std::optional<std::vector<RoutedCustomer>> customers;

  bool operator==(const RouteTable&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->routes, this->services, this->limits,
            this->customers);
  }
};

// Validates a route table. Returns one message for each error, which names the
// invalid field. Returns an empty list for a valid table.
std::vector<std::string> ValidateRoutes(const RouteTable& table);

// Finds the route and the customer of a request. Immutable.
class RouteIndex {
 public:
  // `key_hash` hashes the API keys.
  RouteIndex(RouteTable route_table, const KeyedHash& key_hash);

  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  // Returns the route with the longest matching prefix, or null if none
  // matches. Only prefixes that end in a slash can match. Ignores a port in
  // `host` and a query string in `path`.
  const Route* Match(std::string_view host, std::string_view path) const;

  // Identifies the sender of a request to `route`. `key` is the API key that
  // the request carries, if any.
  Identification Identify(const Route& route,
                          const std::optional<ApiKey>& key) const;

  // The connection limit of a service, or 0 if it is unknown.
  std::uint32_t ConnectionLimit(const ServiceId& service) const;

  const RouteTable& table() const { return this->indexed_table; }

 private:
  using RoutesByPrefix = std::unordered_map<std::string_view, const Route*>;

  RouteTable indexed_table;
  std::unordered_map<std::string_view, RoutesByPrefix> routes_by_host;
  std::unordered_map<ServiceId, std::uint32_t> connection_limits;
  // Absent if requests need no key.
  std::optional<CustomerIndex> customers;
};

}  // namespace marigold

#endif  // SRC_POLICY_ROUTES_H_
