#ifndef SRC_CTL_GROUP_QUERIES_H_
#define SRC_CTL_GROUP_QUERIES_H_

#include <cstdint>

#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"

namespace marigold::ctl {

// Prints the latest edits, newest first.
ExitCode PrintHistory(ControlGroup& group, std::uint64_t limit, bool as_json);

// Prints every control VM's state, the members, and per entry VM the lists in
// force, their age and who lags. Unreachable unless a control VM leads with a
// quorum.
ExitCode PrintStatus(ControlGroup& group, bool as_json);

// Prints all that the control VMs know as one JSON object.
ExitCode PrintDump(ControlGroup& group);

}  // namespace marigold::ctl

#endif  // SRC_CTL_GROUP_QUERIES_H_
