#include "tools/load/load_kinds.h"

#include <utility>
#include <variant>

namespace marigold {

namespace {

// True if there was a response that can be checked.
bool CountFailure(const LoadRequest& request,
                  const ExchangeOutcome& outcome,
                  LoadTally& tally) {
  const auto* failure = std::get_if<ExchangeFailure>(&outcome);
  if (failure == nullptr) {
    return true;
  }
  tally.OnFailure(request, *failure);
  if (*failure == ExchangeFailure::kBadResponse) {
    tally.ViolationReaction(request.request,
                            {"an HTTP response", "bytes that are none"});
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

ActionKind::ActionKind(const RequestPlan& plan, std::uint32_t sends_of_each)
    : source(plan),
      sends(sends_of_each),
      outcomes(plan.customers, plan.deadline) {}

ActionCall ActionKind::Next() {
  ActionCall call;
  call.call = this->source.Next();
  call.key = IdempotencyKey("key-" + call.call.request.value());
  call.issued_at = this->clock.WallNow();
  const RankedLock lock(this->mutex);
  this->book.OnSent(call.key);
  return call;
}

std::string ActionKind::Encode(const ActionCall& call) const {
  return EncodeActionCall(call);
}

std::vector<ActionCall> ActionKind::OnOutcome(const ActionCall& call,
                                              const ExchangeOutcome& outcome,
                                              const RequestTiming& timing) {
  if (CountFailure(call.call, outcome, this->outcomes)) {
    this->OnResponse(call, std::get<HttpResponse>(outcome), timing);
  } else {
    const bool not_sent =
        std::get<ExchangeFailure>(outcome) == ExchangeFailure::kNotSent;
    const RankedLock lock(this->mutex);
    this->book.OnNoResult(call.key, not_sent);
  }
  if (call.sends >= this->sends) {
    return {};
  }
  return {ResendOf(call)};
}

void ActionKind::OnResponse(const ActionCall& call,
                            const HttpResponse& response,
                            const RequestTiming& timing) {
  const ActionCheck check =
      CheckActionResponse(call, response.status, response.body);
  std::vector<Violation> violations;
  CheckOutcome counted = CheckedAnswer{SnapshotId(0), 1, 1};
  {
    const RankedLock lock(this->mutex);
    if (const auto* run = std::get_if<CheckedRun>(&check)) {
      violations = this->book.OnRun(call.key, run->result);
    } else if (const auto* refusal = std::get_if<CheckedRefusal>(&check)) {
      this->book.OnNoResult(call.key, refusal->verdict == "did_not_run");
      counted = *refusal;
    } else {
      this->book.OnNoResult(call.key, false);
      counted = std::get<Violation>(check);
    }
  }
  for (const Violation& violation : violations) {
    this->outcomes.ViolationReaction(call.call.request, violation);
  }
  this->outcomes.OnResponse(call.call, counted, timing.latency,
                            timing.since_sent, timing.is_warmup);
}

void ActionKind::Judge(const std::vector<RecordedRun>& runs, Metrics& metrics) {
  std::vector<Violation> violations;
  {
    const RankedLock lock(this->mutex);
    violations = this->book.Judge(runs);
    for (Metric& metric : this->book.Summary(runs)) {
      metrics.push_back(std::move(metric));
    }
  }
  for (const Violation& violation : violations) {
    this->outcomes.ViolationReaction(RequestId("record"), violation);
  }
}

}  // namespace marigold
