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

namespace marigold {

// One service of a route and its share of the route's requests relative to the
// other services of the route.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->weight);
  }
};

// A query that goes to one backend server of every shard. Each shard is a
// service of its own.
struct FanOut {
  std::vector<ServiceId> shards;
  // The merged answer has the greatest records, at most this many.
  std::uint32_t top_records = 0;
  // An answer from a smaller share of the shards is a failure.
  double minimum_coverage = 1;

  bool operator==(const FanOut&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shards, this->top_records, this->minimum_coverage);
  }
};

// What happens to the requests of one host whose path begins with `path_prefix`
// and with no longer prefix of another route.
struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;
  // A request may run more than once.
  bool is_idempotent = false;
  Duration time_limit{};
  // An answer within this time is as good as an immediate one.
  Duration target_latency{};
  // Backend servers that one request may be sent to; for a fan-out, of each
  // shard.
  std::uint32_t max_attempts = 1;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Empty for a fan-out.
  std::vector<WeightedService> services;
  std::optional<FanOut> fan_out;

  bool operator==(const Route&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->host, this->path_prefix, this->is_idempotent,
            this->time_limit, this->target_latency, this->max_attempts,
            this->priority, this->services, this->fan_out);
  }
};

struct RoutedService {
  ServiceId service;
  std::string health_path;
  // Connections that one backend server accepts from all callers together; 0
  // if unknown.
  std::uint32_t connection_limit = 0;

  bool operator==(const RoutedService&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->health_path, this->connection_limit);
  }
};

// What a caller may send, and how long it may take or stay idle.
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

// All routes under one version. Taken as a whole or not at all.
struct RouteTable {
  RouteVersion version;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;

  bool operator==(const RouteTable&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version, this->routes, this->services, this->limits);
  }
};

// Why a route table can't be in force; empty for a valid one. Each error names
// the field.
std::vector<std::string> ValidateRoutes(const RouteTable& table);

// A route table that finds the route of a request. Immutable.
class RouteIndex {
 public:
  explicit RouteIndex(RouteTable route_table);

  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  // Null if no route matches. A port after `host` and a query part after `path`
  // are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;

  // The connection limit of a service, or 0 if unknown.
  std::uint32_t ConnectionLimit(const ServiceId& service) const;

  const RouteTable& table() const { return this->routes; }

 private:
  using RoutesByPrefix = std::unordered_map<std::string_view, const Route*>;

  RouteTable routes;
  std::unordered_map<std::string_view, RoutesByPrefix> by_host;
  std::unordered_map<ServiceId, std::uint32_t> connection_limits;
};

}  // namespace marigold

#endif  // SRC_POLICY_ROUTES_H_
