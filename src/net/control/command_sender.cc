#include "src/net/control/command_sender.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/random.h"

namespace marigold {

namespace {

// A leader that does not reply within this time is assumed to be frozen or
// unreachable. A command normally commits within milliseconds.
constexpr Duration kAttemptTimeout = std::chrono::seconds(1);

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

constexpr const char* kConnectionFailedDetail =
    "the connection to the control VM failed";

// Redirects that one command follows without a delay. Control VMs can redirect
// to each other while a leader is being elected, so later redirects wait for
// `kRetryDelay`.
constexpr std::uint32_t kMaxImmediateRedirects = 3;

// True if another control VM, or the same one later, may accept a command that
// was refused for this reason.
bool IsRetriable(Reason reason) {
  return reason == Reason::kNoQuorum || reason == Reason::kStorageFailed ||
         reason == Reason::kStopping || reason == Reason::kOverloaded;
}

}  // namespace

CommandSender::CommandSender(WorkerPool& worker_pool,
                             SerialQueue serial_queue,
                             std::vector<Endpoint> controls)
    : pool(worker_pool),
      queue(std::move(serial_queue)),
      choice(std::move(controls), SystemSeed()) {}

void CommandSender::Submit(ControlCommand command,
                           MonotonicTime deadline,
                           OnOutcome on_outcome) {
  this->last_call_id = Next(this->last_call_id);
  PendingCommand& pending = this->calls[this->last_call_id];
  pending.command = std::move(command);
  pending.deadline = deadline;
  pending.on_outcome = std::move(on_outcome);
  pending.last_failure_detail = "no control VM answered";
  if (this->is_stopped) {
    this->FinishUnanswered(this->last_call_id);
    return;
  }
  this->BeginAttempt(this->last_call_id);
}

void CommandSender::OnListed(const std::vector<ListedControl>& listed) {
  this->choice.OnListed(listed);
}

void CommandSender::Stop() {
  this->is_stopped = true;
  for (auto& [endpoint, channel] : this->channels) {
    if (channel.connection) {
      channel.connection->Close();
    }
  }
  while (!this->calls.empty()) {
    PendingCommand& pending = this->calls.begin()->second;
    pending.may_have_run = pending.may_have_run || pending.target.has_value();
    this->FinishUnanswered(this->calls.begin()->first);
  }
}

void CommandSender::BeginAttempt(CallId call) {
  const auto position = this->calls.find(call);
  if (position == this->calls.end()) {
    return;
  }
  PendingCommand& pending = position->second;
  const Duration remaining = pending.deadline - this->clock.Now();
  if (remaining <= Duration::zero()) {
    this->FinishUnanswered(call);
    return;
  }
  const Endpoint target = this->ChooseTarget();
  Channel& channel = this->ChannelTo(target);
  if (!channel.connection->Send(
          EncodeControlMessage(marigold::Submit{call, pending.command}))) {
    const bool is_closed = channel.connection->is_closed();
    pending.last_failure_reason =
        is_closed ? Reason::kNoQuorum : Reason::kOverloaded;
    pending.last_failure_detail = is_closed
                                      ? kConnectionFailedDetail
                                      : "the queue to the control VM is full";
    this->Retry(call, kRetryDelay);
    return;
  }
  pending.target = target;
  channel.calls.insert(call);
  pending.timer = this->queue.After(std::min(remaining, kAttemptTimeout),
                                    [weak = this->weak_from_this(), call] {
                                      if (const auto self = weak.lock()) {
                                        self->OnAttemptTimeout(call);
                                      }
                                    });
}

Endpoint CommandSender::ChooseTarget() {
  if (!this->leader) {
    this->leader = this->choice.NextAttempt(this->clock.Now()).endpoint;
  }
  return *this->leader;
}

CommandSender::Channel& CommandSender::ChannelTo(const Endpoint& endpoint) {
  Channel& channel = this->channels[endpoint];
  if (channel.connection) {
    return channel;
  }
  const auto new_connection = FramedConnection::Create(this->pool, {});
  channel.connection = new_connection;
  channel.is_open = false;
  const auto weak = this->weak_from_this();
  const std::weak_ptr<FramedConnection> weak_connection = new_connection;
  FramedHandlers handlers;
  handlers.on_open = [weak, endpoint, serial_queue = this->queue] {
    serial_queue.Post([weak, endpoint] {
      if (const auto self = weak.lock()) {
        self->channels[endpoint].is_open = true;
      }
    });
  };
  handlers.on_body = [weak, weak_connection, endpoint,
                      serial_queue = this->queue](std::string body) {
    serial_queue.Post(
        [weak, weak_connection, endpoint, body = std::move(body)] {
          const auto self = weak.lock();
          const auto from = weak_connection.lock();
          if (self && from) {
            self->OnBody(endpoint, from, body);
          }
        });
  };
  handlers.on_closed = [weak, new_connection, endpoint,
                        serial_queue = this->queue](CloseReason) {
    serial_queue.Post([weak, new_connection, endpoint] {
      if (const auto self = weak.lock()) {
        self->OnClosed(endpoint, new_connection);
      }
    });
  };
  new_connection->Connect(endpoint, std::move(handlers));
  return channel;
}

void CommandSender::OnBody(const Endpoint& endpoint,
                           const ConnectionPtr& from,
                           const std::string& body) {
  if (this->channels[endpoint].connection != from) {
    return;
  }
  auto decoded =
      Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
  auto* message = std::get_if<ControlMessage>(&decoded);
  auto* reply =
      message == nullptr ? nullptr : std::get_if<SubmitReply>(message);
  if (reply == nullptr) {
    from->Close();
    return;
  }
  this->OnReply(endpoint, std::move(*reply));
}

void CommandSender::OnReply(const Endpoint& endpoint, SubmitReply reply) {
  const CallId call = reply.call;
  const auto position = this->calls.find(call);
  if (position == this->calls.end() || position->second.target != endpoint) {
    // A reply to an attempt that has timed out. It is ignored, because a later
    // attempt determines the outcome.
    return;
  }
  if (auto* outcome = std::get_if<ControlOutcome>(&reply.outcome)) {
    this->choice.OnSuccess(endpoint);
    this->Finish(call, std::move(*outcome));
    return;
  }
  this->OnRefused(call, endpoint, std::move(reply));
}

void CommandSender::OnRefused(CallId call,
                              const Endpoint& endpoint,
                              SubmitReply reply) {
  PendingCommand& pending = this->calls.at(call);
  auto& refusal = std::get<Refusal>(reply.outcome);
  if (refusal.execution == Execution::kMayHaveRun) {
    pending.may_have_run = true;
  } else if (!IsRetriable(refusal.reason)) {
    this->Finish(call, std::move(refusal));
    return;
  }
  pending.last_failure_reason = refusal.reason;
  pending.last_failure_detail = std::move(refusal.detail);
  const bool is_redirect = reply.leader && *reply.leader != endpoint;
  if (is_redirect) {
    this->leader = reply.leader;
    ++pending.redirects;
  } else if (this->leader == endpoint) {
    this->choice.OnFailure(this->clock.Now(), endpoint);
    this->leader.reset();
  }
  const bool retries_at_once =
      is_redirect && pending.redirects <= kMaxImmediateRedirects;
  this->Retry(call, retries_at_once ? Duration::zero() : kRetryDelay);
}

void CommandSender::OnClosed(const Endpoint& endpoint,
                             const ConnectionPtr& closed) {
  Channel& channel = this->channels[endpoint];
  if (channel.connection != closed) {
    return;
  }
  const bool was_open = channel.is_open;
  const std::set<CallId> interrupted_calls = std::exchange(channel.calls, {});
  channel.connection.reset();
  channel.is_open = false;
  if (interrupted_calls.empty()) {
    // The loss of an idle connection does not show that the control VM failed.
    return;
  }
  this->choice.OnFailure(this->clock.Now(), endpoint);
  if (this->leader == endpoint) {
    this->leader.reset();
  }
  for (const CallId call : interrupted_calls) {
    const auto position = this->calls.find(call);
    if (position != this->calls.end()) {
      PendingCommand& pending = position->second;
      // Nothing was written to a connection that never opened.
      pending.may_have_run = pending.may_have_run || was_open;
      pending.last_failure_reason = Reason::kNoQuorum;
      pending.last_failure_detail = kConnectionFailedDetail;
      this->Retry(call, was_open ? Duration::zero() : kRetryDelay);
    }
  }
}

void CommandSender::OnAttemptTimeout(CallId call) {
  const auto position = this->calls.find(call);
  if (position == this->calls.end() || !position->second.target) {
    return;
  }
  PendingCommand& pending = position->second;
  const Endpoint endpoint = *pending.target;
  const Channel& channel = this->channels[endpoint];
  pending.may_have_run = pending.may_have_run || channel.is_open;
  pending.last_failure_detail = "the control VM did not answer in time";
  if (this->leader == endpoint) {
    this->choice.OnFailure(this->clock.Now(), endpoint);
    this->leader.reset();
  }
  const ConnectionPtr timed_out_connection = channel.connection;
  this->Retry(call, Duration::zero());
  // Closing the connection makes `OnClosed` retry the other calls that it
  // carries.
  if (timed_out_connection) {
    timed_out_connection->Close();
  }
}

void CommandSender::Retry(CallId call, Duration delay) {
  this->DetachFromChannel(call);
  PendingCommand& pending = this->calls.at(call);
  auto begin_attempt = [weak = this->weak_from_this(), call] {
    if (const auto self = weak.lock()) {
      self->BeginAttempt(call);
    }
  };
  if (delay == Duration::zero()) {
    // Posting keeps calls that are redirected together in order.
    pending.timer.Cancel();
    this->queue.Post(std::move(begin_attempt));
    return;
  }
  const Duration remaining =
      std::max(pending.deadline - this->clock.Now(), Duration::zero());
  pending.timer =
      this->queue.After(std::min(delay, remaining), std::move(begin_attempt));
}

void CommandSender::DetachFromChannel(CallId call) {
  PendingCommand& pending = this->calls.at(call);
  if (pending.target) {
    this->channels[*pending.target].calls.erase(call);
    pending.target.reset();
  }
}

void CommandSender::Finish(CallId call, SubmitOutcome outcome) {
  this->DetachFromChannel(call);
  const OnOutcome on_outcome = std::move(this->calls.at(call).on_outcome);
  this->calls.erase(call);
  on_outcome(std::move(outcome));
}

void CommandSender::FinishUnanswered(CallId call) {
  const PendingCommand& pending = this->calls.at(call);
  this->Finish(call, Refusal{pending.may_have_run ? Execution::kMayHaveRun
                                                  : Execution::kDidNotRun,
                             pending.last_failure_reason,
                             pending.last_failure_detail,
                             {}});
}

}  // namespace marigold
