#ifndef SRC_POLICY_ENTRY_STATE_H_
#define SRC_POLICY_ENTRY_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/connection_pool.h"
#include "src/policy/server_view.h"

namespace marigold {

// The state of one backend server as seen by one entry process.
struct ServerSummary {
  ServerView view;
  ServerRecord record;
  // The time since the server entered its current state.
  Duration state_age{};
  SnapshotId newest_snapshot;
  std::optional<AttemptFailure> last_failure;
  Duration last_failure_age{};
  ConnectionPoolCounts connections;
};

// Describes a request that was refused, or whose answer lacks the records of
// some shards.
struct RequestNote {
  std::string request;
  std::string customer;
  std::string service;
  std::string verdict;
  std::string reason;
  std::string detail;
  Duration age{};
};

// The state of an entry process, as shown to operators.
struct EntryState {
  std::string phase;
  VmId vm;
  std::uint64_t requests_in_flight = 0;
  std::uint64_t open_actions = 0;
  std::uint64_t caller_connections = 0;
  std::uint32_t admission_running = 0;
  std::uint32_t admission_waiting = 0;
  // True if the process knows which lists of the control group are in force.
  bool are_lists_known = false;
  LogIndex lists_index;
  // The time since the lists last changed.
  Duration lists_age{};
  // The time since a control VM last confirmed that the lists are the newest.
  Duration lists_confirmed_age{};
  std::vector<ServerSummary> servers;
  // The recent refused and incomplete requests, newest first.
  std::vector<RequestNote> notes;
};

}  // namespace marigold

#endif  // SRC_POLICY_ENTRY_STATE_H_
