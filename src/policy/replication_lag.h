#ifndef SRC_POLICY_REPLICATION_LAG_H_
#define SRC_POLICY_REPLICATION_LAG_H_

#include <algorithm>
#include <optional>

#include "src/core/ids.h"
#include "src/core/units.h"

namespace marigold {

// Tracks whether a copy of a replicated log keeps up with the newest index that
// its source reports. A control VM uses it for the log of its leader, and an
// entry VM for the lists of the control VM that it follows. A source that is
// connected and well may still fail to deliver, which no timeout on the
// connection shows.
class ReplicationLag {
 public:
  // A copy that has made no progress for this long lags. Configurations have to
  // be in force on all VMs 3 s after they are acknowledged, which leaves time
  // to follow another source.
  static constexpr Duration kMaxTimeWithoutProgress = std::chrono::seconds(1);

  explicit ReplicationLag(MonotonicTime now) : last_confirmed_at(now) {}

  // Commands.

  // The source has reported that its newest index is `index`.
  void OnReported(MonotonicTime now, LogIndex index) {
    this->newest_index = std::max(this->newest_index, index);
    const bool is_source_current = index == this->newest_index;
    if (is_source_current && this->own_index >= this->newest_index) {
      this->last_confirmed_at = now;
      this->behind_since.reset();
    } else if (!this->behind_since) {
      this->behind_since = now;
    }
  }

  // The copy is at `index` now. Any change counts as progress.
  void OnApplied(MonotonicTime now, LogIndex index) {
    if (index == this->own_index) {
      return;
    }
    this->own_index = index;
    this->newest_index = std::max(this->newest_index, index);
    if (index == this->newest_index) {
      this->behind_since.reset();
    } else if (this->behind_since) {
      this->behind_since = now;
    }
  }

  // The source is no longer followed. Another one is given its own time.
  void OnSourceLost() { this->behind_since.reset(); }

  // Queries.

  // True if the copy lacks reported entries and makes no progress, or if the
  // source itself lacks entries that the copy has.
  bool IsLagging(MonotonicTime now) const {
    return this->behind_since &&
           now - *this->behind_since >= kMaxTimeWithoutProgress;
  }

  // The last time when a source with the newest index reported one that the
  // copy had. Before that, the time of the construction.
  MonotonicTime confirmed_at() const { return this->last_confirmed_at; }

 private:
  // The newest index that any source has reported or the copy has.
  LogIndex newest_index;
  LogIndex own_index;
  MonotonicTime last_confirmed_at;
  std::optional<MonotonicTime> behind_since;
};

}  // namespace marigold

#endif  // SRC_POLICY_REPLICATION_LAG_H_
