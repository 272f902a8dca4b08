#include "src/policy/backend_directory.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

// Hints are sent only if there are at least this many usable servers for each
// slow one.
constexpr std::size_t kMinUsablePerHint = 2;
constexpr double kPercentPerUnit = 100;

// A cancelled attempt counts as unanswered if it has waited for this many
// typical latencies and for at least `kMinUnansweredTime`, the duration of an
// ordinary pause of a server.
constexpr int kUnansweredLatencyFactor = 4;
constexpr Duration kMinUnansweredTime = std::chrono::milliseconds(60);
// A data centre that is cut off gets one attempt in each interval, which shows
// whether it is reachable again.
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
// After this many failures of entry VMs in a data centre, its servers are
// probed.
constexpr std::uint32_t kSuspiciousPeerFailures = 3;

// The time for which a server is blocked if another one listens at its address.
// The list still shows a server for some seconds after it has stopped. Its
// address may already belong to another server, and requests sent there count
// as load of that server.
constexpr Duration kOtherServerBlockTime = std::chrono::seconds(5);
// The time for which a server that had no room is avoided.
constexpr Duration kFullServerBackoff = std::chrono::milliseconds(30);

}  // namespace

std::string_view ToString(SendFailure failure) {
  switch (failure) {
    case SendFailure::kNotConnected:
      return "not_connected";
    case SendFailure::kNotExecuted:
      return "not_executed";
    case SendFailure::kUnreachable:
      return "unreachable";
    case SendFailure::kOtherServer:
      return "other_server";
    case SendFailure::kConnectionLost:
      return "connection_lost";
    case SendFailure::kBadAnswer:
      return "bad_answer";
    case SendFailure::kServerError:
      return "server_error";
    case SendFailure::kTimeout:
      return "timeout";
  }
  return "unknown";
}

bool CertainlyDidNotRun(SendFailure failure) {
  return failure == SendFailure::kNotConnected ||
         failure == SendFailure::kUnreachable ||
         failure == SendFailure::kNotExecuted ||
         failure == SendFailure::kOtherServer;
}

