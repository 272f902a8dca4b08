#ifndef SRC_NET_BACKENDS_BACKEND_REPLIES_H_
#define SRC_NET_BACKENDS_BACKEND_REPLIES_H_

#include <optional>

#include "src/net/http/http_message.h"
#include "src/policy/backend_messages.h"

namespace marigold {

// A response that does not belong to the attempt is a bad reply.
AttemptOutcome DecodeReply(const SendAttempt& attempt,
                           const HttpResponse& response);
ActionAttemptOutcome DecodeActionReply(AttemptId attempt,
                                       const HttpResponse& response);

// Nothing if the response is not a status.
std::optional<StatusReport> DecodeStatusReply(const HttpResponse& response);

// True if the reply or refusal says that the server is draining.
template <class Outcome>
bool ReportsDraining(const Outcome& outcome) {
  if (const auto* failure = std::get_if<AttemptFailure>(&outcome)) {
    return *failure == AttemptFailure::kDraining;
  }
  return std::get<0>(outcome).load.state == ServerState::kDraining;
}

template <class Outcome>
bool IsBadReply(const Outcome& outcome) {
  const auto* failure = std::get_if<AttemptFailure>(&outcome);
  return failure != nullptr && *failure == AttemptFailure::kBadReply;
}

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_REPLIES_H_
