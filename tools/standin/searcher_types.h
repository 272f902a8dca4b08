#ifndef TOOLS_STANDIN_SEARCHER_TYPES_H_
#define TOOLS_STANDIN_SEARCHER_TYPES_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/policy/backend_messages.h"
#include "tools/standin/load_history.h"
#include "tools/standin/reply_fault.h"
#include "tools/standin/service_time.h"
#include "tools/standin/work_queue.h"

namespace marigold {

// Identifies one accepted connection of a searcher. Ids are not reused.
using SessionId = detail::NumericId<struct StandinSessionTag>;

// The reply to work that was cancelled or whose deadline passed while it ran.
// The reason is "cancelled" or "deadline".
struct WorkStopped {
  AttemptId attempt;
  std::string reason;
};

// The behaviour of a searcher, which can be changed while it runs.
struct SearcherBehaviour {
  ServiceTimeSettings service_time;
  Duration action_time = std::chrono::milliseconds(5);
  // Added to the service time of every search.
  Duration added_delay{};
  // The maximum number of requests that wait for a slot.
  std::uint32_t queue_limit = 32;
  // The time from the start of the server until it accepts work.
  Duration start_time{};
  // The time from the publication of a snapshot until this server holds it.
  Duration snapshot_delay{};
  // The fraction of requests that are refused whatever the load is.
  Fraction shed_share;
  // True if the server refuses all work because it drains.
  bool draining = false;
  ReplyFaultSettings faults;
  LoadReportSettings report;
};

// The events of one searcher since the stand-in started.
struct SearcherCounters {
  std::uint64_t searches = 0;
  std::uint64_t actions = 0;
  std::uint64_t statuses = 0;
  std::uint64_t cancels = 0;
  std::uint64_t replies = 0;
  std::uint64_t refusals = 0;
  // Work that was stopped by a cancellation or a closed connection.
  std::uint64_t stopped = 0;
  // Work whose deadline passed in the queue or while it ran.
  std::uint64_t expired = 0;
  std::uint64_t actions_run = 0;
  std::uint64_t connections = 0;
  std::uint64_t connections_over_limit = 0;
  std::uint64_t most_open_connections = 0;
  // The number of replies with each fault, indexed by `ReplyFault`.
  std::array<std::uint64_t, kReplyFaultCount> faults{};
  // Searches and actions that arrived after the leaving grace period, which
  // starts when a client first learns that the server leaves.
  std::uint64_t late_work = 0;
  // Status requests that arrived after the leaving grace period.
  std::uint64_t late_statuses = 0;
};

using ReplyBody =
    std::variant<SubResponse, BackendActionReply, SubRefusal, WorkStopped>;

// The steps that a `SearcherCore` returns. `RunWork` sets a timer after which
// the work is done.
struct RunWork {
  WorkId work;
  Duration duration{};
};

// Cancels the timer of a `RunWork`.
struct StopWork {
  WorkId work;
};

// Like `RunWork`, for an action. Its execution is recorded before the timer is
// set.
struct RunAction {
  WorkId work;
  IdempotencyKey key;
  Duration duration{};
};

// Sends a reply after `delay`, changed by `fault`.
struct SendReply {
  SessionId connection;
  ReplyBody body;
  ReplyFault fault = ReplyFault::kNone;
  Duration delay{};
};

using SearcherStep = std::variant<RunWork, StopWork, RunAction, SendReply>;

}  // namespace marigold

#endif  // TOOLS_STANDIN_SEARCHER_TYPES_H_
