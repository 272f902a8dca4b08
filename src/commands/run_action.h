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

// The replicated ledger. The callback runs exactly once, on any worker; a
// refusal says did-not-run only where the command was surely not appended.
template <class T>
concept ClaimLedger = requires(
    T& ledger,
    const ControlCommand& command,
    Duration timeout,
    std::function<void(std::variant<ControlOutcome, Refusal>)> on_outcome) {
  ledger.Submit(command, timeout, std::move(on_outcome));
};

// Carries actions to backend servers and runs timers.
template <class T>
concept ActionTransport =
    requires(T& transport,
             ServerIndex server,
             const BackendAction& action,
             MonotonicTime deadline,
             std::function<void(ActionAttemptOutcome)> on_outcome,
             Duration delay,
             std::function<void()> task) {
  // Reports the outcome exactly once, maybe after the deadline.
  transport.SendAction(server, action, deadline, std::move(on_outcome));
  // The returned handle cancels the timer when it is destroyed.
  { transport.After(delay, std::move(task)) } -> std::movable;
  transport.PostAfter(delay, std::move(task));
};

struct RunActionSettings {
  VmId vm;
  // Between two attempts to release a claim or to record an outcome.
  Duration repeat_interval = std::chrono::milliseconds(500);
  // After this the ledger keeps the claim, and resends get may-have-run.
  Duration repeat_bound = std::chrono::seconds(60);
};

// Runs one paid action from its start to its recorded outcome, which may be
// later than the answer to the caller. Events may arrive on any worker; steps
// are carried out one at a time and in order, outside the lock.
template <ClaimLedger Ledger, ActionTransport Transport, Clock ClockType>
class RunningAction : public std::enable_shared_from_this<
                          RunningAction<Ledger, Transport, ClockType>> {
 public:
  using Done = std::function<void(ActionOutcome)>;

  RunningAction(ActionRequest action_request,
                const RunActionSettings& action_settings,
                ServerTable& server_table,
                Ledger& action_ledger,
                Transport& action_transport,
                const ClockType& action_clock,
                std::uint64_t seed,
                Done on_done)
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
        done(std::move(on_done)) {}

  void Start() {
    // While a claim waits for room at a server, only the timer refers to this
    // action, and it does not own it.
    this->unfinished = this->shared_from_this();
    this->deadline = this->clock.Now() + this->request.deadline;
    this->Feed(
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
  void Feed(Event event) {
    this->steps.Feed([&] { return event(this->action, this->clock.Now()); },
                     [this](ActionStep& step) {
                       std::visit([this](auto& typed) { this->Carry(typed); },
                                  step);
                     });
  }

  void Carry(const ClaimKey& step) {
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
          self->Feed([&](ActionType& state, MonotonicTime now) {
            if (report.answer == ClaimAnswer::kGranted) {
              self->granted = step.token;
            }
            return state.OnClaim(now, step.token, report);
          });
        });
  }

  void Carry(const SendAction& step) {
    CheckInvariant(Invariant::kAtMostOnce,
                   std::exchange(this->granted, std::nullopt) == step.token,
                   "an action was sent without an unused claim");
    if (!this->table.TryDispatch(this->clock.Now(), step.server)) {
      this->Feed([&](ActionType& state, MonotonicTime now) {
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
      this->Feed([&](ActionType& state, MonotonicTime at) {
        return state.OnReply(at, step.attempt, reply->result);
      });
      return;
    }
    const AttemptFailure failure = std::get<AttemptFailure>(outcome);
    this->table.OnFailure(now, step.server, failure);
    this->Feed([&](ActionType& state, MonotonicTime at) {
      return state.OnFailure(at, step.attempt, failure);
    });
  }

  void Carry(const ReleaseKey& step) {
    const ReleaseClaim release{this->request.key, this->request.customer,
                               step.token};
    this->Repeat(
        release, "release", this->clock.Now(),
        [self = this->shared_from_this(), step](const ControlOutcome* outcome) {
          const auto* answer = outcome == nullptr
                                   ? nullptr
                                   : std::get_if<ReleaseOutcome>(outcome);
          const bool released = answer != nullptr && answer->released;
          self->Feed([&](ActionType& state, MonotonicTime now) {
            return state.OnReleased(now, step.token, released);
          });
        });
  }

  void Carry(RecordKey& step) {
    const RecordOutcome record{this->request.key, this->request.customer,
                               step.token, std::move(step.result)};
    this->Repeat(
        record, "record", this->clock.Now(),
        [self = this->shared_from_this()](const ControlOutcome* outcome) {
          if (outcome != nullptr &&
              !std::get<RecordResult>(*outcome).recorded) {
            self->LogFailure("record");
          }
        });
  }

  void Carry(const SetTimer& step) {
    const Duration delay = step.at - this->clock.Now();
    this->timer = this->transport.After(
        std::max(delay, Duration::zero()), [weak = this->weak_from_this()] {
          if (auto self = weak.lock()) {
            self->Feed([](ActionType& state, MonotonicTime now) {
              return state.OnTimer(now);
            });
          }
        });
  }

  void Carry(FinishAction& step) {
    this->timer = Timer();
    this->done(std::move(step.outcome));
    this->unfinished = nullptr;
  }

  // Submits a command until the ledger has it or the bound is reached.
  // `on_answer` gets nothing in the latter case.
  template <class OnAnswer>
  void Repeat(const ControlCommand& command,
              std::string_view name,
              MonotonicTime begun_at,
              OnAnswer on_answer) {
    this->ledger.Submit(
        command, this->settings.repeat_interval * 4,
        [self = this->shared_from_this(), command, name, begun_at,
         on_answer](const LedgerOutcome& outcome) {
          if (const auto* answer = std::get_if<ControlOutcome>(&outcome)) {
            on_answer(answer);
          } else if (self->clock.Now() - begun_at >=
                     self->settings.repeat_bound) {
            self->LogFailure(name);
            on_answer(nullptr);
          } else {
            self->RepeatLater(command, name, begun_at, on_answer);
          }
        });
  }

  template <class OnAnswer>
  void RepeatLater(const ControlCommand& command,
                   std::string_view name,
                   MonotonicTime begun_at,
                   OnAnswer on_answer) {
    this->transport.PostAfter(
        this->settings.repeat_interval,
        [self = this->shared_from_this(), command, name, begun_at, on_answer] {
          self->Repeat(command, name, begun_at, on_answer);
        });
  }

  void LogFailure(std::string_view name) const {
    LogEvent(LogLevel::kError, "ledger_write_failed",
             {{"command", name},
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
  // A claim that the ledger granted and that was not used yet.
  std::optional<ClaimToken> granted;
  // Used only by the worker that carries out steps.
  Timer timer;
  Done done;
  std::shared_ptr<RunningAction> unfinished;
};

}  // namespace marigold

#endif  // SRC_COMMANDS_RUN_ACTION_H_
