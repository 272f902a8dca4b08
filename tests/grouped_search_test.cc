#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "tests/grouped_search_fixture.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kShards = 16;

// What happens to the first query of a request.
enum class Trouble {
  kNone,
  kSilent,
  kNotDelivered,
  kLost,
  kRefused,
  kShardFailedUnrun,
  kShardFailedRun,
  kShardLate,
};

struct TroubleRow {
  Trouble trouble;
  std::uint32_t max_attempts;
  // The number of shards that are queried again.
  std::size_t expected_shards;
  // True if the second query goes to another data centre.
  bool changes_data_centre;
};

const TroubleRow kTroubleRows[] = {
    {Trouble::kNone, 2, 0, false},
    // The reserved attempt goes to another data centre.
    {Trouble::kSilent, 2, 4, true},
    {Trouble::kLost, 2, 4, true},
    {Trouble::kShardFailedRun, 2, 1, true},
    {Trouble::kShardLate, 2, 1, true},
    // Nothing has run, so another VM of the data centre is asked.
    {Trouble::kNotDelivered, 2, 4, false},
    {Trouble::kShardFailedUnrun, 2, 1, true},
    // With a single attempt, the shards may not run again.
    {Trouble::kSilent, 1, 0, false},
    {Trouble::kLost, 1, 0, false},
    {Trouble::kShardFailedRun, 1, 0, false},
    {Trouble::kShardLate, 1, 0, false},
    {Trouble::kNotDelivered, 1, 4, false},
    {Trouble::kShardFailedUnrun, 1, 1, true},
};

void Apply(GroupedSearchFixture& fixture, Trouble trouble) {
  switch (trouble) {
    case Trouble::kNone:
    case Trouble::kRefused:
      break;
    case Trouble::kSilent:
      fixture.Wait(milliseconds(75));
      break;
    case Trouble::kNotDelivered:
      fixture.Lose(0, QueryLoss::kNotDelivered);
      break;
    case Trouble::kLost:
      fixture.Lose(0, QueryLoss::kMayHaveRun);
      break;
    case Trouble::kShardFailedUnrun:
      fixture.Fail(0, 1, 0);
      break;
    case Trouble::kShardFailedRun:
      fixture.Fail(0, 1, 1);
      break;
    case Trouble::kShardLate: {
      GroupReport report;
      report.late = {{1, BackendServerId("1-0")}};
      fixture.Report(0, report);
      break;
    }
  }
}

}  // namespace

ParameterizedTestParameters(GroupedSearch, TroubleOfOneAggregatorIsMadeUpFor) {
  return RowIndices(kTroubleRows);
}

// Guards against shards that stay without an answer because their aggregator is
// silent, lost or late, and against a second query that has no attempt left.
ParameterizedTest(std::size_t* index,
                  GroupedSearch,
                  TroubleOfOneAggregatorIsMadeUpFor) {
  const TroubleRow& row = kTroubleRows[*index];
  GroupedSearchFixture fixture(kShards, row.max_attempts);
  fixture.Start();
  cr_assert_eq(fixture.queries.size(), std::size_t{4},
               "row %zu: actual %zu queries", *index, fixture.queries.size());
  const DataCentreId first = fixture.DataCentreOf(0);
  for (std::size_t query = 1; query < 4; ++query) {
    fixture.Answer(query);
  }
  Apply(fixture, row.trouble);
  std::size_t repeated_shards = 0;
  for (std::size_t query = 4; query < fixture.queries.size(); ++query) {
    repeated_shards += fixture.queries[query].shards.size();
    cr_assert_eq(fixture.DataCentreOf(query) != first, row.changes_data_centre,
                 "row %zu: query %zu", *index, query);
  }
  cr_assert_eq(repeated_shards, row.expected_shards,
               "row %zu: actual %zu shards", *index, repeated_shards);
}

// Guards against a late shard that is sent to the same server again.
Test(GroupedSearch, LateServerIsExcludedFromTheSecondQuery) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  Apply(fixture, Trouble::kShardLate);
  const StartQuery& second = fixture.queries.back();
  cr_assert_eq(second.excluded.size(), std::size_t{1}, "actual %zu",
               second.excluded.size());
  cr_assert(second.excluded[0] == BackendServerId("1-0"));
}

