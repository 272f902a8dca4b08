// Measures the decisions of the query path in virtual time.

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/settings.h"
#include "tools/bench/cost.h"
#include "tools/bench/simulation.h"

namespace marigold {

namespace {

struct BenchSettings {
  std::string deployment = "kompostera";
  std::string policy = "chosen";
  std::string faults;
  double load = 0.6;
  std::int64_t seed = 1;
  bool json = false;
  bool list_faults = false;
  bool cost = false;
};

std::vector<std::string> DeploymentNames() {
  std::vector<std::string> names;
  for (const Deployment& row : Deployments()) {
    names.emplace_back(row.name);
  }
  return names;
}

std::vector<std::string> PolicyChoices() {
  std::vector<std::string> names;
  for (const std::string_view name : PolicyNames()) {
    names.emplace_back(name);
  }
  return names;
}

SettingsTable MakeTable(BenchSettings& settings) {
  SettingsTable table("marigold-bench",
                      "Measures query-path decisions in virtual time.");
  table.AddChoice("deployment", settings.deployment, DeploymentNames(),
                  "Sizes of the simulated system.");
  table.AddChoice("policy", settings.policy, PolicyChoices(),
                  "Decisions of the simulated entry VM.");
  table.AddText("faults", settings.faults, "NAME[,NAME]",
                "Faults that occur during the run.");
  table.AddDecimal("load", settings.load, 0.01, 2, "fraction",
                   "Offered work over the capacity of all servers.");
  table.AddNumber("seed", settings.seed, 1, INT64_MAX, "seed",
                  "The same seed gives the same figures.");
  table.AddSwitch("json", settings.json, "Prints the figures as JSON.");
  table.AddSwitch("cost", settings.cost,
                  "Measures the processor time of the decisions instead.");
  table.AddSwitch("list-faults", settings.list_faults, "Prints all faults.");
  return table;
}

// Adds the named faults to `faults`. Prints each unknown name and returns false
// if there is one.
bool ParseFaults(const std::string& names, FaultSet& faults) {
  bool is_valid = true;
  for (const std::string& name : Split(names, ',')) {
    if (const auto fault = ParseFault(name)) {
      faults.set(static_cast<std::size_t>(*fault));
    } else {
      fmt::print(stderr, "unknown fault {}; see --list-faults\n", name);
      is_valid = false;
    }
  }
  return is_valid;
}

void PrintFaults() {
  for (const FaultRow& row : FaultRows()) {
    fmt::print("{:<20} {}\n", row.name, row.help);
  }
}

void PrintFigures(const BenchSettings& settings, const Figures& figures) {
  std::string line;
  if (settings.json) {
    line = fmt::format(
        R"({{"deployment":"{}","policy":"{}","faults":"{}","load":{},"seed":{})",
        settings.deployment, settings.policy, settings.faults, settings.load,
        settings.seed);
    for (const auto& [name, value] : ToNameValuePairs(figures)) {
      line += fmt::format(R"(,"{}":{})", name, value);
    }
    line += "}";
  } else {
    line = fmt::format("deployment={} policy={} faults={} load={} seed={}",
                       settings.deployment, settings.policy,
                       settings.faults.empty() ? "none" : settings.faults,
                       settings.load, settings.seed);
    for (const auto& [name, value] : ToNameValuePairs(figures)) {
      line += fmt::format(" {}={}", name, value);
    }
  }
  fmt::print("{}\n", line);
}

void PrintCost(const BenchSettings& settings) {
  const DecisionCost cost =
      MeasureDecisionCost(*FindDeployment(settings.deployment));
  fmt::print(
      "deployment={} sub_requests={} ns_per_sub_request={:.0f} "
      "longest_search_us={:.0f}\n",
      settings.deployment, cost.sub_requests, cost.ns_per_sub_request,
      cost.longest_search_us);
}

int Run(const BenchSettings& settings) {
  if (settings.cost) {
    PrintCost(settings);
    return 0;
  }
  if (settings.list_faults) {
    PrintFaults();
    return 0;
  }
  BenchRun run;
  if (!ParseFaults(settings.faults, run.faults)) {
    return 2;
  }
  run.deployment = FindDeployment(settings.deployment);
  run.policy = settings.policy;
  run.load = Fraction(settings.load);
  run.seed = static_cast<std::uint64_t>(settings.seed);
  PrintFigures(settings, RunBench(run));
  return 0;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::BenchSettings settings;
  marigold::SettingsTable table = marigold::MakeTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
