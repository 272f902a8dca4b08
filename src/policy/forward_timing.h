#ifndef SRC_POLICY_FORWARD_TIMING_H_
#define SRC_POLICY_FORWARD_TIMING_H_

#include <optional>

#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/routes.h"

namespace marigold {

// The moments that decide about one request.
struct ForwardTimes {
  MonotonicTime began;
  // From now on an incomplete answer with enough coverage is better than
  // waiting.
  MonotonicTime answer_by;
  // The request is given up.
  MonotonicTime limit;
};

// `time_left` is what the caller waits; nothing if it did not say.
// `round_trip` is the time to the caller and back, if known.
// `longest_seen` is the most that callers of this route had left, which a
// caller's first attempt has.
ForwardTimes TimesOf(const Route& route,
                     MonotonicTime now,
                     std::optional<Duration> time_left,
                     std::optional<Duration> round_trip,
                     Duration longest_seen);

struct ForwardTiming {
  // The latency of a typical server for this route; zero if unknown.
  Duration expected{};
  // After this a second server is asked.
  Duration hedge_delay{};
};

ForwardTiming TimingOf(const BackendDirectory& directory,
                       const RouteName& route,
                       const ForwardTimes& times);

}  // namespace marigold

#endif  // SRC_POLICY_FORWARD_TIMING_H_
