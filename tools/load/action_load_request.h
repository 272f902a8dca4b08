#ifndef TOOLS_LOAD_ACTION_LOAD_REQUEST_H_
#define TOOLS_LOAD_ACTION_LOAD_REQUEST_H_

#include <cstdint>
#include <string>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "tools/load/load_request.h"

namespace marigold {

// One request to run an action. A resend has the same idempotency key and a new
// request id.
struct ActionLoadRequest {
  LoadRequest request;
  IdempotencyKey key;
  WallTime issued_at;
  // The number of requests with this key so far, including this one.
  std::uint32_t send_count = 1;
};

// Returns the next request with the same key: `send_count` is one higher, and
// the request id ends with it.
ActionLoadRequest MakeResend(const ActionLoadRequest& action);

// Encodes the body of `POST /v1/actions`.
std::string EncodeActionLoadRequest(const ActionLoadRequest& action);

}  // namespace marigold

#endif  // TOOLS_LOAD_ACTION_LOAD_REQUEST_H_
