#include "src/policy/wait_queues.h"

#include <algorithm>

namespace marigold {

void WaitQueues::Add(const Key& key, WaiterId waiter) {
  auto& queue = this->queues[key];
  if (std::find(queue.begin(), queue.end(), waiter) == queue.end()) {
    queue.push_back(waiter);
  }
}

bool WaitQueues::Remove(const Key& key, WaiterId waiter) {
  const auto position = this->queues.find(key);
  if (position == this->queues.end()) {
    return false;
  }
  const bool was_queued = std::erase(position->second, waiter) > 0;
  if (position->second.empty()) {
    this->queues.erase(position);
  }
  return was_queued;
}

bool WaitQueues::IsNext(const Key& key, WaiterId waiter) const {
  const WaiterId* first = this->FirstWaiter(key);
  return first == nullptr || *first == waiter;
}

const WaiterId* WaitQueues::FirstWaiter(const Key& key) const {
  const auto position = this->queues.find(key);
  return position == this->queues.end() ? nullptr : &position->second.front();
}

std::vector<WaiterId> WaitQueues::AllWaiters() const {
  std::vector<WaiterId> waiters;
  for (const auto& [key, queue] : this->queues) {
    waiters.insert(waiters.end(), queue.begin(), queue.end());
  }
  return waiters;
}

}  // namespace marigold
