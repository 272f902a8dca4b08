#include <algorithm>

#include "src/policy/backend_directory.h"

namespace marigold {

void BackendDirectory::ConfirmListing(MonotonicTime observed_at) {
  for (Server& server : this->servers) {
    if (server.is_listed) {
      server.cold.OnListed(observed_at, server.listed.is_cold);
    }
  }
}

void BackendDirectory::SetColdRates(
    std::span<const RoutedService> limited_services) {
  for (auto& [id, service] : this->services) {
    service.cold_rate = RatePerSecond();
  }
  for (const RoutedService& limited : limited_services) {
    if (limited.cold_rate.value() > 0) {
      this->services[limited.service].cold_rate = limited.cold_rate;
    }
  }
}

std::vector<ServerIndex> BackendDirectory::TakeReturnProbes(MonotonicTime now) {
  std::vector<ServerIndex> probes;
  const std::size_t server_count = this->servers.size();
  for (std::size_t scanned = 0;
       scanned < server_count && probes.size() < kMaxReturnProbes; ++scanned) {
    // Each call goes on after the last one, so that servers that stay
    // unreachable do not keep others from being probed.
    const std::size_t i = this->next_return_probe++ % server_count;
    Server& server = this->servers[i];
    const bool is_wanted = IsStaying(now, server) &&
                           !this->IsCutOff(now, server.listed.data_centre) &&
                           this->services[server.listed.service].is_limited();
    if (is_wanted && server.cold.TakeProbe(now)) {
      probes.push_back(ServerIndex(i + 1));
    }
  }
  return probes;
}

void BackendDirectory::OnReturnProbe(MonotonicTime now,
                                     ServerIndex index,
                                     bool was_opened) {
  if (was_opened) {
    this->RecordAnswer(now, this->ServerAt(index));
  }
}

ColdReport BackendDirectory::TakeColdReport(MonotonicTime now) {
  this->cold_senders.DropExpired(now);
  ColdReport report;
  report.sends = std::exchange(this->cold_sends, 0);
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    const ColdReason reason = this->HeldBackFor(now, server);
    const bool is_held_back = reason != ColdReason::kNone;
    report.held_back += is_held_back ? 1 : 0;
    if (report.changes.size() < kMaxColdChanges &&
        server.cold.UpdateLogged(is_held_back)) {
      report.changes.push_back(
          {ServerIndex(i + 1),
           this->services.at(server.listed.service).cold_rate, reason});
    }
  }
  return report;
}

std::size_t BackendDirectory::CountHeldBack(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      this->servers.begin(), this->servers.end(), [&](const Server& server) {
        return this->HeldBackFor(now, server) != ColdReason::kNone;
      }));
}

ColdReason BackendDirectory::HeldBackFor(MonotonicTime now,
                                         const Server& server) const {
  return server.is_usable
             ? this->HeldBackFor(now, this->services.at(server.listed.service),
                                 server)
             : ColdReason::kNone;
}

ColdReason BackendDirectory::HeldBackFor(MonotonicTime now,
                                         const Service& service,
                                         const Server& server) const {
  if (!service.is_limited()) {
    return ColdReason::kNone;
  }
  return this->IsCutOff(now, server.listed.data_centre) ? ColdReason::kCutOff
                                                        : server.cold.reason();
}

bool BackendDirectory::IsWarm(MonotonicTime now,
                              const Service& service,
                              const Server& server) const {
  return this->IsAvailable(now, server) &&
         this->HeldBackFor(now, service, server) == ColdReason::kNone;
}

bool BackendDirectory::MayUseCold(MonotonicTime now,
                                  const Service& service,
                                  const Server& server) const {
  return this->IsAvailable(now, server) &&
         this->HeldBackFor(now, service, server) != ColdReason::kNone &&
         server.cold.MaySend(now, server.listed.server, service.cold_rate,
                             this->cold_senders);
}

bool BackendDirectory::HasWarmServer(MonotonicTime now,
                                     const Service& service) const {
  return std::any_of(service.members.begin(), service.members.end(),
                     [&](ServerIndex index) {
                       return this->IsWarm(now, service, this->ServerAt(index));
                     });
}

}  // namespace marigold
