#include "tools/soak/submit_client.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace marigold {

namespace {

constexpr Duration kTryTimeout = std::chrono::milliseconds(800);
constexpr Duration kPauseBetweenTries = std::chrono::milliseconds(50);

}  // namespace

struct SubmitClient::Attempt {
  ControlCommand command;
  MonotonicTime deadline;
  std::function<void(SubmitResult)> done;
  std::optional<VmId> target;
  std::uint64_t try_number = 0;
  // Some try may have appended the command.
  bool in_doubt = false;
  bool ended = false;

  void End(SubmitResult result) {
    this->ended = true;
    this->done(std::move(result));
  }
};

SubmitClient::SubmitClient(
    Surroundings surroundings,
    VmId owner,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : shared(surroundings), vm(std::move(owner)), controls(control_vms) {}

void SubmitClient::Submit(const ControlCommand& command,
                          Duration timeout,
                          std::function<void(SubmitResult)> done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->command = command;
  attempt->deadline = this->shared.events.now() + timeout;
  attempt->done = std::move(done);
  this->Try(attempt);
}

void SubmitClient::Try(const std::shared_ptr<Attempt>& attempt) {
  if (attempt->ended) {
    return;
  }
  if (this->shared.events.now() >= attempt->deadline) {
    attempt->End(attempt->in_doubt ? Execution::kMayHaveRun
                                   : Execution::kDidNotRun);
    return;
  }
  const std::uint64_t try_number = ++attempt->try_number;
  ControlVm* target = this->Pick(attempt);
  const VmId target_id = target->id();
  this->shared.network.Send(
      this->vm, target_id, [this, attempt, try_number, target, target_id] {
        target->Submit(attempt->command, [this, attempt, try_number, target_id](
                                             const SubmitAnswer& answer) {
          this->shared.network.Send(
              target_id, this->vm, [this, attempt, try_number, answer] {
                this->OnAnswer(attempt, try_number, answer);
              });
        });
      });
  this->shared.events.After(kTryTimeout, [this, attempt, try_number] {
    this->OnTryTimeout(attempt, try_number);
  });
}

void SubmitClient::OnAnswer(const std::shared_ptr<Attempt>& attempt,
                            std::uint64_t try_number,
                            const SubmitAnswer& answer) {
  if (attempt->ended) {
    return;
  }
  if (const auto* outcome = std::get_if<ControlOutcome>(&answer)) {
    attempt->End(*outcome);
    return;
  }
  if (attempt->try_number != try_number) {
    return;
  }
  const auto& refusal = std::get<SubmitRefusal>(answer);
  attempt->in_doubt = attempt->in_doubt || refusal.may_commit;
  attempt->target = refusal.leader;
  ++attempt->try_number;
  this->shared.events.After(kPauseBetweenTries,
                            [this, attempt] { this->Try(attempt); });
}

// The command may be under way, so that this try stays in doubt for good.
void SubmitClient::OnTryTimeout(const std::shared_ptr<Attempt>& attempt,
                                std::uint64_t try_number) {
  if (attempt->ended || attempt->try_number != try_number) {
    return;
  }
  attempt->in_doubt = this->shared.plant != Plant::kDoubtReportedAsDidNotRun;
  attempt->target.reset();
  this->Try(attempt);
}

ControlVm* SubmitClient::Pick(const std::shared_ptr<Attempt>& attempt) {
  if (attempt->target) {
    const auto known = std::find_if(
        this->controls.begin(), this->controls.end(),
        [&](const auto& control) { return control->id() == *attempt->target; });
    if (known != this->controls.end()) {
      return known->get();
    }
  }
  return this->controls[this->shared.random.NextBelow(this->controls.size())]
      .get();
}

}  // namespace marigold
