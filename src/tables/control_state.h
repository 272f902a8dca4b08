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
#include "src/tables/action_ledger.h"
#include "src/tables/change_log.h"
#include "src/tables/list_edits.h"

namespace marigold {

// The same on every member of a control group; other values give other states.
struct ControlStateSettings {
  // Keys that were issued earlier than this before now are refused, and their
  // ledger entries are dropped.
  Duration ledger_retention = std::chrono::hours(24);
  // How far a key's time of issue may lie in the future.
  Duration issue_skew = std::chrono::minutes(5);
  // Edits whose change ids are remembered.
  std::size_t remembered_changes = 20'000;
  // Memory of the ledger's entries. Beyond it the keys that were issued first
  // are dropped and refused, as if they were older than the retention.
  std::size_t ledger_bytes = 64 * 1024 * 1024;
};

// One remembered edit, for operators.
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

// The replicated state machine: the two lists, remembered change ids and the
// action ledger. The same sequence of `Apply` calls gives the same state on
// every member.
class ControlState {
 public:
  explicit ControlState(ControlStateSettings state_settings);

  // Commands.

  // Applies one committed command. `index` rises with every call; `proposed_at`
  // never falls.
  ControlOutcome Apply(LogIndex index,
                       WallTime proposed_at,
                       const ControlCommand& command);

  // Replaces the state. Fails with `ParseError` and then changes nothing.
  Result<void> Restore(std::string_view image);

  // Queries.

  std::string Serialise() const;
  const Lists& lists() const { return this->in_force; }
  // The last applied index.
  LogIndex applied() const { return this->last_applied; }
  // The index that last changed a list or the routes; the version that entry
  // VMs follow.
  LogIndex lists_index() const { return this->last_list_change; }
  // The accepted edits after `index` in order, or nothing if they are no longer
  // all remembered; then the whole lists have to be sent.
  std::optional<std::vector<std::pair<LogIndex, PutRows>>> EditsAfter(
      LogIndex index) const;
  // The latest remembered edits, newest first, at most `limit`.
  std::vector<ChangeRecord> History(std::size_t limit) const;
  // Null before the first route table.
  std::shared_ptr<const PutRoutes> routes() const {
    return this->routes_in_force;
  }
  // The index that last changed the routes.
  LogIndex routes_index() const { return this->last_routes_change; }
  std::size_t ledger_size() const { return this->ledger.size(); }

 private:
  struct Image;

  ControlOutcome Run(const PutRows& edit);
  ControlOutcome Run(const ClaimAction& claim);
  ControlOutcome Run(const ReleaseClaim& release);
  ControlOutcome Run(const RecordOutcome& outcome);
  ControlOutcome Run(const PutRoutes& put);
  // Decides about an edit whose change id is new.
  PutRowsOutcome Decide(const PutRows& edit);
  Execution ExecutionOfConflict(const PutRows& edit, ListVersion current) const;

  ControlStateSettings settings;
  Lists in_force;
  std::size_t list_bytes = 0;
  ChangeLog changes;
  ActionLedger ledger;
  LogIndex last_applied;
  LogIndex last_list_change;
  std::shared_ptr<const PutRoutes> routes_in_force;
  LogIndex last_routes_change;
  // Of the last command.
  WallTime latest;
};

}  // namespace marigold

#endif  // SRC_TABLES_CONTROL_STATE_H_
