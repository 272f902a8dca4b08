#ifndef TOOLS_LOAD_LOAD_SETTINGS_H_
#define TOOLS_LOAD_LOAD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/result.h"
#include "src/core/settings.h"
#include "tools/load/load_run.h"

namespace marigold {

// The flags of `marigold-load`, before they are checked against each other.
struct LoadSettings {
  std::vector<Endpoint> entries{{"127.0.0.1", 8080}};
  Endpoint standin;
  double rate = 100;
  double duration_s = 10;
  double warmup_s = 0;
  std::int64_t connections = 64;
  Duration health_interval = std::chrono::milliseconds(100);
  std::string kind = "search";
  std::int64_t action_sends = 2;
  std::string service = "lookup";
  std::string customers = "demo";
  Duration deadline = std::chrono::milliseconds(500);
  double minimum_coverage = 0;
  std::int64_t seed = 1;
  std::int64_t workers = 2;
  std::string entry_pids;
  std::string csv;
  std::string json;
  std::string expect;
  // If true, the program compares two CSV files, which are its arguments,
  // instead of sending a load.
  bool compare = false;
};

// The table writes into `settings`, which has to outlive it.
SettingsTable MakeLoadTable(LoadSettings& settings);

// Both fail with `ParseError`, whose field is the name of the flag.
Result<LoadRunSettings> ToRunSettings(const LoadSettings& settings);
Result<std::vector<Bound>> ToBounds(const LoadSettings& settings);

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_SETTINGS_H_
