#include "src/ctl/customer_queries.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "src/ctl/list_queries.h"
#include "src/ctl/text_table.h"

namespace marigold::ctl {

namespace {

namespace json = boost::json;

json::object ToJson(const RoutedCustomer& customer) {
  json::object object{{"customer", customer.customer.value()},
                      {"keys", customer.keys.size()},
                      {"priority", nullptr},
                      {"rate", customer.quota.rate.value()},
                      {"burst", customer.quota.burst}};
  if (customer.priority) {
    object["priority"] = *customer.priority;
  }
  return object;
}

json::object ToJson(const RouteTable& table) {
  json::object object{{"version", table.version.value()},
                      {"customers", nullptr}};
  if (table.customers) {
    json::array customers;
    for (const RoutedCustomer& customer : *table.customers) {
      customers.push_back(ToJson(customer));
    }
    object["customers"] = std::move(customers);
  }
  return object;
}

void Print(const RouteTable& table) {
  fmt::print("routes version {}\n", table.version.value());
  if (!table.customers) {
    fmt::print("requests need no API key\n");
    return;
  }
  TextTable text({"customer", "keys", "priority", "rate/s", "burst"});
  for (const RoutedCustomer& customer : *table.customers) {
    const QuotaLimit& quota = customer.quota;
    const bool is_limited = !quota.is_unlimited();
    text.Add(
        {customer.customer.value(), std::to_string(customer.keys.size()),
         customer.priority ? std::to_string(*customer.priority) : "of route",
         is_limited ? fmt::format("{}", quota.rate.value()) : "no limit",
         is_limited ? fmt::format("{}", quota.burst) : "-"});
  }
  text.Print();
}

}  // namespace

ExitCode PrintCustomers(ControlGroup& group, bool as_json) {
  const auto result = FetchLists(group);
  if (!result.reply) {
    return ReportFailure(result);
  }
  const RouteTable table = result.reply->routes.value_or(RouteTable());
  if (as_json) {
    fmt::print("{}\n", json::serialize(ToJson(table)));
  } else {
    Print(table);
  }
  return ExitCode::kDone;
}

}  // namespace marigold::ctl
