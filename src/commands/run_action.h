#ifndef SRC_COMMANDS_RUN_ACTION_H_
#define SRC_COMMANDS_RUN_ACTION_H_

#include <algorithm>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/commands/action_content.h"
#include "src/commands/control_commands.h"
#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/core/step_runner.h"
#include "src/policy/action.h"
#include "src/policy/backend_messages.h"
#include "src/policy/replica_choice.h"
#include "src/tables/server_table.h"

namespace marigold {

// Submits commands to the replicated ledger. The callback runs exactly once, on
// any worker. A refusal says `kDidNotRun` only if the command was certainly not
// appended to the log.
template <class T>
concept ClaimLedger = requires(
    T& ledger,
    const ControlCommand& command,
    Duration timeout,
    std::function<void(std::variant<ControlOutcome, Refusal>)> on_outcome) {
  ledger.Submit(command, timeout, std::move(on_outcome));
};

// Sends actions to backend servers and runs timers.
template <class T>
concept ActionTransport =
    requires(T& transport,
             ServerIndex server,
             const BackendAction& action,
             MonotonicTime deadline,
             std::function<void(ActionAttemptOutcome)> on_outcome,
             Duration delay,
             std::function<void()> task) {
  // Reports the outcome exactly once, possibly after the deadline.
  transport.SendAction(server, action, deadline, std::move(on_outcome));
  // The returned handle cancels the timer when it is destroyed.
  { transport.After(delay, std::move(task)) } -> std::movable;
  transport.PostAfter(delay, std::move(task));
};

struct RunActionSettings {
  VmId vm;
  // Delay between two attempts to release a claim or to record an outcome.
  Duration resubmit_interval = std::chrono::milliseconds(500);
  // Time after which these attempts end. The ledger then keeps the claim, and
  // resends of the action get `kMayHaveRun`.
  Duration resubmit_timeout = std::chrono::seconds(60);
};

// Runs one paid action from its start until its outcome is recorded, which may
// be after the caller was answered. Events may arrive on any worker. Steps are
// executed one at a time and in order, outside the lock.
template <ClaimLedger Ledger, ActionTransport Transport, Clock ClockType>
class RunningAction : public std::enable_shared_from_this<
                          RunningAction<Ledger, Transport, ClockType>> {
 public:
  using OnDone = std::function<void(ActionOutcome)>;

  RunningAction(ActionRequest action_request,
                const RunActionSettings& action_settings,
                ServerTable& server_table,
                Ledger& action_ledger,
                Transport& action_transport,
                const ClockType& action_clock,
                std::uint64_t seed,
                OnDone done_callback)
      : request(action_request),
        settings(action_settings),
        table(server_table),
        ledger(action_ledger),
        transport(action_transport),
        clock(action_clock),
        random(seed),
        action(std::move(action_request),
               table,
               PowerOfTwoChoices(),
               random,
               table),
        on_done(std::move(done_callback)) {}

  void Start() {
    // While a claimed action waits for capacity at a server, only the timer
    // refers to this object, through a weak pointer.
    this->self_while_running = this->shared_from_this();
    this->deadline = this->clock.Now() + this->request.deadline;
    this->ProcessEvent(
        [](ActionType& state, MonotonicTime now) { return state.Start(now); });
  }

 private:
  using ActionType =
      Action<ServerTable, PowerOfTwoChoices, SeededRandom, ServerTable>;
  using Timer =
      decltype(std::declval<Transport&>().After(Duration(),
                                                std::function<void()>()));
  using LedgerOutcome = std::variant<ControlOutcome, Refusal>;

  template <class Event>
  void ProcessEvent(Event event) {
    this->steps.ProcessEvent(
        [&] { return event(this->action, this->clock.Now()); },
        [this](ActionStep& step) {
          std::visit([this](auto& typed) { this->Execute(typed); }, step);
        });
  }

  void Execute(const ClaimKey& step) {
    ClaimAction claim;
    claim.key = this->request.key;
    claim.customer = this->request.customer;
    claim.token = step.token;
    claim.claimant = this->settings.vm;
    claim.issued_at_ms = ToUnixMilliseconds(this->request.key_issued_at);
    claim.content_hash = HashContent(this->request);
    const Duration left = this->deadline - this->clock.Now();
    this->ledger.Submit(
        claim, std::max(left, Duration::zero()),
        [self = this->shared_from_this(), step](const LedgerOutcome& outcome) {
          const ClaimReport report = ToClaimReport(outcome);
          self->ProcessEvent([&](ActionType& state, MonotonicTime now) {
            if (report.answer == ClaimAnswer::kGranted) {
              self->unused_token = step.token;
            }
            return state.OnClaim(now, step.token, report);
          });
        });
  }

  void Execute(const SendAction& step) {
    CheckInvariant(
        Invariant::kAtMostOnce,
        std::exchange(this->unused_token, std::nullopt) == step.token,
        "an action was sent without an unused claim");
    if (!this->table.TryDispatch(this->clock.Now(), step.server)) {
      this->ProcessEvent([&](ActionType& state, MonotonicTime now) {
        return state.OnFailure(now, step.attempt, AttemptFailure::kNotSent);
      });
      return;
    }
    const MonotonicTime sent_at = this->clock.Now();
    const BackendAction content{step.attempt, this->request.key,
                                this->request.action, this->request.payload,
                                step.deadline - sent_at};
    this->transport.SendAction(
        step.server, content, step.deadline,
        [self = this->shared_from_this(), step,
         sent_at](const ActionAttemptOutcome& outcome) {
          self->OnOutcome(step, self->clock.Now() - sent_at, outcome);
        });
  }

  void OnOutcome(const SendAction& step,
                 Duration latency,
                 const ActionAttemptOutcome& outcome) {
    const MonotonicTime now = this->clock.Now();
    if (const auto* reply = std::get_if<BackendActionReply>(&outcome)) {
      this->table.OnReply(now, step.server, latency, reply->load);
      this->ProcessEvent([&](ActionType& state, MonotonicTime at) {
        return state.OnReply(at, step.attempt, reply->result);
      });
      return;
    }
    const AttemptFailure failure = std::get<AttemptFailure>(outcome);
    this->table.OnFailure(now, step.server, failure);
    this->ProcessEvent([&](ActionType& state, MonotonicTime at) {
      return state.OnFailure(at, step.attempt, failure);
    });
  }

  void Execute(const ReleaseKey& step) {
    const ReleaseClaim release{this->request.key, this->request.customer,
                               step.token};
    this->SubmitUntilAnswered(
        release, "release", this->clock.Now(),
        [self = this->shared_from_this(), step](const ControlOutcome* outcome) {
          const auto* answer = outcome == nullptr
                                   ? nullptr
                                   : std::get_if<ReleaseOutcome>(outcome);
          const bool released = answer != nullptr && answer->released;
          self->ProcessEvent([&](ActionType& state, MonotonicTime now) {
            return state.OnReleased(now, step.token, released);
          });
        });
  }

  void Execute(RecordKey& step) {
    const RecordOutcome record{this->request.key, this->request.customer,
                               step.token, std::move(step.result)};
    this->SubmitUntilAnswered(
        record, "record", this->clock.Now(),
        [self = this->shared_from_this()](const ControlOutcome* outcome) {
          if (outcome != nullptr &&
              !std::get<RecordOutcomeResponse>(*outcome).recorded) {
            self->LogFailure("record");
          }
        });
  }

  void Execute(const SetTimer& step) {
    const Duration delay = step.at - this->clock.Now();
    this->timer = this->transport.After(
        std::max(delay, Duration::zero()), [weak = this->weak_from_this()] {
          if (auto self = weak.lock()) {
            self->ProcessEvent([](ActionType& state, MonotonicTime now) {
              return state.OnTimer(now);
            });
          }
        });
  }

  void Execute(FinishAction& step) {
    this->timer = Timer();
    this->on_done(std::move(step.outcome));
    this->self_while_running = nullptr;
  }

  // Submits a command until the ledger answers or `resubmit_timeout` has
  // passed. `on_answer` gets null in the latter case.
  template <class OnAnswer>
  void SubmitUntilAnswered(const ControlCommand& command,
                           std::string_view command_name,
                           MonotonicTime first_submitted_at,
                           OnAnswer on_answer) {
    this->ledger.Submit(
        command, this->settings.resubmit_interval * 4,
        [self = this->shared_from_this(), command, command_name,
         first_submitted_at, on_answer](const LedgerOutcome& outcome) {
          if (const auto* answer = std::get_if<ControlOutcome>(&outcome)) {
            on_answer(answer);
          } else if (self->clock.Now() - first_submitted_at >=
                     self->settings.resubmit_timeout) {
            self->LogFailure(command_name);
            on_answer(nullptr);
          } else {
            self->ResubmitLater(command, command_name, first_submitted_at,
                                on_answer);
          }
        });
  }

  template <class OnAnswer>
  void ResubmitLater(const ControlCommand& command,
                     std::string_view command_name,
                     MonotonicTime first_submitted_at,
                     OnAnswer on_answer) {
    this->transport.PostAfter(this->settings.resubmit_interval,
                              [self = this->shared_from_this(), command,
                               command_name, first_submitted_at, on_answer] {
                                self->SubmitUntilAnswered(command, command_name,
                                                          first_submitted_at,
                                                          on_answer);
                              });
  }

  void LogFailure(std::string_view command_name) const {
    LogEvent(LogLevel::kError, "ledger_write_failed",
             {{"command", command_name},
              {"request", this->request.request.value()},
              {"customer", this->request.customer.value()},
              {"key", this->request.key.value()}});
  }

  ActionRequest request;
  RunActionSettings settings;
  ServerTable& table;
  Ledger& ledger;
  Transport& transport;
  const ClockType& clock;
  MonotonicTime deadline;
  StepRunner<ActionStep, LockRank::kSearch> steps;
  SeededRandom random;
  ActionType action;
  // The token of a granted claim that has not been used for a send.
  std::optional<ClaimToken> unused_token;
  // Used only by the worker that executes steps.
  Timer timer;
  OnDone on_done;
  std::shared_ptr<RunningAction> self_while_running;
};

}  // namespace marigold

#endif  // SRC_COMMANDS_RUN_ACTION_H_
