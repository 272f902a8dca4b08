#ifndef SRC_NET_CONTROL_FRAMED_CALL_H_
#define SRC_NET_CONTROL_FRAMED_CALL_H_

#include <functional>
#include <optional>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/worker_pool.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Why a call has no reply.
enum class CallFailure {
  // The connection was not opened; nothing was sent.
  kNotConnected,
  // The connection broke, went silent or carried something else.
  kNoReply,
};

using CallOutcome = std::variant<ControlMessage, CallFailure>;

// Opens a connection, sends one message and takes the first message that comes
// back, within `timeout`. `on_outcome` runs exactly once, on any worker.
void CallOnce(WorkerPool& pool,
              const Endpoint& endpoint,
              const ControlMessage& message,
              Duration timeout,
              std::function<void(CallOutcome)> on_outcome);

}  // namespace marigold

#endif  // SRC_NET_CONTROL_FRAMED_CALL_H_
