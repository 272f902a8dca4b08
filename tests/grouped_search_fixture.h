#ifndef TESTS_GROUPED_SEARCH_FIXTURE_H_
#define TESTS_GROUPED_SEARCH_FIXTURE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/policy/fan_out/grouped_search.h"
#include "src/tables/aggregator_table.h"
#include "src/tables/backend_table.h"

namespace marigold {

// One fan-out over shards with a server in each of three data centres, and
// aggregators in all of them, with a clock that the test sets. Counts for each
// shard the servers that may have run the request.
class GroupedSearchFixture {
 public:
  using Search = GroupedSearch<BackendTable, AggregatorTable>;

  static constexpr int kDataCentres = 3;
  static constexpr int kAggregatorsEach = 4;

  explicit GroupedSearchFixture(std::size_t shards,
                                std::uint32_t max_attempts = 2)
      : backends({DataCentreId("dc0"), {}}),
        aggregators(VmId("root"), DataCentreId("dc0")),
        possible_runs(shards) {
    std::vector<ListedServer> rows;
    for (std::size_t shard = 0; shard < shards; ++shard) {
      const std::string name = std::to_string(shard);
      this->plan.targets.emplace_back(name);
      for (int replica = 0; replica < kDataCentres; ++replica) {
        ListedServer row;
        row.server = BackendServerId(name + "-" + std::to_string(replica));
        row.service = ServiceId(name);
        row.data_centre = DataCentreId("dc" + std::to_string(replica));
        row.slots = 3;
        rows.push_back(row);
      }
    }
    this->backends.Access([&](BackendDirectory& directory) {
      directory.ApplyListing(this->now, rows);
      directory.SetRetryBudgetShare(Fraction(1));
    });
    AggregatorUpdate update;
    update.is_full = true;
    for (int i = 0; i < kDataCentres * kAggregatorsEach; ++i) {
      update.added.push_back(
          {VmId("vm-" + std::to_string(i)),
           DataCentreId("dc" + std::to_string(i % kDataCentres)),
           {"127.0.9.1", static_cast<std::uint16_t>(7000 + i)}});
    }
    this->SetAggregators(update);
    this->plan.is_fan_out = true;
    this->plan.is_idempotent = true;
    this->plan.max_attempts = max_attempts;
    this->plan.minimum_coverage = 0.9;
    this->plan.deadlines = {this->now,
                            this->now + std::chrono::milliseconds(100),
                            this->now + std::chrono::milliseconds(500)};
  }

  void SetAggregators(const AggregatorUpdate& update) {
    this->aggregators.Access(
        [&](AggregatorDirectory& directory) { directory.Apply(update); });
  }

  void Start() {
    this->search.emplace(this->plan, this->backends, this->aggregators);
    this->Count(this->search->Start(this->now));
  }

  // Reports answers of all shards of a query but those in `skipped`.
  void Answer(std::size_t query,
              const std::vector<ShardPosition>& skipped = {},
              bool is_final = true) {
    GroupReport report;
    report.is_final = is_final;
    PartBlock block;
    const StartQuery& started = this->queries[query];
    for (ShardPosition i = 0; i < started.shards.size(); ++i) {
      if (std::find(skipped.begin(), skipped.end(), i) == skipped.end()) {
        block.parts.push_back({i, std::to_string(query) + "/" +
                                      std::to_string(started.shards[i])});
      }
    }
    report.blocks = {block};
    this->Report(query, report);
  }

  void Report(std::size_t query, const GroupReport& report) {
    this->Count(this->search->OnReport(this->now, QueryIndex(query), report));
  }

  void Lose(std::size_t query, QueryLoss loss) {
    if (loss == QueryLoss::kNotDelivered) {
      this->TakeBack(query, std::nullopt, 0);
    }
    this->Count(this->search->OnLost(this->now, QueryIndex(query), loss));
  }

  // Reports that a shard of a query failed after `runs` possible runs.
  void Fail(std::size_t query, ShardPosition shard, std::uint32_t runs) {
    this->TakeBack(query, shard, runs);
    GroupReport report;
    report.failed = {{shard, runs, runs > 0}};
    this->Report(query, report);
  }

  void Wait(Duration time) {
    this->now += time;
    this->Count(this->search->OnTimer(this->now));
  }

  DataCentreId DataCentreOf(std::size_t query) {
    return this->aggregators.Access([&](AggregatorDirectory& directory) {
      return directory.At(*this->queries[query].aggregator).data_centre;
    });
  }

  ForwardPlan plan;
  MonotonicTime now{std::chrono::seconds(100)};
  BackendTable backends;
  AggregatorTable aggregators;
  std::optional<Search> search;
  std::vector<StartQuery> queries;
  std::vector<CancelQuery> cancelled;
  // By shard: the servers that may have run the request by what the queries
  // permit.
  std::vector<std::uint32_t> possible_runs;

 private:
  void Count(const Search::Steps& steps) {
    for (const GroupedStep& step : steps) {
      if (const auto* started = std::get_if<StartQuery>(&step)) {
        this->queries.push_back(*started);
        for (const ShardPosition shard : started->shards) {
          this->possible_runs[shard] += started->max_attempts;
        }
      } else if (const auto* ended = std::get_if<CancelQuery>(&step)) {
        this->cancelled.push_back(*ended);
      }
    }
  }

  void TakeBack(std::size_t query,
                std::optional<ShardPosition> only,
                std::uint32_t runs) {
    const StartQuery& started = this->queries[query];
    for (ShardPosition i = 0; i < started.shards.size(); ++i) {
      if (!only || *only == i) {
        this->possible_runs[started.shards[i]] -= started.max_attempts - runs;
      }
    }
  }
};

}  // namespace marigold

#endif  // TESTS_GROUPED_SEARCH_FIXTURE_H_
