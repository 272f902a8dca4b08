#include "src/policy/status_schedule.h"

#include <algorithm>

namespace marigold {

std::vector<ServerIndex> StatusSchedule::Take(
    MonotonicTime now,
    std::span<const StatusCandidate> candidates) {
  std::vector<ServerIndex> due;
  for (const StatusCandidate& candidate : candidates) {
    const auto [position, added] = this->entries.try_emplace(candidate.server);
    Entry& entry = position->second;
    if (added) {
      entry.due = now + this->Spread(this->settings.snapshot_spread);
    }
    if (!this->IsDue(now, candidate, entry)) {
      continue;
    }
    due.push_back(candidate.server);
    entry.last_asked = now;
    entry.snapshot_planned = false;
    entry.factor = 0.5 + this->random.NextDouble();
  }
  return due;
}

bool StatusSchedule::IsDue(MonotonicTime now,
                           const StatusCandidate& candidate,
                           Entry& entry) {
  const bool is_starting = candidate.state == ServerState::kStarting;
  if (!is_starting && candidate.state != ServerState::kServing) {
    return false;
  }
  if (!candidate.has_new_snapshot) {
    entry.snapshot_delay = Duration::zero();
  } else if (!entry.snapshot_planned) {
    entry.snapshot_planned = true;
    entry.due = std::max(now, entry.last_asked + entry.snapshot_delay) +
                this->Spread(this->settings.snapshot_spread);
    entry.snapshot_delay =
        std::clamp(entry.snapshot_delay * 2, this->settings.snapshot_spread,
                   this->settings.idle_interval);
  }
  if (entry.snapshot_planned || entry.last_asked == MonotonicTime()) {
    return now >= entry.due;
  }
  const Duration interval = FromSeconds(
      entry.factor * ToSeconds(is_starting ? this->settings.starting_interval
                                           : this->settings.idle_interval));
  return now - entry.last_asked >= interval &&
         (is_starting || candidate.report_age >= interval);
}

Duration StatusSchedule::Spread(Duration span) {
  return FromSeconds(ToSeconds(span) * this->random.NextDouble());
}

}  // namespace marigold
