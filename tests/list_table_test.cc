#include "src/tables/list_table.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/invariant.h"
#include "tests/control_rows.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

ListUpdate Delta(std::uint64_t from,
                 std::uint64_t to,
                 std::vector<PutRows> edits) {
  return {LogIndex(from), LogIndex(to), {}, std::move(edits)};
}

ListUpdate FullLists(std::uint64_t to, std::uint64_t version) {
  Lists lists;
  lists.usage_version = ListVersion(version);
  lists.usage[PlanId("gold")] = Usage("gold");
  return {LogIndex(0), LogIndex(to), lists, {}};
}

PutRows Edit(std::uint64_t expected) {
  return PutUsage("c", expected, {Usage("gold")});
}

struct UpdateRow {
  const char* behaviour;
  std::vector<ListUpdate> before;
  ListUpdate update;
  ListUpdateResult result;
  std::uint64_t index;
};

// Guards against an entry VM with wrong limits, because its index decreases, an
// edit is applied twice or an edit is skipped.
const UpdateRow kUpdateRows[] = {
    {"first delta is applied",
     {},
     Delta(0, 3, {Edit(0)}),
     ListUpdateResult::kApplied,
     3},
    {"next delta is applied",
     {Delta(0, 3, {Edit(0)})},
     Delta(3, 9, {Edit(1), Edit(2)}),
     ListUpdateResult::kApplied,
     9},
    {"repeated delta is stale",
     {Delta(0, 3, {Edit(0)})},
     Delta(0, 3, {Edit(0)}),
     ListUpdateResult::kStale,
     3},
    {"delta after a lost delta is a gap",
     {Delta(0, 3, {Edit(0)})},
     Delta(5, 7, {Edit(2)}),
     ListUpdateResult::kGap,
     3},
    {"delta from an older index is a gap",
     {Delta(0, 3, {Edit(0)})},
     Delta(0, 7, {Edit(0), Edit(1)}),
     ListUpdateResult::kGap,
     3},
    {"delta with an edit of another version is a gap",
     {Delta(0, 3, {Edit(0)})},
     Delta(3, 7, {Edit(1), Edit(3)}),
     ListUpdateResult::kGap,
     3},
    {"full lists are applied over a gap",
     {Delta(0, 3, {Edit(0)})},
     FullLists(8, 4),
     ListUpdateResult::kApplied,
     8},
    {"full lists of an older index are stale",
     {FullLists(8, 4)},
     FullLists(7, 3),
     ListUpdateResult::kStale,
     8},
};

struct LimitsRow {
  const char* customer;
  const char* plan;
};

// Guards against a customer that gets the limits of another plan, or limits
// although it has no plan.
const LimitsRow kLimitsRows[] = {
    {"acme", "gold"},
    {"nobody", ""},
};

// A route table with one route and one customer, which has one key.
RouteTable RoutesWithKey(std::uint64_t version, const char* key) {
  RouteTable routes;
  routes.version = RouteVersion(version);
  routes.routes.emplace_back();
  routes.customers = {{CustomerId("acme"), {ApiKey(key)}, {}, {}}};
  return routes;
}

ListUpdate WithRoutes(ListUpdate update, RouteTable routes) {
  update.routes = std::move(routes);
  return update;
}

struct RoutesRow {
  const char* behaviour;
  ListUpdate update;
  ListUpdateResult result;
  std::uint64_t version;
};

// Each update follows full lists with index 8 and routes of version 7, which
// removed the key "old".
const RoutesRow kRoutesRows[] = {
    {"full lists of an entry VM that was cut off",
     WithRoutes(FullLists(6, 4), RoutesWithKey(6, "old")),
     ListUpdateResult::kStale, 7},
    {"older routes with a higher index, as after a rollback",
     WithRoutes(FullLists(9, 4), RoutesWithKey(6, "old")),
     ListUpdateResult::kStale, 7},
    {"older routes in the next delta",
     WithRoutes(Delta(8, 9, {}), RoutesWithKey(6, "old")),
     ListUpdateResult::kStale, 7},
    {"routes of the same version with a higher index",
     WithRoutes(FullLists(9, 4), RoutesWithKey(7, "new")),
     ListUpdateResult::kApplied, 7},
    {"delta without routes", Delta(8, 9, {}), ListUpdateResult::kApplied, 7},
    {"newer routes in the next delta",
     WithRoutes(Delta(8, 9, {}), RoutesWithKey(8, "new")),
     ListUpdateResult::kApplied, 8},
};

