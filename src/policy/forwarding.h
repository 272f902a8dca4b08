#ifndef SRC_POLICY_FORWARDING_H_
#define SRC_POLICY_FORWARDING_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/forward_timing.h"
#include "src/policy/forward_types.h"

namespace marigold {

// State machine of one forwarded request. Decides which servers the request is
// sent to, when sends are hedged or retried, and when the request is answered.
// Does no I/O: each command returns the steps that the driver has to carry out.
// Not synchronised; `Table` is shared between requests and does its own
// locking.
template <class Table, class Replica, RandomSource Random>
class Forwarding {
 public:
  using Steps = std::vector<ForwardStep>;

  Forwarding(ForwardPlan forward_plan,
             Table& backend_table,
             Replica replica_policy,
             Random& random_source)
      : plan(std::move(forward_plan)),
        table(backend_table),
        replica(std::move(replica_policy)),
        random(random_source),
        targets(plan.targets.size()) {}

  // Commands.

  // Sends the request to one server of each target.
  Steps Start(MonotonicTime now) {
    Steps steps;
    if (!this->CanReachCoverage(now)) {
      this->Finish(now, ForwardState::kNotRun, steps);
      return steps;
    }
    this->timing = this->table.Access([&](BackendDirectory& directory) {
      return ComputeAttemptTiming(directory, this->plan.route,
                                  this->plan.deadlines);
    });
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      this->table.Access([&](BackendDirectory& directory) {
        directory.OnRequest(now, this->plan.targets[i]);
      });
      this->TrySend(now, i, steps);
    }
    this->UpdateState(now, steps);
    return steps;
  }

  // Records a complete, matching and successful answer to a send. Ignored if
  // the send is no longer in flight.
  Steps OnAnswer(MonotonicTime now,
                 SendId id,
                 const std::optional<ReportedLoad>& load) {
    Steps steps;
    Send& send = this->SendAt(id);
    if (!send.is_in_flight) {
      return steps;
    }
    send.is_in_flight = false;
    const Duration latency = now - send.started_at;
    this->table.Access([&](BackendDirectory& directory) {
      directory.OnAnswer(now, send.server, latency,
                         this->timing.typical_latency, load);
      directory.AddLatency(this->plan.route, latency);
    });
    Target& target = this->targets[send.target];
    --target.in_flight;
    if (!target.is_answered) {
      target.is_answered = true;
      ++this->answered_count;
      if (target.in_flight > 0) {
        this->CancelOthers(now, send.target, steps);
      }
    }
    // With many shards, a scan over all targets is too expensive for each
    // answer, so it is skipped unless the outcome may be certain now. The timer
    // that is already set may then fire too early, which is harmless.
    if (this->answered_count == this->targets.size() ||
        now >= this->plan.deadlines.answer_by ||
        this->may_have_exhausted_targets) {
      this->UpdateState(now, steps);
    }
    return steps;
  }

  // Records the failure of a send and tries another server of its target.
  // Ignored if the send is no longer in flight.
  Steps OnFailure(MonotonicTime now, SendId id, SendFailure failure) {
    Steps steps;
    Send& send = this->SendAt(id);
    if (!send.is_in_flight) {
      return steps;
    }
    send.is_in_flight = false;
    this->may_have_exhausted_targets = true;
    this->table.Access([&](BackendDirectory& directory) {
      directory.OnFailure(now, send.server, failure);
    });
    Target& target = this->targets[send.target];
    --target.in_flight;
    if (CertainlyDidNotRun(failure)) {
      --target.possible_runs;
    }
    target.found_full_server =
        target.found_full_server || failure == SendFailure::kNotExecuted;
    if (failure == SendFailure::kNotConnected ||
        failure == SendFailure::kUnreachable) {
      // The server received nothing, so the next send is not a retry.
      --target.possible_deliveries;
    }
    if (!target.is_answered) {
      this->TrySend(now, send.target, steps);
    }
    this->UpdateState(now, steps);
    return steps;
  }

