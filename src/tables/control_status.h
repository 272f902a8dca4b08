#ifndef SRC_TABLES_CONTROL_STATUS_H_
#define SRC_TABLES_CONTROL_STATUS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/evacuation.h"
#include "src/replication/types.h"

namespace marigold {

// An entry VM that is subscribed to a control VM.
struct SubscriberStatus {
  VmId vm;
  DataCentreId data_centre;
  // The index of the lists in force on the entry VM.
  LogIndex index;
  // Time since the entry VM last reported its index.
  Duration time_since_report{};
  // Time since the entry VM last had the newest lists; zero if it has them.
  Duration time_behind{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->data_centre, this->index, this->time_since_report,
            this->time_behind);
  }
};

// The state of a control VM and of its group as this VM sees it.
struct ControlStatus {
  Member self;
  DataCentreId data_centre;
  bool is_leader = false;
  // True if this VM leads with a quorum, or follows a leader and has what that
  // leader has committed.
  bool has_quorum = false;
  bool storage_failed = false;
  // True if the disk of this VM may not vote yet.
  bool is_probationary = false;
  std::optional<DiskId> leader;
  Term term;
  LogIndex commit_index;
  LogIndex applied_index;
  LogIndex last_index;
  LogIndex snapshot_index;
  Membership membership;
  LogIndex lists_index;
  ListVersion plans_version;
  ListVersion usage_version;
  std::uint64_t ledger_entries = 0;
  std::vector<SubscriberStatus> subscribers;
  EvacuatedDataCentres evacuated{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->self, this->data_centre, this->is_leader, this->has_quorum,
            this->storage_failed, this->is_probationary, this->leader,
            this->term, this->commit_index, this->applied_index,
            this->last_index, this->snapshot_index, this->membership,
            this->lists_index, this->plans_version, this->usage_version,
            this->ledger_entries, this->subscribers, this->evacuated);
  }
};

}  // namespace marigold

#endif  // SRC_TABLES_CONTROL_STATUS_H_
