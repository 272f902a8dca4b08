#include "tools/soak/action_run.h"

#include <fmt/format.h>

#include <memory>
#include <vector>

#include "tools/soak/action_entry_vm.h"
#include "tools/soak/control_run.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntryVmCount = 3;
constexpr Duration kActionsEnd = seconds(34);
constexpr Duration kActionDeadline = seconds(2);
constexpr std::uint64_t kMaxGapMs = 60;
constexpr std::uint64_t kMaxResends = 3;
constexpr std::uint64_t kMaxResendGapMs = 3'000;
constexpr Duration kEntryRestartInterval = seconds(3);

// Simulates the callers of paid actions and the entry VMs that they send to.
class ActionTraffic {
 public:
  explicit ActionTraffic(ControlGroupSimulation& control_simulation)
      : simulation(control_simulation) {
    for (std::size_t i = 0; i < kEntryVmCount; ++i) {
      this->entry_vms.push_back(std::make_unique<ActionEntryVm>(
          simulation.context(), VmId(fmt::format("entry-{}", i + 1)),
          simulation.controls()));
    }
  }

  void Start() {
    this->StartNextAction();
    this->ScheduleNextRestart();
  }

 private:
  void StartNextAction() {
    if (this->simulation.events().now().time_since_epoch() >= kActionsEnd) {
      return;
    }
    const IdempotencyKey key(fmt::format("key-{}", ++this->action_count));
    const WallTime issued_at =
        kVirtualWallStart + this->simulation.events().now().time_since_epoch();
    this->Send(key, issued_at);
    const std::uint64_t resends =
        this->simulation.random().NextBelow(kMaxResends + 1);
    for (std::uint64_t i = 0; i < resends; ++i) {
      this->simulation.events().After(
          this->RandomGap(kMaxResendGapMs),
          [this, key, issued_at] { this->Send(key, issued_at); });
    }
    this->simulation.events().After(this->RandomGap(kMaxGapMs),
                                    [this] { this->StartNextAction(); });
  }

  void ScheduleNextRestart() {
    this->simulation.events().After(kEntryRestartInterval, [this] {
      this->entry_vms[this->simulation.random().NextBelow(kEntryVmCount)]
          ->Restart();
      this->ScheduleNextRestart();
    });
  }

  Duration RandomGap(std::uint64_t limit_ms) {
    return milliseconds(static_cast<std::int64_t>(
        this->simulation.random().NextBelow(limit_ms)));
  }

  void Send(const IdempotencyKey& key, WallTime issued_at) {
    ActionRequest request;
    request.request =
        RequestId(fmt::format("request-{}", ++this->request_count));
    request.customer = CustomerId("customer");
    request.service = ServiceId("billing");
    request.action = "renew";
    request.key = key;
    request.key_issued_at = issued_at;
    request.deadline = kActionDeadline;
    this->entry_vms[this->simulation.random().NextBelow(kEntryVmCount)]->Run(
        request,
        [this, key, id = request.request](const ActionOutcome& outcome) {
          this->OnOutcome(key, id, outcome);
        });
  }

  void OnOutcome(const IdempotencyKey& key,
                 const RequestId& request,
                 const ActionOutcome& outcome) {
    if (const auto* answer = std::get_if<ActionAnswer>(&outcome)) {
      this->simulation.checker().OnActionResult(key, answer->result);
    } else if (std::get<Refusal>(outcome).execution == Execution::kDidNotRun) {
      this->simulation.checker().OnActionRefused(key, request);
    }
  }

  ControlGroupSimulation& simulation;
  std::vector<std::unique_ptr<ActionEntryVm>> entry_vms;
  std::uint64_t action_count = 0;
  std::uint64_t request_count = 0;
};

}  // namespace

RunResult RunActions(std::uint64_t seed, PlantedBug planted_bug) {
  const std::vector<const ControlFault*> faults = CombinableFaults();
  SeededRandom random(seed);
  const ControlFault* fault = faults[random.NextBelow(faults.size())];
  std::unique_ptr<ActionTraffic> traffic;
  return RunControlGroupWith(seed, planted_bug, {fault},
                             [&traffic](ControlGroupSimulation& simulation) {
                               traffic =
                                   std::make_unique<ActionTraffic>(simulation);
                               traffic->Start();
                             });
}

}  // namespace marigold
