#ifndef SRC_POLICY_SERVER_HINT_H_
#define SRC_POLICY_SERVER_HINT_H_

#include <cstdint>

#include "src/core/ids.h"

namespace marigold {

// A report from one entry VM to the others that it has found a backend server
// slow. In a large fleet each entry VM sends only about one request a second to
// a server, so that it would detect a slow server late from its own
// observations alone.
struct ServerHint {
  BackendServerId server;
  // The start time of the server in Unix milliseconds, or 0 if it is unknown.
  // Together with the id it identifies one start of the server.
  std::int64_t started_at_ms = 0;
  // The ratio of the server's latency to that of a typical server, in percent.
  std::uint32_t slowness_percent = 100;

  bool operator==(const ServerHint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->started_at_ms, this->slowness_percent);
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_HINT_H_
