#include "src/policy/customers.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "src/core/binary_codec.h"
#include "src/policy/routes.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr std::uint64_t kSeed = 1;

RoutedCustomer MakeCustomer(const char* name,
                            std::vector<ApiKey> keys,
                            std::optional<std::uint32_t> priority = {}) {
  return {CustomerId(name), std::move(keys), priority, {}};
}

// A table with a public route and a route that needs a key, in this order. Both
// have priority 3.
RouteTable MakeTable() {
  RouteTable table;
  for (const bool is_public : {true, false}) {
    Route route;
    route.priority = 3;
    route.is_public = is_public;
    table.routes.push_back(route);
  }
  table.customers = {MakeCustomer("north", {ApiKey("n-1"), ApiKey("n-2")}, 0),
                     MakeCustomer("south", {ApiKey("s-1")}),
                     MakeCustomer("none", {})};
  return table;
}

struct IdentityRow {
  const char* behaviour;
  bool is_public;
  std::optional<const char*> key;
  // The customer and the priority; "refused" without an identity.
  const char* expected;
};

const IdentityRow kIdentityRows[] = {
    {"first key", false, "n-1", "north 0"},
    {"second key", false, "n-2", "north 0"},
    {"customer without a priority", false, "s-1", "south 3"},
    {"unknown key", false, "n-3", "refused"},
    {"no key", false, {}, "refused"},
    {"empty key", false, "", "refused"},
    {"prefix of a key", false, "n-", "refused"},
    {"key with another end", false, "n-11", "refused"},
    {"key in other letters", false, "N-1", "refused"},
    {"name of a customer as key", false, "north", "refused"},
    {"known key on a public route", true, "n-1", "north 0"},
    {"unknown key on a public route", true, "n-3", "- 3"},
    {"no key on a public route", true, {}, "- 3"},
};

std::string Format(const Identification& identification) {
  const auto* identity = std::get_if<RequestIdentity>(&identification);
  if (identity == nullptr) {
    return "refused";
  }
  return fmt::format("{} {}",
                     identity->customer ? identity->customer->value() : "-",
                     identity->priority);
}

struct ErrorRow {
  const char* description;
  void (*change)(std::vector<RoutedCustomer>&);
  // The position and the field of each error.
  const char* expected;
};

const ErrorRow kErrorRows[] = {
    {"valid customers", [](auto&) {}, ""},
    {"no customers", [](auto& customers) { customers.clear(); }, ""},
    {"name of another customer",
     [](auto& customers) { customers[1].customer = CustomerId("north"); },
     "1 name"},
    {"empty name",
     [](auto& customers) { customers[0].customer = CustomerId(""); }, "0 name"},
    {"name with a line break",
     [](auto& customers) { customers[0].customer = CustomerId("a\r\nB: c"); },
     "0 name"},
    {"name with a delete character",
     [](auto& customers) { customers[0].customer = CustomerId("a\x7f"); },
     "0 name"},
    {"name with a leading blank",
     [](auto& customers) { customers[0].customer = CustomerId(" a"); },
     "0 name"},
    {"name with a trailing tab",
     [](auto& customers) { customers[0].customer = CustomerId("a\t"); },
     "0 name"},
    {"name with a blank inside and other letters",
     [](auto& customers) { customers[0].customer = CustomerId("n \xc3\xb6"); },
     ""},
    {"key of another customer",
     [](auto& customers) { customers[1].keys[0] = ApiKey("n-2"); }, "1 keys"},
    {"repeated key",
     [](auto& customers) { customers[0].keys[1] = ApiKey("n-1"); }, "0 keys"},
    {"empty key", [](auto& customers) { customers[1].keys[0] = ApiKey(""); },
     "1 keys"},
    {"negative rate",
     [](auto& customers) { customers[0].quota.rate = RatePerSecond(-1); },
     "0 rate"},
    {"rate above the limit",
     [](auto& customers) { customers[0].quota.rate = RatePerSecond(1.1e9); },
     "0 rate"},
    {"rate that is no number",
     [](auto& customers) {
       customers[0].quota.rate =
           RatePerSecond(std::numeric_limits<double>::quiet_NaN());
     },
     "0 rate"},
    {"infinite burst",
     [](auto& customers) {
       customers[2].quota.burst = std::numeric_limits<double>::infinity();
     },
     "2 burst"},
    {"negative burst and an empty key",
     [](auto& customers) {
       customers[1].quota.burst = -1;
       customers[1].keys[0] = ApiKey("");
     },
     "1 keys, 1 burst"},
    {"largest quota",
     [](auto& customers) {
       customers[0].quota = {RatePerSecond(1e9), 1e9};
     },
     ""},
};

