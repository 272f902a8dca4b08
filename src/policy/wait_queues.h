#ifndef SRC_POLICY_WAIT_QUEUES_H_
#define SRC_POLICY_WAIT_QUEUES_H_

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "src/core/ids.h"

namespace marigold {

// Identifies a search that waits for a server of a shard to have room.
using WaiterId = detail::NumericId<struct WaiterTag>;

// The searches of one service that wait for room at a server. Each shard of
// each snapshot has a queue in order of arrival. Not synchronised.
class WaitQueues {
 public:
  using Key = std::pair<SnapshotId, ShardId>;

  // Commands.

  // Appends the waiter to the queue unless it is already in it.
  void Add(const Key& key, WaiterId waiter);

  // Removes the waiter. Returns false if it was not in the queue.
  bool Remove(const Key& key, WaiterId waiter);

  // Queries.

  // True if the waiter is the first one of the queue, or the queue is empty.
  bool IsNext(const Key& key, WaiterId waiter) const;

  // The first waiter, or null if the queue is empty. Valid until the next
  // command.
  const WaiterId* FirstWaiter(const Key& key) const;

  bool empty() const { return this->queues.empty(); }

  // The waiters of all queues.
  std::vector<WaiterId> AllWaiters() const;

 private:
  std::map<Key, std::deque<WaiterId>> queues;
};

}  // namespace marigold

#endif  // SRC_POLICY_WAIT_QUEUES_H_