bool AcceptsKey(const ListTable& table, const char* key) {
  const auto routes = table.Routes();
  return std::holds_alternative<RequestIdentity>(
      routes->Identify(routes->table().routes.front(), ApiKey(key)));
}

}  // namespace

ParameterizedTestParameters(ListTable, RemovedKeyStaysRefused) {
  return RowIndices(kRoutesRows);
}

// Guards against a removed key that is accepted again because an older route
// table comes into force.
ParameterizedTest(std::size_t* index, ListTable, RemovedKeyStaysRefused) {
  const RoutesRow& row = kRoutesRows[*index];
  ListTable table;
  table.Apply(MonotonicTime(),
              WithRoutes(FullLists(5, 3), RoutesWithKey(6, "old")));
  cr_assert(AcceptsKey(table, "old"), "expected the key to be accepted");
  table.Apply(MonotonicTime(),
              WithRoutes(FullLists(8, 4), RoutesWithKey(7, "new")));
  const ListUpdateResult result = table.Apply(MonotonicTime(), row.update);
  const std::uint64_t version = table.Routes()->table().version.value();
  cr_assert(result == row.result && version == row.version,
            "%s: expected result %d and version %lu, actual %d and %lu",
            row.behaviour, static_cast<int>(row.result), row.version,
            static_cast<int>(result), version);
  cr_assert(!AcceptsKey(table, "old") && AcceptsKey(table, "new"),
            "%s: expected only the new key to be accepted", row.behaviour);
}

ParameterizedTestParameters(ListTable, AppliesUpdate) {
  return RowIndices(kUpdateRows);
}

ParameterizedTest(std::size_t* index, ListTable, AppliesUpdate) {
  SetViolationReaction(ViolationReaction::kAbort);
  const UpdateRow& row = kUpdateRows[*index];
  ListTable table;
  for (const ListUpdate& update : row.before) {
    table.Apply(MonotonicTime(), update);
  }
  const ListUpdateResult result = table.Apply(MonotonicTime(), row.update);
  cr_assert(result == row.result && table.index() == LogIndex(row.index),
            "%s: expected result %d at %lu, actual %d at %lu", row.behaviour,
            static_cast<int>(row.result), row.index, static_cast<int>(result),
            table.index().value());
}

ParameterizedTestParameters(ListTable, ResolvesLimitsThroughBothLists) {
  return RowIndices(kLimitsRows);
}

ParameterizedTest(std::size_t* index,
                  ListTable,
                  ResolvesLimitsThroughBothLists) {
  const LimitsRow& row = kLimitsRows[*index];
  ListTable table;
  table.Apply(MonotonicTime(),
              Delta(0, 2,
                    {PutUsage("u", 0, {Usage("gold")}),
                     PutPlans("p", 0, {Plan("acme", "gold")})}));
  const auto limits = table.LimitsOf(CustomerId(row.customer));
  const std::string plan = limits ? limits->plan.value() : "";
  cr_assert_eq(plan, std::string(row.plan), "expected \"%s\", actual \"%s\"",
               row.plan, plan.c_str());
}

// Guards against newer lists that are replaced by full lists with a higher
// index but an older version.
Test(ListTable, FullListsOfAnOlderVersionAreCountedAndRefused) {
  ListTable table;
  table.Apply(MonotonicTime(), FullLists(8, 4));
  table.Apply(MonotonicTime(), FullLists(9, 3));
  const auto violations = InvariantViolations()[static_cast<std::size_t>(
      Invariant::kListNeverReverts)];
  cr_assert(violations == 1 && table.index() == LogIndex(8),
            "expected 1 violation at 8, actual %lu at %lu", violations,
            table.index().value());
}

}  // namespace marigold
