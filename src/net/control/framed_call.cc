#include "src/net/control/framed_call.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "src/net/control/framed_connection.h"

namespace marigold {

namespace {

// State of one call. It needs no lock, because the connection runs its handlers
// one at a time.
struct CallState {
  void Finish(CallOutcome outcome) {
    if (auto finish = std::exchange(this->on_outcome, nullptr)) {
      finish(std::move(outcome));
    }
  }

  std::function<void(CallOutcome)> on_outcome;
  bool is_open = false;
};

CallOutcome DecodeReply(const std::string& body) {
  auto decoded =
      Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
  if (auto* message = std::get_if<ControlMessage>(&decoded)) {
    return std::move(*message);
  }
  return CallFailure::kNoReply;
}

}  // namespace

void CallOnce(WorkerPool& pool,
              const Endpoint& endpoint,
              const ControlMessage& message,
              Duration timeout,
              std::function<void(CallOutcome)> on_outcome) {
  FramedLimits limits;
  limits.connect_timeout = timeout;
  limits.silence_timeout = timeout;
  const auto connection = FramedConnection::Create(pool, limits);
  const auto call = std::make_shared<CallState>();
  call->on_outcome = std::move(on_outcome);
  FramedHandlers handlers;
  handlers.on_open = [call] { call->is_open = true; };
  handlers.on_body = [call, connection](const std::string& body) {
    call->Finish(DecodeReply(body));
    connection->Close();
  };
  handlers.on_closed = [call](CloseReason) {
    call->Finish(call->is_open ? CallFailure::kNoReply
                               : CallFailure::kNotConnected);
  };
  connection->Send(EncodeControlMessage(message));
  connection->Connect(endpoint, std::move(handlers));
}

}  // namespace marigold
