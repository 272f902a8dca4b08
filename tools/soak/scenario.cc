#include "tools/soak/scenario.h"

#include "tools/soak/action_run.h"
#include "tools/soak/control_run.h"
#include "tools/soak/search_run.h"

namespace marigold {

namespace {

std::vector<Scenario> MakeScenarios() {
  std::vector<Scenario> scenarios;
  for (const ControlFault& fault : ControlFaults()) {
    scenarios.push_back({std::string(fault.name), std::string(fault.summary),
                         [&fault](std::uint64_t seed, PlantedBug planted_bug) {
                           return RunControlGroup(seed, planted_bug, {&fault});
                         }});
  }
  scenarios.push_back({"pairs", "two different kinds of faults together",
                       [](std::uint64_t seed, PlantedBug planted_bug) {
                         return RunFaultPair(seed, planted_bug);
                       }});
  scenarios.push_back({"actions",
                       "paid actions resent through several entry VMs, under "
                       "one kind of control fault",
                       &RunActions});
  scenarios.push_back({"searches",
                       "moving snapshots, repartition, and servers that die, "
                       "drain, leave and answer late",
                       &RunSearches});
  return scenarios;
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = MakeScenarios();
  return scenarios;
}

const Scenario* FindScenario(std::string_view name) {
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name == name) {
      return &scenario;
    }
  }
  return nullptr;
}

}  // namespace marigold
