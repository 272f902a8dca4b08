#ifndef SRC_CORE_VERDICT_H_
#define SRC_CORE_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/units.h"

namespace marigold {

// Says whether a request may have been executed by a backend server or applied
// to the lists.
enum class Execution { kDidNotRun, kMayHaveRun, kRan };

// The reason for a refusal. reason_codes.def lists the codes and their
// meanings.
enum class Reason {
#define REASON(enumerator, code, meaning) enumerator,
#include "src/core/reason_codes.def"
#undef REASON
};

// `kInternal` must be the last row of reason_codes.def.
inline constexpr std::uint64_t kReasonCount =
    static_cast<std::uint64_t>(Reason::kInternal) + 1;

// Stable text for JSON and logs, such as "did_not_run".
std::string_view ToString(Execution execution);

// Stable text for JSON and logs, such as "rate_limited".
std::string_view ToString(Reason reason);

// The meaning of a reason, as one sentence for the API documentation.
std::string_view Describe(Reason reason);

// Returns the reason with this code, or nothing for an unknown code.
std::optional<Reason> ParseReason(std::string_view code);

// The reason why a request has no answer. Used as a Boost.LEAF error object.
struct Refusal {
  Execution execution = Execution::kDidNotRun;
  Reason reason = Reason::kInternal;
  std::string detail;
  // Delay after which a retry may succeed; absent if a retry would not help.
  std::optional<Duration> retry_after;
};

}  // namespace marigold

#endif  // SRC_CORE_VERDICT_H_
