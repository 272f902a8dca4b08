// Sends an open-loop load to entry VMs and checks every answer.

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "src/core/settings.h"
#include "src/net/worker_pool.h"
#include "tools/load/load_run.h"
#include "tools/load/load_settings.h"
#include "tools/load/metrics.h"

namespace marigold {

namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

int Fail(const std::string& detail) {
  fmt::print(stderr, "marigold-load: {}\n", detail);
  return kExitUsage;
}

std::string Describe(const AnyError& error) {
  const auto* parse = std::get_if<ParseError>(&error);
  return parse == nullptr ? "internal error" : ToString(*parse);
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  file << text;
  file.close();
  return !file.fail();
}

Result<Metrics> ReadCsvFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return ParseCsv(text.str());
}

int Compare(const std::vector<std::string>& paths) {
  if (paths.size() != 2) {
    return Fail("--compare takes two CSV files");
  }
  std::vector<Metrics> runs;
  for (const std::string& path : paths) {
    auto metrics = Capture<Metrics>([&] { return ReadCsvFile(path); });
    if (const auto* error = std::get_if<AnyError>(&metrics)) {
      return Fail(path + ": " + Describe(*error));
    }
    runs.push_back(std::get<Metrics>(std::move(metrics)));
  }
  fmt::print("{}", FormatComparison(runs[0], runs[1]));
  return 0;
}

// Prints the violations and the bounds that do not hold. Returns the exit code.
int ReportViolations(const LoadReport& report,
                     const std::vector<Bound>& bounds) {
  int code = 0;
  for (const std::string& violation : report.violations) {
    fmt::print("VIOLATION {}\n", violation);
    code = kExitViolation;
  }
  for (const Bound& bound : bounds) {
    if (const auto problem = CheckBound(bound, report.metrics)) {
      fmt::print("BOUND {}\n", *problem);
      code = kExitViolation;
    }
  }
  return code;
}

int Run(const LoadSettings& settings) {
  const auto run =
      Capture<LoadRunSettings>([&] { return ToRunSettings(settings); });
  if (const auto* error = std::get_if<AnyError>(&run)) {
    return Fail(Describe(*error));
  }
  const auto bounds =
      Capture<std::vector<Bound>>([&] { return ToBounds(settings); });
  if (const auto* error = std::get_if<AnyError>(&bounds)) {
    return Fail(Describe(*error));
  }
  WorkerPool pool(settings.workers);
  const auto& run_settings = std::get<LoadRunSettings>(run);
  const LoadReport report = settings.kind == "action"
                                ? RunActions(pool, run_settings)
                                : RunSearches(pool, run_settings);
  fmt::print("{}", FormatTable(report.metrics));
  if (!WriteFile(settings.csv, FormatCsv(report.metrics)) ||
      !WriteFile(settings.json, FormatJson(report.metrics))) {
    return Fail("can't write the result file");
  }
  return ReportViolations(report, std::get<std::vector<Bound>>(bounds));
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::LoadSettings settings;
  marigold::SettingsTable table = marigold::MakeLoadTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  if (settings.compare) {
    return marigold::Compare(outcome.arguments);
  }
  return marigold::Run(settings);
}
