#ifndef SRC_REPLICATION_DETAIL_FOLLOWER_H_
#define SRC_REPLICATION_DETAIL_FOLLOWER_H_

#include "src/replication/detail/replica_state.h"
#include "src/replication/detail/snapshot_transfer.h"

namespace marigold::detail {

// What a member does with the messages of the current term's leader.
class Follower {
 public:
  // Takes entries into the log in memory and answers the leader; the answer
  // leaves after the next flush.
  void OnAppend(ReplicaState& state,
                const ReplicaMessage& message,
                const AppendRequest& request);
  // Takes a piece of an image and, with the last, the image in place of the
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
