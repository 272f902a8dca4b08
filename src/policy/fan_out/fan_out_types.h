#ifndef SRC_POLICY_FAN_OUT_FAN_OUT_TYPES_H_
#define SRC_POLICY_FAN_OUT_FAN_OUT_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/policy/congestion_count.h"
#include "src/policy/forward_types.h"

namespace marigold {

// An entry VM that queries a group of shards for other entry VMs. The entry VM
// that has the caller's request is called the root.
struct Aggregator {
  VmId vm;
  DataCentreId data_centre;
  // The address for queries of other entry VMs.
  Endpoint endpoint;
  // The address on which it serves its lists to other entry VMs. Port 0 if it
  // serves none.
  Endpoint lists_endpoint{};

  auto operator<=>(const Aggregator&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->data_centre, this->endpoint, this->lists_endpoint);
  }
};

// Index of an aggregator in the directory of one process.
using AggregatorIndex = detail::NumericId<struct AggregatorIndexTag>;

// Hash of the names of the shards of a group. All entry VMs derive the same
// groups from a list of shards, so that they ask the same aggregators.
using GroupKey = detail::NumericId<struct GroupKeyTag>;

// A query of a root to an aggregator. Counted from 0 within the request.
using QueryIndex = detail::NumericId<struct QueryIndexTag>;

// Position of a shard in a query or in a request.
using ShardPosition = std::uint32_t;

// The answer of one shard: its position and the stamp that signs it.
struct Part {
  ShardPosition shard = 0;
  std::string stamp;

  bool operator==(const Part&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shard, this->stamp);
  }
};

// Answers of one or more shards whose records are merged. A block is used as a
// whole, because the merged records can't be separated again.
struct PartBlock {
  std::vector<Part> parts;
  std::string records;

  bool operator==(const PartBlock&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->parts, this->records);
  }
};

// A shard that no further send of the query can answer.
struct FailedShard {
  ShardPosition shard = 0;
  // The number of servers that may have run the request.
  std::uint32_t possible_runs = 0;
  // True if a server may have received the request, even if it did not run it.
  bool was_delivered = false;

  bool operator==(const FailedShard&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shard, this->possible_runs, this->was_delivered);
  }
};

// A shard that has not answered in the usual time and may still answer.
struct LateShard {
  ShardPosition shard = 0;
  // The server to which the request was sent last.
  BackendServerId server;

  bool operator==(const LateShard&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->shard, this->server);
  }
};

// What an aggregator has learnt since its last report. Positions count within
// the query.
struct GroupReport {
  std::vector<PartBlock> blocks;
  std::vector<FailedShard> failed;
  std::vector<LateShard> late;
  // The number of sends to backend servers since the query began.
  std::uint32_t sends = 0;
  // The number of queries that the aggregator works on.
  std::uint32_t calls_in_progress = 0;
  // True if no further report follows.
  bool is_final = false;
  // The shards whose servers are short of capacity, since the query began.
  CongestionCount congestion{};

  bool operator==(const GroupReport&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->blocks, this->failed, this->late, this->sends,
            this->calls_in_progress, this->is_final, this->congestion);
  }
};

// True if all positions in the report are below `shard_count`. A report that
// comes from another VM must be checked before its use.
bool IsValidReport(const GroupReport& report, std::size_t shard_count);

// Why a query ended without a final report.
enum class QueryLoss {
  // The aggregator received nothing.
  kNotDelivered,
  // The connection closed after the query had been written.
  kMayHaveRun,
};

// The following steps are those that `GroupedSearch` asks its driver to carry
// out, besides `SetForwardTimer`.

// Sends a query for some shards to an aggregator.
struct StartQuery {
  QueryIndex query;
  // Absent if this process queries the shards itself.
  std::optional<AggregatorIndex> aggregator;
  // Positions in `ForwardPlan::targets`.
  std::vector<ShardPosition> shards;
  // By shard of the query: a server that is already late or has failed.
  std::vector<std::optional<BackendServerId>> excluded;
  // The maximum number of servers of each shard that may run the request.
  std::uint32_t max_attempts = 1;
  // True if another query has been sent for some of the shards before.
  bool is_repeated = false;
};

// Ends a query whose further reports are not needed. If `is_answered` is false,
// the caller is gone or was refused, and the work ends at once.
struct CancelQuery {
  QueryIndex query;
  // Absent if this process queries the shards itself.
  std::optional<AggregatorIndex> aggregator;
  bool is_answered = false;
  // True if the aggregator has never reported, although it had time to.
  bool is_silent = false;
};

using GroupedStep = std::variant<StartQuery, CancelQuery, SetForwardTimer>;

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_FAN_OUT_TYPES_H_
