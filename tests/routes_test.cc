#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "src/policy/routes.h"
#include "src/policy/weighted_choice.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.name = RouteName(name);
  route.host = host;
  route.path_prefix = prefix;
  route.time_limit = std::chrono::milliseconds(100);
  route.services = {{ServiceId("one"), 1}};
  return route;
}

RouteTable ValidTable() {
  RouteTable table;
  table.version = RouteVersion(1);
  table.services = {{ServiceId("one"), "/health", 10},
                    {ServiceId("two"), "/health", 20}};
  table.routes = {MakeRoute("root", "a.example", "/"),
                  MakeRoute("short", "a.example", "/x/"),
                  MakeRoute("long", "a.example", "/x/y/"),
                  MakeRoute("other", "b.example", "/x/")};
  return table;
}

struct MatchRow {
  const char* host;
  const char* path;
  // The name of the expected route; empty for no route.
  const char* expected;
};

const MatchRow kMatchRows[] = {
    {"a.example", "/x/y/z", "long"},   {"a.example", "/x/y", "short"},
    {"a.example", "/x/y/", "long"},    {"a.example", "/x", "root"},
    {"a.example:80", "/x/1", "short"}, {"a.example", "/x/1?q=/x/y/", "short"},
    {"b.example", "/x/y/z", "other"},  {"b.example", "/y/", ""},
    {"c.example", "/x/", ""},          {"a.example", "", ""},
};

struct ValidationRow {
  const char* description;
  void (*change)(RouteTable&);
  // A substring of the first error; empty for a valid table.
  const char* expected;
};

const ValidationRow kValidationRows[] = {
    {"a valid table", [](RouteTable&) {}, ""},
    {"an unknown service",
     [](RouteTable& table) {
       table.routes[0].services[0].service = ServiceId("no");
     },
     "service no"},
    {"an unknown shard",
     [](RouteTable& table) {
       table.routes[0].fan_out = FanOut{{ServiceId("no")}, 1, 1};
     },
     "service no"},
    {"two routes with the same host and prefix",
     [](RouteTable& table) { table.routes[2].path_prefix = "/x/"; },
     "expected no other route"},
    {"weights with a sum of 0",
     [](RouteTable& table) { table.routes[0].services[0].weight = 0; },
     "weights"},
    {"no time limit",
     [](RouteTable& table) { table.routes[0].time_limit = Duration::zero(); },
     "time_limit"},
    {"a fan-out without shards",
     [](RouteTable& table) { table.routes[0].fan_out = FanOut{}; },
     "expected at least one shard"},
};

struct WeightRow {
  std::vector<std::uint32_t> weights;
};

const WeightRow kWeightRows[] = {{{1, 1}}, {{9, 1}}, {{1, 0, 3}}, {{97, 3}}};

}  // namespace

ParameterizedTestParameters(Routes, LongestPrefixOfTheHostWins) {
  return RowIndices(kMatchRows);
}

// Guards against requests that are sent to a service of another route, because
// a shorter prefix or another host has matched.
ParameterizedTest(std::size_t* index, Routes, LongestPrefixOfTheHostWins) {
  const MatchRow& row = kMatchRows[*index];
  const RouteIndex routes(ValidTable(), KeyedHash(SeededRandom(1)));
  const Route* route = routes.Match(row.host, row.path);
  const std::string actual = route == nullptr ? "" : route->name.value();
  cr_assert_eq(actual, std::string(row.expected), "row %zu: actual %s", *index,
               actual.c_str());
}

ParameterizedTestParameters(Routes, ErrorOfInvalidTableNamesTheField) {
  return RowIndices(kValidationRows);
}

// Guards against a table that takes effect although some of its requests cannot
// be served, and against a valid table that is refused.
ParameterizedTest(std::size_t* index,
                  Routes,
                  ErrorOfInvalidTableNamesTheField) {
  const ValidationRow& row = kValidationRows[*index];
  RouteTable table = ValidTable();
  row.change(table);
  const std::vector<std::string> errors = ValidateRoutes(table);
  const std::string actual = errors.empty() ? "" : errors.front();
  const bool matches = *row.expected == '\0'
                           ? errors.empty()
                           : actual.find(row.expected) != std::string::npos;
  cr_assert(matches, "%s: expected \"%s\", actual \"%s\"", row.description,
            row.expected, actual.c_str());
}

ParameterizedTestParameters(Routes, SplitFollowsItsWeights) {
  return RowIndices(kWeightRows);
}

// Guards against a service whose part of the requests differs from its part of
// the weights.
ParameterizedTest(std::size_t* index, Routes, SplitFollowsItsWeights) {
  const WeightRow& row = kWeightRows[*index];
  constexpr int kRequestCount = 300;
  constexpr double kTolerance = 0.02;
  std::vector<WeightedService> services;
  double weight_sum = 0;
  for (std::size_t i = 0; i < row.weights.size(); ++i) {
    services.push_back({ServiceId(std::to_string(i)), row.weights[i]});
    weight_sum += row.weights[i];
  }
  std::vector<int> counts(services.size());
  WeightedChoice choice;
  for (int i = 0; i < kRequestCount; ++i) {
    ++counts[std::stoul(choice.Choose(services).value())];
  }
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const double expected = row.weights[i] / weight_sum;
    const double actual = static_cast<double>(counts[i]) / kRequestCount;
    cr_assert(std::abs(actual - expected) <= kTolerance,
              "row %zu part %zu: expected %f, actual %f", *index, i, expected,
              actual);
  }
}

}  // namespace marigold
