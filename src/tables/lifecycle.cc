#include "src/tables/lifecycle.h"

namespace marigold {

std::string_view ToString(ProcessPhase phase) {
  switch (phase) {
    case ProcessPhase::kServing:
      return "serving";
    case ProcessPhase::kLeaving:
      return "leaving";
    case ProcessPhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

void Lifecycle::Leave(MonotonicTime drain_deadline) {
  this->drain_deadline_ticks = drain_deadline.time_since_epoch().count();
  this->current_phase = ProcessPhase::kLeaving;
}

void Lifecycle::Stop() {
  this->current_phase = ProcessPhase::kStopping;
}

Lifecycle::WorkGuard Lifecycle::TrackRequest() {
  return CountWork(this->request_count);
}

Lifecycle::WorkGuard Lifecycle::TrackAction() {
  return CountWork(this->action_count);
}

MonotonicTime Lifecycle::drain_deadline() const {
  return MonotonicTime(Duration(this->drain_deadline_ticks));
}

// The guard shares the ownership of the counter, because a request that is
// dropped together with the workers may outlive the `Lifecycle`.
Lifecycle::WorkGuard Lifecycle::CountWork(const Counter& counter) {
  ++*counter;
  return {nullptr, [counter](void*) { --*counter; }};
}

}  // namespace marigold
