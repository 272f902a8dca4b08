#ifndef SRC_TABLES_QUOTA_COORDINATION_TABLE_H_
#define SRC_TABLES_QUOTA_COORDINATION_TABLE_H_

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/policy/quota/quota_coordinator.h"
#include "src/tables/control_status.h"
#include "src/tables/control_table.h"

namespace marigold {

// The quota coordinator of a control VM while it leads, and the newest quota
// state that it knows. Shared by all workers.
class QuotaCoordinationTable {
 public:
  explicit QuotaCoordinationTable(const ControlTable& control_table);

  // Commands.

  // Counts reports. They are dropped unless this VM coordinates.
  void OnReports(MonotonicTime now,
                 const std::vector<QuotaUsageReport>& reports);
  // Stores a state of the leader. Returns false if it is not newer.
  bool OnState(MonotonicTime now, const QuotaState& state);
  // Begins or ends the coordination as the leadership, the quorum and the
  // customers require, and computes the ratios. Returns a state if one must be
  // sent.
  std::optional<QuotaState> Round(MonotonicTime now);

  // Queries.

  // True if some customer has a quota.
  bool HasQuotas() const;
  // True if this VM coordinates, as of the last round.
  bool IsCoordinating() const;
  // The newest state, with its age. Absent before the first one.
  std::optional<QuotaState> NewestState(MonotonicTime now) const;
  // On the coordinating VM: the customers with a ratio below 1.
  std::vector<QuotaCustomerStatus> Limited() const;

 private:
  // Requires that the lock is held. Begins, ends or updates the coordination.
  void FollowGroup(MonotonicTime now,
                   const ControlStatus& status,
                   std::shared_ptr<const PutRoutes> routes);
  // Requires that the lock is held.
  void LogTransitions(MonotonicTime now);

  const ControlTable& table;
  mutable RankedMutex<LockRank::kQuotas> mutex;
  std::optional<QuotaCoordinator> coordinator;
  Term coordinated_term;
  // The routes whose quotas `coordinator` applies.
  std::shared_ptr<const PutRoutes> routes_in_force;
  std::optional<QuotaState> newest_state;
  MonotonicTime state_at;
  // The customers that were logged as limited, and when they last were so.
  std::unordered_map<CustomerId, MonotonicTime> logged_limited;
};

}  // namespace marigold

#endif  // SRC_TABLES_QUOTA_COORDINATION_TABLE_H_
