#ifndef SRC_POLICY_FAN_OUT_GROUP_PROGRESS_H_
#define SRC_POLICY_FAN_OUT_GROUP_PROGRESS_H_

#include <algorithm>
#include <utility>
#include <vector>

#include "src/core/units.h"
#include "src/policy/fan_out/fan_out_types.h"
#include "src/policy/forward_timing.h"

namespace marigold {

// Decides when an aggregator reports to the root. The answers that arrive in
// the usual time go into one report, so that a group costs one message. Later
// answers, and all answers of a repeated query, are reported at once, because
// the root may wait for them. Failures are collected for a moment: when many
// servers lose their answers, each report would otherwise cause another query
// for a single shard.
class GroupProgress {
 public:
  // `timing` holds the usual latencies of the route, and `max_attempts` the
  // number of attempts of the query. The first report is due when all attempts
  // have had the usual time. `is_repeated` is true if another query has been
  // sent for the shards before.
  GroupProgress(MonotonicTime now,
                const AttemptTiming& timing,
                std::uint32_t max_attempts,
                bool is_repeated)
      : first_report_at(now + timing.hedge_delay *
                                  static_cast<std::int64_t>(max_attempts)),
        reports_at_once(is_repeated) {}

  // Commands.

  void OnAnswer(ShardPosition shard) { this->unreported.push_back(shard); }

  void OnFailure(MonotonicTime now, const FailedShard& failed) {
    if (this->failures.empty()) {
      this->failures_due_at = now + kFailureReportDelay;
    }
    this->failures.push_back(failed);
  }

  // Returns the answered shards that have not been reported, and marks them as
  // reported.
  std::vector<ShardPosition> TakeAnswers() {
    this->reports_at_once = true;
    return std::exchange(this->unreported, {});
  }

  // Returns the failures that have not been reported, and marks them as
  // reported.
  std::vector<FailedShard> TakeFailures() {
    this->failures_due_at = MonotonicTime::max();
    return std::exchange(this->failures, {});
  }

  // Queries.

  // True if the answers that have arrived are reported now.
  bool AreAnswersDue(MonotonicTime now) const {
    return this->reports_at_once ? !this->unreported.empty()
                                 : now >= this->first_report_at;
  }
  bool AreFailuresDue(MonotonicTime now) const {
    return now >= this->failures_due_at;
  }
  // True if answers are reported as they arrive. Before, they are collected
  // until the first report, which also names the shards that are late. The
  // shards of a repeated query have no attempts left that such a report could
  // cause, so all its answers are reported as they arrive.
  bool ReportsAtOnce() const { return this->reports_at_once; }
  // The next time at which a report may be due without another event.
  MonotonicTime NextDue() const {
    return this->reports_at_once
               ? this->failures_due_at
               : std::min(this->first_report_at, this->failures_due_at);
  }

 private:
  // Failures of several servers often come within this time.
  static constexpr Duration kFailureReportDelay = std::chrono::milliseconds(3);

  MonotonicTime first_report_at;
  MonotonicTime failures_due_at = MonotonicTime::max();
  std::vector<ShardPosition> unreported;
  std::vector<FailedShard> failures;
  bool reports_at_once;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_GROUP_PROGRESS_H_
