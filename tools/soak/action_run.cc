#include "tools/soak/action_run.h"

#include <fmt/format.h>

#include <memory>
#include <vector>

#include "tools/soak/action_entry.h"
#include "tools/soak/control_run.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 3;
constexpr Duration kActionTime = seconds(34);
constexpr Duration kActionDeadline = seconds(2);
constexpr std::uint64_t kLongestGapMs = 60;
constexpr std::uint64_t kMostResends = 3;
constexpr std::uint64_t kLongestResendGapMs = 3'000;
constexpr Duration kEntryRestartInterval = seconds(3);

// Callers and the entry VMs that they reach.
class ActionTraffic {
 public:
  explicit ActionTraffic(ControlWorld& control_world) : world(control_world) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->entries.push_back(std::make_unique<ActionEntry>(
          world.surroundings(), VmId(fmt::format("entry-{}", i + 1)),
          world.controls()));
    }
  }

  void Start() {
    this->NextAction();
    this->NextRestart();
  }

 private:
  void NextAction() {
    if (this->world.events().now().time_since_epoch() >= kActionTime) {
      return;
    }
    const IdempotencyKey key(fmt::format("key-{}", ++this->actions));
    const WallTime issued =
        kVirtualWallStart + this->world.events().now().time_since_epoch();
    this->Send(key, issued);
    const std::uint64_t resends =
        this->world.random().NextBelow(kMostResends + 1);
    for (std::uint64_t i = 0; i < resends; ++i) {
      this->world.events().After(
          this->Gap(kLongestResendGapMs),
          [this, key, issued] { this->Send(key, issued); });
    }
    this->world.events().After(this->Gap(kLongestGapMs),
                               [this] { this->NextAction(); });
  }

  void NextRestart() {
    this->world.events().After(kEntryRestartInterval, [this] {
      this->entries[this->world.random().NextBelow(kEntries)]->Restart();
      this->NextRestart();
    });
  }

  Duration Gap(std::uint64_t longest_ms) {
    return milliseconds(
        static_cast<std::int64_t>(this->world.random().NextBelow(longest_ms)));
  }

  void Send(const IdempotencyKey& key, WallTime issued) {
    ActionRequest request;
    request.request = RequestId(fmt::format("request-{}", ++this->requests));
    request.customer = CustomerId("customer");
    request.service = ServiceId("billing");
    request.action = "renew";
    request.key = key;
    request.key_issued_at = issued;
    request.deadline = kActionDeadline;
    this->entries[this->world.random().NextBelow(kEntries)]->Run(
        request,
        [this, key, id = request.request](const ActionOutcome& outcome) {
          this->OnOutcome(key, id, outcome);
        });
  }

  void OnOutcome(const IdempotencyKey& key,
                 const RequestId& request,
                 const ActionOutcome& outcome) {
    if (const auto* answer = std::get_if<ActionAnswer>(&outcome)) {
      this->world.judge().OnActionResult(key, answer->result);
    } else if (std::get<Refusal>(outcome).execution == Execution::kDidNotRun) {
      this->world.judge().OnActionRefused(key, request);
    }
  }

  ControlWorld& world;
  std::vector<std::unique_ptr<ActionEntry>> entries;
  std::uint64_t actions = 0;
  std::uint64_t requests = 0;
};

}  // namespace

RunResult RunActions(std::uint64_t seed, Plant plant) {
  const std::vector<const ControlFault*> faults = CombiningFaults();
  SeededRandom random(seed);
  const ControlFault* fault = faults[random.NextBelow(faults.size())];
  std::unique_ptr<ActionTraffic> traffic;
  return RunControlWith(seed, plant, {fault}, [&traffic](ControlWorld& world) {
    traffic = std::make_unique<ActionTraffic>(world);
    traffic->Start();
  });
}

}  // namespace marigold
