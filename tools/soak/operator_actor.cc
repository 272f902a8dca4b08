#include "tools/soak/operator_actor.h"

#include <fmt/format.h>

#include <utility>

namespace marigold {

namespace {

constexpr Duration kSubmitTimeout = std::chrono::seconds(3);
constexpr int kMostResends = 10;
constexpr double kResendAnyway = 0.2;
constexpr std::uint64_t kPlans = 4;
constexpr std::uint64_t kCustomers = 8;

std::string PlanName(std::uint64_t number) {
  return fmt::format("plan-{}", number);
}

}  // namespace

OperatorActor::OperatorActor(
    Surroundings surroundings,
    std::string operator_name,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : shared(surroundings),
      name(std::move(operator_name)),
      client(shared, VmId(this->name), control_vms) {}

void OperatorActor::Start(Duration pause, MonotonicTime end) {
  this->pause_between = pause;
  this->stop_at = end;
  this->Next();
}

void OperatorActor::Next() {
  if (this->shared.events.now() >= this->stop_at) {
    return;
  }
  this->Submit(this->MakeEdit(), kMostResends, false);
}

PutRows OperatorActor::MakeEdit() {
  PutRows edit;
  edit.change = ChangeId(fmt::format("{}-{}", this->name, ++this->edits));
  const bool usage = this->known_usage == ListVersion() ||
                     this->shared.random.NextBelow(2) == 0;
  if (usage) {
    edit.list = ListKind::kUsage;
    edit.expected = this->known_usage;
    for (std::uint64_t plan = 0; plan < kPlans; ++plan) {
      UsageRow row;
      row.plan = PlanId(PlanName(plan));
      row.services = {ServiceId("lookup")};
      row.rate = 1 + static_cast<double>(this->shared.random.NextBelow(100));
      row.burst = 10;
      row.concurrency = 10;
      edit.usage.push_back(row);
    }
    return edit;
  }
  edit.list = ListKind::kPlans;
  edit.expected = this->known_plans;
  const std::uint64_t customer = this->shared.random.NextBelow(kCustomers);
  edit.plans.push_back(
      {CustomerId(fmt::format("customer-{}", customer)),
       PlanId(PlanName(this->shared.random.NextBelow(kPlans)))});
  return edit;
}

void OperatorActor::Submit(const PutRows& edit,
                           int resends_left,
                           bool in_doubt) {
  this->client.Submit(
      edit, kSubmitTimeout,
      [this, edit, resends_left, in_doubt](const SubmitResult& result) {
        this->OnResult(edit, resends_left, in_doubt, result);
      });
}

void OperatorActor::OnResult(const PutRows& edit,
                             int resends_left,
                             bool in_doubt,
                             const SubmitResult& result) {
  if (const auto* execution = std::get_if<Execution>(&result)) {
    if (*execution == Execution::kDidNotRun && !in_doubt) {
      this->shared.judge.OnEditRefused(edit.change);
    } else if (resends_left > 0) {
      this->Submit(edit, resends_left - 1, true);
      return;
    }
  } else {
    const auto& outcome =
        std::get<PutRowsOutcome>(std::get<ControlOutcome>(result));
    ListVersion& known =
        edit.list == ListKind::kUsage ? this->known_usage : this->known_plans;
    known = outcome.version;
    if (outcome.accepted) {
      this->accepted_at = this->shared.events.now();
      this->shared.judge.OnEditAccepted(this->accepted_at, edit.change,
                                        outcome.version);
    } else if (outcome.execution == Execution::kDidNotRun ||
               this->shared.plant == Plant::kConflictAlwaysDidNotRun) {
      this->shared.judge.OnEditRefused(edit.change);
    }
    // As if the answer had been lost.
    if (resends_left > 0 && this->shared.random.NextDouble() < kResendAnyway) {
      this->Submit(edit, resends_left - 1, in_doubt);
      return;
    }
  }
  this->shared.events.After(this->pause_between, [this] { this->Next(); });
}

}  // namespace marigold
