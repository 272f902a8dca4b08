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

// The end of a request's wait, to be called without any lock: the request may
// run, or could not begin within its deadline.
struct AdmissionTurn {
  std::function<void(bool may_run)> on_turn;
  bool may_run = false;
};

// The admission policy and the requests that wait in it, shared by all workers.
// No thread waits: each request leaves a function that a later call hands out.
template <AdmissionPolicy Policy>
class AdmissionTable {
 public:
  using OnTurn = std::function<void(bool may_run)>;

  explicit AdmissionTable(AdmissionSettings settings) : policy(settings) {}

  // Commands.

  // Keeps `on_turn` only if the decision is `AdmissionQueued`.
  AdmissionDecision Offer(MonotonicTime now,
                          const AdmissionOffer& offer,
                          OnTurn on_turn) {
    const RankedLock lock(this->mutex);
    AdmissionDecision decision = this->policy.Offer(now, offer);
    if (std::holds_alternative<AdmissionQueued>(decision)) {
      this->waiting_turns[offer.ticket] = std::move(on_turn);
    }
    return decision;
  }

  // Ends a request that ran. The turns of other requests come with it.
  std::vector<AdmissionTurn> Complete(MonotonicTime now,
                                      TicketId ticket,
                                      Duration run_time) {
    const RankedLock lock(this->mutex);
    return this->Take(this->policy.Complete(now, ticket, run_time));
  }

  // To be called at `NextExpiry`.
  std::vector<AdmissionTurn> Expire(MonotonicTime now) {
    const RankedLock lock(this->mutex);
    return this->Take(this->policy.Expire(now));
  }

  // Queries.

  // `MonotonicTime::max()` if nothing waits.
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

 private:
  std::vector<AdmissionTurn> Take(const EndedWaits& progress) {
    std::vector<AdmissionTurn> turns;
    for (const TicketId ticket : progress.ready) {
      this->TakeTurn(ticket, true, turns);
    }
    for (const TicketId ticket : progress.expired) {
      this->TakeTurn(ticket, false, turns);
    }
    return turns;
  }

  void TakeTurn(TicketId ticket,
                bool may_run,
                std::vector<AdmissionTurn>& turns) {
    auto node = this->waiting_turns.extract(ticket);
    if (!node.empty()) {
      turns.push_back({std::move(node.mapped()), may_run});
    }
  }

  mutable RankedMutex<LockRank::kAdmission> mutex;
  Policy policy;
  std::unordered_map<TicketId, OnTurn> waiting_turns;
};

}  // namespace marigold

#endif  // SRC_TABLES_ADMISSION_TABLE_H_
