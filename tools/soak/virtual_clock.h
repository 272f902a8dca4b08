#ifndef TOOLS_SOAK_VIRTUAL_CLOCK_H_
#define TOOLS_SOAK_VIRTUAL_CLOCK_H_

#include <functional>
#include <memory>
#include <utility>

#include "src/core/clock.h"
#include "tools/soak/event_queue.h"

namespace marigold {

// The wall time at virtual time zero.
inline constexpr WallTime kVirtualWallStart =
    WallTime(std::chrono::hours(24 * 365 * 50));

// Reads virtual time. Satisfies `Clock`.
class VirtualClock {
 public:
  explicit VirtualClock(const EventQueue& event_queue) : events(event_queue) {}

  MonotonicTime Now() const { return this->events.now(); }
  WallTime WallNow() const {
    return kVirtualWallStart + this->events.now().time_since_epoch();
  }

 private:
  const EventQueue& events;
};

static_assert(Clock<VirtualClock>);

// Runs a task after a delay in virtual time, unless it is destroyed before
// that.
class VirtualTimer {
 public:
  VirtualTimer() = default;
  VirtualTimer(EventQueue& events, Duration delay, std::function<void()> task)
      : pending(std::make_shared<bool>(true)) {
    events.After(delay, [pending = this->pending, task = std::move(task)] {
      if (*pending) {
        task();
      }
    });
  }
  ~VirtualTimer() { this->Cancel(); }

  VirtualTimer(VirtualTimer&& other) noexcept
      : pending(std::move(other.pending)) {}
  VirtualTimer& operator=(VirtualTimer&& other) noexcept {
    if (this != &other) {
      this->Cancel();
      this->pending = std::move(other.pending);
    }
    return *this;
  }

  VirtualTimer(const VirtualTimer&) = delete;
  VirtualTimer& operator=(const VirtualTimer&) = delete;

 private:
  void Cancel() {
    if (this->pending != nullptr) {
      *this->pending = false;
    }
  }

  std::shared_ptr<bool> pending;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_VIRTUAL_CLOCK_H_
