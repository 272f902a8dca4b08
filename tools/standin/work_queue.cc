#include "tools/standin/work_queue.h"

namespace marigold {

WorkQueue::Placement WorkQueue::Offer(WorkId work) {
  if (this->running.size() < this->slots) {
    this->running.insert(work);
    return Placement::kRunning;
  }
  if (this->queued.size() < this->limit) {
    this->queued.push_back(work);
    return Placement::kQueued;
  }
  return Placement::kRefused;
}

void WorkQueue::Remove(WorkId work) {
  if (this->running.erase(work) == 0) {
    std::erase(this->queued, work);
  }
}

std::optional<WorkId> WorkQueue::StartNext() {
  if (this->queued.empty() || this->running.size() >= this->slots) {
    return std::nullopt;
  }
  const WorkId work = this->queued.front();
  this->queued.pop_front();
  this->running.insert(work);
  return work;
}

void WorkQueue::Clear() {
  this->running.clear();
  this->queued.clear();
}

std::uint32_t WorkQueue::load() const {
  return static_cast<std::uint32_t>(this->running.size() + this->queued.size());
}

}  // namespace marigold
