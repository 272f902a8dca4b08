#ifndef SRC_NET_FORWARD_CALL_END_H_
#define SRC_NET_FORWARD_CALL_END_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/net/forward/call_log.h"
#include "src/net/forward/caller_session.h"
#include "src/net/forward/message_codec.h"
#include "src/policy/forward_types.h"
#include "src/tables/forward_metrics.h"

namespace marigold {

inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// A request as its caller sees it.
struct CallerSide {
  std::shared_ptr<CallerSession> session;
  RequestId request;
  RouteVersion routes_version;
  // True once the caller has closed its connection.
  bool is_disconnected = false;
  // Called once the call has ended.
  std::function<void(Congestion congestion)> on_finished;
  // Called if the request ended without having been sent anywhere.
  std::function<void()> on_not_sent = [] {};
};

// Records the end of a request in the log and the metrics, and answers the
// caller unless it is gone. `summary` lacks only the fields that `caller` and
// `state` determine. `encode` returns the whole response.
void FinishCall(
    ForwardMetrics& metrics,
    const CallerSide& caller,
    const CallLog& log,
    CallSummary summary,
    ForwardState state,
    const std::function<std::string(bool closes_connection)>& encode);

// Encodes the answer to a request that ended without one from a server.
// `retry_delay` is called only if the request did not run, and returns how long
// the caller should wait. It looks at all targets of the request, which is too
// expensive for each failure of a fan-out.
template <ForwardMessageCodec MessageCodec, class RetryDelayFunction>
std::string EncodeFailure(ForwardState state,
                          const RetryDelayFunction& retry_delay,
                          bool closes_connection) {
  if (state == ForwardState::kNotRun) {
    return MessageCodec::WriteLocalAnswer(
        {kStatusUnavailable, "no backend server took the request",
         retry_delay()},
        closes_connection);
  }
  if (state == ForwardState::kTimedOut) {
    return MessageCodec::WriteLocalAnswer(
        {kStatusGatewayTimeout, "no answer within the time", std::nullopt},
        closes_connection);
  }
  return MessageCodec::WriteLocalAnswer(
      {kStatusBadGateway, "the backend servers failed", std::nullopt},
      closes_connection);
}

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALL_END_H_
