#ifndef TOOLS_BENCH_EVENT_QUEUE_H_
#define TOOLS_BENCH_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "src/core/units.h"

namespace marigold {

// Simulates time: runs events in the order of their times. Events with the same
// time run in the order of insertion.
class EventQueue {
 public:
  // Commands.

  void At(MonotonicTime time, std::function<void()> run) {
    this->events.push({time, ++this->last_sequence, std::move(run)});
  }

  void After(Duration delay, std::function<void()> run) {
    this->At(this->time + delay, std::move(run));
  }

  // Runs all events up to and including `end` and then sets the current time to
  // `end`.
  void RunUntil(MonotonicTime end) {
    while (!this->events.empty() && this->events.top().time <= end) {
      // The queue exposes its top only as const. The event is removed before it
      // runs, because it may insert others.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->time = event.time;
      event.run();
    }
    this->time = end;
  }

  // Queries.

  MonotonicTime now() const { return this->time; }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(other.time, other.sequence) <
             std::pair(this->time, this->sequence);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t last_sequence = 0;
  MonotonicTime time;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_EVENT_QUEUE_H_
