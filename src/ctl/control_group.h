#ifndef SRC_CTL_CONTROL_GROUP_H_
#define SRC_CTL_CONTROL_GROUP_H_

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/settings_values.h"
#include "src/core/verdict.h"
#include "src/ctl/exit_code.h"
#include "src/net/control/framed_call.h"
#include "src/net/worker_pool.h"
#include "src/wire/control_messages.h"

namespace marigold::ctl {

// What became of a request to the group.
template <class Reply>
struct RequestResult {
  // The reply that was accepted.
  std::optional<Reply> reply;
  // The last refusal by a control VM that could not serve the request.
  std::optional<Refusal> refusal;
  // A call without a reply, or refused as such, may have been carried out.
  bool may_have_run = false;
  // Some control VM answered.
  bool is_reachable = false;
};

// The control VMs as an operator's shell reaches them, one call at a time.
class ControlGroup {
 public:
  ControlGroup(std::vector<Endpoint> control_vms, Duration total_timeout);

  // Calls one control VM and waits for the reply; nothing if there is none.
  std::optional<ControlMessage> Call(const Endpoint& control,
                                     const ControlMessage& message,
                                     CallFailure& failure);

  const std::vector<Endpoint>& controls() const { return this->endpoints; }

  // Calls the control VMs in turn and follows redirects to the leader, until
  // `refusal_of` finds no refusal in a reply or the time is over. A request
  // must be safe to repeat.
  template <class Reply, class RefusalOf>
  RequestResult<Reply> CallUntilAccepted(const ControlMessage& message,
                                         RefusalOf&& refusal_of) {
    RequestResult<Reply> result;
    const MonotonicTime deadline = this->clock.Now() + this->timeout;
    std::optional<Endpoint> leader;
    for (std::size_t attempt = 0; this->clock.Now() < deadline; ++attempt) {
      const Endpoint target = leader ? *std::exchange(leader, std::nullopt)
                                     : this->NextInRotation(attempt, deadline);
      CallFailure failure = CallFailure::kNotConnected;
      auto answer = this->Call(target, message, failure);
      auto* reply = answer ? std::get_if<Reply>(&*answer) : nullptr;
      if (reply == nullptr) {
        result.may_have_run =
            result.may_have_run || failure == CallFailure::kNoReply;
        continue;
      }
      result.is_reachable = true;
      std::optional<Refusal> refusal = refusal_of(*reply);
      if (!refusal) {
        result.reply = std::move(*reply);
        return result;
      }
      result.may_have_run =
          result.may_have_run || refusal->execution != Execution::kDidNotRun;
      result.refusal = std::move(refusal);
      if (IsFinal(*result.refusal)) {
        return result;
      }
      if constexpr (requires { reply->leader; }) {
        leader = reply->leader == target ? std::nullopt : reply->leader;
      }
    }
    return result;
  }

 private:
  // The next control VM; waits a while after all have had their turn.
  Endpoint NextInRotation(std::size_t attempt, MonotonicTime deadline);
  // True if no other control VM would answer otherwise.
  static bool IsFinal(const Refusal& refusal);

  std::vector<Endpoint> endpoints;
  Duration timeout;
  SystemClock clock;
  WorkerPool pool;
};

// Prints why a request has no reply, and gives the exit code.
ExitCode ReportFailure(const std::optional<Refusal>& refusal,
                       bool may_have_run,
                       bool is_reachable);

template <class Reply>
ExitCode ReportFailure(const RequestResult<Reply>& result) {
  return ReportFailure(result.refusal, result.may_have_run,
                       result.is_reachable);
}

}  // namespace marigold::ctl

#endif  // SRC_CTL_CONTROL_GROUP_H_
