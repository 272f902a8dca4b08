#include "src/net/forward/call_end.h"

namespace marigold {

void FinishCall(
    ForwardMetrics& metrics,
    const CallerSide& caller,
    const CallLog& log,
    CallSummary summary,
    ForwardState state,
    const std::function<std::string(bool closes_connection)>& encode) {
  summary.request = caller.request.value();
  summary.routes_version = caller.routes_version;
  summary.state = caller.is_disconnected ? "caller_gone" : ToString(state);
  metrics.OnFinished(summary.state, summary.latency);
  log.Write(summary);
  if (state == ForwardState::kNotRun && summary.send_count == 0) {
    caller.on_not_sent();
  }
  // Called before the answer, because the session may begin its next request
  // while it sends the answer.
  caller.on_finished(summary.congestion);
  if (!caller.is_disconnected) {
    // If this entry VM could not send the request to any server, the connection
    // closes: over a new connection the caller may reach another entry VM.
    const bool closes_connection =
        caller.session->MustClose() ||
        (state == ForwardState::kNotRun && summary.send_count == 0);
    caller.session->Answer(encode(closes_connection), closes_connection);
  }
}

}  // namespace marigold
