#ifndef SRC_CTL_MEMBER_COMMANDS_H_
#define SRC_CTL_MEMBER_COMMANDS_H_

#include "src/core/settings_values.h"
#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"
#include "src/replication/types.h"

namespace marigold::ctl {

// Changes one member of the control group and prints the outcome.
ExitCode ChangeMember(ControlGroup& group, const MembershipChange& change);

// Adds the control VM that listens at `address`, which says itself what its
// disk is, as a learner or spare.
ExitCode AddMember(ControlGroup& group,
                   const Endpoint& address,
                   MemberRole role);

}  // namespace marigold::ctl

#endif  // SRC_CTL_MEMBER_COMMANDS_H_
