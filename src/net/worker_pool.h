#ifndef SRC_NET_WORKER_POOL_H_
#define SRC_NET_WORKER_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "src/core/units.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace marigold {

// The handle of a timer that runs a function on the pool once. Destroying or
// cancelling the handle prevents the call unless it has already begun.
class TimerHandle {
 public:
  struct State;

  TimerHandle() = default;
  explicit TimerHandle(std::shared_ptr<State> timer_state);
  ~TimerHandle();

  TimerHandle(TimerHandle&& other) noexcept;
  TimerHandle& operator=(TimerHandle&& other) noexcept;
  TimerHandle(const TimerHandle&) = delete;
  TimerHandle& operator=(const TimerHandle&) = delete;

  void Cancel();

 private:
  std::shared_ptr<State> state;
};

// The threads that run the handlers of a process. They block on one I/O context
// while there is no work. Handlers may run on several threads at the same time,
// so shared state needs its own locks.
class WorkerPool {
 public:
  explicit WorkerPool(std::int64_t thread_count);

  // Calls `Stop`.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Runs a function on any of the threads.
  void Post(std::function<void()> task);

  // Runs a function on any of the threads after `delay`, unless the handle is
  // destroyed or cancelled before then.
  [[nodiscard]] TimerHandle After(Duration delay, std::function<void()> task);

  // Runs a function on any of the threads after `delay`. The call can't be
  // cancelled.
  void PostAfter(Duration delay, std::function<void()> task);

  // Calls `signal_handler` with the signal number on each SIGTERM and SIGINT,
  // and `reload_handler` on each SIGHUP. Ignores SIGPIPE.
  void SetSignalHandler(
      std::function<void(int)> signal_handler,
      std::function<void()> reload_handler = [] {});

  // Blocks the calling thread until `Finish` is called.
  void WaitUntilFinished();

  // Stops and joins the threads. Handlers that have not begun never run. Must
  // be called before the objects that handlers refer to are destroyed.
  void Stop();

  // Makes `WaitUntilFinished` return. May be called from any thread and more
  // than once.
  void Finish();

  boost::asio::io_context& context();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_WORKER_POOL_H_
