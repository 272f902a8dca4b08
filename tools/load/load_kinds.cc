#include "tools/load/load_kinds.h"

#include <utility>
#include <variant>

namespace marigold {

namespace {

// Counts the outcome if it is a failure. Returns true if there is a response to
// check.
bool CountFailure(const LoadRequest& request,
                  const ExchangeOutcome& outcome,
                  LoadTally& tally) {
  const auto* failure = std::get_if<ExchangeFailure>(&outcome);
  if (failure == nullptr) {
    return true;
  }
  tally.OnFailure(request, *failure);
  if (*failure == ExchangeFailure::kBadResponse) {
    tally.OnViolation(request.id, {"an HTTP response",
                                   "bytes that are not an HTTP response"});
  }
  return false;
}

}  // namespace

SearchKind::SearchKind(const RequestPlan& plan)
    : source(plan), outcomes(plan.customers, plan.deadline) {}

std::string SearchKind::Encode(const LoadRequest& request) const {
  return EncodeLoadRequest(request);
}

std::vector<LoadRequest> SearchKind::OnOutcome(const LoadRequest& request,
                                               const ExchangeOutcome& outcome,
                                               const RequestTiming& timing) {
  if (CountFailure(request, outcome, this->outcomes)) {
    const auto& response = std::get<HttpResponse>(outcome);
    this->outcomes.OnResponse(
        request, CheckSearchResponse(request, response.status, response.body),
        timing.latency, timing.since_sent, timing.is_warmup);
  }
  return {};
}

ActionKind::ActionKind(const RequestPlan& plan, std::uint32_t send_count)
    : source(plan),
      sends_per_action(send_count),
      outcomes(plan.customers, plan.deadline) {}

ActionLoadRequest ActionKind::Next() {
  ActionLoadRequest action;
  action.request = this->source.Next();
  action.key = IdempotencyKey("key-" + action.request.id.value());
  action.issued_at = this->clock.WallNow();
  const RankedLock lock(this->mutex);
  this->audit.OnSent(action.key);
  return action;
}

std::string ActionKind::Encode(const ActionLoadRequest& action) const {
  return EncodeActionLoadRequest(action);
}

std::vector<ActionLoadRequest> ActionKind::OnOutcome(
    const ActionLoadRequest& action,
    const ExchangeOutcome& outcome,
    const RequestTiming& timing) {
  if (CountFailure(action.request, outcome, this->outcomes)) {
    this->OnResponse(action, std::get<HttpResponse>(outcome), timing);
  } else {
    const bool not_sent =
        std::get<ExchangeFailure>(outcome) == ExchangeFailure::kNotSent;
    const RankedLock lock(this->mutex);
    this->audit.OnNoResult(action.key, not_sent);
  }
  if (action.send_count >= this->sends_per_action) {
    return {};
  }
  return {MakeResend(action)};
}

void ActionKind::OnResponse(const ActionLoadRequest& action,
                            const HttpResponse& response,
                            const RequestTiming& timing) {
  const ActionCheck check =
      CheckActionResponse(action, response.status, response.body);
  std::vector<Violation> violations;
  CheckOutcome counted = CheckedAnswer{SnapshotId(0), 1, 1};
  {
    const RankedLock lock(this->mutex);
    if (const auto* execution = std::get_if<CheckedExecution>(&check)) {
      violations = this->audit.OnExecuted(action.key, execution->result);
    } else if (const auto* refusal = std::get_if<CheckedRefusal>(&check)) {
      this->audit.OnNoResult(action.key, refusal->verdict == "did_not_run");
      counted = *refusal;
    } else {
      this->audit.OnNoResult(action.key, false);
      counted = std::get<Violation>(check);
    }
  }
  for (const Violation& violation : violations) {
    this->outcomes.OnViolation(action.request.id, violation);
  }
  this->outcomes.OnResponse(action.request, counted, timing.latency,
                            timing.since_sent, timing.is_warmup);
}

void ActionKind::CompareWithRecord(
    const std::vector<RecordedExecution>& executions,
    Metrics& metrics) {
  std::vector<Violation> violations;
  {
    const RankedLock lock(this->mutex);
    violations = this->audit.FindViolations(executions);
    for (Metric& metric : this->audit.Summary(executions)) {
      metrics.push_back(std::move(metric));
    }
  }
  for (const Violation& violation : violations) {
    this->outcomes.OnViolation(RequestId("record"), violation);
  }
}

}  // namespace marigold
