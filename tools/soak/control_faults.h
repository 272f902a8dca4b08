#ifndef TOOLS_SOAK_CONTROL_FAULTS_H_
#define TOOLS_SOAK_CONTROL_FAULTS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "src/core/units.h"
#include "tools/soak/control_group_simulation.h"

namespace marigold {

// One kind of fault of the control group, its network, its clients or its entry
// VMs.
struct ControlFault {
  std::string_view name;
  std::string_view summary;
  // Mean time between two faults of this kind.
  Duration interval{};
  void (*inject)(ControlGroupSimulation& simulation);
  // Longest time until an accepted edit is in force on all entry VMs while only
  // this kind of fault is injected. Empty if the fault cuts VMs off for longer
  // than any such bound.
  std::optional<Duration> in_force_within;
  // True if the fault may be injected together with any other kind.
  bool is_combinable = true;
};

const std::vector<ControlFault>& ControlFaults();

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_FAULTS_H_
