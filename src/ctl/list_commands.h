#ifndef SRC_CTL_LIST_COMMANDS_H_
#define SRC_CTL_LIST_COMMANDS_H_

#include <optional>
#include <string>

#include "src/commands/control_commands.h"
#include "src/core/ids.h"
#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"

namespace marigold::ctl {

// One edit as the command line gives it.
struct PutOptions {
  ListKind list = ListKind::kPlans;
  std::string file;
  // Made up and printed if absent; to be given again for a resend.
  std::optional<ChangeId> change;
  // Read from the group if absent.
  std::optional<ListVersion> expected;
};

// Submits an edit and prints the answer as JSON. What a resend needs is printed
// before anything is sent.
ExitCode PutList(ControlGroup& group, const PutOptions& options);

}  // namespace marigold::ctl

#endif  // SRC_CTL_LIST_COMMANDS_H_
