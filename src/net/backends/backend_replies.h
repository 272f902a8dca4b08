#ifndef SRC_NET_BACKENDS_BACKEND_REPLIES_H_
#define SRC_NET_BACKENDS_BACKEND_REPLIES_H_

#include <optional>

#include "src/net/http/http_message.h"
#include "src/policy/backend_messages.h"

namespace marigold {

// Decodes the response to a search or action attempt. Returns `kBadReply` if
// the response is malformed or belongs to another attempt.
AttemptOutcome DecodeReply(const SendAttempt& attempt,
                           const HttpResponse& response);
ActionAttemptOutcome DecodeActionReply(AttemptId attempt,
                                       const HttpResponse& response);

// Returns nothing if the response is not a valid status report.
std::optional<StatusReport> DecodeStatusReply(const HttpResponse& response);

// Returns true if the reply or refusal reports that the server is draining.
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
