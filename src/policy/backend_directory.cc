#include "src/policy/backend_directory.h"

#include <algorithm>

namespace marigold {

namespace {

// Usable servers for each that is reported as slow.
constexpr std::size_t kLeastUsablePerHint = 2;
constexpr double kPercent = 100;
// An attempt that fails costs about this many typical latencies until another
// server has answered, and a part of the retry budget.
constexpr double kFailureCost = 3;
constexpr double kMostFailing = 0.95;
// A starting server is this much slower.
constexpr double kColdSlowness = 1.6;

// An attempt that has waited this much longer than a typical one, and no
// shorter than a pause of a server, is silent.
constexpr int kSilentOverTypical = 4;
constexpr Duration kShortestSilence = std::chrono::milliseconds(60);
// Silent attempts in a row that make a data centre cut off, if none of its
// servers has answered for the given time. It then gets one attempt an interval
// to see whether it has come back.
constexpr std::uint32_t kSilentAttempts = 4;
constexpr Duration kCutOffAfter = std::chrono::milliseconds(300);
constexpr Duration kProbeInterval = std::chrono::milliseconds(250);

// The list shows a server that is gone for some seconds, while its address may
// belong to another one. What arrives there counts as the other one's load.
constexpr Duration kOtherServerBlock = std::chrono::seconds(5);
// A full server is asked again soon.
constexpr Duration kFullBackoff = std::chrono::milliseconds(30);

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

bool SurelyNotRun(SendFailure failure) {
  return failure == SendFailure::kNotConnected ||
         failure == SendFailure::kUnreachable ||
         failure == SendFailure::kNotExecuted ||
         failure == SendFailure::kOtherServer;
}

std::vector<ServerIndex> BackendDirectory::Apply(
    MonotonicTime now,
    std::span<const ListedServer> listed) {
  std::vector<bool> is_listed(this->servers.size() + listed.size() + 1);
  std::vector<ServerIndex> retired;
  for (const ListedServer& row : listed) {
    const ServerIndex index = this->Adopt(now, row);
    is_listed[index.value()] = true;
    Server& server = this->At(index);
    if (server.is_usable && row.is_draining) {
      retired.push_back(index);
    }
    if (!server.is_usable && !row.is_draining) {
      server.usable_since = now;
    }
    server.is_usable = !row.is_draining;
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    if (server.is_usable && !is_listed[i + 1]) {
      server.is_usable = false;
      retired.push_back(ServerIndex(i + 1));
    }
  }
  return retired;
}

ServerIndex BackendDirectory::Adopt(MonotonicTime now,
                                    const ListedServer& listed) {
  const auto [position, added] = this->index_by_key.try_emplace(
      ServerKey{listed.server, listed.started_at_ms});
  if (added) {
    this->servers.emplace_back(now);
    position->second = ServerIndex(this->servers.size());
    this->services[listed.service].members.push_back(position->second);
  }
  Server& server = this->At(position->second);
  if (!added && server.listed.service != listed.service) {
    std::erase(this->services[server.listed.service].members, position->second);
    this->services[listed.service].members.push_back(position->second);
  }
  server.listed = listed;
  return position->second;
}
std::vector<ServerHint> BackendDirectory::TakeHints(MonotonicTime now) {
  std::vector<ServerHint> hints;
  std::size_t usable = 0;
  for (Server& server : this->servers) {
    usable += server.is_usable ? 1 : 0;
    if (server.seen.TakeHintDue() && server.is_usable) {
      hints.push_back(
          {server.listed.server, server.listed.started_at_ms,
           static_cast<std::uint32_t>(server.seen.Slowness(now) * kPercent)});
    }
  }
  if (hints.size() * kLeastUsablePerHint > usable) {
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
      this->At(found->second)
          .seen.ApplyHint(now, hint.slowness_percent / kPercent);
    }
  }
}

void BackendDirectory::OnRequest(MonotonicTime now, const ServiceId& service) {
  this->services[service].retries.OnRequest(this->settings.retries, now);
}

bool BackendDirectory::TrySpendRetry(MonotonicTime now,
                                     const ServiceId& service) {
  return this->services[service].retries.TrySpend(this->settings.retries, now,
                                                  this->share);
}

void BackendDirectory::AddLatency(const RouteName& route, Duration latency) {
  this->latencies.try_emplace(route, kLatencyWindow).first->second.Add(latency);
}

void BackendDirectory::OnAnswer(MonotonicTime now,
                                ServerIndex index,
                                Duration latency,
                                Duration expected,
                                const std::optional<ReportedLoad>& load) {
  Server& server = this->At(index);
  if (expected > Duration::zero()) {
    server.seen.AddLatency(now, latency, expected);
  }
  server.seen.AddOutcome(now, false);
  this->NoteAnswer(now, server);
  if (load) {
    server.reported_load = load->running + load->waiting;
    server.reported_at = now;
  }
  this->EndAttempt(server);
}
void BackendDirectory::NoteAnswer(MonotonicTime now, Server& server) {
  server.silent_since = now;
  DataCentre& data_centre = this->data_centres[server.listed.data_centre];
  if (this->IsCutOff(now, server.listed.data_centre)) {
    this->ReleaseDataCentre(server.listed.data_centre);
  }
  data_centre.last_answer = now;
  data_centre.silent = 0;
  server.seen.OnAnswer();
}
void BackendDirectory::ReleaseDataCentre(const DataCentreId& data_centre) {
  for (Server& server : this->servers) {
    if (server.listed.data_centre == data_centre) {
      server.seen.Release();
    }
  }
}
void BackendDirectory::OnDroppedEnd(MonotonicTime now,
                                    ServerIndex index,
                                    Duration elapsed,
                                    Duration expected,
                                    bool answered) {
  Server& server = this->At(index);
  if (expected > Duration::zero()) {
    server.seen.AddLatency(now, elapsed, expected);
  }
  if (answered) {
    this->NoteAnswer(now, server);
  } else {
    this->OnSilent(server);
    server.seen.OnUnanswered(now);
  }
}
void BackendDirectory::OnFailure(MonotonicTime now,
                                 ServerIndex index,
                                 SendFailure failure) {
  Server& server = this->At(index);
  this->EndAttempt(server);
  server.seen.AddOutcome(now, true);
  switch (failure) {
    case SendFailure::kNotExecuted:
      server.seen.AvoidFor(now, kFullBackoff);
      return;
    case SendFailure::kOtherServer:
      server.seen.BlockFor(now, kOtherServerBlock);
      return;
    case SendFailure::kUnreachable:
    case SendFailure::kNotConnected:
      this->OnSilent(server);
      server.seen.Block(now);
      return;
    case SendFailure::kTimeout:
      this->OnSilent(server);
      [[fallthrough]];
    case SendFailure::kConnectionLost:
    case SendFailure::kBadAnswer:
    case SendFailure::kServerError:
      server.seen.BackOff(now);
      return;
  }
}
void BackendDirectory::OnCancelled(MonotonicTime now,
                                   ServerIndex index,
                                   Duration elapsed,
                                   Duration expected) {
  Server& server = this->At(index);
  if (expected > Duration::zero()) {
    server.seen.AddLowerBound(now, elapsed, expected);
  }
  if (elapsed >= std::max(expected * kSilentOverTypical, kShortestSilence)) {
    this->OnSilent(server);
  }
  this->EndAttempt(server);
}

const ListedServer& BackendDirectory::Listed(ServerIndex server) const {
  return this->At(server).listed;
}

bool BackendDirectory::IsUsable(ServerIndex server) const {
  return this->At(server).is_usable;
}

std::optional<Duration> BackendDirectory::LatencyQuantile(
    const RouteName& route,
    Fraction quantile) const {
  const auto found = this->latencies.find(route);
  return found == this->latencies.end() ? std::nullopt
                                        : found->second.Quantile(quantile);
}

bool BackendDirectory::IsReachable(MonotonicTime now,
                                   const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         std::any_of(found->second.members.begin(), found->second.members.end(),
                     [&](ServerIndex index) {
                       return this->IsOpen(now, this->At(index));
                     });
}

bool BackendDirectory::IsAnswering(MonotonicTime now,
                                   const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         std::any_of(found->second.members.begin(), found->second.members.end(),
                     [&](ServerIndex index) {
                       const Server& server = this->At(index);
                       return this->IsOpen(now, server) &&
                              !this->IsCutOff(now, server.listed.data_centre);
                     });
}

std::vector<ServerIndex> BackendDirectory::ProbeTargets(
    MonotonicTime now) const {
  std::unordered_map<DataCentreId, ServerIndex> targets;
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    const Server& server = this->servers[i];
    if (server.is_usable && this->IsCutOff(now, server.listed.data_centre)) {
      targets[server.listed.data_centre] = ServerIndex(i + 1);
    }
  }
  std::vector<ServerIndex> probes;
  probes.reserve(targets.size());
  for (const auto& [data_centre, server] : targets) {
    probes.push_back(server);
  }
  return probes;
}

