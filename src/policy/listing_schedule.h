#ifndef SRC_POLICY_LISTING_SCHEDULE_H_
#define SRC_POLICY_LISTING_SCHEDULE_H_

#include <optional>

#include "src/core/units.h"

namespace marigold {

// Decides which VMs read the platform's list and when. Each read is billed, so
// the leader of the control group reads the list for all VMs. Another control
// VM reads it only while it knows no list, and an entry VM only while it
// receives no fresh list.
struct ListingSchedule {
  // The time between two reads of the leader. A draining server gets new
  // requests for at most this interval plus the time to read the list and to
  // distribute it to the entry VMs.
  static constexpr Duration kLeaderInterval = std::chrono::milliseconds(1000);
  // The age at which a list is stale. The leader has then missed two reads.
  static constexpr Duration kStaleAfter = std::chrono::milliseconds(2300);
  // The minimum time between two reads of an entry VM.
  static constexpr Duration kEntryInterval = std::chrono::milliseconds(1500);

  // True if a control VM should read the list now. A control VM without a list
  // does not wait for the list of the leader, so that after a start of the
  // whole group the entry VMs can serve as soon as there is a leader.
  // `observed_at` is the time at which the known list was read; empty if none
  // is known.
  static bool IsControlReadDue(MonotonicTime now,
                               MonotonicTime last_attempt_at,
                               bool is_leader,
                               std::optional<MonotonicTime> observed_at) {
    return (is_leader || !observed_at) &&
           now - last_attempt_at >= kLeaderInterval;
  }

  // True if an entry VM should read the list now. `observed_at` is the time at
  // which the known list was read; empty if none is known, in which case the
  // age counts from `started_at`. `delay` differs between entry VMs, so that
  // they do not all read at once.
  static bool IsEntryReadDue(MonotonicTime now,
                             MonotonicTime last_attempt_at,
                             std::optional<MonotonicTime> observed_at,
                             MonotonicTime started_at,
                             Duration delay) {
    const MonotonicTime age_counted_from = observed_at.value_or(started_at);
    return now - age_counted_from >= kStaleAfter + delay &&
           now - last_attempt_at >= kEntryInterval;
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_LISTING_SCHEDULE_H_
