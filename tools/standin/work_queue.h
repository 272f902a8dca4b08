#ifndef TOOLS_STANDIN_WORK_QUEUE_H_
#define TOOLS_STANDIN_WORK_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "src/core/ids.h"

namespace marigold {

// One request on a searcher.
using WorkId = detail::NumericId<struct WorkTag>;

// The slots of a searcher and the bounded queue before them. Pure decisions.
class WorkQueue {
 public:
  enum class Placement { kRunning, kQueued, kRefused };

  WorkQueue(std::size_t slot_count, std::size_t queue_limit)
      : slots(slot_count), limit(queue_limit) {}

  // Commands.

  // Takes work into a free slot or the queue, or refuses it.
  Placement Offer(WorkId work);

  // Removes work, wherever it is.
  void Remove(WorkId work);

  // Moves the oldest queued work into a free slot, if there are both.
  std::optional<WorkId> StartNext();

  void Clear();

  // Queries.

  // In service plus queued.
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
