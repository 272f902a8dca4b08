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
struct Asked {
  // The reply that was accepted.
  std::optional<Reply> reply;
  // The last refusal by a control VM that could not serve the request.
  std::optional<Refusal> refusal;
  // A call without a reply, or refused as such, may have been carried out.
  bool in_doubt = false;
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
  Asked<Reply> Ask(const ControlMessage& message, RefusalOf&& refusal_of) {
    Asked<Reply> asked;
    const MonotonicTime deadline = this->clock.Now() + this->timeout;
    std::optional<Endpoint> leader;
    for (std::size_t turn = 0; this->clock.Now() < deadline; ++turn) {
      const Endpoint target = leader ? *std::exchange(leader, std::nullopt)
                                     : this->InTurn(turn, deadline);
      CallFailure failure = CallFailure::kNotConnected;
      auto answer = this->Call(target, message, failure);
      auto* reply = answer ? std::get_if<Reply>(&*answer) : nullptr;
      if (reply == nullptr) {
        asked.in_doubt = asked.in_doubt || failure == CallFailure::kNoReply;
        continue;
      }
      asked.is_reachable = true;
      std::optional<Refusal> refusal = refusal_of(*reply);
      if (!refusal) {
        asked.reply = std::move(*reply);
        return asked;
      }
      asked.in_doubt =
          asked.in_doubt || refusal->execution != Execution::kDidNotRun;
      asked.refusal = std::move(refusal);
      if (IsFinal(*asked.refusal)) {
        return asked;
      }
      if constexpr (requires { reply->leader; }) {
        leader = reply->leader == target ? std::nullopt : reply->leader;
      }
    }
    return asked;
  }

 private:
  // The next control VM; waits a while after all have had their turn.
  Endpoint InTurn(std::size_t turn, MonotonicTime deadline);
  // True if no other control VM would answer otherwise.
  static bool IsFinal(const Refusal& refusal);

  std::vector<Endpoint> endpoints;
  Duration timeout;
  SystemClock clock;
  WorkerPool pool;
};

// Prints why a request has no reply, and gives the exit code.
ExitCode ReportFailure(const std::optional<Refusal>& refusal,
                       bool in_doubt,
                       bool is_reachable);

template <class Reply>
ExitCode ReportFailure(const Asked<Reply>& asked) {
  return ReportFailure(asked.refusal, asked.in_doubt, asked.is_reachable);
}

}  // namespace marigold::ctl

#endif  // SRC_CTL_CONTROL_GROUP_H_
