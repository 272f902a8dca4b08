#ifndef SRC_TABLES_LIST_TABLE_H_
#define SRC_TABLES_LIST_TABLE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/keyed_hash.h"
#include "src/core/random.h"
#include "src/core/ranked_mutex.h"
#include "src/core/units.h"
#include "src/policy/evacuation.h"
#include "src/policy/routes.h"
#include "src/tables/control_state.h"

namespace marigold {

// An update that a control VM sends to an entry VM: the accepted edits after
// the index of the entry VM, or the full lists.
struct ListUpdate {
  // The index to which this update applies; ignored with full lists.
  LogIndex from;
  // The index that is in force after this update.
  LogIndex to;
  std::optional<Lists> full_lists;
  std::vector<PutRows> edits;
  // The route table, if it has changed after `from`. Always present with full
  // lists if there is a route table.
  std::optional<RouteTable> routes{};
  // The evacuated data centres, if they have changed after `from`. Always
  // present with full lists.
  std::optional<EvacuatedDataCentres> evacuated{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->to, this->full_lists, this->edits, this->routes,
            this->evacuated);
  }
};

enum class ListUpdateResult {
  kApplied,
  // The index in force is already `to` or higher, or the full lists or the
  // routes are of an older version.
  kStale,
  // The index in force is not `from`, or the edits expect other versions. The
  // full lists are needed.
  kGap,
};

// The services and limits of a customer, resolved through both lists.
struct CustomerLimits {
  PlanId plan;
  std::vector<ServiceId> services;
  RatePerSecond rate;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t weight = 1;
};

// The two lists, the routes and the evacuated data centres in force on one
// entry VM, shared by all workers.
class ListTable {
 public:
  // Sets a callback that runs after an update was applied, while no lock is
  // held and before `Apply` returns. Must be called before any other use.
  void OnApplied(std::function<void()> on_applied);

  // Commands.

  // Applies an update. The index and the version of the routes in force never
  // decrease.
  ListUpdateResult Apply(MonotonicTime now, const ListUpdate& update);

  // Queries.

  // Nothing if the customer has no plan, or its plan has no usage row.
  std::optional<CustomerLimits> LimitsOf(const CustomerId& customer) const;

  // Zero until the first update.
  LogIndex index() const;
  // When the last update was applied.
  MonotonicTime changed_at() const;
  // A copy of both lists, for peers and state dumps.
  Lists Copy() const;
  // Null before the first route table.
  std::shared_ptr<const RouteIndex> Routes() const;
  EvacuatedDataCentres Evacuated() const;
  // An update with the full lists, the routes, the evacuated data centres and
  // the index in force.
  ListUpdate FullUpdate() const;

 private:
  ListUpdateResult ApplyLocked(MonotonicTime now, const ListUpdate& update);

  mutable RankedMutex<LockRank::kListTable> mutex;
  Lists lists;
  std::shared_ptr<const RouteIndex> routes;
  EvacuatedDataCentres evacuated;
  // Has the secret of this process.
  KeyedHash key_hash{SeededRandom(SystemSeed())};
  LogIndex index_in_force;
  MonotonicTime last_change;
  std::function<void()> on_update_applied = [] {};
};

}  // namespace marigold

#endif  // SRC_TABLES_LIST_TABLE_H_
