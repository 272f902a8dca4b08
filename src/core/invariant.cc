#include "src/core/invariant.h"

#include <atomic>
#include <cstdlib>
#include <utility>

#include "src/core/log.h"

namespace marigold {

namespace {

constexpr std::array<std::string_view, kInvariantCount> kNames = {
    "one_snapshot",          "true_coverage",      "own_answer",
    "did_not_run_is_true",   "at_most_once",       "leaving_gets_no_work",
    "shutdown_cuts_nothing", "list_never_reverts", "share_sum",
};

std::atomic<ViolationReaction> g_violation_reaction{ViolationReaction::kCount};
std::array<std::atomic<std::uint64_t>, kInvariantCount> g_violations{};

// Bounds the memory of a thread that never calls `TakeThreadViolations`.
constexpr std::size_t kMaxThreadViolations = 16;

thread_local std::vector<std::string> g_thread_violations;

}  // namespace

std::string_view ToString(Invariant invariant) {
  return kNames[static_cast<std::size_t>(invariant)];
}

void SetViolationReaction(ViolationReaction reaction) {
  g_violation_reaction = reaction;
}

void CheckInvariant(Invariant invariant, bool holds, std::string_view detail) {
  if (holds) {
    return;
  }
  ++g_violations[static_cast<std::size_t>(invariant)];
  if (g_thread_violations.size() < kMaxThreadViolations) {
    g_thread_violations.push_back(std::string(ToString(invariant)) + ": " +
                                  std::string(detail));
  }
  LogEvent(LogLevel::kError, "invariant_violated",
           {{"invariant", ToString(invariant)}, {"detail", detail}});
  if (g_violation_reaction == ViolationReaction::kAbort) {
    std::abort();
  }
}

std::array<std::uint64_t, kInvariantCount> InvariantViolations() {
  std::array<std::uint64_t, kInvariantCount> counts{};
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    counts[i] = g_violations[i];
  }
  return counts;
}

std::vector<std::string> TakeThreadViolations() {
  return std::exchange(g_thread_violations, {});
}

}  // namespace marigold
