#include "src/tables/quota_table.h"

#include <algorithm>
#include <utility>

#include "src/core/log.h"
#include "src/core/random.h"

namespace marigold {

namespace {

// States that are missing for a shorter time are not logged.
constexpr Duration kMissingLogAge = std::chrono::seconds(2);

}  // namespace

QuotaTable::QuotaTable(VmId vm, const ListTable& list_table)
    : lists(list_table),
      gate(std::move(vm), EntryProcessId(SystemSeed()), SystemSeed()) {}

void QuotaTable::SetReportHandler(
    std::function<void(MonotonicTime at)> handler) {
  this->on_report_due = std::move(handler);
}

QuotaDecision QuotaTable::Admit(MonotonicTime now, const CustomerId& customer) {
  auto routes = this->lists.Routes();
  QuotaDecision decision;
  std::optional<MonotonicTime> report_at;
  {
    const RankedLock lock(this->mutex);
    this->FollowRoutes(now, std::move(routes));
    if (!this->has_quotas) {
      return {};
    }
    decision = this->gate.Admit(now, customer);
    if (!this->is_report_arranged) {
      report_at = this->gate.NextReportAt();
      this->is_report_arranged = report_at.has_value();
    }
  }
  ++this->decided[static_cast<std::size_t>(decision.verdict)];
  if (report_at) {
    this->on_report_due(*report_at);
  }
  return decision;
}

void QuotaTable::FollowLists(MonotonicTime now) {
  auto routes = this->lists.Routes();
  const RankedLock lock(this->mutex);
  this->FollowRoutes(now, std::move(routes));
}

void QuotaTable::GiveBack(const CustomerId& customer) {
  const RankedLock lock(this->mutex);
  this->gate.GiveBack(customer);
}

void QuotaTable::FollowRoutes(MonotonicTime now,
                              std::shared_ptr<const RouteIndex> routes) {
  // Another worker may have applied a newer table since the caller read this
  // one.
  const bool is_older =
      routes && this->routes_in_force &&
      routes->table().version < this->routes_in_force->table().version;
  if (routes == this->routes_in_force || !routes || is_older) {
    return;
  }
  this->routes_in_force = std::move(routes);
  if (this->routes_in_force && this->routes_in_force->table().customers) {
    this->gate.SetCustomers(now, *this->routes_in_force->table().customers);
  } else {
    this->gate.SetCustomers(now, {});
  }
  this->has_quotas = this->gate.customer_count() > 0;
}

void QuotaTable::Apply(MonotonicTime now, const QuotaState& state) {
  auto routes = this->lists.Routes();
  std::optional<Duration> missing_for;
  {
    const RankedLock lock(this->mutex);
    this->FollowRoutes(now, std::move(routes));
    const auto previous_age = this->gate.StateAge(now);
    if (!this->gate.Apply(now, state)) {
      return;
    }
    if (std::exchange(this->is_logged_missing, false)) {
      missing_for = previous_age.value_or(Duration::zero());
    }
  }
  if (missing_for) {
    LogEvent(LogLevel::kInfo, "quota_state_regained",
             {{"term", state.term.value()},
              {"number", state.number.value()},
              {"age_ms", ToMilliseconds(*missing_for)},
              {"limited", state.ratios.size()}});
  }
}

void QuotaTable::SetLimitShare(Fraction share) {
  const RankedLock lock(this->mutex);
  this->gate.SetLimitShare(share);
}

std::optional<QuotaUsageReport> QuotaTable::TakeReport(MonotonicTime now) {
  std::optional<QuotaUsageReport> report;
  std::optional<MonotonicTime> next_at;
  {
    const RankedLock lock(this->mutex);
    report = this->gate.TakeReport(now);
    next_at = this->gate.NextReportAt();
    this->is_report_arranged = next_at.has_value();
  }
  if (next_at) {
    this->on_report_due(*next_at);
  }
  return report;
}

void QuotaTable::LogMissingState(MonotonicTime now) {
  std::optional<Duration> age;
  {
    const RankedLock lock(this->mutex);
    age = this->gate.StateAge(now);
    if (!this->has_quotas || this->is_logged_missing || !age ||
        *age < kMissingLogAge) {
      return;
    }
    this->is_logged_missing = true;
  }
  LogEvent(LogLevel::kWarning, "quota_state_missing",
           {{"age_ms", ToMilliseconds(*age)}});
}

QuotaTableSummary QuotaTable::Summary(MonotonicTime now) const {
  QuotaTableSummary summary;
  {
    const RankedLock lock(this->mutex);
    summary.gate = this->gate.Summary(now);
  }
  for (std::size_t i = 0; i < this->decided.size(); ++i) {
    summary.decided[i] = this->decided[i];
  }
  return summary;
}

}  // namespace marigold
