#include "src/policy/forward_timing.h"

#include <algorithm>

namespace marigold {

namespace {

// The assumed round-trip time to a caller for which it is unknown. It covers
// the transit of the request, which is over, and that of the answer.
constexpr Duration kDefaultRoundTrip = std::chrono::milliseconds(5);
// The time in which a small VM encodes the answer and the caller reads it.
constexpr Duration kAnswerProcessingTime = std::chrono::milliseconds(3);
// The answer is due before the target latency has passed. The margin is at
// least the target latency divided by this.
constexpr int kTargetMarginDivisor = 12;

// The final answer is sent this long before the caller stops waiting.
constexpr Duration kGiveUpMargin = std::chrono::milliseconds(8);

// The hedge delay is the available time divided by this while there are too few
// observations.
constexpr int kDefaultHedgeDivisor = 2;

// The minimum hedge delay, in typical latencies. With a shorter delay, ordinary
// variation of the latency would cause hedged requests.
constexpr double kMinHedgeFactor = 1.6;
// The minimum time between the hedge delay and the time at which the answer is
// due, in typical latencies. It lets the second server answer in time.
constexpr double kHedgeReserveFactor = 1.5;

// The part of the available time that an aggregator gets while there are too
// few reports.
constexpr double kDefaultSilenceFraction = 0.7;
// The silence delay in usual report times.
constexpr double kSilenceFactor = 1.25;

// Returns the target latency of the route, or `time_limit` if it has none.
Duration TargetLatency(const Route& route, Duration time_limit) {
  return route.target_latency > Duration::zero() ? route.target_latency
                                                 : time_limit;
}

}  // namespace

ForwardDeadlines ComputeDeadlines(const Route& route,
                                  MonotonicTime now,
                                  std::optional<Duration> caller_time_left,
                                  std::optional<Duration> round_trip,
                                  Duration longest_time_left) {
  ForwardDeadlines deadlines;
  deadlines.started_at = now;
  Duration time_limit = route.time_limit;
  Duration time_of_earlier_attempts{};
  if (caller_time_left) {
    time_limit = std::min(time_limit, *caller_time_left);
    time_of_earlier_attempts =
        std::max(longest_time_left - *caller_time_left, Duration::zero());
  }
  deadlines.give_up_at =
      now + std::max(time_limit - kGiveUpMargin, time_limit / 2);
  const Duration target = TargetLatency(route, time_limit);
  const Duration margin =
      std::max(round_trip.value_or(kDefaultRoundTrip) + kAnswerProcessingTime,
               target / kTargetMarginDivisor);
  deadlines.answer_by =
      std::min(now + std::max(target - margin - time_of_earlier_attempts,
                              Duration::zero()),
               deadlines.give_up_at);
  return deadlines;
}

bool IsTooLateToStart(const Route& route,
                      MonotonicTime now,
                      MonotonicTime end) {
  return end <= now || end - now < TargetLatency(route, route.time_limit);
}

AttemptTiming ComputeAttemptTiming(const LatencyQuantiles& latencies,
                                   const ForwardDeadlines& deadlines) {
  AttemptTiming timing;
  const Duration available_time = deadlines.answer_by - deadlines.started_at;
  const auto& [median_latency, hedge_latency] = latencies;
  if (!median_latency || !hedge_latency) {
    timing.hedge_delay =
        std::max(available_time, deadlines.give_up_at - deadlines.started_at) /
        kDefaultHedgeDivisor;
    if (available_time > Duration::zero()) {
      timing.hedge_delay = available_time / kDefaultHedgeDivisor;
    }
    return timing;
  }
  timing.typical_latency = *median_latency;
  const Duration min_delay = Scale(*median_latency, kMinHedgeFactor);
  const Duration max_delay =
      available_time - Scale(*median_latency, kHedgeReserveFactor);
  timing.hedge_delay = std::max(
      min_delay, max_delay > min_delay ? std::min(*hedge_latency, max_delay)
                                       : *hedge_latency);
  return timing;
}

AttemptTiming ComputeAttemptTiming(const BackendDirectory& directory,
                                   const RouteName& route,
                                   const ForwardDeadlines& deadlines,
                                   Fraction hedge_quantile) {
  return ComputeAttemptTiming(
      {directory.LatencyQuantile(route, kTypicalQuantile),
       directory.LatencyQuantile(route, hedge_quantile)},
      deadlines);
}

Duration ComputeSilenceDelay(std::optional<Duration> usual_report_time,
                             const ForwardDeadlines& deadlines) {
  const Duration available_time =
      std::max(deadlines.answer_by > deadlines.started_at
                   ? deadlines.answer_by - deadlines.started_at
                   : deadlines.give_up_at - deadlines.started_at,
               Duration::zero());
  if (!usual_report_time) {
    return Scale(available_time, kDefaultSilenceFraction);
  }
  const Duration delay = Scale(*usual_report_time, kSilenceFactor);
  // A second aggregator should be able to answer in time, but a delay below the
  // usual time would count ordinary reports as missing.
  return std::max(std::min(delay, available_time / 2), *usual_report_time);
}

}  // namespace marigold
