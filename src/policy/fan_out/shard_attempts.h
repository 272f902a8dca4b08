#ifndef SRC_POLICY_FAN_OUT_SHARD_ATTEMPTS_H_
#define SRC_POLICY_FAN_OUT_SHARD_ATTEMPTS_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/ids.h"

namespace marigold {

// The queries for one shard of a request, and the attempts that they may have
// used. Attempts are given to a query before it is sent and are taken back only
// if it certainly did not use them.
class ShardAttempts {
 public:
  // After this many queries, the root queries the shard itself.
  static constexpr std::uint32_t kMaxRemoteQueries = 2;

  // Commands.

  // A query that may use `attempts` begins. `data_centre` is absent if the root
  // queries the shard itself.
  void OnStarted(std::uint32_t attempts,
                 const std::optional<DataCentreId>& data_centre) {
    this->granted += attempts;
    ++this->deliveries;
    ++this->open_queries;
    ++this->query_count;
    if (data_centre) {
      this->tried_data_centres.push_back(*data_centre);
    } else {
      this->was_queried_here = true;
    }
  }

  // The aggregator of a query received nothing. Another one of the same data
  // centre may be reachable.
  void OnNotDelivered(std::uint32_t attempts, const DataCentreId& data_centre) {
    this->granted -= attempts;
    --this->deliveries;
    std::erase(this->tried_data_centres, data_centre);
  }

  // A query reports that it can't answer the shard. `possible_runs` of its
  // `attempts` may have run; `was_delivered` is false if no server received the
  // request.
  void OnFailed(std::uint32_t attempts,
                std::uint32_t possible_runs,
                bool was_delivered) {
    this->granted -= attempts - std::min(possible_runs, attempts);
    this->deliveries -= was_delivered ? 0 : 1;
    this->OnEnded();
  }

  // A query can no longer answer the shard.
  void OnEnded() { --this->open_queries; }

  void Exclude(const BackendServerId& server) {
    this->excluded_server = server;
  }

  // Queries.

  // The attempts for the next query; zero if there may be none. The first query
  // leaves one attempt for the case that its aggregator falls silent.
  std::uint32_t NextAttempts(std::uint32_t max_attempts) const {
    if (this->was_queried_here || this->granted >= max_attempts) {
      return 0;
    }
    const std::uint32_t left = max_attempts - this->granted;
    return this->granted == 0 ? std::max(left - 1, 1U) : left;
  }

  // True if the next query has to be one of the root itself.
  bool IsNextQueryLocal() const {
    return this->query_count >= kMaxRemoteQueries;
  }

  bool WasQueried() const { return this->query_count > 0; }

  // True if another query is a retry, because a server may have received the
  // request.
  bool IsNextQueryRetry() const { return this->deliveries > 0; }

  bool WasTried(const DataCentreId& data_centre) const {
    return std::find(this->tried_data_centres.begin(),
                     this->tried_data_centres.end(),
                     data_centre) != this->tried_data_centres.end();
  }

  bool HasOpenQuery() const { return this->open_queries > 0; }
  // True if a server may have run the request.
  bool MayHaveRun() const { return this->granted > 0; }
  // A server that must not get the request, because it is late.
  const std::optional<BackendServerId>& excluded() const {
    return this->excluded_server;
  }

 private:
  std::uint32_t granted = 0;
  // Queries of which a server may have received the request.
  std::uint32_t deliveries = 0;
  std::uint32_t open_queries = 0;
  std::uint32_t query_count = 0;
  bool was_queried_here = false;
  std::optional<BackendServerId> excluded_server;
  std::vector<DataCentreId> tried_data_centres;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_SHARD_ATTEMPTS_H_
