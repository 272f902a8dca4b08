#include "src/tables/control_table.h"

#include <utility>

namespace marigold {

ControlTable::ControlTable(ControlStateSettings settings) : state(settings) {}

ControlOutcome ControlTable::Apply(LogIndex index,
                                   WallTime proposed_at,
                                   const ControlCommand& command) {
  const RankedLock lock(this->mutex);
  return this->state.Apply(index, proposed_at, command);
}

Result<void> ControlTable::Restore(std::string_view image) {
  const RankedLock lock(this->mutex);
  return this->state.Restore(image);
}

void ControlTable::Publish(ControlStatus status) {
  const RankedLock lock(this->mutex);
  this->published_status = std::move(status);
  this->published_at = this->clock.Now();
}

std::string ControlTable::Serialise() const {
  const RankedLock lock(this->mutex);
  return this->state.Serialise();
}

ListUpdate ControlTable::UpdateAfter(LogIndex known_index) const {
  const RankedLock lock(this->mutex);
  if (known_index == LogIndex()) {
    return this->FullUpdateLocked();
  }
  auto edits = this->state.EditsAfter(known_index);
  if (!edits) {
    return this->FullUpdateLocked();
  }
  ListUpdate update;
  update.from = known_index;
  update.to = this->state.lists_index();
  for (auto& [index, edit] : *edits) {
    update.edits.push_back(std::move(edit));
  }
  if (this->state.routes_index() > known_index) {
    update.routes = this->state.routes()->table;
  }
  if (this->state.evacuation_index() > known_index) {
    update.evacuated = this->state.evacuated();
  }
  return update;
}

std::shared_ptr<const PutRoutes> ControlTable::Routes() const {
  const RankedLock lock(this->mutex);
  return this->state.routes();
}

ListUpdate ControlTable::FullUpdate() const {
  const RankedLock lock(this->mutex);
  return this->FullUpdateLocked();
}

LogIndex ControlTable::lists_index() const {
  const RankedLock lock(this->mutex);
  return this->state.lists_index();
}

std::vector<ChangeRecord> ControlTable::History(std::size_t limit) const {
  const RankedLock lock(this->mutex);
  return this->state.History(limit);
}

ControlStatus ControlTable::Status() const {
  const RankedLock lock(this->mutex);
  ControlStatus status = this->published_status;
  status.has_quorum = status.has_quorum &&
                      this->clock.Now() - this->published_at <= kMaxStatusAge;
  status.lists_index = this->state.lists_index();
  status.plans_version = this->state.lists().plans_version;
  status.usage_version = this->state.lists().usage_version;
  status.ledger_entries = this->state.ledger_size();
  status.evacuated = this->state.evacuated();
  return status;
}

ListUpdate ControlTable::FullUpdateLocked() const {
  ListUpdate update;
  update.to = this->state.lists_index();
  update.full_lists = this->state.lists();
  if (this->state.routes()) {
    update.routes = this->state.routes()->table;
  }
  update.evacuated = this->state.evacuated();
  return update;
}

}  // namespace marigold
