#ifndef SRC_POLICY_FORWARD_TYPES_H_
#define SRC_POLICY_FORWARD_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/forward_timing.h"
#include "src/policy/search_types.h"

namespace marigold {

// Identifies one send of a request to a backend server. Counted from 0 within
// the request.
using SendId = detail::NumericId<struct SendTag>;

// A forwarded request with its route resolved.
struct ForwardPlan {
  RouteName route;
  // The customer of the request. Empty if the request has none.
  std::optional<CustomerId> customer{};
  // The priority of the request. 0 is the highest.
  std::uint32_t priority = 0;
  // The service of the request, or the shards of a fan-out.
  std::vector<ServiceId> targets;
  // By target: servers that must not get the request, because earlier sends to
  // them are late or have failed. Empty if there are none.
  std::vector<std::vector<ServerIndex>> excluded_servers{};
  // True if the targets are the shards of a fan-out.
  bool is_fan_out = false;
  // The minimum fraction of the targets that must answer.
  double minimum_coverage = 1;
  // True if the request may run more than once.
  bool is_idempotent = false;
  // The maximum number of servers of each target that may run the request.
  std::uint32_t max_attempts = 1;
  // False if another entry VM counts the request for its retry budget.
  bool earns_retries = true;
  ForwardDeadlines deadlines;
};

// The following steps are those that `Forwarding` asks its driver to carry out.

// Sends the request to a server.
struct StartSend {
  SendId send;
  // The index in `ForwardPlan::targets`.
  std::size_t target = 0;
  ServerIndex server;
};

// Cancels a send whose answer is no longer needed.
struct CancelSend {
  SendId send;
  ServerIndex server;
  MonotonicTime started_at;
  // The latency of a typical server; zero if it is unknown.
  Duration typical_latency{};
};

// Sets the timer of the request, which calls `Forwarding::OnTimer`. Replaces
// the earlier timer.
struct SetForwardTimer {
  MonotonicTime at;
};

using ForwardStep = std::variant<StartSend, CancelSend, SetForwardTimer>;

enum class ForwardState {
  kRunning,
  // Enough targets have answered.
  kAnswered,
  // It is certain that the request did not run anywhere.
  kNotRun,
  // The request failed and may have run.
  kFailed,
  // The deadline has passed without enough answers. The request may have run.
  kTimedOut,
};

// Stable text for logs and metrics, such as "answered".
std::string_view ToString(ForwardState state);

}  // namespace marigold

#endif  // SRC_POLICY_FORWARD_TYPES_H_
