#ifndef TOOLS_STANDIN_MATCH_CONTENT_H_
#define TOOLS_STANDIN_MATCH_CONTENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/core/ids.h"
#include "src/policy/search_types.h"
#include "tools/standin/snapshot_schedule.h"

namespace marigold {

// The matches that the stand-in gives for a query on one shard: one to three,
// computed from the arguments alone. The text encodes the service, the query,
// the snapshot, the shard and the number of shards, so that a checker finds a
// match of another query, snapshot, shard or partition.
std::vector<Match> MatchesFor(const ServiceId& service,
                              std::string_view query,
                              const SnapshotLayout& layout,
                              ShardId shard);

// By descending score, then by id: the order of an answer.
void SortMatches(std::vector<Match>& matches);

}  // namespace marigold

#endif  // TOOLS_STANDIN_MATCH_CONTENT_H_