// Guards against an answer that waits for a silent aggregator although the
// second one has answered its shards.
Test(GroupedSearch, SecondAggregatorCompletesTheAnswer) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  for (std::size_t query = 1; query < 4; ++query) {
    fixture.Answer(query);
  }
  fixture.Wait(milliseconds(75));
  for (std::size_t query = 4; query < fixture.queries.size(); ++query) {
    fixture.Answer(query);
  }
  cr_assert_eq(fixture.search->state(), ForwardState::kAnswered);
  cr_assert_eq(fixture.search->parts().answered_count(), kShards, "actual %zu",
               fixture.search->parts().answered_count());
}

// Guards against a request that fails although its own VM can reach the servers
// while no aggregator is known.
Test(GroupedSearch, QueriesTheShardsItselfWithoutAggregators) {
  GroupedSearchFixture fixture(kShards);
  AggregatorUpdate none;
  none.is_full = true;
  fixture.SetAggregators(none);
  fixture.Start();
  cr_assert_eq(fixture.queries.size(), std::size_t{1}, "actual %zu",
               fixture.queries.size());
  cr_assert(!fixture.queries[0].aggregator.has_value());
  fixture.Answer(0);
  cr_assert_eq(fixture.search->state(), ForwardState::kAnswered);
}

// Guards against work at servers that goes on after the caller has left.
Test(GroupedSearch, AbandonEndsAllQueriesAtOnce) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  const auto steps = fixture.search->Abandon();
  std::size_t cancelled = 0;
  for (const GroupedStep& step : steps) {
    const auto* cancel = std::get_if<CancelQuery>(&step);
    cancelled += cancel != nullptr && !cancel->is_answered ? 1 : 0;
  }
  cr_assert_eq(cancelled, std::size_t{4}, "actual %zu", cancelled);
}

// Guards against a request in flight whose connection ends without an answer
// because the process stops before the request's own deadline.
Test(GroupedSearch, EndsWhenTheProcessStops) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  const MonotonicTime end = fixture.now + milliseconds(30);
  fixture.search->EndBy(fixture.now, end);
  cr_assert_eq(fixture.search->state(), ForwardState::kRunning);
  fixture.Wait(end - fixture.now);
  cr_assert_neq(fixture.search->state(), ForwardState::kRunning);
}

// Guards against a root that does not learn that servers have no room, or that
// counts a shard again with each report.
Test(GroupedSearch, RootLearnsTheCongestionOfItsQueries) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  cr_assert(fixture.queries.size() >= 2, "expected several queries, actual %zu",
            fixture.queries.size());
  GroupReport report;
  report.congestion = {1, 0};
  fixture.Report(0, report);
  report.congestion = {2, 1};
  fixture.Report(0, report);
  report.congestion = {1, 1};
  fixture.Report(1, report);
  const CongestionCount actual = fixture.search->congestion();
  const CongestionCount expected{3, 2};
  cr_assert(actual == expected, "expected 3/2, actual %u/%u", actual.queueing,
            actual.overloaded);
}

// Guards against a report that arrives after its query has ended and changes
// the outcome.
Test(GroupedSearch, ReportOfAnEndedQueryIsIgnored) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  fixture.Lose(0, QueryLoss::kMayHaveRun);
  fixture.Answer(0);
  cr_assert_eq(fixture.search->parts().answered_count(), std::size_t{0},
               "actual %zu", fixture.search->parts().answered_count());
}

// Guards against requests that each wait for a data centre that is cut off,
// against entry VMs that stay in rotation although they can't serve, and
// against a data centre that is avoided because its entry VMs were slow for a
// moment.
Test(GroupedSearch, SilentDataCentreIsProbedAndThenNotAsked) {
  GroupedSearchFixture fixture(kShards);
  fixture.Start();
  fixture.Wait(milliseconds(75));
  const DataCentreId silent = fixture.DataCentreOf(0);
  const auto is_cut_off = [&] {
    return fixture.backends.Access([&](const BackendDirectory& directory) {
      return directory.HasCutOffDataCentre(fixture.now);
    });
  };
  cr_assert(!is_cut_off(), "expected no data centre that is cut off yet");
  const auto probes = fixture.backends.Access([&](BackendDirectory& directory) {
    return directory.TakeProbeTargets(fixture.now);
  });
  cr_assert_eq(probes.size(), std::size_t{4}, "actual %zu", probes.size());
  fixture.backends.Access([&](BackendDirectory& directory) {
    for (const ServerIndex server : probes) {
      cr_assert(directory.ListedServerAt(server).data_centre == silent);
      directory.OnUncountedOutcome(fixture.now, server, milliseconds(250),
                                   Duration::zero(), false);
    }
  });
  cr_assert(is_cut_off(), "expected a data centre that is cut off");
  const std::size_t first_queries = fixture.queries.size();
  fixture.now += milliseconds(10);
  fixture.Start();
  for (std::size_t query = first_queries; query < fixture.queries.size();
       ++query) {
    cr_assert(fixture.DataCentreOf(query) != silent, "query %zu", query);
  }
}

