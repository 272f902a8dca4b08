#ifndef SRC_NET_FORWARD_FORWARDED_CALL_H_
#define SRC_NET_FORWARD_FORWARDED_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/forward/backend_links.h"
#include "src/net/forward/call_log.h"
#include "src/net/forward/caller_session.h"
#include "src/net/forward/message_codec.h"
#include "src/net/forward/strand.h"
#include "src/policy/forwarding.h"
#include "src/policy/record_merge.h"
#include "src/tables/backend_table.h"
#include "src/tables/forward_metrics.h"

namespace marigold {

inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// How long a refused caller should wait before it tries again. Backend servers
// that are full or restarting are usable again within about this time.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

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

// One request that is being forwarded. Runs the steps of its `Forwarding` and
// answers the caller. Used only on its strand.
template <ForwardMessageCodec MessageCodec>
class ForwardedCall
    : public std::enable_shared_from_this<ForwardedCall<MessageCodec>> {
 public:
  ForwardedCall(CallContext& call_context,
                std::shared_ptr<CallerSession> caller_session,
                CallerRequest caller_request,
                CallerMetadata caller_metadata,
                ForwardPlan plan,
                RouteVersion current_version,
                std::size_t top_records,
                std::function<void()> on_finished)
      : context(call_context),
        session(std::move(caller_session)),
        request(std::move(caller_request)),
        metadata(std::move(caller_metadata)),
        routes_version(current_version),
        max_records(top_records),
        finished_handler(std::move(on_finished)),
        replies(plan.targets.size()),
        forwarding(std::move(plan),
                   call_context.backends,
                   LeastExpectedDelay(),
                   call_context.strand->random()) {}

  void Start() { this->RunSteps(this->forwarding.Start(this->Now())); }

  // Called when the caller has closed its connection. Nothing is answered, and
  // the work at backend servers is cancelled.
  void OnCallerDisconnected() {
    this->is_caller_disconnected = true;
    this->RunSteps(this->forwarding.Abandon(this->Now()));
  }

 private:
  using CallForwarding =
      Forwarding<BackendTable, LeastExpectedDelay, SeededRandom>;

  // A non-idempotent request uses only links that the server has certainly not
  // closed by its idle timeout. If a link breaks during an exchange, the
  // request may have run and can't be sent again.
  static constexpr Duration kMaxIdleForNonIdempotent =
      std::chrono::milliseconds(700);
  static constexpr Duration kMaxIdleForIdempotent = std::chrono::seconds(60);

  MonotonicTime Now() const { return this->context.strand->Now(); }

  void RunSteps(const typename CallForwarding::Steps& steps) {
    const auto self = this->shared_from_this();
    for (const ForwardStep& step : steps) {
      std::visit([this](const auto& typed) { this->RunStep(typed); }, step);
    }
    if (this->forwarding.state() != ForwardState::kRunning &&
        !this->is_finished) {
      this->Finish();
    }
  }

  void RunStep(const SetForwardTimer& step) {
    if (this->timer && this->timer->first == step.at) {
      return;
    }
    this->StopTimer();
    this->timer =
        this->context.strand->RunAt(step.at, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->timer.reset();
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
    if (!this->send_template) {
      this->send_template = MessageCodec::MakeSendTemplate(this->request);
    }
    exchange.request_bytes = MessageCodec::WriteSend(
        *this->send_template,
        {server.server, this->forwarding.deadline() - this->Now()});
    exchange.is_head = this->request.method() == boost::beast::http::verb::head;
    exchange.is_expected = [id = this->metadata.request](
                               const BackendReply& reply) {
      const std::string_view stated_request = MessageCodec::RequestIdOf(reply);
      return stated_request.empty() || stated_request == id.value();
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
    if (!this->replies[step.target]) {
      this->replies[step.target] = std::move(reply);
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

  void Finish() {
    this->is_finished = true;
    this->StopTimer();
    const ForwardState state = this->FinalState();
    const Duration latency =
        this->Now() - this->forwarding.request_plan().deadlines.started_at;
    this->context.metrics.OnFinished(
        this->is_caller_disconnected ? "caller_gone" : ToString(state),
        latency);
    this->LogFinished(latency);
    if (!this->is_caller_disconnected) {
      // If this entry VM could not send the request to any server, the
      // connection closes: over a new connection the caller may reach another
      // entry VM.
      const bool closes_connection =
          this->session->MustClose() || (state == ForwardState::kNotRun &&
                                         this->forwarding.send_count() == 0);
      this->session->Answer(this->EncodeAnswer(state, closes_connection),
                            closes_connection);
    }
    this->finished_handler();
  }

  // Returns the state to report. A request has certainly not run if no byte of
  // it was written to any server, or if every server that got it promised that
  // it did not run it.
  ForwardState FinalState() const {
    const ForwardState state = this->forwarding.state();
    const bool has_failed =
        state == ForwardState::kFailed || state == ForwardState::kTimedOut;
    return has_failed && this->sends_possibly_executed == 0
               ? ForwardState::kNotRun
               : state;
  }

  std::string EncodeAnswer(ForwardState state, bool closes_connection) {
    if (state == ForwardState::kAnswered) {
      return this->forwarding.request_plan().is_fan_out
                 ? this->EncodeMergedAnswer(closes_connection)
                 : MessageCodec::WriteReply(*this->replies.front(),
                                            closes_connection);
    }
    if (state == ForwardState::kNotRun) {
      return MessageCodec::WriteLocalAnswer(
          {kStatusUnavailable, "no backend server took the request",
           kRetryAfter},
          closes_connection);
    }
    // An error status that promises that the request has not run is not passed
    // on, since another send may have run it.
    if (this->last_error_reply && !this->forwarding.request_plan().is_fan_out &&
        !PromisesNotExecuted(this->last_error_reply->result_int())) {
      return MessageCodec::WriteReply(*this->last_error_reply,
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

  std::string EncodeMergedAnswer(bool closes_connection) {
    std::vector<std::string_view> stamps;
    std::vector<std::string_view> bodies;
    for (const std::optional<BackendReply>& reply : this->replies) {
      if (reply) {
        stamps.push_back(MessageCodec::ReadReply(*reply).stamp);
        bodies.emplace_back(reply->body());
      }
    }
    if (stamps.size() < this->replies.size()) {
      this->context.metrics.OnPartialAnswer();
    }
    const std::string body = MergeRecords(bodies, this->max_records);
    return MessageCodec::WriteMerged(
        {stamps, this->replies.size() - stamps.size(), body},
        closes_connection);
  }

  void LogFinished(Duration latency) const {
    this->call_log.Write({this->metadata.request.value(),
                          this->forwarding.request_plan(), this->routes_version,
                          this->is_caller_disconnected
                              ? "caller_gone"
                              : ToString(this->FinalState()),
                          this->forwarding.answered_targets(),
                          this->forwarding.send_count(), latency});
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

  void StopTimer() {
    if (this->timer) {
      this->context.strand->Cancel(*this->timer);
      this->timer.reset();
    }
  }

  CallContext& context;
  std::shared_ptr<CallerSession> session;
  CallerRequest request;
  std::optional<SendTemplate> send_template;
  CallerMetadata metadata;
  RouteVersion routes_version;
  std::size_t max_records;
  std::function<void()> finished_handler;
  // The accepted replies, by target.
  std::vector<std::optional<BackendReply>> replies;
  CallForwarding forwarding;
  // The links of the sends, by send. Null once a send has ended.
  std::vector<std::shared_ptr<BackendLink>> links;
  std::optional<BackendReply> last_error_reply;
  std::size_t sends_possibly_executed = 0;
  CallLog call_log;
  std::optional<Strand::TimerKey> timer;
  bool is_caller_disconnected = false;
  bool is_finished = false;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARDED_CALL_H_
