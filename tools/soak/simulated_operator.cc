#include "tools/soak/simulated_operator.h"

#include <fmt/format.h>

#include <utility>

namespace marigold {

namespace {

constexpr Duration kSubmitTimeout = std::chrono::seconds(3);
constexpr int kMaxResends = 10;
constexpr double kResendProbability = 0.2;
constexpr std::uint64_t kPlanCount = 4;
constexpr std::uint64_t kCustomerCount = 8;

std::string PlanName(std::uint64_t number) {
  return fmt::format("plan-{}", number);
}

}  // namespace

SimulatedOperator::SimulatedOperator(
    SimulationContext simulation_context,
    std::string operator_name,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : context(simulation_context),
      name(std::move(operator_name)),
      client(context, VmId(this->name), control_vms) {}

void SimulatedOperator::Start(Duration pause, MonotonicTime end) {
  this->pause_between_edits = pause;
  this->end_at = end;
  this->SubmitNextEdit();
}

void SimulatedOperator::SubmitNextEdit() {
  if (this->context.events.now() >= this->end_at) {
    return;
  }
  this->Submit(this->MakeEdit(), kMaxResends, false);
}

PutRows SimulatedOperator::MakeEdit() {
  PutRows edit;
  edit.change = ChangeId(fmt::format("{}-{}", this->name, ++this->edit_count));
  const bool usage = this->known_usage_version == ListVersion() ||
                     this->context.random.NextBelow(2) == 0;
  if (usage) {
    edit.list = ListKind::kUsage;
    edit.expected = this->known_usage_version;
    for (std::uint64_t plan = 0; plan < kPlanCount; ++plan) {
      UsageRow row;
      row.plan = PlanId(PlanName(plan));
      row.services = {ServiceId("lookup")};
      row.rate = 1 + static_cast<double>(this->context.random.NextBelow(100));
      row.burst = 10;
      row.concurrency = 10;
      edit.usage.push_back(row);
    }
    return edit;
  }
  edit.list = ListKind::kPlans;
  edit.expected = this->known_plans_version;
  const std::uint64_t customer = this->context.random.NextBelow(kCustomerCount);
  edit.plans.push_back(
      {CustomerId(fmt::format("customer-{}", customer)),
       PlanId(PlanName(this->context.random.NextBelow(kPlanCount)))});
  return edit;
}

void SimulatedOperator::Submit(const PutRows& edit,
                               int resends_left,
                               bool in_doubt) {
  this->client.Submit(
      edit, kSubmitTimeout,
      [this, edit, resends_left, in_doubt](const SubmitResult& result) {
        this->OnResult(edit, resends_left, in_doubt, result);
      });
}

void SimulatedOperator::OnResult(const PutRows& edit,
                                 int resends_left,
                                 bool in_doubt,
                                 const SubmitResult& result) {
  if (const auto* execution = std::get_if<Execution>(&result)) {
    if (*execution == Execution::kDidNotRun && !in_doubt) {
      this->context.checker.OnEditRefused(edit.change);
    } else if (resends_left > 0) {
      this->Submit(edit, resends_left - 1, true);
      return;
    }
  } else {
    const auto& outcome =
        std::get<PutRowsOutcome>(std::get<ControlOutcome>(result));
    ListVersion& known_version = edit.list == ListKind::kUsage
                                     ? this->known_usage_version
                                     : this->known_plans_version;
    known_version = outcome.version;
    if (outcome.accepted) {
      this->accepted_at = this->context.events.now();
      this->context.checker.OnEditAccepted(this->accepted_at, edit.change,
                                           outcome.version);
    } else if (outcome.execution == Execution::kDidNotRun ||
               this->context.planted_bug ==
                   PlantedBug::kConflictAlwaysDidNotRun) {
      this->context.checker.OnEditRefused(edit.change);
    }
    // Resends the edit as if the answer had been lost.
    if (resends_left > 0 &&
        this->context.random.NextDouble() < kResendProbability) {
      this->Submit(edit, resends_left - 1, in_doubt);
      return;
    }
  }
  this->context.events.After(this->pause_between_edits,
                             [this] { this->SubmitNextEdit(); });
}

}  // namespace marigold
