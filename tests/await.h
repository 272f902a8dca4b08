#ifndef TESTS_AWAIT_H_
#define TESTS_AWAIT_H_

#include <functional>
#include <future>

#include "src/core/clock.h"
#include "src/net/worker_pool.h"

namespace marigold {

inline constexpr Duration kWaitLimit = std::chrono::seconds(10);

// Polls `condition`. Returns true as soon as it holds, or false after
// `timeout`.
inline bool Await(WorkerPool& pool,
                  const std::function<bool()>& condition,
                  Duration timeout = kWaitLimit) {
  constexpr Duration kPollInterval = std::chrono::milliseconds(2);
  const SystemClock clock;
  const MonotonicTime deadline = clock.Now() + timeout;
  while (!condition()) {
    if (clock.Now() >= deadline) {
      return false;
    }
    std::promise<void> pause_ended;
    const TimerHandle timer =
        pool.After(kPollInterval, [&] { pause_ended.set_value(); });
    pause_ended.get_future().wait();
  }
  return true;
}

}  // namespace marigold

#endif  // TESTS_AWAIT_H_