// A table of the size that the larger deployment has: 350 routes, 100 of which
// are fan-outs, and 82 customers with 3 keys each.
RouteTable LargeTable() {
  constexpr int kRouteCount = 350;
  constexpr int kFanOutCount = 100;
  constexpr int kShardCount = 54;
  constexpr int kCustomerCount = 82;
  RouteTable table;
  for (int i = 0; i < kShardCount; ++i) {
    table.services.push_back(
        {ServiceId(fmt::format("shard-{}", i)), "/health", 50});
  }
  for (int i = 0; i < kRouteCount; ++i) {
    Route route;
    route.name = RouteName(fmt::format("route-{}", i));
    route.host = "api.example";
    route.path_prefix = fmt::format("/v1/resources-{}/", i);
    if (i < kFanOutCount) {
      route.fan_out = FanOut();
      for (const RoutedService& service : table.services) {
        route.fan_out->shards.push_back(service.service);
      }
    }
    table.routes.push_back(std::move(route));
  }
  table.customers.emplace();
  for (int i = 0; i < kCustomerCount; ++i) {
    RoutedCustomer customer;
    customer.customer = CustomerId(fmt::format("customer-{}", i));
    for (int k = 0; k < 3; ++k) {
      customer.keys.emplace_back(fmt::format("{:016x}{:016x}", i, k));
    }
    table.customers->push_back(std::move(customer));
  }
  return table;
}

}  // namespace

ParameterizedTestParameters(Customers, KeyIdentifiesItsCustomer) {
  return RowIndices(kIdentityRows);
}

// Guards against a request that runs for another customer, without a valid key
// or with the wrong priority.
ParameterizedTest(std::size_t* index, Customers, KeyIdentifiesItsCustomer) {
  const IdentityRow& row = kIdentityRows[*index];
  const RouteIndex routes(MakeTable(), KeyedHash(SeededRandom(kSeed)));
  const Route& route = routes.table().routes[row.is_public ? 0 : 1];
  const std::string actual = Format(routes.Identify(
      route, row.key ? std::optional(ApiKey(*row.key)) : std::nullopt));
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

// Guards against header fields that are withheld from backend servers, or
// requests that are refused, although the configuration has no customers.
Test(Customers, TableWithoutCustomersNeedsNoKey) {
  RouteTable table = MakeTable();
  table.customers.reset();
  const RouteIndex routes(table, KeyedHash(SeededRandom(kSeed)));
  for (const std::optional<ApiKey>& key :
       {std::optional<ApiKey>(), std::optional(ApiKey("n-1"))}) {
    const RequestIdentity expected{false, {}, 3};
    cr_assert(routes.Identify(routes.table().routes[1], key) ==
                  Identification(expected),
              "expected an identity without a customer");
  }
}

ParameterizedTestParameters(Customers, ErrorNamesTheFieldAndNoKey) {
  return RowIndices(kErrorRows);
}

// Guards against keys that belong to two customers, names that break the header
// of a send, quotas that can't be computed with, and keys in error messages.
ParameterizedTest(std::size_t* index, Customers, ErrorNamesTheFieldAndNoKey) {
  const ErrorRow& row = kErrorRows[*index];
  RouteTable table = MakeTable();
  row.change(*table.customers);
  std::string actual;
  for (const CustomerError& error : ValidateCustomers(*table.customers)) {
    actual += fmt::format("{}{} {}", actual.empty() ? "" : ", ", error.index,
                          ToString(error.field));
  }
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.description,
               row.expected, actual.c_str());
  for (const std::string& text : ValidateRoutes(table)) {
    for (const char* key : {"n-1", "n-2", "s-1"}) {
      cr_assert(text.find(key) == std::string::npos,
                "%s: the error contains a key: %s", row.description,
                text.c_str());
    }
  }
}

// Guards against callers that choose keys with equal hashes to slow the lookup
// down, which a secret shared by all processes would allow.
Test(Customers, HashDependsOnTheSecret) {
  const KeyedHash first{SeededRandom(1)};
  const KeyedHash second{SeededRandom(2)};
  for (const char* text : {"", "k", "a key of thirty-two characters!!"}) {
    cr_assert(first(text) == first(text) && first(text) != second(text),
              "expected other hashes of \"%s\"", text);
  }
}

// Guards against an index that takes a noticeable part of the 112 MB and the
// 0.084 core of a small entry VM.
Test(Customers, IndexOfLargeTableIsCheap) {
  constexpr double kMaxCpuMs = 20;
  constexpr std::size_t kMaxBytes = 2'000'000;
  constexpr int kRepeats = 10;
  const RouteTable table = LargeTable();
  const KeyedHash hash{SeededRandom(kSeed)};
  const std::size_t bytes_before = ::mallinfo2().uordblks;
  const RouteIndex kept(table, hash);
  const std::size_t bytes = ::mallinfo2().uordblks - bytes_before;
  const std::clock_t began = std::clock();
  for (int i = 0; i < kRepeats; ++i) {
    const RouteIndex built(table, hash);
  }
  const double cpu_ms = 1000.0 * static_cast<double>(std::clock() - began) /
                        CLOCKS_PER_SEC / kRepeats;
  cr_log_info("%.3f ms, %zu bytes, %zu bytes encoded", cpu_ms, bytes,
              EncodeBinary(table).size());
  cr_assert(bytes <= kMaxBytes, "expected at most %zu bytes, actual %zu",
            kMaxBytes, bytes);
  cr_assert(cpu_ms <= kMaxCpuMs, "expected at most %f ms, actual %f", kMaxCpuMs,
            cpu_ms);
}

}  // namespace marigold
