#ifndef SRC_COMMANDS_ADMISSION_GATE_H_
#define SRC_COMMANDS_ADMISSION_GATE_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/tables/admission_table.h"

namespace marigold {

// Runs a function later; it can't be cancelled.
template <class T>
concept LaterRunner = requires(T& runner,
                               Duration delay,
                               std::function<void()> task) {
  runner.PostAfter(delay, std::move(task));
};

// A request that asks to run.
struct GateRequest {
  CustomerId customer;
  ServiceId service;
  // When the caller gives up.
  MonotonicTime deadline;
};

// Permits one request to run until it is given back.
struct GatePass {
  TicketId ticket;
  MonotonicTime entered;
};

using GateDecision = std::variant<GatePass, Refusal>;

// Lets requests run within their customers' limits and the capacity of this
// process. `FindLimits` gives the limits of a customer, or a refusal.
template <AdmissionPolicy Policy, LaterRunner Runner, Clock ClockType>
class AdmissionGate : public std::enable_shared_from_this<
                          AdmissionGate<Policy, Runner, ClockType>> {
 public:
  using FindLimits =
      std::function<std::variant<AdmissionLimits, Refusal>(const CustomerId&,
                                                           const ServiceId&)>;
  using OnDecided = std::function<void(GateDecision)>;

  AdmissionGate(AdmissionSettings settings,
                FindLimits find_limits,
                Runner& later_runner,
                const ClockType& gate_clock)
      : table(settings),
        limits_of(std::move(find_limits)),
        runner(later_runner),
        clock(gate_clock) {}

  // Calls `on_decided` exactly once, at once or after a wait.
  void Enter(const GateRequest& request, OnDecided on_decided) {
    auto limits = this->limits_of(request.customer, request.service);
    if (auto* refusal = std::get_if<Refusal>(&limits)) {
      on_decided(std::move(*refusal));
      return;
    }
    const TicketId ticket(++this->last_ticket);
    const AdmissionOffer offer{ticket, request.customer, request.service,
                               std::get<AdmissionLimits>(limits),
                               request.deadline};
    AdmissionDecision decision = this->table.Offer(
        this->clock.Now(), offer,
        [self = this->shared_from_this(), ticket, on_decided](bool may_run) {
          on_decided(may_run ? GateDecision(self->PassFor(ticket))
                             : GateDecision(Expired()));
        });
    if (std::holds_alternative<AdmissionGranted>(decision)) {
      on_decided(this->PassFor(ticket));
    } else if (auto* refusal = std::get_if<Refusal>(&decision)) {
      on_decided(std::move(*refusal));
    } else {
      this->SetTimer();
    }
  }

  // Gives a pass back; requests that waited for it begin.
  void Leave(const GatePass& pass) {
    const MonotonicTime now = this->clock.Now();
    Call(this->table.Complete(now, pass.ticket, now - pass.entered));
  }

  std::uint32_t running() const { return this->table.running(); }
  std::uint32_t waiting() const { return this->table.waiting(); }

 private:
  // Timers are not set closer than this, so that a full queue does not cause
  // one timer for each request.
  static constexpr Duration kTimerGrain = std::chrono::milliseconds(2);

  GatePass PassFor(TicketId ticket) const {
    return {ticket, this->clock.Now()};
  }

  static Refusal Expired() {
    return {Execution::kDidNotRun,
            Reason::kOverloaded,
            "the deadline passed in the queue",
            {}};
  }

  static void Call(const std::vector<AdmissionTurn>& turns) {
    for (const AdmissionTurn& turn : turns) {
      turn.on_turn(turn.may_run);
    }
  }

  // Sets the timer, unless one fires early enough.
  void SetTimer() {
    const MonotonicTime next = this->table.NextExpiry();
    MonotonicTime::rep at = next.time_since_epoch().count();
    MonotonicTime::rep set = this->timer_at;
    do {
      if (set <= at) {
        return;
      }
    } while (!this->timer_at.compare_exchange_weak(set, at));
    const Duration delay = next - this->clock.Now();
    this->runner.PostAfter(std::max(delay, kTimerGrain),
                           [weak = this->weak_from_this(), at] {
                             if (const auto self = weak.lock()) {
                               self->OnTimer(at);
                             }
                           });
  }

  void OnTimer(MonotonicTime::rep at) {
    this->timer_at.compare_exchange_strong(at, kNoTimer);
    Call(this->table.Expire(this->clock.Now()));
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
  std::atomic<MonotonicTime::rep> timer_at = kNoTimer;
};

}  // namespace marigold

#endif  // SRC_COMMANDS_ADMISSION_GATE_H_
