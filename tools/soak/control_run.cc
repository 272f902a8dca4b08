#include "tools/soak/control_run.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The first fault is injected after the group has elected its first leader.
constexpr Duration kFirstFaultAt = seconds(3);
constexpr Duration kFaultsEnd = seconds(30);
constexpr Duration kRecoveryTime = seconds(22);

// Operators stop before the recovery time ends, so that the last edit can reach
// all entry VMs.
constexpr Duration kOperatorsEnd = kFaultsEnd + seconds(8);
constexpr std::uint64_t kMinPauseMs = 20;
constexpr std::uint64_t kPauseRangeMs = 400;

void ScheduleRepeatedly(ControlGroupSimulation& simulation,
                        const ControlFault& fault,
                        MonotonicTime at) {
  if (at.time_since_epoch() >= kFaultsEnd) {
    return;
  }
  simulation.events().At(at, [&simulation, &fault, at] {
    fault.inject(simulation);
    const Duration half = fault.interval / 2;
    const auto extra = static_cast<std::int64_t>(simulation.random().NextBelow(
        static_cast<std::uint64_t>(fault.interval.count())));
    ScheduleRepeatedly(simulation, fault, at + half + Duration(extra));
  });
}

std::string JoinNames(const std::vector<const ControlFault*>& faults) {
  std::string names;
  for (const ControlFault* fault : faults) {
    names += (names.empty() ? "" : ",") + std::string(fault->name);
  }
  return names;
}

}  // namespace

RunResult RunControlGroup(std::uint64_t seed,
                          PlantedBug planted_bug,
                          const std::vector<const ControlFault*>& faults) {
  return RunControlGroupWith(seed, planted_bug, faults,
                             [](ControlGroupSimulation& /*world*/) {});
}

RunResult RunControlGroupWith(
    std::uint64_t seed,
    PlantedBug planted_bug,
    const std::vector<const ControlFault*>& faults,
    const std::function<void(ControlGroupSimulation&)>& add_actors) {
  (void)TakeThreadViolations();
  ControlGroupSimulation simulation(seed, planted_bug);
  for (const ControlFault* fault : faults) {
    const auto offset =
        static_cast<std::int64_t>(simulation.random().NextBelow(2'000));
    ScheduleRepeatedly(simulation, *fault,
                       MonotonicTime(kFirstFaultAt + milliseconds(offset)));
  }
  if (faults.size() == 1 && faults.front()->in_force_within) {
    simulation.ExpectInForceWithin(*faults.front()->in_force_within);
  }
  const auto pause = milliseconds(static_cast<std::int64_t>(
      kMinPauseMs + simulation.random().NextBelow(kPauseRangeMs)));
  simulation.Start(pause, MonotonicTime(kOperatorsEnd));
  add_actors(simulation);
  simulation.events().RunUntil(MonotonicTime(kFaultsEnd));
  simulation.Heal();
  simulation.events().RunUntil(MonotonicTime(kFaultsEnd + kRecoveryTime));
  simulation.CheckConvergence();
  RunResult result;
  result.faults = JoinNames(faults);
  result.violations = simulation.checker().violations();
  const std::vector<std::string> failed_assertions = TakeThreadViolations();
  std::copy(failed_assertions.begin(), failed_assertions.end(),
            std::back_inserter(result.violations));
  result.accepted_edits = simulation.checker().accepted_edits();
  result.actions_run = simulation.checker().actions_run();
  return result;
}

std::vector<const ControlFault*> CombinableFaults() {
  std::vector<const ControlFault*> faults;
  for (const ControlFault& fault : ControlFaults()) {
    if (fault.is_combinable) {
      faults.push_back(&fault);
    }
  }
  return faults;
}

RunResult RunFaultPair(std::uint64_t seed, PlantedBug planted_bug) {
  const std::vector<const ControlFault*> faults = CombinableFaults();
  SeededRandom random(seed);
  const std::size_t first = random.NextBelow(faults.size());
  std::size_t second = random.NextBelow(faults.size() - 1);
  if (second >= first) {
    ++second;
  }
  return RunControlGroup(seed, planted_bug, {faults[first], faults[second]});
}

}  // namespace marigold
