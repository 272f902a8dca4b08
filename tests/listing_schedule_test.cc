#include "src/policy/listing_schedule.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <optional>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow = MonotonicTime(seconds(1000));

struct ControlRow {
  const char* description;
  bool is_leader;
  std::optional<Duration> list_age;
  Duration time_since_attempt;
  bool expect_due;
};

// Guards against entry VMs that wait for the leader's first read after a start
// of the whole control group, because no control VM knows a list. Also guards
// against reads that are billed but not needed.
const ControlRow kControlRows[] = {
    {"leader without a list", true, std::nullopt, seconds(1000), true},
    {"leader with a fresh list", true, milliseconds(10), seconds(1), true},
    {"leader that has just read", true, milliseconds(10), milliseconds(999),
     false},
    {"follower without a list", false, std::nullopt, seconds(1000), true},
    {"follower that has just tried", false, std::nullopt, milliseconds(999),
     false},
    {"follower with a list", false, milliseconds(10), seconds(1000), false},
    {"follower with an old list", false, seconds(60), seconds(1000), false},
};

}  // namespace

ParameterizedTestParameters(ListingSchedule, ControlVmReadsWhenDue) {
  return RowIndices(kControlRows);
}

ParameterizedTest(std::size_t* index, ListingSchedule, ControlVmReadsWhenDue) {
  const ControlRow& row = kControlRows[*index];
  std::optional<MonotonicTime> observed_at;
  if (row.list_age) {
    observed_at = kNow - *row.list_age;
  }
  const bool actual = ListingSchedule::IsControlReadDue(
      kNow, kNow - row.time_since_attempt, row.is_leader, observed_at);
  cr_assert_eq(actual, row.expect_due, "%s: expected %d, actual %d",
               row.description, row.expect_due, actual);
}

}  // namespace marigold
