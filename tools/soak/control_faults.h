#ifndef TOOLS_SOAK_CONTROL_FAULTS_H_
#define TOOLS_SOAK_CONTROL_FAULTS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "src/core/units.h"
#include "tools/soak/control_group_simulation.h"

namespace marigold {

// One kind of fault of the control group and its surroundings.
struct ControlFault {
  std::string_view name;
  std::string_view summary;
  // Between two faults of this kind.
  Duration interval{};
  void (*inject)(ControlGroupSimulation& simulation);
  // How soon an accepted edit is in force everywhere while only this kind of
  // fault happens; none where VMs are cut off for longer.
  std::optional<Duration> in_force_within;
  // May happen together with any other kind.
  bool is_combinable = true;
};

const std::vector<ControlFault>& ControlFaults();

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_FAULTS_H_
