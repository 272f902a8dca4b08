#include "src/policy/fan_out/search_outcome.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace marigold {

namespace {

// Absorbs the rounding error of the product of coverage and target count.
constexpr double kCoverageTolerance = 1e-9;

// Backend servers that are full or restarting are usable again within about
// this time.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
// A server pauses one entry VM at a time. Another one, which the caller may
// reach next, may still be able to use it.
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);

double RequiredTargets(std::size_t total, double minimum_coverage) {
  return minimum_coverage * static_cast<double>(total) - kCoverageTolerance;
}

}  // namespace

bool CanReachCoverage(std::size_t total,
                      std::size_t lost,
                      double minimum_coverage) {
  return static_cast<double>(total - lost) >=
         RequiredTargets(total, minimum_coverage);
}

bool HasReachableCoverage(const BackendDirectory& directory,
                          MonotonicTime now,
                          const ForwardPlan& plan) {
  const auto unavailable_count = static_cast<std::size_t>(std::count_if(
      plan.targets.begin(), plan.targets.end(), [&](const ServiceId& service) {
        return !directory.HasAvailableServer(now, service);
      }));
  return unavailable_count < plan.targets.size() &&
         CanReachCoverage(plan.targets.size(), unavailable_count,
                          plan.minimum_coverage);
}

Duration RetryDelay(const BackendDirectory& directory,
                    MonotonicTime now,
                    const ForwardPlan& plan) {
  std::vector<MonotonicTime> pause_ends;
  for (const ServiceId& service : plan.targets) {
    if (const auto end = directory.FirstPauseEnd(now, service)) {
      pause_ends.push_back(*end);
    }
  }
  const auto required = static_cast<std::size_t>(
      std::ceil(RequiredTargets(plan.targets.size(), plan.minimum_coverage)));
  if (required == 0 || pause_ends.size() < required) {
    return kMinRetryDelay;
  }
  const auto last_required =
      pause_ends.begin() + static_cast<std::ptrdiff_t>(required - 1);
  std::nth_element(pause_ends.begin(), last_required, pause_ends.end());
  return std::clamp(*last_required - now, kMinRetryDelay, kMaxRetryDelay);
}

ForwardState DecideState(const ForwardPlan& plan,
                         const TargetCounts& counts,
                         MonotonicTime now,
                         bool may_have_run) {
  const bool has_coverage =
      counts.answered > 0 &&
      static_cast<double>(counts.answered) >=
          RequiredTargets(counts.total, plan.minimum_coverage);
  const bool all_ended = counts.answered + counts.exhausted == counts.total;
  if (counts.answered == counts.total ||
      (has_coverage && (now >= plan.deadlines.answer_by || all_ended))) {
    return ForwardState::kAnswered;
  }
  if (now >= plan.deadlines.give_up_at) {
    return may_have_run ? ForwardState::kTimedOut : ForwardState::kNotRun;
  }
  const bool is_lost =
      all_ended ||
      (!has_coverage && !CanReachCoverage(counts.total, counts.exhausted,
                                          plan.minimum_coverage));
  if (is_lost) {
    return may_have_run ? ForwardState::kFailed : ForwardState::kNotRun;
  }
  return ForwardState::kRunning;
}

}  // namespace marigold
