#include "src/policy/server_view.h"

namespace marigold {

std::string_view ToString(ServerState state) {
  switch (state) {
    case ServerState::kStarting:
      return "starting";
    case ServerState::kServing:
      return "serving";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kLeaving:
      return "leaving";
    case ServerState::kLost:
      return "lost";
  }
  return "unknown";
}

}  // namespace marigold
