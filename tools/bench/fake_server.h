#ifndef TOOLS_BENCH_FAKE_SERVER_H_
#define TOOLS_BENCH_FAKE_SERVER_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/backend_messages.h"
#include "src/policy/server_view.h"
#include "tools/bench/service_times.h"

namespace marigold {

struct FakeServerSettings {
  std::uint32_t slots = 1;
  // Requests beyond the slots that may wait.
  std::uint32_t max_queued = 0;
  // Sub-requests of all other entry VMs.
  RatePerSecond background;
  // Load reports are this old at most.
  Duration report_interval = std::chrono::milliseconds(50);
};

// How a server misreports its load.
enum class LoadMisreport { kNone, kAlwaysIdle, kAlwaysBusy };

// A backend server as the benchmark needs it: slots, a queue in order of
// arrival, background load and load reports that lag. The background is brought
// up to date only when the simulated entry VM asks for something.
class FakeServer {
 public:
  FakeServer(FakeServerSettings server_settings,
             const ServiceTimes& service_times,
             std::uint64_t seed);

  // Commands.

  // When the reply is ready, or why there is none. Nothing if the server is
  // gone and never replies.
  using Acceptance =
      std::variant<std::monostate, MonotonicTime, AttemptFailure>;
  Acceptance Accept(MonotonicTime now,
                    AttemptId attempt,
                    SnapshotId snapshot,
                    ShardId shard);

  // Frees the slot or the place in the queue of an attempt.
  void Cancel(MonotonicTime now, AttemptId attempt);

  // What the server says of itself.
  LoadReport Report(MonotonicTime now);
  StatusReport Status(MonotonicTime now);

  void SetBackground(MonotonicTime now, RatePerSecond rate);
  void SetState(ServerState new_state) { this->state = new_state; }
  // A gone server neither replies nor refuses, and its jobs are lost.
  void SetUnresponsive(MonotonicTime now, bool is_unresponsive);
  void SetSlowdown(double factor) { this->slowdown = factor; }
  // Slow at first and then less and less until `duration` has passed.
  void StartCold(MonotonicTime now, double factor, Duration duration);
  void SetMaxQueued(std::uint32_t new_max_queued) {
    this->settings.max_queued = new_max_queued;
  }
  void SetLoadMisreport(LoadMisreport misreport) {
    this->load_misreport = misreport;
  }
  void SetSnapshots(std::vector<ManifestReport> reports) {
    this->snapshots = std::move(reports);
  }

  // Begins or ends to measure the busy slots.
  void MeasureBusy(MonotonicTime now, bool measure);

  // Queries.

  // The share of busy slots while they were measured: sum and number of
  // samples.
  double busy_sum() const { return this->busy; }
  std::uint64_t busy_samples() const { return this->samples; }

  bool is_unresponsive() const { return this->unresponsive; }
  RatePerSecond background() const { return this->settings.background; }
  const std::vector<ManifestReport>& manifests() const {
    return this->snapshots;
  }

 private:
  struct Slot {
    MonotonicTime free_at;
    std::uint32_t number = 0;
  };

  struct Job {
    AttemptId attempt;
    std::uint32_t slot = 0;
    // When the slot was free before this job.
    MonotonicTime previous_free_at;
    MonotonicTime starts_at;
    MonotonicTime ends_at;
  };

  // Runs the background up to `now`.
  void AdvanceTo(MonotonicTime now);
  void ScheduleBackground(MonotonicTime now);
  bool IsFull(MonotonicTime now);
  void FreeFrontSlotAt(MonotonicTime time);
  std::uint32_t LoadAt(MonotonicTime now);
  MonotonicTime Enqueue(MonotonicTime now, AttemptId attempt);
  double SlowdownAt(MonotonicTime now) const;
  std::optional<AttemptFailure> FindMissingData(SnapshotId snapshot,
                                                ShardId shard) const;

  FakeServerSettings settings;
  const ServiceTimes& times;
  SeededRandom random;
  ServerState state = ServerState::kServing;
  bool unresponsive = false;
  LoadMisreport load_misreport = LoadMisreport::kNone;
  double slowdown = 1;
  double cold_slowdown = 1;
  MonotonicTime warm_at;
  Duration warm_up{};
  std::vector<ManifestReport> snapshots;
  // A heap with the slot that is free first at the front.
  std::vector<Slot> slots;
  // Jobs that may not have ended.
  std::vector<Job> jobs;
  MonotonicTime next_background = MonotonicTime::max();
  std::uint32_t reported_load = 0;
  MonotonicTime next_report;
  bool measures_busy = false;
  double busy = 0;
  std::uint64_t samples = 0;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_FAKE_SERVER_H_
