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

// The result of a request to the control group.
template <class Reply>
struct RequestResult {
  // A reply that is not a refusal. Absent if no control VM sent one.
  std::optional<Reply> reply;
  // The last refusal, if a control VM sent one.
  std::optional<Refusal> refusal;
  // True if a control VM may have carried out the request: an attempt got no
  // reply, or its refusal does not state did-not-run.
  bool may_have_run = false;
  // True if at least one control VM replied.
  bool is_reachable = false;
};

// A blocking client of the control group for the command line. It makes one
// call at a time.
class ControlGroup {
 public:
  // `control_vms` must not be empty. `total_timeout` bounds one
  // `CallUntilAccepted`, which may exceed it by the duration of its last call.
  ControlGroup(std::vector<Endpoint> control_vms, Duration total_timeout);

  // Calls one control VM and waits for the reply. Returns nothing and sets
  // `failure` if there is none. `failure` is unchanged otherwise.
  std::optional<ControlMessage> Call(const Endpoint& control,
                                     const ControlMessage& message,
                                     CallFailure& failure);

  const std::vector<Endpoint>& controls() const { return this->endpoints; }

  // Calls the control VMs in rotation and follows redirects to the leader.
  // Stops when `refusal_of` returns no refusal for a reply, when a refusal is
  // final, or when the timeout has passed. The request must be safe to repeat.
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
      auto received = this->Call(target, message, failure);
      auto* reply = received ? std::get_if<Reply>(&*received) : nullptr;
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
  // Returns the control VM for the attempt with this number, counted from 0.
  // Before each round but the first, waits for `kPauseBetweenRounds` or until
  // `deadline`.
  Endpoint NextInRotation(std::size_t attempt, MonotonicTime deadline);
  // True if every control VM would refuse the request for the same reason.
  static bool IsFinal(const Refusal& refusal);

  std::vector<Endpoint> endpoints;
  Duration timeout;
  SystemClock clock;
  WorkerPool pool;
};

// Prints to standard error why a request has no reply, and returns the exit
// code.
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
