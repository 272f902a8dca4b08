#include "src/tables/quota_coordination_table.h"

#include <algorithm>
#include <utility>

#include "src/core/log.h"

namespace marigold {

namespace {

// A customer is logged as no longer limited once its ratio was 1 for this long,
// which bounds the number of lines for a ratio that goes up and down.
constexpr Duration kUnlimitedLogAge = std::chrono::seconds(2);

bool SomeCustomerHasQuota(const PutRoutes* routes) {
  return routes != nullptr && routes->table.customers &&
         std::ranges::any_of(*routes->table.customers,
                             [](const RoutedCustomer& row) {
                               return !row.quota.is_unlimited();
                             });
}

}  // namespace

QuotaCoordinationTable::QuotaCoordinationTable(
    const ControlTable& control_table)
    : table(control_table) {}

void QuotaCoordinationTable::OnReports(
    MonotonicTime now,
    const std::vector<QuotaUsageReport>& reports) {
  const RankedLock lock(this->mutex);
  if (!this->coordinator) {
    return;
  }
  for (const QuotaUsageReport& report : reports) {
    this->coordinator->OnReport(now, report);
  }
}

bool QuotaCoordinationTable::OnState(MonotonicTime now,
                                     const QuotaState& state) {
  const RankedLock lock(this->mutex);
  if (this->newest_state && !state.IsNewerThan(*this->newest_state)) {
    return false;
  }
  this->newest_state = state;
  this->state_at = now - state.age;
  return true;
}

std::optional<QuotaState> QuotaCoordinationTable::Round(MonotonicTime now) {
  const ControlStatus status = this->table.Status();
  auto routes = this->table.Routes();
  const RankedLock lock(this->mutex);
  this->FollowGroup(now, status, std::move(routes));
  if (!this->coordinator) {
    return std::nullopt;
  }
  auto state = this->coordinator->Round(now);
  this->LogTransitions(now);
  if (state) {
    this->newest_state = state;
    this->state_at = now;
  }
  return state;
}

void QuotaCoordinationTable::FollowGroup(
    MonotonicTime now,
    const ControlStatus& status,
    std::shared_ptr<const PutRoutes> routes) {
  const bool coordinates = status.is_leader && status.has_quorum &&
                           SomeCustomerHasQuota(routes.get());
  if (!coordinates) {
    if (this->coordinator) {
      LogEvent(LogLevel::kInfo, "quota_coordination_ended",
               {{"term", this->coordinated_term.value()}});
      this->coordinator.reset();
      this->logged_limited.clear();
    }
    return;
  }
  if (!this->coordinator || this->coordinated_term != status.term) {
    this->coordinator.emplace(now, status.term);
    this->coordinated_term = status.term;
    this->routes_in_force.reset();
    LogEvent(LogLevel::kInfo, "quota_coordination_began",
             {{"term", status.term.value()}});
  }
  if (routes != this->routes_in_force) {
    this->routes_in_force = std::move(routes);
    this->coordinator->SetCustomers(now,
                                    *this->routes_in_force->table.customers);
  }
}

void QuotaCoordinationTable::LogTransitions(MonotonicTime now) {
  for (const QuotaCustomerStatus& customer : this->coordinator->Limited()) {
    const auto [position, is_new] =
        this->logged_limited.insert_or_assign(customer.customer, now);
    if (is_new) {
      LogEvent(
          LogLevel::kInfo, "quota_limited",
          {{"customer", customer.customer.value()},
           {"rate", customer.limit.rate.value()},
           {"ratio", fmt::format("{:.2f}", customer.ratio.value())},
           {"level", fmt::format("{:.1f}", customer.level)},
           {"offered", fmt::format("{:.1f}", customer.offered.value())},
           {"reserved", fmt::format("{:.1f}", customer.reserved.value())}});
    }
  }
  std::erase_if(this->logged_limited, [&](const auto& row) {
    const bool is_over = now - row.second >= kUnlimitedLogAge;
    if (is_over) {
      LogEvent(LogLevel::kInfo, "quota_unlimited",
               {{"customer", row.first.value()}});
    }
    return is_over;
  });
}

bool QuotaCoordinationTable::HasQuotas() const {
  return SomeCustomerHasQuota(this->table.Routes().get());
}

bool QuotaCoordinationTable::IsCoordinating() const {
  const RankedLock lock(this->mutex);
  return this->coordinator.has_value();
}

std::optional<QuotaState> QuotaCoordinationTable::NewestState(
    MonotonicTime now) const {
  const RankedLock lock(this->mutex);
  std::optional<QuotaState> state = this->newest_state;
  if (state) {
    state->age = now - this->state_at;
  }
  return state;
}

std::vector<QuotaCustomerStatus> QuotaCoordinationTable::Limited() const {
  const RankedLock lock(this->mutex);
  return this->coordinator ? this->coordinator->Limited()
                           : std::vector<QuotaCustomerStatus>();
}

}  // namespace marigold
