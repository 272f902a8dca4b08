#ifndef SRC_TABLES_CONTROL_STATE_H_
#define SRC_TABLES_CONTROL_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/ids.h"
#include "src/core/result.h"
#include "src/core/units.h"
#include "src/policy/evacuation.h"
#include "src/tables/action_ledger.h"
#include "src/tables/change_log.h"
#include "src/tables/list_edits.h"

namespace marigold {

// Settings of the state machine. They must be the same on every member of a
// control group, because members with different values get different states.
struct ControlStateSettings {
  // Keys of this age or older are refused, and their ledger entries are
  // dropped.
  Duration ledger_retention = std::chrono::hours(24);
  // How far a key's time of issue may lie in the future, because clocks differ.
  Duration issue_skew = std::chrono::minutes(5);
  // Number of edits whose change ids are remembered.
  std::size_t remembered_changes = 20'000;
  // Limit on the memory of the ledger's entries, in bytes. Beyond it, the
  // entries that expire first are dropped, and their keys are refused as if
  // they were older than the retention.
  std::size_t ledger_bytes = 64 * 1024 * 1024;
};

// One remembered edit, as shown to operators.
struct ChangeRecord {
  LogIndex index;
  WallTime answered_at;
  ListKind list = ListKind::kPlans;
  ChangeId change;
  std::uint64_t rows = 0;
  PutRowsOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->answered_at, this->list, this->change,
            this->rows, this->outcome);
  }
};

// The replicated state machine: the two lists, the route table, the evacuated
// data centres, remembered change ids and the action ledger. The same sequence
// of `Apply` calls produces the same state on every member.
class ControlState {
 public:
  explicit ControlState(ControlStateSettings state_settings);

  // Commands.

  // Applies one committed command. `index` increases with every call;
  // `proposed_at` never decreases.
  ControlOutcome Apply(LogIndex index,
                       WallTime proposed_at,
                       const ControlCommand& command);

  // Replaces the state by one that `Serialise` wrote. Fails with `ParseError`
  // if the image is damaged or has another format version. The state is
  // unchanged then.
  Result<void> Restore(std::string_view image);

  // Queries.

  std::string Serialise() const;
  const Lists& lists() const { return this->current_lists; }
  // Index of the last applied command.
  LogIndex applied() const { return this->last_applied; }
  // Index of the last command that changed a list, the routes or the evacuated
  // data centres. Entry VMs compare their lists with it.
  LogIndex lists_index() const { return this->last_list_change_index; }
  // The accepted edits after `index` in order, or nothing if the rows of some
  // of them are no longer held. The full lists have to be sent then.
  std::optional<std::vector<std::pair<LogIndex, PutRows>>> EditsAfter(
      LogIndex index) const;
  // The latest remembered edits, newest first, at most `limit`.
  std::vector<ChangeRecord> History(std::size_t limit) const;
  // Null before the first route table.
  std::shared_ptr<const PutRoutes> routes() const {
    return this->routes_in_force;
  }
  // Index of the last command that changed the routes.
  LogIndex routes_index() const { return this->last_routes_change_index; }
  const EvacuatedDataCentres& evacuated() const {
    return this->evacuated_data_centres;
  }
  // Index of the last command that changed the evacuated data centres.
  LogIndex evacuation_index() const {
    return this->last_evacuation_change_index;
  }
  std::size_t ledger_size() const { return this->ledger.size(); }

 private:
  struct Image;

  ControlOutcome Execute(const PutRows& edit);
  ControlOutcome Execute(const ClaimAction& claim);
  ControlOutcome Execute(const ReleaseClaim& release);
  ControlOutcome Execute(const RecordOutcome& outcome);
  ControlOutcome Execute(const PutRoutes& put);
  ControlOutcome Execute(const SetEvacuation& order);
  // Checks an edit whose change id is not remembered, and applies it if it is
  // valid.
  PutRowsOutcome Decide(const PutRows& edit);
  // Says whether an edit with a version conflict may have been applied before.
  Execution ExecutionOfConflict(const PutRows& edit, ListVersion current) const;

  ControlStateSettings settings;
  Lists current_lists;
  std::size_t encoded_list_bytes = 0;
  ChangeLog changes;
  ActionLedger ledger;
  LogIndex last_applied;
  LogIndex last_list_change_index;
  std::shared_ptr<const PutRoutes> routes_in_force;
  LogIndex last_routes_change_index;
  EvacuatedDataCentres evacuated_data_centres;
  LogIndex last_evacuation_change_index;
  // Highest `proposed_at` of the applied commands; the clock of the ledger.
  WallTime latest_proposed_at;
};

}  // namespace marigold

#endif  // SRC_TABLES_CONTROL_STATE_H_
