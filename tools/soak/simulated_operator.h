#ifndef TOOLS_SOAK_SIMULATED_OPERATOR_H_
#define TOOLS_SOAK_SIMULATED_OPERATOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tools/soak/control_vm.h"
#include "tools/soak/submit_client.h"

namespace marigold {

// An operator that edits the lists again and again, against a version that may
// be out of date, and resends an edit whose answer was lost or in doubt.
class SimulatedOperator {
 public:
  SimulatedOperator(SimulationContext context,
                    std::string operator_name,
                    const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Edits until `end`; `pause` lies between two edits.
  void Start(Duration pause, MonotonicTime end);

  // When the last edit was accepted, and the time of its first submission.
  MonotonicTime last_accepted_at() const { return this->accepted_at; }

 private:
  void SubmitNextEdit();
  // `in_doubt` says that an earlier send of the edit may have run, which a
  // refusal of a later one does not change.
  void Submit(const PutRows& edit, int resends_left, bool in_doubt);
  void OnResult(const PutRows& edit,
                int resends_left,
                bool in_doubt,
                const SubmitResult& result);
  PutRows MakeEdit();

  SimulationContext context;
  std::string name;
  SubmitClient client;
  Duration pause_between{};
  MonotonicTime stop_at;
  MonotonicTime accepted_at;
  std::uint64_t edit_count = 0;
  ListVersion known_usage_version;
  ListVersion known_plans_version;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_SIMULATED_OPERATOR_H_
