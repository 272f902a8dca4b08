#include "tools/soak/action_entry_vm.h"

#include <fmt/format.h>

#include <utility>

namespace marigold {

namespace {

constexpr std::uint64_t kServerCount = 3;
constexpr double kRefusedProbability = 0.15;
constexpr double kNotSentProbability = 0.1;
constexpr double kLostProbability = 0.1;
constexpr std::int64_t kMaxServiceMicros = 200'000;

}  // namespace

// Submits ledger commands for one process of the entry VM. Drops the outcomes
// that arrive after a restart.
class ActionEntryVm::Ledger {
 public:
  explicit Ledger(ActionEntryVm& owner)
      : entry_vm(owner), process_generation(owner.process_generation) {}

  void Submit(const ControlCommand& command,
              Duration timeout,
              std::function<void(std::variant<ControlOutcome, Refusal>)> done) {
    if (this->process_generation != this->entry_vm.process_generation) {
      return;
    }
    if (this->entry_vm.context.planted_bug == PlantedBug::kSentBeforeClaim &&
        std::holds_alternative<ClaimAction>(command)) {
      this->entry_vm.client.Submit(command, timeout,
                                   [](const SubmitResult&) {});
      done(ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""}));
      return;
    }
    this->entry_vm.client.Submit(
        command, timeout,
        [this, done = std::move(done)](const SubmitResult& result) {
          if (this->process_generation != this->entry_vm.process_generation) {
            return;
          }
          if (const auto* outcome = std::get_if<ControlOutcome>(&result)) {
            done(*outcome);
          } else {
            done(Refusal{
                std::get<Execution>(result), Reason::kNoQuorum, "", {}});
          }
        });
  }

 private:
  ActionEntryVm& entry_vm;
  std::uint64_t process_generation;
};

// Simulates the connections to the backend servers for one request.
class ActionEntryVm::Transport {
 public:
  Transport(ActionEntryVm& owner, RequestId request_id)
      : entry_vm(owner),
        process_generation(owner.process_generation),
        request(std::move(request_id)) {}

  void SendAction(ServerIndex /*server*/,
                  const BackendAction& action,
                  MonotonicTime deadline,
                  const std::function<void(ActionAttemptOutcome)>& done) {
    SeededRandom& random = this->entry_vm.context.random;
    const double outcome_draw = random.NextDouble();
    if (outcome_draw < kRefusedProbability) {
      this->ReportAfter(this->ServiceTime(), AttemptFailure::kShed, done);
    } else if (outcome_draw < kRefusedProbability + kNotSentProbability) {
      this->ReportAfter(Duration::zero(), AttemptFailure::kNotSent, done);
    } else if (outcome_draw <
               kRefusedProbability + kNotSentProbability + kLostProbability) {
      this->RecordRunAfter(this->ServiceTime(), action);
      this->ReportAfter(this->ServiceTime(), this->ConnectionLossFailure(),
                        done);
    } else {
      this->RunAndReply(action, deadline, done);
    }
  }

  VirtualTimer After(Duration delay, std::function<void()> task) {
    return VirtualTimer(this->entry_vm.context.events, delay,
                        this->IfSameProcess(std::move(task)));
  }

  void PostAfter(Duration delay, std::function<void()> task) {
    this->entry_vm.context.events.After(delay,
                                        this->IfSameProcess(std::move(task)));
  }

 private:
  using Done = std::function<void(ActionAttemptOutcome)>;

  AttemptFailure ConnectionLossFailure() const {
    return this->entry_vm.context.planted_bug == PlantedBug::kReleasedAfterSend
               ? AttemptFailure::kNotSent
               : AttemptFailure::kConnectionLost;
  }

  Duration ServiceTime() {
    return Duration(static_cast<std::int64_t>(
        this->entry_vm.context.random.NextBelow(kMaxServiceMicros)));
  }

  // Wraps a task so that it does nothing after the process has been restarted.
  std::function<void()> IfSameProcess(std::function<void()> task) {
    return [this, task = std::move(task)] {
      if (this->process_generation == this->entry_vm.process_generation) {
        task();
      }
    };
  }

  void ReportAfter(Duration delay,
                   ActionAttemptOutcome outcome,
                   const Done& done) {
    this->entry_vm.context.events.After(
        delay, this->IfSameProcess(
                   [outcome = std::move(outcome), done] { done(outcome); }));
  }

  void RecordRunAfter(Duration delay, const BackendAction& action) {
    this->entry_vm.context.events.After(
        delay, [&checker = this->entry_vm.context.checker, key = action.key,
                id = this->request] { checker.OnActionRan(key, id); });
  }

  void RunAndReply(const BackendAction& action,
                   MonotonicTime deadline,
                   const Done& done) {
    const Duration delay = this->ServiceTime();
    this->RecordRunAfter(delay, action);
    if (this->entry_vm.context.events.now() + delay > deadline) {
      this->ReportAfter(deadline - this->entry_vm.context.events.now(),
                        AttemptFailure::kTimeout, done);
      return;
    }
    BackendActionReply reply;
    reply.attempt = action.attempt;
    reply.result = "result of " + this->request.value();
    this->ReportAfter(delay, reply, done);
  }

  ActionEntryVm& entry_vm;
  std::uint64_t process_generation;
  RequestId request;
};

struct ActionEntryVm::RequestState {
  RequestState(ActionEntryVm& entry_vm, const RequestId& request)
      : ledger(entry_vm), transport(entry_vm, request) {}

  Ledger ledger;
  Transport transport;
};

ActionEntryVm::ActionEntryVm(
    SimulationContext simulation_context,
    VmId vm_id,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : context(simulation_context),
      vm(std::move(vm_id)),
      client(context, vm, control_vms),
      clock(context.events) {
  this->AddServers();
}

void ActionEntryVm::AddServers() {
  std::vector<ServerRecord> records;
  for (std::uint64_t i = 0; i < kServerCount; ++i) {
    ServerRecord record;
    record.server = BackendServerId(fmt::format("server-{}", i + 1));
    record.service = ServiceId("billing");
    records.push_back(record);
  }
  this->table.UpdateRecords(this->clock.Now(), records);
  StatusReport report;
  report.slots = 1'000;
  report.connection_limit = 1'000;
  report.load.newest_snapshot = SnapshotId(1);
  report.snapshots = {{SnapshotId(1), {ShardId(0)}, {ShardId(0)}}};
  for (const ServerIndex server : this->table.AllServers()) {
    this->table.UpdateStatus(this->clock.Now(), server, report);
  }
}

void ActionEntryVm::Run(const ActionRequest& request, Done done) {
  using Running = RunningAction<Ledger, Transport, VirtualClock>;
  // Pending events may refer to this state, so it is kept until the action has
  // certainly ended.
  auto request_state = std::make_shared<RequestState>(*this, request.request);
  RunActionSettings settings;
  settings.vm = this->vm;
  const std::uint64_t generation = this->process_generation;
  auto running = std::make_shared<Running>(
      request, settings, this->table, request_state->ledger,
      request_state->transport, this->clock, this->context.random.Next(),
      [this, generation, done = std::move(done)](ActionOutcome outcome) {
        if (this->process_generation == generation) {
          done(std::move(outcome));
        }
      });
  running->Start();
  constexpr Duration kMaxRunTime = std::chrono::minutes(5);
  this->context.events.After(kMaxRunTime, [request_state, running] {});
}

}  // namespace marigold
