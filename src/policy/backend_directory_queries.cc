#include <algorithm>
#include <cmath>
#include <utility>

#include "src/policy/backend_directory.h"

namespace marigold {

namespace {

// The expected cost of a failed attempt, in typical latencies: the time until
// another server has answered, and the retry that it takes from the budget.
constexpr double kFailureCostFactor = 3;
// Keeps the expected latency finite for a server that always fails.
constexpr double kMaxFailureRate = 0.95;
// The factor by which a server that has just started is slower.
constexpr double kColdLatencyFactor = 1.6;
// The age at which a reported slowdown has half its weight. Other programs on
// the server's machine come and go several times a second.
constexpr Duration kSlowdownHalfLife = std::chrono::milliseconds(300);

// The expected slowdown of a server that reported `slowdown` this long ago.
double ExpectedSlowdown(double slowdown, Duration age) {
  return 1 + (slowdown - 1) *
                 std::exp2(-ToSeconds(age) / ToSeconds(kSlowdownHalfLife));
}

}  // namespace

const ListedServer& BackendDirectory::ListedServerAt(ServerIndex server) const {
  return this->ServerAt(server).listed;
}

bool BackendDirectory::IsUsable(ServerIndex server) const {
  return this->ServerAt(server).is_usable;
}

std::optional<Duration> BackendDirectory::LatencyQuantile(
    const RouteName& route,
    Fraction quantile) const {
  const auto found = this->latencies_by_route.find(route);
  return found == this->latencies_by_route.end()
             ? std::nullopt
             : found->second.Quantile(quantile);
}

bool BackendDirectory::HasAvailableServer(MonotonicTime now,
                                          const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         std::any_of(found->second.members.begin(), found->second.members.end(),
                     [&](ServerIndex index) {
                       const Server& server = this->ServerAt(index);
                       return this->IsWarm(now, found->second, server) ||
                              this->MayUseCold(now, found->second, server);
                     });
}

std::optional<MonotonicTime> BackendDirectory::FirstPauseEnd(
    MonotonicTime now,
    const ServiceId& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  std::optional<MonotonicTime> first_end;
  for (const ServerIndex index : found->second.members) {
    const Server& server = this->ServerAt(index);
    const MonotonicTime end = std::max(now, server.paused_until);
    if (IsStaying(end, server) && (!first_end || end < *first_end)) {
      first_end = end;
    }
  }
  return first_end;
}

bool BackendDirectory::HasAnsweringServer(MonotonicTime now,
                                          const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         std::any_of(found->second.members.begin(), found->second.members.end(),
                     [&](ServerIndex index) {
                       const Server& server = this->ServerAt(index);
                       return this->IsAvailable(now, server) &&
                              !this->IsCutOff(now, server.listed.data_centre);
                     });
}

bool BackendDirectory::IsWhollyEvacuated(const ServiceId& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  bool has_usable_server = false;
  for (const ServerIndex index : found->second.members) {
    const Server& server = this->ServerAt(index);
    if (server.is_usable && !server.is_evacuated) {
      return false;
    }
    has_usable_server = has_usable_server || server.is_usable;
  }
  return has_usable_server;
}

std::vector<DataCentreServices> BackendDirectory::ServicesByDataCentre(
    MonotonicTime now,
    std::span<const ServiceId> requested_services) const {
  std::vector<DataCentreServices> result;
  // By item of `result`: the number of services before the one last counted.
  std::vector<std::size_t> last_counted;
  for (std::size_t i = 0; i < requested_services.size(); ++i) {
    const auto found = this->services.find(requested_services[i]);
    if (found == this->services.end()) {
      continue;
    }
    for (const ServerIndex index : found->second.members) {
      const Server& server = this->ServerAt(index);
      if (!server.is_usable || server.is_evacuated) {
        continue;
      }
      auto item = std::find_if(result.begin(), result.end(), [&](auto& other) {
        return other.data_centre == server.listed.data_centre;
      });
      if (item == result.end()) {
        result.push_back({server.listed.data_centre,
                          std::vector<bool>(requested_services.size()), 0});
        last_counted.push_back(requested_services.size());
        item = result.end() - 1;
      }
      auto& last =
          last_counted[static_cast<std::size_t>(item - result.begin())];
      item->listed_count += std::exchange(last, i) != i ? 1 : 0;
      if (this->IsWarm(now, found->second, server) &&
          !this->IsCutOff(now, server.listed.data_centre)) {
        item->is_available[i] = true;
      }
    }
  }
  return result;
}

std::optional<ServerIndex> BackendDirectory::FindServer(
    const ServiceId& service,
    const BackendServerId& server) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  for (const ServerIndex index : found->second.members) {
    const Server& member = this->ServerAt(index);
    if (member.is_usable && member.listed.server == server) {
      return index;
    }
  }
  return std::nullopt;
}

bool BackendDirectory::HasCutOffDataCentre(MonotonicTime now) const {
  return std::any_of(
      this->data_centres.begin(), this->data_centres.end(),
      [&](const auto& item) { return this->IsCutOff(now, item.first); });
}

bool BackendDirectory::IsCutOff(MonotonicTime now,
                                const DataCentreId& data_centre) const {
  const auto found = this->data_centres.find(data_centre);
  return found != this->data_centres.end() &&
         found->second.unanswered_attempts >= kCutOffAttempts &&
         now - found->second.last_answer_at > kCutOffAfter;
}

bool BackendDirectory::IsStaying(MonotonicTime now, const Server& server) {
  return server.is_usable && !server.is_evacuated &&
         (!server.leaving_since ||
          now < *server.leaving_since + kLeavingUseTime);
}

bool BackendDirectory::IsAvailable(MonotonicTime now,
                                   const Server& server) const {
  if (!IsStaying(now, server) || server.observations.IsBlocked(now) ||
      now < server.paused_until) {
    return false;
  }
  const DataCentreId& data_centre = server.listed.data_centre;
  return !this->IsCutOff(now, data_centre) ||
         now >= this->data_centres.at(data_centre).next_probe_at;
}

const BackendDirectory::Server& BackendDirectory::ServerAt(
    ServerIndex server) const {
  return this->servers.at(server.value() - 1);
}

ServerView BackendDirectory::MakeView(MonotonicTime now,
                                      ServerIndex index,
                                      const Server& server,
                                      Duration typical_latency) const {
  ServerView view;
  view.index = index;
  view.state = ServerState::kServing;
  view.is_in_same_data_centre =
      server.listed.data_centre == this->settings.data_centre;
  view.is_suspect =
      server.observations.IsAvoided(now) || server.leaving_since.has_value();
  view.slots = std::max(server.listed.slots, 1U);
  view.in_flight = server.in_flight;
  view.limit = server.in_flight + 1;
  view.reported_load = server.reported_load;
  view.report_age = now - server.reported_at;
  const double failure_rate =
      std::min(server.observations.FailureRate(now), kMaxFailureRate);
  const double cold_factor = server.listed.is_cold ? kColdLatencyFactor : 1;
  view.latency_estimate = Duration(static_cast<std::int64_t>(
      static_cast<double>(typical_latency.count()) *
      server.observations.Slowness(now) * cold_factor *
      ExpectedSlowdown(server.reported_slowdown, view.report_age) *
      (1 + kFailureCostFactor * failure_rate / (1 - failure_rate))));
  view.silent_for =
      server.in_flight > 0 ? now - server.unanswered_since : Duration::zero();
  view.usable_for = now - server.usable_since;
  return view;
}

}  // namespace marigold
