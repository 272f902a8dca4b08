#include "src/policy/status_schedule.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

// One server in a constant state. The schedule checks it every 50 ms for a
// minute.
struct ScheduleRow {
  const char* name;
  // The failure that the row guards against.
  const char* guarded_failure;
  ServerState state;
  // The age of the last load report at each check. A negative value stands for
  // the time since the last status call.
  milliseconds report_age;
  bool has_new_snapshot;
  // The number of status calls in 60 s.
  int min_calls;
  int max_calls;
};

const ScheduleRow kScheduleRows[] = {
    {"an idle server gets a status call about every ten seconds",
     "an idle server whose state stays unknown for long", ServerState::kServing,
     milliseconds(-1), false, 4, 13},
    {"a server that sends load reports gets one status call",
     "status calls to a server whose replies already carry its load",
     ServerState::kServing, milliseconds(100), false, 1, 1},
    {"a starting server gets a status call about twice a second",
     "a server that has started staying unused", ServerState::kStarting,
     milliseconds(-1), false, 75, 250},
    {"calls for a new snapshot become rare if it never appears",
     "a storm of status calls after a wrong report", ServerState::kServing,
     milliseconds(100), true, 5, 16},
    {"a leaving server gets no status call", "status calls to a leaving server",
     ServerState::kLeaving, milliseconds(-1), false, 0, 0},
    {"a draining server gets no status call",
     "status calls to a draining server", ServerState::kDraining,
     milliseconds(-1), true, 0, 0},
    {"a lost server gets no status call",
     "status calls that queue up for a server that cannot be reached",
     ServerState::kLost, milliseconds(-1), false, 0, 0},
};

int CountCalls(const ScheduleRow& row) {
  StatusSchedule schedule({}, 1);
  int calls = 0;
  MonotonicTime last_call_at = kStart;
  for (MonotonicTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(50)) {
    StatusCandidate candidate{ServerIndex(1), row.state, row.report_age,
                              row.has_new_snapshot};
    if (row.report_age < milliseconds(0)) {
      candidate.report_age = now - last_call_at;
    }
    if (!schedule.TakeDue(now, {&candidate, 1}).empty()) {
      ++calls;
      last_call_at = now;
    }
  }
  return calls;
}

}  // namespace

ParameterizedTestParameters(StatusSchedule, CallsPerMinuteAreBounded) {
  return RowIndices(kScheduleRows);
}

ParameterizedTest(std::size_t* index,
                  StatusSchedule,
                  CallsPerMinuteAreBounded) {
  const ScheduleRow& row = kScheduleRows[*index];
  const int calls = CountCalls(row);
  cr_assert(calls >= row.min_calls && calls <= row.max_calls,
            "%s (guards against %s): expected %d to %d calls, actual %d",
            row.name, row.guarded_failure, row.min_calls, row.max_calls, calls);
}

// Guards against status calls to all servers at the same time after a start.
Test(StatusSchedule, FirstCallsAreSpreadOverTime) {
  StatusSchedule schedule({}, 1);
  std::vector<StatusCandidate> candidates(100);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].server = ServerIndex(i + 1);
  }
  std::size_t max_calls = 0;
  for (int check = 0; check < 5; ++check) {
    const MonotonicTime now = kStart + milliseconds(50) * check;
    max_calls = std::max(max_calls, schedule.TakeDue(now, candidates).size());
  }
  cr_assert_lt(max_calls, 50,
               "expected fewer than 50 calls in 50 ms, actual %zu", max_calls);
}

}  // namespace marigold
