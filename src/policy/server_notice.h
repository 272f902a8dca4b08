#ifndef SRC_POLICY_SERVER_NOTICE_H_
#define SRC_POLICY_SERVER_NOTICE_H_

#include <optional>

#include "src/core/units.h"

namespace marigold {

// What a backend server says about itself along with a reply.
struct ServerNotice {
  // True if the server is about to stop and must get no new requests.
  bool is_leaving = false;
  // How long this process must not send requests to the server. Empty if the
  // server does not ask for a pause.
  std::optional<Duration> pause;
  // True if the reply states a pause that can't be read. It is ignored.
  bool has_invalid_pause = false;

  bool is_empty() const {
    return !this->is_leaving && !this->pause && !this->has_invalid_pause;
  }
};

// What a notice has changed.
struct NoticeEffect {
  bool began_to_leave = false;
  bool began_to_pause = false;
  // True for the first invalid pause of the server in a while.
  bool reports_invalid_pause = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_NOTICE_H_
