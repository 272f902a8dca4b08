#ifndef SRC_POLICY_BACKEND_MESSAGES_H_
#define SRC_POLICY_BACKEND_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/policy/server_view.h"

namespace marigold {

// The body of `POST /v1/search` to a backend server.
struct SubRequest {
  AttemptId attempt;
  SnapshotId snapshot;
  ShardId shard;
  std::string query;
  // The time that remains until the caller's deadline.
  Duration deadline{};
};

// A 200 response to a sub-request.
struct SubResponse {
  SubReply reply;
  LoadReport load;
};

// A 409 or 503 response, with which a backend server refuses an attempt.
struct SubRefusal {
  AttemptId attempt;
  AttemptFailure failure = AttemptFailure::kShed;
};

// How an attempt ended.
using AttemptOutcome = std::variant<SubResponse, AttemptFailure>;

// The body of `POST /v1/action` to a backend server.
struct BackendAction {
  AttemptId attempt;
  IdempotencyKey key;
  std::string action;
  std::string payload;
  // The time that remains until the caller's deadline.
  Duration deadline{};
};

// A 200 response to an action.
struct BackendActionReply {
  AttemptId attempt;
  std::string result;
  LoadReport load;
};

// How an attempt to run an action ended.
using ActionAttemptOutcome = std::variant<BackendActionReply, AttemptFailure>;

// The platform's list of the backend servers' VMs.
struct PlatformVmList {
  std::uint64_t version = 0;
  std::vector<ServerRecord> servers;
  // Number of records that could not be decoded. They are skipped.
  std::size_t unreadable_records = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_BACKEND_MESSAGES_H_
