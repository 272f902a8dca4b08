#include "tools/standin/churn.h"

#include <set>
#include <utility>
#include <variant>

#include "src/core/log.h"
#include "src/core/random.h"
#include "tools/standin/admin_commands.h"

namespace marigold {

struct Churn::Impl : std::enable_shared_from_this<Churn::Impl> {
  Impl(WorkerPool& worker_pool,
       StandinSystem& standin_system,
       ChurnSettings churn_settings)
      : pool(worker_pool),
        system(standin_system),
        settings(churn_settings),
        random(churn_settings.seed) {}

  template <class Task>
  void After(Duration delay, Task task) {
    this->pool.PostAfter(delay, [weak = this->weak_from_this(), task] {
      if (const auto self = weak.lock()) {
        task(*self);
      }
    });
  }

  void ScheduleSnapshot() {
    if (this->settings.snapshot_interval > Duration::zero()) {
      this->After(this->settings.snapshot_interval, [](Impl& self) {
        self.Run(AdminChange::kAdvanceSnapshot, "");
        self.ScheduleSnapshot();
      });
    }
  }

  void ScheduleKill() {
    if (this->settings.kill_interval > Duration::zero()) {
      this->After(this->settings.kill_interval, [](Impl& self) {
        self.KillRandomSearcher();
        self.ScheduleKill();
      });
    }
  }

  // Stops a random searcher and starts it again after `down_time`. Does nothing
  // if the searcher is down or is the last live replica of its shards.
  void KillRandomSearcher() {
    const auto& searchers = this->system.searchers;
    const std::size_t chosen = this->random.NextBelow(searchers.size());
    const SearcherView candidate = searchers[chosen]->View();
    if (!candidate.is_up || !this->HasOtherLiveReplica(candidate)) {
      return;
    }
    const std::string server = candidate.place.record.server.value();
    this->Run(AdminChange::kKill, server);
    this->After(this->settings.down_time, [server](Impl& self) {
      self.Run(AdminChange::kReturn, server);
    });
  }

  bool HasOtherLiveReplica(const SearcherView& candidate) const {
    for (const auto& searcher : this->system.searchers) {
      const SearcherView other = searcher->View();
      if (other.is_up &&
          other.place.record.server != candidate.place.record.server &&
          other.place.record.service == candidate.place.record.service &&
          other.place.instance == candidate.place.instance) {
        return true;
      }
    }
    return false;
  }

  void Run(AdminChange change, const std::string& server) {
    AdminCommand command;
    command.change = change;
    command.server = server;
    const auto changed = Capture<std::size_t>(
        [&] { return RunAdminCommand(command, this->system); });
    LogEvent(LogLevel::kInfo, "churn",
             {{"change", ToString(command.change)},
              {"server", command.server},
              {"done", std::holds_alternative<std::size_t>(changed)}});
  }

  WorkerPool& pool;
  StandinSystem& system;
  ChurnSettings settings;
  // Used only by `KillRandomSearcher`, of which one call runs at a time.
  SeededRandom random;
};

Churn::Churn(WorkerPool& worker_pool,
             StandinSystem& standin_system,
             ChurnSettings churn_settings)
    : impl(
          std::make_shared<Impl>(worker_pool, standin_system, churn_settings)) {
}

Churn::~Churn() = default;

void Churn::Start() {
  this->impl->ScheduleSnapshot();
  this->impl->ScheduleKill();
}

}  // namespace marigold
