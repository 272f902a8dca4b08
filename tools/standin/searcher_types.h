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

// One accepted connection of a searcher; never reused.
using SessionId = detail::NumericId<struct StandinSessionTag>;

// Work was cancelled, or its deadline passed while it ran.
struct WorkStopped {
  AttemptId attempt;
  std::string reason;
};

// How a searcher behaves; can be changed while it runs.
struct SearcherBehaviour {
  ServiceTimeSettings service_time;
  Duration action_time = std::chrono::milliseconds(5);
  // Added to every service time.
  Duration added_delay{};
  std::uint32_t queue_limit = 32;
  // From a start until the server takes work.
  Duration start_time{};
  // Between the publication of a snapshot and this server's use of it.
  Duration snapshot_delay{};
  // Share of requests that are refused whatever the load is.
  Fraction shed_share;
  bool draining = false;
  ReplyFaultSettings faults;
  LoadReportSettings report;
};

struct SearcherCounters {
  std::uint64_t searches = 0;
  std::uint64_t actions = 0;
  std::uint64_t statuses = 0;
  std::uint64_t cancels = 0;
  std::uint64_t replies = 0;
  std::uint64_t refusals = 0;
  // Work that ended early because of a cancellation or a closed connection.
  std::uint64_t stopped = 0;
  // Work whose deadline passed in the queue or in service.
  std::uint64_t expired = 0;
  std::uint64_t actions_run = 0;
  std::uint64_t connections = 0;
  std::uint64_t connections_over_limit = 0;
  std::uint64_t most_open_connections = 0;
  std::array<std::uint64_t, kReplyFaultCount> faults{};
  // Searches and actions that came later than the bound after the first sign
  // that the server leaves.
  std::uint64_t late_work = 0;
  std::uint64_t late_statuses = 0;
};

using ReplyBody =
    std::variant<SubResponse, BackendActionReply, SubRefusal, WorkStopped>;

// Instructions of a `SearcherCore` to the code that drives it.
struct RunWork {
  WorkId work;
  Duration time{};
};

// Drops the timer of a `RunWork`.
struct StopWork {
  WorkId work;
};

// Like `RunWork`, for an action: its execution is recorded first.
struct RunAction {
  WorkId work;
  IdempotencyKey key;
  Duration time{};
};

struct SendReply {
  SessionId connection;
  ReplyBody body;
  ReplyFault fault = ReplyFault::kNone;
  Duration delay{};
};

using SearcherStep = std::variant<RunWork, StopWork, RunAction, SendReply>;

}  // namespace marigold

#endif  // TOOLS_STANDIN_SEARCHER_TYPES_H_
