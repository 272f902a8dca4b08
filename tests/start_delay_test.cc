#include "src/policy/start_delay.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;

struct AgeRow {
  int age_ms;
  int come_back_ms;
};

// Guards against callers that come back before the routes are known, or long
// after.
const AgeRow kAgeRows[] = {
    {0, 550}, {100, 450}, {450, 100}, {549, 100}, {550, 400}, {60'000, 400},
};

}  // namespace

ParameterizedTestParameters(StartDelay, CallersComeBackWhenRoutesAreKnown) {
  return RowIndices(kAgeRows);
}

ParameterizedTest(std::size_t* index,
                  StartDelay,
                  CallersComeBackWhenRoutesAreKnown) {
  const AgeRow& row = kAgeRows[*index];
  const Duration actual = StartDelay::ComeBackAfter(milliseconds(row.age_ms));
  cr_assert(actual == milliseconds(row.come_back_ms),
            "age %d ms: expected %d ms, actual %lld us", row.age_ms,
            row.come_back_ms, static_cast<long long>(actual.count()));
}

}  // namespace marigold
