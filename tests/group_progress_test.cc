#include "src/policy/fan_out/group_progress.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};
constexpr Duration kUsualTime = milliseconds(30);

struct ProgressRow {
  // The times of events after the start, in milliseconds.
  std::vector<int> answers;
  std::vector<int> failures;
  // The expected number of reports that the events cause.
  std::size_t expected_reports;
  // True if another query was sent for the shards before.
  bool is_repeated = false;
};

const ProgressRow kProgressRows[] = {
    // All answers of the usual time go into one report.
    {{5, 6, 7, 20, 29}, {}, 1},
    // Each later answer is reported at once.
    {{5, 40, 50}, {}, 3},
    // Failures that come together go into one report, before the answers.
    {{5}, {6, 7, 8}, 2},
    {{5}, {6, 20}, 3},
    // Failures just before the first report go with it.
    {{5}, {29}, 1},
    // The root waits for each answer of a repeated query.
    {{5, 6, 20}, {}, 3, true},
    {{5}, {6, 7, 8}, 2, true},
};

}  // namespace

ParameterizedTestParameters(GroupProgress, CollectsWhatCanWait) {
  return RowIndices(kProgressRows);
}

// Guards against a message for each answer or failure, which would cost the
// root as much as its own sends, and against answers that are held back after
// the usual time.
ParameterizedTest(std::size_t* index, GroupProgress, CollectsWhatCanWait) {
  const ProgressRow& row = kProgressRows[*index];
  AttemptTiming timing;
  timing.hedge_delay = kUsualTime;
  GroupProgress progress(kStart, timing, 1, row.is_repeated);
  std::size_t reports = 0;
  for (int ms = 0; ms <= 100; ++ms) {
    const MonotonicTime now = kStart + milliseconds(ms);
    for (const int at : row.answers) {
      if (at == ms) {
        progress.OnAnswer(0);
      }
    }
    for (const int at : row.failures) {
      if (at == ms) {
        progress.OnFailure(now, {1, 1, true});
      }
    }
    const bool are_answers_due = progress.AreAnswersDue(now);
    if (are_answers_due) {
      progress.TakeAnswers();
    }
    if (are_answers_due || progress.AreFailuresDue(now)) {
      progress.TakeFailures();
      ++reports;
    }
    cr_assert(progress.NextDue() > now, "row %zu: a report at %d ms is overdue",
              *index, ms);
  }
  cr_assert_eq(reports, row.expected_reports, "row %zu: actual %zu reports",
               *index, reports);
}

}  // namespace marigold
