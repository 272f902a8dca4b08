#ifndef SRC_POLICY_FAN_OUT_GROUPED_SEARCH_H_
#define SRC_POLICY_FAN_OUT_GROUPED_SEARCH_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/fan_out/aggregator_directory.h"
#include "src/policy/fan_out/fan_out_types.h"
#include "src/policy/fan_out/part_set.h"
#include "src/policy/fan_out/search_outcome.h"
#include "src/policy/fan_out/shard_attempts.h"
#include "src/policy/fan_out/shard_groups.h"
#include "src/policy/forward_timing.h"
#include "src/policy/forward_types.h"

namespace marigold {

// State machine of a fan-out that a root answers with the help of aggregators.
// Decides which aggregator queries which shards, when shards that are late,
// lost or failed are queried again and by whom, and when the request is
// answered. Does no I/O: each command returns the steps that the driver has to
// carry out. Not synchronised; the tables are shared between requests and do
// their own locking.
//
// The attempts of a shard are divided between its queries before they are sent:
// a query may use only the attempts that it was given, and attempts are taken
// back only if the aggregator certainly did not use them. The limit therefore
// holds even if an aggregator falls silent or its reports are lost.
template <class BackendTable, class AggregatorTable>
class GroupedSearch {
 public:
  using Steps = std::vector<GroupedStep>;

  GroupedSearch(ForwardPlan forward_plan,
                BackendTable& backend_table,
                AggregatorTable& aggregator_table)
      : plan(std::move(forward_plan)),
        backends(backend_table),
        aggregators(aggregator_table),
        shards(plan.targets.size()),
        collected(plan.targets.size()) {}

  // Commands.

  // Queries all groups.
  Steps Start(MonotonicTime now) {
    Steps steps;
    if (!this->Prepare(now)) {
      this->Finish(ForwardState::kNotRun, steps);
      return steps;
    }
    std::vector<ShardPosition> all(this->shards.size());
    std::iota(all.begin(), all.end(), 0U);
    this->QueryShards(now, all, steps);
    this->UpdateState(now, steps);
    return steps;
  }

  // Records a report to a query. Ignored if the query has ended.
  Steps OnReport(MonotonicTime now, QueryIndex index, GroupReport report) {
    Steps steps;
    Query& query = this->QueryAt(index);
    if (!query.is_open || this->current_state != ForwardState::kRunning) {
      return steps;
    }
    if (!std::exchange(query.has_reported, true) && query.aggregator) {
      this->RecordPeerOutcome(now, query, true);
      this->aggregators.Access([&](AggregatorDirectory& directory) {
        directory.OnReport(now, *query.aggregator, this->plan.route,
                           now - query.started_at, report.calls_in_progress);
      });
    }
    this->sends += report.sends - std::min(report.sends, query.reported_sends);
    query.reported_sends = std::max(report.sends, query.reported_sends);
    query.congestion = report.congestion;
    for (PartBlock& block : report.blocks) {
      this->AddBlock(query, std::move(block));
    }
    std::vector<ShardPosition> unanswered = this->ApplyFailures(query, report);
    for (const LateShard& late : report.late) {
      const ShardPosition shard = query.shards[late.shard];
      this->shards[shard].Exclude(late.server);
      unanswered.push_back(shard);
    }
    if (report.is_final) {
      this->CloseQuery(query, unanswered);
    }
    this->QueryShards(now, unanswered, steps);
    this->UpdateState(now, steps);
    return steps;
  }

  // Records that no further report of a query will arrive. Ignored if the query
  // has ended.
  Steps OnLost(MonotonicTime now, QueryIndex index, QueryLoss loss) {
    Steps steps;
    Query& query = this->QueryAt(index);
    if (!query.is_open || this->current_state != ForwardState::kRunning) {
      return steps;
    }
    if (query.aggregator) {
      this->RecordPeerOutcome(now, query, false);
      this->aggregators.Access([&](AggregatorDirectory& directory) {
        directory.OnLost(now, *query.aggregator);
      });
      this->failed_aggregators.push_back(*query.aggregator);
    }
    if (loss == QueryLoss::kNotDelivered) {
      for (const ShardPosition position : query.shards) {
        this->shards[position].OnNotDelivered(query.attempts,
                                              query.data_centre);
      }
    }
    std::vector<ShardPosition> unanswered;
    this->CloseQuery(query, unanswered);
    this->QueryShards(now, unanswered, steps);
    this->UpdateState(now, steps);
    return steps;
  }

