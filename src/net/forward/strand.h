#ifndef SRC_NET_FORWARD_STRAND_H_
#define SRC_NET_FORWARD_STRAND_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "src/core/clock.h"
#include "src/core/random.h"
#include "src/core/units.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Runs handlers on the worker pool one at a time. The connections and requests
// of a strand are used only by its handlers, so they need no locks. One system
// timer serves all timers of a strand.
class Strand : public std::enable_shared_from_this<Strand> {
 public:
  using Executor = boost::asio::strand<boost::asio::io_context::executor_type>;
  using TimerKey = std::pair<MonotonicTime, std::uint64_t>;

  explicit Strand(WorkerPool& pool);

  Strand(const Strand&) = delete;
  Strand& operator=(const Strand&) = delete;

  const Executor& executor() const { return this->asio_strand; }
  MonotonicTime Now() const { return this->clock.Now(); }
  SeededRandom& random() { return this->random_source; }

  // Runs a function on the strand. May be called from any thread.
  void Post(std::function<void()> task);

  // The following functions must be called on the strand.

  // Runs a function once, at the given time. Returns the key with which the
  // timer can be cancelled.
  TimerKey RunAt(MonotonicTime due, std::function<void()> task);
  // Cancels a timer. Does nothing if it has already run.
  void Cancel(const TimerKey& key);

 private:
  void ArmTimer();
  void OnTimer();

  Executor asio_strand;
  boost::asio::steady_timer timer;
  SystemClock clock;
  SeededRandom random_source;
  std::map<TimerKey, std::function<void()>> tasks;
  std::uint64_t last_task_number = 0;
  MonotonicTime timer_due_at = MonotonicTime::max();
};

// A timer of one object on a strand. Stops when it is destroyed. Used only on
// the strand.
class StrandTimer {
 public:
  explicit StrandTimer(std::shared_ptr<Strand> owning_strand)
      : strand(std::move(owning_strand)) {}
  ~StrandTimer() { this->Stop(); }

  StrandTimer(const StrandTimer&) = delete;
  StrandTimer& operator=(const StrandTimer&) = delete;

  // Runs `task` once, at `due`. Replaces an earlier task that is due at another
  // time; one that is due at the same time is kept.
  void Set(MonotonicTime due, std::function<void()> task);
  void Stop();

 private:
  std::shared_ptr<Strand> strand;
  std::optional<Strand::TimerKey> key;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_STRAND_H_
