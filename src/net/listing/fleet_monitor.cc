#include "src/net/listing/fleet_monitor.h"

#include <utility>
#include <vector>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/core/random.h"

namespace marigold {

namespace {

// Interval between checks of the schedule of status calls.
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

PoolMode PoolModeOf(ServerState state) {
  switch (state) {
    case ServerState::kLeaving:
      return PoolMode::kRetired;
    case ServerState::kDraining:
      return PoolMode::kWatching;
    case ServerState::kStarting:
    case ServerState::kServing:
    case ServerState::kLost:
      break;
  }
  return PoolMode::kActive;
}

}  // namespace

// One task reads the list and another checks the schedule. Each task sets the
// timer for its own next run, so it never runs twice at the same time.
struct FleetMonitor::Impl : std::enable_shared_from_this<Impl> {
  Impl(WorkerPool& worker_pool,
       BackendClient& backend_client,
       ServerTable& server_table,
       FleetMonitorSettings monitor_settings)
      : pool(worker_pool),
        client(backend_client),
        table(server_table),
        settings(std::move(monitor_settings)),
        schedule(settings.status, SystemSeed()) {}

  void ReadVmList() {
    this->client.FetchPlatformVmList(
        this->settings.platform,
        [weak = this->weak_from_this()](const PlatformVmListResult& result) {
          if (const auto self = weak.lock()) {
            self->OnVmListRead(result);
          }
        });
  }

  void OnVmListRead(const PlatformVmListResult& result) {
    if (result.changed_list) {
      this->table.UpdateRecords(this->clock.Now(),
                                result.changed_list->servers);
      this->LogUnreadableRecords(*result.changed_list);
    }
    if (result.succeeded != this->is_list_available) {
      this->is_list_available = result.succeeded;
      LogEvent(
          result.succeeded ? LogLevel::kInfo : LogLevel::kWarning,
          result.succeeded ? "platform_list_read" : "platform_list_unavailable",
          {{"platform", ToString(this->settings.platform)}});
    }
    this->list_timer = this->pool.After(this->settings.list_interval,
                                        [weak = this->weak_from_this()] {
                                          if (const auto self = weak.lock()) {
                                            self->ReadVmList();
                                          }
                                        });
  }

  // Logs the number of unreadable records when it changes.
  void LogUnreadableRecords(const PlatformVmList& list) {
    if (list.unreadable_records != this->reported_unreadable_records) {
      this->reported_unreadable_records = list.unreadable_records;
      LogEvent(LogLevel::kWarning, "platform_list_records_unreadable",
               {{"records", list.unreadable_records},
                {"readable", list.servers.size()}});
    }
  }

  void CheckStatusSchedule() {
    const MonotonicTime now = this->clock.Now();
    const std::vector<StatusCandidate> candidates =
        this->table.StatusCandidates(now);
    this->UpdatePoolModes(candidates);
    for (const ServerIndex server : this->schedule.TakeDue(now, candidates)) {
      this->client.RefreshStatus(server);
    }
    this->check_timer =
        this->pool.After(kCheckInterval, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->CheckStatusSchedule();
          }
        });
  }

  // Updates the pools of servers that were added, removed or have changed their
  // state. `candidates` and `pool_modes` are both sorted by server.
  void UpdatePoolModes(const std::vector<StatusCandidate>& candidates) {
    auto known_mode = this->pool_modes.begin();
    std::vector<std::pair<ServerIndex, PoolMode>> next_modes;
    next_modes.reserve(candidates.size());
    for (const StatusCandidate& candidate : candidates) {
      const PoolMode mode = PoolModeOf(candidate.state);
      next_modes.emplace_back(candidate.server, mode);
      while (known_mode != this->pool_modes.end() &&
             known_mode->first < candidate.server) {
        this->client.RemovePool(known_mode->first);
        ++known_mode;
      }
      const bool is_known = known_mode != this->pool_modes.end() &&
                            known_mode->first == candidate.server;
      if (!is_known || known_mode->second != mode) {
        this->client.SetPoolMode(candidate.server, mode);
      }
      known_mode += is_known ? 1 : 0;
    }
    for (; known_mode != this->pool_modes.end(); ++known_mode) {
      this->client.RemovePool(known_mode->first);
    }
    this->pool_modes = std::move(next_modes);
  }

  WorkerPool& pool;
  BackendClient& client;
  ServerTable& table;
  FleetMonitorSettings settings;
  SystemClock clock;
  StatusSchedule schedule;
  // The servers that have a pool and the mode of each pool, sorted by server.
  std::vector<std::pair<ServerIndex, PoolMode>> pool_modes;
  bool is_list_available = false;
  std::size_t reported_unreadable_records = 0;
  TimerHandle list_timer;
  TimerHandle check_timer;
};

FleetMonitor::FleetMonitor(WorkerPool& worker_pool,
                           BackendClient& backend_client,
                           ServerTable& server_table,
                           FleetMonitorSettings monitor_settings)
    : impl(std::make_shared<Impl>(worker_pool,
                                  backend_client,
                                  server_table,
                                  std::move(monitor_settings))) {}

FleetMonitor::~FleetMonitor() = default;

void FleetMonitor::Start() {
  this->impl->ReadVmList();
  this->impl->CheckStatusSchedule();
}

}  // namespace marigold
