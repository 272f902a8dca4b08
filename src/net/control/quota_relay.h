#ifndef SRC_NET_CONTROL_QUOTA_RELAY_H_
#define SRC_NET_CONTROL_QUOTA_RELAY_H_

#include <functional>
#include <memory>
#include <optional>

#include "src/net/worker_pool.h"
#include "src/tables/quota_coordination_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Where a `QuotaRelay` sends its messages.
struct QuotaSenders {
  std::function<void(const QuotaState&)> to_entry_vms;
  std::function<void(const QuotaState&)> to_control_vms;
  std::function<void(const QuotaUsageReports&)> to_leader;
};

// Carries usage reports from the entry VMs of a control VM to the leader, and
// quota states from the leader to the entry VMs. Runs the coordinator on the
// leader. Does nothing while no customer has a quota.
class QuotaRelay {
 public:
  QuotaRelay(WorkerPool& pool, QuotaCoordinationTable& quotas);
  ~QuotaRelay();

  QuotaRelay(const QuotaRelay&) = delete;
  QuotaRelay& operator=(const QuotaRelay&) = delete;

  // Commands.

  void Start(QuotaSenders senders);
  // Must be called when the table's lists or `ControlStatus::has_quorum` have
  // changed.
  void OnListsChanged();
  // Takes a report of an entry VM that follows this control VM.
  void OnReport(QuotaUsageReport report);
  // Takes reports that another control VM has collected.
  void OnReports(const QuotaUsageReports& reports);
  // Takes a state of the leader.
  void OnState(const QuotaState& state);

  // Queries.

  // The newest state, with its age. Absent before the first one.
  std::optional<QuotaState> NewestState() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_QUOTA_RELAY_H_
