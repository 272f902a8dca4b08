#ifndef SRC_NET_FORWARD_FORWARDED_CALL_H_
#define SRC_NET_FORWARD_FORWARDED_CALL_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/net/forward/call_end.h"
#include "src/net/forward/forward_run.h"
#include "src/policy/record_merge.h"

namespace marigold {

// One request that this process alone forwards. Answers the caller. Used only
// on its strand.
template <ForwardMessageCodec MessageCodec>
class ForwardedCall
    : public std::enable_shared_from_this<ForwardedCall<MessageCodec>> {
 public:
  ForwardedCall(CallContext& call_context,
                CallerSide caller_side,
                EncodedRequest encoded_request,
                ForwardPlan forward_plan,
                std::size_t top_records)
      : context(call_context),
        caller(std::move(caller_side)),
        encoded(std::move(encoded_request)),
        plan(std::move(forward_plan)),
        max_records(top_records) {}

  void Start() {
    RunHandlers handlers;
    handlers.on_answer = [](std::size_t) {};
    handlers.on_progress = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnProgress();
      }
    };
    this->run = std::make_shared<ForwardRun<MessageCodec>>(
        this->context, std::move(this->encoded), this->plan,
        std::move(handlers));
    this->run->Start();
  }

  // Answers the caller at `end` at the latest.
  void EndBy(MonotonicTime end) { this->run->EndBy(end); }

  // Called when the caller has closed its connection. Nothing is answered, and
  // the work at backend servers is cancelled.
  void OnCallerDisconnected() {
    this->caller.is_disconnected = true;
    this->run->Abandon(ForwardState::kFailed);
  }

 private:
  void OnProgress() {
    const ForwardState state = this->run->state();
    if (state == ForwardState::kRunning || this->is_finished) {
      return;
    }
    this->is_finished = true;
    const auto& progress = this->run->progress();
    CallSummary summary{
        {},
        this->plan,
        {},
        {},
        progress.answered_targets(),
        progress.send_count(),
        this->context.strand->Now() - this->plan.deadlines.started_at,
        DecideCongestion(progress.congestion(), this->plan.targets.size())};
    FinishCall(this->context.metrics, this->caller, this->run->failures(),
               summary, state, [this, state](bool closes_connection) {
                 return this->EncodeAnswer(state, closes_connection);
               });
  }

  std::string EncodeAnswer(ForwardState state, bool closes_connection) {
    if (state == ForwardState::kAnswered) {
      return this->plan.is_fan_out
                 ? this->EncodeMergedAnswer(closes_connection)
                 : MessageCodec::WriteReply(*this->run->reply(0),
                                            closes_connection);
    }
    // An error status that promises that the request has not run is not passed
    // on, since another send may have run it.
    const auto& error_reply = this->run->error_reply();
    if (state != ForwardState::kNotRun && error_reply &&
        !this->plan.is_fan_out &&
        !PromisesNotExecuted(error_reply->result_int())) {
      return MessageCodec::WriteReply(*error_reply, closes_connection);
    }
    return EncodeFailure<MessageCodec>(
        state, [this] { return CurrentRetryDelay(this->context, this->plan); },
        closes_connection);
  }

  std::string EncodeMergedAnswer(bool closes_connection) {
    const std::size_t shard_count = this->plan.targets.size();
    std::vector<std::string_view> stamps;
    std::vector<std::string_view> bodies;
    for (std::size_t i = 0; i < shard_count; ++i) {
      if (const auto& reply = this->run->reply(i)) {
        stamps.push_back(MessageCodec::ReadReply(*reply).stamp);
        bodies.emplace_back(reply->body());
      }
    }
    if (stamps.size() < shard_count) {
      this->context.metrics.OnPartialAnswer();
    }
    const std::string body = MergeRecords(bodies, this->max_records);
    return MessageCodec::WriteMerged(
        {stamps, shard_count - stamps.size(), body}, closes_connection);
  }

  CallContext& context;
  CallerSide caller;
  EncodedRequest encoded;
  ForwardPlan plan;
  std::size_t max_records;
  std::shared_ptr<ForwardRun<MessageCodec>> run;
  bool is_finished = false;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARDED_CALL_H_
