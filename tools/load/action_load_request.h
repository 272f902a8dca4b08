#ifndef TOOLS_LOAD_ACTION_LOAD_REQUEST_H_
#define TOOLS_LOAD_ACTION_LOAD_REQUEST_H_

#include <cstdint>
#include <string>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "tools/load/load_request.h"

namespace marigold {

// One request to run an action. Resends have the same key and another request
// id.
struct ActionLoadRequest {
  LoadRequest request;
  IdempotencyKey key;
  WallTime issued_at;
  // Requests with this key so far, this one included.
  std::uint32_t send_count = 1;
};

// The same action again.
ActionLoadRequest MakeResend(const ActionLoadRequest& action);

// The body of `POST /v1/actions`.
std::string EncodeActionLoadRequest(const ActionLoadRequest& action);

}  // namespace marigold

#endif  // TOOLS_LOAD_ACTION_LOAD_REQUEST_H_
