#include "src/net/worker_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "src/core/log.h"

namespace marigold {

namespace asio = boost::asio;

struct TimerHandle::State {
  explicit State(asio::io_context& context) : timer(context) {}

  std::mutex mutex;
  asio::steady_timer timer;
  std::function<void()> task;
};

TimerHandle::TimerHandle(std::shared_ptr<State> timer_state)
    : state(std::move(timer_state)) {}

TimerHandle::~TimerHandle() {
  this->Cancel();
}

TimerHandle::TimerHandle(TimerHandle&& other) noexcept
    : state(std::move(other.state)) {}

TimerHandle& TimerHandle::operator=(TimerHandle&& other) noexcept {
  if (this != &other) {
    this->Cancel();
    this->state = std::move(other.state);
  }
  return *this;
}

void TimerHandle::Cancel() {
  if (this->state == nullptr) {
    return;
  }
  // The task may own this handle, so the task is destroyed outside the lock.
  std::function<void()> dropped_task;
  {
    const std::lock_guard lock(this->state->mutex);
    dropped_task.swap(this->state->task);
    this->state->timer.cancel();
  }
  this->state.reset();
}

struct WorkerPool::Impl {
  explicit Impl(std::int64_t thread_count)
      : context(static_cast<int>(thread_count)),
        work_guard(context.get_executor()),
        signals(context) {}

  void AwaitSignal() {
    this->signals.async_wait([this](const boost::system::error_code& error,
                                    int signal_number) {
      if (error) {
        return;
      }
      if (signal_number == SIGHUP) {
        LogEvent(LogLevel::kInfo, "reload", {{"reads", "seeds file, if any"}});
        this->reload_handler();
      } else {
        this->signal_handler(signal_number);
      }
      this->AwaitSignal();
    });
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  asio::signal_set signals;
  std::function<void(int)> signal_handler;
  std::function<void()> reload_handler;
  std::vector<std::thread> threads;
  std::promise<void> finish_promise;
  std::once_flag finish_once;
};

WorkerPool::WorkerPool(std::int64_t thread_count)
    : impl(std::make_unique<Impl>(thread_count)) {
  for (std::int64_t i = 0; i < thread_count; ++i) {
    this->impl->threads.emplace_back(
        [context = &this->impl->context] { context->run(); });
  }
}

WorkerPool::~WorkerPool() {
  this->Stop();
}

void WorkerPool::Stop() {
  this->impl->context.stop();
  for (std::thread& thread : this->impl->threads) {
    thread.join();
  }
  this->impl->threads.clear();
}

void WorkerPool::Post(std::function<void()> task) {
  asio::post(this->impl->context, std::move(task));
}

TimerHandle WorkerPool::After(Duration delay, std::function<void()> task) {
  auto state = std::make_shared<TimerHandle::State>(this->impl->context);
  state->task = std::move(task);
  state->timer.expires_after(delay);
  state->timer.async_wait([state](const boost::system::error_code& error) {
    std::function<void()> due_task;
    {
      const std::lock_guard lock(state->mutex);
      due_task.swap(state->task);
    }
    if (!error && due_task) {
      due_task();
    }
  });
  return TimerHandle(std::move(state));
}

void WorkerPool::PostAfter(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(this->impl->context, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& error) {
        if (!error) {
          task();
        }
      });
}

void WorkerPool::SetSignalHandler(std::function<void(int)> signal_handler,
                                  std::function<void()> reload_handler) {
  this->impl->signal_handler = std::move(signal_handler);
  this->impl->reload_handler = std::move(reload_handler);
  this->impl->signals.add(SIGTERM);
  this->impl->signals.add(SIGINT);
  this->impl->signals.add(SIGHUP);
  std::signal(SIGPIPE, SIG_IGN);
  this->impl->AwaitSignal();
}

void WorkerPool::WaitUntilFinished() {
  this->impl->finish_promise.get_future().wait();
}

void WorkerPool::Finish() {
  std::call_once(this->impl->finish_once,
                 [this] { this->impl->finish_promise.set_value(); });
}

boost::asio::io_context& WorkerPool::context() {
  return this->impl->context;
}

}  // namespace marigold
