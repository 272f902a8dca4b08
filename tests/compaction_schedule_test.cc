#include "src/policy/compaction_schedule.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <set>

#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr std::uint64_t kMegabyte = 1024 * 1024;

struct LogRow {
  const char* scenario;
  std::uint64_t entry_bytes;
  std::uint64_t snapshot_bytes;
  // Bounds of the bytes that the log holds when a snapshot is due.
  std::uint64_t min_log_bytes;
  std::uint64_t max_log_bytes;
};

// The settings are 128 entries and 8 MB.
const LogRow kLogRows[] = {
    {"small entries", 100, 1'000, 12'800, 25'600},
    {"configurations of 1 MB, each of which replaces the last one", kMegabyte,
     kMegabyte, 8 * kMegabyte, 17 * kMegabyte},
    {"a state of 4 MB and small entries", 1'000, 4 * kMegabyte, 4 * kMegabyte,
     4 * kMegabyte + 1'000},
    {"a state of 20 MB and entries of 1 MB", kMegabyte, 20 * kMegabyte,
     20 * kMegabyte, 21 * kMegabyte},
};

}  // namespace

ParameterizedTestParameters(CompactionSchedule, LogStaysBounded) {
  return RowIndices(kLogRows);
}

// Guards against a log that fills the disk because its entries are large, and
// against a whole state that is written again after every few small entries.
ParameterizedTest(std::size_t* index, CompactionSchedule, LogStaysBounded) {
  const LogRow& row = kLogRows[*index];
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CompactionSchedule schedule({128, 8 * kMegabyte}, seed);
    schedule.OnSnapshot(row.snapshot_bytes);
    std::uint64_t log_bytes = 0;
    while (!schedule.IsDue()) {
      schedule.OnApplied(row.entry_bytes);
      log_bytes += row.entry_bytes;
      cr_assert_leq(log_bytes, row.max_log_bytes, "%s, seed %zu", row.scenario,
                    static_cast<std::size_t>(seed));
    }
    cr_assert_geq(log_bytes, row.min_log_bytes, "%s, seed %zu", row.scenario,
                  static_cast<std::size_t>(seed));
  }
}

// Guards against members that all write a snapshot after the same entry, so
// that the group loses its leader.
Test(CompactionSchedule, MembersCompactAfterDifferentEntries) {
  std::set<int> entries_until_due;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CompactionSchedule schedule({128, 8 * kMegabyte}, seed);
    int entries = 0;
    while (!schedule.IsDue()) {
      schedule.OnApplied(100);
      ++entries;
    }
    entries_until_due.insert(entries);
  }
  cr_assert_geq(entries_until_due.size(), 15U, "expected 15, actual %zu",
                entries_until_due.size());
}

}  // namespace marigold
