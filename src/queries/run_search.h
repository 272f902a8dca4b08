#ifndef SRC_QUERIES_RUN_SEARCH_H_
#define SRC_QUERIES_RUN_SEARCH_H_

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/step_runner.h"
#include "src/policy/backend_messages.h"
#include "src/policy/search.h"
#include "src/tables/server_table.h"

namespace marigold {

// Sends attempts to backend servers and runs timers.
template <class T>
concept SearchTransport =
    requires(T& transport,
             const SendAttempt& attempt,
             const std::string& query,
             std::function<void(AttemptOutcome)> on_outcome,
             const CancelAttempt& cancel,
             Duration delay,
             std::function<void()> task) {
  // Reports the outcome exactly once, unless the attempt is cancelled
  // first. It may do so before `Send` returns.
  transport.Send(attempt, query, std::move(on_outcome));
  // Returns true if the attempt had no outcome yet. In that case no outcome is
  // reported.
  { transport.Cancel(cancel) } -> std::same_as<bool>;
  // The returned handle cancels the timer when it is destroyed.
  { transport.After(delay, std::move(task)) } -> std::movable;
};

// Runs one search from its start to its outcome. Events may arrive on any
// worker. Steps are executed one at a time and in order, outside the lock.
template <SearchTransport Transport, Clock ClockType>
class RunningSearch
    : public std::enable_shared_from_this<RunningSearch<Transport, ClockType>> {
 public:
  using OnDone = std::function<void(SearchOutcome)>;

  RunningSearch(SearchRequest request,
                ServerTable& server_table,
                Transport& search_transport,
                const ClockType& search_clock,
                const DefaultPolicy& search_policy,
                std::uint64_t seed,
                OnDone done_callback)
      : table(server_table),
        transport(search_transport),
        clock(search_clock),
        random(seed),
        query(request.query),
        search(std::move(request), table, search_policy, random, table),
        on_done(std::move(done_callback)) {}

  ~RunningSearch() { this->table.RemoveWaiter(this->search.waiter()); }

  RunningSearch(const RunningSearch&) = delete;
  RunningSearch& operator=(const RunningSearch&) = delete;

  void Start() {
    // While all shards wait for capacity, only the timer and the waiter refer
    // to this object, through weak pointers.
    this->self_while_running = this->shared_from_this();
    this->table.AddWaiter(this->search.waiter(),
                          [weak = this->weak_from_this()] {
                            if (auto self = weak.lock()) {
                              self->OnTimer();
                            }
                          });
    this->ProcessEvent(
        [](SearchType& state, MonotonicTime now) { return state.Start(now); });
  }

 private:
  using SearchType =
      Search<ServerTable, DefaultPolicy, SeededRandom, ServerTable>;
  using Timer =
      decltype(std::declval<Transport&>().After(Duration(),
                                                std::function<void()>()));

  template <class Event>
  void ProcessEvent(Event event) {
    this->steps.ProcessEvent(
        [&] { return event(this->search, this->clock.Now()); },
        [this](SearchStep& step) {
          std::visit([this](auto& typed) { this->Execute(typed); }, step);
        });
    // The event may have freed capacity for which other searches wait.
    this->table.CallReadyWaiters();
  }

  void OnTimer() {
    this->ProcessEvent([](SearchType& state, MonotonicTime now) {
      return state.OnTimer(now);
    });
  }

  void Execute(const SendAttempt& attempt) {
    if (!this->table.TryDispatch(this->clock.Now(), attempt.server)) {
      this->OnOutcome(attempt, Duration::zero(), false,
                      AttemptFailure::kNotSent);
      return;
    }
    const MonotonicTime sent_at = this->clock.Now();
    this->transport.Send(attempt, this->query,
                         [self = this->shared_from_this(), attempt,
                          sent_at](AttemptOutcome outcome) {
                           self->OnOutcome(attempt, self->clock.Now() - sent_at,
                                           true, std::move(outcome));
                         });
  }

  void Execute(const CancelAttempt& attempt) {
    if (this->transport.Cancel(attempt)) {
      this->table.OnCancel(this->clock.Now(), attempt.server);
    }
  }

  void Execute(const SetTimer& request) {
    const Duration delay = request.at - this->clock.Now();
    this->timer = this->transport.After(std::max(delay, Duration::zero()),
                                        [weak = this->weak_from_this()] {
                                          if (auto self = weak.lock()) {
                                            self->OnTimer();
                                          }
                                        });
  }

  void Execute(FinishSearch& finish) {
    this->timer = Timer();
    this->on_done(std::move(finish.outcome));
    this->self_while_running = nullptr;
  }

  void OnOutcome(const SendAttempt& attempt,
                 Duration latency,
                 bool was_dispatched,
                 AttemptOutcome outcome) {
    const MonotonicTime now = this->clock.Now();
    if (auto* response = std::get_if<SubResponse>(&outcome)) {
      this->table.OnReply(now, attempt.server, latency, response->load);
      this->ProcessEvent([&](SearchType& state, MonotonicTime at) {
        return state.OnReply(at, std::move(response->reply));
      });
      return;
    }
    const AttemptFailure failure = std::get<AttemptFailure>(outcome);
    if (was_dispatched) {
      this->table.OnFailure(now, attempt.server, failure);
    }
    this->ProcessEvent([&](SearchType& state, MonotonicTime at) {
      return state.OnFailure(at, attempt.attempt, failure);
    });
  }

  ServerTable& table;
  Transport& transport;
  const ClockType& clock;
  StepRunner<SearchStep, LockRank::kSearch> steps;
  SeededRandom random;
  std::string query;
  SearchType search;
  // Used only by the worker that executes steps.
  Timer timer;
  OnDone on_done;
  std::shared_ptr<RunningSearch> self_while_running;
};

}  // namespace marigold

#endif  // SRC_QUERIES_RUN_SEARCH_H_
