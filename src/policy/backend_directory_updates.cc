#include <algorithm>
#include <utility>

#include "src/policy/backend_directory.h"

namespace marigold {

namespace {

// Hints are sent only if there are at least this many usable servers for each
// slow one.
constexpr std::size_t kMinUsablePerHint = 2;
constexpr double kPercentPerUnit = 100;

}  // namespace

std::vector<ServerIndex> BackendDirectory::ApplyListing(
    MonotonicTime now,
    std::span<const ListedServer> listed,
    std::optional<MonotonicTime> observed_at) {
  const bool has_earlier_listing = std::exchange(this->has_listing, true);
  std::vector<bool> is_listed(this->servers.size() + listed.size() + 1);
  std::vector<ServerIndex> newly_unusable;
  for (const ListedServer& row : listed) {
    const ServerIndex index = this->AddOrUpdateServer(now, row);
    is_listed[index.value()] = true;
    Server& server = this->ServerAt(index);
    const bool was_listed = std::exchange(server.is_listed, true);
    if (!was_listed && has_earlier_listing) {
      server.cold.OnReturn(now);
    }
    server.cold.OnListed(observed_at.value_or(now), row.is_cold);
    const bool may_have_restarted = !was_listed && row.started_at_ms == 0;
    if (may_have_restarted) {
      // What an earlier start said about itself no longer holds.
      server.leaving_since.reset();
      server.paused_until = MonotonicTime::min();
    }
    if (server.is_usable && row.is_draining) {
      newly_unusable.push_back(index);
    }
    if (!server.is_usable && !row.is_draining) {
      server.usable_since = now;
    }
    server.is_usable = !row.is_draining;
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    server.is_listed = is_listed[i + 1];
    if (server.is_usable && !is_listed[i + 1]) {
      server.is_usable = false;
      newly_unusable.push_back(ServerIndex(i + 1));
    }
  }
  return newly_unusable;
}

ServerIndex BackendDirectory::AddOrUpdateServer(MonotonicTime now,
                                                const ListedServer& listed) {
  const auto [position, added] = this->index_by_key.try_emplace(
      ServerKey{listed.server, listed.started_at_ms});
  if (added) {
    this->servers.emplace_back(now);
    position->second = ServerIndex(this->servers.size());
    this->services[listed.service].members.push_back(position->second);
  }
  Server& server = this->ServerAt(position->second);
  if (!added && server.listed.service != listed.service) {
    std::erase(this->services[server.listed.service].members, position->second);
    this->services[listed.service].members.push_back(position->second);
  }
  server.listed = listed;
  server.is_evacuated = IsEvacuated(this->evacuated, listed.data_centre);
  return position->second;
}

std::vector<ServerIndex> BackendDirectory::SetEvacuated(
    MonotonicTime now,
    EvacuatedDataCentres data_centres) {
  this->evacuated = std::move(data_centres);
  std::vector<ServerIndex> newly_evacuated;
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    const bool was_evacuated =
        std::exchange(server.is_evacuated,
                      IsEvacuated(this->evacuated, server.listed.data_centre));
    if (server.is_evacuated && !was_evacuated && server.is_usable) {
      newly_evacuated.push_back(ServerIndex(i + 1));
    }
    if (was_evacuated && !server.is_evacuated) {
      server.cold.OnReturn(now);
    }
  }
  return newly_evacuated;
}

std::vector<ServerHint> BackendDirectory::TakeHints(MonotonicTime now) {
  std::vector<ServerHint> hints;
  std::size_t usable_count = 0;
  for (Server& server : this->servers) {
    usable_count += server.is_usable ? 1 : 0;
    if (server.observations.TakeHintDue() && server.is_usable) {
      hints.push_back(
          {server.listed.server, server.listed.started_at_ms,
           static_cast<std::uint32_t>(server.observations.Slowness(now) *
                                      kPercentPerUnit)});
    }
  }
  if (hints.size() * kMinUsablePerHint > usable_count) {
    hints.clear();
  }
  return hints;
}

void BackendDirectory::ApplyHints(MonotonicTime now,
                                  std::span<const ServerHint> hints) {
  for (const ServerHint& hint : hints) {
    const auto found =
        this->index_by_key.find(ServerKey{hint.server, hint.started_at_ms});
    if (found != this->index_by_key.end()) {
      this->ServerAt(found->second)
          .observations.ApplyHint(now, hint.slowness_percent / kPercentPerUnit);
    }
  }
}

NoticeEffect BackendDirectory::ApplyNotice(MonotonicTime now,
                                           ServerIndex index,
                                           const ServerNotice& notice) {
  Server& server = this->ServerAt(index);
  NoticeEffect effect;
  if (notice.is_leaving && !server.leaving_since) {
    server.leaving_since = now;
    effect.began_to_leave = true;
  }
  if (notice.pause) {
    effect.began_to_pause = now >= server.paused_until;
    server.paused_until =
        std::max(server.paused_until,
                 now + *notice.pause + this->PauseJitter(*notice.pause));
  }
  if (notice.has_invalid_pause && now >= server.next_invalid_report_at) {
    server.next_invalid_report_at = now + kInvalidPauseReportInterval;
    effect.reports_invalid_pause = true;
  }
  return effect;
}

// The entry VMs that a server pauses at the same time should not all return at
// the same time.
Duration BackendDirectory::PauseJitter(Duration pause) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(std::min(pause, kMaxJitteredPause).count()) *
      kPauseJitter * this->jitter.NextDouble()));
}

}  // namespace marigold
