// Runs the production decision code under seeded faults in virtual time and
// checks the invariants of the system.

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/core/invariant.h"
#include "src/core/log.h"
#include "src/core/settings.h"
#include "tools/soak/planted_bug.h"
#include "tools/soak/scenario.h"

namespace marigold {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct SeedRange {
  std::uint64_t from = 1;
  std::uint64_t to = 20;
};

struct SoakSettings {
  std::string scenario = "all";
  SeedRange seeds;
  std::string planted_bug = "none";
  bool list_planted_bugs = false;
  bool list_scenarios = false;
  bool verify_planted_bugs = false;
  bool verbose = false;
  std::int64_t threads = 8;
};

std::optional<SeedRange> ParseSeeds(std::string_view text) {
  const std::size_t colon = text.find(':');
  const auto from = ParseWholeNumber(text.substr(0, colon));
  const auto to = colon == std::string_view::npos
                      ? from
                      : ParseWholeNumber(text.substr(colon + 1));
  if (!from || !to || *from < 1 || *to < *from) {
    return std::nullopt;
  }
  return SeedRange{static_cast<std::uint64_t>(*from),
                   static_cast<std::uint64_t>(*to)};
}

SettingsTable MakeTable(SoakSettings& settings) {
  SettingsTable table(
      "marigold-soak",
      "Runs seeded faults in virtual time and checks the invariants "
      "of the system.");
  table.AddText("scenario", settings.scenario, "a scenario's name or all",
                "Scenarios to run; see --list-scenarios.");
  table.AddRow({"seeds", "1:20", "FROM:TO, both from 1", "Seeds to run.",
                [&settings](std::string_view text) {
                  const auto range = ParseSeeds(text);
                  if (!range) {
                    return std::optional<std::string>("expected FROM:TO");
                  }
                  settings.seeds = *range;
                  return std::optional<std::string>();
                }});
  table.AddText("plant", settings.planted_bug, "a planted bug's name or none",
                "Planted bug that the run has to detect; see "
                "--list-plants.");
  table.AddSwitch("list-plants", settings.list_planted_bugs,
                  "Print all planted bugs and exit.");
  table.AddSwitch("list-scenarios", settings.list_scenarios,
                  "Print all scenarios and exit.");
  table.AddSwitch("verify-plants", settings.verify_planted_bugs,
                  "Run each planted bug until a seed detects it.");
  table.AddSwitch("verbose", settings.verbose, "Print a line for every seed.");
  table.AddNumber("threads", settings.threads, 1, 64, "threads",
                  "Number of seeds that run in parallel.");
  return table;
}

int PrintLists(const SoakSettings& settings) {
  if (settings.list_planted_bugs) {
    for (const PlantedBugRow& row : PlantedBugRows()) {
      fmt::print("{} is detected by scenario {}\n", row.name, row.scenario);
    }
  }
  if (settings.list_scenarios) {
    for (const Scenario& scenario : Scenarios()) {
      fmt::print("{}: {}\n", scenario.name, scenario.summary);
    }
  }
  return 0;
}

struct Job {
  const Scenario* scenario = nullptr;
  std::uint64_t seed = 0;
};

// Runs all jobs on several threads and prints each failure with the command
// that replays it.
class JobRunner {
 public:
  JobRunner(const SoakSettings& soak_settings, PlantedBug bug_to_plant)
      : settings(soak_settings), planted_bug(bug_to_plant) {}

