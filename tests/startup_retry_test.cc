#include "src/policy/startup_retry.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;

struct AgeRow {
  int process_age_ms;
  int retry_after_ms;
};

// Guards against callers that retry before the process knows the routes and are
// refused again, or that retry long after it knows them.
const AgeRow kAgeRows[] = {
    {0, 550}, {100, 450}, {450, 100}, {549, 100}, {550, 400}, {60'000, 400},
};

}  // namespace

ParameterizedTestParameters(StartupRetry, CallersRetryWhenRoutesAreKnown) {
  return RowIndices(kAgeRows);
}

ParameterizedTest(std::size_t* index,
                  StartupRetry,
                  CallersRetryWhenRoutesAreKnown) {
  const AgeRow& row = kAgeRows[*index];
  const Duration actual =
      StartupRetry::RetryAfter(milliseconds(row.process_age_ms));
  cr_assert(actual == milliseconds(row.retry_after_ms),
            "age %d ms: expected %d ms, actual %lld us", row.process_age_ms,
            row.retry_after_ms, static_cast<long long>(actual.count()));
}

}  // namespace marigold
