#ifndef SRC_POLICY_WAIT_QUEUES_H_
#define SRC_POLICY_WAIT_QUEUES_H_

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "src/core/ids.h"

namespace marigold {

// A search that waits for room at the servers of a shard.
using WaiterId = detail::NumericId<struct WaiterTag>;

// The searches of one service that wait for room, in order of arrival for each
// shard of each snapshot.
class WaitQueues {
 public:
  using Key = std::pair<SnapshotId, ShardId>;

  // Commands.

  // Adds the waiter at the end unless it waits already.
  void Add(const Key& key, WaiterId waiter);

  // False if the waiter was not in the queue.
  bool Remove(const Key& key, WaiterId waiter);

  // Queries.

  // True if nobody waits before this waiter.
  bool IsNext(const Key& key, WaiterId waiter) const;

  // The first waiter, or null.
  const WaiterId* FirstWaiter(const Key& key) const;

  bool empty() const { return this->queues.empty(); }

  // The waiters of all queues.
  std::vector<WaiterId> AllWaiters() const;

 private:
  std::map<Key, std::deque<WaiterId>> queues;
};

}  // namespace marigold

#endif  // SRC_POLICY_WAIT_QUEUES_H_
