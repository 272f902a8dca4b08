#include "tools/soak/control_run.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The group elects its first leader before any fault.
constexpr Duration kFirstFault = seconds(3);
constexpr Duration kFaultTime = seconds(30);
constexpr Duration kQuietTime = seconds(22);

// Operators end before the quiet time does, so that the last edit can settle.
constexpr Duration kOperatorTime = kFaultTime + seconds(8);
constexpr std::uint64_t kShortestPauseMs = 20;
constexpr std::uint64_t kPauseSpanMs = 400;

void Repeat(ControlWorld& world, const ControlFault& fault, MonotonicTime at) {
  if (at.time_since_epoch() >= kFaultTime) {
    return;
  }
  world.events().At(at, [&world, &fault, at] {
    fault.inject(world);
    const Duration half = fault.interval / 2;
    const auto extra = static_cast<std::int64_t>(world.random().NextBelow(
        static_cast<std::uint64_t>(fault.interval.count())));
    Repeat(world, fault, at + half + Duration(extra));
  });
}

std::string NamesOf(const std::vector<const ControlFault*>& faults) {
  std::string names;
  for (const ControlFault* fault : faults) {
    names += (names.empty() ? "" : ",") + std::string(fault->name);
  }
  return names;
}

}  // namespace

RunResult RunControl(std::uint64_t seed,
                     Plant plant,
                     const std::vector<const ControlFault*>& faults) {
  return RunControlWith(seed, plant, faults, [](ControlWorld& /*world*/) {});
}

RunResult RunControlWith(std::uint64_t seed,
                         Plant plant,
                         const std::vector<const ControlFault*>& faults,
                         const std::function<void(ControlWorld&)>& add_actors) {
  (void)TakeThreadViolations();
  ControlWorld world(seed, plant);
  for (const ControlFault* fault : faults) {
    const auto offset =
        static_cast<std::int64_t>(world.random().NextBelow(2'000));
    Repeat(world, *fault, MonotonicTime(kFirstFault + milliseconds(offset)));
  }
  if (faults.size() == 1 && faults.front()->in_force_within) {
    world.ExpectInForceWithin(*faults.front()->in_force_within);
  }
  const auto pause = milliseconds(static_cast<std::int64_t>(
      kShortestPauseMs + world.random().NextBelow(kPauseSpanMs)));
  world.Start(pause, MonotonicTime(kOperatorTime));
  add_actors(world);
  world.events().RunUntil(MonotonicTime(kFaultTime));
  world.Heal();
  world.events().RunUntil(MonotonicTime(kFaultTime + kQuietTime));
  world.CheckConvergence();
  RunResult result;
  result.faults = NamesOf(faults);
  result.violations = world.judge().violations();
  const std::vector<std::string> asserted = TakeThreadViolations();
  std::copy(asserted.begin(), asserted.end(),
            std::back_inserter(result.violations));
  result.accepted_edits = world.judge().accepted_edits();
  result.actions_run = world.judge().actions_run();
  return result;
}

std::vector<const ControlFault*> CombiningFaults() {
  std::vector<const ControlFault*> faults;
  for (const ControlFault& fault : ControlFaults()) {
    if (fault.combines) {
      faults.push_back(&fault);
    }
  }
  return faults;
}

RunResult RunControlPair(std::uint64_t seed, Plant plant) {
  const std::vector<const ControlFault*> faults = CombiningFaults();
  SeededRandom random(seed);
  const std::size_t first = random.NextBelow(faults.size());
  std::size_t second = random.NextBelow(faults.size() - 1);
  if (second >= first) {
    ++second;
  }
  return RunControl(seed, plant, {faults[first], faults[second]});
}

}  // namespace marigold
