#include "src/programs/forward_admin.h"

#include <fmt/format.h>

#include <utility>

#include "src/core/log.h"
#include "src/policy/route_reachability.h"
#include "src/wire/json.h"

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
    response.body =
        this->sources.metrics.Render() +
        QuotaMetricsText(this->sources.quotas.Summary(this->clock.Now()));
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

std::string ForwardAdmin::QuotasJson() const {
  const QuotaGateSummary gate =
      this->sources.quotas.Summary(this->clock.Now()).gate;
  return fmt::format(
      R"({{"phase":"{}","customers":{},"limited":{},"lowest_ratio":{:.3f},)"
      R"("state_age_ms":{:.0f}}})",
      ToString(gate.phase), gate.customers, gate.limited_customers,
      gate.lowest_ratio.value(),
      gate.state_age ? ToMilliseconds(*gate.state_age) : -1.0);
}

std::string ForwardAdmin::AdmissionJson() const {
  const AdmissionStatus admission = this->sources.admission_status();
  return fmt::format(R"("admission_running":{},"admission_waiting":{},)"
                     R"("admission_capacity":{},"shares_limited":{})",
                     admission.running, admission.waiting, admission.capacity,
                     admission.is_limiting_shares);
}

std::string ForwardAdmin::EvacuatedJson() const {
  std::string names;
  for (const DataCentreId& id : this->sources.lists.Evacuated()) {
    names += (names.empty() ? "" : ",") + QuoteJson(id.value());
  }
  return "[" + names + "]";
}

std::string ForwardAdmin::ListsJson() const {
  const auto routes = this->sources.lists.Routes();
  const std::size_t customers = routes && routes->table().customers
                                    ? routes->table().customers->size()
                                    : 0;
  return fmt::format(R"("routes_version":{},"customers":{},"lists_index":{},)"
                     R"("lists_confirmed_age_ms":{:.0f})",
                     routes ? routes->table().version.value() : 0, customers,
                     this->sources.lists.index().value(),
                     ToMilliseconds(this->sources.lists_confirmed_age()));
}

std::string ForwardAdmin::StateJson() const {
  const MonotonicTime now = this->clock.Now();
  const std::size_t held_back =
      this->sources.backends.Access([&](const BackendDirectory& directory) {
        return directory.CountHeldBack(now);
      });
  return fmt::format(R"({{{},"listed_servers":{},"listing_age_ms":{:.0f},)"
                     R"("connections":{},"leaving":{},"held_back_servers":{},)"
                     R"("evacuated":{},{},"quotas":{}}})",
                     this->ListsJson(), this->sources.listing.Servers()->size(),
                     ListingAgeMs(this->sources.listing, now),
                     this->sources.open_connections(),
                     this->sources.lifecycle.phase() != ProcessPhase::kServing,
                     held_back, this->EvacuatedJson(), this->AdmissionJson(),
                     this->QuotasJson());
}

}  // namespace marigold
