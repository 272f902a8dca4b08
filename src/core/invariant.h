#ifndef SRC_CORE_INVARIANT_H_
#define SRC_CORE_INVARIANT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold {

// The invariants of the system. docs/design.md section 1.1 describes each of
// them.
enum class Invariant {
  kOneSnapshot,
  kTrueCoverage,
  kOwnAnswer,
  kDidNotRunIsTrue,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kShutdownCutsNothing,
  kListNeverReverts,
  kShareSum,
};

inline constexpr std::size_t kInvariantCount = 9;

// Stable text for logs and metric labels, such as "one_snapshot".
std::string_view ToString(Invariant invariant);

// The reaction to a violation after it was counted and logged.
enum class ViolationReaction { kCount, kAbort };

// Sets the reaction for the whole process; the default is `kCount`. Tests and
// the soak program use `kAbort`.
void SetViolationReaction(ViolationReaction reaction);

// Counts and logs a violation if `holds` is false.
void CheckInvariant(Invariant invariant, bool holds, std::string_view detail);

// Number of violations since the process started, indexed by `Invariant`.
std::array<std::uint64_t, kInvariantCount> InvariantViolations();

// Returns the violations on the calling thread since the last call, as "name:
// detail". A program that runs many seeds on several threads uses it to
// attribute each violation to a seed.
std::vector<std::string> TakeThreadViolations();

}  // namespace marigold

#endif  // SRC_CORE_INVARIANT_H_
