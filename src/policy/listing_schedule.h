#ifndef SRC_POLICY_LISTING_SCHEDULE_H_
#define SRC_POLICY_LISTING_SCHEDULE_H_

#include <optional>

#include "src/core/units.h"

namespace marigold {

// Who reads the platform's list and when: calls are paid for, so the control
// group's leader reads it for everybody, another control VM only if it knows
// none, and an entry VM only while it hears of no fresh list.
struct ListingSchedule {
  // A server that drains gets new work for at most this, a read and the
  // distribution.
  static constexpr Duration kLeaderInterval = std::chrono::milliseconds(1000);
  // Two reads of the leader are missing.
  static constexpr Duration kStaleAfter = std::chrono::milliseconds(2300);
  static constexpr Duration kEntryInterval = std::chrono::milliseconds(1500);

  // A control VM that knows no list does not wait for the leader's: after a
  // start of the whole group entry VMs can serve as soon as there is a leader.
  static bool IsControlReadDue(MonotonicTime now,
                               MonotonicTime last_attempt,
                               bool is_leader,
                               std::optional<MonotonicTime> observed_at) {
    return (is_leader || !observed_at) && now - last_attempt >= kLeaderInterval;
  }

  // `delay` spreads the entry VMs.
  static bool IsEntryReadDue(MonotonicTime now,
                             MonotonicTime last_attempt,
                             std::optional<MonotonicTime> observed_at,
                             MonotonicTime started_at,
                             Duration delay) {
    const MonotonicTime known_at = observed_at.value_or(started_at);
    return now - known_at >= kStaleAfter + delay &&
           now - last_attempt >= kEntryInterval;
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_LISTING_SCHEDULE_H_
