#include "src/net/control/quota_relay.h"

#include <atomic>
#include <utility>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"

namespace marigold {

namespace {

// Reports that arrive within this interval are relayed in one message.
constexpr Duration kCollectInterval = std::chrono::milliseconds(50);

constexpr Duration kRoundInterval = std::chrono::milliseconds(50);

// How often a control VM that does not coordinate checks whether it must.
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

// Bounds the memory of the reports that wait for the next message.
constexpr std::size_t kMaxPendingReports = 4'096;

}  // namespace

struct QuotaRelay::Impl : std::enable_shared_from_this<QuotaRelay::Impl> {
  Impl(WorkerPool& worker_pool, QuotaCoordinationTable& coordination)
      : pool(worker_pool), quotas(coordination) {}

  // Ends by itself when no customer has a quota any more.
  void RunRounds() {
    const MonotonicTime now = this->clock.Now();
    if (const auto state = this->quotas.Round(now)) {
      this->senders.to_control_vms(*state);
      this->senders.to_entry_vms(*state);
    }
    if (!this->quotas.HasQuotas()) {
      this->has_rounds = false;
      // The quotas may have come between the check and the assignment.
      this->StartRounds();
      return;
    }
    this->pool.PostAfter(
        this->quotas.IsCoordinating() ? kRoundInterval : kCheckInterval,
        [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->RunRounds();
          }
        });
  }

  void StartRounds() {
    if (this->is_started && this->quotas.HasQuotas() &&
        !this->has_rounds.exchange(true)) {
      this->pool.Post([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->RunRounds();
        }
      });
    }
  }

  void Flush() {
    QuotaUsageReports collected;
    {
      const RankedLock lock(this->mutex);
      collected.reports.swap(this->pending_reports);
    }
    if (this->quotas.IsCoordinating()) {
      this->quotas.OnReports(this->clock.Now(), collected.reports);
    } else if (this->is_started) {
      this->senders.to_leader(collected);
    }
  }

  WorkerPool& pool;
  QuotaCoordinationTable& quotas;
  SystemClock clock;
  // Set before `is_started`.
  QuotaSenders senders;
  std::atomic<bool> is_started = false;
  std::atomic<bool> has_rounds = false;
  RankedMutex<LockRank::kSubscribers> mutex;
  std::vector<QuotaUsageReport> pending_reports;
};

QuotaRelay::QuotaRelay(WorkerPool& pool, QuotaCoordinationTable& quotas)
    : impl(std::make_shared<Impl>(pool, quotas)) {}

QuotaRelay::~QuotaRelay() = default;

void QuotaRelay::Start(QuotaSenders senders) {
  this->impl->senders = std::move(senders);
  this->impl->is_started = true;
  this->impl->StartRounds();
}

void QuotaRelay::OnListsChanged() {
  this->impl->StartRounds();
}

void QuotaRelay::OnReport(QuotaUsageReport report) {
  bool must_schedule_flush = false;
  {
    const RankedLock lock(this->impl->mutex);
    auto& pending = this->impl->pending_reports;
    if (pending.size() >= kMaxPendingReports) {
      return;
    }
    must_schedule_flush = pending.empty();
    pending.push_back(std::move(report));
  }
  if (must_schedule_flush) {
    this->impl->pool.PostAfter(kCollectInterval,
                               [weak = std::weak_ptr(this->impl)] {
                                 if (const auto self = weak.lock()) {
                                   self->Flush();
                                 }
                               });
  }
}

void QuotaRelay::OnReports(const QuotaUsageReports& reports) {
  this->impl->quotas.OnReports(this->impl->clock.Now(), reports.reports);
}

void QuotaRelay::OnState(const QuotaState& state) {
  if (this->impl->is_started &&
      this->impl->quotas.OnState(this->impl->clock.Now(), state)) {
    this->impl->senders.to_entry_vms(state);
  }
}

std::optional<QuotaState> QuotaRelay::NewestState() const {
  return this->impl->quotas.NewestState(this->impl->clock.Now());
}

}  // namespace marigold
