#include <criterion/criterion.h>

#include <string>

#include "src/policy/congestion_count.h"
#include "src/policy/request_priority.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

struct CongestionRow {
  const char* guards_against;
  CongestionCount count;
  std::size_t targets;
  Congestion expected;
};

const CongestionRow kCongestionRows[] = {
    {"limits without congestion", {0, 0}, 1, Congestion::kNone},
    {"a queue of the only target that is overlooked",
     {1, 0},
     1,
     Congestion::kQueueing},
    {"full servers of the only target that are overlooked",
     {0, 1},
     1,
     Congestion::kOverload},
    {"one slow server that limits a whole fan-out",
     {1, 0},
     36,
     Congestion::kNone},
    {"one full server that limits a whole fan-out",
     {0, 1},
     36,
     Congestion::kNone},
    {"queues that most fan-outs meet at moderate load",
     {17, 0},
     36,
     Congestion::kNone},
    {"queues at most shards that are overlooked",
     {18, 0},
     36,
     Congestion::kQueueing},
    {"full servers at many shards that are overlooked",
     {0, 9},
     36,
     Congestion::kOverload},
    {"overload that is taken for queueing",
     {36, 20},
     54,
     Congestion::kOverload},
};

struct PriorityRow {
  const char* guards_against;
  // The priorities of the routes, and those of the customers.
  std::vector<std::uint32_t> routes;
  std::vector<std::uint32_t> customers;
  std::uint32_t level;
  std::uint32_t expected_weight;
};

const PriorityRow kPriorityRows[] = {
    {"a weight where there is one priority", {0, 0}, {}, 0, 1},
    {"a low priority with the weight of a high one", {0, 1}, {}, 1, 1},
    {"a high priority without a greater weight", {0, 1}, {}, 0, 2},
    {"a customer's priority that does not count", {1}, {0}, 0, 2},
    {"weights that follow the numbers and not their order",
     {0, 1'000},
     {},
     0,
     2},
    {"a low priority that is starved by many levels",
     {0, 1, 2, 3, 4},
     {},
     0,
     PriorityWeights::kMaxWeight},
    {"a priority of an older table without a weight", {0, 2}, {}, 1, 2},
};

}  // namespace

ParameterizedTestParameters(CongestionCount, DecidesByFraction) {
  return RowIndices(kCongestionRows);
}

ParameterizedTest(std::size_t* index, CongestionCount, DecidesByFraction) {
  const CongestionRow& row = kCongestionRows[*index];
  const Congestion actual = DecideCongestion(row.count, row.targets);
  cr_assert(actual == row.expected, "guards against %s: expected %s, actual %s",
            row.guards_against, ToString(row.expected).data(),
            ToString(actual).data());
}

ParameterizedTestParameters(PriorityWeights, DoubleWithEachLevel) {
  return RowIndices(kPriorityRows);
}

ParameterizedTest(std::size_t* index, PriorityWeights, DoubleWithEachLevel) {
  const PriorityRow& row = kPriorityRows[*index];
  RouteTable table;
  for (const std::uint32_t priority : row.routes) {
    table.routes.emplace_back().priority = priority;
  }
  table.customers.emplace();
  for (const std::uint32_t priority : row.customers) {
    table.customers->emplace_back().priority = priority;
  }
  const RequestPriority actual = PriorityWeights(table).PriorityOf(row.level);
  cr_assert(actual.weight == row.expected_weight && actual.level == row.level,
            "guards against %s: expected weight %u, actual %u",
            row.guards_against, row.expected_weight, actual.weight);
}

}  // namespace marigold