  // Queries the shards of silent aggregators again. Finishes the request if its
  // outcome is certain or its deadline has passed.
  Steps OnTimer(MonotonicTime now) {
    Steps steps;
    const std::size_t query_count = this->queries.size();
    for (std::size_t i = 0; i < query_count; ++i) {
      if (this->IsSilent(now, this->queries[i])) {
        this->OnSilent(now, this->queries[i], steps);
      }
    }
    this->UpdateState(now, steps);
    return steps;
  }

  // Brings the deadlines forward to `end`, because the process stops then.
  Steps EndBy(MonotonicTime now, MonotonicTime end) {
    Steps steps;
    this->plan.deadlines.EndBy(end);
    this->UpdateState(now, steps);
    return steps;
  }

  // The caller has closed its connection. Ends all queries.
  Steps Abandon() {
    Steps steps;
    if (this->current_state == ForwardState::kRunning) {
      this->Finish(ForwardState::kFailed, steps);
    }
    return steps;
  }

  // Queries.

  ForwardState state() const { return this->current_state; }
  const PartSet& parts() const { return this->collected; }
  const ForwardPlan& request_plan() const { return this->plan; }
  // How many shards have servers that are short of capacity, as far as reports
  // have named them. A shard that was queried twice may count twice.
  CongestionCount congestion() const {
    CongestionCount sum;
    for (const Query& query : this->queries) {
      sum += query.congestion;
    }
    return sum;
  }
  // The number of sends to backend servers that the reports have named.
  std::size_t send_count() const { return this->sends; }
  // True if a server may have run the request.
  bool MayHaveRun() const {
    return std::any_of(
        this->shards.begin(), this->shards.end(),
        [](const ShardAttempts& shard) { return shard.MayHaveRun(); });
  }

 private:
  struct Query {
    std::optional<AggregatorIndex> aggregator;
    // The data centre of the aggregator.
    DataCentreId data_centre;
    std::vector<ShardPosition> shards;
    // By shard of the query: true if the query can still answer it.
    std::vector<bool> is_shard_open;
    std::uint32_t attempts = 1;
    std::uint32_t reported_sends = 0;
    // As the newest report states it.
    CongestionCount congestion;
    MonotonicTime started_at;
    bool is_open = true;
    bool has_reported = false;
    bool is_marked_silent = false;
  };

  // Shards with equal values go into one query.
  struct QueryKind {
    bool is_local = false;
    std::uint32_t attempts = 1;

    auto operator<=>(const QueryKind&) const = default;
  };

  Query& QueryAt(QueryIndex index) { return this->queries[index.value()]; }

  // Looks up what the choice of aggregators needs and counts the request for
  // the retry budgets. Returns false if the coverage can't be reached.
  bool Prepare(MonotonicTime now) {
    const bool is_reachable =
        this->backends.Access([&](BackendDirectory& directory) {
          if (!HasReachableCoverage(directory, now, this->plan)) {
            return false;
          }
          for (const ServiceId& shard : this->plan.targets) {
            directory.OnRequest(now, shard);
          }
          return true;
        });
    if (is_reachable) {
      this->silence_delay =
          this->aggregators.Access([&](const AggregatorDirectory& directory) {
            return ComputeSilenceDelay(
                directory.ReportQuantile(this->plan.route, kSilenceQuantile),
                this->plan.deadlines);
          });
    }
    return is_reachable;
  }

