#ifndef TOOLS_SOAK_SIMULATED_OPERATOR_H_
#define TOOLS_SOAK_SIMULATED_OPERATOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tools/soak/control_vm.h"
#include "tools/soak/submit_client.h"

namespace marigold {

// An operator that edits the lists repeatedly. An edit may expect an outdated
// version. The operator resends an edit whose answer was lost or whose outcome
// is unknown.
class SimulatedOperator {
 public:
  SimulatedOperator(SimulationContext context,
                    std::string operator_name,
                    const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Submits edits until `end` and waits for `pause` after each.
  void Start(Duration pause, MonotonicTime end);

  // The virtual time at which the operator was last told that an edit was
  // accepted.
  MonotonicTime last_accepted_at() const { return this->accepted_at; }

 private:
  void SubmitNextEdit();
  // `in_doubt` is true if an earlier submission of the edit may have been
  // applied. A refusal of a later submission does not change that.
  void Submit(const PutRows& edit, int resends_left, bool in_doubt);
  void OnResult(const PutRows& edit,
                int resends_left,
                bool in_doubt,
                const SubmitResult& result);
  PutRows MakeEdit();

  SimulationContext context;
  std::string name;
  SubmitClient client;
  Duration pause_between_edits{};
  MonotonicTime end_at;
  MonotonicTime accepted_at;
  std::uint64_t edit_count = 0;
  ListVersion known_usage_version;
  ListVersion known_plans_version;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_SIMULATED_OPERATOR_H_