bool BackendDirectory::HasCutOff(MonotonicTime now) const {
  return std::any_of(
      this->data_centres.begin(), this->data_centres.end(),
      [&](const auto& item) { return this->IsCutOff(now, item.first); });
}

bool BackendDirectory::IsCutOff(MonotonicTime now,
                                const DataCentreId& data_centre) const {
  const auto found = this->data_centres.find(data_centre);
  return found != this->data_centres.end() &&
         found->second.silent >= kSilentAttempts &&
         now - found->second.last_answer > kCutOffAfter;
}

bool BackendDirectory::IsOpen(MonotonicTime now, const Server& server) const {
  if (!server.is_usable || server.seen.IsBlocked(now)) {
    return false;
  }
  const DataCentreId& data_centre = server.listed.data_centre;
  return !this->IsCutOff(now, data_centre) ||
         now >= this->data_centres.at(data_centre).next_probe;
}

void BackendDirectory::OnSilent(const Server& server) {
  ++this->data_centres[server.listed.data_centre].silent;
}

BackendDirectory::Server& BackendDirectory::At(ServerIndex server) {
  return this->servers.at(server.value() - 1);
}

const BackendDirectory::Server& BackendDirectory::At(ServerIndex server) const {
  return this->servers.at(server.value() - 1);
}

