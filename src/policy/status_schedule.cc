#include "src/policy/status_schedule.h"

#include <algorithm>

namespace marigold {

std::vector<ServerIndex> StatusSchedule::TakeDue(
    MonotonicTime now,
    std::span<const StatusCandidate> candidates) {
  std::vector<ServerIndex> due_servers;
  for (const StatusCandidate& candidate : candidates) {
    const auto [position, added] = this->entries.try_emplace(candidate.server);
    Entry& entry = position->second;
    if (added) {
      entry.next_call_at =
          now + this->RandomDelay(this->settings.snapshot_spread);
    }
    if (!this->IsDue(now, candidate, entry)) {
      continue;
    }
    due_servers.push_back(candidate.server);
    entry.last_call_at = now;
    entry.snapshot_call_planned = false;
    entry.interval_factor = 0.5 + this->random.Unit();
  }
  return due_servers;
}

bool StatusSchedule::IsDue(MonotonicTime now,
                           const StatusCandidate& candidate,
                           Entry& entry) {
  const bool is_starting = candidate.state == ServerState::kStarting;
  if (!is_starting && candidate.state != ServerState::kServing) {
    return false;
  }
  if (!candidate.has_new_snapshot) {
    entry.snapshot_call_delay = Duration::zero();
  } else if (!entry.snapshot_call_planned) {
    entry.snapshot_call_planned = true;
    entry.next_call_at =
        std::max(now, entry.last_call_at + entry.snapshot_call_delay) +
        this->RandomDelay(this->settings.snapshot_spread);
    entry.snapshot_call_delay = std::clamp(entry.snapshot_call_delay * 2,
                                           this->settings.snapshot_spread,
                                           this->settings.idle_interval);
  }
  if (entry.snapshot_call_planned || entry.last_call_at == MonotonicTime()) {
    return now >= entry.next_call_at;
  }
  const Duration interval =
      FromSeconds(entry.interval_factor *
                  ToSeconds(is_starting ? this->settings.starting_interval
                                        : this->settings.idle_interval));
  return now - entry.last_call_at >= interval &&
         (is_starting || candidate.report_age >= interval);
}

Duration StatusSchedule::RandomDelay(Duration span) {
  return FromSeconds(ToSeconds(span) * this->random.Unit());
}

}  // namespace marigold
