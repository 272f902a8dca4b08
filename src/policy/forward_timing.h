#ifndef SRC_POLICY_FORWARD_TIMING_H_
#define SRC_POLICY_FORWARD_TIMING_H_

#include <optional>

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/routes.h"

namespace marigold {

// The moments that decide about one request.
struct ForwardDeadlines {
  MonotonicTime started_at;
  // From now on an incomplete answer with enough coverage is better than
  // waiting.
  MonotonicTime answer_by;
  // The request is given up.
  MonotonicTime give_up_at;
};

// `caller_time_left` is what the caller waits; nothing if it did not say.
// `round_trip` is the time to the caller and back, if known.
// `longest_time_left` is the most that callers of this route had left, which a
// caller's first attempt has.
ForwardDeadlines ComputeDeadlines(const Route& route,
                                  MonotonicTime now,
                                  std::optional<Duration> caller_time_left,
                                  std::optional<Duration> round_trip,
                                  Duration longest_time_left);

struct AttemptTiming {
  // The latency of a typical server for this route; zero if unknown.
  Duration typical_latency{};
  // After this a second server is asked.
  Duration hedge_delay{};
};

AttemptTiming ComputeAttemptTiming(const BackendDirectory& directory,
                                   const RouteName& route,
                                   const ForwardDeadlines& deadlines);

}  // namespace marigold

#endif  // SRC_POLICY_FORWARD_TIMING_H_
