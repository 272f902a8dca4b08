#include "src/policy/replication_lag.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <variant>
#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;

// The source reports this index.
struct Reported {
  std::uint64_t index;
};

// The copy is at this index.
struct Applied {
  std::uint64_t index;
};

// Another source is followed.
struct SourceLost {};

struct Event {
  Duration at;
  std::variant<Reported, Applied, SourceLost> what;
};

struct LagRow {
  const char* scenario;
  std::vector<Event> events;
  // What is expected 3 s after the first event.
  bool is_lagging;
  // When the copy was last known to be the newest; 0 if never.
  Duration confirmed_at;
};

// Configurations have to be in force 3 s after their acknowledgement. A source
// that does not deliver them has to be noticed before.
const LagRow kLagRows[] = {
    {"the copy has what is reported",
     {{milliseconds(0), Applied{5}}, {milliseconds(2900), Reported{5}}},
     false,
     milliseconds(2900)},
    {"a new index is reported and applied",
     {{milliseconds(0), Applied{5}},
      {milliseconds(500), Reported{6}},
      {milliseconds(700), Applied{6}},
      {milliseconds(1000), Reported{6}}},
     false,
     milliseconds(1000)},
    {"a new index is reported and never applied",
     {{milliseconds(0), Applied{5}},
      {milliseconds(100), Reported{5}},
      {milliseconds(500), Reported{6}},
      {milliseconds(2500), Reported{6}}},
     true,
     milliseconds(100)},
    {"the index grows and the copy makes progress without catching up",
     {{milliseconds(0), Applied{5}},
      {milliseconds(500), Reported{20}},
      {milliseconds(1400), Applied{10}},
      {milliseconds(2300), Applied{15}},
      {milliseconds(2800), Reported{30}}},
     false,
     milliseconds(0)},
    {"the source reports less than the copy has from an earlier source",
     {{milliseconds(0), Applied{5}},
      {milliseconds(10), Reported{5}},
      {milliseconds(20), SourceLost{}},
      {milliseconds(500), Reported{4}},
      {milliseconds(2500), Reported{4}}},
     true,
     milliseconds(10)},
    {"the source reports less than the copy got from elsewhere",
     {{milliseconds(0), Applied{9}},
      {milliseconds(500), Reported{4}},
      {milliseconds(2500), Reported{4}}},
     true,
     {}},
    {"the next source is given its own time",
     {{milliseconds(0), Applied{5}},
      {milliseconds(100), Reported{6}},
      {milliseconds(2500), SourceLost{}},
      {milliseconds(2600), Reported{6}}},
     false,
     milliseconds(0)},
    {"nothing is reported", {{milliseconds(0), Applied{5}}}, false, {}},
};

}  // namespace

ParameterizedTestParameters(ReplicationLag, SourceThatFallsBehindIsNoticed) {
  return RowIndices(kLagRows);
}

// Guards against a copy that trusts a source which is connected, says that all
// is well and does not deliver what is new.
ParameterizedTest(std::size_t* index,
                  ReplicationLag,
                  SourceThatFallsBehindIsNoticed) {
  const LagRow& row = kLagRows[*index];
  const MonotonicTime start;
  ReplicationLag lag(start);
  for (const Event& event : row.events) {
    const MonotonicTime now = start + event.at;
    if (const auto* reported = std::get_if<Reported>(&event.what)) {
      lag.OnReported(now, LogIndex(reported->index));
    } else if (const auto* applied = std::get_if<Applied>(&event.what)) {
      lag.OnApplied(now, LogIndex(applied->index));
    } else {
      lag.OnSourceLost();
    }
  }
  const bool is_lagging = lag.IsLagging(start + milliseconds(3000));
  const double confirmed_ms = ToMilliseconds(lag.confirmed_at() - start);
  cr_assert(is_lagging == row.is_lagging &&
                confirmed_ms == ToMilliseconds(row.confirmed_at),
            "%s: expected lagging %d, confirmed at %g ms, actual %d, %g ms",
            row.scenario, row.is_lagging, ToMilliseconds(row.confirmed_at),
            is_lagging, confirmed_ms);
}

}  // namespace marigold
