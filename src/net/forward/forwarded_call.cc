#include "src/net/forward/forwarded_call.h"

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

bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 ||
         status == static_cast<unsigned>(kStatusUnavailable);
}

}  // namespace marigold