  // Queries those of the shards that need another query and may have one.
  void QueryShards(MonotonicTime now,
                   const std::vector<ShardPosition>& positions,
                   Steps& steps) {
    if (now >= this->plan.deadlines.give_up_at) {
      return;
    }
    std::map<QueryKind, std::vector<bool>> wanted_by_kind;
    for (const ShardPosition position : positions) {
      const ShardAttempts& shard = this->shards[position];
      const std::uint32_t attempts =
          shard.NextAttempts(this->plan.max_attempts);
      if (attempts > 0 && !this->collected.IsAnswered(position) &&
          this->TrySpendRetry(now, position)) {
        std::vector<bool>& wanted =
            wanted_by_kind[{shard.IsNextQueryLocal(), attempts}];
        wanted.resize(this->shards.size());
        wanted[position] = true;
      }
    }
    for (const auto& [kind, wanted] : wanted_by_kind) {
      for (ShardGroup& group : this->Plan(now, wanted, kind.is_local)) {
        this->StartOne(now, std::move(group), kind.attempts, steps);
      }
    }
  }

  std::vector<ShardGroup> Plan(MonotonicTime now,
                               const std::vector<bool>& wanted,
                               bool is_local) {
    std::vector<PlannedDataCentre> data_centres;
    if (!is_local) {
      for (DataCentreServices& services :
           this->backends.Access([&](const BackendDirectory& directory) {
             return directory.ServicesByDataCentre(now, this->plan.targets);
           })) {
        data_centres.push_back({std::move(services), true, 0});
      }
    }
    for (PlannedDataCentre& data_centre : data_centres) {
      this->ExcludeTried(data_centre.services);
    }
    DataCentreId home;
    this->aggregators.Access([&](const AggregatorDirectory& directory) {
      home = directory.home();
      for (PlannedDataCentre& data_centre : data_centres) {
        const DataCentreId& id = data_centre.services.data_centre;
        data_centre.is_askable = directory.HasAggregators(id);
        data_centre.rank = directory.RankOf(id);
      }
    });
    return PlanGroups(this->plan.targets, wanted, home, data_centres);
  }

  // A shard that is queried again goes to another data centre, because its
  // server there is late or the whole data centre is unreachable.
  void ExcludeTried(DataCentreServices& services) const {
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
      if (this->shards[i].WasTried(services.data_centre)) {
        services.is_available[i] = false;
      }
    }
  }

  bool TrySpendRetry(MonotonicTime now, ShardPosition position) {
    return !this->shards[position].IsNextQueryRetry() ||
           this->backends.Access([&](BackendDirectory& directory) {
             return directory.TrySpendRetry(now, this->plan.targets[position]);
           });
  }

  void StartOne(MonotonicTime now,
                ShardGroup group,
                std::uint32_t attempts,
                Steps& steps) {
    const std::optional<AggregatorIndex> aggregator =
        this->aggregators.Access([&](AggregatorDirectory& directory) {
          return directory.Choose(now, group, this->failed_aggregators);
        });
    StartQuery step{QueryIndex(this->queries.size()),
                    aggregator,
                    group.shards,
                    {},
                    attempts};
    for (const ShardPosition position : group.shards) {
      ShardAttempts& shard = this->shards[position];
      step.is_repeated = step.is_repeated || shard.WasQueried();
      shard.OnStarted(attempts, aggregator ? group.data_centre : std::nullopt);
      step.excluded.push_back(shard.excluded());
    }
    Query query;
    query.aggregator = aggregator;
    query.data_centre = group.data_centre.value_or(DataCentreId());
    query.is_shard_open.assign(group.shards.size(), true);
    query.shards = std::move(group.shards);
    query.attempts = attempts;
    query.started_at = now;
    this->queries.push_back(std::move(query));
    steps.push_back(std::move(step));
  }

  void AddBlock(const Query& query, PartBlock block) {
    for (Part& part : block.parts) {
      part.shard = query.shards[part.shard];
    }
    this->collected.Add(std::move(block));
  }

  // Takes back the attempts that failed shards have not used. Returns the
  // positions of these shards in the request.
  std::vector<ShardPosition> ApplyFailures(Query& query,
                                           const GroupReport& report) {
    std::vector<ShardPosition> failed_shards;
    for (const FailedShard& failed : report.failed) {
      if (!query.is_shard_open[failed.shard]) {
        continue;
      }
      query.is_shard_open[failed.shard] = false;
      const ShardPosition position = query.shards[failed.shard];
      this->shards[position].OnFailed(query.attempts, failed.possible_runs,
                                      failed.was_delivered);
      failed_shards.push_back(position);
    }
    return failed_shards;
  }

