#ifndef SRC_CTL_MEMBER_COMMANDS_H_
#define SRC_CTL_MEMBER_COMMANDS_H_

#include "src/core/settings_values.h"
#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"
#include "src/replication/types.h"

namespace marigold::ctl {

// Submits a membership change and prints "done" or, to standard error, why it
// was refused.
ExitCode ChangeMember(ControlGroup& group, const MembershipChange& change);

// Adds the control VM at `address` to the group with `role`, a learner or
// spare. Its id and the id of its disk are read from its own status.
ExitCode AddMember(ControlGroup& group,
                   const Endpoint& address,
                   MemberRole role);

}  // namespace marigold::ctl

#endif  // SRC_CTL_MEMBER_COMMANDS_H_
