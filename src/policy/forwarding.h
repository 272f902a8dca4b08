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

// Decides where one request is sent and when it is answered. Several threads
// may not use one object at the same time; `Table` is shared.
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

  Steps Start(MonotonicTime now) {
    Steps steps;
    if (!this->CanSuffice(now)) {
      this->Finish(now, ForwardState::kNotRun, steps);
      return steps;
    }
    this->timing = this->table.Access([&](BackendDirectory& directory) {
      return TimingOf(directory, this->plan.route, this->plan.times);
    });
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      this->table.Access([&](BackendDirectory& directory) {
        directory.OnRequest(now, this->plan.targets[i]);
      });
      this->TrySend(now, i, steps);
    }
    this->Conclude(now, steps);
    return steps;
  }

  // A whole, matching answer that is a success.
  Steps OnAnswer(MonotonicTime now,
                 SendId id,
                 const std::optional<ReportedLoad>& load) {
    Steps steps;
    Send& send = this->At(id);
    if (!send.is_live) {
      return steps;
    }
    send.is_live = false;
    const Duration latency = now - send.began;
    this->table.Access([&](BackendDirectory& directory) {
      directory.OnAnswer(now, send.server, latency, this->timing.expected,
                         load);
      directory.AddLatency(this->plan.route, latency);
    });
    Target& target = this->targets[send.target];
    --target.live;
    if (!target.is_answered) {
      target.is_answered = true;
      ++this->answered;
      if (target.live > 0) {
        this->DropOthers(now, send.target, steps);
      }
    }
    // With many shards an answer must not cost a walk over all of them. The
    // timer that is set already may come too early, which does no harm.
    if (this->answered == this->targets.size() ||
        now >= this->plan.times.answer_by || this->may_lack_targets) {
      this->Conclude(now, steps);
    }
    return steps;
  }

  Steps OnFailure(MonotonicTime now, SendId id, SendFailure failure) {
    Steps steps;
    Send& send = this->At(id);
    if (!send.is_live) {
      return steps;
    }
    send.is_live = false;
    this->may_lack_targets = true;
    this->table.Access([&](BackendDirectory& directory) {
      directory.OnFailure(now, send.server, failure);
    });
    Target& target = this->targets[send.target];
    --target.live;
    if (SurelyNotRun(failure)) {
      --target.may_have_run;
    }
    target.is_full = target.is_full || failure == SendFailure::kNotExecuted;
    if (failure == SendFailure::kNotConnected ||
        failure == SendFailure::kUnreachable) {
      // Nothing arrived, so the next send is not a repeated one.
      --target.arrived;
    }
    if (!target.is_answered) {
      this->TrySend(now, send.target, steps);
    }
    this->Conclude(now, steps);
    return steps;
  }

  Steps OnTimer(MonotonicTime now) {
    Steps steps;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      Target& target = this->targets[i];
      if (!target.is_answered && now >= target.next_send) {
        this->TrySend(now, i, steps);
      }
    }
    this->Conclude(now, steps);
    return steps;
  }

  // The caller is gone.
  Steps Abandon(MonotonicTime now) {
    Steps steps;
    if (this->current == ForwardState::kRunning) {
      this->Finish(now, ForwardState::kFailed, steps);
    }
    return steps;
  }

  // Queries.

  ForwardState state() const { return this->current; }
  std::size_t answered_targets() const { return this->answered; }
  std::size_t sends_made() const { return this->sends.size(); }
  const ForwardPlan& request() const { return this->plan; }
  // When the time that a send has from now on ends.
  MonotonicTime deadline() const { return this->plan.times.limit; }

 private:
  struct Send {
    std::size_t target = 0;
    ServerIndex server;
    MonotonicTime began;
    bool is_live = true;
  };

  struct Target {
    std::vector<ServerIndex> tried;
    std::uint32_t live = 0;
    // Sends that reached a server, and those of them that may have run.
    std::uint32_t arrived = 0;
    std::uint32_t may_have_run = 0;
    // A server had no room for it.
    bool is_full = false;
    // Rounds over all servers that ended without one that takes the request.
    std::uint32_t rounds = 0;
    bool is_answered = false;
    MonotonicTime next_send = MonotonicTime::max();
  };

  // A target whose servers all refuse is asked again this often.
  static constexpr std::uint32_t kMostRounds = 4;
  static constexpr Duration kRoundPause = std::chrono::milliseconds(20);

  Send& At(SendId id) { return this->sends[id.value()]; }

  // False if too many targets have no server that can be reached, so that
  // sending to the others would be in vain.
  bool CanSuffice(MonotonicTime now) const {
    return this->table.Access([&](BackendDirectory& directory) {
      const auto lost = static_cast<std::size_t>(
          std::count_if(this->plan.targets.begin(), this->plan.targets.end(),
                        [&](const ServiceId& service) {
                          return !directory.IsReachable(now, service);
                        }));
      return lost < this->targets.size() && !this->CanNotSuffice(lost);
    });
  }

  // Sends to one more server of the target, if that is allowed.
  void TrySend(MonotonicTime now, std::size_t index, Steps& steps) {
    Target& target = this->targets[index];
    target.next_send = MonotonicTime::max();
    const bool may_run_again =
        target.may_have_run == 0 ||
        (this->plan.is_idempotent && target.may_have_run < this->plan.attempts);
    if (!may_run_again || now >= this->plan.times.limit) {
      return;
    }
    const bool is_repeated = target.arrived > 0;
    const std::optional<ServerIndex> server = this->table.Access(
        [&](BackendDirectory& directory) -> std::optional<ServerIndex> {
          const ServiceId& service = this->plan.targets[index];
          const auto placed =
              directory.Place(now, service, this->timing.expected, target.tried,
                              this->replica, this->random);
          if (placed && is_repeated && !directory.TrySpendRetry(now, service)) {
            directory.OnCancelled(now, *placed, Duration::zero(),
                                  Duration::zero());
            return std::nullopt;
          }
          return placed;
        });
    if (!server) {
      this->PlanRound(now, target);
      return;
    }
    const SendId id(this->sends.size());
    this->sends.push_back({index, *server, now, true});
    target.tried.push_back(*server);
    ++target.live;
    ++target.arrived;
    ++target.may_have_run;
    if (this->plan.is_idempotent && target.may_have_run < this->plan.attempts) {
      target.next_send = now + this->timing.hedge_delay;
    }
    steps.push_back(StartSend{id, index, *server});
  }

  // All servers were tried; those that were full may be asked again.
  void PlanRound(MonotonicTime now, Target& target) {
    this->may_lack_targets = true;
    if (target.live > 0 || !target.is_full || target.rounds >= kMostRounds) {
      return;
    }
    ++target.rounds;
    target.is_full = false;
    target.tried.clear();
    target.next_send = now + kRoundPause;
  }

  bool IsHopeless(const Target& target) const {
    return !target.is_answered && target.live == 0 &&
           target.next_send == MonotonicTime::max();
  }

  // Answers, fails or sets the timer.
  void Conclude(MonotonicTime now, Steps& steps) {
    if (this->current != ForwardState::kRunning) {
      return;
    }
    const std::size_t all = this->targets.size();
    const auto hopeless = static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [this](const Target& t) { return this->IsHopeless(t); }));
    const bool is_enough =
        this->answered > 0 &&
        static_cast<double>(this->answered) >=
            this->plan.minimum_coverage * static_cast<double>(all) - kRounding;
    const bool is_due = now >= this->plan.times.answer_by;
    if (this->answered == all ||
        (is_enough && (is_due || this->answered + hopeless == all))) {
      this->Finish(now, ForwardState::kAnswered, steps);
    } else if (now >= this->plan.times.limit) {
      this->Finish(
          now,
          this->MayHaveRun() ? ForwardState::kTimedOut : ForwardState::kNotRun,
          steps);
    } else if (!is_enough && this->CanNotSuffice(hopeless)) {
      this->Finish(
          now,
          this->MayHaveRun() ? ForwardState::kFailed : ForwardState::kNotRun,
          steps);
    } else {
      steps.push_back(WakeAt{this->NextTime(now)});
    }
  }

  bool CanNotSuffice(std::size_t hopeless) const {
    const std::size_t all = this->targets.size();
    return static_cast<double>(all - hopeless) <
           this->plan.minimum_coverage * static_cast<double>(all) - kRounding;
  }

  bool MayHaveRun() const {
    return std::any_of(
        this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.may_have_run > 0; });
  }

  MonotonicTime NextTime(MonotonicTime now) const {
    MonotonicTime next = this->plan.times.limit;
    if (this->plan.times.answer_by > now) {
      next = std::min(next, this->plan.times.answer_by);
    }
    for (const Target& target : this->targets) {
      if (!target.is_answered) {
        next = std::min(next, target.next_send);
      }
    }
    return next;
  }

  void DropOthers(MonotonicTime now, std::size_t target, Steps& steps) {
    for (std::size_t i = 0; i < this->sends.size(); ++i) {
      if (this->sends[i].is_live && this->sends[i].target == target) {
        this->Drop(now, SendId(i), steps);
      }
    }
  }

  void Drop(MonotonicTime now, SendId id, Steps& steps) {
    Send& send = this->At(id);
    send.is_live = false;
    --this->targets[send.target].live;
    this->table.Access([&](BackendDirectory& directory) {
      directory.OnCancelled(now, send.server, now - send.began,
                            this->timing.expected);
    });
    steps.push_back(
        DropSend{id, send.server, send.began, this->timing.expected});
  }

  void Finish(MonotonicTime now, ForwardState state, Steps& steps) {
    this->current = state;
    for (std::size_t i = 0; i < this->sends.size(); ++i) {
      if (this->sends[i].is_live) {
        this->Drop(now, SendId(i), steps);
      }
    }
  }

  // Coverage is compared with a product of decimal fractions.
  static constexpr double kRounding = 1e-9;

  ForwardPlan plan;
  Table& table;
  Replica replica;
  Random& random;
  ForwardTiming timing;
  std::vector<Target> targets;
  std::vector<Send> sends;
  std::size_t answered = 0;
  // Some send has failed or found no server, so that targets may be without
  // hope.
  bool may_lack_targets = false;
  ForwardState current = ForwardState::kRunning;
};

}  // namespace marigold

#endif  // SRC_POLICY_FORWARDING_H_
