#ifndef TOOLS_STANDIN_WORK_QUEUE_H_
#define TOOLS_STANDIN_WORK_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "src/core/ids.h"

namespace marigold {

// Identifies one accepted request of a searcher.
using WorkId = detail::NumericId<struct WorkTag>;

// The slots of a searcher and the bounded FIFO queue of requests that wait for
// one. Does no I/O and takes no lock.
class WorkQueue {
 public:
  enum class Placement { kRunning, kQueued, kRefused };

  WorkQueue(std::size_t slot_count, std::size_t queue_limit)
      : slots(slot_count), limit(queue_limit) {}

  // Commands.

  // Puts work into a free slot or the queue. Refuses it if both are full.
  Placement Offer(WorkId work);

  // Removes work from its slot or the queue.
  void Remove(WorkId work);

  // Moves the oldest queued work into a free slot and returns it. Returns
  // nothing if no work is queued or no slot is free.
  std::optional<WorkId> StartNext();

  void Clear();

  // Queries.

  // The number of running and queued requests.
  std::uint32_t load() const;
  bool IsRunning(WorkId work) const { return this->running.contains(work); }

 private:
  std::size_t slots;
  std::size_t limit;
  std::set<WorkId> running;
  std::deque<WorkId> queued;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_WORK_QUEUE_H_
