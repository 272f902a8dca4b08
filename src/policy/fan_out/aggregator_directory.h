#ifndef SRC_POLICY_FAN_OUT_AGGREGATOR_DIRECTORY_H_
#define SRC_POLICY_FAN_OUT_AGGREGATOR_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/fan_out/aggregator_registry.h"
#include "src/policy/fan_out/fan_out_cost.h"
#include "src/policy/fan_out/fan_out_types.h"
#include "src/policy/fan_out/shard_groups.h"
#include "src/policy/latency_digest.h"

namespace marigold {

// The other entry VMs as this process knows them, what it has observed of them,
// and the choice of the one that queries a group of shards. Each group has a
// few candidates in each data centre, which are the same for all roots, so that
// few VMs hold connections to a backend server. A root prefers the same
// candidate each time, so that its connections stay in use. Not synchronised.
class AggregatorDirectory {
 public:
  AggregatorDirectory(VmId own_vm,
                      DataCentreId own_data_centre,
                      FanOutSettings fan_out_settings = {});

  // Commands.

  // Applies a change of the set of aggregators. The own VM is ignored.
  void Apply(const AggregatorUpdate& update);

  // A report arrived `latency` after its query was sent. `calls_in_progress` is
  // the number of queries that the aggregator works on.
  void OnReport(MonotonicTime now,
                AggregatorIndex index,
                const RouteName& route,
                Duration latency,
                std::uint32_t calls_in_progress);
  // A query got no report in the usual time.
  void OnSilent(MonotonicTime now, AggregatorIndex index);
  // A connection could not be opened, or closed during a query.
  void OnLost(MonotonicTime now, AggregatorIndex index);

  // Returns the aggregator to ask for a group. Returns nothing if none can be
  // asked now. Those in `excluded` are not asked.
  std::optional<AggregatorIndex> Choose(
      MonotonicTime now,
      const ShardGroup& group,
      std::span<const AggregatorIndex> excluded);

  // Queries.

  // True if the data centre has aggregators.
  bool HasAggregators(const DataCentreId& data_centre) const {
    return this->members_by_data_centre.contains(data_centre);
  }
  // The order in which this root prefers data centres that are equally good. It
  // differs between roots, which spreads the load.
  std::uint64_t RankOf(const DataCentreId& data_centre) const;
  const DataCentreId& home() const { return this->own_data_centre; }
  // True if a fan-out over this number of shards should go through aggregators.
  bool PrefersGroups(std::size_t shard_count) const {
    return !this->members_by_data_centre.empty() &&
           marigold::PrefersGroups(this->settings, shard_count);
  }
  const Aggregator& At(AggregatorIndex index) const {
    return this->members[index.value()].aggregator;
  }
  // The quantile of the times until the first report for a route. Absent while
  // there are too few reports.
  std::optional<Duration> ReportQuantile(const RouteName& route,
                                         Fraction quantile) const;
  // The number of aggregators in use.
  std::size_t size() const;

 private:
  struct Member {
    Aggregator aggregator;
    bool is_listed = false;
    // Queries in a row that got no report in the usual time.
    std::uint32_t silent_queries = 0;
    // Not asked before this time if another one is not busy.
    MonotonicTime busy_until;
    // Not asked before this time, unless no other candidate is left.
    MonotonicTime avoided_until;
  };

  // The members that may be asked for a group, in the order in which this root
  // asks them.
  using Candidates = std::vector<AggregatorIndex>;

  // The size of the histograms of report latencies, in samples.
  static constexpr std::uint32_t kSamplesPerHistogram = 256;

  void Add(const Aggregator& aggregator);
  const Candidates& CandidatesOf(const ShardGroup& group);

  VmId vm;
  DataCentreId own_data_centre;
  FanOutSettings settings;
  std::vector<Member> members;
  std::unordered_map<VmId, AggregatorIndex> index_by_vm;
  std::unordered_map<DataCentreId, std::vector<AggregatorIndex>>
      members_by_data_centre;
  // Computed when first needed, and dropped when the set changes.
  std::unordered_map<GroupKey, Candidates> candidates;
  std::unordered_map<RouteName, LatencyDigest> report_latencies;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_AGGREGATOR_DIRECTORY_H_
