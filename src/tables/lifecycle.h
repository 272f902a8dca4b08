#ifndef SRC_TABLES_LIFECYCLE_H_
#define SRC_TABLES_LIFECYCLE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

#include "src/core/units.h"

namespace marigold {

enum class ProcessPhase {
  // Requests are served; the balancer may send more.
  kServing,
  // Requests are served; the balancer is told to go elsewhere.
  kLeaving,
  // New requests are refused; those in flight end.
  kStopping,
};

// Stable text for JSON and logs, such as "leaving".
std::string_view ToString(ProcessPhase phase);

// Where an entry process is between its start and its end, and what it still
// has to finish. Shared by all workers without a lock.
class Lifecycle {
 public:
  // Held while something runs that the process finishes before it exits.
  using WorkGuard = std::shared_ptr<void>;

  // Commands.

  // Requests that begin from now on end before `drain_deadline`.
  void Leave(MonotonicTime drain_deadline);
  void Stop();

  // A caller's request, until it is answered.
  WorkGuard TrackRequest();
  // An action, until its outcome is recorded or given up.
  WorkGuard TrackAction();

  // Queries.

  ProcessPhase phase() const { return this->current_phase; }
  // `MonotonicTime::max()` unless the process leaves.
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
