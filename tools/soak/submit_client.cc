#include "tools/soak/submit_client.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace marigold {

namespace {

constexpr Duration kAttemptTimeout = std::chrono::milliseconds(800);
constexpr Duration kRetryPause = std::chrono::milliseconds(50);

}  // namespace

struct SubmitClient::Submission {
  ControlCommand command;
  MonotonicTime deadline;
  std::function<void(SubmitResult)> done;
  std::optional<VmId> target;
  std::uint64_t attempt_number = 0;
  // True if some attempt may have appended the command.
  bool in_doubt = false;
  bool ended = false;

  void Finish(SubmitResult result) {
    this->ended = true;
    this->done(std::move(result));
  }
};

SubmitClient::SubmitClient(
    SimulationContext simulation_context,
    VmId owner,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : context(simulation_context),
      vm(std::move(owner)),
      controls(control_vms) {}

void SubmitClient::Submit(const ControlCommand& command,
                          Duration timeout,
                          std::function<void(SubmitResult)> done) {
  auto submission = std::make_shared<Submission>();
  submission->command = command;
  submission->deadline = this->context.events.now() + timeout;
  submission->done = std::move(done);
  this->StartAttempt(submission);
}

void SubmitClient::StartAttempt(const std::shared_ptr<Submission>& submission) {
  if (submission->ended) {
    return;
  }
  if (this->context.events.now() >= submission->deadline) {
    submission->Finish(submission->in_doubt ? Execution::kMayHaveRun
                                            : Execution::kDidNotRun);
    return;
  }
  const std::uint64_t attempt_number = ++submission->attempt_number;
  ControlVm* target = this->PickTarget(submission);
  const VmId target_id = target->id();
  this->context.network.Send(
      this->vm, target_id,
      [this, submission, attempt_number, target, target_id] {
        target->Submit(submission->command, [this, submission, attempt_number,
                                             target_id](
                                                const SubmitAnswer& answer) {
          this->context.network.Send(
              target_id, this->vm, [this, submission, attempt_number, answer] {
                this->OnAnswer(submission, attempt_number, answer);
              });
        });
      });
  this->context.events.After(
      kAttemptTimeout, [this, submission, attempt_number] {
        this->OnAttemptTimeout(submission, attempt_number);
      });
}

void SubmitClient::OnAnswer(const std::shared_ptr<Submission>& submission,
                            std::uint64_t attempt_number,
                            const SubmitAnswer& answer) {
  if (submission->ended) {
    return;
  }
  if (const auto* outcome = std::get_if<ControlOutcome>(&answer)) {
    submission->Finish(*outcome);
    return;
  }
  if (submission->attempt_number != attempt_number) {
    return;
  }
  const auto& refusal = std::get<SubmitRefusal>(answer);
  submission->in_doubt = submission->in_doubt || refusal.may_commit;
  submission->target = refusal.leader;
  ++submission->attempt_number;
  this->context.events.After(
      kRetryPause, [this, submission] { this->StartAttempt(submission); });
}

// The command may still be in flight, so the submission remains in doubt from
// now on.
void SubmitClient::OnAttemptTimeout(
    const std::shared_ptr<Submission>& submission,
    std::uint64_t attempt_number) {
  if (submission->ended || submission->attempt_number != attempt_number) {
    return;
  }
  submission->in_doubt =
      this->context.planted_bug != PlantedBug::kDoubtReportedAsDidNotRun;
  submission->target.reset();
  this->StartAttempt(submission);
}

ControlVm* SubmitClient::PickTarget(
    const std::shared_ptr<Submission>& submission) {
  if (submission->target) {
    const auto known = std::find_if(
        this->controls.begin(), this->controls.end(), [&](const auto& control) {
          return control->id() == *submission->target;
        });
    if (known != this->controls.end()) {
      return known->get();
    }
  }
  return this->controls[this->context.random.NextBelow(this->controls.size())]
      .get();
}

}  // namespace marigold