std::vector<ServerIndex> BackendDirectory::ApplyListing(
    MonotonicTime now,
    std::span<const ListedServer> listed) {
  std::vector<bool> is_listed(this->servers.size() + listed.size() + 1);
  std::vector<ServerIndex> newly_unusable;
  for (const ListedServer& row : listed) {
    const ServerIndex index = this->AddOrUpdateServer(now, row);
    is_listed[index.value()] = true;
    Server& server = this->ServerAt(index);
    const bool may_have_restarted =
        !std::exchange(server.is_listed, true) && row.started_at_ms == 0;
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
  return position->second;
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

void BackendDirectory::OnRequest(MonotonicTime now, const ServiceId& service) {
  this->services[service].retry_budget.OnRequest(this->settings.retry_budget,
                                                 now);
}

bool BackendDirectory::TrySpendRetry(MonotonicTime now,
                                     const ServiceId& service) {
  return this->services[service].retry_budget.TrySpend(
      this->settings.retry_budget, now, this->retry_budget_share);
}

void BackendDirectory::AddLatency(const RouteName& route, Duration latency) {
  this->latencies_by_route.try_emplace(route, kSamplesPerHistogram)
      .first->second.Add(latency);
}

void BackendDirectory::OnAnswer(MonotonicTime now,
                                ServerIndex index,
                                Duration latency,
                                Duration typical_latency,
                                const std::optional<ReportedLoad>& load) {
  Server& server = this->ServerAt(index);
  if (typical_latency > Duration::zero()) {
    server.observations.AddLatency(now, latency, typical_latency);
  }
  server.observations.AddOutcome(now, false);
  this->RecordAnswer(now, server);
  if (load) {
    server.reported_load = load->running + load->waiting;
    server.reported_at = now;
  }
  this->EndAttempt(server);
}
void BackendDirectory::RecordAnswer(MonotonicTime now, Server& server) {
  server.unanswered_since = now;
  this->RecordDataCentreAnswer(now, server.listed.data_centre);
  server.observations.OnAnswer();
}

void BackendDirectory::RecordDataCentreAnswer(MonotonicTime now,
                                              const DataCentreId& id) {
  DataCentre& data_centre = this->data_centres[id];
  if (this->IsCutOff(now, id)) {
    this->ClearDataCentreFailures(id);
  }
  data_centre.last_answer_at = now;
  data_centre.unanswered_attempts = 0;
  data_centre.peer_failures = 0;
}

void BackendDirectory::OnPeerOutcome(MonotonicTime now,
                                     const DataCentreId& data_centre,
                                     bool was_answered) {
  if (was_answered) {
    this->RecordDataCentreAnswer(now, data_centre);
    return;
  }
  ++this->data_centres[data_centre].peer_failures;
}

void BackendDirectory::ClearDataCentreFailures(
    const DataCentreId& data_centre) {
  for (Server& server : this->servers) {
    if (server.listed.data_centre == data_centre) {
      server.observations.ClearFailures();
    }
  }
}
void BackendDirectory::OnUncountedOutcome(MonotonicTime now,
                                          ServerIndex index,
                                          Duration elapsed,
                                          Duration typical_latency,
                                          bool was_answered) {
  Server& server = this->ServerAt(index);
  if (typical_latency > Duration::zero()) {
    server.observations.AddLatency(now, elapsed, typical_latency);
  }
  if (was_answered) {
    this->RecordAnswer(now, server);
  } else {
    this->CountUnanswered(server);
    server.observations.OnUnanswered(now);
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

void BackendDirectory::OnFailure(MonotonicTime now,
                                 ServerIndex index,
                                 SendFailure failure) {
  Server& server = this->ServerAt(index);
  this->EndAttempt(server);
  server.observations.AddOutcome(now, true);
  switch (failure) {
    case SendFailure::kNotExecuted:
      server.observations.AvoidFor(now, kFullServerBackoff);
      return;
    case SendFailure::kOtherServer:
      server.observations.BlockFor(now, kOtherServerBlockTime);
      return;
    case SendFailure::kUnreachable:
    case SendFailure::kNotConnected:
      this->CountUnanswered(server);
      server.observations.Block(now);
      return;
    case SendFailure::kTimeout:
      this->CountUnanswered(server);
      [[fallthrough]];
    case SendFailure::kConnectionLost:
    case SendFailure::kBadAnswer:
    case SendFailure::kServerError:
      server.observations.BackOff(now);
      return;
  }
}
void BackendDirectory::OnCancelled(MonotonicTime now,
                                   ServerIndex index,
                                   Duration elapsed,
                                   Duration typical_latency) {
  Server& server = this->ServerAt(index);
  if (typical_latency > Duration::zero()) {
    server.observations.AddLatencyLowerBound(now, elapsed, typical_latency);
  }
  if (elapsed >= std::max(typical_latency * kUnansweredLatencyFactor,
                          kMinUnansweredTime)) {
    this->CountUnanswered(server);
  }
  this->EndAttempt(server);
}

std::vector<ServerIndex> BackendDirectory::TakeProbeTargets(MonotonicTime now) {
  std::unordered_map<DataCentreId, std::size_t> wanted;
  for (auto& [id, data_centre] : this->data_centres) {
    if (this->IsCutOff(now, id)) {
      wanted[id] = 1;
    } else if (data_centre.peer_failures >= kSuspiciousPeerFailures) {
      wanted[id] = kCutOffAttempts;
    }
    data_centre.peer_failures = 0;
  }
  std::vector<ServerIndex> probes;
  for (std::size_t i = 0; i < this->servers.size() && !wanted.empty(); ++i) {
    const Server& server = this->servers[i];
    const auto found = wanted.find(server.listed.data_centre);
    if (server.is_usable && found != wanted.end()) {
      probes.push_back(ServerIndex(i + 1));
      if (--found->second == 0) {
        wanted.erase(found);
      }
    }
  }
  return probes;
}

void BackendDirectory::CountUnanswered(const Server& server) {
  ++this->data_centres[server.listed.data_centre].unanswered_attempts;
}

BackendDirectory::Server& BackendDirectory::ServerAt(ServerIndex server) {
  return this->servers.at(server.value() - 1);
}

void BackendDirectory::CollectCandidates(MonotonicTime now,
                                         const Service& service,
                                         Duration typical_latency,
                                         std::span<const ServerIndex> tried) {
  this->candidates.clear();
  for (const ServerIndex index : service.members) {
    const Server& server = this->ServerAt(index);
    if (this->IsAvailable(now, server) &&
        std::find(tried.begin(), tried.end(), index) == tried.end()) {
      this->candidates.push_back(
          this->MakeView(now, index, server, typical_latency));
    }
  }
}

void BackendDirectory::CountAttempt(MonotonicTime now, ServerIndex index) {
  Server& server = this->ServerAt(index);
  if (server.in_flight == 0) {
    server.unanswered_since = now;
  }
  ++server.in_flight;
  const DataCentreId& data_centre = server.listed.data_centre;
  if (this->IsCutOff(now, data_centre)) {
    this->data_centres[data_centre].next_probe_at = now + kProbeInterval;
  }
}

void BackendDirectory::EndAttempt(Server& server) {
  server.in_flight -= std::min(server.in_flight, 1U);
}

}  // namespace marigold
