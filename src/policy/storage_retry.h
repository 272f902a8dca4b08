#ifndef SRC_POLICY_STORAGE_RETRY_H_
#define SRC_POLICY_STORAGE_RETRY_H_

#include <algorithm>

#include "src/core/units.h"

namespace marigold {

// Decides when a disk that has failed is tried again. The first attempt follows
// at once, because most failures pass. A disk that fails again soon after it
// was recovered, for example because it has room for a few kilobytes only, is
// tried less and less often, so that its member does not join and leave the
// group all the time.
class StorageRetry {
 public:
  static constexpr Duration kMinDelay = std::chrono::milliseconds(250);
  static constexpr Duration kMaxDelay = std::chrono::seconds(1);
  // A disk that has worked for this long after its recovery counts as sound.
  static constexpr Duration kSoundAfter = std::chrono::seconds(10);

  // Commands.

  // A write or an attempt to recover the disk has failed.
  void OnFailed(MonotonicTime now) {
    const bool was_sound =
        !this->is_failed && now >= this->recovered_at + kSoundAfter;
    this->delay = was_sound ? Duration::zero()
                            : std::clamp(this->delay * 2, kMinDelay, kMaxDelay);
    this->attempt_at = now + this->delay;
    if (!this->is_failed) {
      this->first_failure_at = now;
    }
    this->is_failed = true;
  }

  void OnRecovered(MonotonicTime now) {
    this->is_failed = false;
    this->recovered_at = now;
  }

  // The disk is not tried again.
  void Stop() { this->attempt_at = MonotonicTime::max(); }

  // Queries.

  // True from a failure until the recovery.
  bool is_pending() const { return this->is_failed; }
  bool IsDue(MonotonicTime now) const {
    return this->is_failed && now >= this->attempt_at;
  }
  // Has a meaning only while a recovery is pending, like `failed_at`.
  MonotonicTime next_attempt_at() const { return this->attempt_at; }
  // The time of the failure that has not been recovered from.
  MonotonicTime failed_at() const { return this->first_failure_at; }

 private:
  bool is_failed = false;
  Duration delay{};
  MonotonicTime attempt_at;
  MonotonicTime first_failure_at;
  // Early enough for the first failure to be one of a sound disk.
  MonotonicTime recovered_at = MonotonicTime() - kSoundAfter;
};

}  // namespace marigold

#endif  // SRC_POLICY_STORAGE_RETRY_H_
