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
  // Maximum number of requests that may wait for a slot.
  std::uint32_t max_queued = 0;
  // Rate of the sub-requests of all other entry VMs.
  RatePerSecond background;
  // Maximum age of the load in a report.
  Duration report_interval = std::chrono::milliseconds(50);
};

// How a server misreports its load.
enum class LoadMisreport { kNone, kAlwaysIdle, kAlwaysBusy };

// Simulates a backend server with slots, a first-in, first-out queue,
// background load and delayed load reports. The background load is only
// advanced when the server is called.
class FakeServer {
 public:
  FakeServer(FakeServerSettings server_settings,
             const ServiceTimes& service_times,
             std::uint64_t seed);

  // Commands.

  // The time at which the reply is ready, or the failure. Empty if the server
  // is unresponsive and never replies.
  using Acceptance =
      std::variant<std::monostate, MonotonicTime, AttemptFailure>;
  Acceptance Accept(MonotonicTime now,
                    AttemptId attempt,
                    SnapshotId snapshot,
                    ShardId shard);

  // Frees the slot or the queue position of an attempt.
  void Cancel(MonotonicTime now, AttemptId attempt);

  // Returns the load report or the status that the server sends.
  LoadReport Report(MonotonicTime now);
  StatusReport Status(MonotonicTime now);

  void SetBackground(MonotonicTime now, RatePerSecond rate);
  void SetState(ServerState new_state) { this->state = new_state; }
  // An unresponsive server neither replies nor refuses. Its current jobs are
  // lost.
  void SetUnresponsive(MonotonicTime now, bool is_unresponsive);
  void SetSlowdown(double factor) { this->slowdown = factor; }
  // Multiplies service times by `factor` at first. The slowdown decreases
  // linearly until `duration` has passed.
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

  // Starts or stops measuring the busy slots.
  void MeasureBusy(MonotonicTime now, bool measure);

  // Queries.

  // Sum of the sampled shares of busy slots, and the number of samples.
  double busy_sum() const { return this->busy; }
  std::uint64_t busy_samples() const { return this->busy_sample_count; }

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
    // Time at which the slot was due to be free before this job.
    MonotonicTime previous_free_at;
    MonotonicTime starts_at;
    MonotonicTime ends_at;
  };

  // Advances the background load and the load reports to `now`.
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
  // Running and waiting jobs, and ended ones that are not removed yet.
  std::vector<Job> jobs;
  MonotonicTime next_background = MonotonicTime::max();
  std::uint32_t reported_load = 0;
  MonotonicTime next_report;
  bool is_measuring_busy = false;
  double busy = 0;
  std::uint64_t busy_sample_count = 0;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_FAKE_SERVER_H_