// Guards against a retry budget that queries for refused shards do not spend.
Test(GroupedSearch, ShardThatWasRefusedByItsServerSpendsARetry) {
  GroupedSearchFixture fixture(kShards);
  fixture.backends.Access([](BackendDirectory& directory) {
    directory.SetRetryBudgetShare(Fraction(0));
  });
  fixture.Start();
  const std::size_t first_queries = fixture.queries.size();
  GroupReport report;
  report.failed = {{0, 0, true}, {1, 0, false}};
  fixture.Report(0, report);
  cr_assert_eq(fixture.queries.size(), first_queries + 1, "actual %zu",
               fixture.queries.size());
  cr_assert_eq(fixture.queries.back().shards.size(), std::size_t{1},
               "actual %zu", fixture.queries.back().shards.size());
}

namespace {

struct RefusalRow {
  bool has_run;
  ForwardState expected;
};

const RefusalRow kRefusalRows[] = {
    {false, ForwardState::kNotRun},
    {true, ForwardState::kFailed},
};

}  // namespace

ParameterizedTestParameters(GroupedSearch, RefusalIsTrue) {
  return RowIndices(kRefusalRows);
}

// Guards against a refusal that promises that nothing has run although a server
// may have run the request, and against one that withholds the promise.
ParameterizedTest(std::size_t* index, GroupedSearch, RefusalIsTrue) {
  const RefusalRow& row = kRefusalRows[*index];
  GroupedSearchFixture fixture(kShards, 1);
  // The request goes on until the last shard has failed.
  fixture.plan.minimum_coverage = 0.01;
  fixture.Start();
  for (std::size_t query = 0; query < fixture.queries.size(); ++query) {
    const std::size_t shard_count = fixture.queries[query].shards.size();
    for (ShardPosition shard = 0; shard < shard_count; ++shard) {
      fixture.Fail(query, shard, row.has_run ? 1 : 0);
    }
  }
  cr_assert_eq(fixture.search->state(), row.expected, "row %zu: actual %s",
               *index, std::string(ToString(fixture.search->state())).c_str());
}

namespace {

const std::uint32_t kMaxAttempts[] = {1, 2, 3, 4};

// Applies one random event to a random query.
void RandomEvent(GroupedSearchFixture& fixture, SeededRandom& random) {
  const std::size_t query = random.NextBelow(fixture.queries.size());
  const std::size_t shard_count = fixture.queries[query].shards.size();
  const auto shard = static_cast<ShardPosition>(random.NextBelow(shard_count));
  switch (random.NextBelow(5)) {
    case 0:
      fixture.Wait(milliseconds(random.NextBelow(40)));
      break;
    case 1: {
      GroupReport report;
      report.late = {{shard, BackendServerId("any")}};
      fixture.Report(query, report);
      break;
    }
    case 2:
      fixture.Answer(query, {shard}, false);
      break;
    case 3: {
      GroupReport report;
      report.failed = {{shard, fixture.queries[query].max_attempts, true}};
      report.is_final = random.NextBelow(2) == 0;
      fixture.Report(query, report);
      break;
    }
    default:
      fixture.Lose(query, QueryLoss::kMayHaveRun);
      break;
  }
}

}  // namespace

ParameterizedTestParameters(GroupedSearch, AttemptsNeverExceedTheLimit) {
  return RowIndices(kMaxAttempts);
}

// Guards against a shard that runs on more servers than its route permits, in
// any order of silent, late, failed and lost queries. No attempt is taken back
// here, so every attempt of every query counts.
ParameterizedTest(std::size_t* index,
                  GroupedSearch,
                  AttemptsNeverExceedTheLimit) {
  const std::uint32_t max_attempts = kMaxAttempts[*index];
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    SeededRandom random(seed);
    GroupedSearchFixture fixture(kShards, max_attempts);
    fixture.Start();
    for (int event = 0; event < 40; ++event) {
      RandomEvent(fixture, random);
      const std::uint32_t most = *std::max_element(
          fixture.possible_runs.begin(), fixture.possible_runs.end());
      cr_assert_leq(most, max_attempts, "seed %lu event %d: actual %u", seed,
                    event, most);
    }
    fixture.Wait(milliseconds(600));
    cr_assert_neq(fixture.search->state(), ForwardState::kRunning,
                  "seed %lu: not ended", seed);
  }
}

}  // namespace marigold
