#include "src/policy/routes.h"

#include <fmt/format.h>

#include <set>
#include <unordered_set>
#include <utility>

namespace marigold {

namespace {

using ServiceSet = std::unordered_set<ServiceId>;

void ValidateService(const ServiceSet& known_services,
                     const Route& route,
                     const ServiceId& service,
                     std::vector<std::string>& errors) {
  if (!known_services.contains(service)) {
    errors.push_back(fmt::format(
        "route {}: service {}: expected a service that the table defines",
        route.name.value(), service.value()));
  }
}

void ValidateRoute(const ServiceSet& known_services,
                   const Route& route,
                   std::vector<std::string>& errors) {
  const std::string& name = route.name.value();
  if (route.time_limit <= Duration::zero()) {
    errors.push_back(
        fmt::format("route {}: time_limit: expected above 0", name));
  }
  if (route.path_prefix.empty() || route.path_prefix.front() != '/') {
    errors.push_back(
        fmt::format("route {}: path_prefix: expected a leading slash", name));
  }
  if (route.fan_out) {
    if (route.fan_out->shards.empty()) {
      errors.push_back(
          fmt::format("route {}: fan_out: expected at least one shard", name));
    }
    for (const ServiceId& shard : route.fan_out->shards) {
      ValidateService(known_services, route, shard, errors);
    }
    return;
  }
  std::uint64_t weight_sum = 0;
  for (const WeightedService& weighted_service : route.services) {
    ValidateService(known_services, route, weighted_service.service, errors);
    weight_sum += weighted_service.weight;
  }
  if (weight_sum == 0) {
    errors.push_back(
        fmt::format("route {}: weights: expected a sum above 0", name));
  }
}

void AddCustomerErrors(const std::vector<RoutedCustomer>& customers,
                       std::vector<std::string>& errors) {
  for (const CustomerError& error : ValidateCustomers(customers)) {
    errors.push_back(fmt::format("customer {} ({}): {}: expected {}",
                                 customers[error.index].customer.value(),
                                 error.index, ToString(error.field),
                                 error.expected));
  }
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

std::vector<std::string> ValidateRoutes(const RouteTable& table) {
  std::vector<std::string> errors;
  ServiceSet known_services;
  for (const RoutedService& service : table.services) {
    known_services.insert(service.service);
  }
  std::set<std::pair<std::string_view, std::string_view>> host_prefixes;
  for (const Route& route : table.routes) {
    ValidateRoute(known_services, route, errors);
    if (!host_prefixes.emplace(route.host, route.path_prefix).second) {
      errors.push_back(
          fmt::format("route {}: host {} and path_prefix {}: expected no other "
                      "route with the same values",
                      route.name.value(), route.host, route.path_prefix));
    }
  }
  if (table.customers) {
    AddCustomerErrors(*table.customers, errors);
  }
  return errors;
}

RouteIndex::RouteIndex(RouteTable route_table, const KeyedHash& key_hash)
    : indexed_table(std::move(route_table)) {
  for (const Route& route : this->indexed_table.routes) {
    this->routes_by_host[route.host][route.path_prefix] = &route;
  }
  for (const RoutedService& service : this->indexed_table.services) {
    this->connection_limits[service.service] = service.connection_limit;
  }
  if (this->indexed_table.customers) {
    this->customers.emplace(*this->indexed_table.customers, key_hash);
  }
}

const Route* RouteIndex::Match(std::string_view host,
                               std::string_view path) const {
  const auto found = this->routes_by_host.find(WithoutPort(host));
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find('?'));
  for (std::size_t end = path.size(); end > 0; --end) {
    if (path[end - 1] != '/') {
      continue;
    }
    const auto route = found->second.find(path.substr(0, end));
    if (route != found->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

Identification RouteIndex::Identify(const Route& route,
                                    const std::optional<ApiKey>& key) const {
  RequestIdentity identity{this->customers.has_value(), {}, route.priority};
  if (!identity.is_managed) {
    return identity;
  }
  const RoutedCustomer* customer = key ? this->customers->Find(*key) : nullptr;
  if (customer == nullptr) {
    return route.is_public ? Identification(identity) : UnknownKey();
  }
  identity.customer = customer->customer;
  identity.priority = customer->priority.value_or(route.priority);
  return identity;
}

std::uint32_t RouteIndex::ConnectionLimit(const ServiceId& service) const {
  const auto found = this->connection_limits.find(service);
  return found == this->connection_limits.end() ? 0 : found->second;
}

}  // namespace marigold
