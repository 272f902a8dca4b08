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

// A timer that runs a function on the pool once. Destroying or cancelling the
// handle prevents the call, unless it has already begun.
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

// Threads that block on one I/O context and run the handlers of a process.
// Handlers may run on any thread at the same time; shared state has its own
// locks.
class WorkerPool {
 public:
  // Starts `thread_count` threads.
  explicit WorkerPool(std::int64_t thread_count);

  // Calls `Stop`.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Runs a function on some thread.
  void Post(std::function<void()> task);

  // Runs a function on some thread after `delay`.
  [[nodiscard]] TimerHandle After(Duration delay, std::function<void()> task);

  // Runs a function on some thread after `delay`; can't be cancelled.
  void PostAfter(Duration delay, std::function<void()> task);

  // Calls `signal_handler` with the number on each SIGTERM and SIGINT. Ignores
  // SIGPIPE and logs SIGHUP, since settings are read at the start.
  void SetSignalHandler(std::function<void(int)> signal_handler);

  // Blocks the calling thread until `Finish` is called.
  void WaitUntilFinished();

  // Stops the threads; handlers that have not begun never run. To be called
  // before what handlers refer to is destroyed.
  void Stop();

  // Lets `WaitUntilFinished` return. May be called from any thread.
  void Finish();

  boost::asio::io_context& context();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_WORKER_POOL_H_
