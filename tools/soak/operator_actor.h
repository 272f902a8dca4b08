#ifndef TOOLS_SOAK_OPERATOR_ACTOR_H_
#define TOOLS_SOAK_OPERATOR_ACTOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tools/soak/control_vm.h"
#include "tools/soak/submit_client.h"

namespace marigold {

// An operator that edits the lists again and again, against a version that may
// be out of date, and resends an edit whose answer was lost or in doubt.
class OperatorActor {
 public:
  OperatorActor(Surroundings shared,
                std::string operator_name,
                const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Edits until `end`; `pause` lies between two edits.
  void Start(Duration pause, MonotonicTime end);

  // When the last edit was accepted, and the time of its first submission.
  MonotonicTime last_accepted_at() const { return this->accepted_at; }

 private:
  void Next();
  // `in_doubt` says that an earlier send of the edit may have run, which a
  // refusal of a later one does not change.
  void Submit(const PutRows& edit, int resends_left, bool in_doubt);
  void OnResult(const PutRows& edit,
                int resends_left,
                bool in_doubt,
                const SubmitResult& result);
  PutRows MakeEdit();

  Surroundings shared;
  std::string name;
  SubmitClient client;
  Duration pause_between{};
  MonotonicTime stop_at;
  MonotonicTime accepted_at;
  std::uint64_t edits = 0;
  ListVersion known_usage;
  ListVersion known_plans;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_OPERATOR_ACTOR_H_
