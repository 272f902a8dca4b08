#ifndef TOOLS_STANDIN_MATCH_CONTENT_H_
#define TOOLS_STANDIN_MATCH_CONTENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/core/ids.h"
#include "src/policy/search_types.h"
#include "tools/standin/snapshot_schedule.h"

namespace marigold {

// Returns the one to three matches that the stand-in returns for a query on one
// shard, in the order of an answer. They depend on the arguments only. The text
// of each match contains the service, a hash of the query, the snapshot, the
// shard and the number of shards, so that a checker recognises a match of
// another query, snapshot, shard or partitioning.
std::vector<Match> MatchesFor(const ServiceId& service,
                              std::string_view query,
                              const SnapshotLayout& layout,
                              ShardId shard);

// Sorts by descending score and then by id, which is the order of an answer.
void SortMatches(std::vector<Match>& matches);

}  // namespace marigold

#endif  // TOOLS_STANDIN_MATCH_CONTENT_H_
