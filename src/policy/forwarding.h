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
#include "src/policy/congestion_count.h"
#include "src/policy/fan_out/search_outcome.h"
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
        targets(plan.targets.size()) {
    for (std::size_t i = 0; i < this->plan.excluded_servers.size(); ++i) {
      this->targets[i].tried = this->plan.excluded_servers[i];
    }
  }

  // Commands.

  // Sends the request to one server of each target.
  Steps Start(MonotonicTime now) {
    Steps steps;
    if (!this->CanStart(now)) {
      this->Finish(now, ForwardState::kNotRun, steps);
      return steps;
    }
    this->timing = this->table.Access([&](BackendDirectory& directory) {
      return ComputeAttemptTiming(directory, this->plan.route,
                                  this->plan.deadlines, kHedgeQuantile);
    });
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      if (this->plan.earns_retries) {
        this->table.Access([&](BackendDirectory& directory) {
          directory.OnRequest(now, this->plan.targets[i]);
        });
      }
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
      this->queueing_targets += load && load->waiting > 0 ? 1 : 0;
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
    if (failure == SendFailure::kNotExecuted) {
      target.found_full_server = true;
      ++target.full_servers;
    }
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

  // Brings the deadlines forward to `end`, because the process stops then.
  Steps EndBy(MonotonicTime now, MonotonicTime end) {
    Steps steps;
    this->plan.deadlines.EndBy(end);
    this->UpdateState(now, steps);
    return steps;
  }

  // No further answer is needed. Cancels all sends in flight. `end_state` is
  // `kFailed` if the caller is gone, and `kAnswered` if it has its answer.
  Steps Abandon(MonotonicTime now,
                ForwardState end_state = ForwardState::kFailed) {
    Steps steps;
    if (this->current_state == ForwardState::kRunning) {
      this->Finish(now, end_state, steps);
    }
    return steps;
  }

  // Queries.

  ForwardState state() const { return this->current_state; }
  std::size_t answered_targets() const { return this->answered_count; }
  std::size_t send_count() const { return this->sends.size(); }
  // How many targets have servers that are short of capacity.
  CongestionCount congestion() const {
    CongestionCount count{this->queueing_targets, 0};
    for (const Target& target : this->targets) {
      count.overloaded +=
          IsTargetOverloaded(target.full_servers, target.is_answered) ? 1 : 0;
    }
    return count;
  }
  const ForwardPlan& request_plan() const { return this->plan; }
  const AttemptTiming& attempt_timing() const { return this->timing; }
  bool IsAnswered(std::size_t target) const {
    return this->targets[target].is_answered;
  }
  // True if the target has not answered and no send is in flight or scheduled.
  bool IsExhausted(std::size_t target) const {
    return IsExhausted(this->targets[target]);
  }
  // The number of servers of the target that may have run the request.
  std::uint32_t PossibleRuns(std::size_t target) const {
    return this->targets[target].possible_runs;
  }
  // True if a server of the target may have received the request.
  bool WasDelivered(std::size_t target) const {
    return this->targets[target].possible_deliveries > 0;
  }
  // The server to which the request was sent last. Absent before the first
  // send to the target.
  std::optional<ServerIndex> LastServer(std::size_t target) const {
    const std::vector<ServerIndex>& tried = this->targets[target].tried;
    return tried.empty() ? std::nullopt : std::optional(tried.back());
  }
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
    // The number of sends that a server had no room for, in all rounds.
    std::uint32_t full_servers = 0;
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
  bool CanStart(MonotonicTime now) const {
    return this->table.Access([&](const BackendDirectory& directory) {
      return HasReachableCoverage(directory, now, this->plan);
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
      this->ScheduleNextRound(now, target_index);
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
  // no send is in flight, `kMaxRounds` is not reached, and a server is not
  // paused by then. If all servers have asked for a long pause, the request
  // fails at once.
  void ScheduleNextRound(MonotonicTime now, std::size_t target_index) {
    Target& target = this->targets[target_index];
    this->may_have_exhausted_targets = true;
    if (target.in_flight > 0 || !target.found_full_server ||
        target.rounds >= kMaxRounds) {
      return;
    }
    const auto pause_end =
        this->table.Access([&](const BackendDirectory& directory) {
          return directory.FirstPauseEnd(now, this->plan.targets[target_index]);
        });
    if (!pause_end || *pause_end > now + kMaxRounds * kRoundDelay) {
      return;
    }
    ++target.rounds;
    target.found_full_server = false;
    target.tried.clear();
    target.next_send_at = std::max(now + kRoundDelay, *pause_end);
  }

  static bool IsExhausted(const Target& target) {
    return !target.is_answered && target.in_flight == 0 &&
           target.next_send_at == MonotonicTime::max();
  }

  // Finishes the request if its outcome is certain, and otherwise sets the
  // timer.
  void UpdateState(MonotonicTime now, Steps& steps) {
    if (this->current_state != ForwardState::kRunning) {
      return;
    }
    const auto exhausted_count = static_cast<std::size_t>(std::count_if(
        this->targets.begin(), this->targets.end(),
        [](const Target& target) { return IsExhausted(target); }));
    const ForwardState state = DecideState(
        this->plan,
        {this->targets.size(), this->answered_count, exhausted_count}, now,
        this->MayHaveRun());
    if (state == ForwardState::kRunning) {
      steps.push_back(SetForwardTimer{this->NextTimer(now)});
    } else {
      this->Finish(now, state, steps);
    }
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

  ForwardPlan plan;
  Table& table;
  Replica replica;
  Random& random;
  AttemptTiming timing;
  std::vector<Target> targets;
  std::vector<Send> sends;
  std::size_t answered_count = 0;
  // The number of targets whose answer came from a server with a queue.
  std::uint32_t queueing_targets = 0;
  // True once a send has failed or found no server, so that targets may be
  // exhausted.
  bool may_have_exhausted_targets = false;
  ForwardState current_state = ForwardState::kRunning;
};

}  // namespace marigold

#endif  // SRC_POLICY_FORWARDING_H_
