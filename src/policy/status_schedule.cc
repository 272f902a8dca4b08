#include "src/policy/status_schedule.h"

#include <algorithm>

namespace marigold {

std::vector<ServerIndex> StatusSchedule::TakeDue(
    MonotonicTime now,
    std::span<const StatusCandidate> candidates) {
  std::vector<ServerIndex> due_servers;
  for (const StatusCandidate& candidate : candidates) {
    const auto [position, added] =
        this->call_times_by_server.try_emplace(candidate.server);
    CallTimes& times = position->second;
    if (added) {
      times.next_call_at =
          now + this->RandomDelay(this->settings.snapshot_spread);
    }
    if (!this->IsDue(now, candidate, times)) {
      continue;
    }
    due_servers.push_back(candidate.server);
    times.last_call_at = now;
    times.snapshot_call_planned = false;
    times.interval_factor = 0.5 + this->random.NextDouble();
  }
  return due_servers;
}

bool StatusSchedule::IsDue(MonotonicTime now,
                           const StatusCandidate& candidate,
                           CallTimes& times) {
  const bool is_starting = candidate.state == ServerState::kStarting;
  if (!is_starting && candidate.state != ServerState::kServing) {
    return false;
  }
  if (!candidate.has_new_snapshot) {
    times.snapshot_call_delay = Duration::zero();
  } else if (!times.snapshot_call_planned) {
    times.snapshot_call_planned = true;
    times.next_call_at =
        std::max(now, times.last_call_at + times.snapshot_call_delay) +
        this->RandomDelay(this->settings.snapshot_spread);
    times.snapshot_call_delay = std::clamp(times.snapshot_call_delay * 2,
                                           this->settings.snapshot_spread,
                                           this->settings.idle_interval);
  }
  if (times.snapshot_call_planned || times.last_call_at == MonotonicTime()) {
    return now >= times.next_call_at;
  }
  const Duration interval =
      FromSeconds(times.interval_factor *
                  ToSeconds(is_starting ? this->settings.starting_interval
                                        : this->settings.idle_interval));
  return now - times.last_call_at >= interval &&
         (is_starting || candidate.report_age >= interval);
}

Duration StatusSchedule::RandomDelay(Duration span) {
  return FromSeconds(ToSeconds(span) * this->random.NextDouble());
}

}  // namespace marigold
