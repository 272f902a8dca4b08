#include "platform/config_codec.h"

#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <variant>

#include "tests/row_indices.h"

namespace marigold::platform {

namespace {

constexpr std::string_view kConfig = R"({"Version":7,"Routes":[
  {"Name":"all","Host":"a.example","PathPrefix":"/x/","RouteType":"idempotent",
   "TimeoutMs":600,"TargetLatencyMs":100,"Priority":1,"Gather":["s1","s2"],
   "Attempts":2,"TopK":50,"MinCoverage":0.89,"Public":true},
  {"Name":"one","Host":"b.example","PathPrefix":"/y/",
   "RouteType":"non_idempotent","TimeoutMs":2000,"Backend":"s1","Attempts":3},
  {"Name":"split","Host":"b.example","PathPrefix":"/z/",
   "RouteType":"idempotent","TimeoutMs":2000,
   "TrafficSplit":[{"Backend":"s1","Weight":3},{"Backend":"s2","Weight":0}]}],
  "Backends":[{"Name":"s1","HealthPath":"/health","MaxConnections":56,
               "ColdStartS":3.5,"ColdPerS":20},
              {"Name":"s2"}],
  "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,
            "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"north","ApiKeys":["k1","k2"],"Priority":0,
              "RatePerS":48.5,"Burst":12},{"Name":"south"}],
  "Later":{"unknown":true}})";

std::string ConfigWith(std::string_view from, std::string_view to) {
  std::string text(kConfig);
  const std::size_t at = text.find(from);
  cr_assert(at != std::string::npos, "no such text");
  return text.replace(at, from.size(), to);
}

struct ConfigRow {
  const char* from;
  const char* to;
  // A part of the expected error text.
  const char* expected;
};

