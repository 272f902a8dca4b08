#ifndef SRC_POLICY_FAN_OUT_GROUP_PROGRESS_H_
#define SRC_POLICY_FAN_OUT_GROUP_PROGRESS_H_

#include <utility>
#include <vector>

#include "src/core/units.h"
#include "src/policy/fan_out/fan_out_types.h"
#include "src/policy/forward_timing.h"

namespace marigold {

// Decides when an aggregator reports to the root. The answers that arrive in
// the usual time go into one report, so that a group costs one message. Later
// answers and failures are reported at once, because the root may wait for
// them.
class GroupProgress {
 public:
  // `timing` holds the usual latencies of the route, and `max_attempts` the
  // number of attempts of the query. The first report is due when all attempts
  // have had the usual time.
  GroupProgress(MonotonicTime now,
                const AttemptTiming& timing,
                std::uint32_t max_attempts)
      : first_report_at(now + timing.hedge_delay *
                                  static_cast<std::int64_t>(max_attempts)) {}

  // Commands.

  void OnAnswer(ShardPosition shard) { this->unreported.push_back(shard); }

  // Returns the answered shards that have not been reported, and marks them as
  // reported.
  std::vector<ShardPosition> TakeUnreported() {
    return std::exchange(this->unreported, {});
  }

  // Marks the first report as sent.
  void OnReported() { this->has_reported = true; }

  // Queries.

  // True if the answers that have arrived are reported now.
  bool AreAnswersDue(MonotonicTime now) const {
    return this->has_reported ? !this->unreported.empty()
                              : now >= this->first_report_at;
  }
  bool IsFirstReport() const { return !this->has_reported; }
  MonotonicTime report_at() const { return this->first_report_at; }

 private:
  MonotonicTime first_report_at;
  std::vector<ShardPosition> unreported;
  bool has_reported = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_GROUP_PROGRESS_H_
