#ifndef SRC_POLICY_SNAPSHOT_CHOICE_H_
#define SRC_POLICY_SNAPSHOT_CHOICE_H_

#include <vector>

#include "src/policy/search_types.h"
#include "src/policy/snapshot_view.h"

namespace marigold {

// Returns the snapshot that a new query uses, or null if there is none.
// `snapshots` are ordered newest first.
//
// The function chooses the newest snapshot of which every shard has enough
// replicas. The required number is a share of the highest `min_replicas` of all
// snapshots, and the preference sets the share. Without this rule, the first
// server that loads a new snapshot would get all traffic. If no snapshot is
// served completely, the one with the highest coverage is chosen, or the newer
// of two equal ones.
const SnapshotView* ChooseSnapshot(const std::vector<SnapshotView>& snapshots,
                                   Preference preference);

// Returns the ratio of served shards to all shards; 0 for an empty shard set.
Fraction ServedShare(const SnapshotView& view);

}  // namespace marigold

#endif  // SRC_POLICY_SNAPSHOT_CHOICE_H_
