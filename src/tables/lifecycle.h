#ifndef SRC_TABLES_LIFECYCLE_H_
#define SRC_TABLES_LIFECYCLE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

#include "src/core/units.h"

namespace marigold {

// Phases of an entry process.
enum class ProcessPhase {
  // Requests are served, and the load balancer may send more.
  kServing,
  // Requests are served, and the load balancer is told to send no more.
  kLeaving,
  // New requests are refused, and those in flight are finished.
  kStopping,
};

// Stable text for JSON and logs, such as "leaving".
std::string_view ToString(ProcessPhase phase);

// The phase of an entry process, and the numbers of requests and actions that
// it has to finish. Shared by all workers without a lock.
class Lifecycle {
 public:
  // A request or an action counts as unfinished until its guard is destroyed.
  // The process waits for all of them before it exits.
  using WorkGuard = std::shared_ptr<void>;

  // Commands.

  // Starts the phase `kLeaving`. Requests that begin from now on end before
  // `drain_deadline`.
  void Leave(MonotonicTime drain_deadline);
  // Starts the phase `kStopping`.
  void Stop();

  // Counts a caller's request until it is answered.
  WorkGuard TrackRequest();
  // Counts an action until its outcome is recorded, or until the process gives
  // up recording it.
  WorkGuard TrackAction();

  // Queries.

  ProcessPhase phase() const { return this->current_phase; }
  // `MonotonicTime::max()` before `Leave`.
  MonotonicTime drain_deadline() const;
  std::uint64_t requests_in_flight() const { return *this->request_count; }
  std::uint64_t open_actions() const { return *this->action_count; }

 private:
  using Counter = std::shared_ptr<std::atomic<std::uint64_t>>;

  static WorkGuard CountWork(const Counter& counter);

  std::atomic<ProcessPhase> current_phase = ProcessPhase::kServing;
  std::atomic<MonotonicTime::rep> drain_deadline_ticks =
      MonotonicTime::max().time_since_epoch().count();
  Counter request_count = std::make_shared<std::atomic<std::uint64_t>>(0);
  Counter action_count = std::make_shared<std::atomic<std::uint64_t>>(0);
};

}  // namespace marigold

#endif  // SRC_TABLES_LIFECYCLE_H_
