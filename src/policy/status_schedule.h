#ifndef SRC_POLICY_STATUS_SCHEDULE_H_
#define SRC_POLICY_STATUS_SCHEDULE_H_

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/server_view.h"

namespace marigold {

// What decides whether a backend server is asked for its status.
struct StatusCandidate {
  ServerIndex server;
  ServerState state = ServerState::kStarting;
  // Since the last report, on a reply or a status.
  Duration report_age{};
  // Its last report names a snapshot that its last status did not have.
  bool has_new_snapshot = false;
};

struct StatusScheduleSettings {
  // A server that has reported this lately is not asked.
  Duration idle_interval = std::chrono::seconds(10);
  // Between two status calls to a server that is starting.
  Duration starting_interval = std::chrono::milliseconds(500);
  // Status calls because of a new snapshot begin within this time. Further ones
  // wait twice as long each time, as the report may be wrong.
  Duration snapshot_spread = std::chrono::milliseconds(200);
};

// Chooses the servers that are asked for their status, spread over time so that
// entry VMs do not ask together. Leaving, draining and lost servers are never
// asked. Not synchronised.
class StatusSchedule {
 public:
  StatusSchedule(StatusScheduleSettings schedule_settings, std::uint64_t seed)
      : settings(schedule_settings), random(seed) {}

  // The servers to be asked now. To be called often with all servers.
  std::vector<ServerIndex> TakeDue(MonotonicTime now,
                                   std::span<const StatusCandidate> candidates);

 private:
  struct Entry {
    // The next call, unless a report comes before.
    MonotonicTime next_call_at;
    MonotonicTime last_call_at;
    bool snapshot_call_planned = false;
    // Until the next call because of the same snapshot.
    Duration snapshot_call_delay{};
    // From half to one and a half, drawn again after each call.
    double interval_factor = 1;
  };

  Duration RandomDelay(Duration span);
  bool IsDue(MonotonicTime now, const StatusCandidate& candidate, Entry& entry);

  StatusScheduleSettings settings;
  SeededRandom random;
  std::unordered_map<ServerIndex, Entry> entries;
};

}  // namespace marigold

#endif  // SRC_POLICY_STATUS_SCHEDULE_H_