const ConfigRow kInvalidConfigs[] = {
    {"\"Version\":7", "\"Version\":\"7\"", "Version"},
    {"\"Version\":7,", "", "Version"},
    {"\"TimeoutMs\":600", "\"TimeoutMs\":0", "Routes[0].TimeoutMs"},
    {"\"TimeoutMs\":600,", "", "Routes[0].TimeoutMs"},
    {"\"Host\":\"a.example\"", "\"Host\":5", "Routes[0].Host"},
    {"\"Weight\":3", "\"Weight\":-3", "Weight"},
    {"\"Backend\":\"s1\",\"Attempts\"", "\"Attempts\"", "Routes[1].Backend"},
    {"\"Gather\":[\"s1\",\"s2\"]", "\"Gather\":[1]", "Gather"},
    {"\"Name\":\"s2\"", "\"Nam\":\"s2\"", "Backends[1].Name"},
    {"\"MaxBodyBytes\":262144", "\"MaxBodyBytes\":{}", "MaxBodyBytes"},
    {"\"Public\":true", "\"Public\":1", "Routes[0].Public"},
    {"\"ColdPerS\":20", "\"ColdPerS\":-1", "Backends[0].ColdPerS"},
    {"\"ColdStartS\":3.5", "\"ColdStartS\":[]", "Backends[0].ColdStartS"},
    {"\"Name\":\"north\"", "\"Name\":\"\"", "Tenants[0].Name"},
    {"\"k1\"", "\"\"", "Tenants[0].ApiKeys"},
    {"\"RatePerS\":48.5", "\"RatePerS\":-1", "Tenants[0].RatePerS"},
    {"\"RatePerS\":48.5", "\"RatePerS\":1e10", "Tenants[0].RatePerS"},
    {"\"Burst\":12", "\"Burst\":\"12\"", "Tenants[0].Burst"},
    {"\"Priority\":0,", "\"Priority\":-1,", "Tenants[0].Priority"},
    {"{\"Name\":\"south\"}", "7", "Tenants"},
    {"{\"Name\":\"south\"}", "{\"Name\":\"north\"}", "Tenants[1].Name"},
    {"\"south\"", "\"south\\n\"", "Tenants[1].Name"},
    {"{\"Name\":\"south\"}", "{\"Name\":\"south\",\"ApiKeys\":[\"k2\"]}",
     "Tenants[1].ApiKeys"},
    {"\"k1\",\"k2\"", "\"k1\",\"k1\"", "Tenants[0].ApiKeys"},
    {"[\"k1\",\"k2\"]", "\"k1\"", "Tenants[0].ApiKeys"},
    {"[\"k1\",\"k2\"]", "[\"k1\",2]", "Tenants[0].ApiKeys"},
    {"[\"k1\",\"k2\"]", "[\"k1\",\"k2\"", ""},
    {"\"Burst\":12", "\"Burst\":-0.5", "Tenants[0].Burst"},
    {"\"Burst\":12", "\"Burst\":1e10", "Tenants[0].Burst"},
    {"\"Burst\":12", "\"Burst\":1e999", ""},
    {"\"Later\":{\"unknown\":true}}", "", ""},
};

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// If a field were decoded into the wrong member, requests would be routed by
// values that the operator did not configure.
Test(ConfigCodec, DecodesEveryKindOfRoute) {
  const auto decoded =
      Capture<RouteTable>([] { return DecodeConfig(kConfig); });
  const auto* table = std::get_if<RouteTable>(&decoded);
  cr_assert(
      table != nullptr, "%s",
      table == nullptr ? ToString(std::get<AnyError>(decoded)).c_str() : "");
  cr_assert(ValidateRoutes(*table).empty());
  cr_assert_eq(table->version.value(), 7U);
  cr_assert_eq(table->routes[0].fan_out->shards.size(), 2U);
  cr_assert_eq(table->routes[0].fan_out->top_records, 50U);
  cr_assert(table->routes[0].is_idempotent);
  cr_assert_not(table->routes[1].is_idempotent);
  cr_assert_eq(table->routes[1].max_attempts, 3U);
  cr_assert_eq(table->routes[2].services[0].weight, 3U);
  cr_assert_eq(table->services[0].connection_limit, 56U);
  cr_assert_eq(table->limits.body_bytes, 262'144U);
  cr_assert(table->routes[0].is_public);
  cr_assert_not(table->routes[1].is_public);
  cr_assert_eq(ToMilliseconds(table->services[0].cold_time), 3'500);
  cr_assert_eq(table->services[0].cold_rate.value(), 20);
  cr_assert(table->customers.has_value());
  const RoutedCustomer& customer = table->customers->front();
  cr_assert_eq(customer.customer.value(), "north");
  cr_assert_eq(customer.keys.size(), 2U);
  cr_assert_eq(customer.priority.value_or(9), 0U);
  cr_assert_eq(customer.quota.rate.value(), 48.5);
  cr_assert_eq(customer.quota.burst, 12);
  cr_assert(table->customers->back().quota.is_unlimited());
}

ParameterizedTestParameters(ConfigCodec, ErrorNamesInvalidField) {
  return RowIndices(kInvalidConfigs);
}

// If an invalid field were accepted, a configuration that is only partly read
// would be applied.
ParameterizedTest(std::size_t* index, ConfigCodec, ErrorNamesInvalidField) {
  const ConfigRow& row = kInvalidConfigs[*index];
  const std::string body = ConfigWith(row.from, row.to);
  const auto decoded = Capture<RouteTable>([&] { return DecodeConfig(body); });
  const auto* error = std::get_if<AnyError>(&decoded);
  cr_assert(error != nullptr, "row %zu: expected an error", *index);
  const std::string actual = ToString(*error);
  cr_assert(Contains(actual, row.expected), "row %zu: expected %s, actual %s",
            *index, row.expected, actual.c_str());
  for (const char* key : {"k1", "k2"}) {
    cr_assert_not(Contains(actual, key),
                  "row %zu: the error contains a key: %s", *index,
                  actual.c_str());
  }
}

}  // namespace marigold::platform
