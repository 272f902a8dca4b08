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
#include "src/net/forward/dialect.h"
#include "src/net/forward/lane.h"
#include "src/policy/forwarding.h"
#include "src/policy/record_merge.h"
#include "src/tables/backend_table.h"
#include "src/tables/forward_metrics.h"

namespace marigold {

inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// When a refused caller should come back: backend servers that are full or
// restart are usable again within about this time.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

// What the calls of one lane share.
struct CallParts {
  std::shared_ptr<Lane> lane;
  std::shared_ptr<BackendLinks> links;
  BackendTable& backends;
  ForwardMetrics& counters;
};

// True for a status that promises that the request has not run.
bool IsPromise(unsigned status);

// One request on its way: carries out the steps of its `Forwarding` and answers
// the caller. Used only on its lane.
template <ForwardDialect Dialect>
class ForwardedCall
    : public std::enable_shared_from_this<ForwardedCall<Dialect>> {
 public:
  ForwardedCall(CallParts& call_parts,
                std::shared_ptr<CallerSession> caller_session,
                CallerRequest caller_request,
                CallerHead caller_head,
                ForwardPlan plan,
                RouteVersion version_in_force,
                std::size_t top_records,
                std::function<void()> on_finished)
      : parts(call_parts),
        session(std::move(caller_session)),
        request(std::move(caller_request)),
        head(std::move(caller_head)),
        routes_version(version_in_force),
        top(top_records),
        finished(std::move(on_finished)),
        replies(plan.targets.size()),
        forwarding(std::move(plan),
                   call_parts.backends,
                   LeastExpectedDelay(),
                   call_parts.lane->random()) {}

  void Start() { this->Run(this->forwarding.Start(this->Now())); }

  // The caller is gone: nothing is answered, and work at backend servers ends.
  void OnCallerGone() {
    this->is_caller_gone = true;
    this->Run(this->forwarding.Abandon(this->Now()));
  }

 private:
  using Machine = Forwarding<BackendTable, LeastExpectedDelay, SeededRandom>;

  // A non-idempotent request uses only links that surely have not been closed
  // by the server's idle timeout; one that breaks may have carried it.
  static constexpr Duration kFreshForUnsafe = std::chrono::milliseconds(700);
  static constexpr Duration kFreshForSafe = std::chrono::seconds(60);

  MonotonicTime Now() const { return this->parts.lane->Now(); }

  void Run(const typename Machine::Steps& steps) {
    const auto self = this->shared_from_this();
    for (const ForwardStep& step : steps) {
      std::visit([this](const auto& typed) { this->Carry(typed); }, step);
    }
    if (this->forwarding.state() != ForwardState::kRunning &&
        !this->is_finished) {
      this->Finish();
    }
  }

  void Carry(const SetForwardTimer& step) {
    if (this->timer && this->timer->first == step.at) {
      return;
    }
    this->StopTimer();
    this->timer =
        this->parts.lane->At(step.at, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->timer.reset();
            self->Run(self->forwarding.OnTimer(self->Now()));
          }
        });
  }

  void Carry(const StartSend& step) {
    const ListedServer server =
        this->parts.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(step.server);
        });
    this->parts.counters.OnSend(step.send.value() >= this->replies.size());
    LinkExchange exchange;
    if (!this->send_parts) {
      this->send_parts = Dialect::MakeSend(this->request);
    }
    exchange.bytes = Dialect::WriteSend(
        *this->send_parts,
        {server.server, this->forwarding.deadline() - this->Now()});
    exchange.is_head = this->request.method() == boost::beast::http::verb::head;
    exchange.is_mine = [id = this->head.request](const BackendReply& reply) {
      const std::string_view named = Dialect::RequestOf(reply);
      return named.empty() || named == id.value();
    };
    exchange.on_begin = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        ++self->sends_that_may_run;
      }
    };
    exchange.on_outcome = [weak = this->weak_from_this(),
                           step](LinkOutcome outcome) {
      if (const auto self = weak.lock()) {
        self->OnOutcome(step, std::move(outcome));
      }
    };
    const Duration longest_idle = this->forwarding.request().is_idempotent
                                      ? kFreshForSafe
                                      : kFreshForUnsafe;
    this->links.resize(step.send.value() + 1);
    this->links[step.send.value()] = this->parts.links->Begin(
        step.server, server.endpoint, longest_idle, std::move(exchange));
  }

  void Carry(const CancelSend& step) {
    const auto link = std::exchange(this->links[step.send.value()], nullptr);
    if (!link) {
      return;
    }
    if (this->forwarding.state() == ForwardState::kRunning ||
        this->forwarding.state() == ForwardState::kAnswered) {
      link->Abandon([lane = this->parts.lane, &backends = this->parts.backends,
                     dropped = step](bool answered) {
        const MonotonicTime now = lane->Now();
        backends.Access([&](BackendDirectory& directory) {
          directory.OnUncountedOutcome(now, dropped.server,
                                       now - dropped.started_at,
                                       dropped.typical_latency, answered);
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
      this->Fail(now, step, *failure);
      return;
    }
    auto& reply = std::get<BackendReply>(outcome);
    const ReplyHead reply_head = Dialect::ReadReply(reply);
    if (const auto failure = this->Judge(reply, reply_head)) {
      if (*failure == SendFailure::kServerError) {
        this->last_error = std::move(reply);
      }
      this->Fail(now, step, *failure);
      return;
    }
    const auto load = reply_head.load;
    if (!this->replies[step.target]) {
      this->replies[step.target] = std::move(reply);
    }
    this->Run(this->forwarding.OnAnswer(now, step.send, load));
  }

  void Fail(MonotonicTime now, const StartSend& step, SendFailure failure) {
    if (failure == SendFailure::kNotExecuted ||
        failure == SendFailure::kOtherServer) {
      --this->sends_that_may_run;
    }
    this->NoteFailure(now, step, failure);
    this->parts.counters.OnSendFailure(ToString(failure));
    this->Run(this->forwarding.OnFailure(now, step.send, failure));
  }

  // Why a reply is not an answer, or nothing.
  std::optional<SendFailure> Judge(const BackendReply& reply,
                                   const ReplyHead& reply_head) const {
    // Such a reply also says that the request did not run.
    if (reply_head.is_other_server) {
      return SendFailure::kOtherServer;
    }
    if (reply_head.not_executed) {
      return SendFailure::kNotExecuted;
    }
    if (reply_head.is_encoded) {
      return SendFailure::kBadAnswer;
    }
    const unsigned status = reply.result_int();
    const bool is_success = status >= 200 && status < 300;
    if (is_success) {
      return reply_head.stamp.empty() ? std::optional(SendFailure::kBadAnswer)
                                      : std::nullopt;
    }
    const bool is_final = !this->forwarding.request().is_fan_out &&
                          status < 500 && !IsPromise(status);
    return is_final ? std::nullopt : std::optional(SendFailure::kServerError);
  }

  void Finish() {
    this->is_finished = true;
    this->StopTimer();
    const ForwardState state = this->FinalState();
    const Duration latency =
        this->Now() - this->forwarding.request().deadlines.started_at;
    this->parts.counters.OnFinished(
        this->is_caller_gone ? "caller_gone" : ToString(state), latency);
    this->LogFinished(latency);
    if (!this->is_caller_gone) {
      // A caller that nothing can be done for here may reach another entry VM
      // over a new connection.
      const bool closes =
          this->session->MustClose() || (state == ForwardState::kNotRun &&
                                         this->forwarding.send_count() == 0);
      this->session->Answer(this->Encode(state, closes), closes);
    }
    this->finished();
  }

  // A request of which no byte was written anywhere has surely not run.
  ForwardState FinalState() const {
    const ForwardState state = this->forwarding.state();
    const bool has_failed =
        state == ForwardState::kFailed || state == ForwardState::kTimedOut;
    return has_failed && this->sends_that_may_run == 0 ? ForwardState::kNotRun
                                                       : state;
  }

  std::string Encode(ForwardState state, bool closes) {
    if (state == ForwardState::kAnswered) {
      return this->forwarding.request().is_fan_out
                 ? this->EncodeMerged(closes)
                 : Dialect::WriteReply(*this->replies.front(), closes);
    }
    if (state == ForwardState::kNotRun) {
      return Dialect::WriteOwn(
          {kStatusUnavailable, "no backend server took the request",
           kRetryAfter},
          closes);
    }
    // A status that promises too much is not given on.
    if (this->last_error && !this->forwarding.request().is_fan_out &&
        !IsPromise(this->last_error->result_int())) {
      return Dialect::WriteReply(*this->last_error, closes);
    }
    if (state == ForwardState::kTimedOut) {
      return Dialect::WriteOwn(
          {kStatusGatewayTimeout, "no answer within the time", std::nullopt},
          closes);
    }
    return Dialect::WriteOwn(
        {kStatusBadGateway, "the backend servers failed", std::nullopt},
        closes);
  }

  std::string EncodeMerged(bool closes) {
    std::vector<std::string_view> stamps;
    std::vector<std::string_view> bodies;
    for (const std::optional<BackendReply>& reply : this->replies) {
      if (reply) {
        stamps.push_back(Dialect::ReadReply(*reply).stamp);
        bodies.emplace_back(reply->body());
      }
    }
    if (stamps.size() < this->replies.size()) {
      this->parts.counters.OnPartialAnswer();
    }
    const std::string body = MergeRecords(bodies, this->top);
    return Dialect::WriteMerged(
        {stamps, this->replies.size() - stamps.size(), body}, closes);
  }

  void LogFinished(Duration latency) const {
    this->log.Write(
        {this->head.request.value(), this->forwarding.request(),
         this->routes_version,
         this->is_caller_gone ? "caller_gone" : ToString(this->FinalState()),
         this->forwarding.answered_targets(), this->forwarding.send_count(),
         latency});
  }

  void NoteFailure(MonotonicTime now,
                   const StartSend& step,
                   SendFailure failure) {
    const ListedServer server =
        this->parts.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(step.server);
        });
    this->log.NoteFailure(
        server, failure, now - this->forwarding.request().deadlines.started_at);
  }

  void StopTimer() {
    if (this->timer) {
      this->parts.lane->Cancel(*this->timer);
      this->timer.reset();
    }
  }

  CallParts& parts;
  std::shared_ptr<CallerSession> session;
  CallerRequest request;
  std::optional<SendTemplate> send_parts;
  CallerHead head;
  RouteVersion routes_version;
  std::size_t top;
  std::function<void()> finished;
  // By target.
  std::vector<std::optional<BackendReply>> replies;
  Machine forwarding;
  // By send; null once it has ended.
  std::vector<std::shared_ptr<BackendLink>> links;
  std::optional<BackendReply> last_error;
  std::size_t sends_that_may_run = 0;
  CallLog log;
  std::optional<Lane::TimerKey> timer;
  bool is_caller_gone = false;
  bool is_finished = false;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARDED_CALL_H_
