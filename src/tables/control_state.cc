#include "src/tables/control_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/binary_codec.h"
#include "src/core/checksum.h"
#include "src/core/invariant.h"

namespace marigold {

namespace {

// An answer lists at most this many errors; `marigoldctl check` lists all of
// them.
constexpr std::size_t kMaxErrors = 1'000;

ActionLedgerSettings LedgerSettings(const ControlStateSettings& settings) {
  return {settings.ledger_retention, settings.issue_skew,
          settings.ledger_bytes};
}

std::vector<std::string> ToTexts(const std::vector<RowError>& errors) {
  std::vector<std::string> texts;
  const std::size_t listed = std::min(errors.size(), kMaxErrors);
  for (std::size_t i = 0; i < listed; ++i) {
    texts.push_back(ToString(errors[i]));
  }
  if (listed < errors.size()) {
    texts.push_back(fmt::format("and {} more errors", errors.size() - listed));
  }
  return texts;
}

}  // namespace

ControlState::ControlState(ControlStateSettings state_settings)
    : settings(state_settings),
      changes(state_settings.remembered_changes),
      ledger(LedgerSettings(state_settings)) {}

ControlOutcome ControlState::Apply(LogIndex index,
                                   WallTime proposed_at,
                                   const ControlCommand& command) {
  CheckInvariant(Invariant::kListNeverReverts, index > this->last_applied,
                 "a command was applied at or below the last applied index");
  this->last_applied = index;
  this->latest_proposed_at = std::max(this->latest_proposed_at, proposed_at);
  return std::visit([this](const auto& typed) { return this->Execute(typed); },
                    command);
}

ControlOutcome ControlState::Execute(const PutRows& edit) {
  const ContentHash content_hash = HashContent(EncodeBinary(edit));
  if (const AnsweredChange* answered_before = this->changes.Find(edit.change)) {
    if (answered_before->content_hash == content_hash) {
      return answered_before->outcome;
    }
    return PutRowsOutcome{false,
                          VersionOf(this->current_lists, edit.list),
                          Reason::kChangeIdReused,
                          {}};
  }
  PutRowsOutcome outcome = this->Decide(edit);
  if (edit.change.value().size() > kMaxCommandIdBytes) {
    return outcome;
  }
  AnsweredChange answered;
  answered.index = this->last_applied;
  answered.answered_at = this->latest_proposed_at;
  answered.list = edit.list;
  answered.change = edit.change;
  answered.content_hash = content_hash;
  answered.rows = edit.plans.size() + edit.usage.size() + edit.removed.size();
  answered.outcome = outcome;
  if (outcome.accepted) {
    answered.edit = edit;
  }
  this->changes.Remember(std::move(answered));
  return outcome;
}

PutRowsOutcome ControlState::Decide(const PutRows& edit) {
  const ListVersion current = VersionOf(this->current_lists, edit.list);
  if (edit.expected != current) {
    return {false,
            current,
            Reason::kVersionConflict,
            {},
            this->ExecutionOfConflict(edit, current)};
  }
  std::vector<RowError> errors = CheckValues(edit);
  const std::vector<RowError> references =
      CheckReferences(this->current_lists, edit);
  errors.insert(errors.end(), references.begin(), references.end());
  if (!errors.empty()) {
    return {false, current, Reason::kInvalidList, ToTexts(errors)};
  }
  const std::size_t encoded_bytes_after =
      EncodedBytesAfter(this->current_lists, this->encoded_list_bytes, edit);
  if (encoded_bytes_after > kMaxListBytes) {
    const RowError error{RowGroup::kEdit, 0, "", "rows",
                         fmt::format("at most {} bytes in both lists, not {}",
                                     kMaxListBytes, encoded_bytes_after)};
    return {false, current, Reason::kInvalidList, {ToString(error)}};
  }
  ApplyEdit(this->current_lists, edit);
  this->encoded_list_bytes = encoded_bytes_after;
  this->last_list_change_index = this->last_applied;
  return {
      true, VersionOf(this->current_lists, edit.list), Reason::kInternal, {}};
}

// The change id is not remembered. If this edit was applied before, it produced
// the version after the one that it expects.
Execution ControlState::ExecutionOfConflict(const PutRows& edit,
                                            ListVersion current) const {
  const ListVersion resulting_version = Next(edit.expected);
  const bool is_known =
      resulting_version > current ||
      this->changes.RemembersVersion(edit.list, resulting_version);
  return is_known ? Execution::kDidNotRun : Execution::kMayHaveRun;
}

ControlOutcome ControlState::Execute(const ClaimAction& claim) {
  return this->ledger.Claim(this->latest_proposed_at, claim);
}

ControlOutcome ControlState::Execute(const ReleaseClaim& release) {
  return this->ledger.Release(this->latest_proposed_at, release);
}

ControlOutcome ControlState::Execute(const RecordOutcome& outcome) {
  return this->ledger.Record(this->latest_proposed_at, outcome);
}

ControlOutcome ControlState::Execute(const PutRoutes& put) {
  if (this->routes_in_force &&
      put.table.version <= this->routes_in_force->table.version) {
    return PutRoutesOutcome{false, this->routes_in_force->table.version};
  }
  this->routes_in_force = std::make_shared<const PutRoutes>(put);
  this->last_routes_change_index = this->last_applied;
  this->last_list_change_index = this->last_applied;
  return PutRoutesOutcome{true, put.table.version};
}

ControlOutcome ControlState::Execute(const SetEvacuation& order) {
  const bool changed = SetEvacuated(this->evacuated_data_centres,
                                    order.data_centre, order.is_evacuated);
  if (changed) {
    this->last_evacuation_change_index = this->last_applied;
    this->last_list_change_index = this->last_applied;
  }
  return SetEvacuationOutcome{changed};
}

std::optional<IndexedEdits> ControlState::EditsAfter(LogIndex index) const {
  return this->changes.EditsAfter(index);
}

std::vector<ChangeRecord> ControlState::History(std::size_t limit) const {
  std::vector<ChangeRecord> records;
  const auto& answered = this->changes.changes();
  for (auto change = answered.rbegin();
       change != answered.rend() && records.size() < limit; ++change) {
    records.push_back({change->index, change->answered_at, change->list,
                       change->change, change->rows, change->outcome});
  }
  return records;
}

}  // namespace marigold
