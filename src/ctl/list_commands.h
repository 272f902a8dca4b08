#ifndef SRC_CTL_LIST_COMMANDS_H_
#define SRC_CTL_LIST_COMMANDS_H_

#include <optional>
#include <string>

#include "src/commands/control_commands.h"
#include "src/core/ids.h"
#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"

namespace marigold::ctl {

// The arguments of `put`.
struct PutOptions {
  ListKind list = ListKind::kPlans;
  // Path of the file with the rows.
  std::string file;
  // Identifies the edit. If absent, a random id is generated and printed. An
  // edit must be resent with the same id.
  std::optional<ChangeId> change;
  // The version of the list that the edit is based on. If absent, the current
  // version is read from the group.
  std::optional<ListVersion> expected_version;
};

// Submits an edit and prints the outcome as JSON. The flags that a resend needs
// are printed to standard error before the edit is sent.
ExitCode PutList(ControlGroup& group, const PutOptions& options);

}  // namespace marigold::ctl

#endif  // SRC_CTL_LIST_COMMANDS_H_
