#ifndef TOOLS_SOAK_SUBMIT_CLIENT_H_
#define TOOLS_SOAK_SUBMIT_CLIENT_H_

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "src/commands/control_commands.h"
#include "tools/soak/control_vm.h"

namespace marigold {

// The result of a submission over all its attempts.
using SubmitResult = std::variant<ControlOutcome, Execution>;

// Submits commands from one VM to the control group. Follows redirects to the
// leader and otherwise tries random members. Reports did-not-run only if no
// attempt can have appended the command.
class SubmitClient {
 public:
  SubmitClient(SimulationContext context,
               VmId owner,
               const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Calls `done` exactly once. Without an answer it does so after `timeout`, or
  // up to one attempt timeout (800 ms) later.
  void Submit(const ControlCommand& command,
              Duration timeout,
              std::function<void(SubmitResult)> done);

 private:
  struct Submission;

  void StartAttempt(const std::shared_ptr<Submission>& submission);
  void OnAnswer(const std::shared_ptr<Submission>& submission,
                std::uint64_t attempt_number,
                const SubmitAnswer& answer);
  void OnAttemptTimeout(const std::shared_ptr<Submission>& submission,
                        std::uint64_t attempt_number);
  ControlVm* PickTarget(const std::shared_ptr<Submission>& submission);

  SimulationContext context;
  VmId vm;
  const std::vector<std::unique_ptr<ControlVm>>& controls;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_SUBMIT_CLIENT_H_
