#ifndef SRC_TABLES_CONTROL_TABLE_H_
#define SRC_TABLES_CONTROL_TABLE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/tables/control_state.h"
#include "src/tables/control_status.h"
#include "src/tables/list_table.h"

namespace marigold {

// The state machine and the status of one control VM, shared by all workers.
// Only the control driver calls the commands.
class ControlTable {
 public:
  // The driver publishes the status several times in this time. It does not
  // while a write to the disk hangs, and the lists then grow old unnoticed.
  static constexpr Duration kMaxStatusAge = std::chrono::seconds(1);

  explicit ControlTable(ControlStateSettings settings);

  // Commands.

  ControlOutcome Apply(LogIndex index,
                       WallTime proposed_at,
                       const ControlCommand& command);
  // Fails with `ParseError`. The state is unchanged then.
  Result<void> Restore(std::string_view image);
  // Replaces the status of this VM and its group. The lists, the ledger, the
  // evacuated data centres and the subscribers of `status` are ignored.
  void Publish(ControlStatus status);

  // Queries.

  std::string Serialise() const;
  // The update for an entry VM whose lists are at `known_index`: edits, or the
  // full lists if `known_index` is zero or the edits are no longer held.
  ListUpdate UpdateAfter(LogIndex known_index) const;
  ListUpdate FullUpdate() const;
  // Null before the first route table.
  std::shared_ptr<const PutRoutes> Routes() const;
  LogIndex lists_index() const;
  std::vector<ChangeRecord> History(std::size_t limit) const;
  // The published status with the current list versions and ledger size.
  // `subscribers` is empty. `has_quorum` is false if the status is older than
  // `kMaxStatusAge`.
  ControlStatus Status() const;

 private:
  // Requires that the lock is held.
  ListUpdate FullUpdateLocked() const;

  SystemClock clock;
  mutable RankedMutex<LockRank::kControlState> mutex;
  ControlState state;
  ControlStatus published_status;
  MonotonicTime published_at;
};

}  // namespace marigold

#endif  // SRC_TABLES_CONTROL_TABLE_H_
