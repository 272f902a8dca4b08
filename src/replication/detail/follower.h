#ifndef SRC_REPLICATION_DETAIL_FOLLOWER_H_
#define SRC_REPLICATION_DETAIL_FOLLOWER_H_

#include "src/replication/detail/replica_state.h"
#include "src/replication/detail/snapshot_transfer.h"

namespace marigold::detail {

// Handles the messages of the current term's leader.
class Follower {
 public:
  // Appends the entries to the log in memory and replies to the leader. The
  // reply is sent after the next flush.
  void OnAppend(ReplicaState& state,
                const ReplicaMessage& message,
                const AppendRequest& request);
  // Receives a snapshot chunk. Once the snapshot is complete, it replaces the
  // log.
  void OnChunk(ReplicaState& state,
               const ReplicaMessage& message,
               const SnapshotChunk& chunk);

 private:
  void RejectAppend(ReplicaState& state,
                    const DiskId& leader,
                    const AppendRequest& request);

  SnapshotReceiver receiver;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_FOLLOWER_H_
