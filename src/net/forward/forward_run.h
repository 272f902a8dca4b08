#ifndef SRC_NET_FORWARD_FORWARD_RUN_H_
#define SRC_NET_FORWARD_FORWARD_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/forward/backend_links.h"
#include "src/net/forward/call_log.h"
#include "src/net/forward/message_codec.h"
#include "src/net/forward/strand.h"
#include "src/policy/forwarding.h"
#include "src/tables/backend_table.h"
#include "src/tables/forward_metrics.h"

namespace marigold {

// The objects that the calls of one strand share.
struct CallContext {
  std::shared_ptr<Strand> strand;
  std::shared_ptr<BackendLinks> links;
  BackendTable& backends;
  ForwardMetrics& metrics;
};

// Returns true for a status with which a server promises that the request has
// not run: 408, 421, 429 or 503.
bool PromisesNotExecuted(unsigned status);

// Returns how long a caller should wait whose request did not run.
Duration CurrentRetryDelay(CallContext& context, const ForwardPlan& plan);

// Applies what a server said about itself along with a reply, and logs what it
// changes.
void ApplyNotice(BackendTable& backends,
                 ForwardMetrics& metrics,
                 MonotonicTime now,
                 ServerIndex server,
                 const ServerNotice& notice);

// The request of a run in its encoded form.
struct EncodedRequest {
  RequestId request;
  SendTemplate send_template;
  // The reply to a HEAD request has no body, whatever its Content-Length says.
  bool is_head = false;
};

// Callbacks of a run. Called on its strand.
struct RunHandlers {
  // A target has answered; `ForwardRun::reply` returns the answer.
  std::function<void(std::size_t target)> on_answer;
  // Called after each input. `ForwardRun::state` may have changed.
  std::function<void()> on_progress;
};

// Carries out the steps of a `Forwarding`: sends the request to backend servers
// and checks their replies. Used only on its strand.
template <ForwardMessageCodec MessageCodec>
class ForwardRun
    : public std::enable_shared_from_this<ForwardRun<MessageCodec>> {
 public:
  using RunForwarding =
      Forwarding<BackendTable, LeastExpectedDelay, SeededRandom>;

  ForwardRun(CallContext& call_context,
             EncodedRequest encoded_request,
             ForwardPlan plan,
             RunHandlers run_handlers)
      : context(call_context),
        encoded(std::move(encoded_request)),
        handlers(std::move(run_handlers)),
        replies(plan.targets.size()),
        forwarding(std::move(plan),
                   call_context.backends,
                   LeastExpectedDelay(),
                   call_context.strand->random()),
        timer(call_context.strand) {}

  // Commands.

  void Start() { this->RunSteps(this->forwarding.Start(this->Now())); }

  // Brings the deadlines forward to `end`.
  void EndBy(MonotonicTime end) {
    this->RunSteps(this->forwarding.EndBy(this->Now(), end));
  }

  // Ends the sends in flight. `end_state` is `kAnswered` if their replies may
  // still be read, and `kFailed` if the caller is gone.
  void Abandon(ForwardState end_state) {
    this->RunSteps(this->forwarding.Abandon(this->Now(), end_state));
  }

  // Queries.

  const RunForwarding& progress() const { return this->forwarding; }

  // Returns the state to report. A request has certainly not run if no byte of
  // it was written to any server, or if every server that got it promised that
  // it did not run it.
  ForwardState state() const {
    const ForwardState state = this->forwarding.state();
    const bool has_failed =
        state == ForwardState::kFailed || state == ForwardState::kTimedOut;
    return has_failed && this->sends_possibly_executed == 0
               ? ForwardState::kNotRun
               : state;
  }

  const std::optional<BackendReply>& reply(std::size_t target) const {
    return this->replies[target];
  }
  const std::optional<BackendReply>& error_reply() const {
    return this->last_error_reply;
  }
  const CallLog& failures() const { return this->call_log; }

 private:
  // A non-idempotent request uses only links that the server has certainly not
  // closed by its idle timeout. If a link breaks during an exchange, the
  // request may have run and can't be sent again.
  static constexpr Duration kMaxIdleForNonIdempotent =
      std::chrono::milliseconds(700);
  static constexpr Duration kMaxIdleForIdempotent = std::chrono::seconds(60);

  MonotonicTime Now() const { return this->context.strand->Now(); }

  void RunSteps(const typename RunForwarding::Steps& steps) {
    const auto self = this->shared_from_this();
    for (const ForwardStep& step : steps) {
      std::visit([this](const auto& typed) { this->RunStep(typed); }, step);
    }
    if (this->forwarding.state() != ForwardState::kRunning) {
      this->timer.Stop();
    }
    this->handlers.on_progress();
  }

  void RunStep(const SetForwardTimer& step) {
    this->timer.Set(step.at, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->RunSteps(self->forwarding.OnTimer(self->Now()));
      }
    });
  }

  void RunStep(const StartSend& step) {
    const ListedServer server =
        this->context.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(step.server);
        });
    this->context.metrics.OnSend(step.send.value() >= this->replies.size());
    LinkExchange exchange;
    exchange.request = this->encoded.request;
    exchange.request_bytes = MessageCodec::WriteSend(
        this->encoded.send_template,
        {server.server, this->forwarding.deadline() - this->Now()});
    exchange.request_body = this->encoded.send_template.body;
    exchange.is_head = this->encoded.is_head;
    exchange.is_expected = [id = this->encoded.request](
                               const BackendReply& reply) {
      const std::string_view stated_request = MessageCodec::RequestIdOf(reply);
      return stated_request.empty() || stated_request == id.value();
    };
    exchange.on_reply = [strand = this->context.strand,
                         &backends = this->context.backends,
                         &metrics = this->context.metrics,
                         server = step.server](const BackendReply& reply) {
      ApplyNotice(backends, metrics, strand->Now(), server,
                  MessageCodec::ReadNotice(reply));
    };
    exchange.on_begin = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        ++self->sends_possibly_executed;
      }
    };
    exchange.on_outcome = [weak = this->weak_from_this(),
                           step](LinkOutcome outcome) {
      if (const auto self = weak.lock()) {
        self->OnOutcome(step, std::move(outcome));
      }
    };
    const Duration max_idle = this->forwarding.request_plan().is_idempotent
                                  ? kMaxIdleForIdempotent
                                  : kMaxIdleForNonIdempotent;
    this->links.resize(step.send.value() + 1);
    this->links[step.send.value()] = this->context.links->Begin(
        step.server, server.endpoint, max_idle, std::move(exchange));
  }

  void RunStep(const CancelSend& step) {
    const auto link = std::exchange(this->links[step.send.value()], nullptr);
    if (!link) {
      return;
    }
    if (this->forwarding.state() == ForwardState::kRunning ||
        this->forwarding.state() == ForwardState::kAnswered) {
      link->Abandon([strand = this->context.strand,
                     &backends = this->context.backends,
                     cancelled = step](bool answered) {
        const MonotonicTime now = strand->Now();
        backends.Access([&](BackendDirectory& directory) {
          directory.OnUncountedOutcome(now, cancelled.server,
                                       now - cancelled.started_at,
                                       cancelled.typical_latency, answered);
        });
      });
    } else {
      link->Close();
    }
  }

  void OnOutcome(const StartSend& step, LinkOutcome outcome) {
    this->links[step.send.value()] = nullptr;
    const MonotonicTime now = this->Now();
    if (const auto* failure = std::get_if<SendFailure>(&outcome)) {
      this->OnSendFailed(now, step, *failure);
      return;
    }
    auto& reply = std::get<BackendReply>(outcome);
    const ReplyMetadata reply_metadata = MessageCodec::ReadReply(reply);
    if (const auto failure = this->ClassifyFailure(reply, reply_metadata)) {
      if (*failure == SendFailure::kServerError) {
        this->last_error_reply = std::move(reply);
      }
      this->OnSendFailed(now, step, *failure);
      return;
    }
    const auto load = reply_metadata.load;
    const bool is_first = !this->replies[step.target].has_value();
    if (is_first) {
      this->replies[step.target] = std::move(reply);
      this->handlers.on_answer(step.target);
    }
    this->RunSteps(this->forwarding.OnAnswer(now, step.send, load));
  }

  void OnSendFailed(MonotonicTime now,
                    const StartSend& step,
                    SendFailure failure) {
    if (failure == SendFailure::kNotExecuted ||
        failure == SendFailure::kOtherServer) {
      --this->sends_possibly_executed;
    }
    this->LogSendFailure(now, step, failure);
    this->context.metrics.OnSendFailure(ToString(failure));
    this->RunSteps(this->forwarding.OnFailure(now, step.send, failure));
  }

  // Returns why a reply is not an answer for the caller, or nothing if it is
  // one.
  std::optional<SendFailure> ClassifyFailure(
      const BackendReply& reply,
      const ReplyMetadata& reply_metadata) const {
    // Checked first, because such a reply also says that the request did not
    // run.
    if (reply_metadata.is_from_other_server) {
      return SendFailure::kOtherServer;
    }
    if (reply_metadata.promises_not_executed) {
      return SendFailure::kNotExecuted;
    }
    if (reply_metadata.has_content_encoding) {
      return SendFailure::kBadAnswer;
    }
    const unsigned status = reply.result_int();
    const bool is_success = status >= 200 && status < 300;
    if (is_success) {
      return reply_metadata.stamp.empty()
                 ? std::optional(SendFailure::kBadAnswer)
                 : std::nullopt;
    }
    const bool is_final = !this->forwarding.request_plan().is_fan_out &&
                          status < 500 && !PromisesNotExecuted(status);
    return is_final ? std::nullopt : std::optional(SendFailure::kServerError);
  }

  void LogSendFailure(MonotonicTime now,
                      const StartSend& step,
                      SendFailure failure) {
    const ListedServer server =
        this->context.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(step.server);
        });
    this->call_log.AddFailure(
        server, failure,
        now - this->forwarding.request_plan().deadlines.started_at);
  }

  CallContext& context;
  EncodedRequest encoded;
  RunHandlers handlers;
  // The accepted replies, by target.
  std::vector<std::optional<BackendReply>> replies;
  RunForwarding forwarding;
  // The links of the sends, by send. Null once a send has ended.
  std::vector<std::shared_ptr<BackendLink>> links;
  std::optional<BackendReply> last_error_reply;
  std::size_t sends_possibly_executed = 0;
  CallLog call_log;
  StrandTimer timer;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARD_RUN_H_
