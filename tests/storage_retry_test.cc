#include "src/policy/storage_retry.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RetryRow {
  const char* scenario;
  // The periods in which the disk refuses writes, from and to.
  std::vector<std::pair<Duration, Duration>> full;
  // True if the disk takes attempts to recover it, but not the next write,
  // which comes 10 ms later: it has room for a few kilobytes.
  bool has_little_room;
  // When the disk is in use again for the last time within a minute.
  Duration expected_recovery;
  int max_attempts;
};

// Operators expect that a disk is used again within a second after it has room.
const RetryRow kRetryRows[] = {
    {"full for a moment",
     {{seconds(0), milliseconds(1)}},
     false,
     milliseconds(251),
     3},
    {"full for 12 s", {{seconds(0), seconds(12)}}, false, seconds(13), 20},
    {"full again at the attempt",
     {{seconds(0), seconds(1)}, {milliseconds(1100), seconds(4)}},
     false,
     seconds(5),
     12},
    {"full twice, long apart",
     {{seconds(0), seconds(1)}, {seconds(30), seconds(31)}},
     false,
     seconds(32),
     12},
    {"room for a few kilobytes",
     {{seconds(0), seconds(60)}},
     true,
     seconds(60),
     70},
};

}  // namespace

ParameterizedTestParameters(StorageRetry, DiskIsUsedAgainSoon) {
  return RowIndices(kRetryRows);
}

// Guards against a disk that is not used again after it has room, and against
// one that is tried all the time.
ParameterizedTest(std::size_t* index, StorageRetry, DiskIsUsedAgainSoon) {
  const RetryRow& row = kRetryRows[*index];
  const MonotonicTime start(seconds(100));
  const auto is_full = [&](MonotonicTime now) {
    for (const auto& [from, to] : row.full) {
      if (now >= start + from && now < start + to) {
        return true;
      }
    }
    return false;
  };
  StorageRetry retry;
  int attempts = 0;
  MonotonicTime recovered_at = start;
  for (MonotonicTime now = start; now < start + seconds(60);
       now += milliseconds(10)) {
    if (!retry.is_pending() && is_full(now)) {
      retry.OnFailed(now);
    } else if (retry.IsDue(now)) {
      ++attempts;
      if (is_full(now) && !row.has_little_room) {
        retry.OnFailed(now);
      } else {
        retry.OnRecovered(now);
        recovered_at = now;
      }
    }
  }
  cr_assert(recovered_at - start <= row.expected_recovery &&
                recovered_at > start && attempts <= row.max_attempts,
            "%s: expected a recovery by %g ms in at most %d attempts, actual "
            "%g ms, %d",
            row.scenario, ToMilliseconds(row.expected_recovery),
            row.max_attempts, ToMilliseconds(recovered_at - start), attempts);
}

}  // namespace marigold