  // Ends a query. Adds the shards that it has left without an answer to
  // `unanswered`.
  void CloseQuery(Query& query, std::vector<ShardPosition>& unanswered) {
    query.is_open = false;
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
      if (query.is_shard_open[i]) {
        query.is_shard_open[i] = false;
        this->shards[query.shards[i]].OnEnded();
        unanswered.push_back(query.shards[i]);
      }
    }
  }

  MonotonicTime SilentAt(const Query& query) const {
    return query.started_at + this->silence_delay;
  }

  bool AwaitsFirstReport(const Query& query) const {
    return query.is_open && query.aggregator && !query.has_reported &&
           !query.is_marked_silent;
  }

  bool IsSilent(MonotonicTime now, const Query& query) const {
    return this->AwaitsFirstReport(query) && now >= this->SilentAt(query);
  }

  void OnSilent(MonotonicTime now, Query& query, Steps& steps) {
    query.is_marked_silent = true;
    this->RecordPeerOutcome(now, query, false);
    this->aggregators.Access([&](AggregatorDirectory& directory) {
      directory.OnSilent(now, *query.aggregator);
    });
    this->failed_aggregators.push_back(*query.aggregator);
    // A copy, because `QueryShards` adds to `queries`.
    const std::vector<ShardPosition> positions = query.shards;
    this->QueryShards(now, positions, steps);
  }

  // Records whether the data centre of an aggregator has shown to be reachable.
  void RecordPeerOutcome(MonotonicTime now,
                         const Query& query,
                         bool was_answered) {
    this->backends.Access([&](BackendDirectory& directory) {
      directory.OnPeerOutcome(now, query.data_centre, was_answered);
    });
  }

  void UpdateState(MonotonicTime now, Steps& steps) {
    if (this->current_state != ForwardState::kRunning) {
      return;
    }
    std::size_t exhausted_count = 0;
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
      exhausted_count +=
          !this->collected.IsAnswered(static_cast<ShardPosition>(i)) &&
                  !this->shards[i].HasOpenQuery()
              ? 1
              : 0;
    }
    const ForwardState state =
        DecideState(this->plan,
                    {this->shards.size(), this->collected.answered_count(),
                     exhausted_count},
                    now, this->MayHaveRun());
    if (state == ForwardState::kRunning) {
      steps.push_back(SetForwardTimer{this->NextTimer(now)});
    } else {
      this->Finish(state, steps);
    }
  }

  MonotonicTime NextTimer(MonotonicTime now) const {
    MonotonicTime next_timer_at = this->plan.deadlines.give_up_at;
    if (this->plan.deadlines.answer_by > now) {
      next_timer_at = std::min(next_timer_at, this->plan.deadlines.answer_by);
    }
    for (const Query& query : this->queries) {
      if (this->AwaitsFirstReport(query)) {
        next_timer_at = std::min(next_timer_at, this->SilentAt(query));
      }
    }
    return next_timer_at;
  }

  void Finish(ForwardState state, Steps& steps) {
    this->current_state = state;
    for (std::size_t i = 0; i < this->queries.size(); ++i) {
      Query& query = this->queries[i];
      if (std::exchange(query.is_open, false)) {
        steps.push_back(CancelQuery{
            QueryIndex(i), query.aggregator, state == ForwardState::kAnswered,
            query.is_marked_silent && !query.has_reported});
      }
    }
  }

  ForwardPlan plan;
  BackendTable& backends;
  AggregatorTable& aggregators;
  // The time after which an aggregator without a report is silent.
  Duration silence_delay{};
  std::vector<ShardAttempts> shards;
  std::vector<Query> queries;
  // Aggregators that this request asks no more.
  std::vector<AggregatorIndex> failed_aggregators;
  PartSet collected;
  std::size_t sends = 0;
  ForwardState current_state = ForwardState::kRunning;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_GROUPED_SEARCH_H_
