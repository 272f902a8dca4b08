#include "tools/soak/event_queue.h"

#include <algorithm>
#include <utility>

namespace marigold {

void EventQueue::At(MonotonicTime time, std::function<void()> task) {
  this->events.push(
      {std::max(time, this->now()), ++this->last_sequence, std::move(task)});
}

void EventQueue::After(Duration delay, std::function<void()> task) {
  this->At(this->now() + delay, std::move(task));
}

void EventQueue::RunUntil(MonotonicTime end) {
  while (!this->events.empty() && this->events.top().time <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->current_time = event.time;
    event.task();
  }
  this->current_time = end;
}

}  // namespace marigold
