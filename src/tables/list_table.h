#ifndef SRC_TABLES_LIST_TABLE_H_
#define SRC_TABLES_LIST_TABLE_H_

#include <memory>
#include <optional>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/ranked_mutex.h"
#include "src/core/units.h"
#include "src/policy/routes.h"
#include "src/tables/control_state.h"

namespace marigold {

// What control sends to an entry VM: accepted edits after the index that the
// entry VM has, or the whole lists.
struct ListUpdate {
  // The index after which this update applies; ignored for whole lists.
  LogIndex from;
  // The index that is in force after it.
  LogIndex to;
  std::optional<Lists> full_lists;
  std::vector<PutRows> edits;
  // The route table, if it has changed after `from`; always with whole lists.
  std::optional<RouteTable> routes{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->to, this->full_lists, this->edits, this->routes);
  }
};

enum class ListUpdateResult {
  kApplied,
  // The table is already at or past `to`.
  kStale,
  // The table is not at `from`; whole lists are needed.
  kGap,
};

// What a customer may use, resolved through both lists.
struct CustomerLimits {
  PlanId plan;
  std::vector<ServiceId> services;
  RatePerSecond rate;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t weight = 1;
};

// The two lists and the routes in force on one entry VM, shared by all workers.
class ListTable {
 public:
  // Commands.

  // Takes an update. The index in force never falls.
  ListUpdateResult Apply(MonotonicTime now, const ListUpdate& update);

  // Queries.

  // Nothing if the customer has no plan, or its plan has no usage row.
  std::optional<CustomerLimits> LimitsOf(const CustomerId& customer) const;

  // Zero until the first update.
  LogIndex index() const;
  MonotonicTime changed_at() const;
  // A copy of both lists, to serve peers and dumps.
  Lists Copy() const;
  // Null before the first route table.
  std::shared_ptr<const RouteIndex> Routes() const;
  // Both lists with the index that is in force, as an update.
  ListUpdate FullUpdate() const;

 private:
  mutable RankedMutex<LockRank::kListTable> mutex;
  Lists lists;
  std::shared_ptr<const RouteIndex> routes;
  LogIndex index_in_force;
  MonotonicTime last_change;
};

}  // namespace marigold

#endif  // SRC_TABLES_LIST_TABLE_H_
