#ifndef SRC_POLICY_FORWARD_TIMING_H_
#define SRC_POLICY_FORWARD_TIMING_H_

#include <algorithm>
#include <optional>

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/routes.h"

namespace marigold {

// The points in time that govern one request.
struct ForwardDeadlines {
  MonotonicTime started_at;
  // From this time on the request is answered as soon as the minimum coverage
  // is reached, even if some targets have not answered.
  MonotonicTime answer_by;
  // The request fails at this time.
  MonotonicTime give_up_at;

  // Brings later deadlines forward to `end`.
  void EndBy(MonotonicTime end) {
    this->give_up_at = std::min(this->give_up_at, end);
    this->answer_by = std::min(this->answer_by, end);
  }
};

// Computes the deadlines of a request that arrived at `now`. `caller_time_left`
// is the time that the caller will still wait; empty if the caller did not send
// it. `round_trip` is the round-trip time to the caller; empty if it is
// unknown. `longest_time_left` is the longest `caller_time_left` that a caller
// of the route has sent. The first attempt of every caller is assumed to have
// this time, so that the difference to a smaller `caller_time_left` is the time
// that earlier attempts took.
ForwardDeadlines ComputeDeadlines(const Route& route,
                                  MonotonicTime now,
                                  std::optional<Duration> caller_time_left,
                                  std::optional<Duration> round_trip,
                                  Duration longest_time_left);

// Returns true if less than the target latency of the route is left until
// `end`. A request that arrives at `now` is then refused, because an answer
// before `end` is unlikely.
bool IsTooLateToStart(const Route& route, MonotonicTime now, MonotonicTime end);

struct AttemptTiming {
  // The latency of a typical server for the route; zero if it is unknown.
  Duration typical_latency{};
  // The time after a send at which a hedged request is sent to a second server.
  Duration hedge_delay{};
};

// The quantiles of recent latencies that `ComputeAttemptTiming` needs. Absent
// while there are too few observations.
struct LatencyQuantiles {
  std::optional<Duration> median;
  // The attempts that take longer are followed by a second one.
  std::optional<Duration> hedge;
};

// The quantiles that `LatencyQuantiles` holds. A group is a part of a fan-out
// over many shards, whose slowest one decides when it is answered, so its
// attempts are hedged earlier.
inline constexpr Fraction kTypicalQuantile{0.5};
inline constexpr Fraction kHedgeQuantile{0.93};
inline constexpr Fraction kGroupHedgeQuantile{0.85};

// Computes the hedge delay of attempts with these latencies.
AttemptTiming ComputeAttemptTiming(const LatencyQuantiles& latencies,
                                   const ForwardDeadlines& deadlines);

// Computes the hedge delay from the recent latencies of the route.
// `hedge_quantile` is the quantile of the latencies after which an attempt is
// hedged.
AttemptTiming ComputeAttemptTiming(const BackendDirectory& directory,
                                   const RouteName& route,
                                   const ForwardDeadlines& deadlines,
                                   Fraction hedge_quantile);

// The quantile of the times until an aggregator's first report from which
// `ComputeSilenceDelay` starts.
inline constexpr Fraction kSilenceQuantile{0.97};

// Returns the time after which an aggregator that has not reported is assumed
// to be silent. Its shards are then queried elsewhere. `usual_report_time` is
// the quantile `kSilenceQuantile`; empty while there are too few reports.
Duration ComputeSilenceDelay(std::optional<Duration> usual_report_time,
                             const ForwardDeadlines& deadlines);

}  // namespace marigold

#endif  // SRC_POLICY_FORWARD_TIMING_H_
