#include "src/policy/caller_memory.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr std::size_t kLimit = 8 * 1024 * 1024;
constexpr std::size_t kMiB = 1024 * 1024;
constexpr std::size_t kSmall = 1024;

struct Step {
  char caller;
  std::size_t bytes;
  bool is_evictable = true;
};

struct EvictRow {
  const char* scenario;
  // What callers hold, one after the other. The last one is asked about.
  std::vector<Step> steps;
  // The callers that are evicted before the last one fits.
  std::string expected_evicted;
  bool expected_fits;
};

// Guards against memory that grows with the number of callers, against small
// requests that are refused beside large ones, and against a refused request of
// legal size that is alone.
const EvictRow kEvictRows[] = {
    {"enough memory", {{'a', 3 * kMiB}, {'b', 4 * kMiB}}, "", true},
    {"the one without progress for the longest time is evicted",
     {{'a', 3 * kMiB}, {'b', 3 * kMiB}, {'c', 3 * kMiB}},
     "a",
     true},
    {"progress protects",
     {{'a', 3 * kMiB}, {'b', 2 * kMiB}, {'a', 3 * kMiB}, {'c', 3 * kMiB}},
     "b",
     true},
    {"several are evicted for a large request",
     {{'a', 2 * kMiB}, {'b', 2 * kMiB}, {'c', 2 * kMiB}, {'d', 5 * kMiB}},
     "ab",
     true},
    {"a request in progress is not evicted",
     {{'a', 4 * kMiB, false}, {'b', 3 * kMiB}, {'c', 3 * kMiB}},
     "b",
     true},
    {"all others are in progress",
     {{'a', 4 * kMiB, false}, {'b', 3 * kMiB, false}, {'c', kMiB}},
     "",
     false},
    {"a small request gets in beside large ones in progress",
     {{'a', 4 * kMiB, false}, {'b', 3 * kMiB, false}, {'c', kSmall}},
     "",
     true},
    {"a request that is larger than the limit is alone",
     {{'a', 3 * kMiB}, {'b', 9 * kMiB}},
     "a",
     true},
};

}  // namespace

ParameterizedTestParameters(CallerMemory, EvictsTheOneWithoutProgress) {
  return RowIndices(kEvictRows);
}

ParameterizedTest(std::size_t* index,
                  CallerMemory,
                  EvictsTheOneWithoutProgress) {
  const EvictRow& row = kEvictRows[*index];
  CallerMemory<char> memory(kLimit);
  for (const Step& step : row.steps) {
    memory.Hold(step.caller, step.bytes, step.is_evictable);
  }
  const char last = row.steps.back().caller;
  std::string evicted;
  while (!memory.Fits(last)) {
    const auto victim = memory.NextVictim(last);
    if (!victim) {
      break;
    }
    evicted += *victim;
    memory.Release(*victim);
  }
  cr_assert_eq(evicted, row.expected_evicted,
               "%s: expected \"%s\", actual \"%s\"", row.scenario,
               row.expected_evicted.c_str(), evicted.c_str());
  cr_assert_eq(memory.Fits(last), row.expected_fits,
               "%s: expected that the last one fits: %d, actual %d",
               row.scenario, row.expected_fits, memory.Fits(last));
  for (const Step& step : row.steps) {
    memory.Release(step.caller);
  }
  cr_assert_eq(memory.used_bytes(), 0UL, "%s: expected 0 bytes, actual %zu",
               row.scenario, memory.used_bytes());
}

}  // namespace marigold
