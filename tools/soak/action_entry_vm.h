#ifndef TOOLS_SOAK_ACTION_ENTRY_VM_H_
#define TOOLS_SOAK_ACTION_ENTRY_VM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/commands/run_action.h"
#include "src/tables/server_table.h"
#include "tools/soak/control_vm.h"
#include "tools/soak/submit_client.h"
#include "tools/soak/virtual_clock.h"

namespace marigold {

// An entry VM that runs paid actions with the production handler. It uses the
// ledger of the simulated control group. Its fake backend servers refuse
// actions, lose connections and answer late.
class ActionEntryVm {
 public:
  using Done = std::function<void(ActionOutcome)>;

  ActionEntryVm(SimulationContext context,
                VmId vm_id,
                const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Commands.

  // Calls `done` with the outcome, unless the process is restarted first.
  void Run(const ActionRequest& request, Done done);

  // Restarts the process. All requests that it was running are abandoned.
  void Restart() { ++this->process_generation; }

 private:
  class Ledger;
  class Transport;
  struct RequestState;

  void AddServers();

  SimulationContext context;
  VmId vm;
  SubmitClient client;
  VirtualClock clock;
  ServerTable table;
  std::uint64_t process_generation = 0;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_ACTION_ENTRY_VM_H_
