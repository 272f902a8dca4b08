#include "src/policy/backend_directory.h"

#include <algorithm>

namespace marigold {

namespace {

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
    // A slowdown that the server reports is added to its expected latency while
    // it lasts, so it must not also count as the server's own slowness.
    const double slowdown = load ? std::max(load->slowdown, 1.0) : 1.0;
    server.observations.AddLatency(now, Scale(latency, 1 / slowdown),
                                   typical_latency);
  }
  server.observations.AddOutcome(now, false);
  this->RecordAnswer(now, server);
  if (load) {
    server.reported_load = load->running + load->waiting;
    server.reported_slowdown = load->slowdown;
    server.reported_at = now;
  }
  this->EndAttempt(server);
}
void BackendDirectory::RecordAnswer(MonotonicTime now, Server& server) {
  server.unanswered_since = now;
  this->RecordDataCentreAnswer(now, server.listed.data_centre);
  server.observations.OnAnswer();
  server.cold.OnReply(now);
}

void BackendDirectory::RecordDataCentreAnswer(MonotonicTime now,
                                              const DataCentreId& id) {
  DataCentre& data_centre = this->data_centres[id];
  if (this->IsCutOff(now, id)) {
    this->OnDataCentreReturned(now, id);
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

void BackendDirectory::OnDataCentreReturned(MonotonicTime now,
                                            const DataCentreId& data_centre) {
  for (Server& server : this->servers) {
    if (server.listed.data_centre == data_centre) {
      server.observations.ClearFailures();
      server.cold.OnReturn(now);
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
    if (server.observations.IsBlocked(now)) {
      server.cold.OnUnreachable(now);
    }
  }
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
      server.cold.OnUnreachable(now);
      return;
    case SendFailure::kUnreachable:
    case SendFailure::kNotConnected:
      this->CountUnanswered(server);
      server.observations.Block(now);
      server.cold.OnUnreachable(now);
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
    if (server.is_usable && !server.is_evacuated && found != wanted.end()) {
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
  // A held-back server is used only if there is no other one, even if the
  // others have been tried.
  const bool uses_cold =
      service.is_limited() && !this->HasWarmServer(now, service);
  for (const ServerIndex index : service.members) {
    const Server& server = this->ServerAt(index);
    const bool is_offered = uses_cold ? this->MayUseCold(now, service, server)
                                      : this->IsWarm(now, service, server);
    if (is_offered &&
        std::find(tried.begin(), tried.end(), index) == tried.end()) {
      this->candidates.push_back(
          this->MakeView(now, index, server, typical_latency));
    }
  }
}

void BackendDirectory::CountAttempt(MonotonicTime now,
                                    const Service& service,
                                    ServerIndex index) {
  Server& server = this->ServerAt(index);
  if (this->HeldBackFor(now, service, server) != ColdReason::kNone) {
    server.cold.TakeSend(now);
    ++this->cold_sends;
  }
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
