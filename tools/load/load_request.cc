#include "tools/load/load_request.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "src/core/settings_values.h"

namespace marigold {

std::optional<std::vector<CustomerWeight>> ParseCustomers(
    std::string_view text) {
  std::vector<CustomerWeight> customers;
  for (const std::string& part : Split(text, ',')) {
    const std::size_t colon = part.find(':');
    CustomerWeight customer{CustomerId(part.substr(0, colon)), 1};
    if (colon != std::string::npos) {
      const auto weight =
          ParseDecimalNumber(std::string_view(part).substr(colon + 1));
      if (!weight || *weight <= 0) {
        return std::nullopt;
      }
      customer.weight = *weight;
    }
    if (customer.customer.value().empty()) {
      return std::nullopt;
    }
    customers.push_back(std::move(customer));
  }
  return customers.empty() ? std::nullopt : std::optional(std::move(customers));
}

RequestSource::RequestSource(RequestPlan request_plan)
    : plan(std::move(request_plan)), random(plan.seed) {
  for (const CustomerWeight& customer : this->plan.customers) {
    this->weight_sum += customer.weight;
  }
}

LoadRequest RequestSource::Next() {
  const std::uint64_t number = this->created_count++;
  LoadRequest request;
  request.id = RequestId(fmt::format("load-{}-{}", this->plan.seed, number));
  request.customer_number = this->DrawCustomer();
  request.customer = this->plan.customers[request.customer_number].customer;
  request.service = this->plan.service;
  request.query = fmt::format("query {} {}", this->plan.seed, number);
  request.deadline = this->plan.deadline;
  request.minimum_coverage = this->plan.minimum_coverage;
  return request;
}

std::size_t RequestSource::DrawCustomer() {
  double remaining = this->random.NextDouble() * this->weight_sum;
  for (std::size_t i = 0; i < this->plan.customers.size(); ++i) {
    remaining -= this->plan.customers[i].weight;
    if (remaining < 0) {
      return i;
    }
  }
  return this->plan.customers.size() - 1;
}

std::string EncodeLoadRequest(const LoadRequest& request) {
  return boost::json::serialize(boost::json::object{
      {"request_id", request.id.value()},
      {"customer", request.customer.value()},
      {"service", request.service.value()},
      {"query", request.query},
      {"deadline_ms", request.deadline.count() / 1000},
      {"minimum_coverage", request.minimum_coverage.value()},
  });
}

}  // namespace marigold
