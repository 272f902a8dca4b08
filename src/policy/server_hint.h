#ifndef SRC_POLICY_SERVER_HINT_H_
#define SRC_POLICY_SERVER_HINT_H_

#include <cstdint>

#include "src/core/ids.h"

namespace marigold {

// What one entry VM tells the others of a backend server that it found slow. In
// a large fleet each entry VM sends a server about one request a second, so
// that everybody's own observations come late.
struct ServerHint {
  BackendServerId server;
  // Together with the id it names one start of the server.
  std::int64_t started_at_ms = 0;
  // Its latency over the typical one, in hundredths.
  std::uint32_t slowness_percent = 100;

  bool operator==(const ServerHint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->started_at_ms, this->slowness_percent);
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_HINT_H_
