#include "src/net/forward/call_admission.h"

#include <utility>
#include <variant>

#include "src/core/log.h"

namespace marigold {

namespace {

// Refusals are frequent during an overload, so one line counts those of this
// time.
constexpr Duration kRefusalLogInterval = std::chrono::seconds(1);

}  // namespace

CallAdmission::CallAdmission(std::shared_ptr<Strand> owning_strand,
                             std::shared_ptr<ForwardGate> shared_gate,
                             ForwardMetrics& forward_metrics)
    : strand(std::move(owning_strand)),
      gate(std::move(shared_gate)),
      metrics(forward_metrics) {}

CallAdmission::WaitPtr CallAdmission::Enter(const ForwardPlan& plan,
                                            const RouteTable& table,
                                            OnDecided on_decided) {
  if (this->weights_version != table.version) {
    this->weights = PriorityWeights(table);
    this->weights_version = table.version;
  }
  // Run times are learnt by route, because the routes of one service differ in
  // them.
  const GateRequest request{
      plan.customer.value_or(CustomerId()), ServiceId(plan.route.value()),
      plan.deadlines.give_up_at, this->weights.PriorityOf(plan.priority)};
  auto wait = std::make_shared<Wait>();
  auto decision = this->gate->EnterUnlimited(
      request, [self = this->shared_from_this(), wait](GateDecision decided) {
        // The wait may end on the strand of another call.
        self->strand->Post([self, wait, decided = std::move(decided)] {
          if (!std::exchange(wait->has_ended, true)) {
            if (std::holds_alternative<Refusal>(decided)) {
              self->LogRefusals();
            }
            std::exchange(wait->on_decided, nullptr)(decided);
          }
        });
      });
  if (const auto* queued = std::get_if<AdmissionWait>(&decision)) {
    wait->ticket = queued->ticket;
    wait->on_decided = std::move(on_decided);
    return wait;
  }
  if (const auto* permit = std::get_if<AdmissionPermit>(&decision)) {
    on_decided(*permit);
  } else {
    this->LogRefusals();
    on_decided(std::get<Refusal>(decision));
  }
  return nullptr;
}

void CallAdmission::Withdraw(const WaitPtr& wait) {
  if (!std::exchange(wait->has_ended, true)) {
    wait->on_decided = nullptr;
    this->gate->Withdraw(wait->ticket);
  }
}

void CallAdmission::Leave(const AdmissionPermit& permit,
                          Congestion congestion) {
  if (congestion != Congestion::kNone) {
    this->metrics.OnCongestion(ToString(congestion));
  }
  this->gate->Leave(permit, congestion);
}

void CallAdmission::LogRefusals() {
  ++this->unlogged_refusals;
  const MonotonicTime now = this->strand->Now();
  if (now - this->refusals_logged_at < kRefusalLogInterval) {
    return;
  }
  this->refusals_logged_at = now;
  const AdmissionStatus status = this->gate->Status();
  LogEvent(LogLevel::kWarning, "capacity_short",
           {{"refused", std::exchange(this->unlogged_refusals, 0)},
            {"running", status.running},
            {"waiting", status.waiting},
            {"capacity", status.capacity},
            {"shares_limited", status.is_limiting_shares}});
}

}  // namespace marigold
