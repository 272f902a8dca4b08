#include "src/programs/forward_admin.h"

#include <fmt/format.h>

#include <utility>

#include "src/core/log.h"
#include "src/policy/route_reachability.h"

namespace marigold {

namespace {

constexpr int kStatusNotFound = 404;
constexpr int kStatusNotReady = 503;

}  // namespace

double ListingAgeMs(const ListingTable& listing, MonotonicTime now) {
  const ListingSummary summary = listing.Summary();
  return summary.observed_at ? ToMilliseconds(now - *summary.observed_at)
                             : -1.0;
}

ForwardAdmin::ForwardAdmin(ForwardAdminSources admin_sources)
    : sources(std::move(admin_sources)) {}

HttpResponse ForwardAdmin::Answer(const HttpRequest& request) {
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  if (request.path == this->sources.settings.ready_path) {
    const bool is_ready = this->IsReady();
    response.status = is_ready ? response.status : kStatusNotReady;
    response.body = is_ready ? "ready" : "not ready";
  } else if (request.path == "/metrics") {
    this->sources.metrics.SetListsConfirmedAge(
        this->sources.lists_confirmed_age());
    this->sources.metrics.SetAdmission(this->sources.admission_status());
    response.body = this->sources.metrics.Render();
  } else if (request.path == "/state") {
    response.content_type = "application/json";
    response.body = this->StateJson();
  } else {
    response.status = kStatusNotFound;
    response.body = "no such resource";
  }
  return response;
}

bool ForwardAdmin::IsReady() {
  return this->sources.lifecycle.phase() == ProcessPhase::kServing &&
         this->sources.are_routes_known() &&
         this->sources.listing.Summary().observed_at.has_value() &&
         !this->SomeRouteIsUnservable();
}

bool ForwardAdmin::SomeRouteIsUnservable() {
  const auto routes = this->sources.lists.Routes();
  const MonotonicTime now = this->clock.Now();
  const bool has_unservable_route =
      this->sources.backends.Access([&](const BackendDirectory& directory) {
        return directory.HasCutOffDataCentre(now) &&
               HasUnservableRoute(directory, now, routes->table());
      });
  if (this->had_unservable_route.exchange(has_unservable_route) !=
      has_unservable_route) {
    LogEvent(LogLevel::kWarning,
             has_unservable_route ? "backends_lost" : "backends_regained",
             {{"routes_version", routes->table().version.value()}});
  }
  return has_unservable_route;
}

std::string ForwardAdmin::StateJson() const {
  const auto routes = this->sources.lists.Routes();
  const AdmissionStatus admission = this->sources.admission_status();
  return fmt::format(R"({{"routes_version":{},"lists_confirmed_age_ms":{:.0f},)"
                     R"("listed_servers":{},"listing_age_ms":{:.0f},)"
                     R"("connections":{},"leaving":{},)"
                     R"("admission_running":{},"admission_waiting":{},)"
                     R"("admission_capacity":{},"shares_limited":{}}})",
                     routes ? routes->table().version.value() : 0,
                     ToMilliseconds(this->sources.lists_confirmed_age()),
                     this->sources.listing.Servers()->size(),
                     ListingAgeMs(this->sources.listing, this->clock.Now()),
                     this->sources.open_connections(),
                     this->sources.lifecycle.phase() != ProcessPhase::kServing,
                     admission.running, admission.waiting, admission.capacity,
                     admission.is_limiting_shares);
}

}  // namespace marigold
