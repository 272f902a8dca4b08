#ifndef SRC_POLICY_SERVER_VIEW_H_
#define SRC_POLICY_SERVER_VIEW_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/ids.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// The state of a backend server. A server reports the states from starting to
// draining itself. `kLeaving` follows from the platform's list. `kLost` means
// that the server is not listed or cannot be reached.
enum class ServerState { kStarting, kServing, kDraining, kLeaving, kLost };

// Stable text for JSON and logs, such as "draining".
std::string_view ToString(ServerState state);

// A row of the platform's VM list.
struct ServerRecord {
  BackendServerId server;
  Endpoint endpoint;
  ServiceId service;
  DataCentreId data_centre;
  bool is_leaving = false;
};

// The shards of one snapshot that one backend server reports.
struct ManifestReport {
  SnapshotId snapshot;
  // The full shard set of the snapshot.
  std::vector<ShardId> all_shards;
  // The shards that this backend server holds.
  std::vector<ShardId> shards;
};

// The load that a backend server reports with every reply and status.
struct LoadReport {
  ServerState state = ServerState::kServing;
  // The number of requests in service or queued.
  std::uint32_t load = 0;
  SnapshotId newest_snapshot;
};

// The reply to a status call.
struct StatusReport {
  LoadReport load;
  // The number of requests that the server processes at the same time.
  std::uint32_t slots = 1;
  std::uint32_t connection_limit = 1;
  std::vector<ManifestReport> snapshots;
};

// The state of one backend server as replica choice uses it.
struct ServerView {
  ServerIndex index;
  ServerState state = ServerState::kStarting;
  bool is_in_same_data_centre = false;
  // True if the server is avoided unless no other one is usable: it does not
  // reply, replies much more slowly than others, or refused an attempt recently
  // because of its load.
  bool is_suspect = false;
  std::uint32_t slots = 1;
  // The attempts that this process has in flight at the server, including those
  // about to be sent.
  std::uint32_t in_flight = 0;
  // The maximum number of attempts that this process may have in flight at the
  // server.
  std::uint32_t limit = 1;
  std::uint32_t reported_load = 0;
  Duration report_age{};
  // How far the observations of this process agree with the server's reports:
  // from 0 to 1.
  Fraction report_trust{1};
  Duration latency_estimate{};
  // The time that attempts in flight have been without a reply.
  Duration silent_for{};
  // The time since the server became usable.
  Duration usable_for{};
};

// The backend servers that may get an attempt. The span is valid only during
// the call that it is passed to.
using CandidateViews = std::span<const ServerView>;

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_VIEW_H_
