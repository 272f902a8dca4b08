#ifndef TOOLS_LOAD_LOAD_RUNNER_H_
#define TOOLS_LOAD_LOAD_RUNNER_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "src/core/clock.h"
#include "src/net/worker_pool.h"
#include "tools/load/arrivals.h"
#include "tools/load/balancer.h"
#include "tools/load/load_kinds.h"

namespace marigold {

// The rate and the times of a run.
struct LoadPace {
  RatePerSecond rate{100};
  // The time during which requests are sent, including the warm-up.
  Duration duration = std::chrono::seconds(10);
  // Outcomes of requests from this first part of the run are checked but not
  // measured.
  Duration warmup{};
  // A request that takes longer than this counts as timed out.
  Duration timeout = std::chrono::seconds(3);
  // The time from an outcome to the resend that it causes.
  Duration resend_delay = std::chrono::milliseconds(20);
  std::uint64_t seed = 1;
};

// Sends the requests of one kind as an open-loop load: at seeded random times,
// whether or not earlier requests have ended.
template <LoadKind Kind>
class LoadRunner : public std::enable_shared_from_this<LoadRunner<Kind>> {
 public:
  LoadRunner(WorkerPool& worker_pool,
             const BalancerSettings& balancer_settings,
             const LoadPace& load_pace,
             std::shared_ptr<Kind> load_kind)
      : pool(worker_pool),
        pace(load_pace),
        kind(std::move(load_kind)),
        balancer(worker_pool, balancer_settings),
        arrivals(load_pace.rate, load_pace.seed) {}

  void Start() {
    this->balancer.Start();
    this->started = this->clock.Now();
    this->next_arrival = this->arrivals.Next();
    this->ScheduleNextArrival();
  }

  // Blocks until all requests have ended. Returns false if some have not ended
  // `kEndGracePeriod` after the timeout of the last arrival.
  bool Wait() {
    return this->all_ended.get_future().wait_for(
               this->pace.duration + this->pace.timeout + kEndGracePeriod) ==
           std::future_status::ready;
  }

  std::uint64_t request_count() const { return this->sent_count; }

 private:
  using Request = typename Kind::Request;

  // The maximum time from the timeout of the last arrival to the last outcome.
  static constexpr Duration kEndGracePeriod = std::chrono::seconds(30);

  void ScheduleNextArrival() {
    const Duration delay =
        this->started + this->next_arrival - this->clock.Now();
    this->pool.PostAfter(
        std::max(delay, Duration::zero()),
        [self = this->shared_from_this()] { self->SendDueRequests(); });
  }

  // Runs on one thread at a time, because each call sets the timer for the next
  // call.
  void SendDueRequests() {
    while (this->next_arrival < this->pace.duration &&
           this->started + this->next_arrival <= this->clock.Now()) {
      ++this->sent_count;
      this->Send(this->kind->Next(), this->next_arrival);
      this->next_arrival = this->arrivals.Next();
    }
    if (this->next_arrival < this->pace.duration) {
      this->ScheduleNextArrival();
      return;
    }
    this->all_arrivals_sent = true;
    this->SignalIfAllEnded();
  }

  void Send(const Request& request, Duration intended_time) {
    const MonotonicTime sent_at = this->clock.Now();
    this->balancer.Send(
        {std::string(Kind::kPath), this->kind->Encode(request),
         this->pace.timeout,
         [self = this->shared_from_this(), request, intended_time,
          sent_at](const ExchangeOutcome& outcome) {
           self->OnOutcome(request, intended_time, sent_at, outcome);
         }});
  }

  void OnOutcome(const Request& request,
                 Duration intended_time,
                 MonotonicTime sent_at,
                 const ExchangeOutcome& outcome) {
    const MonotonicTime now = this->clock.Now();
    const RequestTiming timing{now - (this->started + intended_time),
                               now - sent_at,
                               intended_time < this->pace.warmup};
    for (const Request& resend :
         this->kind->OnOutcome(request, outcome, timing)) {
      ++this->sent_count;
      this->pool.PostAfter(
          this->pace.resend_delay, [self = this->shared_from_this(), resend] {
            self->Send(resend, self->clock.Now() - self->started);
          });
    }
    ++this->ended_count;
    this->SignalIfAllEnded();
  }

  void SignalIfAllEnded() {
    if (this->all_arrivals_sent && this->ended_count == this->sent_count &&
        !this->end_signalled.exchange(true)) {
      this->all_ended.set_value();
    }
  }

  WorkerPool& pool;
  const LoadPace pace;
  SystemClock clock;
  const std::shared_ptr<Kind> kind;
  Balancer balancer;
  // Used only by `SendDueRequests`.
  PoissonArrivals arrivals;
  MonotonicTime started;
  Duration next_arrival{};
  std::atomic<std::uint64_t> sent_count = 0;
  std::atomic<std::uint64_t> ended_count = 0;
  std::atomic<bool> all_arrivals_sent = false;
  std::atomic<bool> end_signalled = false;
  std::promise<void> all_ended;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_RUNNER_H_
