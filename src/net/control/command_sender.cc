#include "src/net/control/command_sender.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/random.h"

namespace marigold {

namespace {

// A leader that does not answer within this time is taken for frozen or cut
// off; a command commits in milliseconds.
constexpr Duration kAttemptTimeout = std::chrono::seconds(1);

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

// Redirects that are followed at once; control VMs that point at each other
// while a leader is elected are asked more slowly.
constexpr std::uint32_t kFastRedirects = 3;

// True for a refusal that another control VM, or the same one later, may not
// repeat.
bool MayChange(Reason reason) {
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
  this->last_call = Next(this->last_call);
  Pending& pending = this->calls[this->last_call];
  pending.command = std::move(command);
  pending.deadline = deadline;
  pending.on_outcome = std::move(on_outcome);
  pending.detail = "no control VM answered";
  if (this->is_stopped) {
    this->GiveUp(this->last_call);
    return;
  }
  this->Attempt(this->last_call);
}

void CommandSender::Stop() {
  this->is_stopped = true;
  for (auto& [endpoint, channel] : this->channels) {
    if (channel.connection) {
      channel.connection->Close();
    }
  }
  while (!this->calls.empty()) {
    Pending& pending = this->calls.begin()->second;
    pending.may_have_run = pending.may_have_run || pending.target.has_value();
    this->GiveUp(this->calls.begin()->first);
  }
}

void CommandSender::Attempt(CallId call) {
  const auto position = this->calls.find(call);
  if (position == this->calls.end()) {
    return;
  }
  Pending& pending = position->second;
  const Duration left = pending.deadline - this->clock.Now();
  if (left <= Duration::zero()) {
    this->GiveUp(call);
    return;
  }
  const Endpoint target = this->ChooseTarget();
  Channel& channel = this->ChannelTo(target);
  if (!channel.connection->Send(
          EncodeControlMessage(marigold::Submit{call, pending.command}))) {
    pending.reason = Reason::kOverloaded;
    pending.detail = "the queue to the control VM is full";
    this->Retry(call, kRetryDelay);
    return;
  }
  pending.target = target;
  channel.calls.insert(call);
  pending.timer = this->queue.After(std::min(left, kAttemptTimeout),
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
  const auto opened = FramedConnection::Create(this->pool, {});
  channel.connection = opened;
  channel.is_open = false;
  const auto weak = this->weak_from_this();
  const std::weak_ptr<FramedConnection> weak_opened = opened;
  FramedHandlers handlers;
  handlers.on_open = [weak, endpoint, serial = this->queue] {
    serial.Post([weak, endpoint] {
      if (const auto self = weak.lock()) {
        self->channels[endpoint].is_open = true;
      }
    });
  };
  handlers.on_body = [weak, weak_opened, endpoint,
                      serial = this->queue](std::string body) {
    serial.Post([weak, weak_opened, endpoint, body = std::move(body)] {
      const auto self = weak.lock();
      const auto from = weak_opened.lock();
      if (self && from) {
        self->OnBody(endpoint, from, body);
      }
    });
  };
  handlers.on_closed = [weak, opened, endpoint,
                        serial = this->queue](CloseReason) {
    serial.Post([weak, opened, endpoint] {
      if (const auto self = weak.lock()) {
        self->OnClosed(endpoint, opened);
      }
    });
  };
  opened->Connect(endpoint, std::move(handlers));
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
    // The attempt was given up; a later one decides.
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
  Pending& pending = this->calls.at(call);
  auto& refusal = std::get<Refusal>(reply.outcome);
  if (refusal.execution == Execution::kMayHaveRun) {
    pending.may_have_run = true;
  } else if (!MayChange(refusal.reason)) {
    this->Finish(call, std::move(refusal));
    return;
  }
  pending.reason = refusal.reason;
  pending.detail = std::move(refusal.detail);
  const bool is_redirect = reply.leader && *reply.leader != endpoint;
  if (is_redirect) {
    this->leader = reply.leader;
    ++pending.redirects;
  } else if (this->leader == endpoint) {
    this->choice.OnFailure(this->clock.Now(), endpoint);
    this->leader.reset();
  }
  const bool at_once = is_redirect && pending.redirects <= kFastRedirects;
  this->Retry(call, at_once ? Duration::zero() : kRetryDelay);
}

void CommandSender::OnClosed(const Endpoint& endpoint,
                             const ConnectionPtr& closed) {
  Channel& channel = this->channels[endpoint];
  if (channel.connection != closed) {
    return;
  }
  const bool was_open = channel.is_open;
  const std::set<CallId> interrupted = std::exchange(channel.calls, {});
  channel.connection.reset();
  channel.is_open = false;
  if (interrupted.empty()) {
    // An idle connection says nothing about the control VM.
    return;
  }
  this->choice.OnFailure(this->clock.Now(), endpoint);
  if (this->leader == endpoint) {
    this->leader.reset();
  }
  for (const CallId call : interrupted) {
    const auto position = this->calls.find(call);
    if (position != this->calls.end()) {
      Pending& pending = position->second;
      // Nothing was written on a connection that was never open.
      pending.may_have_run = pending.may_have_run || was_open;
      pending.reason = Reason::kNoQuorum;
      pending.detail = "the connection to the control VM failed";
      this->Retry(call, was_open ? Duration::zero() : kRetryDelay);
    }
  }
}

void CommandSender::OnAttemptTimeout(CallId call) {
  const auto position = this->calls.find(call);
  if (position == this->calls.end() || !position->second.target) {
    return;
  }
  Pending& pending = position->second;
  const Endpoint endpoint = *pending.target;
  const Channel& channel = this->channels[endpoint];
  pending.may_have_run = pending.may_have_run || channel.is_open;
  pending.detail = "the control VM did not answer in time";
  if (this->leader == endpoint) {
    this->choice.OnFailure(this->clock.Now(), endpoint);
    this->leader.reset();
  }
  const ConnectionPtr silent = channel.connection;
  this->Retry(call, Duration::zero());
  // The other calls on the connection are sent again elsewhere.
  if (silent) {
    silent->Close();
  }
}

void CommandSender::Retry(CallId call, Duration delay) {
  this->Detach(call);
  Pending& pending = this->calls.at(call);
  auto attempt = [weak = this->weak_from_this(), call] {
    if (const auto self = weak.lock()) {
      self->Attempt(call);
    }
  };
  if (delay == Duration::zero()) {
    // Calls that are redirected together stay in order.
    pending.timer.Cancel();
    this->queue.Post(std::move(attempt));
    return;
  }
  const Duration left =
      std::max(pending.deadline - this->clock.Now(), Duration::zero());
  pending.timer = this->queue.After(std::min(delay, left), std::move(attempt));
}

void CommandSender::Detach(CallId call) {
  Pending& pending = this->calls.at(call);
  if (pending.target) {
    this->channels[*pending.target].calls.erase(call);
    pending.target.reset();
  }
}

void CommandSender::Finish(CallId call, SubmitOutcome outcome) {
  this->Detach(call);
  const OnOutcome on_outcome = std::move(this->calls.at(call).on_outcome);
  this->calls.erase(call);
  on_outcome(std::move(outcome));
}

void CommandSender::GiveUp(CallId call) {
  const Pending& pending = this->calls.at(call);
  this->Finish(call, Refusal{pending.may_have_run ? Execution::kMayHaveRun
                                                  : Execution::kDidNotRun,
                             pending.reason,
                             pending.detail,
                             {}});
}

}  // namespace marigold
