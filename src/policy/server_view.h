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

enum class ServerState { kStarting, kServing, kDraining, kLeaving, kLost };

// Stable text for JSON and logs, such as "draining".
std::string_view ToString(ServerState state);

// A row of the platform's VM list.
struct ServerRecord {
  BackendServerId server;
  Endpoint endpoint;
  ServiceId service;
  DataCentreId data_centre;
  bool leaving = false;
};

// The shards of one snapshot that one backend server reports.
struct ManifestReport {
  SnapshotId snapshot;
  // The full shard set of the snapshot.
  std::vector<ShardId> all_shards;
  // The shards that this backend server carries.
  std::vector<ShardId> shards;
};

// What a backend server reports of itself, with every reply or on request.
struct LoadReport {
  ServerState state = ServerState::kServing;
  // Requests in service plus queued.
  std::uint32_t load = 0;
  SnapshotId newest_snapshot;
};

// The answer to a status call.
struct StatusReport {
  LoadReport load;
  std::uint32_t slots = 1;
  std::uint32_t connection_limit = 1;
  std::vector<ManifestReport> snapshots;
};

// What replica choice sees of one backend server.
struct ServerView {
  ServerIndex index;
  ServerState state = ServerState::kStarting;
  bool is_same_data_centre = false;
  // Avoided unless nothing else is usable: it does not answer, answers much
  // more slowly than others, or refused recently because of its load.
  bool is_suspect = false;
  std::uint32_t slots = 1;
  // Attempts that this process has in flight there, with those about to be
  // sent.
  std::uint32_t in_flight = 0;
  // Most attempts that this process may have in flight there.
  std::uint32_t limit = 1;
  std::uint32_t reported_load = 0;
  Duration report_age{};
  // How far own observations agree with the server's reports.
  Fraction report_trust{1};
  Duration latency_estimate{};
  // How long attempts there have been without a reply.
  Duration silent_for{};
  // Since the server became usable.
  Duration usable_for{};
};

// The backend servers that may get an attempt. The view is valid only during
// the call that it is passed to.
using CandidateViews = std::span<const ServerView>;

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_VIEW_H_
