#ifndef SRC_POLICY_FORWARD_TYPES_H_
#define SRC_POLICY_FORWARD_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/forward_timing.h"
#include "src/policy/search_types.h"

namespace marigold {

// One send of one request to one backend server, counted within the request.
using SendId = detail::NumericId<struct SendTag>;

// What a request asks for, after its route is known.
struct ForwardPlan {
  RouteName route;
  // One service, or the shards of a fan-out.
  std::vector<ServiceId> targets;
  bool is_fan_out = false;
  double minimum_coverage = 1;
  bool is_idempotent = false;
  // Servers of each target that may run the request.
  std::uint32_t max_attempts = 1;
  ForwardDeadlines deadlines;
};

// Instructions to the code that drives a forwarded request.
struct StartSend {
  SendId send;
  std::size_t target = 0;
  ServerIndex server;
};
// Nobody waits for this answer any more.
struct CancelSend {
  SendId send;
  ServerIndex server;
  MonotonicTime started_at;
  // The latency of a typical server.
  Duration typical_latency{};
};
// Replaces any earlier time.
struct SetForwardTimer {
  MonotonicTime at;
};
using ForwardStep = std::variant<StartSend, CancelSend, SetForwardTimer>;

enum class ForwardState {
  kRunning,
  // Enough targets have answered.
  kAnswered,
  // The request surely did not run anywhere.
  kNotRun,
  // It may have run.
  kFailed,
  // The time is over without an answer; it may have run if it was sent.
  kTimedOut,
};

// Stable text for logs and metrics, such as "answered".
std::string_view ToString(ForwardState state);

}  // namespace marigold

#endif  // SRC_POLICY_FORWARD_TYPES_H_
