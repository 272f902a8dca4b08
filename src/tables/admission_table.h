#ifndef SRC_TABLES_ADMISSION_TABLE_H_
#define SRC_TABLES_ADMISSION_TABLE_H_

#include <concepts>
#include <functional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/policy/admission.h"

namespace marigold {

// Decides which requests run and which wait; see `Admission`.
template <class T>
concept AdmissionPolicy = requires(T& policy,
                                   const T& state,
                                   MonotonicTime now,
                                   const AdmissionOffer& offer,
                                   TicketId ticket,
                                   Duration run_time) {
  { policy.Offer(now, offer) } -> std::same_as<AdmissionDecision>;
  { policy.Complete(now, ticket, run_time) } -> std::same_as<EndedWaits>;
  { policy.Expire(now) } -> std::same_as<EndedWaits>;
  { state.NextExpiry() } -> std::same_as<MonotonicTime>;
  { state.running() } -> std::same_as<std::uint32_t>;
  { state.waiting() } -> std::same_as<std::uint32_t>;
};

// An admission policy that also learns how busy the backend servers are, and
// that releases requests whose callers are gone.
template <class T>
concept CongestionAwarePolicy = AdmissionPolicy<T> &&
    requires(T& policy,
             const T& state,
             MonotonicTime now,
             TicketId ticket,
             Duration run_time,
             Congestion congestion) {
  {
    policy.Complete(now, ticket, run_time, congestion)
    } -> std::same_as<EndedWaits>;
  { policy.Withdraw(now, ticket) } -> std::same_as<EndedWaits>;
  { state.capacity() } -> std::same_as<std::uint32_t>;
  { state.is_limiting_shares() } -> std::same_as<bool>;
};

// What the admission holds at one moment.
struct AdmissionStatus {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;
  bool is_limiting_shares = false;
};

// A request whose wait has ended. The receiver must call `on_wait_ended` with
// `may_run` while it holds no lock. `may_run` is false if the deadline passed
// before the request could run.
struct EndedWait {
  std::function<void(bool may_run)> on_wait_ended;
  bool may_run = false;
};

// The admission policy and the requests that wait in it, shared by all workers.
// No thread blocks: the table stores the callback of a waiting request, and a
// later call returns it for its caller to run.
template <AdmissionPolicy Policy>
class AdmissionTable {
 public:
  using OnWaitEnded = std::function<void(bool may_run)>;

  explicit AdmissionTable(AdmissionSettings settings) : policy(settings) {}

  // Commands.

  // Keeps `on_wait_ended` only if the decision is `AdmissionQueued`.
  AdmissionDecision Offer(MonotonicTime now,
                          const AdmissionOffer& offer,
                          OnWaitEnded on_wait_ended) {
    const RankedLock lock(this->mutex);
    AdmissionDecision decision = this->policy.Offer(now, offer);
    if (std::holds_alternative<AdmissionQueued>(decision)) {
      this->wait_callbacks[offer.ticket] = std::move(on_wait_ended);
    }
    return decision;
  }

  // Ends a request that ran. Returns the requests whose wait ends because of
  // it.
  std::vector<EndedWait> Complete(MonotonicTime now,
                                  TicketId ticket,
                                  Duration run_time) {
    const RankedLock lock(this->mutex);
    return this->TakeEndedWaits(this->policy.Complete(now, ticket, run_time));
  }

  // The same with the congestion that the request met at backend servers.
  std::vector<EndedWait> Complete(MonotonicTime now,
                                  TicketId ticket,
                                  Duration run_time,
                                  Congestion congestion) requires
      CongestionAwarePolicy<Policy> {
    const RankedLock lock(this->mutex);
    return this->TakeEndedWaits(
        this->policy.Complete(now, ticket, run_time, congestion));
  }

  // Ends a request whose caller is gone. Its callback is not returned any more.
  // Returns the requests whose wait ends because of it.
  std::vector<EndedWait> Withdraw(MonotonicTime now, TicketId ticket) requires
      CongestionAwarePolicy<Policy> {
    const RankedLock lock(this->mutex);
    this->wait_callbacks.erase(ticket);
    return this->TakeEndedWaits(this->policy.Withdraw(now, ticket));
  }

  // Returns the requests whose deadline has passed. Must be called at the time
  // that `NextExpiry` returns.
  std::vector<EndedWait> Expire(MonotonicTime now) {
    const RankedLock lock(this->mutex);
    return this->TakeEndedWaits(this->policy.Expire(now));
  }

  // Queries.

  // When the next waiting request expires; `MonotonicTime::max()` if none
  // waits.
  MonotonicTime NextExpiry() const {
    const RankedLock lock(this->mutex);
    return this->policy.NextExpiry();
  }

  std::uint32_t running() const {
    const RankedLock lock(this->mutex);
    return this->policy.running();
  }

  std::uint32_t waiting() const {
    const RankedLock lock(this->mutex);
    return this->policy.waiting();
  }

  AdmissionStatus Status() const requires CongestionAwarePolicy<Policy> {
    const RankedLock lock(this->mutex);
    return {this->policy.running(), this->policy.waiting(),
            this->policy.capacity(), this->policy.is_limiting_shares()};
  }

 private:
  std::vector<EndedWait> TakeEndedWaits(const EndedWaits& ended_tickets) {
    std::vector<EndedWait> ended_waits;
    for (const TicketId ticket : ended_tickets.ready) {
      this->TakeEndedWait(ticket, true, ended_waits);
    }
    for (const TicketId ticket : ended_tickets.expired) {
      this->TakeEndedWait(ticket, false, ended_waits);
    }
    return ended_waits;
  }

  void TakeEndedWait(TicketId ticket,
                     bool may_run,
                     std::vector<EndedWait>& ended_waits) {
    auto node = this->wait_callbacks.extract(ticket);
    if (!node.empty()) {
      ended_waits.push_back({std::move(node.mapped()), may_run});
    }
  }

  mutable RankedMutex<LockRank::kAdmission> mutex;
  Policy policy;
  std::unordered_map<TicketId, OnWaitEnded> wait_callbacks;
};

}  // namespace marigold

#endif  // SRC_TABLES_ADMISSION_TABLE_H_
