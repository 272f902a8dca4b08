#ifndef SRC_COMMANDS_ACTION_CONTENT_H_
#define SRC_COMMANDS_ACTION_CONTENT_H_

#include <cstdint>
#include <variant>

#include "src/commands/control_commands.h"
#include "src/policy/action_types.h"

namespace marigold {

// Hash of the service, shard, action and payload of a request. Resends of an
// action have the same hash.
std::uint64_t HashContent(const ActionRequest& request);

// Milliseconds since the Unix epoch.
std::int64_t ToUnixMilliseconds(WallTime time);

// Converts the outcome of a claim. A refusal becomes `kRefused` if the claim
// was certainly not applied, and `kOutcomeUnknown` otherwise.
ClaimReport ToClaimReport(const std::variant<ControlOutcome, Refusal>& outcome);

}  // namespace marigold

#endif  // SRC_COMMANDS_ACTION_CONTENT_H_
