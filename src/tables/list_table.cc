#include "src/tables/list_table.h"

#include <algorithm>
#include <utility>

#include "src/core/invariant.h"

namespace marigold {

namespace {

// True if each edit expects the version that the lists have after the edits
// before it.
bool EditsAreConsecutive(const Lists& lists,
                         const std::vector<PutRows>& edits) {
  ListVersion plans = lists.plans_version;
  ListVersion usage = lists.usage_version;
  for (const PutRows& edit : edits) {
    ListVersion& version = edit.list == ListKind::kPlans ? plans : usage;
    if (edit.expected != version) {
      return false;
    }
    version = Next(version);
  }
  return true;
}

bool IsOlder(const Lists& offered, const Lists& lists) {
  return offered.plans_version < lists.plans_version ||
         offered.usage_version < lists.usage_version;
}

}  // namespace

void ListTable::OnApplied(std::function<void()> on_applied) {
  this->on_update_applied = std::move(on_applied);
}

ListUpdateResult ListTable::Apply(MonotonicTime now, const ListUpdate& update) {
  ListUpdateResult result;
  {
    const RankedLock lock(this->mutex);
    result = this->ApplyLocked(now, update);
  }
  if (result == ListUpdateResult::kApplied) {
    this->on_update_applied();
  }
  return result;
}

// Requires that the lock is held.
ListUpdateResult ListTable::ApplyLocked(MonotonicTime now,
                                        const ListUpdate& update) {
  if (update.to <= this->index_in_force) {
    return ListUpdateResult::kStale;
  }
  const bool has_older_routes =
      update.routes && this->routes &&
      update.routes->version < this->routes->table().version;
  CheckInvariant(Invariant::kListNeverReverts, !has_older_routes,
                 "an update has a route table of an older version");
  if (has_older_routes) {
    return ListUpdateResult::kStale;
  }
  if (update.full_lists) {
    const bool is_older = IsOlder(*update.full_lists, this->lists);
    CheckInvariant(Invariant::kListNeverReverts, !is_older,
                   "an update has full lists of an older version");
    if (is_older) {
      return ListUpdateResult::kStale;
    }
    this->lists = *update.full_lists;
  } else {
    if (update.from != this->index_in_force ||
        !EditsAreConsecutive(this->lists, update.edits)) {
      return ListUpdateResult::kGap;
    }
    for (const PutRows& edit : update.edits) {
      ApplyEdit(this->lists, edit);
    }
  }
  if (update.routes) {
    this->routes =
        std::make_shared<const RouteIndex>(*update.routes, this->key_hash);
  }
  if (update.evacuated) {
    this->evacuated = *update.evacuated;
  }
  this->index_in_force = update.to;
  this->last_change = now;
  return ListUpdateResult::kApplied;
}

std::optional<CustomerLimits> ListTable::LimitsOf(
    const CustomerId& customer) const {
  const RankedLock lock(this->mutex);
  const auto plan = this->lists.plans.find(customer);
  if (plan == this->lists.plans.end()) {
    return std::nullopt;
  }
  const auto usage = this->lists.usage.find(plan->second.plan);
  if (usage == this->lists.usage.end()) {
    return std::nullopt;
  }
  const UsageRow& row = usage->second;
  return CustomerLimits{row.plan,  row.services,    RatePerSecond(row.rate),
                        row.burst, row.concurrency, row.weight};
}

LogIndex ListTable::index() const {
  const RankedLock lock(this->mutex);
  return this->index_in_force;
}

MonotonicTime ListTable::changed_at() const {
  const RankedLock lock(this->mutex);
  return this->last_change;
}

std::shared_ptr<const RouteIndex> ListTable::Routes() const {
  const RankedLock lock(this->mutex);
  return this->routes;
}

ListUpdate ListTable::FullUpdate() const {
  const RankedLock lock(this->mutex);
  ListUpdate update{LogIndex(), this->index_in_force, this->lists, {}};
  if (this->routes) {
    update.routes = this->routes->table();
  }
  update.evacuated = this->evacuated;
  return update;
}

EvacuatedDataCentres ListTable::Evacuated() const {
  const RankedLock lock(this->mutex);
  return this->evacuated;
}

Lists ListTable::Copy() const {
  const RankedLock lock(this->mutex);
  return this->lists;
}

}  // namespace marigold
