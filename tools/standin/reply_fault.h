#ifndef TOOLS_STANDIN_REPLY_FAULT_H_
#define TOOLS_STANDIN_REPLY_FAULT_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "src/core/random.h"
#include "src/core/units.h"

namespace marigold {

// A fault that the stand-in injects into one reply.
enum class ReplyFault {
  kNone,
  // The reply is sent after an additional delay.
  kLate,
  // The reply is sent twice on the same connection.
  kDuplicate,
  // The reply contains the id of another attempt.
  kForeign,
  // The connection is closed in the middle of the body.
  kTruncated,
  // The body is not valid JSON.
  kMalformed,
  // The reply is never sent, nor is any later one on this connection, which
  // stays open.
  kSilent,
};

inline constexpr std::size_t kReplyFaultCount = 7;

// Returns the stable name for flags and logs, such as "duplicate".
std::string_view ToString(ReplyFault fault);

// Returns nothing if the name is unknown or "none".
std::optional<ReplyFault> ParseReplyFault(std::string_view name);

struct ReplyFaultSettings {
  // The fraction of replies with each fault, indexed by `ReplyFault`. The
  // element of `kNone` is not used. The sum has to be at most 1.
  std::array<double, kReplyFaultCount> shares{};
  // The additional delay of `kLate`.
  Duration late_by = std::chrono::milliseconds(200);
};

// Chooses a fault at random. Always draws one random number, so that a change
// of the settings does not shift later draws.
ReplyFault DrawReplyFault(const ReplyFaultSettings& settings,
                          SeededRandom& random);

}  // namespace marigold

#endif  // TOOLS_STANDIN_REPLY_FAULT_H_
