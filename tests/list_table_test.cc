#include "src/tables/list_table.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
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

}  // namespace

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
