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
  // The connection could not be opened, so nothing was sent.
  kNotConnected,
  // The message may have been sent. The connection then closed or timed out, or
  // the peer sent an undecodable message.
  kNoReply,
};

using CallOutcome = std::variant<ControlMessage, CallFailure>;

// Opens a connection, sends one message, waits for the first message in reply
// and closes the connection. `timeout` applies to the connect and to the wait
// separately. `on_outcome` runs exactly once, on any worker.
void CallOnce(WorkerPool& pool,
              const Endpoint& endpoint,
              const ControlMessage& message,
              Duration timeout,
              std::function<void(CallOutcome)> on_outcome);

}  // namespace marigold

#endif  // SRC_NET_CONTROL_FRAMED_CALL_H_
