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

// The state of a backend server that decides whether it gets a status call.
struct StatusCandidate {
  ServerIndex server;
  ServerState state = ServerState::kStarting;
  // The time since the last load report of the server, with a reply or a
  // status.
  Duration report_age{};
  // True if its last load report names a newer snapshot than its last status.
  bool has_new_snapshot = false;
};

struct StatusScheduleSettings {
  // A serving server gets no status call if its last load report is more recent
  // than this interval, which varies at random by up to a half.
  Duration idle_interval = std::chrono::seconds(10);
  // The mean time between two status calls to a starting server.
  Duration starting_interval = std::chrono::milliseconds(500);
  // The status call after the first report of a new snapshot is made within
  // this time. The delay of each further call doubles, because the report may
  // be wrong.
  Duration snapshot_spread = std::chrono::milliseconds(200);
};

// Chooses the servers that get a status call. The calls are spread over time,
// so that entry VMs do not call a server at the same time. Leaving, draining
// and lost servers get none. Not synchronised.
class StatusSchedule {
 public:
  StatusSchedule(StatusScheduleSettings schedule_settings, std::uint64_t seed)
      : settings(schedule_settings), random(seed) {}

  // Returns the servers that get a status call now. To be called periodically
  // with all servers.
  std::vector<ServerIndex> TakeDue(MonotonicTime now,
                                   std::span<const StatusCandidate> candidates);

 private:
  struct CallTimes {
    // The time of the first call, or of the next call for a new snapshot.
    MonotonicTime next_call_at;
    MonotonicTime last_call_at;
    bool snapshot_call_planned = false;
    // The minimum time from the last call to the next one for the same
    // snapshot.
    Duration snapshot_call_delay{};
    // The factor for the interval until the next call: a random number from 0.5
    // to 1.5, drawn again after each call.
    double interval_factor = 1;
  };

  // Returns a random duration from zero to `span`.
  Duration RandomDelay(Duration span);
  bool IsDue(MonotonicTime now,
             const StatusCandidate& candidate,
             CallTimes& times);

  StatusScheduleSettings settings;
  SeededRandom random;
  std::unordered_map<ServerIndex, CallTimes> call_times_by_server;
};

}  // namespace marigold

#endif  // SRC_POLICY_STATUS_SCHEDULE_H_