  int Run(const std::vector<Job>& jobs) {
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < this->settings.threads; ++i) {
      threads.emplace_back([this, &jobs] { this->RunJobs(jobs); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    fmt::print("accepted_edits={} actions_run={} searches={}\n",
               this->edits.load(), this->actions.load(), this->searches.load());
    fmt::print("{} passed, {} failed\n", this->passed, this->failed);
    return this->failed == 0 ? 0 : kExitFailed;
  }

 private:
  void RunJobs(const std::vector<Job>& jobs) {
    while (true) {
      const std::size_t job_index = this->next_job_index++;
      if (job_index >= jobs.size()) {
        return;
      }
      const RunResult result = jobs[job_index].scenario->run(
          jobs[job_index].seed, this->planted_bug);
      this->Report(jobs[job_index], result);
    }
  }

  void Report(const Job& job, const RunResult& result) {
    this->edits += result.accepted_edits;
    this->actions += result.actions_run;
    this->searches += result.searches;
    const std::lock_guard lock(this->mutex);
    if (result.violations.empty()) {
      ++this->passed;
    } else {
      ++this->failed;
    }
    if (this->settings.verbose) {
      fmt::print("scenario={} seed={} edits={} actions={} searches={} {}\n",
                 job.scenario->name, job.seed, result.accepted_edits,
                 result.actions_run, result.searches,
                 result.violations.empty() ? "ok" : "FAILED");
    }
    if (!result.violations.empty()) {
      fmt::print("FAILED scenario={} seed={} faults={} {}\n",
                 job.scenario->name, job.seed, result.faults,
                 result.violations.front());
      fmt::print("  replay: marigold-soak --scenario={} --seeds={}:{}{}\n",
                 job.scenario->name, job.seed, job.seed,
                 this->settings.planted_bug == "none"
                     ? ""
                     : " --plant=" + this->settings.planted_bug);
    }
  }

  const SoakSettings& settings;
  PlantedBug planted_bug;
  std::atomic<std::size_t> next_job_index = 0;
  std::atomic<std::uint64_t> edits = 0;
  std::atomic<std::uint64_t> actions = 0;
  std::atomic<std::uint64_t> searches = 0;
  std::mutex mutex;
  std::uint64_t passed = 0;
  std::uint64_t failed = 0;
};

// Runs the scenario of each planted bug with up to `kMaxSeedsPerBug` seeds. A
// bug counts as passed if one of them detects it.
int VerifyPlantedBugs() {
  constexpr std::uint64_t kMaxSeedsPerBug = 200;
  int passed = 0;
  int failed = 0;
  for (const PlantedBugRow& row : PlantedBugRows()) {
    const Scenario* scenario = FindScenario(row.scenario);
    RunResult result;
    std::uint64_t seed = 0;
    while (result.violations.empty() && seed < kMaxSeedsPerBug) {
      result = scenario->run(++seed, row.planted_bug);
    }
    const bool caught = !result.violations.empty();
    fmt::print("plant={} scenario={} {} seed={} {}\n", row.name, row.scenario,
               caught ? "caught" : "NOT CAUGHT", seed,
               caught ? result.violations.front() : "");
    ++(caught ? passed : failed);
  }
  fmt::print("{} passed, {} failed\n", passed, failed);
  return failed == 0 ? 0 : kExitFailed;
}

int Run(const SoakSettings& settings) {
  std::vector<Job> jobs;
  for (const Scenario& scenario : Scenarios()) {
    if (settings.scenario != "all" && settings.scenario != scenario.name) {
      continue;
    }
    for (std::uint64_t seed = settings.seeds.from; seed <= settings.seeds.to;
         ++seed) {
      jobs.push_back({&scenario, seed});
    }
  }
  const auto planted_bug = FindPlantedBug(settings.planted_bug);
  if (jobs.empty() || (!planted_bug && settings.planted_bug != "none")) {
    fmt::print(
        stderr,
        "marigold-soak: unknown scenario \"{}\" or planted bug \"{}\"; see "
        "--list-scenarios and --list-plants\n",
        settings.scenario, settings.planted_bug);
    return kExitUsage;
  }
  SetLogLevel(LogLevel::kOff);
  return JobRunner(settings,
                   planted_bug ? planted_bug->planted_bug : PlantedBug::kNone)
      .Run(jobs);
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::SoakSettings settings;
  marigold::SettingsTable table = marigold::MakeTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  if (settings.list_planted_bugs || settings.list_scenarios) {
    return marigold::PrintLists(settings);
  }
  if (settings.verify_planted_bugs) {
    marigold::SetLogLevel(marigold::LogLevel::kOff);
    return marigold::VerifyPlantedBugs();
  }
  return marigold::Run(settings);
}
