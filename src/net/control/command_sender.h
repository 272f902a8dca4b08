#ifndef SRC_NET_CONTROL_COMMAND_SENDER_H_
#define SRC_NET_CONTROL_COMMAND_SENDER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/clock.h"
#include "src/net/control/control_client.h"
#include "src/net/control/framed_connection.h"
#include "src/net/serial_queue.h"
#include "src/policy/control_choice.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Sends commands to the leader of the control group. A command whose reply is
// lost is sent again. This is safe because the state machine gives a repeated
// command the reply of its first execution. All methods must be called on the
// queue.
class CommandSender : public std::enable_shared_from_this<CommandSender> {
 public:
  using OnOutcome = std::function<void(SubmitOutcome)>;

  // `controls` must not be empty.
  CommandSender(WorkerPool& worker_pool,
                SerialQueue serial_queue,
                std::vector<Endpoint> controls);

  // Commands.

  // Calls `on_outcome` exactly once on the queue. At the deadline, the outcome
  // is a `Refusal` with the reason of the last failed attempt.
  void Submit(ControlCommand command,
              MonotonicTime deadline,
              OnOutcome on_outcome);
  // Replaces the members of the group, to which commands are sent.
  void OnListed(const std::vector<ListedControl>& listed);
  // Closes all connections and refuses all pending and all further commands.
  void Stop();

 private:
  using ConnectionPtr = std::shared_ptr<FramedConnection>;

  // The connection to one control VM, and the calls sent on it that have no
  // reply yet.
  struct Channel {
    ConnectionPtr connection;
    bool is_open = false;
    std::set<CallId> calls;
  };

  struct PendingCommand {
    ControlCommand command;
    MonotonicTime deadline;
    OnOutcome on_outcome;
    // True if an earlier attempt may have been appended to the log.
    bool may_have_run = false;
    // Why the last attempt failed. Reported if no later attempt succeeds.
    Reason last_failure_reason = Reason::kNoQuorum;
    std::string last_failure_detail;
    // The control VM that the current attempt was sent to. Absent between
    // attempts.
    std::optional<Endpoint> target;
    std::uint32_t redirects = 0;
    // Ends the current attempt or begins the next one.
    TimerHandle timer;
  };

  using Calls = std::map<CallId, PendingCommand>;

  void BeginAttempt(CallId call);
  Endpoint ChooseTarget();
  Channel& ChannelTo(const Endpoint& endpoint);
  void OnBody(const Endpoint& endpoint,
              const ConnectionPtr& from,
              const std::string& body);
  void OnReply(const Endpoint& endpoint, SubmitReply reply);
  void OnClosed(const Endpoint& endpoint, const ConnectionPtr& closed);
  void OnAttemptTimeout(CallId call);
  void OnRefused(CallId call, const Endpoint& endpoint, SubmitReply reply);
  // Ends the current attempt and begins the next one after `delay`.
  void Retry(CallId call, Duration delay);
  void Finish(CallId call, SubmitOutcome outcome);
  void FinishUnanswered(CallId call);
  void DetachFromChannel(CallId call);

  WorkerPool& pool;
  SerialQueue queue;
  SystemClock clock;
  ControlChoice choice;
  std::optional<Endpoint> leader;
  std::map<Endpoint, Channel> channels;
  Calls calls;
  CallId last_call_id;
  bool is_stopped = false;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_COMMAND_SENDER_H_
