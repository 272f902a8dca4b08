#ifndef SRC_COMMANDS_ADMISSION_GATE_H_
#define SRC_COMMANDS_ADMISSION_GATE_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/tables/admission_table.h"

namespace marigold {

// Runs a task after a delay. A posted task can't be cancelled.
template <class T>
concept DelayedTaskRunner = requires(T& runner,
                                     Duration delay,
                                     std::function<void()> task) {
  runner.PostAfter(delay, std::move(task));
};

// A request that asks to be admitted.
struct GateRequest {
  CustomerId customer;
  ServiceId service;
  // When the caller stops waiting for the answer.
  MonotonicTime deadline;
  RequestPriority priority{};
};

// Allows one request to run. Counts against the capacity until it is passed to
// `AdmissionGate::Leave`.
struct AdmissionPermit {
  TicketId ticket;
  MonotonicTime admitted_at;
};

using GateDecision = std::variant<AdmissionPermit, Refusal>;

// A request that waits. The ticket allows to withdraw it.
struct AdmissionWait {
  TicketId ticket;
};

// Admits requests within the limits of their customers and the capacity of this
// process. The policy decides which requests run, wait or are refused.
// `FindLimits` returns the limits of a customer, or a refusal.
template <AdmissionPolicy Policy, DelayedTaskRunner Runner, Clock ClockType>
class AdmissionGate : public std::enable_shared_from_this<
                          AdmissionGate<Policy, Runner, ClockType>> {
 public:
  using FindLimits =
      std::function<std::variant<AdmissionLimits, Refusal>(const CustomerId&,
                                                           const ServiceId&)>;
  using OnDecided = std::function<void(GateDecision)>;

  AdmissionGate(AdmissionSettings settings,
                FindLimits find_limits,
                Runner& task_runner,
                const ClockType& gate_clock)
      : table(settings),
        limits_of(std::move(find_limits)),
        runner(task_runner),
        clock(gate_clock) {}

  // A gate that only divides the capacity, for `EnterUnlimited`.
  AdmissionGate(AdmissionSettings settings,
                Runner& task_runner,
                const ClockType& gate_clock)
      : AdmissionGate(settings, FindLimits(), task_runner, gate_clock) {}

  // Asks for a permit. Calls `on_decided` exactly once, either before this call
  // returns or when the wait of the request ends.
  void Enter(const GateRequest& request, OnDecided on_decided) {
    auto limits = this->limits_of(request.customer, request.service);
    if (auto* refusal = std::get_if<Refusal>(&limits)) {
      on_decided(std::move(*refusal));
      return;
    }
    const auto decision =
        this->Ask(request, std::get<AdmissionLimits>(limits), on_decided);
    if (const auto* permit = std::get_if<AdmissionPermit>(&decision)) {
      on_decided(*permit);
    } else if (const auto* refusal = std::get_if<Refusal>(&decision)) {
      on_decided(*refusal);
    }
  }

  // Asks for a permit for a request whose customer has no limits of rate and
  // concurrency. Calls `on_wait_ended` only if the request waits, exactly once
  // and on any thread, unless `Withdraw` is called first.
  std::variant<AdmissionPermit, Refusal, AdmissionWait> EnterUnlimited(
      const GateRequest& request,
      OnDecided on_wait_ended) {
    return this->Ask(request, std::nullopt, std::move(on_wait_ended));
  }

  // Ends a request that waits, or that has just got its permit. The decision on
  // it may already be on its way to another thread.
  void Withdraw(TicketId ticket) {
    CallWaiters(this->table.Withdraw(this->clock.Now(), ticket));
  }

  // Releases the permit of a request that has ended. Calls `on_decided` of the
  // requests whose wait ends because of it.
  void Leave(const AdmissionPermit& permit) {
    const MonotonicTime now = this->clock.Now();
    CallWaiters(
        this->table.Complete(now, permit.ticket, now - permit.admitted_at));
  }

  // The same with the congestion that the request met at backend servers.
  void Leave(const AdmissionPermit& permit, Congestion congestion) {
    const MonotonicTime now = this->clock.Now();
    CallWaiters(this->table.Complete(now, permit.ticket,
                                     now - permit.admitted_at, congestion));
  }

  AdmissionStatus Status() const { return this->table.Status(); }
  std::uint32_t running() const { return this->table.running(); }
  std::uint32_t waiting() const { return this->table.waiting(); }

 private:
  // Shortest delay of the expiry timer, so that a full queue does not set one
  // timer for each request.
  static constexpr Duration kMinTimerDelay = std::chrono::milliseconds(2);

  std::variant<AdmissionPermit, Refusal, AdmissionWait> Ask(
      const GateRequest& request,
      const std::optional<AdmissionLimits>& limits,
      OnDecided on_wait_ended) {
    const TicketId ticket(++this->last_ticket);
    const AdmissionOffer offer{ticket, request.customer, request.service,
                               limits, request.deadline, request.priority};
    AdmissionDecision decision = this->table.Offer(
        this->clock.Now(), offer,
        [self = this->shared_from_this(), ticket,
         on_decided = std::move(on_wait_ended)](bool may_run) {
          on_decided(may_run ? GateDecision(self->PermitFor(ticket))
                             : GateDecision(ExpiredRefusal()));
        });
    if (auto* refusal = std::get_if<Refusal>(&decision)) {
      return std::move(*refusal);
    }
    if (std::holds_alternative<AdmissionGranted>(decision)) {
      return this->PermitFor(ticket);
    }
    this->SetTimer();
    return AdmissionWait{ticket};
  }

  AdmissionPermit PermitFor(TicketId ticket) const {
    return {ticket, this->clock.Now()};
  }

  static Refusal ExpiredRefusal() {
    return {Execution::kDidNotRun,
            Reason::kOverloaded,
            "the deadline passed in the queue",
            {}};
  }

  static void CallWaiters(const std::vector<EndedWait>& ended_waits) {
    for (const EndedWait& wait : ended_waits) {
      wait.on_wait_ended(wait.may_run);
    }
  }

  // Sets a timer for the next expiry, unless one is set for that time or an
  // earlier one.
  void SetTimer() {
    const MonotonicTime next = this->table.NextExpiry();
    MonotonicTime::rep due = next.time_since_epoch().count();
    MonotonicTime::rep scheduled = this->timer_due;
    do {
      if (scheduled <= due) {
        return;
      }
    } while (!this->timer_due.compare_exchange_weak(scheduled, due));
    const Duration delay = next - this->clock.Now();
    this->runner.PostAfter(std::max(delay, kMinTimerDelay),
                           [weak = this->weak_from_this(), due] {
                             if (const auto self = weak.lock()) {
                               self->OnTimer(due);
                             }
                           });
  }

  void OnTimer(MonotonicTime::rep due) {
    this->timer_due.compare_exchange_strong(due, kNoTimer);
    CallWaiters(this->table.Expire(this->clock.Now()));
    if (this->table.waiting() > 0) {
      this->SetTimer();
    }
  }

  static constexpr MonotonicTime::rep kNoTimer =
      MonotonicTime::max().time_since_epoch().count();

  AdmissionTable<Policy> table;
  FindLimits limits_of;
  Runner& runner;
  const ClockType& clock;
  std::atomic<std::uint64_t> last_ticket = 0;
  // When the timer fires; `kNoTimer` if none is set.
  std::atomic<MonotonicTime::rep> timer_due = kNoTimer;
};

}  // namespace marigold

#endif  // SRC_COMMANDS_ADMISSION_GATE_H_
