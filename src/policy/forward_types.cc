#include "src/policy/forward_types.h"

namespace marigold {

std::string_view ToString(ForwardState state) {
  switch (state) {
    case ForwardState::kRunning:
      return "running";
    case ForwardState::kAnswered:
      return "answered";
    case ForwardState::kNotRun:
      return "not_run";
    case ForwardState::kFailed:
      return "failed";
    case ForwardState::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

}  // namespace marigold
