#ifndef TOOLS_SOAK_EVENT_QUEUE_H_
#define TOOLS_SOAK_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "src/core/units.h"

namespace marigold {

// Simulates time: runs tasks in the order of their times. Tasks with the same
// time run in the order in which they were added.
class EventQueue {
 public:
  MonotonicTime now() const { return this->current_time; }

  void At(MonotonicTime time, std::function<void()> task);
  void After(Duration delay, std::function<void()> task);

  // Runs all events up to and including `end` and then sets the current time to
  // `end`.
  void RunUntil(MonotonicTime end);

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence = 0;
    std::function<void()> task;

    bool operator<(const Event& other) const {
      return std::pair(other.time, other.sequence) <
             std::pair(this->time, this->sequence);
    }
  };

  MonotonicTime current_time;
  std::uint64_t last_sequence = 0;
  std::priority_queue<Event> events;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_EVENT_QUEUE_H_
