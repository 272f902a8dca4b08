#ifndef SRC_COMMANDS_CHECK_COMMAND_H_
#define SRC_COMMANDS_CHECK_COMMAND_H_

#include <optional>

#include "src/commands/control_commands.h"
#include "src/core/verdict.h"

namespace marigold {

// Checks a command before it is proposed to the replicated log. Returns a
// refusal, or nothing if the command is valid. The rows of an edit are not
// checked here, because the state machine checks them and lists all their
// errors.
std::optional<Refusal> CheckCommand(const ControlCommand& command);

}  // namespace marigold

#endif  // SRC_COMMANDS_CHECK_COMMAND_H_
