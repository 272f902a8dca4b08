#include "tools/soak/action_entry.h"

#include <fmt/format.h>

#include <utility>

namespace marigold {

namespace {

constexpr std::uint64_t kServers = 3;
constexpr double kRefusedPart = 0.15;
constexpr double kNotSentPart = 0.1;
constexpr double kLostPart = 0.1;
constexpr std::int64_t kLongestServiceMicros = 200'000;

}  // namespace

// The ledger as one process of the entry VM sees it.
class ActionEntry::Ledger {
 public:
  explicit Ledger(ActionEntry& owner) : entry(owner), process(owner.process) {}

  void Submit(const ControlCommand& command,
              Duration timeout,
              std::function<void(std::variant<ControlOutcome, Refusal>)> done) {
    if (this->process != this->entry.process) {
      return;
    }
    if (this->entry.shared.plant == Plant::kSentBeforeClaim &&
        std::holds_alternative<ClaimAction>(command)) {
      this->entry.client.Submit(command, timeout, [](const SubmitResult&) {});
      done(ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""}));
      return;
    }
    this->entry.client.Submit(
        command, timeout,
        [this, done = std::move(done)](const SubmitResult& result) {
          if (this->process != this->entry.process) {
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
  ActionEntry& entry;
  std::uint64_t process;
};

// Connections to the backend servers, for one request.
class ActionEntry::Transport {
 public:
  Transport(ActionEntry& owner, RequestId request_id)
      : entry(owner), process(owner.process), request(std::move(request_id)) {}

  void SendAction(ServerIndex /*server*/,
                  const BackendAction& action,
                  MonotonicTime deadline,
                  const std::function<void(ActionAttemptOutcome)>& done) {
    SeededRandom& random = this->entry.shared.random;
    const double fate = random.NextDouble();
    if (fate < kRefusedPart) {
      this->Report(this->ServiceTime(), AttemptFailure::kShed, done);
    } else if (fate < kRefusedPart + kNotSentPart) {
      this->Report(Duration::zero(), AttemptFailure::kNotSent, done);
    } else if (fate < kRefusedPart + kNotSentPart + kLostPart) {
      this->RunAfter(this->ServiceTime(), action);
      this->Report(this->ServiceTime(), this->LostFailure(), done);
    } else {
      this->RunAndReply(action, deadline, done);
    }
  }

  VirtualTimer After(Duration delay, std::function<void()> task) {
    return VirtualTimer(this->entry.shared.events, delay,
                        this->Guarded(std::move(task)));
  }

  void PostAfter(Duration delay, std::function<void()> task) {
    this->entry.shared.events.After(delay, this->Guarded(std::move(task)));
  }

 private:
  using Done = std::function<void(ActionAttemptOutcome)>;

  AttemptFailure LostFailure() const {
    return this->entry.shared.plant == Plant::kReleasedAfterSend
               ? AttemptFailure::kNotSent
               : AttemptFailure::kConnectionLost;
  }

  Duration ServiceTime() {
    return Duration(static_cast<std::int64_t>(
        this->entry.shared.random.NextBelow(kLongestServiceMicros)));
  }

  // Drops a task of a process that has ended.
  std::function<void()> Guarded(std::function<void()> task) {
    return [this, task = std::move(task)] {
      if (this->process == this->entry.process) {
        task();
      }
    };
  }

  void Report(Duration delay, ActionAttemptOutcome outcome, const Done& done) {
    this->entry.shared.events.After(
        delay,
        this->Guarded([outcome = std::move(outcome), done] { done(outcome); }));
  }

  void RunAfter(Duration delay, const BackendAction& action) {
    this->entry.shared.events.After(
        delay, [&judge = this->entry.shared.judge, key = action.key,
                id = this->request] { judge.OnActionRan(key, id); });
  }

  void RunAndReply(const BackendAction& action,
                   MonotonicTime deadline,
                   const Done& done) {
    const Duration delay = this->ServiceTime();
    this->RunAfter(delay, action);
    if (this->entry.shared.events.now() + delay > deadline) {
      this->Report(deadline - this->entry.shared.events.now(),
                   AttemptFailure::kTimeout, done);
      return;
    }
    BackendActionReply reply;
    reply.attempt = action.attempt;
    reply.result = "result of " + this->request.value();
    this->Report(delay, reply, done);
  }

  ActionEntry& entry;
  std::uint64_t process;
  RequestId request;
};

struct ActionEntry::Context {
  Context(ActionEntry& entry, const RequestId& request)
      : ledger(entry), transport(entry, request) {}

  Ledger ledger;
  Transport transport;
};

ActionEntry::ActionEntry(
    Surroundings surroundings,
    VmId vm_id,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : shared(surroundings),
      vm(std::move(vm_id)),
      client(shared, vm, control_vms),
      clock(shared.events) {
  this->AddServers();
}

void ActionEntry::AddServers() {
  std::vector<ServerRecord> records;
  for (std::uint64_t i = 0; i < kServers; ++i) {
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

void ActionEntry::Run(const ActionRequest& request, Done done) {
  using Running = RunningAction<Ledger, Transport, VirtualClock>;
  // Lives as long as the run: events may still refer to it.
  auto context = std::make_shared<Context>(*this, request.request);
  RunActionSettings settings;
  settings.vm = this->vm;
  const std::uint64_t process_then = this->process;
  auto running = std::make_shared<Running>(
      request, settings, this->table, context->ledger, context->transport,
      this->clock, this->shared.random.Next(),
      [this, process_then, done = std::move(done)](ActionOutcome outcome) {
        if (this->process == process_then) {
          done(std::move(outcome));
        }
      });
  running->Start();
  constexpr Duration kLongestRun = std::chrono::minutes(5);
  this->shared.events.After(kLongestRun, [context, running] {});
}

}  // namespace marigold