  // Sends the hedged requests and begins the rounds that are due. Finishes the
  // request if its outcome is certain or its deadline has passed.
  Steps OnTimer(MonotonicTime now) {
    Steps steps;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      Target& target = this->targets[i];
      if (!target.is_answered && now >= target.next_send_at) {
        this->TrySend(now, i, steps);
      }
    }
    this->UpdateState(now, steps);
    return steps;
  }

  // The caller has closed its connection. Cancels all sends in flight.
  Steps Abandon(MonotonicTime now) {
    Steps steps;
    if (this->current_state == ForwardState::kRunning) {
      this->Finish(now, ForwardState::kFailed, steps);
    }
    return steps;
  }

  // Queries.

  ForwardState state() const { return this->current_state; }
  std::size_t answered_targets() const { return this->answered_count; }
  std::size_t send_count() const { return this->sends.size(); }
  const ForwardPlan& request_plan() const { return this->plan; }
  // The time at which a send that starts now times out.
  MonotonicTime deadline() const { return this->plan.deadlines.give_up_at; }

 private:
  struct Send {
    std::size_t target = 0;
    ServerIndex server;
    MonotonicTime started_at;
    bool is_in_flight = true;
  };

  struct Target {
    std::vector<ServerIndex> tried;
    std::uint32_t in_flight = 0;
    // The number of sends that may have reached a server.
    std::uint32_t possible_deliveries = 0;
    // The number of sends that a server may have run.
    std::uint32_t possible_runs = 0;
    // True if a server had no room for the request in this round.
    bool found_full_server = false;
    // The number of rounds over all servers after the first round. Each of them
    // began because no server had accepted the request.
    std::uint32_t rounds = 0;
    bool is_answered = false;
    // The time of the next hedged request or round, if one is scheduled.
    MonotonicTime next_send_at = MonotonicTime::max();
  };

  // The maximum of `Target::rounds` for a target whose servers are all full.
  static constexpr std::uint32_t kMaxRounds = 4;
  // The time between the end of a round and the start of the next one.
  static constexpr Duration kRoundDelay = std::chrono::milliseconds(20);

  Send& SendAt(SendId id) { return this->sends[id.value()]; }

  // Returns false if so many targets have no available server that the minimum
  // coverage cannot be reached. Sending to the other targets would then be
  // useless.
  bool CanReachCoverage(MonotonicTime now) const {
    return this->table.Access([&](BackendDirectory& directory) {
      const auto unavailable_count = static_cast<std::size_t>(
          std::count_if(this->plan.targets.begin(), this->plan.targets.end(),
                        [&](const ServiceId& service) {
                          return !directory.HasAvailableServer(now, service);
                        }));
      return unavailable_count < this->targets.size() &&
             !this->CannotReachCoverage(unavailable_count);
    });
  }

  // Sends the request to one more server of the target if the attempt limit,
  // the deadline and the retry budget permit it. A request that is not
  // idempotent is sent again only if it certainly did not run.
  void TrySend(MonotonicTime now, std::size_t target_index, Steps& steps) {
    Target& target = this->targets[target_index];
    target.next_send_at = MonotonicTime::max();
    const bool may_run_again = target.possible_runs == 0 ||
                               (this->plan.is_idempotent &&
                                target.possible_runs < this->plan.max_attempts);
    if (!may_run_again || now >= this->plan.deadlines.give_up_at) {
      return;
    }
    const bool is_retry = target.possible_deliveries > 0;
    const std::optional<ServerIndex> server = this->table.Access(
        [&](BackendDirectory& directory) -> std::optional<ServerIndex> {
          const ServiceId& service = this->plan.targets[target_index];
          const auto placed =
              directory.PlaceAttempt(now, service, this->timing.typical_latency,
                                     target.tried, this->replica, this->random);
          if (placed && is_retry && !directory.TrySpendRetry(now, service)) {
            directory.OnCancelled(now, *placed, Duration::zero(),
                                  Duration::zero());
            return std::nullopt;
          }
          return placed;
        });
    if (!server) {
      this->ScheduleNextRound(now, target);
      return;
    }
    const SendId id(this->sends.size());
    this->sends.push_back({target_index, *server, now, true});
    target.tried.push_back(*server);
    ++target.in_flight;
    ++target.possible_deliveries;
    ++target.possible_runs;
    if (this->plan.is_idempotent &&
        target.possible_runs < this->plan.max_attempts) {
      target.next_send_at = now + this->timing.hedge_delay;
    }
    steps.push_back(StartSend{id, target_index, *server});
  }

  // Called when the target has no server left to try or the retry budget is
  // used up. Schedules another round over all servers if one of them was full,
  // no send is in flight and `kMaxRounds` is not reached.
  void ScheduleNextRound(MonotonicTime now, Target& target) {
    this->may_have_exhausted_targets = true;
    if (target.in_flight > 0 || !target.found_full_server ||
        target.rounds >= kMaxRounds) {
      return;
    }
    ++target.rounds;
    target.found_full_server = false;
    target.tried.clear();
    target.next_send_at = now + kRoundDelay;
  }

  // True if the target has not answered and no send is in flight or scheduled.
  bool IsExhausted(const Target& target) const {
    return !target.is_answered && target.in_flight == 0 &&
           target.next_send_at == MonotonicTime::max();
  }

  // Finishes the request if its outcome is certain, and otherwise sets the
  // timer.
  void UpdateState(MonotonicTime now, Steps& steps) {
    if (this->current_state != ForwardState::kRunning) {
      return;
    }
    const std::size_t target_count = this->targets.size();
    const auto exhausted_count = static_cast<std::size_t>(std::count_if(
        this->targets.begin(), this->targets.end(),
        [this](const Target& target) { return this->IsExhausted(target); }));
    const bool has_coverage =
        this->answered_count > 0 &&
        static_cast<double>(this->answered_count) >=
            this->plan.minimum_coverage * static_cast<double>(target_count) -
                kCoverageTolerance;
    const bool is_answer_due = now >= this->plan.deadlines.answer_by;
    if (this->answered_count == target_count ||
        (has_coverage &&
         (is_answer_due ||
          this->answered_count + exhausted_count == target_count))) {
      this->Finish(now, ForwardState::kAnswered, steps);
    } else if (now >= this->plan.deadlines.give_up_at) {
      this->Finish(
          now,
          this->MayHaveRun() ? ForwardState::kTimedOut : ForwardState::kNotRun,
          steps);
    } else if (!has_coverage && this->CannotReachCoverage(exhausted_count)) {
      this->Finish(
          now,
          this->MayHaveRun() ? ForwardState::kFailed : ForwardState::kNotRun,
          steps);
    } else {
      steps.push_back(SetForwardTimer{this->NextTimer(now)});
    }
  }

  // True if the minimum coverage cannot be reached without this number of
  // targets.
  bool CannotReachCoverage(std::size_t exhausted_count) const {
    const std::size_t target_count = this->targets.size();
    return static_cast<double>(target_count - exhausted_count) <
           this->plan.minimum_coverage * static_cast<double>(target_count) -
               kCoverageTolerance;
  }

  bool MayHaveRun() const {
    return std::any_of(
        this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.possible_runs > 0; });
  }

  MonotonicTime NextTimer(MonotonicTime now) const {
    MonotonicTime next_timer_at = this->plan.deadlines.give_up_at;
    if (this->plan.deadlines.answer_by > now) {
      next_timer_at = std::min(next_timer_at, this->plan.deadlines.answer_by);
    }
    for (const Target& target : this->targets) {
      if (!target.is_answered) {
        next_timer_at = std::min(next_timer_at, target.next_send_at);
      }
    }
    return next_timer_at;
  }

  void CancelOthers(MonotonicTime now, std::size_t target, Steps& steps) {
    for (std::size_t i = 0; i < this->sends.size(); ++i) {
      if (this->sends[i].is_in_flight && this->sends[i].target == target) {
        this->Cancel(now, SendId(i), steps);
      }
    }
  }

  void Cancel(MonotonicTime now, SendId id, Steps& steps) {
    Send& send = this->SendAt(id);
    send.is_in_flight = false;
    --this->targets[send.target].in_flight;
    this->table.Access([&](BackendDirectory& directory) {
      directory.OnCancelled(now, send.server, now - send.started_at,
                            this->timing.typical_latency);
    });
    steps.push_back(CancelSend{id, send.server, send.started_at,
                               this->timing.typical_latency});
  }

  void Finish(MonotonicTime now, ForwardState state, Steps& steps) {
    this->current_state = state;
    for (std::size_t i = 0; i < this->sends.size(); ++i) {
      if (this->sends[i].is_in_flight) {
        this->Cancel(now, SendId(i), steps);
      }
    }
  }

  // Absorbs the rounding error of the product of coverage and target count.
  static constexpr double kCoverageTolerance = 1e-9;

  ForwardPlan plan;
  Table& table;
  Replica replica;
  Random& random;
  AttemptTiming timing;
  std::vector<Target> targets;
  std::vector<Send> sends;
  std::size_t answered_count = 0;
  // True once a send has failed or found no server, so that targets may be
  // exhausted.
  bool may_have_exhausted_targets = false;
  ForwardState current_state = ForwardState::kRunning;
};

}  // namespace marigold

#endif  // SRC_POLICY_FORWARDING_H_
