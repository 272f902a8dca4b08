#include "src/ctl/control_group.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <memory>

namespace marigold::ctl {

namespace {

// If a control VM does not reply within this time, the next one is called.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);

// Pause between two rounds of calls, which limits the number of requests while
// the group elects a leader.
constexpr Duration kPauseBetweenRounds = std::chrono::milliseconds(100);

}  // namespace

ControlGroup::ControlGroup(std::vector<Endpoint> control_vms,
                           Duration total_timeout)
    : endpoints(std::move(control_vms)), timeout(total_timeout), pool(1) {}

std::optional<ControlMessage> ControlGroup::Call(const Endpoint& control,
                                                 const ControlMessage& message,
                                                 CallFailure& failure) {
  auto promise = std::make_shared<std::promise<CallOutcome>>();
  auto outcome_future = promise->get_future();
  CallOnce(
      this->pool, control, message, std::min(this->timeout, kCallTimeout),
      [promise](CallOutcome result) { promise->set_value(std::move(result)); });
  CallOutcome result = outcome_future.get();
  if (auto* reply = std::get_if<ControlMessage>(&result)) {
    return std::move(*reply);
  }
  failure = std::get<CallFailure>(result);
  return std::nullopt;
}

Endpoint ControlGroup::NextInRotation(std::size_t attempt,
                                      MonotonicTime deadline) {
  const std::size_t index = attempt % this->endpoints.size();
  if (attempt > 0 && index == 0) {
    std::promise<void> pause_ended;
    const Duration remaining = deadline - this->clock.Now();
    const TimerHandle timer = this->pool.After(
        std::clamp(remaining, Duration::zero(), kPauseBetweenRounds),
        [&pause_ended] { pause_ended.set_value(); });
    pause_ended.get_future().wait();
  }
  return this->endpoints[index];
}

bool ControlGroup::IsFinal(const Refusal& refusal) {
  return refusal.reason != Reason::kNoQuorum &&
         refusal.reason != Reason::kStorageFailed &&
         refusal.reason != Reason::kStopping &&
         refusal.reason != Reason::kOverloaded;
}

ExitCode ReportFailure(const std::optional<Refusal>& refusal,
                       bool may_have_run,
                       bool is_reachable) {
  const Execution execution =
      may_have_run ? Execution::kMayHaveRun : Execution::kDidNotRun;
  const std::string cause =
      refusal
          ? fmt::format("{}: {}", ToString(refusal->reason), refusal->detail)
          : std::string("no control VM answered");
  fmt::print(stderr, "marigoldctl: verdict {}; {}\n", ToString(execution),
             cause);
  if (may_have_run) {
    return ExitCode::kMayHaveRun;
  }
  return is_reachable ? ExitCode::kRefused : ExitCode::kUnreachable;
}

}  // namespace marigold::ctl