ServerView BackendDirectory::ViewOf(MonotonicTime now,
                                    ServerIndex index,
                                    const Server& server,
                                    Duration expected) const {
  ServerView view;
  view.index = index;
  view.state = ServerState::kServing;
  view.is_in_same_data_centre =
      server.listed.data_centre == this->settings.data_centre;
  view.is_suspect = server.seen.IsAvoided(now);
  view.slots = std::max(server.listed.slots, 1U);
  view.in_flight = server.in_flight;
  view.limit = server.in_flight + 1;
  view.reported_load = server.reported_load;
  view.report_age = now - server.reported_at;
  const double failing = std::min(server.seen.Failing(now), kMostFailing);
  const double cold = server.listed.is_cold ? kColdSlowness : 1;
  view.latency_estimate = Duration(static_cast<std::int64_t>(
      static_cast<double>(expected.count()) * server.seen.Slowness(now) * cold *
      (1 + kFailureCost * failing / (1 - failing))));
  view.silent_for =
      server.in_flight > 0 ? now - server.silent_since : Duration::zero();
  view.usable_for = now - server.usable_since;
  return view;
}

void BackendDirectory::Collect(MonotonicTime now,
                               const Service& service,
                               Duration expected,
                               std::span<const ServerIndex> tried) {
  this->candidates.clear();
  for (const ServerIndex index : service.members) {
    const Server& server = this->At(index);
    if (this->IsOpen(now, server) &&
        std::find(tried.begin(), tried.end(), index) == tried.end()) {
      this->candidates.push_back(this->ViewOf(now, index, server, expected));
    }
  }
}

void BackendDirectory::CountSent(MonotonicTime now, ServerIndex index) {
  Server& server = this->At(index);
  if (server.in_flight == 0) {
    server.silent_since = now;
  }
  ++server.in_flight;
  const DataCentreId& data_centre = server.listed.data_centre;
  if (this->IsCutOff(now, data_centre)) {
    this->data_centres[data_centre].next_probe = now + kProbeInterval;
  }
}

void BackendDirectory::EndAttempt(Server& server) {
  server.in_flight -= std::min(server.in_flight, 1U);
}

}  // namespace marigold
